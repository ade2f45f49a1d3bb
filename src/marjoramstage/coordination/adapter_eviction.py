"""Chooses adapters to evict when a target needs memory for another one."""

from __future__ import annotations

from marjoramstage.coordination._desired_state import DesiredState
from marjoramstage.coordination.demand import DemandStats
from marjoramstage.protocol.messages import Item
from marjoramstage.state.residency import TargetMemory


def adapter_mb_per_weight(
    memory: TargetMemory, desired: DesiredState
) -> dict[str, float]:
    """Return the adapter memory of each customer divided by its weight, in MB.

    An adapter that several customers paid for is split evenly between them.
    """
    shares: dict[str, float] = {}
    for item, memory_mb in memory.items.items():
        adapter = desired.adapters.get(item)
        if adapter is None or not adapter.paying_customers:
            continue
        for name in adapter.paying_customers:
            part = memory_mb / len(adapter.paying_customers) / desired.weight(name)
            shares[name] = shares.get(name, 0.0) + part
    return shares


def adapters_to_evict(
    memory: TargetMemory,
    needed_mb: int,
    desired: DesiredState,
    demand: DemandStats,
    now_s: float,
) -> list[Item] | None:
    """Return adapters to evict until ``needed_mb`` are free, or None.

    Adapters of the customer with the most memory for its weight go first, the
    least recently used one before the others. Adapters that may have work in
    flight stay.
    """
    shares = adapter_mb_per_weight(memory, desired)

    def eviction_order(item: Item) -> tuple[float, float, Item]:
        adapter = desired.adapters.get(item)
        if adapter is None:
            return (float("-inf"), demand.last_used_s(item), item)
        share = max((shares[name] for name in adapter.paying_customers), default=0.0)
        return (-share, demand.last_used_s(item), item)

    candidates = [
        item
        for item in memory.ready
        if item not in desired.models
        and item in desired.adapters
        and not demand.in_use(item, now_s)
    ]
    missing_mb = needed_mb - memory.free_mb - memory.pending_free_mb
    chosen: list[Item] = []
    for item in sorted(candidates, key=eviction_order):
        if missing_mb <= 0:
            break
        chosen.append(item)
        missing_mb -= memory.items[item]
    return chosen if missing_mb <= 0 else None
