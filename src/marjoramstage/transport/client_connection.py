"""An HTTP client's connection that records how its peer ended it."""

from __future__ import annotations

import asyncio
import enum
from typing import Any

import aiohttp
from aiohttp.client_proto import ResponseHandler


class ConnectionEnd(enum.Enum):
    """How a connection ended.

    Attributes
    ----------
    OPEN
        It has not ended.
    CLOSED
        The peer closed it in an orderly way.
    BROKEN
        It was reset, timed out, or this side closed it.
    """

    OPEN = "open"
    CLOSED = "closed"
    BROKEN = "broken"


class ClientConnection(ResponseHandler):
    """Records how the connection ended.

    aiohttp takes a body that has neither a length nor chunks for complete
    when the connection ends, even when it was reset or closed by this side.
    """

    end = ConnectionEnd.OPEN

    def eof_received(self) -> None:
        """Record that the peer will send nothing more."""
        self.end = ConnectionEnd.CLOSED
        super().eof_received()

    def connection_lost(self, exc: BaseException | None) -> None:
        """Record an end that the peer did not announce."""
        if exc is not None or self.end is ConnectionEnd.OPEN:
            self.end = ConnectionEnd.BROKEN
        super().connection_lost(exc)


def client_connector(**kwargs: Any) -> aiohttp.TCPConnector:
    """Return a connector of `ClientConnection`, with no limit on their number.

    Parameters
    ----------
    kwargs
        Further arguments of `aiohttp.TCPConnector`.
    """
    loop = asyncio.get_running_loop()
    connector = aiohttp.TCPConnector(limit=0, **kwargs)
    # aiohttp has no option for the protocol class of its connections.
    connector._factory = lambda: ClientConnection(loop=loop)
    return connector
