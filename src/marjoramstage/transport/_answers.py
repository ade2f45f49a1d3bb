"""Answers of targets: what they prove, and how they reach the caller."""

from __future__ import annotations

import json
from dataclasses import dataclass, field

from aiohttp import web

from marjoramstage.exceptions import TargetError, Verdict
from marjoramstage.protocol.messages import AttemptReason, TargetKind
from marjoramstage.transport._calls import HEADER_PROOF, Upstream
from marjoramstage.transport._errors import HEADER_REQUEST_ID, HEADER_VERDICT
from marjoramstage.transport._sse import DONE

EVENT_STREAM = "text/event-stream"
JSON_TYPE = "application/json"
WHOLE_BYTES = 4_194_304
KEPT_HEADERS = ("Location", "ETag")

_ENGINE_REFUSALS = {
    404: AttemptReason.NOT_RESIDENT,
    429: AttemptReason.BUSY,
    503: AttemptReason.BUSY,
}
_ENGINE_BAD_REQUESTS = frozenset({400, 405, 413, 415, 422})
_PROOF_STATUSES = frozenset({429, 503})


@dataclass(frozen=True)
class Answer:
    """A whole answer of a target.

    Attributes
    ----------
    tokens : int
        Output tokens that the target counted.
    """

    status: int
    content_type: str
    body: bytes
    verdict: Verdict = Verdict.RAN
    headers: tuple[tuple[str, str], ...] = ()
    tokens: int = 0


@dataclass
class Progress:
    """How far an attempt has come.

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
class Caller:
    """The caller's side of one request.

    Attributes
    ----------
    resp : StreamResponse or None
        The answer that was begun.
    """

    req: web.Request
    request_id: str
    resp: web.StreamResponse | None = field(default=None, init=False)

    @property
    def begun(self) -> bool:
        """Whether bytes of the answer may have reached the caller."""
        return self.resp is not None

    async def begin(self, status: int, content_type: str) -> None:
        """Send the head of an answer whose verdict is known at its end only."""
        resp = web.StreamResponse(status=status)
        resp.headers["Content-Type"] = content_type
        resp.headers[HEADER_REQUEST_ID] = self.request_id
        resp.headers[HEADER_VERDICT] = Verdict.MAY_HAVE_RUN.value
        self.resp = resp
        await resp.prepare(self.req)

    async def write(self, data: bytes) -> None:
        """Send a part of the answer, as fast as the caller reads."""
        await self.resp.write(data)

    async def end(self) -> web.StreamResponse:
        """Mark the answer as complete."""
        await self.resp.write_eof()
        return self.resp

    def whole(self, answer: Answer) -> web.Response:
        """Return the response of a whole answer."""
        resp = web.Response(status=answer.status, body=answer.body)
        resp.headers["Content-Type"] = answer.content_type
        for name, value in answer.headers:
            resp.headers[name] = value
        resp.headers[HEADER_REQUEST_ID] = self.request_id
        resp.headers[HEADER_VERDICT] = answer.verdict.value
        return resp

    def break_off(self) -> None:
        """End the connection, so that a part is not taken for the whole."""
        if self.req.transport is not None:
            self.req.transport.abort()


def check_status(kind: TargetKind, upstream: Upstream) -> Verdict:
    """Return what the status of an answer proves about the request.

    An engine proves with 404, 429 and 503 that it did not start. A plain
    service's own 404 is an answer; its 429 and 503 prove that it did not
    start only with ``X-Verdict: not-run``.

    Raises
    ------
    TargetError
        The attempt failed.
    """
    status = upstream.status
    text = f"the target answered with status {status}"
    if kind is TargetKind.ENGINE:
        reason = _ENGINE_REFUSALS.get(status)
        if reason is not None:
            raise TargetError(text, Verdict.NOT_RUN, status, reason)
        if status in _ENGINE_BAD_REQUESTS:
            return Verdict.NOT_RUN
        if status != 200:
            raise TargetError(text, Verdict.MAY_HAVE_RUN, status, AttemptReason.BROKEN)
        return Verdict.RAN
    proof = upstream.resp.headers.get(HEADER_PROOF)
    if status in _PROOF_STATUSES and proof == Verdict.NOT_RUN.value:
        raise TargetError(text, Verdict.NOT_RUN, status, AttemptReason.BUSY)
    if status >= 500 or status == 429:
        raise TargetError(text, Verdict.MAY_HAVE_RUN, status, AttemptReason.BROKEN)
    return Verdict.RAN


def whole_answer(
    kind: TargetKind, upstream: Upstream, body: bytes, verdict: Verdict
) -> Answer:
    """Return the answer, once it is sure that nothing of it is missing.

    Raises
    ------
    TargetError
        The body may be cut short.
    """
    is_json = upstream.content_type.partition(";")[0].strip() == JSON_TYPE
    data = None
    generated = kind is TargetKind.ENGINE and verdict is Verdict.RAN
    if is_json and (generated or not upstream.framed):
        try:
            data = json.loads(body)
        except ValueError as exc:
            raise _cut_short() from exc
    elif not upstream.framed or (generated and not body.endswith(DONE)):
        raise _cut_short()
    headers = upstream.resp.headers
    kept = tuple((name, headers[name]) for name in KEPT_HEADERS if name in headers)
    return Answer(
        status=upstream.status,
        content_type=upstream.content_type,
        body=body,
        verdict=verdict,
        headers=kept,
        tokens=_tokens(data),
    )


def _cut_short() -> TargetError:
    return TargetError(
        "the answer may be cut short",
        Verdict.MAY_HAVE_RUN,
        reason=AttemptReason.BROKEN,
    )


def _tokens(data: object) -> int:
    usage = data.get("usage") if isinstance(data, dict) else None
    count = usage.get("completion_tokens") if isinstance(usage, dict) else None
    return count if type(count) is int and count > 0 else 0
