"""What one target holds, as far as the instance that gives it orders knows.

An item counts against the target's memory from the time its load is ordered
until a report or an answer confirms that it is unloaded.
"""

from __future__ import annotations

import enum
import math
from collections.abc import Iterable
from dataclasses import dataclass

from marjoramstage.protocol.control import Order, OrderAnswer
from marjoramstage.state.fleet import FleetTarget, Item, TargetReport
from marjoramstage.state.routes import EngineSpec

# Time after an unanswered order or report before the target is asked again.
RESEND_S = 0.3
ADAPTER_LOAD_S = 0.015
# Reports may lag behind the target by this time.
REPORT_LAG_S = 0.25
# For this time after an order was accepted, a report may still predate it.
MAX_REPORT_AGE_S = 1.0
UNLOAD_S = 0.7
# Assumed of a model that the configuration has no longer, while its load is pending.
UNKNOWN_LOAD_S = 1.0
# An order that got no answer may reach the target within this time, also after a
# restart, when its count may fit again.
MAX_ORDER_DELAY_S = 6.0
# Start of the state of items that were loaded before the first report.
LONG_AGO_S = -math.inf


class ItemState(enum.Enum):
    """State of an item at a target."""

    LOADING = "loading"
    HELD = "held"
    RETIRING = "retiring"
    UNLOADING = "unloading"


@dataclass
class HeldItem:
    """An item that takes up memory at a target.

    Attributes
    ----------
    since_s : float
        When it entered its state.
    used_s : float
        When a request last used it.
    """

    state: ItemState
    since_s: float
    used_s: float


@dataclass
class PendingOrder:
    """An order whose outcome is not known yet.

    Attributes
    ----------
    accepted : bool
        The target has accepted it and is carrying it out.
    rejected : bool
        The target has rejected it as busy or because the order count differs.
    """

    order: Order
    sent_s: float
    accepted: bool = False
    rejected: bool = False


class TargetState:
    """What one target holds and which order it is carrying out.

    Parameters
    ----------
    target : FleetTarget
        The target; the state is valid for its present incarnation only.
    spec : EngineSpec
        Capacity of the target, and the models of its service.
    first_report_s : float
        Earliest time at which a report includes the last orders of the previous
        lease holder.

    Attributes
    ----------
    known : bool
        A report has shown what the target holds; no order is sent before.
    order_count : int
        Orders that the target has accepted, as far as is known.
    """

    def __init__(
        self, target: FleetTarget, spec: EngineSpec, first_report_s: float = 0.0
    ):
        self.target = target
        self.spec = spec
        self.items: dict[Item, HeldItem] = {}
        self.pending: PendingOrder | None = None
        self.order_count = 0
        self.known = False
        self.next_report_s = first_report_s
        self.in_memory: frozenset[str] = frozenset()
        self.on_disk: frozenset[str] = frozenset()
        self._last_order_s = 0.0
        # Sizes in MB of what was held when the configuration changed.
        self._kept_mb: dict[Item, float] = {}
        # Loads without an answer, and until when they may reach the target.
        self._unanswered: dict[Item, float] = {}
        # Those of them that were ordered before the target restarted.
        self._stray: dict[Item, float] = {}

    def inherit_orders(self, former: TargetState) -> None:
        """Reserve room for loads that the target's former incarnation may not have got.

        The former incarnation's loads that got no answer may reach this one, which
        would accept them if its order count is the same by then.
        """
        self._stray = former._stray | former._unanswered

    # Items

    def servable_items(self) -> list[Item]:
        """Return the items that the target can serve."""
        return [i for i, held in self.items.items() if held.state is ItemState.HELD]

    def holds(self, item: Item) -> bool:
        """Whether the target can serve requests for an item."""
        held = self.items.get(item)
        return held is not None and held.state is ItemState.HELD

    def is_loading(self, item: Item) -> bool:
        """Whether an item is being loaded."""
        held = self.items.get(item)
        return held is not None and held.state is ItemState.LOADING

    def models(self) -> list[Item]:
        """Return the models in any state."""
        return [item for item in self.items if not item.adapter]

    def adapters(self) -> list[Item]:
        """Return the adapters in any state."""
        return [item for item in self.items if item.adapter]

    def memory_mb(self, item: Item) -> float:
        """Return the memory that an item needs; all of it if it is unknown.

        What is held takes up the size of its load, or the present one if larger.
        """
        kept_mb = self._kept_mb.get(item) if item in self.items else None
        model = self.spec.models.get(item.model)
        if model is None:
            return self.spec.memory_mb if kept_mb is None else kept_mb
        size_mb = model.adapter_mb if item.adapter else model.memory_mb
        return size_mb if kept_mb is None else max(size_mb, kept_mb)

    def keep_sizes(self) -> None:
        """Note the sizes of what is held, before a newer version states others."""
        self._kept_mb = {item: self.memory_mb(item) for item in self.items}

    def free_mb(self) -> float:
        """Return the memory that is not taken up by any item."""
        items = self.items.keys() | self._stray.keys()
        return self.spec.memory_mb - sum(self.memory_mb(item) for item in items)

    def fits(self, item: Item) -> bool:
        """Whether an item can be loaded without an unload first."""
        strays = self._stray.keys() - self.items.keys() - {item}
        adapters = len(self.adapters()) + sum(bool(stray.adapter) for stray in strays)
        if item.adapter and adapters >= self.spec.adapter_slots:
            return False
        free_mb = self.free_mb()
        if item in self._stray:
            free_mb += self.memory_mb(item)
        return self.memory_mb(item) <= free_mb

    def has_weights_cached(self, model: str) -> bool:
        """Whether the target has the weights in its memory or on its disk."""
        return model in self.in_memory or model in self.on_disk

    def load_s(self, item: Item) -> float:
        """Return the expected load time of an item, in seconds."""
        if item.adapter:
            return ADAPTER_LOAD_S
        model = self.spec.models.get(item.model)
        if model is None:
            return UNKNOWN_LOAD_S
        if item.model in self.in_memory:
            return model.memory_load_s
        return model.disk_load_s if item.model in self.on_disk else model.load_s

    def remaining_order_s(self, now_s: float) -> float:
        """Return the expected time until the pending order is carried out."""
        pending = self.pending
        if pending is None:
            return 0.0
        took_s = self.load_s(pending.order.item) if pending.order.load else UNLOAD_S
        return max(REPORT_LAG_S, took_s - (now_s - pending.sent_s))

    def touch(self, item: Item, now_s: float) -> None:
        """Record that an item is in use."""
        held = self.items.get(item)
        if held is not None:
            held.used_s = now_s

    def is_retiring(self, item: Item) -> bool:
        """Whether an item gets no new requests and is about to be unloaded."""
        return self.items[item].state is ItemState.RETIRING

    # Orders

    def cancel_retirement(self, item: Item) -> None:
        """Send requests to a retired item again."""
        self.items[item].state = ItemState.HELD

    def retire(self, item: Item, now_s: float) -> None:
        """Stop sending requests to an item that is to be unloaded."""
        held = self.items[item]
        held.state, held.since_s = ItemState.RETIRING, now_s

    def begin_order(self, item: Item, load: bool, now_s: float) -> Order:
        """Return an order for this target, recorded as pending."""
        order = Order(self.target.name, item, load, order_count=self.order_count)
        self.record_order(order, now_s)
        return order

    def record_order(self, order: Order, now_s: float) -> None:
        """Record an order before it is sent; it may take effect from then on."""
        if order.load:
            self._kept_mb.pop(order.item, None)
            self.items[order.item] = HeldItem(ItemState.LOADING, now_s, now_s)
        else:
            held = self.items[order.item]
            held.state, held.since_s = ItemState.UNLOADING, now_s
        self.pending = PendingOrder(order, now_s)
        self.next_report_s = now_s + RESEND_S

    def record_answer(self, answer: OrderAnswer, now_s: float) -> None:
        """Process the answer to the pending order."""
        pending = self.pending
        if pending is None:
            return
        item = pending.order.item
        if answer is OrderAnswer.ACCEPTED:
            pending.accepted = True
            self.order_count += 1
            self._last_order_s = now_s
            self.next_report_s = now_s + self._expected_duration_s(pending.order)
            return
        if answer is OrderAnswer.ALREADY_DONE:
            # The target unloads an adapter before it answers, and counts that
            # order like an accepted one.
            if item.adapter and not pending.order.load:
                self.order_count += 1
                self._last_order_s = now_s
            self._complete(pending.order, now_s)
            return
        pending.rejected = answer is OrderAnswer.BUSY
        if answer in (OrderAnswer.INVALID, OrderAnswer.NOT_SENT, OrderAnswer.FENCED):
            self._roll_back(pending.order, now_s)
            return
        # Busy, wrong target or no answer: only a report shows the outcome.
        self.next_report_s = now_s
        if answer is OrderAnswer.UNKNOWN:
            self.next_report_s = now_s + RESEND_S
            self.items[item].since_s = now_s
            if pending.order.load:
                self._unanswered[item] = now_s + MAX_ORDER_DELAY_S

    def record_report(self, report: TargetReport, now_s: float) -> Order | None:
        """Process a report that was requested after the last answer.

        Returns
        -------
        Order or None
            The pending order, if the target has not accepted it and it has to
            be sent again. It keeps its order count: the target accepts only one
            order with that count, so a delayed first copy has no effect.
        """
        pending = self.pending
        self.in_memory, self.on_disk = report.in_memory, report.on_disk
        if report.order_count < self.order_count and self._may_predate_order(now_s):
            self.next_report_s = now_s + REPORT_LAG_S
            return None
        if not self.known or report.order_count < self.order_count:
            self._reset_from(report, now_s)
            return None
        self._add_unexpected_items(report, now_s)
        if pending is None:
            self.order_count = report.order_count
            return None
        if pending.rejected:
            return self._report_after_rejection(report, now_s)
        expected = pending.order.order_count
        if not pending.accepted:
            if expected is not None and report.order_count > expected:
                # The order was accepted, but its answer was lost.
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
            self._complete(pending.order, now_s)
            return None
        if not moving and now_s - pending.sent_s > 4 * RESEND_S:
            self._roll_back(pending.order, now_s)
            return None
        self.next_report_s = now_s + REPORT_LAG_S
        return None

    def _report_after_rejection(self, report: TargetReport, now_s: float) -> None:
        """Roll back a rejected order, so that the next report resets the state."""
        if report.busy:
            self.next_report_s = now_s + REPORT_LAG_S
            return
        # Another holder's order came first; its effect is not recorded here.
        self._roll_back(self.pending.order, now_s)
        self.known = False
        self.next_report_s = now_s + REPORT_LAG_S

    def tick(self, now_s: float) -> None:
        """Complete the load of an adapter, and forget orders that can't arrive now."""
        for orders in (self._unanswered, self._stray):
            for item in [i for i, until_s in orders.items() if until_s <= now_s]:
                del orders[item]
        pending = self.pending
        if pending is None or not pending.accepted or not pending.order.item.adapter:
            return
        if pending.order.load and now_s - pending.sent_s >= ADAPTER_LOAD_S:
            self._complete(pending.order, now_s)

    def remaining_load_s(self, item: Item, now_s: float) -> float:
        """Return the expected time until an item that is loading is loaded."""
        pending = self.pending
        if pending is None or pending.order.item != item:
            return 0.0
        return self.remaining_order_s(now_s)

    def needs_report(self, now_s: float) -> bool:
        """Whether to request a report from the target now."""
        if not self.known:
            return now_s >= self.next_report_s
        return self.pending is not None and now_s >= self.next_report_s

    def record_missing_report(self, now_s: float) -> None:
        """Record that the target did not answer a request for a report."""
        self.next_report_s = now_s + RESEND_S

    def _expected_duration_s(self, order: Order) -> float:
        """Return the time after which a report may show an order carried out."""
        if order.item.adapter or not order.load:
            return REPORT_LAG_S
        return self.load_s(order.item)

    def _complete(self, order: Order, now_s: float) -> None:
        self.pending = None
        if order.load:
            self.items[order.item] = HeldItem(ItemState.HELD, now_s, now_s)
            return
        for item in self._with_adapters(order.item):
            self.items.pop(item, None)

    def _roll_back(self, order: Order, now_s: float) -> None:
        """Undo an order that certainly had no effect."""
        self.pending = None
        if order.load:
            self.items.pop(order.item, None)
            return
        held = self.items.get(order.item)
        if held is not None:
            held.state, held.since_s = ItemState.HELD, now_s

    def _reset_from(self, report: TargetReport, now_s: float) -> None:
        """Replace the state by a report, unless the target is busy."""
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
            self.items[item] = HeldItem(ItemState.HELD, LONG_AGO_S, used_s)

    def _add_unexpected_items(self, report: TargetReport, now_s: float) -> None:
        """Add items that the target reports but that were not ordered here."""
        for item in report.items:
            if item not in self.items and not self._may_predate_order(now_s):
                self.items[item] = HeldItem(ItemState.HELD, now_s, now_s)

    def _may_predate_order(self, now_s: float) -> bool:
        """Whether a report may be older than the last accepted order."""
        return now_s - self._last_order_s < MAX_REPORT_AGE_S

    def _with_adapters(self, item: Item) -> Iterable[Item]:
        if item.adapter:
            return (item,)
        return [found for found in self.items if found.model == item.model]
