"""The book of what one target holds, as the giver of its orders keeps it.

An item takes up its room from the moment its load is ordered until a report
proves that it is gone.
"""

from __future__ import annotations

import enum
import math
from collections.abc import Iterable
from dataclasses import dataclass

from marjoramstage.protocol.control import Order, OrderAnswer
from marjoramstage.state.fleet import FleetTarget, Item, TargetReport
from marjoramstage.state.routes import EngineSpec

RESEND_S = 0.3
ADAPTER_LOAD_S = 0.015
REPORT_LAG_S = 0.25
SETTLE_S = 1.0
UNLOAD_S = 0.7
# When an item came that was there before its book was begun.
LONG_AGO_S = -math.inf


class Presence(enum.Enum):
    """What is known of an item at a target."""

    LOADING = "loading"
    HELD = "held"
    RETIRING = "retiring"
    UNLOADING = "unloading"


@dataclass
class HeldItem:
    """An item that takes up room at a target.

    Attributes
    ----------
    since_s : float
        When it came into this presence.
    used_s : float
        When it was asked for last.
    """

    presence: Presence
    since_s: float
    used_s: float


@dataclass
class PendingOrder:
    """An order that has no outcome yet.

    Attributes
    ----------
    accepted : bool
        The target said that it carries it out.
    rejected : bool
        The target said that it does not.
    """

    order: Order
    sent_s: float
    accepted: bool = False
    rejected: bool = False


class Stock:
    """What one target holds and which order it is carrying out.

    Parameters
    ----------
    target : FleetTarget
        The target, in the incarnation that the book is for.
    spec : EngineSpec
        Room of the target.
    ask_from_s : float
        When a report shows what an earlier holder ordered last.
    """

    def __init__(self, target: FleetTarget, spec: EngineSpec, ask_from_s: float = 0.0):
        self.target = target
        self.spec = spec
        self.items: dict[Item, HeldItem] = {}
        self.pending: PendingOrder | None = None
        self.order_count = 0
        self.known = False
        self.next_report_s = ask_from_s
        self.in_memory: frozenset[str] = frozenset()
        self.on_disk: frozenset[str] = frozenset()
        self._changed_s = 0.0

    # What it holds

    def servable(self) -> list[Item]:
        """Return the items that requests may be sent for."""
        return [i for i, held in self.items.items() if held.presence is Presence.HELD]

    def holds(self, item: Item) -> bool:
        """Whether requests for an item may be sent."""
        held = self.items.get(item)
        return held is not None and held.presence is Presence.HELD

    def is_coming(self, item: Item) -> bool:
        """Whether an item is being loaded."""
        held = self.items.get(item)
        return held is not None and held.presence is Presence.LOADING

    def models(self) -> list[Item]:
        """Return the models, in whatever presence."""
        return [item for item in self.items if not item.adapter]

    def adapters(self) -> list[Item]:
        """Return the adapters, in whatever presence."""
        return [item for item in self.items if item.adapter]

    def memory_mb(self, item: Item) -> float:
        """Return the memory of an item."""
        model = self.spec.models.get(item.model)
        if model is None:
            return self.spec.memory_mb
        return model.adapter_mb if item.adapter else model.memory_mb

    def free_mb(self) -> float:
        """Return the memory that no item takes up."""
        return self.spec.memory_mb - sum(self.memory_mb(item) for item in self.items)

    def fits(self, item: Item) -> bool:
        """Whether an item can be loaded with nothing unloaded before."""
        if item.adapter and len(self.adapters()) >= self.spec.adapter_places:
            return False
        return self.memory_mb(item) <= self.free_mb()

    def is_at_hand(self, model: str) -> bool:
        """Whether a load needs nothing from the weight store."""
        return model in self.in_memory or model in self.on_disk

    def load_s(self, item: Item) -> float:
        """Return how long a load of an item is likely to take, in seconds."""
        if item.adapter:
            return ADAPTER_LOAD_S
        model = self.spec.models[item.model]
        if item.model in self.in_memory:
            return model.memory_load_s
        return model.disk_load_s if item.model in self.on_disk else model.load_s

    def busy_s(self, now_s: float) -> float:
        """Return how long the order under way is likely to take yet."""
        pending = self.pending
        if pending is None:
            return 0.0
        took_s = self.load_s(pending.order.item) if pending.order.load else UNLOAD_S
        return max(REPORT_LAG_S, took_s - (now_s - pending.sent_s))

    def touch(self, item: Item, now_s: float) -> None:
        """Note that an item is in use."""
        held = self.items.get(item)
        if held is not None:
            held.used_s = now_s

    def is_retiring(self, item: Item) -> bool:
        """Whether an item gets no requests and is still to be unloaded."""
        return self.items[item].presence is Presence.RETIRING

    # Orders

    def stay(self, item: Item) -> None:
        """Take an item that was retired into use again."""
        self.items[item].presence = Presence.HELD

    def retire(self, item: Item, now_s: float) -> None:
        """Send an item no further requests."""
        held = self.items[item]
        held.presence, held.since_s = Presence.RETIRING, now_s

    def sent(self, order: Order, now_s: float) -> None:
        """Note an order before it is sent: from here on it may take effect."""
        if order.load:
            self.items[order.item] = HeldItem(Presence.LOADING, now_s, now_s)
        else:
            held = self.items[order.item]
            held.presence, held.since_s = Presence.UNLOADING, now_s
        self.pending = PendingOrder(order, now_s)
        self.next_report_s = now_s + RESEND_S

    def answered(self, answer: OrderAnswer, now_s: float) -> None:
        """Take in the answer to the pending order."""
        pending = self.pending
        if pending is None:
            return
        item = pending.order.item
        if answer is OrderAnswer.ACCEPTED:
            pending.accepted = True
            self.order_count += 1
            self._changed_s = now_s
            self.next_report_s = now_s + self._expected_s(pending.order)
            return
        if answer is OrderAnswer.HOLDS:
            # An adapter that is unloaded on the spot counts as an order too.
            if item.adapter and not pending.order.load:
                self.order_count += 1
                self._changed_s = now_s
            self._done(pending.order, now_s)
            return
        pending.rejected = answer is OrderAnswer.BUSY
        if answer in (OrderAnswer.INVALID, OrderAnswer.NOT_SENT, OrderAnswer.FENCED):
            self._undo(pending.order, now_s)
            return
        # Busy, another target or no answer: a report tells what holds.
        self.next_report_s = now_s
        if answer is OrderAnswer.UNKNOWN:
            self.next_report_s = now_s + RESEND_S
            self.items[item].since_s = now_s

    def reported(self, report: TargetReport, now_s: float) -> Order | None:
        """Take in a report that was asked for after the last answer.

        Returns
        -------
        Order or None
            The pending order, if it has to be sent once more: it was not
            accepted, and sent again under the same count it also makes void
            what may still be on its way.
        """
        pending = self.pending
        self.in_memory, self.on_disk = report.in_memory, report.on_disk
        if report.order_count < self.order_count and self._is_settling(now_s):
            self.next_report_s = now_s + REPORT_LAG_S
            return None
        if not self.known or report.order_count < self.order_count:
            self._adopt(report, now_s)
            return None
        self._count_unknown(report, now_s)
        if pending is None:
            self.order_count = report.order_count
            return None
        if pending.rejected:
            return self._reported_rejected(report, now_s)
        expected = pending.order.order_count
        if not pending.accepted:
            if expected is not None and report.order_count > expected:
                # The order was carried out though no answer said so.
                pending.accepted = True
                self.order_count = report.order_count
            elif report.busy:
                self.next_report_s = now_s + RESEND_S
                return None
            else:
                self.next_report_s = now_s + RESEND_S
                return pending.order
        item = pending.order.item
        there = item in report.items
        moving = report.busy or item in report.coming
        if not moving and there == pending.order.load:
            self._done(pending.order, now_s)
            return None
        if not moving and now_s - pending.sent_s > 4 * RESEND_S:
            self._undo(pending.order, now_s)
            return None
        self.next_report_s = now_s + REPORT_LAG_S
        return None

    def _reported_rejected(self, report: TargetReport, now_s: float) -> None:
        """Forget what is known, so that a later report starts the book anew."""
        if report.busy:
            self.next_report_s = now_s + REPORT_LAG_S
            return
        # Another holder's order came in between: what it did is not in the book.
        self._undo(self.pending.order, now_s)
        self.known = False
        self.next_report_s = now_s + REPORT_LAG_S

    def tick(self, now_s: float) -> None:
        """Let an adapter that was accepted become usable after its load time."""
        pending = self.pending
        if pending is None or not pending.accepted or not pending.order.item.adapter:
            return
        if pending.order.load and now_s - pending.sent_s >= ADAPTER_LOAD_S:
            self._done(pending.order, now_s)

    def expected_s(self, item: Item, now_s: float) -> float:
        """Return how long an item that is being loaded is likely to take yet."""
        pending = self.pending
        if pending is None or pending.order.item != item:
            return 0.0
        return self.busy_s(now_s)

    def wants_report(self, now_s: float) -> bool:
        """Whether the target is to be asked what holds."""
        if not self.known:
            return now_s >= self.next_report_s
        return self.pending is not None and now_s >= self.next_report_s

    def not_reported(self, now_s: float) -> None:
        """Note that the target did not answer."""
        self.next_report_s = now_s + RESEND_S

    def _expected_s(self, order: Order) -> float:
        """Return how long the target is likely to take."""
        if order.item.adapter or not order.load:
            return REPORT_LAG_S
        return self.load_s(order.item)

    def _done(self, order: Order, now_s: float) -> None:
        self.pending = None
        if order.load:
            self.items[order.item] = HeldItem(Presence.HELD, now_s, now_s)
            return
        for item in self._with_adapters(order.item):
            self.items.pop(item, None)

    def _undo(self, order: Order, now_s: float) -> None:
        """Take back an order that is proved to have had no effect."""
        self.pending = None
        if order.load:
            self.items.pop(order.item, None)
            return
        held = self.items.get(order.item)
        if held is not None:
            held.presence, held.since_s = Presence.HELD, now_s

    def _adopt(self, report: TargetReport, now_s: float) -> None:
        """Start the book from a report, when nothing is under way there."""
        if report.busy or report.coming:
            self.next_report_s = now_s + REPORT_LAG_S
            return
        self.known = True
        self.pending = None
        self.order_count = report.order_count
        before = self.items
        self.items = {}
        for item in report.items:
            used_s = before[item].used_s if item in before else now_s
            self.items[item] = HeldItem(Presence.HELD, LONG_AGO_S, used_s)

    def _count_unknown(self, report: TargetReport, now_s: float) -> None:
        """Give room in the book to what is there without an order of ours."""
        for item in report.items:
            if item not in self.items and not self._is_settling(now_s):
                self.items[item] = HeldItem(Presence.HELD, now_s, now_s)

    def _is_settling(self, now_s: float) -> bool:
        """Whether a report may be older than the last order that was accepted."""
        return now_s - self._changed_s < SETTLE_S

    def _with_adapters(self, item: Item) -> Iterable[Item]:
        if item.adapter:
            return (item,)
        return [found for found in self.items if found.model == item.model]
