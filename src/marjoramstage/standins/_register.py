"""Lists stand-ins as targets at the platform."""

from __future__ import annotations

from collections.abc import Iterable

import aiohttp

from marjoramstage.protocol.messages import Target
from marjoramstage.state.targets import slice_of_target
from marjoramstage.transport.platform import HttpPlatform


async def register_targets(
    address: str, namespace: str, targets: Iterable[Target]
) -> None:
    """Create the EndpointSlice of each target.

    Parameters
    ----------
    address : str
        ``ip:port`` of the platform.
    """
    async with aiohttp.ClientSession() as session:
        platform = HttpPlatform(session, address, namespace)
        for target in targets:
            await platform.create(slice_of_target(target))
