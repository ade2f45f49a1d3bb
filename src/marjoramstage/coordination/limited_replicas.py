"""Which replicas at targets that named a limit serve the demand for their models.

A target that takes few requests a second can serve models that are asked for rarely.
Replicas of busier models there are of little use: they are needed at other targets.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable, Mapping, Sequence

from marjoramstage.coordination.demand_snapshot import DemandSnapshot
from marjoramstage.coordination.target_state import ItemState, TargetState
from marjoramstage.state.fleet import Item

# Share of a limit that the models which only its target holds may need.
USABLE_SHARE = 0.6


class LimitedReplicas:
    """Replicas at limited targets at one time.

    Parameters
    ----------
    limits : Mapping
        Requests a second that targets take, by name. If all usable ones have a limit,
        no target is better than another, and none counts as limited.
    usable : Sequence of TargetState
        Targets that can be sent orders and requests.
    """

    def __init__(
        self,
        limits: Mapping[str, float],
        usable: Sequence[TargetState],
        demand: DemandSnapshot,
    ):
        names = {target_state.target.name for target_state in usable}
        limited = names & limits.keys()
        self._demand = demand
        self._left_per_s: dict[str, float] = {}
        self._too_busy: set[tuple[str, str]] = set()
        if not limited or limited == names:
            return
        elsewhere = _ready(s for s in usable if s.target.name not in limited)
        for target_state in usable:
            name = target_state.target.name
            if name in limited:
                self._left_per_s[name] = USABLE_SHARE * limits[name]
                self._share_out(target_state, elsewhere)

    def serves(self, target_state: TargetState, item: Item) -> bool:
        """Whether a target's replica of a model, or of its base, serves its demand."""
        return (target_state.target.name, item.model) not in self._too_busy

    def has_capacity_for(self, target_state: TargetState, item: Item) -> bool:
        """Whether a target without the model could serve the demand for it."""
        left_per_s = self._left_per_s.get(target_state.target.name)
        return left_per_s is None or self._demand.rate(item.base) <= left_per_s

    def _share_out(self, target_state: TargetState, elsewhere: Counter[str]) -> None:
        """Give what a target takes to the models held nowhere else, rarest first."""
        name = target_state.target.name
        models = sorted(target_state.models(), key=self._demand.rate)
        for item in models:
            rate = self._demand.rate(item)
            if elsewhere[item.model] or rate > self._left_per_s[name]:
                self._too_busy.add((name, item.model))
                continue
            self._left_per_s[name] -= rate


def _ready(target_states: Iterable[TargetState]) -> Counter[str]:
    """Count the replicas that serve requests, by model."""
    return Counter(
        item.model
        for target_state in target_states
        for item in target_state.models()
        if target_state.items[item].state is ItemState.HELD
    )
