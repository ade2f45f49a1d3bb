"""A server's connection that bounds what its peer may send."""

from __future__ import annotations

import asyncio
import logging
from http import HTTPStatus
from typing import Any

from aiohttp import StreamReader, web
from aiohttp.http_exceptions import BadHttpMethod
from aiohttp.web_protocol import RequestHandler

from marjoramstage.transport.byte_budget import (
    RETRY_AFTER_S,
    ByteBudget,
    EvictionCause,
)
from marjoramstage.transport.connection_limit import ConnectionLimit
from marjoramstage.transport.connection_memory import ConnectionMemory
from marjoramstage.transport.overhead import (
    MAX_BODY_BYTES,
    REQUEST_AHEAD_BYTES,
    OverheadMeter,
    limit_receive_size,
)
from marjoramstage.transport.request_body import NO_MEMORY
from marjoramstage.transport.request_cost import head_bytes

# Memory of parsed headers beyond which a connection closes after the answer, as aiohttp
# keeps its last request until the next one.
MAX_KEPT_HEAD_BYTES = 16_384


# Answer to a request that isn't read, as there is no memory for it.
NO_MEMORY_TEXT = f"{NO_MEMORY}\n".encode()
NO_MEMORY_RESPONSE = (
    b"HTTP/1.1 503 Service Unavailable\r\n"
    b"Retry-After: %.2f\r\n"
    b"Content-Type: text/plain; charset=utf-8\r\n"
    b"Content-Length: %d\r\n"
    b"Connection: close\r\n\r\n%s"
) % (RETRY_AFTER_S, len(NO_MEMORY_TEXT), NO_MEMORY_TEXT)


class BodyStalledError(Exception):
    """A body has stalled, and its connection has to give way to others."""


class ServerConnection(RequestHandler):
    """Ends connections over which bytes without end come.

    aiohttp bounds single lines of a head, but not chunk lines, and reads the
    rest of a body that was refused for some seconds, however much comes.
    """

    def __init__(
        self,
        *args: Any,
        limit: ConnectionLimit | None = None,
        budget: ByteBudget | None = None,
        **kwargs: Any,
    ):
        super().__init__(*args, **kwargs)
        self._limit = limit
        self._memory: ConnectionMemory | None = None
        if budget is not None:
            self._memory = ConnectionMemory(budget, self._evict)
        self._meter = OverheadMeter()
        self._newest_body: StreamReader | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Set up a connection that was made."""
        super().connection_made(transport)
        limit_receive_size(transport)
        if self._limit is not None:
            self._limit.add(self)
            self._limit.close_excess(self._loop.time())
            if self._limit.exceeded:
                self._limit.closed += 1
                self.force_close()

    def connection_lost(self, exc: BaseException | None) -> None:
        """Clean up a connection that ended."""
        if self._limit is not None:
            self._limit.remove(self)
        if self._memory is not None:
            self._memory.release_all()
        super().connection_lost(exc)

    @property
    def is_idle(self) -> bool:
        """Whether no request is being read or served."""
        return self._current_request is None and not self._messages

    def data_received(self, data: bytes) -> None:
        """Pass on received bytes unless there are too many.

        aiohttp calls this without bytes, too, when reading resumes.
        """
        if data and self._is_refused():
            self._refuse_unread()
            return
        requests_before = self._request_count
        was_idle = self.is_idle
        reads_body = self._reads_body
        self._meter.add(len(data))
        super().data_received(data)
        received = self._request_count - requests_before
        if received:
            self._begin_requests(received)
        if self._limit is not None:
            self._note_body()
        if self._memory is not None:
            if was_idle and received:
                self._memory.release_ahead()
            elif not reads_body:
                self._hold_ahead(len(data))
        # While reading is paused, bytes of a body may not be parsed yet.
        if self.is_paused:
            return
        body = self._newest_body
        body_bytes = body.total_bytes if body is not None else 0
        if self._meter.exceeded(body_bytes) or body_bytes > MAX_BODY_BYTES:
            self.force_close()

    @property
    def is_paused(self) -> bool:
        """Whether what the peer sends is not read for now."""
        return self._reading_paused or self._buffer_paused

    def end_stalled(self) -> None:
        """Fail the body that is being read, so that its request is refused."""
        self.close_unread()
        if self._current_request is None:
            self.force_close()
            return
        self._newest_body.set_exception(BodyStalledError())

    async def finish_response(
        self,
        request: web.BaseRequest,
        resp: web.StreamResponse,
        start_time: float | None,
    ) -> tuple[web.StreamResponse, bool]:
        """Send a response, and keep neither its body nor a long head after it."""
        if head_bytes(request.raw_headers) > MAX_KEPT_HEAD_BYTES:
            resp.force_close()
        result = await super().finish_response(request, resp, start_time)
        if self._memory is not None:
            self._memory.release_request()
        if isinstance(resp, web.Response):
            resp.body = None
        return result

    def close_unread(self) -> None:
        """Close the connection after the answer, without reading the rest of a body.

        Until then aiohttp reads and drops it for some seconds, and what it reads
        ahead and the kernel received takes memory.
        """
        self._lingering_time = 0.0

    def release_body(self) -> None:
        """Account no longer for the body of the request that is being served."""
        if self._memory is not None:
            self._memory.release_body()

    @property
    def _reads_body(self) -> bool:
        """Whether the body of the newest request is incomplete."""
        body = self._newest_body
        return body is not None and not body.is_eof()

    def _is_refused(self) -> bool:
        """Whether bytes that arrive now begin a request for which is no memory."""
        if self._memory is None or self._memory.has_ahead:
            return False
        if self._reads_body or not self.is_idle:
            return False
        return self._memory.is_full

    def _refuse_unread(self) -> None:
        """Refuse a request without parsing it, which would take memory."""
        self._memory.note_refused()
        self.transport.write(NO_MEMORY_RESPONSE)
        self.transport.close()

    def _begin_requests(self, count: int) -> None:
        """Take note of the newest requests, whose heads are complete."""
        self._fail_unfinished_body()
        self._newest_body = self._messages[-1][1]
        self._meter.restart()
        if self._limit is not None:
            self._limit.touch(self)
        if self._memory is None:
            return
        now_s = self._loop.time()
        for pos in range(-count, 0):
            message, body = self._messages[pos]
            self._memory.hold_request(message, body, now_s)

    def _note_body(self) -> None:
        """Tell the limit whether a body is incomplete."""
        if self._reads_body:
            self._limit.note_body(self, self._loop.time())
        else:
            self._limit.end_body(self)

    def _hold_ahead(self, size: int) -> None:
        """Account for bytes of a head that isn't complete, or of later requests."""
        if not self._memory.hold_ahead(size, self._loop.time()):
            self.force_close()

    def _evict(self, cause: EvictionCause) -> None:
        self.force_close()

    def _fail_unfinished_body(self) -> None:
        """Fail a body in which the peer's bytes stopped being HTTP.

        aiohttp queues an error then, but leaves the handler that reads the body
        waiting for the rest.
        """
        if not self._reads_body:
            return
        body = self._newest_body
        body.set_exception(web.RequestPayloadError("the body is badly framed"))
        body.feed_eof()
        self.close()


class _CallerConnection(ServerConnection):
    """A connection of a caller; nothing that the caller sent is logged.

    aiohttp logs and answers the part of a head that it could not read, which may
    hold a key.
    """

    def handle_error(
        self,
        request: web.BaseRequest,
        status: int = HTTPStatus.INTERNAL_SERVER_ERROR,
        exc: BaseException | None = None,
        message: str | None = None,
    ) -> web.StreamResponse:
        """Answer a request that could not be parsed, or whose handler failed."""
        if status == HTTPStatus.INTERNAL_SERVER_ERROR:
            return super().handle_error(request, status, exc, message)
        cause = type(exc).__name__
        # As in aiohttp: what scanners send is no reason for a line.
        is_scan = self._request_count == 1 and isinstance(exc, BadHttpMethod)
        level = logging.DEBUG if is_scan else logging.WARNING
        self.logger.log(level, "invalid request from %s: %s", request.remote, cause)
        if request.writer.output_size > 0:
            raise ConnectionError("an error came up after the response had started")
        resp = web.Response(status=status, text=f"invalid request: {cause}\n")
        resp.force_close()
        return resp


class BoundedServer(web.Server):
    """A server whose connections are `ServerConnection`.

    Parameters
    ----------
    limit : ConnectionLimit, optional
        Bounds the number of connections.
    budget : ByteBudget, optional
        Bounds what is read ahead of the handler of requests.
    """

    def __init__(
        self,
        *args: Any,
        limit: ConnectionLimit | None = None,
        budget: ByteBudget | None = None,
        **kwargs: Any,
    ):
        super().__init__(*args, read_bufsize=REQUEST_AHEAD_BYTES, **kwargs)
        self._limit = limit
        self._budget = budget

    def __call__(self) -> RequestHandler:
        """Return the connection for a socket that was accepted; called by asyncio."""
        # Bodies go on as they are, with the header that names their encoding.
        kwargs = {**self._kwargs, "auto_decompress": False}
        return _CallerConnection(
            self, loop=self._loop, limit=self._limit, budget=self._budget, **kwargs
        )
