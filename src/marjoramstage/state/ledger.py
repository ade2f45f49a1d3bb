"""The ledger of a target: every item that may occupy its memory.

The functions are pure: each takes a ledger and returns the next version. A
new version takes effect only after a conditional update on the platform.
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

# An order's fencing number has the lease's one above these bits, its own below.
LEASE_FENCE_SHIFT = 32

MAX_PAST_INCARNATIONS = 8

# Load orders of one entry that may be outstanding at a time.
MAX_UNSETTLED_LOADS = 8


class EntryState(enum.Enum):
    """State of a ledger entry; in every state its memory counts as used."""

    RESERVED = "reserved"
    LOADED = "loaded"
    REMOVING = "removing"


@dataclass(frozen=True)
class OrderRecord:
    """An order as stored in the ledger.

    Attributes
    ----------
    fence : int
        Fencing number sent with the order.
    expires_s : float
        Reading of the target's clock after which the target refuses the
        order; 0 for none.
    """

    number: int
    fence: int
    expires_s: float = 0.0


@dataclass(frozen=True)
class Entry:
    """An item that may occupy memory.

    Attributes
    ----------
    loads : tuple of OrderRecord
        Load orders that may still arrive at the target.
    unload : OrderRecord or None
        Latest unload order.
    conclusive : bool
        Whether no load order was outstanding when ``unload`` was issued. Only
        then does its completion prove that the memory is free.
    base : Item or None
        Base model of an adapter.
    """

    item: Item
    memory_mb: int
    state: EntryState
    loads: tuple[OrderRecord, ...] = ()
    unload: OrderRecord | None = None
    conclusive: bool = False
    base: Item | None = None


@dataclass(frozen=True)
class Ledger:
    """Ledger of one target.

    Attributes
    ----------
    incarnation : str
        Incarnation of the target that the entries apply to.
    capacity_mb : int
        Accelerator memory in MB.
    next_order : int
        Number of the next order.
    version : str
        Resource version on the platform; empty before the first write.
    fence : int
        Highest fencing number of a lease under which it was written.
    started_s : float
        Start of the incarnation, as reported by the target.
    past_incarnations : tuple of str
        Earlier incarnations, whose delayed reports are ignored.
    """

    target: str
    incarnation: str
    capacity_mb: int
    entries: Mapping[Item, Entry] = field(default_factory=dict)
    next_order: int = 1
    version: str = ""
    fence: int = 0
    started_s: float = 0.0
    past_incarnations: tuple[str, ...] = ()

    @property
    def used_mb(self) -> int:
        """Memory that entries may occupy, in MB."""
        return sum(entry.memory_mb for entry in self.entries.values())

    @property
    def free_mb(self) -> int:
        """Memory that no entry can occupy, in MB."""
        return self.capacity_mb - self.used_mb

    @property
    def removing_mb(self) -> int:
        """Memory of entries that are being removed, in MB."""
        return sum(
            entry.memory_mb
            for entry in self.entries.values()
            if entry.state is EntryState.REMOVING
        )


def order_fence(lease_fence: int, number: int) -> int:
    """Return the fencing number of an order; it grows with both arguments."""
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
        There is not enough free memory, or the item already has an entry.
    """
    if item in ledger.entries:
        raise ValueError(f"{item} already has a ledger entry")
    if memory_mb > ledger.free_mb:
        raise ValueError(
            f"{item} needs {memory_mb} MB, only {ledger.free_mb} MB are free"
        )
    entry = Entry(item, memory_mb, EntryState.RESERVED, base=base)
    return retry_load(_with_entry(ledger, entry), item, lease_fence, expires_s)


def retry_load(
    ledger: Ledger, item: Item, lease_fence: int, expires_s: float = 0.0
) -> Ledger:
    """Return ``ledger`` with another load order for an existing entry."""
    entry = ledger.entries[item]
    record = _next_record(ledger, lease_fence, expires_s)
    entry = replace(
        entry,
        state=EntryState.RESERVED,
        loads=(*entry.loads, record),
        unload=None,
        conclusive=False,
    )
    return _with_entry(replace(ledger, next_order=ledger.next_order + 1), entry)


def unload(ledger: Ledger, item: Item, lease_fence: int) -> Ledger:
    """Return ``ledger`` with an unload order for an existing entry."""
    entry = ledger.entries[item]
    entry = replace(
        entry,
        state=EntryState.REMOVING,
        unload=_next_record(ledger, lease_fence, 0.0),
        conclusive=not entry.loads,
    )
    return _with_entry(replace(ledger, next_order=ledger.next_order + 1), entry)


def settle(ledger: Ledger, number: int, done: bool) -> Ledger:
    """Return ``ledger`` after order ``number`` can no longer take effect.

    A completed unload removes the entry only if no load order was outstanding,
    as a delayed load could still occupy the memory.

    Parameters
    ----------
    done : bool
        Whether the target carried the order out.
    """
    for entry in ledger.entries.values():
        if entry.unload is not None and entry.unload.number == number:
            if done and entry.conclusive and not entry.loads:
                return _without_entry(ledger, entry.item)
            return ledger
        if all(record.number != number for record in entry.loads):
            continue
        loads = tuple(record for record in entry.loads if record.number != number)
        state = entry.state
        if done and state is EntryState.RESERVED:
            state = EntryState.LOADED
        return _with_entry(ledger, replace(entry, loads=loads, state=state))
    return ledger


def reconcile(ledger: Ledger, report: TargetReport) -> Ledger:
    """Return ``ledger`` updated with what a report of its incarnation proves.

    The report may be arbitrarily old. It is used only as evidence about orders
    by number and about ready items, never as evidence that memory is free.
    """
    if report.incarnation != ledger.incarnation:
        return ledger
    finished = set(report.last_orders)
    ready = {r.item for r in report.residents if r.state is ResidentState.READY}
    for entry in tuple(ledger.entries.values()):
        for record in entry.loads:
            if record.number in finished:
                ledger = settle(ledger, record.number, done=True)
            elif would_be_refused(record, report):
                ledger = settle(ledger, record.number, done=False)
        if entry.unload is not None and entry.unload.number in finished:
            ledger = settle(ledger, entry.unload.number, done=True)
        entry = ledger.entries.get(entry.item)
        if entry is None or entry.state is not EntryState.RESERVED:
            continue
        if entry.item in ready:
            ledger = _with_entry(ledger, replace(entry, state=EntryState.LOADED))
    return ledger


def would_be_refused(record: OrderRecord, report: TargetReport) -> bool:
    """Return whether the target would refuse the order if it arrived now.

    It does so for an old fencing number or an expired order, if it checks them.
    """
    if report.fencing and report.highest_fence > record.fence:
        return True
    return report.expiry and 0 < record.expires_s < report.clock_s


def is_new_incarnation(ledger: Ledger, report: TargetReport) -> bool:
    """Return whether the report is from a later start of the target."""
    if report.incarnation == ledger.incarnation:
        return False
    if report.incarnation in ledger.past_incarnations:
        return False
    return report.started_s >= ledger.started_s


def reset_for_restart(ledger: Ledger, report: TargetReport) -> Ledger:
    """Return the ledger of a new incarnation, with the items that it reports."""
    past_incarnations = ledger.past_incarnations
    if ledger.incarnation:
        past_incarnations = (*past_incarnations, ledger.incarnation)[
            -MAX_PAST_INCARNATIONS:
        ]
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
        past_incarnations=past_incarnations,
    )


def load_order(ledger: Ledger, item: Item, record: OrderRecord) -> Order:
    """Return the order that loads an entry, as recorded in ``record``."""
    return _order(ledger, item, record, OrderAction.LOAD)


def unload_order(ledger: Ledger, item: Item, record: OrderRecord) -> Order:
    """Return the order that unloads an entry, as recorded in ``record``."""
    return _order(ledger, item, record, OrderAction.UNLOAD)


def _order(
    ledger: Ledger, item: Item, record: OrderRecord, action: OrderAction
) -> Order:
    entry = ledger.entries[item]
    return Order(
        target=ledger.target,
        incarnation=ledger.incarnation,
        number=record.number,
        fence=record.fence,
        action=action,
        item=item,
        memory_mb=entry.memory_mb,
        base=entry.base,
        expires_s=record.expires_s,
    )


def _next_record(ledger: Ledger, lease_fence: int, expires_s: float) -> OrderRecord:
    number = ledger.next_order
    return OrderRecord(number, order_fence(lease_fence, number), expires_s)


def _with_entry(ledger: Ledger, entry: Entry) -> Ledger:
    return replace(ledger, entries={**ledger.entries, entry.item: entry})


def _without_entry(ledger: Ledger, item: Item) -> Ledger:
    entries = {key: value for key, value in ledger.entries.items() if key != item}
    return replace(ledger, entries=entries)
