"""Baseline that loads on demand and evicts the least recently used items."""

from __future__ import annotations

from collections import Counter

from marjoramstage.bench.policies._plain import FifoScheduler, PickTarget
from marjoramstage.bench.trace import Header
from marjoramstage.protocol.events import (
    AdapterLoadRequested,
    Effect,
    Event,
    InventoryAccepted,
    OrderEnded,
    RequestAdapterLoad,
    SendOrder,
    TargetReported,
    Tick,
)
from marjoramstage.protocol.messages import (
    Item,
    Order,
    OrderAction,
    OrderOutcome,
    Request,
    TargetReport,
)
from marjoramstage.state.inventory import Inventory


class Fleet:
    """Global state that the schedulers and placers share without any delay.

    This favours the baseline: the parts of a real deployment learn of each
    other's actions late or not at all.
    """

    def __init__(self, header: Header, inventory: Inventory):
        engines = [target for target in header.targets if target.kind == "engine"]
        self.capacity_mb = {target.name: target.memory_mb for target in engines}
        self.data_centre = {target.name: target.data_centre for target in engines}
        self.held: dict[str, dict[Item, int]] = {t.name: {} for t in engines}
        self.used_at: dict[tuple[str, Item], int] = {}
        self.in_use: Counter[tuple[str, Item]] = Counter()
        self.use_count = 0
        self.base = {adapter.name: adapter.model for adapter in inventory.adapters}

    def use(self, target: str, item: Item) -> None:
        """Record a use of an item."""
        self.use_count += 1
        self.used_at[target, item] = self.use_count

    def free_mb(self, target: str) -> int:
        """Return the free memory of a target, in MB."""
        return self.capacity_mb[target] - sum(self.held[target].values())

    def least_recently_used(self, target: str) -> Item | None:
        """Return the least recently used item that is idle, or None.

        The base model of a held adapter is not idle.
        """
        idle = [item for item in self.held[target] if not self._busy(target, item)]
        return min(idle, key=lambda i: self.used_at.get((target, i), 0), default=None)

    def _busy(self, target: str, item: Item) -> bool:
        if self.in_use[target, item]:
            return True
        return any(
            self.base.get(other.name) == item.name for other in self.held[target]
        )


class LruScheduler(FifoScheduler):
    """Scheduler that requests loads of missing items.

    A missing model is requested at a target of the own data centre if there is
    one, and otherwise at any target.
    """

    def __init__(
        self, pick: PickTarget, queue_requests: int, fleet: Fleet, data_centre: str
    ):
        super().__init__(pick, queue_requests)
        self._fleet = fleet
        self._data_centre = data_centre

    def request_missing(
        self, request: Request, items: tuple[Item, ...]
    ) -> list[Effect]:
        """Request a load of the model, or of the adapter where the model is."""
        if not items:
            return []
        model, *rest = items
        holders = [n for n, held in self._fleet.held.items() if model in held]
        holders = [name for name in holders if name in self.targets]
        if not holders:
            target = self._pick_target()
            return [RequestAdapterLoad(target, model)] if target else []
        return [RequestAdapterLoad(holders[0], item) for item in rest]

    def on_dispatch(self, request: Request, items: tuple[Item, ...], name: str) -> None:
        """Record the use of every item."""
        for item in items:
            self._fleet.use(name, item)
            self._fleet.in_use[name, item] += 1

    def on_attempt_end(self, request: Request, name: str) -> None:
        """Record the end of the use."""
        for item in self.needed(request):
            self._fleet.in_use[name, item] -= 1

    def _pick_target(self) -> str | None:
        fleet = self._fleet
        names = [name for name in fleet.held if name in self.targets]
        near = [n for n in names if fleet.data_centre[n] == self._data_centre]
        return max(near or names, key=fleet.free_mb, default=None)


class LruPlacer:
    """Placer that loads requested items and evicts idle ones to make room."""

    def __init__(self, fleet: Fleet):
        self._fleet = fleet
        self._wanted: dict[str, list[Item]] = {}
        self._loading: dict[tuple[str, Item], str] = {}
        self._unloading: set[tuple[str, Item]] = set()
        self._memory_mb: dict[str, int] = {}
        self._reports: dict[str, TargetReport] = {}
        self._number = 0

    def handle(self, event: Event, now_s: float) -> list[Effect]:
        """Handle one event; return orders."""
        match event:
            case InventoryAccepted():
                inventory = event.inventory
                for entry in (*inventory.models, *inventory.adapters):
                    self._memory_mb[entry.name] = entry.memory_mb
            case TargetReported(report) if report.target in self._fleet.held:
                self._reported(report)
            case AdapterLoadRequested(target, item):
                wanted = self._wanted.setdefault(target, [])
                if item not in wanted and item not in self._fleet.held[target]:
                    wanted.append(item)
                return self._next_orders(target)
            case OrderEnded(answer):
                self._ended(answer.order, answer.outcome)
                return self._next_orders(answer.order.target)
            case Tick():
                return [
                    e
                    for target in list(self._wanted)
                    for e in self._next_orders(target)
                ]
        return []

    def _reported(self, report: TargetReport) -> None:
        known = self._reports.get(report.target)
        self._reports[report.target] = report
        if known is None or known.incarnation == report.incarnation:
            return
        self._fleet.held[report.target] = {}

    def _next_orders(self, target: str) -> list[Effect]:
        report = self._reports.get(target)
        wanted = self._wanted.get(target)
        if report is None or not wanted:
            return []
        fleet, item = self._fleet, wanted[0]
        base = fleet.base.get(item.name)
        needed_mb = self._memory_mb[item.name]
        if base and all(held.name != base for held in fleet.held[target]):
            wanted.pop(0)
            return []
        if fleet.free_mb(target) >= needed_mb:
            wanted.pop(0)
            fleet.held[target][item] = needed_mb
            fleet.use(target, item)
            return [
                self._send(report, OrderAction.LOAD, item),
                *self._next_orders(target),
            ]
        if any(name == target for name, _ in self._unloading):
            return []
        victim = fleet.least_recently_used(target)
        if victim is None:
            return []
        self._unloading.add((target, victim))
        fleet.in_use[target, victim] += 1
        return [self._send(report, OrderAction.UNLOAD, victim)]

    def _ended(self, order: Order, outcome: OrderOutcome) -> None:
        fleet, key = self._fleet, (order.target, order.item)
        if order.action is OrderAction.UNLOAD:
            self._unloading.discard(key)
            fleet.in_use[key] -= 1
            if outcome is OrderOutcome.DONE:
                fleet.held[order.target].pop(order.item, None)
            return
        if outcome is not OrderOutcome.DONE:
            fleet.held[order.target].pop(order.item, None)

    def _send(self, report: TargetReport, action: OrderAction, item: Item) -> Effect:
        self._number += 1
        order = Order(
            target=report.target,
            incarnation=report.incarnation,
            number=self._number,
            fence=0,
            action=action,
            item=item,
            memory_mb=self._memory_mb[item.name],
        )
        return SendOrder(order, report.target)
