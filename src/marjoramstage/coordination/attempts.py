"""Tracks the attempts in flight and applies their outcomes."""

from __future__ import annotations

import random
from collections import Counter
from dataclasses import dataclass

from marjoramstage.coordination.fairness import FairShareCounters, request_cost
from marjoramstage.coordination.queues import QueuedRequest
from marjoramstage.coordination.routing import TargetView
from marjoramstage.coordination.service_times import ServiceTimeEstimator
from marjoramstage.exceptions import Verdict
from marjoramstage.protocol.messages import (
    AttemptEnd,
    AttemptReason,
    Item,
    Request,
    RequestClass,
)
from marjoramstage.state.inventory import Inventory

BUSY_PAUSE_S = (0.01, 0.05)
NOT_RESIDENT_EXCLUSION_S = 0.5
REFUSAL_RETENTION_S = 5.0

_REFUSED_REASONS = frozenset(
    {AttemptReason.BUSY, AttemptReason.NOT_RESIDENT, AttemptReason.REFUSED}
)
_NOT_TARGET_FAULT = frozenset(
    {*_REFUSED_REASONS, AttemptReason.DEADLINE, AttemptReason.CANCELLED}
)


@dataclass(frozen=True)
class _Attempt:
    request: Request
    view: TargetView
    items: tuple[Item, ...]
    started_s: float
    cost: float
    preemptible_until_s: float


class AttemptTracker:
    """AttemptTracker in flight, by request.

    Attributes
    ----------
    in_flight_by_item : Counter
        Number of attempts in flight for each item.
    """

    def __init__(
        self,
        counters: FairShareCounters,
        service_times: ServiceTimeEstimator,
        rng: random.Random,
    ):
        self._counters = counters
        self._service_times = service_times
        self._rng = rng
        self._in_flight: dict[str, _Attempt] = {}
        self.in_flight_by_item: Counter[Item] = Counter()
        self._refused_at_s: dict[str, float] = {}
        self._preemptible: dict[str, dict[str, _Attempt]] = {}

    def start(self, queued: QueuedRequest, view: TargetView, now_s: float) -> None:
        """Record a dispatch and charge the customer for it."""
        request = queued.request
        cost = request_cost(request.prompt_tokens, request.output_tokens)
        self._counters.charge(request.customer, cost)
        view.in_flight += 1
        view.breaker.record_dispatch()
        attempt = _Attempt(
            request, view, queued.items, now_s, cost, queued.promote_at_s
        )
        self._in_flight[request.id] = attempt
        self.in_flight_by_item.update(queued.items)
        if queued.level is RequestClass.OVERNIGHT and request.repeatable:
            self._preemptible.setdefault(view.name, {})[request.id] = attempt

    def finish(
        self, end: AttemptEnd, inventory: Inventory, now_s: float
    ) -> TargetView | None:
        """Record the end of an attempt.

        Returns the view of its target, or None if the attempt is unknown.
        """
        attempt = self._in_flight.get(end.request.id)
        if attempt is None or attempt.view.name != end.target:
            return None
        del self._in_flight[end.request.id]
        self.in_flight_by_item.subtract(attempt.items)
        self._forget_preemptible(end)
        attempt.view.in_flight -= 1
        if end.ok:
            self._succeeded(end, attempt, inventory, now_s)
        elif end.verdict is Verdict.NOT_RUN:
            self._not_run(end, attempt, now_s)
        elif end.reason not in _NOT_TARGET_FAULT:
            attempt.view.breaker.record_failure(now_s, self._rng)
        else:
            attempt.view.breaker.probing = False
        return attempt.view

    def preemptible_targets(self) -> list[str]:
        """Return the targets with overnight attempts that may be preempted."""
        return list(self._preemptible)

    def preempt(self, target: str, now_s: float) -> Request | None:
        """Preempt the latest overnight attempt on a target.

        Returns its request, or None if there is nothing to preempt.
        """
        attempts = self._preemptible.get(target)
        if not attempts:
            return None
        request_id, attempt = attempts.popitem()
        if not attempts:
            del self._preemptible[target]
        if attempt.preemptible_until_s < now_s:
            return None
        self._refused_at_s[request_id] = now_s
        return attempt.request

    def _forget_preemptible(self, end: AttemptEnd) -> None:
        attempts = self._preemptible.get(end.target)
        if attempts is None:
            return
        attempts.pop(end.request.id, None)
        if not attempts:
            del self._preemptible[end.target]

    def pop_refused(self, request_id: str) -> bool:
        """Return whether the latest attempt was refused or preempted.

        Such an attempt is retried without using the retry budget. The record
        is removed.
        """
        return self._refused_at_s.pop(request_id, None) is not None

    def forget_old_refusals(self, now_s: float) -> None:
        """Discard records of refusals that were not followed by a retry."""
        for request_id, at_s in list(self._refused_at_s.items()):
            if now_s - at_s < REFUSAL_RETENTION_S:
                break
            del self._refused_at_s[request_id]

    def _succeeded(
        self, end: AttemptEnd, attempt: _Attempt, inventory: Inventory, now_s: float
    ) -> None:
        attempt.view.breaker.record_success()
        self._service_times.observe(end.request, inventory, now_s - attempt.started_s)
        if end.tokens:
            used = request_cost(end.request.prompt_tokens, end.tokens)
            self._counters.charge(end.request.customer, used - attempt.cost)

    def _not_run(self, end: AttemptEnd, attempt: _Attempt, now_s: float) -> None:
        view = attempt.view
        self._counters.charge(end.request.customer, -attempt.cost)
        if end.reason in _REFUSED_REASONS:
            self._refused_at_s[end.request.id] = now_s
        if end.reason == AttemptReason.BUSY:
            view.blocked_until_s = now_s + self._rng.uniform(*BUSY_PAUSE_S)
        elif end.reason == AttemptReason.NOT_RESIDENT:
            for item in attempt.items:
                view.excluded_until_s[item] = now_s + NOT_RESIDENT_EXCLUSION_S
        elif end.reason not in _NOT_TARGET_FAULT:
            view.breaker.record_failure(now_s, self._rng)
            return
        view.breaker.probing = False
