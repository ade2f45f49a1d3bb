"""An HTTP client's connection: how its peer ended it, and what it may send."""

from __future__ import annotations

import asyncio
import enum
from http import HTTPStatus
from typing import Any

import aiohttp
from aiohttp.client_proto import ResponseHandler
from aiohttp.http import RawResponseMessage

from marjoramstage.transport.connection_limit import ConnectionLimit
from marjoramstage.transport.framing import has_foreign_coding
from marjoramstage.transport.overhead import OverheadMeter, limit_receive_size
from marjoramstage.transport.response_head import InvalidHeadError, ResponseHeadCheck


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


class UnexpectedBytesError(aiohttp.ClientPayloadError):
    """A peer sent too much that is no body, or bytes that belong to no request."""


class ClientConnection(ResponseHandler):
    """Records how the connection ended; checks and bounds what the peer sends.

    aiohttp takes a body that has neither a length nor chunks for complete
    when the connection ends, even when it was reset or closed by this side. It
    bounds single lines, but neither the number of interim responses nor the size
    of chunk lines, and it queues responses that nothing asked for.

    Attributes
    ----------
    end : ConnectionEnd
        How it ended, if it did.
    requests : int
        Number of requests that were sent on it.
    """

    end = ConnectionEnd.OPEN
    requests = 0

    def __init__(
        self, loop: asyncio.AbstractEventLoop, limit: ConnectionLimit | None = None
    ):
        super().__init__(loop=loop)
        self._meter = OverheadMeter()
        self._head_check = ResponseHeadCheck()
        self._answered = False
        self._limit = limit

    def set_response_params(self, **kwargs: Any) -> None:
        """Prepare for the response to a request that is about to be sent."""
        self._meter.restart()
        self._head_check.restart()
        self._answered = False
        self.requests += 1
        super().set_response_params(**kwargs)

    def feed_data(self, data: tuple[RawResponseMessage, Any], size: int = 0) -> None:
        """Queue a response head; called by aiohttp."""
        message, _ = data
        # A pool may hand out the connection as soon as a body has ended.
        if self._answered:
            self._refuse(UnexpectedBytesError("a response after the final one"))
            return
        self._answered = message.code >= HTTPStatus.OK
        if has_foreign_coding(message.headers):
            self._refuse(InvalidHeadError("foreign transfer coding"))
            return
        super().feed_data(data, size)

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Set up a connection that was made."""
        super().connection_made(transport)
        limit_receive_size(transport)
        if self._limit is not None:
            self._limit.outgoing += 1

    def data_received(self, data: bytes) -> None:
        """Pass on received bytes unless there are too many.

        aiohttp calls this without bytes, too, when reading resumes.
        """
        payload = self._payload
        is_over = self._answered and (payload is None or payload.is_eof())
        if data and is_over:
            self._refuse(UnexpectedBytesError("bytes after the end of the response"))
            return
        # Bytes that arrive before any request come again with the first one.
        if self.requests:
            try:
                self._head_check.feed(data)
            except InvalidHeadError as exc:
                self._refuse(exc)
                return
        self._meter.add(len(data))
        super().data_received(data)
        # While reading is paused, bytes of the body may not be parsed yet.
        if self._reading_paused:
            return
        body_bytes = self._payload.total_bytes if self._payload is not None else 0
        if self._meter.exceeded(body_bytes):
            self._refuse(UnexpectedBytesError("too many bytes that are no body"))

    def eof_received(self) -> None:
        """Record that the peer will send nothing more."""
        self.end = ConnectionEnd.CLOSED
        super().eof_received()

    def connection_lost(self, exc: BaseException | None) -> None:
        """Record an end that the peer did not announce."""
        if exc is not None or self.end is ConnectionEnd.OPEN:
            self.end = ConnectionEnd.BROKEN
        if self._limit is not None:
            self._limit.outgoing -= 1
        super().connection_lost(exc)

    def disconnect(self) -> None:
        """End the connection at once, also while it is in the pool."""
        if self.transport is not None:
            self.transport.abort()

    def _refuse(self, exc: aiohttp.ClientError) -> None:
        """Fail the response that is being read, if any, and the connection."""
        self.set_exception(exc)
        if self._payload is not None and not self._payload.is_eof():
            self._payload.set_exception(exc)
        self.disconnect()


def client_connector(
    limit: ConnectionLimit | None = None, **kwargs: Any
) -> aiohttp.TCPConnector:
    """Return a connector of `ClientConnection`, with no limit on their number.

    Parameters
    ----------
    limit : ConnectionLimit, optional
        Counts the connections.
    kwargs
        Further arguments of `aiohttp.TCPConnector`.
    """
    loop = asyncio.get_running_loop()
    # aiohttp's own limit makes requests wait; callers' connections close instead.
    connector = aiohttp.TCPConnector(limit=0, **kwargs)
    # aiohttp has no option for the protocol class of its connections.
    connector._factory = lambda: ClientConnection(loop, limit)
    return connector


def client_session(**kwargs: Any) -> aiohttp.ClientSession:
    """Return a session whose connections are `ClientConnection`.

    Parameters
    ----------
    kwargs
        Further arguments of `aiohttp.ClientSession`.
    """
    return aiohttp.ClientSession(connector=client_connector(), **kwargs)
