"""Checks the answer of a target and relays it to the caller."""

from __future__ import annotations

from collections.abc import AsyncIterator, Iterable

from aiohttp import HttpVersion11, web

from marjoramstage import platform
from marjoramstage._entry.crash_observer import CrashObserver
from marjoramstage._entry.instance_state import InstanceState
from marjoramstage._entry.request_context import NOT_RUN_STATUSES, RequestContext
from marjoramstage._entry.request_log import RequestLog
from marjoramstage.exceptions import TargetError, Verdict
from marjoramstage.state.routes import RunPolicy
from marjoramstage.transport.answer_buffers import AnswerBuffers
from marjoramstage.transport.byte_budget import SMALL_BYTES, Holding
from marjoramstage.transport.event_stream import (
    EventSplitter,
    EventTooLongError,
    StreamEvent,
    event_number,
)
from marjoramstage.transport.target_client import BROKEN, FOREIGN, TargetResponse

EVENT_STREAM = "text/event-stream"
# Larger answers are relayed as they arrive.
MAX_BUFFERED_BYTES = 262_144
# Such an answer, as it is read and as it is written.
HELD_BYTES = 2 * MAX_BUFFERED_BYTES
MAX_STREAM_EVENTS = 100_000
# While a stream runs, its origin is recorded again after this time.
ORIGIN_KEPT_INTERVAL_S = 5.0


def check_answer(ctx: RequestContext, answer: TargetResponse) -> None:
    """Check whether an answer may be relayed, from its status and headers.

    Raises
    ------
    TargetError
        It must not be relayed.
    """
    status, headers = answer.status, answer.headers
    answered_id = platform.request_id_of(headers)
    if answered_id and answered_id != ctx.headers.request_id:
        raise TargetError(
            "the answer carries the id of another request",
            Verdict.MAY_HAVE_RUN,
            status,
            FOREIGN,
        )
    if not answered_id and answer.reused_connection:
        raise TargetError(
            "the answer carries no id and may be that of an earlier request",
            Verdict.MAY_HAVE_RUN,
            status,
            FOREIGN,
        )
    if platform.proves_not_run(status, headers):
        raise TargetError(
            f"not run at the target: status {status}",
            Verdict.NOT_RUN,
            status,
            "rejected",
        )
    if status in NOT_RUN_STATUSES:
        raise TargetError(
            f"status {status} without proof that it did not run",
            Verdict.MAY_HAVE_RUN,
            status,
            "unproved",
        )
    may_retry = (
        ctx.route.run_policy is RunPolicy.REPEATABLE
        and ctx.possible_runs + 1 < ctx.route.max_attempts
        and status >= 500
    )
    if may_retry:
        raise TargetError(f"status {status}", Verdict.MAY_HAVE_RUN, status, "failed")
    if ctx.resp is not None and not _is_stream(answer):
        raise TargetError(
            "no event stream to go on with", Verdict.MAY_HAVE_RUN, status, "failed"
        )


def _check_follows(event: StreamEvent, last_id: str) -> None:
    """Raise if an event comes again after the one with ``last_id``."""
    number, last = event.number, event_number(last_id)
    if number is not None and last is not None and number <= last:
        raise TargetError(
            f"event {number} follows event {last}",
            Verdict.MAY_HAVE_RUN,
            reason=BROKEN,
        )


def _check_rest(events: Iterable[StreamEvent], last_id: str) -> None:
    """Raise unless events may follow the one with ``last_id`` in a resumed stream."""
    for event in events:
        if event.is_comment:
            continue
        if not event.id or (event_number(last_id) is not None and event.number is None):
            raise TargetError(
                f"an event with the id {event.id!r} after event {last_id}",
                Verdict.MAY_HAVE_RUN,
                reason="failed",
            )
        _check_follows(event, last_id)
        last_id = event.id


def _is_stream(answer: TargetResponse) -> bool:
    content_type = answer.headers.get("Content-Type", "")
    return answer.status == 200 and content_type.startswith(EVENT_STREAM)


class AnswerRelay:
    """Relays answers of targets to callers."""

    def __init__(
        self,
        state: InstanceState,
        log: RequestLog,
        crash_observer: CrashObserver,
        answers: AnswerBuffers,
    ):
        self._answers = answers
        self._state = state
        self._log = log
        self._crash_observer = crash_observer

    async def relay(
        self, ctx: RequestContext, answer: TargetResponse
    ) -> web.StreamResponse:
        """Relay an answer; return the response to the caller.

        Raises
        ------
        TargetError
            The answer broke off.
        """
        splitter = EventSplitter()
        try:
            if _is_stream(answer):
                return await self._relay_stream(ctx, answer, splitter)
            return await self._relay_whole(ctx, answer)
        finally:
            if ctx.origin_kept_s is not None:
                now_s = self._state.clock.now()
                self._state.stream_origins.extend(ctx.stream_id, now_s)
            self._log.answer_ended(ctx, answer, splitter)

    def _note_writing(self, ctx: RequestContext) -> None:
        """Record that a target writes on its answer."""
        if ctx.answer_began_s is None:
            ctx.answer_began_s = self._state.clock.now()
        self._crash_observer.writing(ctx)

    async def _relay_whole(
        self, ctx: RequestContext, answer: TargetResponse
    ) -> web.StreamResponse:
        """Relay an answer that is read to its end first, unless it is large."""
        buffered = bytearray()
        holding: Holding | None = None
        chunks = answer.iter_chunks()
        try:
            async for chunk in chunks:
                self._note_writing(ctx)
                buffered += chunk
                if len(buffered) <= SMALL_BYTES:
                    continue
                if holding is None:
                    holding = self._answers.hold(HELD_BYTES)
                if holding is None or len(buffered) > MAX_BUFFERED_BYTES:
                    ctx.resp = await self._start(ctx, answer)
                    ctx.answer_writer.adopt(holding)
                    holding = None
                    return await self._relay_large(ctx, buffered, chunks)
            resp = self._whole_response(answer, bytes(buffered))
            if holding is not None and ctx.req.transport is not None:
                self._answers.leave(holding, ctx.req.transport)
                holding = None
            return resp
        finally:
            if holding is not None:
                self._answers.give_back(holding)

    def _whole_response(self, answer: TargetResponse, body: bytes) -> web.Response:
        headers = platform.answer_headers(answer.headers)
        resp = web.Response(
            status=answer.status,
            reason=answer.reason,
            body=body,
            headers=headers,
        )
        if "Content-Type" not in headers:
            resp.headers.popall("Content-Type", None)
        return resp

    async def _relay_large(
        self,
        ctx: RequestContext,
        first: bytearray,
        rest: AsyncIterator[bytes],
    ) -> web.StreamResponse:
        """Relay an answer as it arrives; it can't be repeated from here on."""
        resp, writer = ctx.resp, ctx.answer_writer
        await writer.write(resp, bytes(first))
        # The caller's connection holds them from here on.
        first.clear()
        async for chunk in rest:
            await writer.write(resp, chunk)
        await resp.write_eof()
        return resp

    async def _relay_stream(
        self, ctx: RequestContext, answer: TargetResponse, splitter: EventSplitter
    ) -> web.StreamResponse:
        """Relay complete events as they arrive."""
        if ctx.resp is None:
            ctx.resp = await self._start(ctx, answer)
            ctx.resumable = True
        resp, writer = ctx.resp, ctx.answer_writer
        is_rest = ctx.first_event_s is not None
        last_id = ctx.last_event_id
        async for chunk in answer.iter_chunks():
            self._note_writing(ctx)
            events = self._split(splitter, chunk)
            if not events:
                continue
            if is_rest:
                _check_rest(events, ctx.last_event_id)
            else:
                _check_follows(events[0], ctx.last_event_id)
            await writer.write(resp, b"".join(event.data for event in events))
            now_s = self._state.clock.now()
            last = next((e for e in reversed(events) if not e.is_comment), None)
            if last is None:
                continue
            if ctx.route.resumable:
                self._keep_origin(ctx, now_s)
            ctx.record_event(last, now_s)
        problem = splitter.truncation(answer.framing)
        if problem:
            raise TargetError(problem, Verdict.MAY_HAVE_RUN, answer.status, BROKEN)
        if is_rest and ctx.last_event_id == last_id:
            raise TargetError(
                "no event in the rest of a stream",
                Verdict.MAY_HAVE_RUN,
                answer.status,
                "failed",
            )
        if splitter.incomplete:
            await resp.write(splitter.incomplete)
        await resp.write_eof()
        if not is_rest and not ctx.headers.last_event_id:
            self._learn_cost(ctx, splitter.count)
        return resp

    def _learn_cost(self, ctx: RequestContext, events: int) -> None:
        """Learn from a stream that ran from its start to its end at one target."""
        if ctx.criteria.work is None or ctx.first_event_s is None:
            return
        first_s = ctx.arrived_s + ctx.first_event_s
        self._state.backlog.observe(
            ctx.tried[-1], ctx.criteria.work, events, first_s, ctx.last_event_s
        )

    def _keep_origin(self, ctx: RequestContext, now_s: float) -> None:
        """Record the version of a stream, again now and then while it runs."""
        origins = self._state.stream_origins
        if ctx.origin_kept_s is None:
            origins.record(ctx.stream_id, ctx.target_software, now_s)
            self._state.on_stream_begun()
        elif now_s - ctx.origin_kept_s >= ORIGIN_KEPT_INTERVAL_S:
            origins.extend(ctx.stream_id, now_s)
        else:
            return
        ctx.origin_kept_s = now_s

    def _split(self, splitter: EventSplitter, chunk: bytes) -> list[StreamEvent]:
        """Return the events that a block completes; raise if they are too many."""
        try:
            events = splitter.feed(chunk)
        except EventTooLongError as exc:
            raise TargetError(str(exc), Verdict.MAY_HAVE_RUN, reason=BROKEN) from exc
        if splitter.count > MAX_STREAM_EVENTS:
            text = f"a stream of over {MAX_STREAM_EVENTS} events"
            raise TargetError(text, Verdict.MAY_HAVE_RUN, reason=BROKEN)
        return events

    async def _start(
        self, ctx: RequestContext, answer: TargetResponse
    ) -> web.StreamResponse:
        """Send the head of an answer whose body is relayed as it arrives."""
        headers = platform.answer_headers(answer.headers)
        resp = web.StreamResponse(
            status=answer.status, reason=answer.reason, headers=headers
        )
        if ctx.req.version >= HttpVersion11:
            resp.enable_chunked_encoding()
        else:
            resp.force_close()
        if self._state.stopping:
            resp.force_close()
        if ctx.req.transport is None:
            raise ConnectionResetError("the caller is gone")
        ctx.answer_writer = self._answers.open(ctx.req.transport)
        await resp.prepare(ctx.req)
        return resp
