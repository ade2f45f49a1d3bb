"""Sends a call to a target without automatic retries; reads the response.

The relay of `marjoramstage.instance` uses this client; `marjoramstage.entry`, the
instance on the users' platform, uses `TargetClient`.
"""

from __future__ import annotations

from collections.abc import AsyncIterator
from dataclasses import dataclass, field

import aiohttp

from marjoramstage.exceptions import TargetError, Verdict
from marjoramstage.protocol.messages import AttemptReason
from marjoramstage.transport.client_connection import client_connector
from marjoramstage.transport.framing import Framing
from marjoramstage.transport.response_body import ResponseBody
from marjoramstage.transport.send_once import ConnectionLostError, send_once

CONNECT_TIMEOUT_S = 2.0
READ_BYTES = 65_536
HEADER_TARGET_VERDICT = "X-Verdict"


@dataclass(frozen=True)
class TargetCall:
    """One call to a target.

    Attributes
    ----------
    request_id : str
        Id that is unique for each attempt of a request.
    timeout_s : float
        Time limit of the whole call, in seconds.
    new_connection : bool
        Whether to open a new connection; set for calls that must not be
        repeated.
    """

    address: str
    method: str
    path: str
    request_id: str
    body: bytes
    timeout_s: float
    content_type: str = "application/json"
    new_connection: bool = False


@dataclass
class _SendState:
    """State of a call being sent; ``connected`` is set before any byte is sent."""

    connected: bool = False


@dataclass
class UpstreamResponse:
    """The response of a target, whose body is still to be read."""

    resp: aiohttp.ClientResponse
    body: ResponseBody
    read_to_end: bool = field(default=False, init=False)

    @property
    def status(self) -> int:
        """HTTP status."""
        return self.resp.status

    @property
    def content_type(self) -> str:
        """Content type with its parameters; octet-stream if none is given."""
        return self.resp.headers.get("Content-Type", "application/octet-stream")

    @property
    def self_delimiting(self) -> bool:
        """Whether the end of the body differs from a connection that broke."""
        return self.body.framing is not Framing.CONNECTION

    async def iter_chunks(self) -> AsyncIterator[bytes]:
        """Yield the body as it arrives.

        Raises
        ------
        TargetError
            The connection broke or the call timed out.
        """
        try:
            async for chunk in self.body.iter_chunks():
                yield chunk
        except (aiohttp.ClientError, TimeoutError, OSError) as exc:
            raise _target_error(exc, Verdict.MAY_HAVE_RUN) from exc
        self.read_to_end = True

    async def read(self, max_bytes: int) -> bytes | None:
        """Return the whole body, or None if it is larger than ``max_bytes``.

        Raises
        ------
        TargetError
            As for `iter_chunks`.
        """
        chunks, size = [], 0
        async for chunk in self.iter_chunks():
            chunks.append(chunk)
            size += len(chunk)
            if size > max_bytes:
                return None
        return b"".join(chunks)

    def close(self) -> None:
        """Release a connection that was read to its end; close any other."""
        if self.read_to_end:
            self.resp.release()
            return
        self.resp.close()


class UpstreamClient:
    """HTTP client that sends callers' requests to targets.

    aiohttp never sends a request a second time: its retry of idempotent
    methods is disabled and redirects are not followed. Calls that must not be
    repeated get a new connection, as the target may be about to close a
    pooled one. Nothing carries over between callers: cookies are not kept.
    """

    def __init__(self):
        self._pooled: aiohttp.ClientSession | None = None
        self._fresh: aiohttp.ClientSession | None = None

    async def send(self, call: TargetCall) -> UpstreamResponse:
        """Send a call; return once the response headers have arrived.

        Raises
        ------
        TargetError
            Its verdict is ``NOT_RUN`` only if no byte of the call was sent.
        """
        return await self._send(
            self._session(call.new_connection),
            call.method,
            f"http://{call.address}{call.path}",
            call.timeout_s,
            {"X-Request-Id": call.request_id, "Content-Type": call.content_type},
            call.body,
        )

    async def resume(
        self,
        address: str,
        request_id: str,
        last_event_id: int,
        chat: bool,
        timeout_s: float,
    ) -> UpstreamResponse:
        """Ask an engine for the events of a stream after ``last_event_id``.

        Raises
        ------
        TargetError
            The engine did not respond.
        """
        chat_text = "true" if chat else "false"
        path = f"/v1/streams/{request_id}?after={last_event_id}&chat={chat_text}"
        url = f"http://{address}{path}"
        return await self._send(self._session(False), "GET", url, timeout_s, {}, b"")

    async def close(self) -> None:
        """Close every connection."""
        for session in (self._pooled, self._fresh):
            if session is not None:
                await session.close()

    async def _send(
        self,
        session: aiohttp.ClientSession,
        method: str,
        url: str,
        timeout_s: float,
        headers: dict[str, str],
        body: bytes,
    ) -> UpstreamResponse:
        timeout = aiohttp.ClientTimeout(total=timeout_s, sock_connect=CONNECT_TIMEOUT_S)
        send_state = _SendState()
        try:
            resp = await session.request(
                method,
                url,
                data=body or None,
                headers={**headers, "Accept-Encoding": "identity"},
                timeout=timeout,
                allow_redirects=False,
                read_bufsize=READ_BYTES,
                trace_request_ctx=send_state,
                middlewares=(send_once,),
            )
        except (ConnectionLostError, aiohttp.ClientError, TimeoutError, OSError) as exc:
            verdict = Verdict.MAY_HAVE_RUN if send_state.connected else Verdict.NOT_RUN
            raise _target_error(exc, verdict) from exc
        return UpstreamResponse(resp, ResponseBody(resp))

    def _session(self, new_connection: bool) -> aiohttp.ClientSession:
        if new_connection:
            if self._fresh is None:
                self._fresh = _new_session(force_close=True)
            return self._fresh
        if self._pooled is None:
            self._pooled = _new_session(force_close=False)
        return self._pooled


def _new_session(force_close: bool) -> aiohttp.ClientSession:
    trace = aiohttp.TraceConfig(trace_config_ctx_factory=_trace_context)
    trace.on_connection_create_end.append(_mark_connected)
    trace.on_connection_reuseconn.append(_mark_connected)
    return aiohttp.ClientSession(
        connector=client_connector(force_close=force_close),
        cookie_jar=aiohttp.DummyCookieJar(),
        auto_decompress=False,
        trace_configs=[trace],
    )


def _trace_context(trace_request_ctx: _SendState) -> _SendState:
    return trace_request_ctx


async def _mark_connected(
    session: aiohttp.ClientSession, ctx: _SendState, params
) -> None:
    ctx.connected = True


def _target_error(exc: Exception, verdict: Verdict) -> TargetError:
    text = str(exc) or type(exc).__name__
    if verdict is Verdict.NOT_RUN:
        return TargetError(text, verdict, reason=AttemptReason.CONNECT)
    timed_out = isinstance(exc, TimeoutError)
    reason = AttemptReason.DEADLINE if timed_out else AttemptReason.BROKEN
    return TargetError(text, verdict, reason=reason)
