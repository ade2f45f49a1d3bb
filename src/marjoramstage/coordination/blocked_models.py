"""Models that need a replica and that no target can load now.

A model that stays blocked for longer than a fetch of its weights takes is overdue. It
may reserve the next load of a busy target; otherwise models that are asked for more
often would take each target that becomes idle, and it would never have its turn.
"""

from __future__ import annotations

import enum
from collections import Counter
from collections.abc import Collection, Iterable

from marjoramstage.state.fleet import Item
from marjoramstage.state.routes import EngineSpec

# A model keeps its turn for this long after the last request for it: callers that
# were refused come back.
TURN_TTL_S = 10.0

# Share of the targets whose next load overdue models may reserve; one at least.
RESERVED_SHARE = 0.2


class BlockReason(enum.Enum):
    """Why a model that needs another replica is not being loaded."""

    NO_ROOM = "no room"
    CACHED_NO_ROOM = "no room at targets with its weights"
    TARGET_BUSY = "best target busy"
    LOAD_LIMIT = "limit on loads from the weight store"
    LOW_UTILISATION = "too little used for a load from the weight store"
    FETCH_UNDER_WAY = "other models are loaded from the weight store"


class BlockedModels:
    """Blocked models of a service, since when, and the loads that they reserved.

    Parameters
    ----------
    spec : EngineSpec
        The models of the service.

    Attributes
    ----------
    reasons : Mapping
        Why each model was blocked in the last plan.
    """

    def __init__(self, spec: EngineSpec):
        self._spec = spec
        self.reasons: dict[Item, BlockReason] = {}
        self._since_s: dict[Item, float] = {}
        self._wanted_s: dict[Item, float] = {}
        self._reserved: dict[str, Item] = {}

    def begin_plan(
        self,
        wanted: Iterable[Item],
        ready: Counter[str],
        targets: Collection[str],
        now_s: float,
    ) -> None:
        """Forget what no longer applies.

        Parameters
        ----------
        wanted : iterable of Item
            Models that need another replica now.
        ready : Counter
            Number of replicas that serve requests, by model.
        targets : collection of str
            Names of the targets.
        """
        self.reasons.clear()
        wanted_now = set(wanted)
        self._wanted_s.update(dict.fromkeys(wanted_now, now_s))
        for item in self._wanted_s.keys() - wanted_now:
            if now_s - self._wanted_s[item] > TURN_TTL_S:
                del self._wanted_s[item]
                self.remove(item)
        # A model that is served has had its turn.
        for item in [item for item in self._since_s if ready[item.model]]:
            self.remove(item)
        for target, item in list(self._reserved.items()):
            if target not in targets or item not in wanted_now:
                del self._reserved[target]

    def add(self, item: Item, reason: BlockReason, now_s: float) -> None:
        """Record that no target can load a model now."""
        self.reasons[item] = reason
        self._since_s.setdefault(item, now_s)
        if reason is not BlockReason.TARGET_BUSY:
            self._release(item)

    def remove(self, item: Item) -> None:
        """Record that a model is going to be loaded, or isn't needed any more."""
        self._since_s.pop(item, None)
        self._release(item)

    def blocked_for_s(self, item: Item, now_s: float) -> float:
        """Return for how long no target has been found for a model, in seconds."""
        return now_s - self._since_s.get(item, now_s)

    def is_overdue(self, item: Item, now_s: float) -> bool:
        """Whether a model has been blocked for longer than a fetch takes."""
        load_s = self._spec.models[item.model].load_s
        return self.blocked_for_s(item, now_s) > load_s

    # Reservations

    def may_reserve(self, item: Item, targets: int) -> bool:
        """Whether a model may reserve the next load of one of so many targets."""
        others = sum(holder != item for holder in self._reserved.values())
        return others < max(1, int(targets * RESERVED_SHARE))

    def reserve(self, item: Item, target: str) -> None:
        """Reserve the next load of a target, in place of any other target's."""
        self._release(item)
        self._reserved[target] = item

    def is_reserved_for_other(self, target: str, item: Item) -> bool:
        """Whether the next load of a target is reserved for another model."""
        return self._reserved.get(target, item) != item

    def _release(self, item: Item) -> None:
        for target in [t for t, holder in self._reserved.items() if holder == item]:
            del self._reserved[target]
