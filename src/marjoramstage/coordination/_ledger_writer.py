"""Drafts and writes the ledger of one target, and tracks its orders."""

from __future__ import annotations

import math
from dataclasses import replace

from marjoramstage.coordination.orders import DONE, TrackedOrder
from marjoramstage.protocol.messages import (
    Item,
    OrderAction,
    OrderOutcome,
    OrderResult,
    TargetReport,
)
from marjoramstage.state.ledger import (
    MAX_UNSETTLED_LOADS,
    Entry,
    EntryState,
    Ledger,
    OrderRecord,
    is_new_incarnation,
    load_order,
    reconcile,
    reserve,
    reset_for_restart,
    retry_load,
    settle,
    unload,
    unload_order,
)

READ_RETRY_S = 0.5

# An unanswered load is ordered again if reports don't show it after this time.
LOAD_REPORT_TIMEOUT_S = 10.0

ORDER_RETRY_S = 2.0

# A loaded item is ordered again after it was missing from reports this long.
MISSING_GRACE_S = 3.0

# Expiry of load orders, for targets that enforce it.
ORDER_LIFETIME_S = 120.0


class LedgerWriter:
    """Manages the ledger of one target on behalf of the lease holder.

    Changes are collected in a draft, which is written in one conditional
    update. An order is released only after the written ledger contains it.

    Attributes
    ----------
    ledger : Ledger or None
        Last version read from the platform; None before the first read and
        after a failed call.
    draft : Ledger or None
        Next version of the ledger; must not change while ``writing`` is set.
    writing : bool
        Whether a write of the draft is in flight.
    """

    def __init__(self, target: str):
        self.target = target
        self.ledger: Ledger | None = None
        self.draft: Ledger | None = None
        self.writing = False
        self._read_at_s = -math.inf
        self._drafted_orders: dict[OrderRecord, tuple[Item, OrderAction]] = {}
        self._tracked: dict[int, TrackedOrder] = {}
        self._last_order_s: dict[Item, float] = {}
        self._missing_since_s: dict[Item, float] = {}

    @property
    def editable(self) -> bool:
        """Whether the draft can be changed."""
        return self.draft is not None and not self.writing

    @property
    def orders(self) -> list[TrackedOrder]:
        """Orders of this instance that the ledger still contains."""
        return list(self._tracked.values())

    @property
    def unsettled(self) -> bool:
        """Whether the ledger needs attention on every tick.

        True while it is unread or being written, orders are unsettled, an item
        is missing from reports, or an entry is not in its final state.
        """
        ledger = self.ledger
        if ledger is None or self.writing or self._tracked or self._missing_since_s:
            return True
        return any(
            entry.loads or entry.state is not EntryState.LOADED
            for entry in ledger.entries.values()
        )

    def loading(self) -> list[Item]:
        """Return the items that are reserved but not yet loaded."""
        ledger = self.draft or self.ledger
        if ledger is None:
            return []
        entries = ledger.entries.values()
        return [e.item for e in entries if e.state is EntryState.RESERVED]

    def read_due(self, now_s: float) -> bool:
        """Return whether to read the ledger now; if so, schedule the next retry."""
        if self.ledger is not None or now_s < self._read_at_s:
            return False
        self._read_at_s = now_s + READ_RETRY_S
        return True

    def call_failed(self, now_s: float) -> None:
        """Discard ledger and draft after a failed call; read again later."""
        self.ledger = None
        self.draft = None
        self.writing = False
        self._read_at_s = now_s + READ_RETRY_S

    def ledger_received(self, ledger: Ledger, now_s: float) -> list[TrackedOrder]:
        """Store a ledger from the platform; return the orders to send now.

        An order record contains the fencing number of the lease. If a record
        of the draft is in the ledger, this holder wrote it and no other.
        """
        self.ledger = ledger
        self.draft = None
        self.writing = False
        self._untrack_settled(ledger)
        found = []
        for record, (item, action) in self._drafted_orders.items():
            if not _has_record(ledger, item, record):
                continue
            make = load_order if action is OrderAction.LOAD else unload_order
            tracked = TrackedOrder(make(ledger, item, record), now_s)
            self._tracked[record.number] = tracked
            self._last_order_s[item] = now_s
            found.append(tracked)
        self._drafted_orders = {}
        return found

    def order_ended(self, answer: OrderResult, now_s: float) -> None:
        """Record the outcome of an order."""
        tracked = self._tracked.get(answer.order.number)
        if tracked is None or tracked.order != answer.order:
            return
        match answer.outcome:
            case OrderOutcome.DONE:
                tracked.finish()
            case OrderOutcome.REFUSED:
                tracked.refuse()
            case OrderOutcome.UNKNOWN:
                tracked.lose()
        self._last_order_s[answer.order.item] = now_s

    def begin_draft(self, report: TargetReport, lease_fence: int, now_s: float) -> bool:
        """Start a draft with all proved changes; return whether it was possible.

        It is not possible before the first read, while a write is in flight,
        after a later lease has written the ledger, and for a report of another
        incarnation that is not newer.
        """
        ledger = self.ledger
        if ledger is None or self.writing or ledger.fence > lease_fence:
            return False
        if is_new_incarnation(ledger, report):
            ledger = reset_for_restart(ledger, report)
            self._missing_since_s.clear()
        if ledger.incarnation != report.incarnation:
            return False
        for tracked in self._tracked.values():
            if tracked.settled and tracked.order.incarnation == ledger.incarnation:
                done = tracked.state == DONE
                ledger = settle(ledger, tracked.order.number, done)
        self.draft = replace(reconcile(ledger, report), fence=lease_fence)
        self._drafted_orders = {}
        self._draft_retries(report, lease_fence, now_s)
        return True

    def draft_load(
        self,
        item: Item,
        memory_mb: int,
        lease_fence: int,
        report: TargetReport,
        base: Item | None = None,
    ) -> None:
        """Reserve memory for ``item`` in the draft and add a load order.

        An entry that is being removed is reused if it is large enough;
        otherwise its removal has to finish first. An item that doesn't fit is
        skipped, as the draft may have less free memory than the planner saw.
        """
        expires_s = _expiry(report)
        entry = self.draft.entries.get(item)
        if entry is None and memory_mb > self.draft.free_mb:
            return
        if entry is None:
            self.draft = reserve(
                self.draft, item, memory_mb, lease_fence, expires_s, base
            )
        elif entry.memory_mb < memory_mb or len(entry.loads) >= MAX_UNSETTLED_LOADS:
            return
        else:
            self.draft = retry_load(self.draft, item, lease_fence, expires_s)
        self._add_load_order(item)

    def draft_unload(self, item: Item, lease_fence: int) -> None:
        """Add an unload order for ``item`` to the draft."""
        self.draft = unload(self.draft, item, lease_fence)
        record = self.draft.entries[item].unload
        self._drafted_orders[record] = (item, OrderAction.UNLOAD)

    def submit_draft(self) -> Ledger | None:
        """Return the draft if it needs to be written, and mark it as in flight."""
        if not self.editable:
            return None
        if self.draft == self.ledger:
            self.draft = None
            return None
        self.writing = True
        return self.draft

    def _add_load_order(self, item: Item) -> None:
        record = self.draft.entries[item].loads[-1]
        self._drafted_orders[record] = (item, OrderAction.LOAD)

    def _draft_retries(
        self, report: TargetReport, lease_fence: int, now_s: float
    ) -> None:
        """Add retries for orders that had no effect."""
        held = {resident.item for resident in report.residents}
        for entry in tuple(self.draft.entries.values()):
            item = entry.item
            if item in held:
                self._missing_since_s.pop(item, None)
            if now_s - self._last_order_s.get(item, -math.inf) < ORDER_RETRY_S:
                continue
            if self._awaits_answer(entry) and not self._report_overdue(
                entry, held, now_s
            ):
                continue
            if entry.state is EntryState.REMOVING:
                self.draft_unload(item, lease_fence)
                continue
            if item in held or len(entry.loads) >= MAX_UNSETTLED_LOADS:
                continue
            if entry.state is EntryState.LOADED and not self._is_missing(item, now_s):
                continue
            self.draft = retry_load(self.draft, item, lease_fence, _expiry(report))
            self._add_load_order(item)

    def _awaits_answer(self, entry: Entry) -> bool:
        """Whether an answer to an own order for the entry is outstanding."""
        records = entry.loads
        if entry.unload is not None:
            records = (*records, entry.unload)
        for record in records:
            tracked = self._tracked.get(record.number)
            if tracked is not None and tracked.awaits_answer:
                return True
        return False

    def _report_overdue(self, entry: Entry, held: set[Item], now_s: float) -> bool:
        """Whether a load is still missing from reports after the time-out."""
        waited_s = now_s - self._last_order_s.get(entry.item, -math.inf)
        missing = entry.state is EntryState.RESERVED and entry.item not in held
        return missing and waited_s >= LOAD_REPORT_TIMEOUT_S

    def _is_missing(self, item: Item, now_s: float) -> bool:
        """Whether a loaded item has been missing from reports for too long."""
        since_s = self._missing_since_s.setdefault(item, now_s)
        return now_s - since_s >= MISSING_GRACE_S

    def _untrack_settled(self, ledger: Ledger) -> None:
        for number, tracked in list(self._tracked.items()):
            if _has_order_number(ledger, tracked.order.item, number):
                continue
            tracked.detach()
            del self._tracked[number]


def _expiry(report: TargetReport) -> float:
    return report.clock_s + ORDER_LIFETIME_S if report.expiry else 0.0


def _has_record(ledger: Ledger, item: Item, record: OrderRecord) -> bool:
    entry = ledger.entries.get(item)
    return entry is not None and (record in entry.loads or record == entry.unload)


def _has_order_number(ledger: Ledger, item: Item, number: int) -> bool:
    entry = ledger.entries.get(item)
    if entry is None:
        return False
    if entry.unload is not None and entry.unload.number == number:
        return True
    return any(record.number == number for record in entry.loads)
