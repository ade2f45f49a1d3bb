"""Predicts the queue wait of a request from the work ahead of it."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable, Sequence

from marjoramstage.coordination.fairness import FairShareCounters
from marjoramstage.coordination.queues import QueuedRequest, RequestQueues, SubQueue
from marjoramstage.coordination.routing import TargetView
from marjoramstage.protocol.messages import Item, RequestClass

Holders = Callable[[tuple[Item, ...]], Sequence[TargetView]]


def predicted_wait_s(
    queued: QueuedRequest,
    queues: RequestQueues,
    counters: FairShareCounters,
    holders: Holders,
) -> float:
    """Return the predicted wait of ``queued`` for a slot, in seconds.

    The work ahead of a request is all work of more urgent levels, the earlier
    work of its own customer, and the work of other customers at its level up
    to their fair share: as much as its own customer's, by weight. It is divided
    by the slots that this instance may use on the targets that hold the items.
    If no target holds them, no prediction is possible and 0 is returned.
    """
    views = [view for view in holders(queued.items) if not view.target.leaving]
    slots = sum(max(1, view.limit) for view in views)
    if not slots:
        return 0.0
    ahead_s, own_s = 0.0, 0.0
    others_s: Counter[str] = Counter()
    for subqueue, share in _competing_subqueues(queued, views, queues, holders):
        own_s += share * subqueue.work_ahead_s(queued)
        for (level, customer), work_s in subqueue.work_s.items():
            if level < queued.level:
                ahead_s += share * work_s
            elif level is queued.level and customer != queued.request.customer:
                others_s[customer] += share * work_s
    fair_s = _fair_share_s(queued, own_s, others_s, counters)
    return (ahead_s + own_s + fair_s) / slots


def _fair_share_s(
    queued: QueuedRequest,
    own_s: float,
    others_s: Counter[str],
    counters: FairShareCounters,
) -> float:
    """Return the work of other customers that is served before ``queued``."""
    if queued.level is RequestClass.URGENT:
        return 0.0
    own_by_weight_s = (own_s + queued.work_s) / counters.weight(queued.request.customer)
    total_s = 0.0
    for customer, work_s in others_s.items():
        total_s += min(work_s, own_by_weight_s * counters.weight(customer))
    return total_s


def _competing_subqueues(
    queued: QueuedRequest,
    views: Sequence[TargetView],
    queues: RequestQueues,
    holders: Holders,
) -> list[tuple[SubQueue, float]]:
    """Return the subqueues that ``views`` serve, with the share they serve."""
    names = {view.name for view in views}
    bases = {item for view in views for item in view.ready} if queued.items else {None}
    found = []
    for base in bases:
        for subqueue in queues.subqueues_for(base):
            others = holders(subqueue.items)
            common = sum(other.name in names for other in others)
            if common:
                found.append((subqueue, common / len(others)))
    # Set order differs between processes, and so would the floating-point sums.
    found.sort(key=lambda entry: (entry[0].name, entry[0].items))
    return found
