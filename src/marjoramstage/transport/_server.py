"""HTTP server on one address, built on aiohttp."""

from __future__ import annotations

import asyncio
import ssl
from dataclasses import dataclass
from http import HTTPStatus

from aiohttp import http_exceptions, web
from aiohttp.web_protocol import RequestHandler

from marjoramstage.addresses import join_address, split_address
from marjoramstage.exceptions import ConfigError, RequestError, Verdict
from marjoramstage.settings import Tls
from marjoramstage.transport._errors import error_response
from marjoramstage.transport.server_connection import ServerConnection

SHUTDOWN_TIMEOUT_S = 1.0


@dataclass(frozen=True)
class ServerLimits:
    """Limits of one connection.

    Attributes
    ----------
    header_bytes : int
        Maximum size of the request line and of each header.
    head_timeout_s : float
        Time within which a new connection has to send its first request
        head, in seconds.
    keepalive_s : float
        Time for which a connection may be idle between requests, in seconds.
    cancel_handlers : bool
        Whether a handler is cancelled when its caller disconnects.
    """

    header_bytes: int = 16_384
    head_timeout_s: float = 10.0
    keepalive_s: float = 75.0
    cancel_handlers: bool = False


class HttpServer:
    """Serves an aiohttp application on one address.

    Parameters
    ----------
    app : aiohttp.web.Application
        Application to serve.
    address : str
        ``ip:port``; with port 0 the kernel chooses a free port.
    limits : ServerLimits, optional
        Limits of each connection.
    tls : Tls, optional
        Certificate and key; the server speaks plain HTTP if omitted.
    """

    def __init__(
        self,
        app: web.Application,
        address: str,
        limits: ServerLimits | None = None,
        tls: Tls | None = None,
    ):
        self._app = app
        self._address = address
        self._limits = limits or ServerLimits()
        self._tls = tls
        self._runner: web.AppRunner | None = None
        self._site: web.TCPSite | None = None

    @property
    def address(self) -> str:
        """Address that the server listens on; known after `start`."""
        return self._address

    async def start(self) -> None:
        """Start to listen."""
        host, port = split_address(self._address)
        self._runner = _Runner(
            self._app,
            head_timeout_s=self._limits.head_timeout_s,
            access_log=None,
            auto_decompress=False,
            keepalive_timeout=self._limits.keepalive_s,
            handler_cancellation=self._limits.cancel_handlers,
            max_line_size=self._limits.header_bytes,
            max_field_size=self._limits.header_bytes,
            shutdown_timeout=SHUTDOWN_TIMEOUT_S,
        )
        await self._runner.setup()
        self._site = web.TCPSite(
            self._runner, host, port, ssl_context=_ssl_context(self._tls)
        )
        await self._site.start()
        bound = self._runner.addresses[0]
        self._address = join_address(host, bound[1])

    async def close_listener(self) -> None:
        """Stop accepting connections; open connections continue."""
        if self._site is not None:
            await self._site.stop()
            self._site = None

    async def stop(self) -> None:
        """Close the listener and every connection."""
        if self._runner is not None:
            await self._runner.cleanup()


def _ssl_context(tls: Tls | None) -> ssl.SSLContext | None:
    if tls is None:
        return None
    ctx = ssl.create_default_context(ssl.Purpose.CLIENT_AUTH)
    try:
        ctx.load_cert_chain(tls.certificate, tls.key)
    except OSError as exc:
        problem = f"tls: {tls.certificate} with {tls.key}: {exc.strerror or exc}"
        raise ConfigError((problem,)) from exc
    return ctx


class _Runner(web.AppRunner):
    """A runner whose connections answer malformed HTTP with an error code."""

    def __init__(self, app: web.Application, *, head_timeout_s: float, **kwargs):
        super().__init__(app, **kwargs)
        self._head_timeout_s = head_timeout_s

    async def _make_server(self) -> web.Server:
        server = await super()._make_server()
        # aiohttp has no option for the class of its server.
        server.__class__ = _Server
        server.head_timeout_s = self._head_timeout_s
        return server


class _Server(web.Server):
    """Creates a `_Connection` for each accepted connection."""

    head_timeout_s: float

    def __call__(self) -> RequestHandler:
        handler = _Connection(self, loop=self._loop, **self._kwargs)
        handler.head_timeout_s = self.head_timeout_s
        return handler


class _Connection(ServerConnection):
    """One connection; unlike aiohttp's, it logs nothing that a caller sent."""

    head_timeout_s: float

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        super().connection_made(transport)
        self._loop.call_later(self.head_timeout_s, self._close_without_request)

    def _close_without_request(self) -> None:
        if self._request_count == 0:
            self.force_close()

    def handle_error(
        self,
        request: web.BaseRequest,
        status: int = 500,
        exc: BaseException | None = None,
        message: str | None = None,
    ) -> web.StreamResponse:
        """Answer a request that could not be parsed, or whose handler failed."""
        if request.writer.output_size > 0:
            raise ConnectionError("an error came up after the response had started")
        error = _protocol_error(status, exc)
        resp = error_response(error)
        resp.force_close()
        return resp


def _protocol_error(status: int, exc: BaseException | None) -> RequestError:
    if isinstance(exc, http_exceptions.LineTooLong):
        status = HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE
        text = "The request line or a header is too long."
        return RequestError(status, "header-size", text, Verdict.NOT_RUN)
    if status == HTTPStatus.BAD_REQUEST:
        text = "The request is not HTTP."
        return RequestError(status, "http", text, Verdict.NOT_RUN)
    text = "The instance failed."
    return RequestError(status, "internal", text, Verdict.MAY_HAVE_RUN)
