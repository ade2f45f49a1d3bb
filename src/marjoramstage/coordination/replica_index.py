"""Counts of the replicas at all targets, formed once for many decisions.

One plan weighs each model that needs a replica against what each target holds.
Counting the replicas anew for every pair would cost time in proportion to the
square of the number of targets.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Mapping, Sequence

from marjoramstage.coordination.demand_snapshot import DemandSnapshot
from marjoramstage.coordination.limited_replicas import LimitedReplicas
from marjoramstage.coordination.target_state import ItemState, TargetState
from marjoramstage.state.fleet import Item


class ReplicaIndex:
    """Replicas of models at one time, counted over the usable targets.

    Parameters
    ----------
    usable : Sequence of TargetState
        Targets that can be sent orders and requests.
    planned : Mapping
        Models that targets are to load next, by name of the target.
    limited : LimitedReplicas
        Tells which replicas serve too few requests to count as ready.

    Attributes
    ----------
    ready : Counter
        Replicas that serve requests, by model.
    pending : Counter
        Replicas that are being loaded or are planned, by model.
    deferrable : int
        Replicas, in any state, of models whose callers can wait for a load.
    """

    def __init__(
        self,
        usable: Sequence[TargetState],
        planned: Mapping[str, Item],
        demand: DemandSnapshot,
        limited: LimitedReplicas,
    ):
        self.usable = usable
        self.ready: Counter[str] = Counter()
        self.pending: Counter[str] = Counter(item.model for item in planned.values())
        self.deferrable = 0
        for target_state in usable:
            for item, held in target_state.items.items():
                if item.adapter:
                    continue
                if not demand.is_latency_critical(item):
                    self.deferrable += 1
                if held.state is ItemState.HELD and limited.serves(target_state, item):
                    self.ready[item.model] += 1
                is_planned = planned.get(target_state.target.name) == item
                if held.state is ItemState.LOADING and not is_planned:
                    self.pending[item.model] += 1
