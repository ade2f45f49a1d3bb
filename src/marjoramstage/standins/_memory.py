"""Accelerator memory of the engine stand-in, as the engine accounts for it."""

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
    """Memory of one engine.

    An order is carried out whatever the sum: the engine counts in
    `overcommits` each time that more is held than there is.

    Parameters
    ----------
    capacity_mb : int
        Accelerator memory in MB.
    fencing : bool
        Whether orders with an old fencing number are refused.
    expiry : bool, default=False
        Whether orders past their ``expires_s`` are refused.
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
        """Memory held, in MB."""
        return sum(resident.memory_mb for resident in self.residents.values())

    def accept(self, order: Order, clock_s: float = 0.0) -> bool:
        """Begin an order; return whether it is accepted.

        Parameters
        ----------
        clock_s : float
            Reading of the engine's clock.
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
        """End an accepted order."""
        resident = self.residents.get(order.item)
        if order.action is OrderAction.UNLOAD:
            self.residents.pop(order.item, None)
        elif resident is not None:
            ready = replace(resident, state=ResidentState.READY)
            self.residents[order.item] = ready
        self.last_orders = (*self.last_orders, order.number)[-KEPT_ORDERS:]

    def ready(self, item: Item) -> bool:
        """Return whether ``item`` can serve."""
        resident = self.residents.get(item)
        return resident is not None and resident.state is ResidentState.READY

    def _begin_load(self, order: Order) -> None:
        if order.item in self.residents:
            return
        loading = Resident(order.item, order.memory_mb, ResidentState.LOADING)
        self.residents[order.item] = loading
        if self.used_mb > self.capacity_mb:
            self.overcommits += 1
