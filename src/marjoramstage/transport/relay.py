"""Sends a request to targets and relays the response to its caller."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import replace

from aiohttp import web
from result import Err, Ok, Result

from marjoramstage.clock import Clock
from marjoramstage.exceptions import RequestError, TargetError, Verdict
from marjoramstage.logs import component_logger
from marjoramstage.metrics import Metrics
from marjoramstage.protocol.events import Dispatch
from marjoramstage.protocol.messages import (
    AttemptEnd,
    AttemptReason,
    Request,
    TargetKind,
)
from marjoramstage.transport._interfaces import (
    CallFactory,
    Claim,
    ClaimStore,
    Router,
    UsageRecorder,
)
from marjoramstage.transport._stream_relay import StreamRelay
from marjoramstage.transport.responses import (
    EVENT_STREAM,
    MAX_BUFFERED_BYTES,
    AttemptProgress,
    BufferedResponse,
    CallerResponse,
    buffered_response,
    check_status,
)
from marjoramstage.transport.targets import (
    TargetCall,
    TargetControlClient,
    UpstreamClient,
    UpstreamResponse,
)

log = component_logger("relay")

DEADLINE_GRACE_S = 5.0
# An answer under a claim is held whole, as it has to be recorded.
MAX_CLAIMED_BYTES = 16_777_216

__all__ = ["Claim", "ClaimStore", "Relay", "Router", "UsageRecorder"]


class Relay:
    """Attempts requests at targets and relays the response.

    Parameters
    ----------
    spawn : callable
        Starts a task that outlives the request, such as a cancel call.
    deadline_grace_s : float
        How long after the deadline of a request its response is still
        relayed, in seconds.
    """

    def __init__(
        self,
        router: Router,
        calls: UpstreamClient,
        targets: TargetControlClient,
        clock: Clock,
        metrics: Metrics,
        usage: UsageRecorder,
        spawn: Callable[..., asyncio.Task],
        deadline_grace_s: float = DEADLINE_GRACE_S,
    ):
        self._router = router
        self._calls = calls
        self._targets = targets
        self._clock = clock
        self._metrics = metrics
        self._usage = usage
        self._spawn = spawn
        self._deadline_grace_s = deadline_grace_s

    async def serve(
        self,
        req: web.Request,
        request: Request,
        make_call: CallFactory,
        claim: Claim | None = None,
    ) -> web.StreamResponse:
        """Dispatch a request and relay its response.

        A request with a claim continues when its caller disconnects, so that
        the outcome is recorded.

        Raises
        ------
        RequestError
            The request ended without a response.
        """
        caller = CallerResponse(req, request.id)
        if claim is None:
            response = await self._run_attempts(caller, request, make_call)
        else:
            work = self._run_with_claim(caller, request, make_call, claim)
            result = await asyncio.shield(self._spawn(work))
            if isinstance(result, Err):
                raise result.err_value
            response = result.ok_value
        if response is None:
            return caller.resp
        return caller.build(response)

    async def _run_with_claim(
        self,
        caller: CallerResponse,
        request: Request,
        make_call: CallFactory,
        claim: Claim,
    ) -> Result[BufferedResponse, RequestError]:
        try:
            try:
                response = await self._run_attempts(caller, request, make_call, claim)
            except RequestError as exc:
                return Ok(await claim.resolve_error(exc))
        except RequestError as exc:
            return Err(exc)
        await claim.record_response(response)
        return Ok(response)

    async def _run_attempts(
        self,
        caller: CallerResponse,
        request: Request,
        make_call: CallFactory,
        claim: Claim | None = None,
    ) -> BufferedResponse | None:
        """Try targets in turn; return a buffered response, or None if streamed."""
        failed: tuple[str, ...] = ()
        may_have_run, attempt_number = False, 0
        dispatch = await self._router.submit(request)
        while True:
            attempt_number += 1
            call = self._call_of_attempt(make_call(dispatch), request, attempt_number)
            try:
                if claim is not None and attempt_number == 1:
                    recorded = await self._acquire_claim(request, dispatch, claim)
                    if recorded is not None:
                        return recorded
                return await self._run_attempt(caller, request, dispatch, call, claim)
            except _PreemptedError:
                may_have_run = True
            except TargetError as exc:
                self._log_failure(request, dispatch, exc)
                may_have_run = may_have_run or exc.verdict is not Verdict.NOT_RUN
                if caller.started or not self._may_retry(request, exc):
                    raise _lost_response(exc) from exc
                failed = (*failed, dispatch.target)
            try:
                dispatch = await self._router.retry(request, failed)
            except RequestError as exc:
                if may_have_run:
                    text = "An attempt was lost and no other could be made."
                    verdict = Verdict.MAY_HAVE_RUN
                    raise RequestError(502, "target", text, verdict) from exc
                raise

    def _call_of_attempt(
        self, call: TargetCall, request: Request, attempt_number: int
    ) -> TargetCall:
        """Return the call of one attempt, with an id unique to the attempt."""
        return replace(
            call,
            request_id=f"{request.id}-{attempt_number}",
            new_connection=not request.repeatable,
            timeout_s=call.timeout_s + self._deadline_grace_s,
        )

    def _may_retry(self, request: Request, exc: TargetError) -> bool:
        if exc.verdict is Verdict.NOT_RUN:
            return True
        return request.repeatable and self._clock.now() < request.deadline_s

    def _log_failure(
        self, request: Request, dispatch: Dispatch, exc: TargetError
    ) -> None:
        extra = {
            "request": request.id,
            "target": dispatch.target,
            "reason": str(exc),
            "verdict": exc.verdict.value,
        }
        log.warning("attempt failed", extra=extra)

    async def _acquire_claim(
        self, request: Request, dispatch: Dispatch, claim: Claim
    ) -> BufferedResponse | None:
        """Acquire the claim; free the slot unless the request is to be sent."""
        recorded, acquired = None, False
        try:
            recorded = await claim.acquire()
            acquired = recorded is None
            return recorded
        finally:
            if not acquired:
                progress = AttemptProgress(
                    Verdict.NOT_RUN, reason=AttemptReason.CANCELLED
                )
                self._report_end(request, dispatch, progress)

    async def _run_attempt(
        self,
        caller: CallerResponse,
        request: Request,
        dispatch: Dispatch,
        call: TargetCall,
        claim: Claim | None,
    ) -> BufferedResponse | None:
        progress = AttemptProgress()
        try:
            if not request.is_preemptible:
                return await self._send_and_relay(
                    caller, request, call, progress, claim
                )
            return await self._run_preemptible(caller, request, call, progress)
        except TargetError as exc:
            progress.verdict, progress.reason = exc.verdict, exc.reason
            raise
        except BaseException:
            progress.reason = AttemptReason.CANCELLED
            raise
        finally:
            if progress.verdict is Verdict.MAY_HAVE_RUN:
                self._cancel_at_engine(request, call)
            self._report_end(request, dispatch, progress)

    async def _run_preemptible(
        self,
        caller: CallerResponse,
        request: Request,
        call: TargetCall,
        progress: AttemptProgress,
    ) -> BufferedResponse | None:
        """Run an attempt that can be preempted until its response has started."""
        task = asyncio.ensure_future(
            self._send_and_relay(caller, request, call, progress, None)
        )
        preempted = False

        def preempt() -> None:
            nonlocal preempted
            if not caller.started and not task.done():
                preempted = True
                task.cancel()

        self._router.on_preemption(request.id, preempt)
        try:
            return await task
        except asyncio.CancelledError:
            if preempted:
                self._metrics.count("attempts.withdrawn")
                raise _PreemptedError from None
            task.cancel()
            raise
        finally:
            self._router.on_preemption(request.id, None)

    async def _send_and_relay(
        self,
        caller: CallerResponse,
        request: Request,
        call: TargetCall,
        progress: AttemptProgress,
        claim: Claim | None,
    ) -> BufferedResponse | None:
        """Send one attempt; return its buffered response, or None if streamed."""
        upstream = await self._calls.send(call)
        try:
            verdict = check_status(request.kind, upstream)
            streamed = upstream.content_type.startswith(EVENT_STREAM)
            if streamed and request.kind is TargetKind.ENGINE and claim is None:
                stream = StreamRelay(self._calls, call, self._clock, self._metrics)
                await stream.run(upstream, caller, progress)
                if progress.ok:
                    self._usage.record(request, progress.tokens)
                return None
            response = await self._read_response(
                caller, request, upstream, verdict, claim
            )
            progress.verdict, progress.ok = verdict, True
            progress.tokens = response.tokens if response is not None else 0
            if verdict is Verdict.RAN:
                self._usage.record(request, progress.tokens)
            return response
        finally:
            upstream.close()

    async def _read_response(
        self,
        caller: CallerResponse,
        request: Request,
        upstream: UpstreamResponse,
        verdict: Verdict,
        claim: Claim | None,
    ) -> BufferedResponse | None:
        """Read a response to its end; stream one that is too large to buffer."""
        chunks, size = [], 0
        try:
            async for chunk in upstream.iter_chunks():
                if caller.started:
                    await caller.write(chunk)
                    continue
                chunks.append(chunk)
                size += len(chunk)
                if size <= MAX_BUFFERED_BYTES:
                    continue
                if claim is not None:
                    _check_claimed_size(size)
                    continue
                await caller.start(upstream.status, upstream.content_type)
                await caller.write(b"".join(chunks))
        except TargetError:
            if caller.started:
                caller.abort()
            raise
        if caller.started:
            await caller.finish()
            return None
        return buffered_response(request.kind, upstream, b"".join(chunks), verdict)

    def _report_end(
        self, request: Request, dispatch: Dispatch, progress: AttemptProgress
    ) -> None:
        end = AttemptEnd(
            request=request,
            target=dispatch.target,
            verdict=progress.verdict,
            ok=progress.ok,
            tokens=progress.tokens,
            first_token_s=progress.first_token_s,
            reason=progress.reason,
        )
        self._router.ended(end)

    def _cancel_at_engine(self, request: Request, call: TargetCall) -> None:
        """Cancel an abandoned attempt at its engine."""
        if request.kind is TargetKind.ENGINE:
            self._metrics.count("attempts.cancels")
            self._spawn(self._targets.cancel(call.address, call.request_id))


class _PreemptedError(Exception):
    """The attempt was preempted: more urgent work needs its slot."""


def _check_claimed_size(size: int) -> None:
    """Raise if the answer to a request with a claim is too large to hold."""
    if size > MAX_CLAIMED_BYTES:
        raise TargetError(
            f"an answer of over {MAX_CLAIMED_BYTES} bytes to a request with a key",
            Verdict.MAY_HAVE_RUN,
            reason=AttemptReason.BROKEN,
        )


def _lost_response(exc: TargetError) -> RequestError:
    """Return the error for a request whose attempt may have run."""
    if exc.reason == AttemptReason.DEADLINE:
        text = "The target did not answer in time."
        return RequestError(504, "timeout", text, Verdict.MAY_HAVE_RUN)
    text = "The target's answer was lost."
    return RequestError(502, "target", text, Verdict.MAY_HAVE_RUN)
