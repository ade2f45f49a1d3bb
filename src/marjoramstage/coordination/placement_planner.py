"""Plans which models and adapters the targets of a service load and unload.

The models of a service together need more memory than its targets have. Busy
models get several replicas; the others are swapped in and out of the memory
that is left. The planner does no I/O: it gets the time, the demand and the
reports of the targets as arguments and returns orders.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping, Sequence

from marjoramstage.coordination.adapter_planner import AdapterPlanner
from marjoramstage.coordination.blocked_models import BlockedModels, BlockReason
from marjoramstage.coordination.current_engine_spec import CurrentEngineSpec
from marjoramstage.coordination.demand_snapshot import DemandSnapshot
from marjoramstage.coordination.limited_replicas import LimitedReplicas
from marjoramstage.coordination.load_rate_limiter import LoadRateLimiter
from marjoramstage.coordination.replica_index import ReplicaIndex
from marjoramstage.coordination.replica_values import RESUME_VALUE, ReplicaValues
from marjoramstage.coordination.target_choice import (
    MIN_RESIDENCY_S,
    TargetChooser,
    drain_s,
)
from marjoramstage.coordination.target_state import UNLOAD_S, TargetState
from marjoramstage.protocol.control import Order
from marjoramstage.state.fleet import FleetTarget, Item, ItemVersion
from marjoramstage.state.routes import EngineSpec

PLAN_INTERVAL_S = 0.1

# A model gets no new requests for this long before its unload, so that every
# instance has learned of it and the requests there can end. The maximum applies to
# one that still runs requests.
MIN_RETIRE_S = 0.12
MAX_RETIRE_S = 2.5

# Estimated time until an adapter can be used at a target that holds its model.
ADAPTER_ETA_S = 0.06

# Scales the estimated time until a model that has no target yet is loaded.
QUEUE_ETA_FACTOR = 1.0

# An extra replica is fetched from the weight store only if the utilisation of the
# others is at least this high.
FETCH_MIN_UTILISATION = 1.33

# Share of the loads that the weight store allows that may be for models without
# sustained latency-critical demand.
DEFERRABLE_FETCH_SHARE = 0.125
# Assumed of a weight store that states a lower rate.
MIN_LOADS_PER_S = 0.1

# A target that has the weights of a model cached counts as such unless its present
# order takes longer than this: a fetch elsewhere may then be quicker.
MAX_CACHED_WAIT_S = 1.0

# A planned load moves to another target only if it is sooner there by this time.
MIN_GAIN_S = 0.5


def _fetch_interval_s(spec: EngineSpec) -> float:
    """Return the time between two fetches of models without sustained demand."""
    loads_per_s = max(spec.loads_per_s, MIN_LOADS_PER_S)
    return 1 / (DEFERRABLE_FETCH_SHARE * loads_per_s)


class PlacementPlanner:
    """Plans the orders for all targets of one service.

    Parameters
    ----------
    spec : EngineSpec
        Capacity of the service's targets, and its models.
    load_limiter : LoadRateLimiter
        Limit on loads from the weight store, for all targets together.
    first_report_s : float
        Earliest time at which reports include the last orders of the previous
        lease holder.

    Attributes
    ----------
    usable_slots : int
        Requests that a target can run at once.
    paused : frozenset of str
        Targets that take no orders for now; they keep what they hold.
    limits : Mapping
        Requests a second that targets take, for those that named a limit, by name.
        Busy models are loaded at others.
    """

    def __init__(
        self,
        spec: EngineSpec,
        load_limiter: LoadRateLimiter,
        first_report_s: float = 0.0,
    ):
        spec = CurrentEngineSpec(spec)
        self.spec = spec
        self.usable_slots = spec.slots
        self.paused: frozenset[str] = frozenset()
        self.limits: Mapping[str, float] = {}
        self._first_report_s = first_report_s
        self.target_states: dict[str, TargetState] = {}
        self._values = ReplicaValues(spec)
        self._load_limiter = load_limiter
        self._planned: dict[str, Item] = {}
        self._queue_etas_s: dict[Item, float] = {}
        self._resume_etas_s: dict[ItemVersion, float] = {}
        self._blocked = BlockedModels(spec)
        self._adapters = AdapterPlanner(spec)
        self._unreachable: frozenset[str] = frozenset()
        self._leaving: frozenset[tuple[str, int]] = frozenset()
        self._limited = LimitedReplicas({}, (), DemandSnapshot())
        self._index = ReplicaIndex((), {}, DemandSnapshot(), self._limited)
        self._chooser = TargetChooser(
            spec, self._values, self._blocked, self._planned, self._index
        )
        self._fetch_interval_s = _fetch_interval_s(spec)
        self._next_fetch_s = 0.0
        self._next_plan_s = 0.0

    @property
    def blocked(self) -> Mapping[Item, BlockReason]:
        """Models that the last plan found no target for, and why."""
        return self._blocked.reasons

    def blocked_for_s(self, item: Item, now_s: float) -> float:
        """Return for how long no target has been found for a model, in seconds."""
        return self._blocked.blocked_for_s(item, now_s)

    def count_idle(self) -> int:
        """Count the usable targets that carry out no order and are to get none."""
        return sum(self._is_idle(state) for state in self._usable_targets())

    def update_targets(self, targets: Iterable[FleetTarget], now_s: float) -> None:
        """Replace the set of targets; a restarted target starts empty."""
        found = {target.name: target for target in targets}
        for name in [name for name in self.target_states if name not in found]:
            del self.target_states[name]
            self._planned.pop(name, None)
        for name, target in found.items():
            target_state = self.target_states.get(name)
            if (
                target_state is None
                or target_state.target.incarnation != target.incarnation
            ):
                restarted = TargetState(target, self.spec, self._first_report_s)
                if target_state is not None:
                    restarted.inherit_orders(target_state)
                self.target_states[name] = restarted
                self._planned.pop(name, None)
            else:
                target_state.target = target

    def replace_spec(self, spec: EngineSpec) -> None:
        """Plan by a newer version of the configuration from now on.

        All parts share ``self.spec``. What targets hold keeps the size that it was
        loaded with, if the newer version states a smaller one or none.
        """
        if spec == self.spec.version:
            return
        for target_state in self.target_states.values():
            target_state.keep_sizes()
        self.spec.replace(spec)
        self._chooser.on_spec_replaced()
        self._load_limiter.replace_rate(spec.loads_per_s)
        self._fetch_interval_s = _fetch_interval_s(spec)
        for name, item in list(self._planned.items()):
            if item.model not in spec.models:
                self._drop_plan(self.target_states[name])

    def plan_orders(self, demand: DemandSnapshot, now_s: float) -> list[Order]:
        """Return the orders to send now, already recorded as pending."""
        for target_state in self.target_states.values():
            target_state.tick(now_s)
        for name, item in demand.running:
            if name in self.target_states:
                self.target_states[name].touch(item, now_s)
        self._unreachable = demand.unreachable
        self._leaving = demand.leaving
        if now_s >= self._next_plan_s:
            self._next_plan_s = now_s + PLAN_INTERVAL_S
            names = frozenset(self.target_states)
            self._values.update(demand, names, self.usable_slots)
            self._rebuild_index(demand)
            self._plan_resumed_loads(demand, now_s)
            self._plan_loads(demand, now_s)
        orders = []
        for name, item in list(self._planned.items()):
            order = self._next_model_order(
                self.target_states[name], item, demand, now_s
            )
            if order is not None:
                orders.append(order)
        usable = self._usable_targets()
        free = [state for state in usable if self._takes_orders(state)]
        return orders + self._adapters.plan_orders(
            usable, free, self._limited, demand, now_s
        )

    def eta_s(self, item: Item, now_s: float) -> float | None:
        """Return the expected time until an item is loaded; None if unknown."""
        queue_eta_s = self._queue_etas_s.get(item.base)
        target_states = self._serving(item, self._usable_targets())
        return self._time_to_load_s(item, target_states, queue_eta_s, now_s)

    def resume_eta_s(self, needed: ItemVersion, now_s: float) -> float | None:
        """Return the same for streams that one version of targets has to resume."""
        target_states = self._usable_targets(needed.software)
        target_states = self._serving(needed.item, target_states)
        blocked_s = self._queue_etas_s.get(needed.item.base)
        queue_eta_s = self._resume_etas_s.get(needed.base, blocked_s)
        return self._time_to_load_s(needed.item, target_states, queue_eta_s, now_s)

    def _time_to_load_s(
        self,
        item: Item,
        target_states: Sequence[TargetState],
        queue_eta_s: float | None,
        now_s: float,
    ) -> float | None:
        """Return when one of these targets is expected to have loaded an item.

        Parameters
        ----------
        queue_eta_s : float or None
            The answer if no load of its model is planned there.
        """
        if item.adapter:
            if any(target_state.holds(item.base) for target_state in target_states):
                return ADAPTER_ETA_S
            base_s = self._time_to_load_s(item.base, target_states, queue_eta_s, now_s)
            return None if base_s is None else base_s + ADAPTER_ETA_S
        found = []
        for target_state in target_states:
            if target_state.is_loading(item):
                found.append(target_state.remaining_load_s(item, now_s))
            elif self._planned.get(target_state.target.name) == item:
                unload_s = 0.0 if target_state.fits(item) else UNLOAD_S
                found.append(target_state.load_s(item) + unload_s)
        return min(found, default=queue_eta_s)

    # Models

    def _plan_resumed_loads(self, demand: DemandSnapshot, now_s: float) -> None:
        """Choose a target for each model that streams wait for to be resumed.

        A replica at targets of another version is of no use to them.
        """
        self._resume_etas_s.clear()
        for needed in demand.resumed_models:
            if needed.item.model in self.spec.models:
                self._plan_resumed_load(needed, demand, now_s)

    def _plan_resumed_load(
        self, needed: ItemVersion, demand: DemandSnapshot, now_s: float
    ) -> None:
        item = needed.item
        target_states = self._serving(item, self._usable_targets(needed.software))
        if any(s.holds(item) or s.is_loading(item) for s in target_states):
            return
        candidates = self._may_load(item, target_states, now_s)
        planned = [s for s in target_states if self._plans(s, item)]
        if planned:
            # No other target can be sooner.
            candidates = [s for s in candidates if self._is_ready_for(s, item)]
        found = self._chooser.cheapest(candidates, item, RESUME_VALUE, demand, now_s)
        if found is None:
            return
        delay_s = self._chooser.time_to_serve_s(found[0], item, found[1], demand, now_s)
        self._resume_etas_s[needed] = delay_s
        if not self._is_idle(found[0]):
            return
        if planned and not self._is_sooner(delay_s, planned[0], item, demand, now_s):
            return
        for target_state in planned:
            self._drop_plan(target_state)
        self._plan_load(item, *found, demand, now_s)

    def _plans(self, target_state: TargetState, item: Item) -> bool:
        """Whether a target is to load a model next."""
        return self._planned.get(target_state.target.name) == item

    def _is_ready_for(self, target_state: TargetState, item: Item) -> bool:
        """Whether a target can begin to load a model that it has cached."""
        return self._is_idle(target_state) and target_state.has_weights_cached(
            item.model
        )

    def _is_sooner(
        self,
        delay_s: float,
        planned: TargetState,
        item: Item,
        demand: DemandSnapshot,
        now_s: float,
    ) -> bool:
        """Whether a load elsewhere is clearly sooner than the one that is planned."""
        retiring = [m for m in planned.models() if not planned.holds(m)]
        runs = [
            demand.running_for_model_at(planned.target.name, m.model) for m in retiring
        ]
        planned_s = planned.load_s(item) + planned.remaining_order_s(now_s)
        planned_s += max((drain_s(count) for count in runs), default=0.0)
        return delay_s + MIN_GAIN_S < planned_s

    def _may_load(
        self, item: Item, target_states: Sequence[TargetState], now_s: float
    ) -> list[TargetState]:
        """Return those of some targets that may be ordered to load a model."""
        may_fetch = self._load_limiter.allows(now_s)
        return [
            s
            for s in target_states
            if s.target.name not in self.paused
            and (may_fetch or s.has_weights_cached(item.model))
        ]

    def _plan_load(
        self,
        item: Item,
        target_state: TargetState,
        victims: Iterable[Item],
        demand: DemandSnapshot,
        now_s: float,
    ) -> None:
        """Plan the load of a model and the evictions that make room for it."""
        for victim in victims:
            target_state.retire(victim, now_s)
        self._planned[target_state.target.name] = item
        self._blocked.remove(item)
        self._rebuild_index(demand)

    def _plan_loads(self, demand: DemandSnapshot, now_s: float) -> None:
        """Choose a target for each model that needs another replica."""
        self._queue_etas_s.clear()
        items = self._models_to_load(demand, now_s)
        self._blocked.begin_plan(items, self._index.ready, self.target_states, now_s)
        for item in items:
            found = self._choose_target(item, demand, now_s)
            if isinstance(found, BlockReason):
                self._blocked.add(item, found, now_s)
                self._queue_etas_s[item] = self._queue_eta_s(len(self._queue_etas_s))
                continue
            self._plan_load(item, *found, demand, now_s)

    def _rebuild_index(self, demand: DemandSnapshot) -> None:
        usable = self._usable_targets()
        self._limited = LimitedReplicas(self.limits, usable, demand)
        self._index = ReplicaIndex(usable, self._planned, demand, self._limited)
        self._chooser.index = self._index
        self._chooser.usable_slots = self.usable_slots

    def _queue_eta_s(self, ahead: int) -> float:
        """Return when a model that no target can load now is likely to be loaded.

        Such models take turns in the memory of deferrable models: each waits
        until those ahead of it were loaded, have served and were unloaded.
        """
        disk_load_s = max(model.disk_load_s for model in self.spec.models.values())
        stay_s = MIN_RESIDENCY_S + UNLOAD_S + disk_load_s
        places = max(1, self._index.deferrable)
        return (ahead + 1) * QUEUE_ETA_FACTOR * stay_s / places

    def _models_to_load(self, demand: DemandSnapshot, now_s: float) -> list[Item]:
        """Return the models that need another replica, most valuable first.

        Of equal ones, those blocked for longest come first.
        """
        lacking: list[tuple[float, float, Item]] = []
        for name in self.spec.models:
            item = Item(name)
            gain = self._extra_replica_value(item, demand, now_s)
            if gain > 0:
                lacking.append((gain, self.blocked_for_s(item, now_s), item))
        lacking.sort(key=lambda entry: entry[:2], reverse=True)
        return [item for _, _, item in lacking]

    def _extra_replica_value(
        self, item: Item, demand: DemandSnapshot, now_s: float
    ) -> float:
        """Return the value of one more replica; 0 if none is needed."""
        replicas = self._index.ready[item.model] + self._index.pending[item.model]
        blocked_s = self.blocked_for_s(item, now_s)
        return self._values.value_of_extra(item, demand, replicas, blocked_s)

    def _usable_targets(self, software: str | None = None) -> list[TargetState]:
        """Return the targets that can be used, perhaps only those of one version."""
        return [
            s
            for s in self.target_states.values()
            if s.known
            and software in (None, s.target.software)
            and not s.target.leaving
            and s.target.name not in self._unreachable
            and (s.target.name, s.target.incarnation) not in self._leaving
        ]

    def _serving(
        self, item: Item, target_states: list[TargetState]
    ) -> list[TargetState]:
        """Return the targets that serve the demand for a model, or could if loaded.

        If all are limited and serve too little, they are returned all the same.
        """
        found = [
            s
            for s in target_states
            if self._limited.serves(s, item)
            and (item.base in s.items or self._limited.has_capacity_for(s, item))
        ]
        return found or target_states

    def _choose_target(
        self, item: Item, demand: DemandSnapshot, now_s: float
    ) -> tuple[TargetState, tuple[Item, ...]] | BlockReason:
        """Return the target for a load, if one can serve the model and has room."""
        orderable = [s for s in self._index.usable if s.target.name not in self.paused]
        serving = self._serving(item, orderable)
        found = self._choose_among(serving, item, demand, now_s)
        if found is BlockReason.NO_ROOM and len(serving) < len(orderable):
            return self._choose_among(orderable, item, demand, now_s)
        return found

    def _choose_among(
        self,
        target_states: list[TargetState],
        item: Item,
        demand: DemandSnapshot,
        now_s: float,
    ) -> tuple[TargetState, tuple[Item, ...]] | BlockReason:
        """Return the target with the lowest cost, if it can start a load now.

        If the cheapest target is busy, nothing is planned yet: waiting for a
        target that has the weights cached is faster than a load from the
        weight store elsewhere.

        Returns
        -------
        tuple or BlockReason
            The target and the models to evict there; or why there is none.
        """
        gain = self._extra_replica_value(item, demand, now_s)
        cached = [
            s
            for s in target_states
            if s.has_weights_cached(item.model)
            and s.remaining_order_s(now_s) < MAX_CACHED_WAIT_S
        ]
        fetch_blocked = self._fetch_blocked(item, bool(cached), demand, now_s)
        if fetch_blocked is not None:
            target_states = cached
        found = self._chooser.cheapest(target_states, item, gain, demand, now_s)
        if found is None:
            return fetch_blocked or BlockReason.NO_ROOM
        if self._is_free(found[0], item, demand):
            return found
        idle = self._idle_instead(found, target_states, item, gain, demand, now_s)
        if idle is not None:
            return idle
        if not self._may_reserve(item, now_s):
            return BlockReason.TARGET_BUSY
        return self._reserve_target(target_states, item, gain, demand, now_s)

    def _idle_instead(
        self,
        busy: tuple[TargetState, tuple[Item, ...]],
        target_states: Sequence[TargetState],
        item: Item,
        gain: float,
        demand: DemandSnapshot,
        now_s: float,
    ) -> tuple[TargetState, tuple[Item, ...]] | None:
        """Return the cheapest idle target for a model that no target holds.

        It is used unless the model is loaded sooner at the cheapest, busy target.
        """
        if self._index.ready[item.model]:
            return None
        idle = [s for s in target_states if self._is_free(s, item, demand)]
        found = self._chooser.cheapest(idle, item, gain, demand, now_s)
        if found is None:
            return None
        idle_s = self._chooser.time_to_serve_s(found[0], item, found[1], demand, now_s)
        busy_s = self._chooser.time_to_serve_s(busy[0], item, busy[1], demand, now_s)
        return found if idle_s <= busy_s else None

    def _may_reserve(self, item: Item, now_s: float) -> bool:
        """Whether a model that no target holds has waited for too long for one."""
        if self._index.ready[item.model] or not self._blocked.is_overdue(item, now_s):
            return False
        return self._blocked.may_reserve(item, len(self.target_states))

    def _reserve_target(
        self,
        target_states: list[TargetState],
        item: Item,
        gain: float,
        demand: DemandSnapshot,
        now_s: float,
    ) -> tuple[TargetState, tuple[Item, ...]] | BlockReason:
        """Return the cheapest target that is free; else reserve its next load."""
        candidates = [
            s
            for s in target_states
            if not self._blocked.is_reserved_for_other(s.target.name, item)
        ]
        found = self._chooser.cheapest(candidates, item, gain, demand, now_s)
        if found is None:
            return BlockReason.TARGET_BUSY
        if self._is_free(found[0], item, demand):
            return found
        self._blocked.reserve(item, found[0].target.name)
        return BlockReason.TARGET_BUSY

    def _fetch_blocked(
        self, item: Item, cached: bool, demand: DemandSnapshot, now_s: float
    ) -> BlockReason | None:
        """Return why a model must not be fetched from the weight store, if so.

        A fetch is slow. Models without sustained latency-critical demand are
        fetched at a part of the rate that the weight store allows, and only if no
        target has their weights cached, until they have been blocked for longer
        than a fetch takes.
        """
        if not self._load_limiter.allows(now_s):
            return BlockReason.LOAD_LIMIT
        if demand.is_active(item):
            replicas = self._index.ready[item.model]
            utilisation = self._values.utilisation(item, demand, max(1, replicas))
            if replicas == 0 or utilisation >= FETCH_MIN_UTILISATION:
                return None
            return BlockReason.LOW_UTILISATION
        if self._blocked.is_overdue(item, now_s):
            return None
        if cached:
            return BlockReason.CACHED_NO_ROOM
        return None if now_s >= self._next_fetch_s else BlockReason.FETCH_UNDER_WAY

    def _is_free(
        self, target_state: TargetState, item: Item, demand: DemandSnapshot
    ) -> bool:
        """Whether a target can begin to load a model now.

        A reservation for another model doesn't bind one that is in steady demand
        and held nowhere.
        """
        if not self._is_idle(target_state):
            return False
        if not self._blocked.is_reserved_for_other(target_state.target.name, item):
            return True
        return demand.is_active(item) and not self._index.ready[item.model]

    def _takes_orders(self, target_state: TargetState) -> bool:
        """Whether no load is planned for a target and it has not asked for a pause."""
        name = target_state.target.name
        return name not in self._planned and name not in self.paused

    def _is_idle(self, target_state: TargetState) -> bool:
        return (
            target_state.target.name not in self._planned
            and target_state.pending is None
        )

    def _next_model_order(
        self,
        target_state: TargetState,
        item: Item,
        demand: DemandSnapshot,
        now_s: float,
    ) -> Order | None:
        """Return the next order of a planned load: an unload or the load."""
        name = target_state.target.name
        if target_state.pending is not None or not target_state.known:
            return None
        unusable = target_state.target.leaving or name in self.paused
        if unusable or item in target_state.items:
            self._drop_plan(target_state)
            return None
        if target_state.fits(item):
            del self._planned[name]
            if not target_state.has_weights_cached(item.model):
                if not self._load_limiter.allows(now_s):
                    return None
                self._load_limiter.record_load(now_s)
                self._next_fetch_s = now_s + self._fetch_interval_s
            return target_state.begin_order(item, True, now_s)
        retiring = [m for m in target_state.models() if target_state.is_retiring(m)]
        for found in retiring:
            retired_s = now_s - target_state.items[found].since_s
            runs = demand.running_for_model_at(name, found.model)
            if retired_s >= (MAX_RETIRE_S if runs else MIN_RETIRE_S):
                return target_state.begin_order(found, False, now_s)
        if not retiring:
            del self._planned[name]
        return None

    def _drop_plan(self, target_state: TargetState) -> None:
        """Cancel a planned load and keep the models that were to be evicted."""
        del self._planned[target_state.target.name]
        for item in target_state.models():
            if target_state.is_retiring(item):
                target_state.cancel_retirement(item)
