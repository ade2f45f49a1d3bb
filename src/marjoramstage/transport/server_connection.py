"""A server's connection that bounds what its peer may send."""

from __future__ import annotations

import asyncio
import logging
from http import HTTPStatus
from typing import Any

from aiohttp import StreamReader, web
from aiohttp.http_exceptions import BadHttpMethod
from aiohttp.web_protocol import RequestHandler

from marjoramstage.transport.overhead import (
    MAX_BODY_BYTES,
    OverheadMeter,
    limit_receive_size,
)


class ServerConnection(RequestHandler):
    """Ends connections over which bytes without end come.

    aiohttp bounds single lines of a head, but not chunk lines, and reads the
    rest of a body that was refused for some seconds, however much comes.
    """

    def __init__(self, *args: Any, **kwargs: Any):
        super().__init__(*args, **kwargs)
        self._meter = OverheadMeter()
        self._newest_body: StreamReader | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Set up a connection that was made."""
        super().connection_made(transport)
        limit_receive_size(transport)

    def data_received(self, data: bytes) -> None:
        """Pass on received bytes unless there are too many."""
        requests_before = self._request_count
        self._meter.add(len(data))
        super().data_received(data)
        if self._request_count != requests_before:
            self._fail_unfinished_body()
            self._newest_body = self._messages[-1][1]
            self._meter.restart()
        # While reading is paused, bytes of a body may not be parsed yet.
        if self._reading_paused or self._buffer_paused:
            return
        body = self._newest_body
        body_bytes = body.total_bytes if body is not None else 0
        if self._meter.exceeded(body_bytes) or body_bytes > MAX_BODY_BYTES:
            self.force_close()

    def _fail_unfinished_body(self) -> None:
        """Fail a body in which the peer's bytes stopped being HTTP.

        aiohttp queues an error then, but leaves the handler that reads the body
        waiting for the rest.
        """
        body = self._newest_body
        if body is None or body.is_eof():
            return
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
    """A server whose connections are `ServerConnection`."""

    def __call__(self) -> RequestHandler:
        """Return the connection for a socket that was accepted; called by asyncio."""
        return _CallerConnection(self, loop=self._loop, **self._kwargs)
