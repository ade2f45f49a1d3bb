"""Orders to targets and the answers to them."""

from __future__ import annotations

import enum
from dataclasses import dataclass

from marjoramstage.state.fleet import Item


@dataclass(frozen=True)
class Order:
    """Load or unload an item at a target.

    Attributes
    ----------
    holder, fence : str, int
        Who orders, under which fencing number.
    order_count : int or None
        The order holds only if the target has accepted just so many before.
    """

    target: str
    item: Item
    load: bool
    holder: str = ""
    fence: int = 0
    order_count: int | None = None


class OrderAnswer(enum.Enum):
    """What is known after an order was sent.

    Attributes
    ----------
    ACCEPTED
        It is being carried out.
    HOLDS
        What it asks for is already so.
    BUSY
        Another order is under way, or the count of orders differs.
    FENCED
        A higher fencing number was seen.
    UNKNOWN
        It may be carried out, also later.
    """

    ACCEPTED = "accepted"
    HOLDS = "holds"
    BUSY = "busy"
    FENCED = "fenced"
    INVALID = "invalid"
    OTHER_TARGET = "other-target"
    NOT_SENT = "not-sent"
    UNKNOWN = "unknown"
