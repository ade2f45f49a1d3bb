"""Simulated targets that lose, delay or reject orders, to test the planner."""

import random
from dataclasses import dataclass, field

from marjoramstage.protocol.control import Order, OrderAnswer
from marjoramstage.state.fleet import FleetTarget, Item, TargetReport
from marjoramstage.state.routes import EngineSpec, ModelSpec

TICK_S = 0.05
REPORT_LAG_S = 0.1
KEPT_REPORTS = 20
STORE_LOAD_S = 3.0
DISK_LOAD_S = 0.8


def spec(models=8, slots=64):
    """Return a spec of targets with room for three models and two adapters."""
    found = {
        f"m{n}": ModelSpec(f"m{n}", 70.0, STORE_LOAD_S, DISK_LOAD_S, 0.4, 4, 1.0)
        for n in range(1, models + 1)
    }
    return EngineSpec(slots, 213.0, 2, 2.0, found)


@dataclass
class FakeTarget:
    """A target that carries out orders as the platform's documentation says."""

    name: str
    spec: EngineSpec
    items: set = field(default_factory=set)
    on_disk: set = field(default_factory=set)
    order_count: int = 0
    incarnation: int = 1
    busy_until_s: float = 0.0
    current_order: Order | None = None
    overcommitted: bool = False
    store_loads: list = field(default_factory=list)
    past_reports: list = field(default_factory=list)
    software: str = ""

    def listing(self):
        return FleetTarget(
            self.name,
            self.incarnation,
            "s",
            "10.0.0.1:80",
            "a",
            64,
            items=frozenset(),
            software=self.software,
        )

    def order(self, order, now_s):
        """Accept or reject an order; return the answer."""
        self.step(now_s)
        there = order.item in self.items
        if self.current_order is not None:
            return OrderAnswer.BUSY
        if there == order.load:
            return OrderAnswer.ALREADY_DONE
        if order.order_count != self.order_count:
            return OrderAnswer.BUSY
        if order.item.adapter and Item(order.item.model) not in self.items:
            return OrderAnswer.INVALID
        self.order_count += 1
        if order.item.adapter:
            self._finish(order)
            return OrderAnswer.ACCEPTED if order.load else OrderAnswer.ALREADY_DONE
        near = order.item.model in self.on_disk
        if order.load and not near:
            self.store_loads.append(now_s)
        took_s = DISK_LOAD_S if near else STORE_LOAD_S
        self.busy_until_s = now_s + (took_s if order.load else 0.2)
        self.current_order = order
        if order.load:
            self._check_capacity(order.item)
        return OrderAnswer.ACCEPTED

    def step(self, now_s):
        if self.current_order is not None and now_s >= self.busy_until_s:
            self._finish(self.current_order)
            self.current_order = None

    def restart(self):
        """Restart with empty memory and an unchanged disk."""
        self.items, self.order_count, self.current_order, self.past_reports = (
            set(),
            0,
            None,
            [],
        )
        self.incarnation += 1

    def report(self, now_s):
        """Return a report that lags behind, as reports of targets do."""
        self.step(now_s)
        found = TargetReport(
            self.order_count,
            self.current_order is not None,
            0,
            0,
            frozenset(self.items),
            on_disk=frozenset(self.on_disk),
        )
        self.past_reports.append((now_s, found))
        self.past_reports = self.past_reports[-KEPT_REPORTS:]
        old = [r for at_s, r in self.past_reports if at_s <= now_s - REPORT_LAG_S]
        return old[-1] if old else None

    def _finish(self, order):
        if not order.load:
            gone = order.item
            self.items = {
                i
                for i in self.items
                if i != gone and (gone.adapter or i.model != gone.model)
            }
            return
        self._check_capacity(order.item)
        self.items.add(order.item)
        self.on_disk.add(order.item.model)

    def _check_capacity(self, item):
        items = self.items | {item}
        adapters = [i for i in items if i.adapter]
        models = self.spec.models
        used = sum(
            models[i.model].adapter_mb if i.adapter else models[i.model].memory_mb
            for i in items
        )
        if used > self.spec.memory_mb or len(adapters) > self.spec.adapter_slots:
            self.overcommitted = True


class TargetSimulation:
    """Targets that get a planner's orders and answer with reports."""

    def __init__(self, targets, seed=None):
        self.targets = {target.name: target for target in targets}
        self.rng = random.Random(seed) if seed is not None else None
        self.now_s = 100.0
        self.late = []
        self.orders = []
        self.held = set()

    def run(self, planner, demand_at, for_s):
        """Simulate some seconds; ``demand_at`` returns the demand at a time."""
        until_s = self.now_s + for_s
        while self.now_s < until_s:
            self.now_s += TICK_S
            self._step_targets()
            listed_targets = [target.listing() for target in self.targets.values()]
            planner.update_targets(listed_targets, self.now_s)
            self._report(planner)
            for order in planner.plan_orders(demand_at(self.now_s), self.now_s):
                self._execute_order(planner, order)

    def _step_targets(self):
        for target in self.targets.values():
            target.step(self.now_s)
            target.report(self.now_s)
            self.held |= target.items
            if self.rng and self.rng.random() < TICK_S / 40:
                target.restart()
        due = [pair for pair in self.late if pair[0] <= self.now_s]
        for pair in due:
            self.late.remove(pair)
            self.targets[pair[1].target].order(pair[1], self.now_s)

    def _report(self, planner):
        for target_state in planner.target_states.values():
            if not target_state.needs_report(self.now_s):
                continue
            report = self.targets[target_state.target.name].report(self.now_s)
            if report is None:
                target_state.record_missing_report(self.now_s)
                continue
            resend = target_state.record_report(report, self.now_s)
            if resend is not None:
                self._execute_order(planner, resend)

    def _execute_order(self, planner, order):
        target_state = planner.target_states[order.target]
        self.orders.append((self.now_s, order))
        kind = self.rng.random() if self.rng else 1.0
        if kind < 0.1:
            self.late.append((self.now_s + self.rng.uniform(0.5, 6.0), order))
            answer = OrderAnswer.UNKNOWN
        elif kind < 0.15:
            self.targets[order.target].order(order, self.now_s)
            answer = OrderAnswer.UNKNOWN
        elif kind < 0.2:
            answer = OrderAnswer.UNKNOWN
        else:
            answer = self.targets[order.target].order(order, self.now_s)
        target_state.record_answer(answer, self.now_s)
