"""Chooses the items to evict from a target so that a model fits."""

from __future__ import annotations

from marjoramstage.coordination._desired_state import DesiredItem, DesiredState
from marjoramstage.coordination.demand import DemandStats
from marjoramstage.protocol.messages import Item
from marjoramstage.state.inventory import Inventory
from marjoramstage.state.residency import Residency, TargetMemory

# Upper limit of the adapter reserve, as a share of the target's memory.
MAX_ADAPTER_RESERVE_SHARE = 0.1


class EvictionPolicy:
    """Ranks resident items by eviction cost and picks the cheapest set.

    The cost of a replica is the concurrency that each remaining replica of
    the model takes over.
    """

    def __init__(self, residency: Residency, demand: DemandStats):
        self._residency = residency
        self._demand = demand
        self._desired = DesiredState(Inventory())

    def set_desired(self, desired: DesiredState) -> None:
        """Replace the desired state."""
        self._desired = desired

    def expected_concurrency(self, item: Item, now_s: float) -> float:
        """Return the expected number of concurrent requests for a model."""
        desired = self._desired.models.get(item)
        if desired is None:
            return 0.0
        running = self._demand.tokens_per_s(item, now_s) / desired.decode_tokens_per_s
        return running + self._demand.waiting(item)

    def adapter_reserve_mb(self, memory: TargetMemory, desired: DesiredItem) -> int:
        """Return the memory to reserve for adapters when adding a model, in MB."""
        most_mb = int(memory.capacity_mb * MAX_ADAPTER_RESERVE_SHARE)
        needed_mb = 0
        for base in (desired.item, *memory.items):
            for adapter in self._desired.adapters_of.get(base, ()):
                if adapter.item not in memory.items:
                    needed_mb += adapter.memory_mb
            if needed_mb >= most_mb:
                return most_mb
        return needed_mb

    def cheapest_target(
        self, desired: DesiredItem, now_s: float
    ) -> tuple[str, list[Item]] | None:
        """Return the target with the lowest eviction cost and the items to evict.

        A replica of a desired model is evicted only if another one is ready.
        """
        best = None
        for memory in self._residency.by_target.values():
            if not memory.accepts_loads or desired.item in memory.items:
                continue
            needed_mb = desired.memory_mb + self.adapter_reserve_mb(memory, desired)
            found = self.select_victims(memory, needed_mb, now_s)
            if found is None:
                continue
            cost, items = found
            if best is None or (cost, memory.target) < best[:2]:
                best = (cost, memory.target, items)
        return None if best is None else best[1:]

    def select_victims(
        self, memory: TargetMemory, needed_mb: int, now_s: float
    ) -> tuple[float, list[Item]] | None:
        """Return the total cost and the items to evict, or None."""
        missing_mb = needed_mb - memory.free_mb - memory.pending_free_mb
        if missing_mb <= 0:
            return 0.0, []
        options = []
        for item in memory.ready:
            value = self._eviction_cost(memory, item, now_s)
            if value is not None:
                options.append((value, item))
        cost, chosen = 0.0, []
        for value, item in sorted(options):
            if missing_mb <= 0:
                break
            group = self._with_dependent_adapters(memory, item, chosen)
            missing_mb -= sum(memory.items[member] for member in group)
            chosen += group
            cost += value
        return (cost, chosen) if missing_mb <= 0 else None

    def _eviction_cost(
        self, memory: TargetMemory, item: Item, now_s: float
    ) -> float | None:
        """Return the cost of evicting an item here; None if it has to stay.

        Recently used items stay, because they may have work in flight.
        """
        if self._demand.in_use(item, now_s):
            return None
        if self._desired.get(item) is None:
            successor = self._desired.successor(item)
            if successor is None or self._residency.ready_targets(successor):
                return 0.0
            return None
        if item in self._desired.adapters:
            base = self._desired.adapters[item].base
            if base in memory.items:
                return None
            return 0.0
        other_replicas = len(self._residency.ready_targets(item) - {memory.target})
        if other_replicas == 0:
            return None
        return self.expected_concurrency(item, now_s) / other_replicas

    def _with_dependent_adapters(
        self, memory: TargetMemory, item: Item, chosen: list[Item]
    ) -> list[Item]:
        """Return the item and the ready adapters that depend on it."""
        group = [] if item in chosen else [item]
        for other in sorted(memory.ready):
            adapter = self._desired.adapters.get(other)
            if adapter is None or other in chosen or other == item:
                continue
            if adapter.base == item:
                group.append(other)
        return group
