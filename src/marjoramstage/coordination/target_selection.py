"""Selects a target for a queued request within this instance's slot limits."""

from __future__ import annotations

import random
from collections.abc import Sequence

from marjoramstage.coordination.queues import QueuedRequest, SubQueue
from marjoramstage.coordination.routing import (
    TargetTable,
    TargetView,
    cost_s,
    preferred_for_prefix,
    sample_usable,
)
from marjoramstage.coordination.service_times import nominal_times
from marjoramstage.coordination.slot_sharing import PeerLoads, PeerUsage, own_slot_limit
from marjoramstage.protocol.events import Effect, RequestAdapterLoad
from marjoramstage.protocol.messages import Item, RequestClass, TargetKind
from marjoramstage.state.inventory import Inventory

LIMIT_CACHE_S = 0.5
# Shortest time between requests for one adapter on one target, between any two
# adapter requests on one target, and the latter for overnight work.
ADAPTER_ASK_INTERVAL_S = 1.0
TARGET_ASK_INTERVAL_S = 0.2
OVERNIGHT_ASK_INTERVAL_S = 2.0
# Above this number of queued requests per holder, another target is asked to
# load the adapter.
MAX_QUEUED_PER_HOLDER = 4
# Without any peer report, an instance may use at least 1/4 of a target's slots.
MIN_SHARE_DIVISOR = 4


class TargetSelector:
    """Selects targets and caches the slot limit of each for a short time."""

    def __init__(
        self,
        table: TargetTable,
        peers: PeerLoads,
        instance: str,
        data_centre: str,
        rng: random.Random,
    ):
        self.inventory = Inventory()
        self._table = table
        self._peers = peers
        self._instance = instance
        self._data_centre = data_centre
        self._rng = rng
        self._adapter_asked_at_s: dict[tuple[str, Item], float] = {}

    def free_slots(self, view: TargetView, now_s: float) -> int:
        """Return the free slots of a target that this instance may use now."""
        kept = now_s - view.limit_computed_at_s <= LIMIT_CACHE_S
        if view.limit_epoch != self._peers.epoch or not kept:
            view.limit = self._limit(view, now_s, live_only=True)
            view.overnight_limit = self._limit(view, now_s, live_only=False)
            view.limit_epoch = self._peers.epoch
            view.limit_computed_at_s = now_s
        return view.free_slots

    def free_for_overnight(self, view: TargetView, now_s: float) -> int:
        """Return the free slots of a target that overnight work may use now.

        Part of the target's slots is reserved for work that is not overnight.
        """
        self.free_slots(view, now_s)
        in_flight = view.in_flight + self._peers.in_flight(view.name)
        used = max(in_flight, view.report.running)
        unused = view.report.slots - view.overnight_reserve() - used
        return min(view.overnight_limit - view.in_flight, unused)

    def slots_owed_to_peers(self, view: TargetView, now_s: float) -> int:
        """Return how many slots used here peers need for non-overnight work."""
        usages = self._peer_usage(view, now_s)
        if not any(usage.live for usage in usages):
            return 0
        limit = own_slot_limit(
            view.report.slots, self._instance, view.name, usages, live_only=True
        )
        return view.in_flight - limit

    def holders(self, items: tuple[Item, ...]) -> Sequence[TargetView]:
        """Return the targets that hold ``items``, or else the model alone.

        A target that holds the model can be asked to load the adapter.
        """
        return self._table.holders(items) or self._table.holders(items[:1])

    def may_use(self, view: TargetView, queued: QueuedRequest) -> bool:
        """Return whether a request may run on a target.

        A retried request returns to a target that failed it only if every
        holder of its items has failed it.
        """
        if view.name not in queued.failed:
            return True
        others = self._table.holders(queued.items)
        return all(other.name in queued.failed for other in others)

    def choose(self, queued: QueuedRequest, now_s: float) -> TargetView | None:
        """Return the cheapest of a few random usable targets, or None.

        The target preferred for the prompt prefix is always considered.
        """
        views = self._table.holders(queued.items)

        def usable(view: TargetView) -> bool:
            return self._usable(view, queued, now_s)

        found = sample_usable(views, usable, self._rng)
        if not found:
            return None
        request = queued.request
        first_token_s, _ = nominal_times(request, self.inventory)
        cached = preferred_for_prefix(views, request.prefix)
        if cached is not None and cached not in found and usable(cached):
            found.append(cached)
        best, best_s = None, 0.0
        for view in found:
            peers = self._peers.in_flight(view.name)
            prefix_saving_s = first_token_s if view is cached else 0.0
            candidate_s = cost_s(
                view, peers, self._data_centre, queued.work_s, prefix_saving_s
            )
            if best is None or candidate_s < best_s:
                best, best_s = view, candidate_s
        return best

    def ask_adapter(self, subqueue: SubQueue, now_s: float) -> list[Effect]:
        """Request an adapter where its model has the most free slots."""
        if len(subqueue.items) < 2:
            return []
        adapter = subqueue.items[-1]
        best, most_free = None, 0
        for view in self._table.holders(subqueue.items[:1]):
            if adapter in view.ready or not view.accepts_work(now_s):
                continue
            free = self.free_slots(view, now_s)
            if (
                not subqueue.live
                and now_s - view.adapter_asked_at_s < OVERNIGHT_ASK_INTERVAL_S
            ):
                continue
            if free > most_free:
                best, most_free = view, free
        return [] if best is None else self.ask_adapter_at(best, adapter, now_s)

    def lacks_adapter(self, view: TargetView, subqueue: SubQueue) -> bool:
        """Return whether a target should load the adapter of a subqueue.

        It should if it lacks the adapter and the queue is long for the number
        of targets that hold it; shorter queues wait for those targets.
        """
        if len(subqueue.items) < 2 or subqueue.items[-1] in view.ready:
            return False
        return subqueue.count > MAX_QUEUED_PER_HOLDER * len(
            self._table.holders(subqueue.items)
        )

    def ask_adapter_at(
        self, view: TargetView, adapter: Item, now_s: float
    ) -> list[Effect]:
        """Request an adapter on a target unless one was requested recently."""
        if now_s - view.adapter_asked_at_s < TARGET_ASK_INTERVAL_S:
            return []
        key = (view.name, adapter)
        if (
            now_s - self._adapter_asked_at_s.get(key, -ADAPTER_ASK_INTERVAL_S)
            < ADAPTER_ASK_INTERVAL_S
        ):
            return []
        self._adapter_asked_at_s[key] = now_s
        view.adapter_asked_at_s = now_s
        return [RequestAdapterLoad(view.name, adapter)]

    def _usable(self, view: TargetView, queued: QueuedRequest, now_s: float) -> bool:
        if not view.accepts_work(now_s) or not view.holds(queued.items, now_s):
            return False
        free = self.free_slots(view, now_s)
        if queued.level is RequestClass.OVERNIGHT:
            free = self.free_for_overnight(view, now_s)
        return free > 0 and self.may_use(view, queued)

    def _limit(self, view: TargetView, now_s: float, live_only: bool) -> int:
        if view.report is None:
            return 0
        slots = view.report.slots
        if self._peers.any_known():
            usages = self._peer_usage(view, now_s)
            return own_slot_limit(slots, self._instance, view.name, usages, live_only)
        unknown = view.report.running - view.in_flight_at_report
        return max(slots - max(0, unknown), slots // MIN_SHARE_DIVISOR, 1)

    def _peer_usage(self, view: TargetView, now_s: float) -> list[PeerUsage]:
        return self._peers.usages(view.name, self._served_items(view), now_s)

    def _served_items(self, view: TargetView) -> dict[Item, int]:
        """Return the items that a target serves, with the number of holders."""
        if view.target.kind is TargetKind.SERVICE:
            count = len(self._table.holders(()))
            return {
                Item(service.name, ""): count for service in self.inventory.services
            }
        models = self.inventory.model_by_name
        return {
            item: len(self._table.holders((item,)))
            for item in view.ready
            if item.name in models
        }
