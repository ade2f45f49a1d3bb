"""Plans which adapters the targets of a service load and unload.

An adapter loads within milliseconds, so it is loaded once a request waits for it, at
a target that holds its model. Each target keeps one adapter slot free.
"""

from __future__ import annotations

from collections.abc import Sequence

from marjoramstage.coordination.demand_snapshot import DemandSnapshot
from marjoramstage.coordination.limited_replicas import LimitedReplicas
from marjoramstage.coordination.target_state import ItemState, TargetState
from marjoramstage.protocol.control import Order
from marjoramstage.state.fleet import Item
from marjoramstage.state.routes import EngineSpec

# An adapter gets no new requests for this long before its unload, so that every
# instance has learned of it.
RETIRE_S = 0.08

# An adapter is not evicted within this time after its load.
MIN_RESIDENCY_S = 0.12


def _wanted_adapters(demand: DemandSnapshot) -> list[tuple[Item, str | None]]:
    """Return the adapters that requests wait for, and the version they need, if any.

    Those that one version has to serve come first: any other request can use them.
    """
    resumed = [(n.item, n.software) for n, c in demand.resuming.items() if c]
    others = [(item, None) for item, count in demand.waiting.items() if count]
    return [pair for pair in resumed + others if pair[0].adapter]


class AdapterPlanner:
    """Plans the orders about adapters for all targets of one service."""

    def __init__(self, spec: EngineSpec):
        self._spec = spec

    def plan_orders(
        self,
        usable: Sequence[TargetState],
        free: Sequence[TargetState],
        limited: LimitedReplicas,
        demand: DemandSnapshot,
        now_s: float,
    ) -> list[Order]:
        """Return the orders to send now, already recorded as pending.

        Parameters
        ----------
        usable : sequence of TargetState
            Targets that can serve requests.
        free : sequence of TargetState
            Those of them that no load of a model is planned for.
        limited : LimitedReplicas
            Tells which of them serve too few requests for what waits.
        """
        orders = self._loads(usable, free, limited, demand, now_s)
        return orders + self._spare_slots(free, demand, now_s)

    def _loads(
        self,
        usable: Sequence[TargetState],
        free: Sequence[TargetState],
        limited: LimitedReplicas,
        demand: DemandSnapshot,
        now_s: float,
    ) -> list[Order]:
        orders = []
        for item, software in _wanted_adapters(demand):
            if item.model not in self._spec.models:
                continue
            if any(
                s.holds(item) or s.is_loading(item)
                for s in usable
                if software in (None, s.target.software) and limited.serves(s, item)
            ):
                continue
            fitting = [
                s
                for s in free
                if software in (None, s.target.software)
                and not (s.holds(item) or s.is_loading(item))
            ]
            order = self._load(item, fitting, demand, now_s)
            if order is not None:
                orders.append(order)
        return orders

    def _load(
        self,
        item: Item,
        free: Sequence[TargetState],
        demand: DemandSnapshot,
        now_s: float,
    ) -> Order | None:
        """Return the next order to load an adapter, at the least busy target."""
        ready = [s for s in free if s.pending is None and s.holds(item.base)]
        ready.sort(key=lambda s: (not s.fits(item), demand.running_at(s.target.name)))
        for target_state in ready:
            if target_state.fits(item):
                return target_state.begin_order(item, True, now_s)
            order = self._free_slot(target_state, demand, now_s)
            if order is not None:
                return order
        return None

    def _spare_slots(
        self, free: Sequence[TargetState], demand: DemandSnapshot, now_s: float
    ) -> list[Order]:
        """Free an adapter slot at each target that has none left."""
        orders = []
        for target_state in free:
            if target_state.pending is not None:
                continue
            if len(target_state.adapters()) < self._spec.adapter_slots:
                continue
            order = self._free_slot(target_state, demand, now_s)
            if order is not None:
                orders.append(order)
        return orders

    def _free_slot(
        self, target_state: TargetState, demand: DemandSnapshot, now_s: float
    ) -> Order | None:
        """Retire an adapter, or unload one that has been retired long enough."""
        for item in target_state.adapters():
            held = target_state.items[item]
            if held.state is not ItemState.RETIRING:
                continue
            if now_s - held.since_s < RETIRE_S:
                return None
            return target_state.begin_order(item, False, now_s)
        idle = self._least_recently_used(target_state, demand, now_s)
        if idle is not None:
            target_state.retire(idle, now_s)
        return None

    def _least_recently_used(
        self, target_state: TargetState, demand: DemandSnapshot, now_s: float
    ) -> Item | None:
        """Return the least recently used adapter without requests."""
        idle = []
        for item in target_state.adapters():
            held = target_state.items[item]
            if held.state is not ItemState.HELD or demand.waiting.get(item):
                continue
            if demand.running.get((target_state.target.name, item)):
                continue
            if now_s - held.since_s < MIN_RESIDENCY_S:
                continue
            idle.append((held.used_s, item))
        return min(idle)[1] if idle else None
