"""Acceptance of inventories: immutable documents and one conditional head."""

from __future__ import annotations

import hashlib
import json
from dataclasses import dataclass

from result import Err, Ok, Result

from marjoramstage.protocol.objects import (
    DOCUMENT,
    HEAD,
    Platform,
    PlatformError,
    PlatformFault,
    PlatformObject,
)
from marjoramstage.state.inventory import (
    Inventory,
    inventory_from_data,
    inventory_to_data,
)

HEAD_NAME = "current"


@dataclass(frozen=True)
class Release:
    """An accepted inventory.

    Attributes
    ----------
    generation : int
        Rises with each acceptance.
    root : str
        Hash that names the content.
    """

    generation: int
    root: str
    inventory: Inventory


async def read_release(platform: Platform) -> Result[Release, PlatformError]:
    """Read the accepted inventory; ``NOT_FOUND`` before the first."""
    head = await platform.get(HEAD, HEAD_NAME)
    if isinstance(head, Err):
        return head
    root = head.ok_value.spec["root"]
    document = await platform.get(DOCUMENT, root)
    if isinstance(document, Err):
        return document
    inventory = inventory_from_data(document.ok_value.spec["inventory"])
    return Ok(Release(head.ok_value.spec["generation"], root, inventory))


async def accept(
    platform: Platform, inventory: Inventory
) -> Result[Release, PlatformError]:
    """Make ``inventory`` the accepted one."""
    data = inventory_to_data(inventory)
    root = _hash(data)
    document = PlatformObject(DOCUMENT, root, {"inventory": data})
    created = await platform.create(document)
    if isinstance(created, Err) and created.err_value.fault is not PlatformFault.EXISTS:
        return created
    head = await platform.get(HEAD, HEAD_NAME)
    if isinstance(head, Err):
        if head.err_value.fault is not PlatformFault.NOT_FOUND:
            return head
        spec = {"generation": 1, "root": root}
        written = await platform.create(PlatformObject(HEAD, HEAD_NAME, spec))
    else:
        spec = {"generation": head.ok_value.spec["generation"] + 1, "root": root}
        version = head.ok_value.version
        written = await platform.update(
            PlatformObject(HEAD, HEAD_NAME, spec, version=version)
        )
    return written.map(lambda obj: Release(spec["generation"], root, inventory))


def _hash(data: object) -> str:
    text = json.dumps(data, sort_keys=True, separators=(",", ":"))
    return hashlib.sha256(text.encode()).hexdigest()
