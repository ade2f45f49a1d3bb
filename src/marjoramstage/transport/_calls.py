"""Sends one call to a target exactly once and reads its answer."""

from __future__ import annotations

from collections.abc import AsyncIterator
from dataclasses import dataclass, field

import aiohttp

from marjoramstage.exceptions import TargetError, Verdict
from marjoramstage.protocol.messages import AttemptReason
from marjoramstage.transport._once import BrokenCallError, send_once

CONNECT_TIMEOUT_S = 2.0
READ_BYTES = 65_536
HEADER_PROOF = "X-Verdict"


@dataclass(frozen=True)
class TargetCall:
    """One call to a target.

    Attributes
    ----------
    request_id : str
        Name of the attempt, unique for each attempt.
    timeout_s : float
        Time left for the whole call, in seconds.
    once : bool
        Whether the call may not be repeated; it gets a connection of its own.
    """

    address: str
    method: str
    path: str
    request_id: str
    body: bytes
    timeout_s: float
    content_type: str = "application/json"
    once: bool = False


@dataclass
class _Sending:
    """What is known of a call on its way; ``connected`` before any byte."""

    connected: bool = False


@dataclass
class Upstream:
    """The answer of a target, whose body is still to be read."""

    resp: aiohttp.ClientResponse
    whole: bool = field(default=False, init=False)

    @property
    def status(self) -> int:
        """HTTP status."""
        return self.resp.status

    @property
    def content_type(self) -> str:
        """Content type with its parameters; plain bytes if none is given."""
        return self.resp.headers.get("Content-Type", "application/octet-stream")

    @property
    def framed(self) -> bool:
        """Whether the end of the body can be told from a broken connection."""
        if self.resp.method == "HEAD" or self.status in (204, 304):
            return True
        headers = self.resp.headers
        chunked = "chunked" in headers.get("Transfer-Encoding", "").lower()
        return chunked or "Content-Length" in headers

    async def blocks(self) -> AsyncIterator[bytes]:
        """Give the body as it arrives.

        Raises
        ------
        TargetError
            The body broke off or came too slowly.
        """
        try:
            async for block in self.resp.content.iter_any():
                yield block
        except (aiohttp.ClientError, TimeoutError, OSError) as exc:
            raise _failed(exc, Verdict.MAY_HAVE_RUN) from exc
        self.whole = True

    async def read(self, most_bytes: int) -> bytes | None:
        """Return the whole body, or None if it is larger than ``most_bytes``.

        Raises
        ------
        TargetError
            As for `blocks`.
        """
        parts, size = [], 0
        async for block in self.blocks():
            parts.append(block)
            size += len(block)
            if size > most_bytes:
                return None
        return b"".join(parts)

    def close(self) -> None:
        """Give up what was not read; a connection read to its end is kept."""
        if self.whole:
            self.resp.release()
            return
        self.resp.close()


class CallClient:
    """Connections for callers' requests.

    No request is sent a second time by the HTTP library: its own retry of
    idempotent methods is cut off, redirects are not followed, and calls that
    may not be repeated get a new connection, so that none meets one that the
    target was about to close. Nothing is kept from one caller's request for
    another's: no cookies.
    """

    def __init__(self):
        self._pooled: aiohttp.ClientSession | None = None
        self._fresh: aiohttp.ClientSession | None = None

    async def send(self, call: TargetCall) -> Upstream:
        """Send a call and return its answer once its head has arrived.

        Raises
        ------
        TargetError
            With ``NOT_RUN`` only if no byte of it was written.
        """
        return await self._request(
            self._session(call.once),
            call.method,
            f"http://{call.address}{call.path}",
            call.timeout_s,
            {"X-Request-Id": call.request_id, "Content-Type": call.content_type},
            call.body,
        )

    async def resume(
        self, address: str, request_id: str, after: int, chat: bool, timeout_s: float
    ) -> Upstream:
        """Ask an engine for the events of a stream that follow ``after``.

        Raises
        ------
        TargetError
            The engine cannot be reached.
        """
        chat_text = "true" if chat else "false"
        path = f"/v1/streams/{request_id}?after={after}&chat={chat_text}"
        url = f"http://{address}{path}"
        return await self._request(self._session(False), "GET", url, timeout_s, {}, b"")

    async def close(self) -> None:
        """Close every connection."""
        for session in (self._pooled, self._fresh):
            if session is not None:
                await session.close()

    async def _request(
        self,
        session: aiohttp.ClientSession,
        method: str,
        url: str,
        timeout_s: float,
        headers: dict[str, str],
        body: bytes,
    ) -> Upstream:
        timeout = aiohttp.ClientTimeout(total=timeout_s, sock_connect=CONNECT_TIMEOUT_S)
        sending = _Sending()
        try:
            resp = await session.request(
                method,
                url,
                data=body or None,
                headers={**headers, "Accept-Encoding": "identity"},
                timeout=timeout,
                allow_redirects=False,
                read_bufsize=READ_BYTES,
                trace_request_ctx=sending,
                middlewares=(send_once,),
            )
        except (BrokenCallError, aiohttp.ClientError, TimeoutError, OSError) as exc:
            verdict = Verdict.MAY_HAVE_RUN if sending.connected else Verdict.NOT_RUN
            raise _failed(exc, verdict) from exc
        return Upstream(resp)

    def _session(self, once: bool) -> aiohttp.ClientSession:
        if once:
            if self._fresh is None:
                self._fresh = _new_session(force_close=True)
            return self._fresh
        if self._pooled is None:
            self._pooled = _new_session(force_close=False)
        return self._pooled


def _new_session(force_close: bool) -> aiohttp.ClientSession:
    trace = aiohttp.TraceConfig(trace_config_ctx_factory=_request_context)
    trace.on_connection_create_end.append(_connected)
    trace.on_connection_reuseconn.append(_connected)
    return aiohttp.ClientSession(
        connector=aiohttp.TCPConnector(limit=0, force_close=force_close),
        cookie_jar=aiohttp.DummyCookieJar(),
        auto_decompress=False,
        trace_configs=[trace],
    )


def _request_context(trace_request_ctx: _Sending) -> _Sending:
    return trace_request_ctx


async def _connected(session: aiohttp.ClientSession, ctx: _Sending, params) -> None:
    ctx.connected = True


def _failed(exc: Exception, verdict: Verdict) -> TargetError:
    text = str(exc) or type(exc).__name__
    if verdict is Verdict.NOT_RUN:
        return TargetError(text, verdict, reason=AttemptReason.CONNECT)
    timed_out = isinstance(exc, TimeoutError)
    reason = AttemptReason.DEADLINE if timed_out else AttemptReason.BROKEN
    return TargetError(text, verdict, reason=reason)
