"""Admission control: dispatch a request, queue it or refuse it."""

from __future__ import annotations

import math
import random

from marjoramstage.coordination import refusals
from marjoramstage.coordination.attempts import AttemptTracker
from marjoramstage.coordination.fairness import FairShareCounters
from marjoramstage.coordination.offered_demand import OfferedDemand
from marjoramstage.coordination.queue_wait import predicted_wait_s
from marjoramstage.coordination.queues import QueuedRequest, RequestQueues, SubQueue
from marjoramstage.coordination.retiring_replicas import ANNOUNCEMENT_TTL_S
from marjoramstage.coordination.retry_budget import RetryBudget
from marjoramstage.coordination.routing import (
    TargetTable,
    TargetView,
    required_items,
    served_as,
)
from marjoramstage.coordination.service_times import Prediction, ServiceTimeEstimator
from marjoramstage.coordination.slot_sharing import PeerLoads
from marjoramstage.coordination.target_selection import TargetSelector
from marjoramstage.protocol.events import (
    AttemptEnded,
    Dispatch,
    Effect,
    Event,
    InstanceGone,
    InstanceLoadReported,
    InventoryAccepted,
    Preempt,
    RequestCancelled,
    RequestSubmitted,
    RetryRequested,
    TargetGone,
    TargetLeaving,
    TargetListed,
    TargetReported,
    Tick,
)
from marjoramstage.protocol.messages import (
    AttemptEnd,
    AttemptReason,
    InstanceLoad,
    Item,
    Request,
    RequestClass,
    TargetKind,
)
from marjoramstage.state.inventory import Inventory

# Overnight work is promoted this long before its latest start, or this fraction
# of its slack, whichever is shorter.
PROMOTION_LEAD_S = 60.0
PROMOTION_SLACK_FRACTION = 0.25
# Each second of predicted service time sorts a request this much later.
LONG_REQUEST_DELAY_FACTOR = 10.0
# Only this part of the predicted wait counts when a request is refused for it.
WAIT_ESTIMATE_FACTOR = 0.5
RECHECKS_PER_TICK = 16


class Scheduler:
    """Admits and routes the requests that arrive at one instance.

    Parameters
    ----------
    queue_requests : int
        Maximum queue length of one model or service.
    instance, data_centre, incarnation : str
        Identity of this instance in the load reports it sends to its peers.
    rng : random.Random, optional
        Random source for jitter and sampling.
    """

    def __init__(
        self,
        queue_requests: int,
        instance: str = "",
        data_centre: str = "",
        incarnation: str = "",
        rng: random.Random | None = None,
    ):
        self._instance = instance
        self._data_centre = data_centre
        self._incarnation = incarnation
        self._rng = rng or random.Random(0)
        self._inventory = Inventory()
        self._sequence = 0
        self._offered = OfferedDemand()
        self._counters = FairShareCounters()
        self._queues = RequestQueues(queue_requests, self._counters)
        self._service_times = ServiceTimeEstimator()
        self._table = TargetTable()
        self._peers = PeerLoads(instance)
        self._selector = TargetSelector(
            self._table, self._peers, instance, data_centre, self._rng
        )
        self._attempts = AttemptTracker(self._counters, self._service_times, self._rng)
        self._retry_budget = RetryBudget()

    @property
    def table(self) -> TargetTable:
        """The targets known to this instance."""
        return self._table

    def queue_lengths(self) -> dict[str, int]:
        """Return the number of queued requests by model or service."""
        return {name: count for name, count in self._queues.lengths.items() if count}

    def own_load(self, now_s: float) -> InstanceLoad:
        """Return the load report of this instance for its peers."""
        self._sequence += 1
        in_flight = {
            name: view.in_flight
            for name, view in self._table.views.items()
            if view.in_flight
        }
        return InstanceLoad(
            instance=self._instance,
            data_centre=self._data_centre,
            incarnation=self._incarnation,
            sequence=self._sequence,
            in_flight=in_flight,
            demand=self._offered.snapshot(
                self._queues.subqueues.values(), self._attempts.in_flight_by_item
            ),
        )

    def handle(self, event: Event, now_s: float) -> list[Effect]:
        """Handle an event; return dispatches, refusals and adapter requests."""
        match event:
            case RequestSubmitted(request):
                self._retry_budget.earn()
                return self._submit(request, (), now_s)
            case RetryRequested(request, failed):
                return self._retry(request, failed, now_s)
            case RequestCancelled(request_id):
                self._cancel(request_id)
            case AttemptEnded(end):
                return self._attempt_ended(end, now_s)
            case InventoryAccepted(_, inventory):
                return self._inventory_accepted(inventory, now_s)
            case TargetListed(target):
                self._table.upsert(target)
            case TargetGone(name):
                self._table.remove(name)
            case TargetLeaving(name):
                self._table.mark_leaving(name)
            case TargetReported(report):
                view = self._table.update_report(report)
                return [] if view is None else self._serve_target(view, now_s)
            case InstanceLoadReported(load):
                return self._peer_load_received(load, now_s)
            case InstanceGone(instance):
                self._peers.forget(instance)
            case Tick():
                return self._tick(now_s)
        return []

    def _submit(
        self, request: Request, failed: tuple[str, ...], now_s: float
    ) -> list[Effect]:
        try:
            items = required_items(request, self._inventory, self._table)
        except KeyError:
            return [refusals.unknown_model(request)]
        if not failed:
            self._offered.record(request, items)
        expected = self._service_times.predict(request, self._inventory)
        queued = QueuedRequest(
            request=request,
            items=items,
            failed=failed,
            work_s=expected.total_s,
            latest_start_s=request.deadline_s - expected.cautious_total_s,
            sort_s=_sort_s(request, expected),
            level=request.request_class,
            promote_at_s=_promote_at_s(request, expected),
        )
        if queued.promote_at_s < now_s:
            queued.level = RequestClass.INTERACTIVE
        if queued.latest_start_s < now_s:
            return [refusals.too_late(request, expected.cautious_total_s, self._rng)]
        effects = self._displace_if_full(request)
        if effects is None:
            return [refusals.queue_full(request, self._wait_s(queued), self._rng)]
        subqueue = self._queues.push(queued)
        effects += self._serve_subqueue(subqueue, now_s)
        if queued.removed:
            return effects
        return effects + self._wait_or_refuse(queued, subqueue, now_s)

    def _displace_if_full(self, request: Request) -> list[Effect] | None:
        """Displace a less urgent request if the queue is full.

        Returns the refusal of the displaced request, if any, or None if
        ``request`` itself has to be refused.
        """
        if not self._queues.full(request.model):
            return []
        displaced = self._queues.find_displaceable(request)
        if displaced is None:
            return None
        wait_s = self._wait_s(displaced)
        self._queues.remove(displaced)
        return [refusals.queue_full(displaced.request, wait_s, self._rng)]

    def _wait_or_refuse(
        self, queued: QueuedRequest, subqueue: SubQueue, now_s: float
    ) -> list[Effect]:
        """Leave a request queued if it can start in time, else refuse it."""
        if queued.level is not RequestClass.OVERNIGHT:
            effects = self._preempt_for(subqueue, 1, now_s)
            if effects:
                return effects
        wait_s = self._wait_s(queued)
        slack_s = queued.latest_start_s - now_s
        if wait_s * WAIT_ESTIMATE_FACTOR > slack_s:
            self._queues.remove(queued)
            late_s = wait_s - slack_s
            return [refusals.overload(queued.request, late_s, self._rng)]
        return self._selector.ask_adapter(subqueue, now_s)

    def _preempt_for(
        self, subqueue: SubQueue, count: int, now_s: float
    ) -> list[Effect]:
        """Preempt overnight attempts to free up to ``count`` slots."""
        effects: list[Effect] = []
        for view in self._table.holders(subqueue.items):
            while len(effects) < count and view.accepts_work(now_s):
                request = self._attempts.preempt(view.name, now_s)
                if request is None:
                    break
                effects.append(Preempt(request, view.name))
        return effects

    def _peer_load_received(self, load: InstanceLoad, now_s: float) -> list[Effect]:
        """Record a peer's load; preempt overnight attempts it displaces."""
        self._table.exclude_copies(load.retiring, now_s + ANNOUNCEMENT_TTL_S)
        if not self._peers.update(load, now_s):
            return []
        effects: list[Effect] = []
        for name in self._attempts.preemptible_targets():
            view = self._table.views.get(name)
            if view is None or view.report is None:
                continue
            for _ in range(self._selector.slots_owed_to_peers(view, now_s)):
                request = self._attempts.preempt(name, now_s)
                if request is None:
                    break
                effects.append(Preempt(request, name))
        return effects

    def _wait_s(self, queued: QueuedRequest) -> float:
        return predicted_wait_s(
            queued, self._queues, self._counters, self._selector.holders
        )

    def _retry(
        self, request: Request, failed: tuple[str, ...], now_s: float
    ) -> list[Effect]:
        if self._attempts.pop_refused(request.id) or self._retry_budget.spend():
            return self._submit(request, failed, now_s)
        return [refusals.retry_budget(request, self._rng)]

    def _cancel(self, request_id: str) -> None:
        queued = self._queues.find(request_id)
        if queued is not None:
            self._queues.remove(queued)

    def _attempt_ended(self, end: AttemptEnd, now_s: float) -> list[Effect]:
        view = self._attempts.finish(end, self._inventory, now_s)
        if view is None:
            return []
        effects: list[Effect] = []
        if end.reason == AttemptReason.BUSY and not end.request.is_preemptible:
            request = self._attempts.preempt(view.name, now_s)
            if request is not None:
                effects.append(Preempt(request, view.name))
        return effects + self._serve_target(view, now_s)

    def _inventory_accepted(self, inventory: Inventory, now_s: float) -> list[Effect]:
        self._inventory = inventory
        self._selector.inventory = inventory
        weights = {customer.name: customer.weight for customer in inventory.customers}
        self._counters.set_weights(weights)
        return self._tick(now_s)

    def _tick(self, now_s: float) -> list[Effect]:
        self._peers.forget_stale(now_s)
        self._attempts.forget_old_refusals(now_s)
        self._queues.promote_due(now_s)
        effects: list[Effect] = []
        views: dict[str, TargetView] = {}
        for subqueue in self._queues.subqueues.values():
            for view in self._table.holders(subqueue.items):
                views[view.name] = view
        for view in views.values():
            effects += self._serve_target(view, now_s)
        for queued in self._queues.pop_expired(now_s):
            effects.append(refusals.expired(queued.request, self._rng))
        effects += self._refuse_delayed(now_s)
        for subqueue in list(self._queues.subqueues.values()):
            effects += self._preempt_for(subqueue, subqueue.live, now_s)
            effects += self._selector.ask_adapter(subqueue, now_s)
        return effects

    def _refuse_delayed(self, now_s: float) -> list[Effect]:
        """Refuse queued requests that later arrivals now delay too long."""
        effects: list[Effect] = []
        for queued in self._queues.next_to_recheck(RECHECKS_PER_TICK):
            late_s = self._wait_s(queued) * WAIT_ESTIMATE_FACTOR
            late_s -= queued.latest_start_s - now_s
            if late_s > 0:
                self._queues.remove(queued)
                effects.append(refusals.overload(queued.request, late_s, self._rng))
        return effects

    def _serve_subqueue(self, subqueue: SubQueue, now_s: float) -> list[Effect]:
        """Dispatch from a subqueue while a target has a free slot."""
        effects: list[Effect] = []
        while subqueue.count:
            _, queued = subqueue.head(self._counters)
            view = self._selector.choose(queued, now_s)
            if view is None:
                break
            effects.append(self._dispatch(queued, view, now_s))
        return effects

    def _serve_target(self, view: TargetView, now_s: float) -> list[Effect]:
        """Dispatch queued requests to a target until it has no free slot."""
        effects: list[Effect] = []
        while view.accepts_work(now_s) and self._selector.free_slots(view, now_s) > 0:
            queued, missing = self._next_request(view, now_s)
            if missing is not None:
                effects += self._selector.ask_adapter_at(view, missing, now_s)
            if queued is None:
                break
            if queued.latest_start_s < now_s:
                self._queues.remove(queued)
                effects.append(refusals.expired(queued.request, self._rng))
                continue
            effects.append(self._dispatch(queued, view, now_s))
        return effects

    def _next_request(
        self, view: TargetView, now_s: float
    ) -> tuple[QueuedRequest | None, Item | None]:
        """Return the next request for a target, and an adapter to load there.

        The adapter is returned if a request that needs it comes first in the
        queue order but cannot run because the target lacks the adapter.
        """
        max_level = RequestClass.OVERNIGHT
        if self._selector.free_for_overnight(view, now_s) <= 0:
            max_level = RequestClass.INTERACTIVE
        service = view.target.kind is TargetKind.SERVICE
        best, first_missing = None, None
        for base in (None,) if service else view.ready:
            for subqueue in self._queues.subqueues_for(base):
                holds = view.holds(subqueue.items, now_s)
                if not holds and not self._selector.lacks_adapter(view, subqueue):
                    continue
                head = subqueue.head(self._counters, max_level)
                if head is None or not self._selector.may_use(view, head[1]):
                    continue
                if holds and (best is None or head[0] < best[0]):
                    best = head
                elif not holds and (
                    first_missing is None or head[0] < first_missing[0]
                ):
                    first_missing = head
        missing = None
        if first_missing and (best is None or first_missing[0] < best[0]):
            missing = first_missing[1].items[-1]
        return (None if best is None else best[1]), missing

    def _dispatch(
        self, queued: QueuedRequest, view: TargetView, now_s: float
    ) -> Dispatch:
        self._queues.remove(queued)
        self._attempts.start(queued, view, now_s)
        name, address = view.target.name, view.target.address
        request = queued.request
        return Dispatch(request, name, address, served_as(request, queued.items))


def _promote_at_s(request: Request, expected: Prediction) -> float:
    """Return when overnight work is promoted to the interactive class."""
    if request.request_class is not RequestClass.OVERNIGHT:
        return math.inf
    latest_start_s = request.deadline_s - expected.cautious_total_s
    slack_s = latest_start_s - request.arrived_s
    return latest_start_s - min(PROMOTION_LEAD_S, PROMOTION_SLACK_FRACTION * slack_s)


def _sort_s(request: Request, expected: Prediction) -> float:
    """Return the sort key of a request among its customer's requests.

    Urgent work is ordered by deadline. Other work is ordered by arrival, with
    a penalty for long requests, so that more requests meet their deadline when
    not all of them can.
    """
    if request.request_class is RequestClass.URGENT:
        return request.deadline_s
    return request.arrived_s + LONG_REQUEST_DELAY_FACTOR * expected.total_s
