"""Ledger transitions of the first version, unchanged since."""

from __future__ import annotations

from dataclasses import replace

from marjoramstage.protocol.messages import Item, Order, OrderAction
from marjoramstage.state.ledger import Entry, EntryState, Ledger


def reserve(ledger: Ledger, item: Item, memory_mb: int) -> Ledger:
    """Return ``ledger`` with a reserved entry for ``item``.

    Raises
    ------
    ValueError
        The memory is not free, or the item is there already.
    """
    if item in ledger.entries:
        raise ValueError(f"{item} is in the ledger already")
    if memory_mb > ledger.free_mb:
        raise ValueError(f"{item} needs {memory_mb} MB, {ledger.free_mb} are free")
    entry = Entry(item, memory_mb, EntryState.RESERVED, ledger.next_order)
    return replace(
        ledger,
        entries={**ledger.entries, item: entry},
        next_order=ledger.next_order + 1,
    )


def load_order(ledger: Ledger, item: Item, fence: int) -> Order:
    """Return the order that loads a reserved item."""
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
