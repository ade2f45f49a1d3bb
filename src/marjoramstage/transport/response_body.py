"""Reads the body of an HTTP response; tells a complete body from a truncated one."""

from __future__ import annotations

from collections.abc import AsyncIterator

import aiohttp

from marjoramstage.transport.client_connection import ClientConnection, ConnectionEnd
from marjoramstage.transport.framing import Framing, response_framing
from marjoramstage.transport.overhead import MAX_BODY_BYTES


class BodyTooLargeError(aiohttp.ClientPayloadError):
    """A body is larger than its reader allows."""


class TruncatedBodyError(aiohttp.ClientPayloadError):
    """The connection broke in a body that only its connection ends."""


class ResponseBody:
    """The body of a response that came over a `ClientConnection`.

    Parameters
    ----------
    max_bytes : int
        Size above which the body is refused and its connection closed.

    Attributes
    ----------
    framing : Framing
        How the response marks the end of its body.
    received_bytes : int
        Size of what was read so far.
    reused_connection : bool
        An earlier request was sent on the connection of the response.
    """

    def __init__(self, resp: aiohttp.ClientResponse, max_bytes: int = MAX_BODY_BYTES):
        self._resp = resp
        self._max_bytes = max_bytes
        # resp.connection is None once the connection is back in the pool, so the
        # protocol, which records its end, is taken from the private attribute.
        self._conn: ClientConnection = resp._protocol
        # The connection may be in use again before this is read.
        self.reused_connection = self._conn.requests > 1
        self.framing = response_framing(resp.method, resp.status, resp.headers)
        self.received_bytes = 0

    @property
    def connection_end(self) -> ConnectionEnd:
        """How the connection of the response ended, if it did."""
        return self._conn.end

    async def iter_chunks(self) -> AsyncIterator[bytes]:
        """Yield the body as it arrives.

        Raises
        ------
        aiohttp.ClientError, TimeoutError, OSError
            The body was truncated or is too large.
        """
        async for chunk in self._resp.content.iter_any():
            self.received_bytes += len(chunk)
            if self.received_bytes > self._max_bytes:
                self._resp.close()
                raise BodyTooLargeError(f"a body of over {self._max_bytes} bytes")
            yield chunk
        ended = self._conn.end is ConnectionEnd.CLOSED
        if self.framing is Framing.CONNECTION and not ended:
            raise TruncatedBodyError("connection lost in a body without a length")

    async def read(self) -> bytes:
        """Return the whole body; raises the same errors as `iter_chunks`."""
        return b"".join([chunk async for chunk in self.iter_chunks()])

    def disconnect(self) -> None:
        """End the connection of the response, even if it was read to its end."""
        self._resp.close()
        self._conn.disconnect()
