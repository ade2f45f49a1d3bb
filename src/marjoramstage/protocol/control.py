"""Orders of the placement planner to targets, and the targets' answers."""

from __future__ import annotations

import enum
from dataclasses import dataclass

from marjoramstage.state.fleet import Item


@dataclass(frozen=True)
class Order:
    """An order to load or unload an item at a target.

    Attributes
    ----------
    holder, fence : str, int
        Identity of the placement lease's holder, and its fencing number.
    order_count : int or None
        The target accepts the order only if it has accepted exactly this many
        before; None to skip the check.
    """

    target: str
    item: Item
    load: bool
    holder: str = ""
    fence: int = 0
    order_count: int | None = None


class OrderAnswer(enum.Enum):
    """What the sender of an order knows about it.

    Attributes
    ----------
    ACCEPTED
        The target is executing the order.
    ALREADY_DONE
        The target is already in the requested state.
    BUSY
        Another order is in progress, or the count of orders differs.
    FENCED
        The target has seen a higher fencing number.
    INVALID
        The target rejected the order as invalid.
    OTHER_TARGET
        Another target answered at the address.
    NOT_SENT
        The order was not sent, or certainly had no effect.
    UNKNOWN
        The target may execute the order, now or later.
    """

    ACCEPTED = "accepted"
    ALREADY_DONE = "holds"
    BUSY = "busy"
    FENCED = "fenced"
    INVALID = "invalid"
    OTHER_TARGET = "other-target"
    NOT_SENT = "not-sent"
    UNKNOWN = "unknown"
