"""Responses of targets: what they prove, and how they reach the caller."""

from __future__ import annotations

import json
from dataclasses import dataclass, field

from aiohttp import web

from marjoramstage.exceptions import TargetError, Verdict
from marjoramstage.protocol.messages import AttemptReason, TargetKind
from marjoramstage.transport._errors import HEADER_REQUEST_ID, HEADER_VERDICT
from marjoramstage.transport._sse import DONE
from marjoramstage.transport._upstream import HEADER_TARGET_VERDICT, UpstreamResponse

EVENT_STREAM = "text/event-stream"
JSON_TYPE = "application/json"
MAX_BUFFERED_BYTES = 4_194_304
FORWARDED_HEADERS = ("Location", "ETag")

_ENGINE_REFUSALS = {
    404: AttemptReason.NOT_RESIDENT,
    429: AttemptReason.BUSY,
    503: AttemptReason.BUSY,
}
_ENGINE_CLIENT_ERRORS = frozenset({400, 405, 413, 415, 422})
_REFUSAL_STATUSES = frozenset({429, 503})


@dataclass(frozen=True)
class BufferedResponse:
    """A complete response of a target, held in memory.

    Attributes
    ----------
    tokens : int
        Number of output tokens that the target reported.
    """

    status: int
    content_type: str
    body: bytes
    verdict: Verdict = Verdict.RAN
    headers: tuple[tuple[str, str], ...] = ()
    tokens: int = 0


@dataclass
class AttemptProgress:
    """How far an attempt got, and what is known of its outcome.

    Attributes
    ----------
    first_token_s : float or None
        Time from dispatch to the first token, in seconds.
    """

    verdict: Verdict = Verdict.MAY_HAVE_RUN
    ok: bool = False
    tokens: int = 0
    first_token_s: float | None = None
    reason: str = ""


@dataclass
class CallerResponse:
    """The response to the caller of one request.

    Attributes
    ----------
    resp : StreamResponse or None
        The streamed response, once it has started.
    """

    req: web.Request
    request_id: str
    resp: web.StreamResponse | None = field(default=None, init=False)

    @property
    def started(self) -> bool:
        """Whether bytes of the response may have reached the caller."""
        return self.resp is not None

    async def start(self, status: int, content_type: str) -> None:
        """Send the headers of a response whose verdict is known only at its end."""
        resp = web.StreamResponse(status=status)
        resp.headers["Content-Type"] = content_type
        resp.headers[HEADER_REQUEST_ID] = self.request_id
        resp.headers[HEADER_VERDICT] = Verdict.MAY_HAVE_RUN.value
        self.resp = resp
        await resp.prepare(self.req)

    async def write(self, data: bytes) -> None:
        """Send a part of the body; waits while the caller reads slowly."""
        await self.resp.write(data)

    async def finish(self) -> web.StreamResponse:
        """Mark the response as complete."""
        await self.resp.write_eof()
        return self.resp

    def build(self, response: BufferedResponse) -> web.Response:
        """Build the response to the caller from a buffered one."""
        resp = web.Response(status=response.status, body=response.body)
        resp.headers["Content-Type"] = response.content_type
        for name, value in response.headers:
            resp.headers[name] = value
        resp.headers[HEADER_REQUEST_ID] = self.request_id
        resp.headers[HEADER_VERDICT] = response.verdict.value
        return resp

    def abort(self) -> None:
        """Abort the connection, so that a partial body is not taken for complete."""
        if self.req.transport is not None:
            self.req.transport.abort()


def check_status(kind: TargetKind, upstream: UpstreamResponse) -> Verdict:
    """Return what the status of a response proves about the request.

    An engine proves with 404, 429 and 503 that it did not start the request.
    A 404 of a plain service is a regular response; its 429 and 503 prove that
    it did not start the request only together with ``X-Verdict: not-run``.

    Raises
    ------
    TargetError
        The attempt failed.
    """
    status = upstream.status
    text = f"the target responded with status {status}"
    if kind is TargetKind.ENGINE:
        reason = _ENGINE_REFUSALS.get(status)
        if reason is not None:
            raise TargetError(text, Verdict.NOT_RUN, status, reason)
        if status in _ENGINE_CLIENT_ERRORS:
            return Verdict.NOT_RUN
        if status != 200:
            raise TargetError(text, Verdict.MAY_HAVE_RUN, status, AttemptReason.BROKEN)
        return Verdict.RAN
    target_verdict = upstream.resp.headers.get(HEADER_TARGET_VERDICT)
    if status in _REFUSAL_STATUSES and target_verdict == Verdict.NOT_RUN.value:
        raise TargetError(text, Verdict.NOT_RUN, status, AttemptReason.BUSY)
    if status >= 500 or status == 429:
        raise TargetError(text, Verdict.MAY_HAVE_RUN, status, AttemptReason.BROKEN)
    return Verdict.RAN


def buffered_response(
    kind: TargetKind, upstream: UpstreamResponse, body: bytes, verdict: Verdict
) -> BufferedResponse:
    """Return the buffered response after checking that it is complete.

    A JSON body whose end HTTP does not mark has to be valid. A generated body
    has to be valid JSON or to end with ``[DONE]``.

    Raises
    ------
    TargetError
        The body may be truncated.
    """
    is_json = upstream.content_type.partition(";")[0].strip() == JSON_TYPE
    data = None
    generated = kind is TargetKind.ENGINE and verdict is Verdict.RAN
    if is_json and (generated or not upstream.self_delimiting):
        try:
            data = json.loads(body)
        except ValueError as exc:
            raise _truncated() from exc
    elif generated and not body.endswith(DONE):
        raise _truncated()
    headers = upstream.resp.headers
    forwarded = tuple(
        (name, headers[name]) for name in FORWARDED_HEADERS if name in headers
    )
    return BufferedResponse(
        status=upstream.status,
        content_type=upstream.content_type,
        body=body,
        verdict=verdict,
        headers=forwarded,
        tokens=_completion_tokens(data),
    )


def _truncated() -> TargetError:
    return TargetError(
        "the response body may be truncated",
        Verdict.MAY_HAVE_RUN,
        reason=AttemptReason.BROKEN,
    )


def _completion_tokens(data: object) -> int:
    usage = data.get("usage") if isinstance(data, dict) else None
    count = usage.get("completion_tokens") if isinstance(usage, dict) else None
    return count if type(count) is int and count > 0 else 0
