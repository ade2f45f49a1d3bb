"""HTTP client for targets; its errors say whether a request may have run.

`marjoramstage.entry`, the instance on the users' platform, uses this client;
`marjoramstage.instance` uses `UpstreamClient`.
"""

from __future__ import annotations

import asyncio
import socket
from collections.abc import AsyncIterator, Callable
from dataclasses import dataclass

import aiohttp
import yarl
from multidict import CIMultiDict, CIMultiDictProxy

from marjoramstage.addresses import split_address
from marjoramstage.exceptions import TargetError, Verdict
from marjoramstage.transport.client_connection import ConnectionEnd, client_connector
from marjoramstage.transport.connect_timeout import (
    ConnectTimeout,
    ConnectTimeoutError,
    TimedSocket,
)
from marjoramstage.transport.connection_limit import ConnectionLimit
from marjoramstage.transport.framing import Framing
from marjoramstage.transport.overhead import (
    ANSWER_AHEAD_BYTES,
    ANSWER_RECEIVE_BUFFER_BYTES,
    MAX_BODY_BYTES,
)
from marjoramstage.transport.request_body import sent_body
from marjoramstage.transport.response_body import ResponseBody
from marjoramstage.transport.send_once import (
    CheckedRequest,
    ConnectionLostError,
    WithdrawnError,
    send_once,
)
from marjoramstage.transport.sockets import address_family, create_client_socket

CONNECT_TIMEOUT_S = 0.6
KEEPALIVE_TIMEOUT_S = 4.0
MAX_HEADER_BYTES = 32_768
UNREACHED = "unreached"
WITHDRAWN = "withdrawn"
BROKEN = "broken"
FOREIGN = "foreign"

# aiohttp must not add these: the target gets only what the caller sent.
_SKIPPED_AUTO_HEADERS = ("User-Agent", "Accept", "Accept-Encoding", "Content-Type")

_CONNECTION_ERRORS = (
    aiohttp.ClientError,
    ConnectionLostError,
    TimeoutError,
    OSError,
    ValueError,
)


@dataclass(frozen=True)
class TargetRequest:
    """A request to a target.

    Attributes
    ----------
    path : str
        Path and query, sent unchanged.
    new_connection : bool
        Open a new connection instead of reusing one. The target may close an
        idle connection just as the request is sent, and then it is not known
        whether the request ran.
    """

    address: str
    method: str
    path: str
    headers: CIMultiDict[str]
    body: bytes | bytearray
    new_connection: bool = False


@dataclass(frozen=True)
class TargetReply:
    """The complete response to a control call."""

    status: int
    headers: CIMultiDictProxy[str]
    body: bytes


def always() -> bool:
    """Let every request be sent."""
    return True


class TargetResponse:
    """The response of a target: status and headers, then its body."""

    def __init__(self, resp: aiohttp.ClientResponse, max_bytes: int):
        self._resp = resp
        self._body = ResponseBody(resp, max_bytes)

    @property
    def status(self) -> int:
        """Return the HTTP status."""
        return self._resp.status

    @property
    def reason(self) -> str | None:
        """Return the reason phrase of the status line."""
        return self._resp.reason

    @property
    def headers(self) -> CIMultiDictProxy[str]:
        """Return the headers, unchanged."""
        return self._resp.headers

    @property
    def framing(self) -> Framing:
        """How the response marks the end of its body."""
        return self._body.framing

    @property
    def body_bytes(self) -> int:
        """Size of the body so far."""
        return self._body.received_bytes

    @property
    def connection_end(self) -> ConnectionEnd:
        """How the connection of the response ended, if it did."""
        return self._body.connection_end

    @property
    def reused_connection(self) -> bool:
        """Whether an earlier request was sent on the connection."""
        return self._body.reused_connection

    async def iter_chunks(self) -> AsyncIterator[bytes]:
        """Yield the body as it arrives.

        Raises
        ------
        TargetError
            The body was truncated or is too large.
        """
        try:
            async for chunk in self._body.iter_chunks():
                yield chunk
        except _CONNECTION_ERRORS as exc:
            raise TargetError(
                f"response body not read: {type(exc).__name__}",
                Verdict.MAY_HAVE_RUN,
                self.status,
                BROKEN,
            ) from exc

    def close(self) -> None:
        """Close the connection, unless the body was read to its end."""
        self._resp.close()

    def disconnect(self) -> None:
        """Close the connection, even if the body was read to its end."""
        self._body.disconnect()


class TargetClient:
    """HTTP client for targets; owns its connection pools.

    Parameters
    ----------
    limit : ConnectionLimit, optional
        Counts the connections to targets.
    """

    def __init__(self, limit: ConnectionLimit | None = None):
        self._pooled = _session(False, limit)
        self._fresh = _session(True, limit)

    async def stop(self) -> None:
        """Close every connection."""
        await self._pooled.close()
        await self._fresh.close()

    async def accepts_connections(self, address: str) -> bool:
        """Whether a target can be connected to."""
        host, port = split_address(address)
        with TimedSocket(address_family(host), socket.SOCK_STREAM) as sock:
            sock.setblocking(False)
            try:
                async with ConnectTimeout(CONNECT_TIMEOUT_S):
                    await asyncio.get_running_loop().sock_connect(sock, (host, port))
            except (OSError, ConnectTimeoutError):
                return False
        return True

    async def fetch(
        self,
        request: TargetRequest,
        max_bytes: int,
        may_send: Callable[[], bool] = always,
    ) -> TargetReply:
        """Send a control call; return its response with the whole body.

        Raises
        ------
        TargetError
            As for `send`, or the body was truncated or larger than ``max_bytes``.
        """
        answer = await self.send(request, max_bytes, may_send)
        try:
            body = b"".join([chunk async for chunk in answer.iter_chunks()])
        finally:
            answer.close()
        return TargetReply(answer.status, answer.headers, body)

    async def send(
        self,
        request: TargetRequest,
        max_bytes: int = MAX_BODY_BYTES,
        may_send: Callable[[], bool] = always,
    ) -> TargetResponse:
        """Send a request; return once the response headers have arrived.

        Parameters
        ----------
        max_bytes : int
            Size above which the body of the response is refused.
        may_send : callable
            Whether the request may still be sent; called when the connection is
            open, just before the request is written.

        Raises
        ------
        TargetError
            No response arrived; the verdict says whether the request may
            have run.
        """
        session = self._fresh if request.new_connection else self._pooled
        url = yarl.URL(f"http://{request.address}{request.path}", encoded=True)
        try:
            async with ConnectTimeout(CONNECT_TIMEOUT_S):
                resp = await session.request(
                    request.method,
                    url,
                    headers=request.headers,
                    data=sent_body(request.body),
                    allow_redirects=False,
                    middlewares=(_check_with(may_send), send_once),
                )
        except WithdrawnError as exc:
            raise TargetError(
                "withdrawn before it was sent", Verdict.NOT_RUN, None, WITHDRAWN
            ) from exc
        except (aiohttp.ClientConnectorError, ConnectTimeoutError) as exc:
            raise TargetError(
                f"could not connect: {exc}", Verdict.NOT_RUN, None, UNREACHED
            ) from exc
        except _CONNECTION_ERRORS as exc:
            raise TargetError(
                f"no response: {type(exc).__name__}: {exc}",
                Verdict.MAY_HAVE_RUN,
                None,
                BROKEN,
            ) from exc
        return TargetResponse(resp, max_bytes)


def _check_with(may_send: Callable[[], bool]) -> aiohttp.ClientMiddlewareType:
    """Return a client middleware that has a request checked by a function."""

    async def check(
        req: CheckedRequest, handler: aiohttp.ClientHandlerType
    ) -> aiohttp.ClientResponse:
        req.may_send = may_send
        return await handler(req)

    return check


def _create_socket(addr_info) -> socket.socket:
    """Create a socket whose kernel buffer holds little of what isn't read."""
    sock = create_client_socket(addr_info, TimedSocket)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, ANSWER_RECEIVE_BUFFER_BYTES)
    return sock


def _session(force_close: bool, limit: ConnectionLimit | None) -> aiohttp.ClientSession:
    kwargs = {} if force_close else {"keepalive_timeout": KEEPALIVE_TIMEOUT_S}
    connector = client_connector(
        force_close=force_close,
        use_dns_cache=False,
        limit=limit,
        socket_factory=_create_socket,
        **kwargs,
    )
    return aiohttp.ClientSession(
        connector=connector,
        request_class=CheckedRequest,
        auto_decompress=False,
        read_bufsize=ANSWER_AHEAD_BYTES,
        cookie_jar=aiohttp.DummyCookieJar(),
        skip_auto_headers=_SKIPPED_AUTO_HEADERS,
        # Requests have a `ConnectTimeout`, and their routes' timeouts.
        timeout=aiohttp.ClientTimeout(total=None),
        max_line_size=MAX_HEADER_BYTES,
        max_field_size=MAX_HEADER_BYTES,
    )
