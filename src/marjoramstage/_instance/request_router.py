"""Runs the scheduler and awaits its decision for each request."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from marjoramstage.clock import Clock
from marjoramstage.coordination.admission import Scheduler
from marjoramstage.coordination.mailbox import Mailbox
from marjoramstage.exceptions import RequestError, Verdict
from marjoramstage.metrics import Metrics
from marjoramstage.protocol.events import (
    AttemptEnded,
    Dispatch,
    Effect,
    Event,
    Preempt,
    Refuse,
    RequestAdapterLoad,
    RequestCancelled,
    RequestSubmitted,
    RetryRequested,
)
from marjoramstage.protocol.messages import AttemptEnd, AttemptReason, Request


class RequestRouter:
    """Passes requests to the scheduler and waits until it dispatches them.

    Parameters
    ----------
    request_adapter : callable
        Requests an adapter from the lease holder of its target.
    """

    def __init__(
        self,
        scheduler: Scheduler,
        clock: Clock,
        metrics: Metrics,
        request_adapter: Callable[[RequestAdapterLoad], None],
    ):
        self.scheduler = scheduler
        self._request_adapter = request_adapter
        self._metrics = metrics
        self._mailbox = Mailbox(scheduler, self._perform, clock)
        self._waiting: dict[str, asyncio.Future[Dispatch]] = {}
        self._preempt_callbacks: dict[str, Callable[[], None]] = {}

    def post(self, event: Event) -> None:
        """Post an event to the scheduler."""
        self._mailbox.post(event)

    async def run(self) -> None:
        """Run the scheduler until cancelled."""
        await self._mailbox.run()

    async def submit(self, request: Request) -> Dispatch:
        """Wait for a target; raise `RequestError` if the request is rejected."""
        self._metrics.count("callers.requests")
        return await self._wait_for_dispatch(RequestSubmitted(request), request)

    async def retry(self, request: Request, failed: tuple[str, ...]) -> Dispatch:
        """Wait for another target after an attempt that did not run."""
        self._metrics.count("routing.retries")
        return await self._wait_for_dispatch(RetryRequested(request, failed), request)

    def is_waiting(self, request_id: str) -> bool:
        """Return whether a request is waiting for a target."""
        return request_id in self._waiting

    def ended(self, end: AttemptEnd) -> None:
        """Report the end of an attempt to the scheduler."""
        self._metrics.count(f"attempts.{end.verdict.value}")
        self.post(AttemptEnded(end))

    def on_preemption(self, request_id: str, func: Callable[[], None] | None) -> None:
        """Call ``func`` if the attempt is preempted; None unregisters it."""
        if func is None:
            self._preempt_callbacks.pop(request_id, None)
            return
        self._preempt_callbacks[request_id] = func

    async def _wait_for_dispatch(
        self, event: RequestSubmitted | RetryRequested, request: Request
    ) -> Dispatch:
        fut = asyncio.get_running_loop().create_future()
        self._waiting[request.id] = fut
        self.post(event)
        try:
            return await fut
        except asyncio.CancelledError:
            self.post(RequestCancelled(request.id))
            if fut.done() and not fut.cancelled() and fut.exception() is None:
                self._release_slot(fut.result())
            raise
        finally:
            self._waiting.pop(request.id, None)

    def _perform(self, effect: Effect) -> None:
        match effect:
            case Dispatch():
                self._on_dispatch(effect)
            case Refuse():
                self._on_refuse(effect)
            case Preempt(request, _):
                preempt = self._preempt_callbacks.get(request.id)
                if preempt is not None:
                    preempt()
            case RequestAdapterLoad():
                self._metrics.count("routing.adapters_asked")
                self._request_adapter(effect)

    def _on_dispatch(self, effect: Dispatch) -> None:
        fut = self._waiting.get(effect.request.id)
        if fut is None or fut.done():
            self._release_slot(effect)
            return
        fut.set_result(effect)

    def _release_slot(self, effect: Dispatch) -> None:
        """Release the slot of a dispatch whose request was cancelled."""
        end = AttemptEnd(
            effect.request,
            effect.target,
            Verdict.NOT_RUN,
            ok=False,
            reason=AttemptReason.CANCELLED,
        )
        self.ended(end)

    def _on_refuse(self, effect: Refuse) -> None:
        fut = self._waiting.get(effect.request.id)
        if fut is None or fut.done():
            return
        error = RequestError(
            effect.status,
            effect.code,
            effect.message,
            Verdict.NOT_RUN,
            effect.retry_after_s,
        )
        fut.set_exception(error)
