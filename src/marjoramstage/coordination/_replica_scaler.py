"""Adds replicas of models in demand where they are worth their cost."""

from __future__ import annotations

from collections.abc import Iterator

from marjoramstage.coordination._desired_state import DesiredItem, DesiredState
from marjoramstage.coordination._eviction_policy import EvictionPolicy
from marjoramstage.coordination.demand import DemandStats
from marjoramstage.protocol.messages import Item
from marjoramstage.state.inventory import Inventory
from marjoramstage.state.residency import Residency

MODELS_PER_PLAN = 64

# Concurrent requests per replica at which another replica is added.
SECOND_REPLICA_CONCURRENCY = 2.0
NEXT_REPLICA_CONCURRENCY = 3.0

# Concurrent requests per replica at which other items may be evicted for it,
# and the least ratio between these requests and those of the evicted models.
EVICT_CONCURRENCY = 4.0
MIN_EVICTION_GAIN = 3.0

# Intervals between eviction searches for a model, and between evictions on
# a target.
EVICTION_SEARCH_INTERVAL_S = 1.0
TARGET_EVICTION_INTERVAL_S = 30.0


class ReplicaScaler:
    """Chooses additional replicas and the items to evict for them."""

    def __init__(self, data_centre: str, residency: Residency, demand: DemandStats):
        self._data_centre = data_centre
        self._residency = residency
        self._desired = DesiredState(Inventory())
        self._eviction_policy = EvictionPolicy(residency, demand)
        self._changed: dict[Item, None] = {}
        self._last_eviction_s: dict[str, float] = {}
        self._last_search_s: dict[Item, float] = {}

    def set_desired(self, desired: DesiredState) -> None:
        """Replace the desired state."""
        self._desired = desired
        self._eviction_policy.set_desired(desired)

    def mark_changed(self, item: Item) -> None:
        """Evaluate a model in the next plan."""
        self._changed[item] = None

    def plan(self, now_s: float) -> Iterator[tuple[str, DesiredItem, list[Item]]]:
        """Yield target, model and evicted items, the highest demand first."""
        candidates = []
        for item in list(self._changed)[:MODELS_PER_PLAN]:
            del self._changed[item]
            desired = self._desired.models.get(item)
            replicas = len(self._residency.targets_holding(item))
            if desired is None or replicas == 0:
                continue
            concurrency = (
                self._eviction_policy.expected_concurrency(item, now_s) / replicas
            )
            if concurrency >= (
                SECOND_REPLICA_CONCURRENCY
                if replicas == 1
                else NEXT_REPLICA_CONCURRENCY
            ):
                candidates.append((concurrency, item))
        for concurrency, item in sorted(candidates, reverse=True):
            self._changed[item] = None
            found = self._target_for(self._desired.models[item], concurrency, now_s)
            if found is not None:
                yield found

    def _target_for(
        self, desired: DesiredItem, concurrency: float, now_s: float
    ) -> tuple[str, DesiredItem, list[Item]] | None:
        target = self._free_target(desired)
        if target is not None:
            if not self._is_own(target):
                return None
            return target, desired, []
        if concurrency < EVICT_CONCURRENCY:
            return None
        return self._evict_for(desired, concurrency, now_s)

    def _free_target(self, desired: DesiredItem) -> str | None:
        """Return the target with the most free memory that can add the model."""
        for free_mb, name in reversed(self._residency.by_free_mb()):
            if free_mb < desired.memory_mb:
                return None
            memory = self._residency.by_target[name]
            if desired.item in memory.items:
                continue
            if free_mb - desired.memory_mb >= self._eviction_policy.adapter_reserve_mb(
                memory, desired
            ):
                return name
        return None

    def _evict_for(
        self, desired: DesiredItem, concurrency: float, now_s: float
    ) -> tuple[str, DesiredItem, list[Item]] | None:
        """Return a target where items with much lower demand can be evicted.

        Targets with a recent eviction are left alone.
        """
        if (
            now_s - self._last_search_s.get(desired.item, -EVICTION_SEARCH_INTERVAL_S)
            < EVICTION_SEARCH_INTERVAL_S
        ):
            return None
        self._last_search_s[desired.item] = now_s
        room = self._eviction_policy.cheapest_target(desired, now_s)
        if room is None or not self._is_own(room[0]):
            return None
        target, evicted = room
        if (
            now_s - self._last_eviction_s.get(target, -TARGET_EVICTION_INTERVAL_S)
            < TARGET_EVICTION_INTERVAL_S
        ):
            return None
        lost_concurrency = sum(
            self._eviction_policy.expected_concurrency(item, now_s)
            for item in evicted
            if item in self._desired.models
        )
        if concurrency < MIN_EVICTION_GAIN * lost_concurrency:
            return None
        self._last_eviction_s[target] = now_s
        return target, desired, evicted

    def _is_own(self, target: str) -> bool:
        return self._residency.by_target[target].data_centre == self._data_centre
