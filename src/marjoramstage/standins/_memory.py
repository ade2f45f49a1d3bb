"""Accelerator memory of the engine stand-in."""

from __future__ import annotations

from dataclasses import replace

from marjoramstage.protocol.messages import (
    Item,
    Order,
    OrderAction,
    Resident,
    ResidentState,
)

KEPT_ORDERS = 64


class EngineMemory:
    """Items that one engine holds, and the checks it makes on orders.

    A load is carried out even if it exceeds the capacity, so that tests can
    detect a placement that overcommits memory. `overcommits` counts the loads
    that did.

    Parameters
    ----------
    capacity_mb : int
        Accelerator memory in MB.
    fencing : bool
        Whether orders with a fencing number lower than the highest one seen
        are refused.
    expiry : bool, default=False
        Whether orders that are past their ``expires_s`` are refused.
    """

    def __init__(self, capacity_mb: int, fencing: bool, expiry: bool = False):
        self.capacity_mb = capacity_mb
        self.fencing = fencing
        self.expiry = expiry
        self.highest_fence = 0
        self.overcommits = 0
        self.residents: dict[Item, Resident] = {}
        self.last_orders: tuple[int, ...] = ()

    @property
    def used_mb(self) -> int:
        """Memory occupied by loading and ready items, in MB."""
        return sum(resident.memory_mb for resident in self.residents.values())

    def accept(self, order: Order, clock_s: float = 0.0) -> bool:
        """Check an order and begin it; return False if it is refused.

        Parameters
        ----------
        clock_s : float
            Present time on the engine's clock, in seconds; ``expires_s`` of the
            order is compared with it.
        """
        if self.fencing and order.fence < self.highest_fence:
            return False
        if self.expiry and 0 < order.expires_s < clock_s:
            return False
        self.highest_fence = max(self.highest_fence, order.fence)
        if order.action is OrderAction.LOAD:
            self._begin_load(order)
        return True

    def finish(self, order: Order) -> None:
        """Complete an accepted order."""
        resident = self.residents.get(order.item)
        if order.action is OrderAction.UNLOAD:
            self.residents.pop(order.item, None)
        elif resident is not None:
            ready = replace(resident, state=ResidentState.READY)
            self.residents[order.item] = ready
        self.last_orders = (*self.last_orders, order.number)[-KEPT_ORDERS:]

    def ready(self, item: Item) -> bool:
        """Return whether ``item`` is loaded and can serve requests."""
        resident = self.residents.get(item)
        return resident is not None and resident.state is ResidentState.READY

    def _begin_load(self, order: Order) -> None:
        if order.item in self.residents:
            return
        loading = Resident(order.item, order.memory_mb, ResidentState.LOADING)
        self.residents[order.item] = loading
        if self.used_mb > self.capacity_mb:
            self.overcommits += 1
