"""Memory ledger of the first version, kept unchanged as a baseline."""

from __future__ import annotations

import enum
from collections.abc import Mapping
from dataclasses import dataclass, field, replace

from marjoramstage.protocol.messages import Item, Order, OrderAction


class EntryState(enum.Enum):
    """State of a ledger entry; the memory counts as occupied in all of them."""

    RESERVED = "reserved"
    LOADED = "loaded"
    REMOVING = "removing"


@dataclass(frozen=True)
class Entry:
    """Item that may occupy memory of a target.

    Attributes
    ----------
    order : int
        Number of the latest order for the item; 0 if there was none.
    """

    item: Item
    memory_mb: int
    state: EntryState
    order: int = 0


@dataclass(frozen=True)
class Ledger:
    """Record of the items that may occupy the memory of one target.

    Attributes
    ----------
    incarnation : str
        Incarnation of the target that the entries apply to.
    capacity_mb : int
        Accelerator memory in MB.
    next_order : int
        Number of the next order.
    version : str
        Resource version of the stored ledger; empty before the first write.
    """

    target: str
    incarnation: str
    capacity_mb: int
    entries: Mapping[Item, Entry] = field(default_factory=dict)
    next_order: int = 1
    version: str = ""

    @property
    def used_mb(self) -> int:
        """Memory of all entries, in MB, whether or not it is occupied yet."""
        return sum(entry.memory_mb for entry in self.entries.values())

    @property
    def free_mb(self) -> int:
        """Memory that is certainly free, in MB."""
        return self.capacity_mb - self.used_mb


def reserve(ledger: Ledger, item: Item, memory_mb: int) -> Ledger:
    """Return ``ledger`` with a reservation for ``item``.

    Raises
    ------
    ValueError
        The free memory is too small, or the item has an entry already.
    """
    if item in ledger.entries:
        raise ValueError(f"{item} is already in the ledger")
    if memory_mb > ledger.free_mb:
        raise ValueError(
            f"{item} needs {memory_mb} MB, but {ledger.free_mb} MB are free"
        )
    entry = Entry(item, memory_mb, EntryState.RESERVED, ledger.next_order)
    return replace(
        ledger,
        entries={**ledger.entries, item: entry},
        next_order=ledger.next_order + 1,
    )


def load_order(ledger: Ledger, item: Item, fence: int) -> Order:
    """Return the load order for a reserved item."""
    entry = ledger.entries[item]
    return Order(
        target=ledger.target,
        incarnation=ledger.incarnation,
        number=entry.order,
        fence=fence,
        action=OrderAction.LOAD,
        item=item,
        memory_mb=entry.memory_mb,
    )
