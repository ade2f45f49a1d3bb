"""Stores drained targets on the platform, for instances that start later."""

from __future__ import annotations

from result import Err, Ok, Result

from marjoramstage.protocol.objects import (
    DRAIN,
    Platform,
    PlatformError,
    PlatformFault,
    PlatformObject,
)
from marjoramstage.protocol.peers import LeavingTarget


async def save_drain(
    platform: Platform, leaving: LeavingTarget
) -> Result[None, PlatformError]:
    """Store that a target is leaving, replacing an earlier record of it."""
    spec = {"incarnation": leaving.incarnation}
    obj = PlatformObject(DRAIN, leaving.target, spec)
    created = await platform.create(obj)
    if isinstance(created, Ok) or created.err_value.fault is not PlatformFault.EXISTS:
        return created.map(lambda _: None)
    found = await platform.get(DRAIN, leaving.target)
    if isinstance(found, Err):
        return found
    version = found.ok_value.version
    obj = PlatformObject(DRAIN, leaving.target, spec, version=version)
    return (await platform.update(obj)).map(lambda _: None)


async def read_drains(platform: Platform) -> list[LeavingTarget]:
    """Return the targets that operators drained; empty if the read fails."""
    listed = await platform.list(DRAIN)
    if isinstance(listed, Err):
        return []
    return [
        LeavingTarget(obj.name, str(obj.spec.get("incarnation", "")))
        for obj in listed.ok_value.objects
    ]
