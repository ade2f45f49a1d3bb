"""Scheduler and placer that the simple baselines are built from."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable

from marjoramstage.bench.trace import Header
from marjoramstage.protocol.events import (
    AttemptEnded,
    Dispatch,
    Effect,
    Event,
    InventoryAccepted,
    OrderEnded,
    Refuse,
    RequestCancelled,
    RequestSubmitted,
    RetryRequested,
    SendOrder,
    TargetGone,
    TargetLeaving,
    TargetListed,
    TargetReported,
    Tick,
)
from marjoramstage.protocol.messages import (
    Item,
    Order,
    OrderAction,
    Request,
    ResidentState,
    Target,
    TargetKind,
    TargetReport,
)
from marjoramstage.state.inventory import Inventory

RETRY_AFTER_S = 1.0

PickTarget = Callable[[str, list[str], "FifoScheduler"], str]
Plan = dict[str, tuple[Item, ...]]


class FifoScheduler:
    """Scheduler with a bounded first-in, first-out queue for each model.

    Parameters
    ----------
    pick : callable
        Called with the model, the names of the targets that hold the needed
        items and have a free slot, and the scheduler; returns one of the names.
    queue_requests : int
        Maximum number of queued requests of one model or service.
    """

    def __init__(self, pick: PickTarget, queue_requests: int):
        self._pick = pick
        self._queue_requests = queue_requests
        self.inventory = Inventory()
        self.targets: dict[str, Target] = {}
        self.reports: dict[str, TargetReport] = {}
        self.in_flight: dict[str, int] = {}
        self._ready: dict[str, frozenset[Item]] = {}
        self._queues: dict[str, deque[tuple[Request, tuple[str, ...]]]] = {}

    def handle(self, event: Event, now_s: float) -> list[Effect]:
        """Handle one event; return dispatches, refusals and load requests."""
        match event:
            case TargetReported(report):
                self._reported(report)
                return []
            case RequestSubmitted(request):
                return self._submit(request, (), now_s)
            case RetryRequested(request, failed):
                return self._submit(request, failed, now_s)
            case RequestCancelled(request_id):
                self._forget(request_id)
                return []
            case AttemptEnded(end):
                self.in_flight[end.target] = self.in_flight.get(end.target, 1) - 1
                self.on_attempt_end(end.request, end.target)
            case InventoryAccepted():
                self.inventory = event.inventory
            case TargetListed(target):
                self.targets[target.name] = target
            case TargetGone(name):
                self.targets.pop(name, None)
                self._ready.pop(name, None)
            case TargetLeaving(name):
                self.targets.pop(name, None)
            case Tick():
                pass
            case _:
                return []
        return self._drain(now_s)

    def needed(self, request: Request) -> tuple[Item, ...]:
        """Return the items that a target must hold to serve ``request``."""
        if request.kind is TargetKind.SERVICE:
            return ()
        model = self.inventory.model_by_name[request.model]
        items = (Item(model.name, model.version),)
        if request.adapter is None:
            return items
        adapter = self.inventory.adapter_by_name[request.adapter]
        return (*items, Item(adapter.name, adapter.version))

    def holders(self, kind: TargetKind, items: tuple[Item, ...]) -> list[str]:
        """Return the names of the targets that hold all ``items``."""
        found = []
        for name, target in self.targets.items():
            if target.kind is not kind or target.leaving or name not in self._ready:
                continue
            if all(item in self._ready[name] for item in items):
                found.append(name)
        return found

    def free_slots(self, name: str) -> int:
        """Return the number of slots that this instance does not use."""
        return self.reports[name].slots - self.in_flight.get(name, 0)

    def request_missing(
        self, request: Request, items: tuple[Item, ...]
    ) -> list[Effect]:
        """Return load requests for items that no target holds; none here."""
        return []

    def on_dispatch(self, request: Request, items: tuple[Item, ...], name: str) -> None:
        """Record a dispatch; a hook for subclasses."""

    def on_attempt_end(self, request: Request, name: str) -> None:
        """Record the end of an attempt; a hook for subclasses."""

    def _reported(self, report: TargetReport) -> None:
        known = self.reports.get(report.target)
        self.reports[report.target] = report
        same = known is not None and known.residents == report.residents
        if same and report.target in self._ready:
            return
        self._ready[report.target] = frozenset(
            resident.item
            for resident in report.residents
            if resident.state is ResidentState.READY
        )

    def _submit(
        self, request: Request, failed: tuple[str, ...], now_s: float
    ) -> list[Effect]:
        effects = self._try_dispatch(request, failed)
        if any(isinstance(effect, Dispatch) for effect in effects):
            return effects
        queue = self._queues.setdefault(request.model, deque())
        if len(queue) >= self._queue_requests:
            return [*effects, _refusal(request, 429, "queue-full")]
        queue.append((request, failed))
        return effects

    def _try_dispatch(self, request: Request, failed: tuple[str, ...]) -> list[Effect]:
        items = self.needed(request)
        holders = self.holders(request.kind, items)
        names = [n for n in holders if n not in failed and self.free_slots(n) > 0]
        if not names:
            return [] if holders else self.request_missing(request, items)
        name = self._pick(request.model, names, self)
        self.in_flight[name] = self.in_flight.get(name, 0) + 1
        self.on_dispatch(request, items, name)
        served_as = ":".join(str(item) for item in items) or request.model
        return [Dispatch(request, name, self.targets[name].address, served_as)]

    def _drain(self, now_s: float) -> list[Effect]:
        effects: list[Effect] = []
        for queue in self._queues.values():
            effects += self._drain_one(queue, now_s)
        return effects

    def _drain_one(self, queue: deque, now_s: float) -> list[Effect]:
        effects: list[Effect] = []
        blocked: set[str | None] = set()
        for _ in range(len(queue)):
            request, failed = queue.popleft()
            if request.deadline_s <= now_s:
                effects.append(_refusal(request, 503, "deadline"))
                continue
            if request.adapter in blocked and not failed:
                queue.append((request, failed))
                continue
            tried = self._try_dispatch(request, failed)
            effects += tried
            if not any(isinstance(effect, Dispatch) for effect in tried):
                blocked.add(request.adapter)
                queue.append((request, failed))
        return effects

    def _forget(self, request_id: str) -> None:
        for queue in self._queues.values():
            for entry in list(queue):
                if entry[0].id == request_id:
                    queue.remove(entry)


class FixedPlacer:
    """Placer that loads a fixed plan and never unloads anything.

    Parameters
    ----------
    plan : dict
        Items to load, by target name.
    """

    def __init__(self, plan: Plan):
        self._plan = plan
        self._memory_mb: dict[str, int] = {}
        self._ordered: set[tuple[str, Item]] = set()
        self._reports: dict[str, TargetReport] = {}
        self._number = 0

    def handle(self, event: Event, now_s: float) -> list[Effect]:
        """Handle one event; return load orders."""
        match event:
            case InventoryAccepted():
                inventory = event.inventory
                for entry in (*inventory.models, *inventory.adapters):
                    self._memory_mb[entry.name] = entry.memory_mb
            case TargetReported(report):
                self._reports[report.target] = report
            case OrderEnded(answer):
                if answer.outcome.value != "done":
                    key = (answer.order.incarnation, answer.order.item)
                    self._ordered.discard(key)
            case Tick():
                return self._orders()
        return []

    def _orders(self) -> list[Effect]:
        effects: list[Effect] = []
        for name, items in self._plan.items():
            report = self._reports.get(name)
            if report is None:
                continue
            held = {resident.item for resident in report.residents}
            for item in items:
                key = (report.incarnation, item)
                if item in held or key in self._ordered:
                    continue
                self._ordered.add(key)
                effects.append(SendOrder(self._load(report, item), name))
        return effects

    def _load(self, report: TargetReport, item: Item) -> Order:
        self._number += 1
        return Order(
            target=report.target,
            incarnation=report.incarnation,
            number=self._number,
            fence=0,
            action=OrderAction.LOAD,
            item=item,
            memory_mb=self._memory_mb[item.name],
        )


def fixed_plan(header: Header, inventory: Inventory, replicas: bool) -> Plan:
    """Return a plan with one copy of each model, and replicas if requested.

    The largest models are placed first, each on the target with the most free
    memory, together with all its adapters. Replicas then fill the remaining
    memory in further rounds over the models.
    """
    free_mb = {t.name: t.memory_mb for t in header.targets if t.kind == "engine"}
    plan: dict[str, list[Item]] = {name: [] for name in free_mb}
    models = sorted(inventory.models, key=lambda model: (-model.memory_mb, model.name))
    added = True
    while added:
        added = False
        for model in models:
            adapters = [a for a in inventory.adapters if a.model == model.name]
            needed_mb = model.memory_mb + sum(a.memory_mb for a in adapters)
            items = [Item(e.name, e.version) for e in (model, *adapters)]
            names = [n for n in free_mb if items[0] not in plan[n]]
            best = max(names, key=free_mb.__getitem__, default=None)
            if best is None or free_mb[best] < needed_mb:
                continue
            plan[best] += items
            free_mb[best] -= needed_mb
            added = True
        if not replicas:
            break
    return {name: tuple(items) for name, items in plan.items()}


def plan_of(data_centre: str, header: Header, plan: Plan) -> Plan:
    """Return the part of a plan for the targets of one data centre."""
    names = {t.name for t in header.targets if t.data_centre == data_centre}
    return {name: items for name, items in plan.items() if name in names}


def _refusal(request: Request, status: int, code: str) -> Refuse:
    return Refuse(request, status, code, "Refused.", RETRY_AFTER_S)
