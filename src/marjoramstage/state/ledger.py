"""The ledger of a target: everything that may occupy its memory.

The functions are pure: each takes a ledger and returns the next one. The
next one is in force only after the platform took it by conditional update.
"""

from __future__ import annotations

import enum
from collections.abc import Mapping
from dataclasses import dataclass, field, replace

from marjoramstage.protocol.messages import (
    Item,
    Order,
    OrderAction,
    ResidentState,
    TargetReport,
)

LEASE_FENCE_SHIFT = 32
KEPT_INCARNATIONS = 8
MAX_UNSETTLED_LOADS = 8


class EntryState(enum.Enum):
    """State of a ledger entry; every one of them counts as occupied."""

    RESERVED = "reserved"
    LOADED = "loaded"
    REMOVING = "removing"


@dataclass(frozen=True)
class OrderMark:
    """An order as the ledger remembers it.

    Attributes
    ----------
    fence : int
        Fencing number that the order carries.
    expires_s : float
        Reading of the target's clock after which the target refuses the
        order; 0 for none.
    """

    number: int
    fence: int
    expires_s: float = 0.0


@dataclass(frozen=True)
class Entry:
    """One item that may occupy memory.

    Attributes
    ----------
    loads : tuple of OrderMark
        Load orders that may still arrive at the target.
    unload : OrderMark or None
        The latest unload order.
    conclusive : bool
        Whether no load order could still arrive when ``unload`` was numbered.
    base : Item or None
        The model under an adapter.
    """

    item: Item
    memory_mb: int
    state: EntryState
    loads: tuple[OrderMark, ...] = ()
    unload: OrderMark | None = None
    conclusive: bool = False
    base: Item | None = None


@dataclass(frozen=True)
class Ledger:
    """Ledger of one target.

    Attributes
    ----------
    incarnation : str
        Incarnation of the target that the entries are about.
    capacity_mb : int
        Accelerator memory in MB.
    next_order : int
        Number of the next order.
    version : str
        Resource version in the platform; empty before the first write.
    fence : int
        Highest fencing number of a lease under which it was written.
    started_s : float
        When the incarnation started, as the target reports it.
    past : tuple of str
        Earlier incarnations, whose late reports are ignored.
    """

    target: str
    incarnation: str
    capacity_mb: int
    entries: Mapping[Item, Entry] = field(default_factory=dict)
    next_order: int = 1
    version: str = ""
    fence: int = 0
    started_s: float = 0.0
    past: tuple[str, ...] = ()

    @property
    def used_mb(self) -> int:
        """Memory that may be occupied, in MB."""
        return sum(entry.memory_mb for entry in self.entries.values())

    @property
    def free_mb(self) -> int:
        """Memory that nothing may occupy, in MB."""
        return self.capacity_mb - self.used_mb

    @property
    def removing_mb(self) -> int:
        """Memory of entries that are on their way out, in MB."""
        return sum(
            entry.memory_mb
            for entry in self.entries.values()
            if entry.state is EntryState.REMOVING
        )


def order_fence(lease_fence: int, number: int) -> int:
    """Return the fencing number of an order; it rises with both arguments."""
    return (lease_fence << LEASE_FENCE_SHIFT) + number


def reserve(
    ledger: Ledger,
    item: Item,
    memory_mb: int,
    lease_fence: int,
    expires_s: float = 0.0,
    base: Item | None = None,
) -> Ledger:
    """Return ``ledger`` with an entry for ``item`` and its first load order.

    Raises
    ------
    ValueError
        The memory is not free, or the item is there already.
    """
    if item in ledger.entries:
        raise ValueError(f"{item} is in the ledger already")
    if memory_mb > ledger.free_mb:
        raise ValueError(f"{item} needs {memory_mb} MB, {ledger.free_mb} are free")
    entry = Entry(item, memory_mb, EntryState.RESERVED, base=base)
    return load_again(_with(ledger, entry), item, lease_fence, expires_s)


def load_again(
    ledger: Ledger, item: Item, lease_fence: int, expires_s: float = 0.0
) -> Ledger:
    """Return ``ledger`` with a further load order for an entry."""
    entry = ledger.entries[item]
    mark = _next_mark(ledger, lease_fence, expires_s)
    entry = replace(
        entry,
        state=EntryState.RESERVED,
        loads=(*entry.loads, mark),
        unload=None,
        conclusive=False,
    )
    return _with(replace(ledger, next_order=ledger.next_order + 1), entry)


def unload(ledger: Ledger, item: Item, lease_fence: int) -> Ledger:
    """Return ``ledger`` with an unload order for an entry."""
    entry = ledger.entries[item]
    entry = replace(
        entry,
        state=EntryState.REMOVING,
        unload=_next_mark(ledger, lease_fence, 0.0),
        conclusive=not entry.loads,
    )
    return _with(replace(ledger, next_order=ledger.next_order + 1), entry)


def settle(ledger: Ledger, number: int, done: bool) -> Ledger:
    """Return ``ledger`` after order ``number`` can no longer arrive.

    Parameters
    ----------
    done : bool
        Whether the target carried the order out.
    """
    for entry in ledger.entries.values():
        if entry.unload is not None and entry.unload.number == number:
            if done and entry.conclusive and not entry.loads:
                return _without(ledger, entry.item)
            return ledger
        if all(mark.number != number for mark in entry.loads):
            continue
        loads = tuple(mark for mark in entry.loads if mark.number != number)
        state = entry.state
        if done and state is EntryState.RESERVED:
            state = EntryState.LOADED
        return _with(ledger, replace(entry, loads=loads, state=state))
    return ledger


def reconcile(ledger: Ledger, report: TargetReport) -> Ledger:
    """Return ``ledger`` after what a report of its incarnation proves.

    The report may be as old as it likes: it is only taken as evidence for
    orders by their numbers, never for memory being free.
    """
    if report.incarnation != ledger.incarnation:
        return ledger
    finished = set(report.last_orders)
    ready = {r.item for r in report.residents if r.state is ResidentState.READY}
    for entry in tuple(ledger.entries.values()):
        for mark in entry.loads:
            if mark.number in finished:
                ledger = settle(ledger, mark.number, done=True)
            elif cannot_arrive(mark, report):
                ledger = settle(ledger, mark.number, done=False)
        if entry.unload is not None and entry.unload.number in finished:
            ledger = settle(ledger, entry.unload.number, done=True)
        entry = ledger.entries.get(entry.item)
        if entry is None or entry.state is not EntryState.RESERVED:
            continue
        if entry.item in ready:
            ledger = _with(ledger, replace(entry, state=EntryState.LOADED))
    return ledger


def cannot_arrive(mark: OrderMark, report: TargetReport) -> bool:
    """Return whether the target refuses the order if it arrives from now on."""
    if report.fencing and report.highest_fence > mark.fence:
        return True
    return report.expiry and 0 < mark.expires_s < report.clock_s


def is_new_incarnation(ledger: Ledger, report: TargetReport) -> bool:
    """Return whether the report is of a later start of the target."""
    if report.incarnation == ledger.incarnation:
        return False
    if report.incarnation in ledger.past:
        return False
    return report.started_s >= ledger.started_s


def restarted(ledger: Ledger, report: TargetReport) -> Ledger:
    """Return the ledger of the new incarnation, with what it reports to hold."""
    past = ledger.past
    if ledger.incarnation:
        past = (*past, ledger.incarnation)[-KEPT_INCARNATIONS:]
    entries = {
        resident.item: Entry(resident.item, resident.memory_mb, EntryState.LOADED)
        for resident in report.residents
    }
    return replace(
        ledger,
        incarnation=report.incarnation,
        capacity_mb=report.memory_mb,
        entries=entries,
        started_s=report.started_s,
        past=past,
    )


def load_order(ledger: Ledger, item: Item, mark: OrderMark) -> Order:
    """Return the order that loads an entry under ``mark``."""
    return _order(ledger, item, mark, OrderAction.LOAD)


def unload_order(ledger: Ledger, item: Item, mark: OrderMark) -> Order:
    """Return the order that unloads an entry under ``mark``."""
    return _order(ledger, item, mark, OrderAction.UNLOAD)


def _order(ledger: Ledger, item: Item, mark: OrderMark, action: OrderAction) -> Order:
    entry = ledger.entries[item]
    return Order(
        target=ledger.target,
        incarnation=ledger.incarnation,
        number=mark.number,
        fence=mark.fence,
        action=action,
        item=item,
        memory_mb=entry.memory_mb,
        base=entry.base,
        expires_s=mark.expires_s,
    )


def _next_mark(ledger: Ledger, lease_fence: int, expires_s: float) -> OrderMark:
    number = ledger.next_order
    return OrderMark(number, order_fence(lease_fence, number), expires_s)


def _with(ledger: Ledger, entry: Entry) -> Ledger:
    return replace(ledger, entries={**ledger.entries, entry.item: entry})


def _without(ledger: Ledger, item: Item) -> Ledger:
    entries = {key: value for key, value in ledger.entries.items() if key != item}
    return replace(ledger, entries=entries)
