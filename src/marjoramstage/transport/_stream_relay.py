"""Relays an event stream: checks it, resumes it, reports a truncated one."""

from __future__ import annotations

import json

from marjoramstage.clock import Clock
from marjoramstage.exceptions import TargetError, Verdict
from marjoramstage.logs import component_logger
from marjoramstage.metrics import Metrics
from marjoramstage.protocol.messages import AttemptReason
from marjoramstage.transport._sse import EventScanner, SequenceError
from marjoramstage.transport._upstream import (
    TargetCall,
    UpstreamClient,
    UpstreamResponse,
)
from marjoramstage.transport.responses import (
    EVENT_STREAM,
    AttemptProgress,
    CallerResponse,
)

log = component_logger("streams")

MAX_RESUMES = 3
RESUME_BACKOFF_S = 0.05
CHAT_PATH = "/chat/completions"
RAN_COMMENT = b": verdict ran\n\n"


class StreamRelay:
    """Relays one streamed response.

    The response headers are sent with the first complete event, so that the
    request can still be retried at another target until then. A stream that
    breaks is resumed at the same engine after the last complete event; if
    that fails, it ends with an ``error`` event and without ``[DONE]``.
    """

    def __init__(
        self, calls: UpstreamClient, call: TargetCall, clock: Clock, metrics: Metrics
    ):
        self._calls = calls
        self._call = call
        self._clock = clock
        self._metrics = metrics
        self._started_s = clock.now()
        self._scanner = EventScanner()

    async def run(
        self,
        upstream: UpstreamResponse,
        caller: CallerResponse,
        progress: AttemptProgress,
    ) -> None:
        """Relay until the last event; update ``progress`` on the way.

        Raises
        ------
        TargetError
            The stream broke before its first event and was not resumed.
        """
        resume_count = 0
        while True:
            problem = await self._relay_events(upstream, caller, progress)
            upstream.close()
            self._metrics.count("streams.repeated", self._scanner.duplicates)
            self._scanner.duplicates = 0
            if self._scanner.done:
                await self._finish(caller, progress)
                return
            progress.reason = AttemptReason.BROKEN
            resumed = None
            while resumed is None and resume_count < MAX_RESUMES and self._can_resume():
                resume_count += 1
                resumed = await self._resume(resume_count)
            if resumed is None:
                await self._fail(caller, problem)
                return
            progress.reason = ""
            upstream = resumed

    async def _relay_events(
        self,
        upstream: UpstreamResponse,
        caller: CallerResponse,
        progress: AttemptProgress,
    ) -> str:
        """Relay the events of one connection; return why it broke, or an empty text."""
        scanner = self._scanner
        try:
            async for chunk in upstream.iter_chunks():
                events = scanner.feed(chunk)
                if not events:
                    continue
                if not caller.started:
                    progress.first_token_s = self._clock.now() - self._started_s
                    await caller.start(upstream.status, EVENT_STREAM)
                progress.tokens = scanner.events
                await caller.write(events)
                if scanner.done:
                    return ""
        except (TargetError, SequenceError) as exc:
            return str(exc)
        return "the stream ended before its last event"

    def _can_resume(self) -> bool:
        # The engine finds the events that are missing by the id of the last one.
        numbered = self._scanner.last_id >= 0 or self._scanner.events == 0
        return numbered and self._remaining_s() > 0

    def _remaining_s(self) -> float:
        return self._started_s + self._call.timeout_s - self._clock.now()

    async def _resume(self, attempt: int) -> UpstreamResponse | None:
        self._metrics.count("streams.resumes")
        self._scanner.discard_incomplete()
        chat = self._call.path.endswith(CHAT_PATH)
        last_event_id = self._scanner.last_id
        try:
            upstream = await self._calls.resume(
                self._call.address,
                self._call.request_id,
                last_event_id,
                chat,
                max(0.001, self._remaining_s()),
            )
        except TargetError:
            await self._clock.sleep(RESUME_BACKOFF_S * attempt)
            return None
        if upstream.status != 200:
            upstream.close()
            return None
        return upstream

    async def _finish(self, caller: CallerResponse, progress: AttemptProgress) -> None:
        progress.verdict, progress.ok, progress.reason = Verdict.RAN, True, ""
        await caller.write(RAN_COMMENT)
        await caller.finish()

    async def _fail(self, caller: CallerResponse, problem: str) -> None:
        self._metrics.count("streams.broken")
        extra = {"request": caller.request_id, "reason": problem}
        log.warning("stream broke and could not be resumed", extra=extra)
        if not caller.started:
            raise TargetError(
                problem, Verdict.MAY_HAVE_RUN, reason=AttemptReason.BROKEN
            )
        await caller.write(error_event("stream-broken", caller.request_id))
        await caller.finish()


def error_event(code: str, request_id: str) -> bytes:
    """Return the event that ends a stream that could not be resumed."""
    error = {
        "code": code,
        "message": "The rest of the answer was lost.",
        "verdict": Verdict.MAY_HAVE_RUN.value,
        "request_id": request_id,
    }
    return b"event: error\ndata: " + json.dumps({"error": error}).encode() + b"\n\n"
