"""Which target loads a model, and which models make room for it there.

A load delays requests until it is carried out, and the models that it displaces are
worth something too. Several models may compete for the place that a target has; one
that is worth more than what it displaces gets it.
"""

from __future__ import annotations

import math
from collections.abc import Mapping

from marjoramstage.coordination.blocked_models import BlockedModels
from marjoramstage.coordination.demand_snapshot import DemandSnapshot
from marjoramstage.coordination.replica_index import ReplicaIndex
from marjoramstage.coordination.replica_values import ReplicaValues
from marjoramstage.coordination.target_state import UNLOAD_S, ItemState, TargetState
from marjoramstage.state.fleet import Item, ItemVersion
from marjoramstage.state.routes import EngineSpec

# A model is not evicted within this time after its load.
MIN_RESIDENCY_S = 1.5

# Added to a load from the weight store, for each model on the target's disk: the
# new weights displace cached ones that a later load there could have used.
CACHE_DISPLACEMENT_S = 0.3

# Cost of leaving all of a target's memory unused; a smaller part costs in
# proportion. Free memory that is too small for another model is wasted.
UNUSED_MEMORY_COST = 40.0

# It applies in full where the smallest model needs at most half of the memory of the
# largest. Where all need about the same, no choice of victims uses more of it.
FULL_COST_SIZE_SPREAD = 0.5

# A new replica is expected to be needed for about this long.
EXPECTED_USE_S = 8.0

# Expected time until a model's only request at a target ends.
SINGLE_REQUEST_DRAIN_S = 2.0


def drain_s(runs: int) -> float:
    """Return how long an unload is expected to wait for running requests."""
    return SINGLE_REQUEST_DRAIN_S * (1.0 + math.log(runs)) if runs else 0.0


def unused_memory_cost(spec: EngineSpec) -> float:
    """Return the cost of leaving all of a target's memory unused."""
    sizes_mb = [model.memory_mb for model in spec.models.values()]
    largest_mb = max(sizes_mb, default=0.0)
    if not largest_mb:
        return UNUSED_MEMORY_COST
    spread = 1 - min(sizes_mb) / largest_mb
    return UNUSED_MEMORY_COST * min(1.0, spread / FULL_COST_SIZE_SPREAD)


class TargetChooser:
    """Chooses targets for the loads of one service.

    Parameters
    ----------
    spec : EngineSpec
        Capacity of the service's targets, and its models.
    values : ReplicaValues
        Values of replicas, which the planner updates.
    blocked : BlockedModels
        Models that wait for a target.
    planned : Mapping
        Models that targets are to load next, by name of the target.

    Attributes
    ----------
    index : ReplicaIndex
        Counts of the replicas at the time of the plan.
    usable_slots : int
        Requests that a target can run at once.
    """

    def __init__(
        self,
        spec: EngineSpec,
        values: ReplicaValues,
        blocked: BlockedModels,
        planned: Mapping[str, Item],
        index: ReplicaIndex,
    ):
        self.index = index
        self.usable_slots = spec.slots
        self._spec = spec
        self._values = values
        self._blocked = blocked
        self._planned = planned
        self._unused_memory_cost = unused_memory_cost(spec)

    def on_spec_replaced(self) -> None:
        """Apply the model sizes of another version of the configuration."""
        self._unused_memory_cost = unused_memory_cost(self._spec)

    def cheapest(
        self,
        target_states: list[TargetState],
        item: Item,
        gain: float,
        demand: DemandSnapshot,
        now_s: float,
    ) -> tuple[TargetState, tuple[Item, ...]] | None:
        """Return the target with the lowest cost and the models to evict there."""
        best: tuple[float, TargetState, tuple[Item, ...]] | None = None
        for target_state in target_states:
            if item in target_state.items:
                continue
            victims = self._choose_victims(target_state, item, gain, demand, now_s)
            if victims is None:
                continue
            delay_s = self.time_to_serve_s(target_state, item, victims, demand, now_s)
            cost = gain * delay_s / EXPECTED_USE_S
            cost += demand.running_at(target_state.target.name) / self.usable_slots
            cost += sum(self._replica_value(target_state, v, demand) for v in victims)
            cost += self._unused_memory_cost * self._unused_memory_share(
                target_state, item, victims
            )
            if best is None or cost < best[0]:
                best = (cost, target_state, victims)
        return best[1:] if best else None

    def _unused_memory_share(
        self, target_state: TargetState, item: Item, victims: tuple[Item, ...]
    ) -> float:
        """Return the share of a target's memory that the swap leaves unused."""
        free_mb = target_state.free_mb() - target_state.memory_mb(item)
        free_mb += sum(target_state.memory_mb(victim) for victim in victims)
        return free_mb / self._spec.memory_mb

    def time_to_serve_s(
        self,
        target_state: TargetState,
        item: Item,
        victims: tuple[Item, ...],
        demand: DemandSnapshot,
        now_s: float,
    ) -> float:
        """Return the expected time until a target can serve one more model."""
        delay_s = target_state.load_s(item) + target_state.remaining_order_s(now_s)
        if not target_state.has_weights_cached(item.model):
            delay_s += CACHE_DISPLACEMENT_S * len(target_state.on_disk)
        name = target_state.target.name
        planned = self._planned.get(name)
        if planned is not None:
            delay_s += UNLOAD_S + target_state.load_s(planned)
        runs = [demand.running_for_model_at(name, victim.model) for victim in victims]
        return delay_s + max((drain_s(count) for count in runs), default=0.0)

    def _choose_victims(
        self,
        target_state: TargetState,
        item: Item,
        gain: float,
        demand: DemandSnapshot,
        now_s: float,
    ) -> tuple[Item, ...] | None:
        """Return the least valuable models whose eviction makes room for a load.

        Returns
        -------
        tuple of Item or None
            Empty if the model fits already; None if the models to evict are
            worth at least as much as the new replica of ``item``.
        """
        lack_mb = target_state.memory_mb(item) - target_state.free_mb()
        if lack_mb <= 0:
            return ()
        valued = []
        for found in target_state.models():
            held = target_state.items[found]
            if held.state is not ItemState.HELD:
                continue
            if self._is_kept(found, target_state, item, demand):
                continue
            if now_s - held.since_s < MIN_RESIDENCY_S:
                continue
            if not self._may_displace(found, target_state, item, demand, now_s):
                continue
            valued.append((self._replica_value(target_state, found, demand), found))
        valued.sort()
        for value, found in valued:
            if value < gain and target_state.memory_mb(found) >= lack_mb:
                return (found,)
        chosen: list[Item] = []
        for value, found in valued:
            gain -= value
            lack_mb -= target_state.memory_mb(found)
            chosen.append(found)
            if gain <= 0:
                return None
            if lack_mb <= 0:
                return tuple(chosen)
        return None

    def _is_kept(
        self,
        held: Item,
        target_state: TargetState,
        item: Item,
        demand: DemandSnapshot,
    ) -> bool:
        """Whether a model is kept instead of ``item``, as requests wait for it.

        Streams to be resumed have a claim to a replica that fewer requests wait for,
        or whose model has another one.
        """
        waiting = demand.waiting.get(held, 0)
        if not waiting or not demand.is_resumed(item):
            return waiting > 0
        if ItemVersion(held, target_state.target.software) in demand.resumed_models:
            return True
        others = self.index.ready[held.model] - 1
        return others < 1 and waiting >= demand.resumed_count(item)

    def _may_displace(
        self,
        victim: Item,
        target_state: TargetState,
        item: Item,
        demand: DemandSnapshot,
        now_s: float,
    ) -> bool:
        """Whether a load may evict a model, apart from what the two are worth.

        A fetch keeps its target from other orders for long. Models without
        sustained demand take turns in the memory of deferrable ones for it; if
        there are none, an overdue fetch may displace any idle model.
        """
        if victim.model not in self._spec.models:
            return True
        if not demand.is_latency_critical(victim) or demand.is_active(item):
            return True
        if demand.is_resumed(item):
            return True
        if target_state.has_weights_cached(item.model):
            return True
        if self.index.ready[victim.model] > 1:
            # The others serve a rise until more are loaded.
            return True
        overdue = self._blocked.is_overdue(item, now_s)
        return overdue and not self.index.deferrable

    def _replica_value(
        self, target_state: TargetState, item: Item, demand: DemandSnapshot
    ) -> float:
        """Return the value of the replica at a target."""
        name, replicas = target_state.target.name, self.index.ready[item.model]
        return self._values.value_of_existing(item, demand, replicas, name)
