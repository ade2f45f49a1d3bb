"""Registration of stand-ins as targets on the platform."""

from __future__ import annotations

from collections.abc import Iterable

from marjoramstage.protocol.messages import Target
from marjoramstage.state.targets import slice_of_target
from marjoramstage.transport.client_connection import client_session
from marjoramstage.transport.platform import PlatformClient


async def register_targets(
    address: str, namespace: str, targets: Iterable[Target]
) -> None:
    """Create an EndpointSlice for each target, so that instances discover it.

    Parameters
    ----------
    address : str
        ``ip:port`` of the platform's API.
    """
    async with client_session() as session:
        platform = PlatformClient(session, address, namespace)
        for target in targets:
            await platform.create(slice_of_target(target))
