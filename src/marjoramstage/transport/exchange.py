"""One request sent to one target, and its answer read with a verdict."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator
from dataclasses import dataclass

import aiohttp
import yarl
from aiohttp.client_proto import ResponseHandler
from multidict import CIMultiDict, CIMultiDictProxy

from marjoramstage.exceptions import TargetError, Verdict
from marjoramstage.transport._once import BrokenCallError, send_once
from marjoramstage.transport.sockets import client_socket

CONNECT_S = 0.6
IDLE_S = 4.0
MAX_HEADER_BYTES = 32_768
UNREACHED = "unreached"
BROKEN = "broken"
FOREIGN = "foreign"

# These headers are the caller's business, the client adds none of its own.
_NO_DEFAULTS = ("User-Agent", "Accept", "Accept-Encoding", "Content-Type")

_LOST = (aiohttp.ClientError, BrokenCallError, TimeoutError, OSError, ValueError)


class _Protocol(ResponseHandler):
    """Remembers whether the connection was reset.

    The library takes a body without a length for whole when its connection
    ends, also when it was reset.
    """

    was_reset = False

    def connection_lost(self, exc: BaseException | None) -> None:
        self.was_reset = exc is not None
        super().connection_lost(exc)


@dataclass(frozen=True)
class Call:
    """A request as it goes to a target.

    Attributes
    ----------
    path : str
        Path and query, byte for byte.
    fresh : bool
        Use a new connection: one that was idle may break just now, and then
        nobody knows whether the request ran.
    """

    address: str
    method: str
    path: str
    headers: CIMultiDict[str]
    body: bytes
    fresh: bool = False


class Answer:
    """The answer of a target: status and headers, then its body."""

    def __init__(self, resp: aiohttp.ClientResponse, protocol: _Protocol):
        self._resp = resp
        self._protocol = protocol

    @property
    def status(self) -> int:
        """Return the HTTP status."""
        return self._resp.status

    @property
    def reason(self) -> str | None:
        """Return the text beside the status."""
        return self._resp.reason

    @property
    def headers(self) -> CIMultiDictProxy[str]:
        """Return the headers as the target sent them."""
        return self._resp.headers

    async def blocks(self) -> AsyncIterator[bytes]:
        """Read the body as it arrives.

        Raises
        ------
        TargetError
            The body ended early.
        """
        try:
            async for block in self._resp.content.iter_any():
                yield block
        except _LOST as exc:
            raise TargetError(
                f"the answer broke off: {type(exc).__name__}",
                Verdict.MAY_HAVE_RUN,
                self.status,
                BROKEN,
            ) from exc
        if self._protocol.was_reset and not self._is_framed():
            raise TargetError(
                "the answer ended with a reset",
                Verdict.MAY_HAVE_RUN,
                self.status,
                BROKEN,
            )

    def _is_framed(self) -> bool:
        """Whether the body says by itself where it ends."""
        headers = self._resp.headers
        return "Content-Length" in headers or "Transfer-Encoding" in headers

    async def whole(self) -> bytes:
        """Read the whole body; errors as in `blocks`."""
        return b"".join([block async for block in self.blocks()])

    def close(self) -> None:
        """Close the connection, unless the answer was read to its end."""
        self._resp.close()


class Exchange:
    """Client of targets; owns its connections."""

    def __init__(self):
        self._pooled = _session(force_close=False)
        self._fresh = _session(force_close=True)

    async def stop(self) -> None:
        """Close every connection."""
        await self._pooled.close()
        await self._fresh.close()

    async def send(self, call: Call) -> Answer:
        """Send a request and read the head of its answer.

        Raises
        ------
        TargetError
            There is no answer to this request; the verdict says whether it
            may have run.
        """
        session = self._fresh if call.fresh else self._pooled
        url = yarl.URL(f"http://{call.address}{call.path}", encoded=True)
        try:
            resp = await session.request(
                call.method,
                url,
                headers=call.headers,
                data=call.body or None,
                allow_redirects=False,
                middlewares=(send_once,),
            )
        except (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError) as exc:
            raise TargetError(
                f"no connection: {exc}", Verdict.NOT_RUN, None, UNREACHED
            ) from exc
        except _LOST as exc:
            raise TargetError(
                f"no answer: {type(exc).__name__}: {exc}",
                Verdict.MAY_HAVE_RUN,
                None,
                BROKEN,
            ) from exc
        # The connection may be given back already; its protocol still tells.
        return Answer(resp, resp._protocol)


def _session(force_close: bool) -> aiohttp.ClientSession:
    loop = asyncio.get_running_loop()
    kwargs = {} if force_close else {"keepalive_timeout": IDLE_S}
    connector = aiohttp.TCPConnector(
        limit=0,
        force_close=force_close,
        use_dns_cache=False,
        socket_factory=client_socket,
        **kwargs,
    )
    connector._factory = lambda: _Protocol(loop=loop)
    return aiohttp.ClientSession(
        connector=connector,
        auto_decompress=False,
        cookie_jar=aiohttp.DummyCookieJar(),
        skip_auto_headers=_NO_DEFAULTS,
        timeout=aiohttp.ClientTimeout(total=None, sock_connect=CONNECT_S),
        max_line_size=MAX_HEADER_BYTES,
        max_field_size=MAX_HEADER_BYTES,
    )
