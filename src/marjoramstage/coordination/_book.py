"""The ledger of one own target, its write in flight and its orders."""

from __future__ import annotations

import math
from dataclasses import replace

from marjoramstage.coordination.orders import DONE, OrderTrack
from marjoramstage.protocol.messages import (
    Item,
    OrderAction,
    OrderAnswer,
    OrderOutcome,
    TargetReport,
)
from marjoramstage.state.ledger import (
    MAX_UNSETTLED_LOADS,
    Entry,
    EntryState,
    Ledger,
    OrderMark,
    is_new_incarnation,
    load_again,
    load_order,
    reconcile,
    reserve,
    restarted,
    settle,
    unload,
    unload_order,
)

READ_AGAIN_S = 0.5
UNHEARD_S = 10.0
ORDER_AGAIN_S = 2.0
ABSENT_S = 3.0
ORDER_LIFETIME_S = 120.0


class TargetBook:
    """What the lease holder knows of the ledger of one target.

    Attributes
    ----------
    ledger : Ledger or None
        As the platform last held it; None before the first read.
    draft : Ledger or None
        The next ledger; it is being written when ``writing`` is set.
    """

    def __init__(self, target: str):
        self.target = target
        self.ledger: Ledger | None = None
        self.draft: Ledger | None = None
        self.writing = False
        self._read_at_s = -math.inf
        self._numbered: dict[OrderMark, tuple[Item, OrderAction]] = {}
        self._tracks: dict[int, OrderTrack] = {}
        self._tried_s: dict[Item, float] = {}
        self._absent_s: dict[Item, float] = {}

    @property
    def open(self) -> bool:
        """Whether the draft can be changed."""
        return self.draft is not None and not self.writing

    @property
    def orders(self) -> list[OrderTrack]:
        """Own orders that the ledger still remembers."""
        return list(self._tracks.values())

    @property
    def unsettled(self) -> bool:
        """Whether something has to be watched until it is proved."""
        ledger = self.ledger
        if ledger is None or self.writing or self._tracks or self._absent_s:
            return True
        return any(
            entry.loads or entry.state is not EntryState.LOADED
            for entry in ledger.entries.values()
        )

    def loading(self) -> list[Item]:
        """Return the items that are reserved and not loaded yet."""
        ledger = self.draft or self.ledger
        if ledger is None:
            return []
        entries = ledger.entries.values()
        return [e.item for e in entries if e.state is EntryState.RESERVED]

    def read_due(self, now_s: float) -> bool:
        """Return whether to read the ledger now, and note that it is done."""
        if self.ledger is not None or now_s < self._read_at_s:
            return False
        self._read_at_s = now_s + READ_AGAIN_S
        return True

    def failed(self, now_s: float) -> None:
        """Forget the ledger: a call to the platform failed."""
        self.ledger = None
        self.draft = None
        self.writing = False
        self._read_at_s = now_s + READ_AGAIN_S

    def taken(self, ledger: Ledger, now_s: float) -> list[OrderTrack]:
        """Take in the platform's ledger; return own orders it now remembers.

        A mark carries the fencing number of the lease, so a mark of the draft
        that stands in the ledger was written by this holder and no other.
        """
        self.ledger = ledger
        self.draft = None
        self.writing = False
        self._forget_settled(ledger)
        found = []
        for mark, (item, action) in self._numbered.items():
            if not _remembers(ledger, item, mark):
                continue
            make = load_order if action is OrderAction.LOAD else unload_order
            track = OrderTrack(make(ledger, item, mark), now_s)
            self._tracks[mark.number] = track
            self._tried_s[item] = now_s
            found.append(track)
        self._numbered = {}
        return found

    def ended(self, answer: OrderAnswer, now_s: float) -> None:
        """Take in the end of an order."""
        track = self._tracks.get(answer.order.number)
        if track is None or track.order != answer.order:
            return
        match answer.outcome:
            case OrderOutcome.DONE:
                track.finish()
            case OrderOutcome.REFUSED:
                track.refuse()
            case OrderOutcome.UNKNOWN:
                track.lose()
        self._tried_s[answer.order.item] = now_s

    def begin(self, report: TargetReport, lease_fence: int, now_s: float) -> bool:
        """Draft the next ledger from what is proved; return whether it may be.

        It may not while a write is in flight, before the first read, and
        when a later lease has written the ledger.
        """
        ledger = self.ledger
        if ledger is None or self.writing or ledger.fence > lease_fence:
            return False
        if is_new_incarnation(ledger, report):
            ledger = restarted(ledger, report)
            self._absent_s.clear()
        if ledger.incarnation != report.incarnation:
            return False
        for track in self._tracks.values():
            if track.settled and track.order.incarnation == ledger.incarnation:
                done = track.state == DONE
                ledger = settle(ledger, track.order.number, done)
        self.draft = replace(reconcile(ledger, report), fence=lease_fence)
        self._numbered = {}
        self._repair(report, lease_fence, now_s)
        return True

    def load(
        self,
        item: Item,
        memory_mb: int,
        lease_fence: int,
        report: TargetReport,
        base: Item | None = None,
    ) -> None:
        """Reserve memory for ``item`` in the draft and number its order.

        An entry that is on its way out is taken back if it is large enough;
        else it has to go first. Nothing is reserved that does not fit, as the
        draft may show less room than the move was planned with.
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
            self.draft = load_again(self.draft, item, lease_fence, expires_s)
        self._note_load(item)

    def unload(self, item: Item, lease_fence: int) -> None:
        """Number an unload order for ``item`` in the draft."""
        self.draft = unload(self.draft, item, lease_fence)
        mark = self.draft.entries[item].unload
        self._numbered[mark] = (item, OrderAction.UNLOAD)

    def close(self) -> Ledger | None:
        """Return the draft if it has to be written, and note that it is."""
        if not self.open:
            return None
        if self.draft == self.ledger:
            self.draft = None
            return None
        self.writing = True
        return self.draft

    def _note_load(self, item: Item) -> None:
        mark = self.draft.entries[item].loads[-1]
        self._numbered[mark] = (item, OrderAction.LOAD)

    def _repair(self, report: TargetReport, lease_fence: int, now_s: float) -> None:
        """Number a further order where the last one came to nothing."""
        held = {resident.item for resident in report.residents}
        for entry in tuple(self.draft.entries.values()):
            item = entry.item
            if item in held:
                self._absent_s.pop(item, None)
            if now_s - self._tried_s.get(item, -math.inf) < ORDER_AGAIN_S:
                continue
            if self._on_its_way(entry) and not self._unheard(entry, held, now_s):
                continue
            if entry.state is EntryState.REMOVING:
                self.unload(item, lease_fence)
                continue
            if item in held or len(entry.loads) >= MAX_UNSETTLED_LOADS:
                continue
            if entry.state is EntryState.LOADED and not self._absent(item, now_s):
                continue
            self.draft = load_again(self.draft, item, lease_fence, _expiry(report))
            self._note_load(item)

    def _on_its_way(self, entry: Entry) -> bool:
        """Whether an own order for the entry may still be answered."""
        marks = entry.loads
        if entry.unload is not None:
            marks = (*marks, entry.unload)
        for mark in marks:
            track = self._tracks.get(mark.number)
            if track is not None and track.on_its_way:
                return True
        return False

    def _unheard(self, entry: Entry, held: set[Item], now_s: float) -> bool:
        """Whether the reports should have shown a load by now, and do not."""
        waited_s = now_s - self._tried_s.get(entry.item, -math.inf)
        absent = entry.state is EntryState.RESERVED and entry.item not in held
        return absent and waited_s >= UNHEARD_S

    def _absent(self, item: Item, now_s: float) -> bool:
        """Whether the reports have missed a loaded item for long enough."""
        since_s = self._absent_s.setdefault(item, now_s)
        return now_s - since_s >= ABSENT_S

    def _forget_settled(self, ledger: Ledger) -> None:
        for number, track in list(self._tracks.items()):
            if _remembers_number(ledger, track.order.item, number):
                continue
            track.forget()
            del self._tracks[number]


def _expiry(report: TargetReport) -> float:
    return report.clock_s + ORDER_LIFETIME_S if report.expiry else 0.0


def _remembers(ledger: Ledger, item: Item, mark: OrderMark) -> bool:
    entry = ledger.entries.get(item)
    return entry is not None and (mark in entry.loads or mark == entry.unload)


def _remembers_number(ledger: Ledger, item: Item, number: int) -> bool:
    entry = ledger.entries.get(item)
    if entry is None:
        return False
    if entry.unload is not None and entry.unload.number == number:
        return True
    return any(mark.number == number for mark in entry.loads)
