"""Index of the items on every target of the deployment."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field

from sortedcontainers import SortedList

from marjoramstage.protocol.messages import Item


@dataclass(frozen=True)
class TargetMemory:
    """Memory of one target, as seen by placement.

    Attributes
    ----------
    items : Mapping
        Memory of each item that is resident or being loaded, in MB.
    ready : frozenset of Item
        Items that can serve requests.
    pending_free_mb : int
        Memory that outstanding unload orders will free, in MB.
    accepts_loads : bool
        Whether items may be added: the target is reported and not leaving.
    """

    target: str
    data_centre: str
    capacity_mb: int
    free_mb: int
    slots: int = 0
    items: Mapping[Item, int] = field(default_factory=dict)
    ready: frozenset[Item] = frozenset()
    pending_free_mb: int = 0
    accepts_loads: bool = True


class Residency:
    """Memory of all targets, indexed by item and by free memory.

    The cost of an update is proportional to the number of items on the target.
    """

    def __init__(self):
        self.by_target: dict[str, TargetMemory] = {}
        self._held_at: dict[Item, set[str]] = {}
        self._ready_at: dict[Item, set[str]] = {}
        self._by_free_mb: SortedList = SortedList()

    def update(self, memory: TargetMemory) -> set[Item]:
        """Store the memory of a target; return the items it gained or lost."""
        old = self.by_target.get(memory.target)
        if old == memory:
            return set()
        changed = self._unindex(old) if old is not None else set()
        self.by_target[memory.target] = memory
        if not memory.accepts_loads:
            return changed
        self._by_free_mb.add((memory.free_mb, memory.target))
        for item in memory.items:
            self._held_at.setdefault(item, set()).add(memory.target)
        for item in memory.ready:
            self._ready_at.setdefault(item, set()).add(memory.target)
        return changed ^ set(memory.items)

    def remove(self, target: str) -> set[Item]:
        """Remove a target; return the items that were on it."""
        old = self.by_target.pop(target, None)
        return self._unindex(old) if old is not None else set()

    def targets_holding(self, item: Item) -> set[str]:
        """Return the targets where the item is resident or being loaded."""
        return self._held_at.get(item, set())

    def ready_targets(self, item: Item) -> set[str]:
        """Return the targets where the item can serve requests."""
        return self._ready_at.get(item, set())

    def items(self) -> set[Item]:
        """Return every item that is resident or being loaded on a target."""
        return {item for item, targets in self._held_at.items() if targets}

    def by_free_mb(self) -> SortedList:
        """Return ``(free_mb, target)`` of targets that take loads, ascending."""
        return self._by_free_mb

    def _unindex(self, memory: TargetMemory) -> set[Item]:
        if not memory.accepts_loads:
            return set()
        self._by_free_mb.remove((memory.free_mb, memory.target))
        for item in memory.items:
            _discard(self._held_at, item, memory.target)
        for item in memory.ready:
            _discard(self._ready_at, item, memory.target)
        return set(memory.items)


def _discard(index: dict[Item, set[str]], item: Item, target: str) -> None:
    targets = index.get(item)
    if targets is None:
        return
    targets.discard(target)
    if not targets:
        del index[item]
