"""Assigns targets to models that are resident nowhere.

All lease holders compute the assignment independently from nearly the same
view of the deployment, so each missing model is loaded by one of them without
coordination. If their views differ for a moment, the worst outcome is one
surplus replica.
"""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass

from sortedcontainers import SortedDict

from marjoramstage.coordination._desired_state import DesiredItem, DesiredState
from marjoramstage.coordination._eviction_policy import EvictionPolicy
from marjoramstage.coordination.demand import DemandStats
from marjoramstage.protocol.messages import Item
from marjoramstage.state.inventory import Inventory
from marjoramstage.state.residency import Residency

# A model that is still missing after this time is assigned again, avoiding
# another data centre that did not load it.
ASSIGNMENT_TIMEOUT_S = 30.0

MODELS_PER_PLAN = 64
EVICTIONS_PER_PLAN = 2


@dataclass(frozen=True)
class Assignment:
    """Target chosen for a missing model, and when it was chosen."""

    target: str
    memory_mb: int
    since_s: float


class Assigner:
    """Assigns missing models to targets, the largest model first."""

    def __init__(self, data_centre: str, residency: Residency, demand: DemandStats):
        self._data_centre = data_centre
        self._residency = residency
        self._desired = DesiredState(Inventory())
        self._eviction_policy = EvictionPolicy(residency, demand)
        self._missing: SortedDict = SortedDict()
        self._assignments: dict[Item, Assignment] = {}
        self._assigned_mb: dict[str, int] = {}

    @property
    def any_missing(self) -> bool:
        """Whether a desired model is resident nowhere."""
        return bool(self._missing)

    def set_desired(self, desired: DesiredState) -> None:
        """Replace the desired state; drop models that changed or left it.

        The caller reports changed models with `residency_changed`.
        """
        for item, previous in self._desired.models.items():
            if desired.models.get(item) != previous:
                self._clear_missing(item)
        self._desired = desired
        self._eviction_policy.set_desired(desired)

    def residency_changed(self, item: Item) -> None:
        """Re-evaluate a desired model that a target gained or lost."""
        desired = self._desired.models[item]
        if self._residency.targets_holding(item):
            self._clear_missing(item)
            return
        self._missing[-desired.memory_mb, item] = desired

    def plan(self, now_s: float) -> Iterator[tuple[str, DesiredItem, list[Item]]]:
        """Yield target, model and items to evict first, for own targets only."""
        evictions = EVICTIONS_PER_PLAN
        for desired in list(self._missing.values()[:MODELS_PER_PLAN]):
            chosen = self._assigned_target(desired, now_s)
            evicted: list[Item] = []
            if chosen is None and evictions > 0:
                evictions -= 1
                room = self._eviction_policy.cheapest_target(desired, now_s)
                if room is None:
                    continue
                chosen, evicted = room
                self._assign(desired, chosen, now_s)
            if chosen is None:
                continue
            memory = self._residency.by_target[chosen]
            if memory.data_centre != self._data_centre:
                continue
            if not evicted and memory.free_mb < desired.memory_mb:
                continue
            yield chosen, desired, evicted

    def _assigned_target(self, desired: DesiredItem, now_s: float) -> str | None:
        """Return the earlier assignment, or assign a target with free memory."""
        chosen = self._assignments.get(desired.item)
        excluded = ""
        if chosen is not None:
            memory = self._residency.by_target.get(chosen.target)
            fits = memory is not None and memory.accepts_loads
            fits = fits and memory.free_mb + memory.pending_free_mb >= desired.memory_mb
            expired = now_s - chosen.since_s >= ASSIGNMENT_TIMEOUT_S
            if fits and not expired:
                return chosen.target
            if memory is not None and memory.data_centre != self._data_centre:
                excluded = memory.data_centre
            self._unassign(desired.item)
        target = self._most_free(desired, excluded) or self._any_free(desired, excluded)
        if target is None and excluded:
            target = self._any_free(desired, "")
        if target is not None:
            self._assign(desired, target, now_s)
        return target

    def _most_free(self, desired: DesiredItem, excluded: str) -> str | None:
        """Return the target with the most memory left after its adapter reserve.

        Ties are broken by name, because placers may see targets with equal
        free memory in different order.

        Parameters
        ----------
        excluded : str
            Data centre that did not load the model in time; empty for none.
        """
        best = (desired.memory_mb, "")
        for free_mb, name in reversed(self._residency.by_free_mb()):
            if free_mb < best[0]:
                break
            memory = self._residency.by_target[name]
            if memory.data_centre == excluded:
                continue
            left_mb = free_mb - self._assigned_mb.get(name, 0)
            left_mb -= self._eviction_policy.adapter_reserve_mb(memory, desired)
            best = max(best, (left_mb, name))
        return best[1] or None

    def _any_free(self, desired: DesiredItem, excluded: str) -> str | None:
        """Return the target with the most free memory, adapters disregarded."""
        for free_mb, name in reversed(self._residency.by_free_mb()):
            if free_mb < desired.memory_mb:
                return None
            memory = self._residency.by_target[name]
            if memory.data_centre == excluded:
                continue
            if free_mb - self._assigned_mb.get(name, 0) >= desired.memory_mb:
                return name
        return None

    def _assign(self, desired: DesiredItem, target: str, now_s: float) -> None:
        self._unassign(desired.item)
        self._assignments[desired.item] = Assignment(target, desired.memory_mb, now_s)
        assigned_mb = self._assigned_mb.get(target, 0) + desired.memory_mb
        self._assigned_mb[target] = assigned_mb

    def _unassign(self, item: Item) -> None:
        chosen = self._assignments.pop(item, None)
        if chosen is None:
            return
        left_mb = self._assigned_mb[chosen.target] - chosen.memory_mb
        if left_mb > 0:
            self._assigned_mb[chosen.target] = left_mb
        else:
            del self._assigned_mb[chosen.target]

    def _clear_missing(self, item: Item) -> None:
        self._unassign(item)
        self._missing.pop((-self._desired.models[item].memory_mb, item), None)
