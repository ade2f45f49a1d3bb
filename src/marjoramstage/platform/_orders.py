"""Encodes orders to targets; decodes their answers and reports."""

from __future__ import annotations

import json
from typing import Any

from result import Err, Ok, Result

from marjoramstage.platform import _json
from marjoramstage.platform._targets import decode_items
from marjoramstage.protocol.control import Order, OrderAnswer
from marjoramstage.state.fleet import Item, TargetReport

_ANSWER_BY_STATUS = {
    200: OrderAnswer.ALREADY_DONE,
    202: OrderAnswer.ACCEPTED,
    400: OrderAnswer.INVALID,
    409: OrderAnswer.BUSY,
    412: OrderAnswer.FENCED,
    421: OrderAnswer.OTHER_TARGET,
}


def encode_order(order: Order) -> bytes:
    """Return an order as JSON."""
    body: dict[str, Any] = {
        "op": "load" if order.load else "unload",
        "model": order.item.model,
        "holder": order.holder,
        "fence": order.fence,
    }
    if order.item.adapter:
        body["adapter"] = order.item.adapter
    if order.order_count is not None:
        body["precondition"] = order.order_count
    return json.dumps(body).encode()


def decode_order_answer(status: int) -> OrderAnswer:
    """Return the outcome of an order from the status of its answer."""
    return _ANSWER_BY_STATUS.get(status, OrderAnswer.UNKNOWN)


def decode_report(body: bytes) -> Result[TargetReport, str]:
    """Return the report of a target, or why it cannot be decoded."""
    try:
        data = _json.loads(body)
        report = TargetReport(
            order_count=int(data["seq"]),
            busy=bool(data["busy"]),
            running=int(data.get("running") or 0),
            waiting=int(data.get("waiting") or 0),
            items=decode_items(data.get("models") or ()),
            coming=frozenset(_parse_adapter(text) for text in data.get("coming") or ()),
            in_memory=_at_hand(data, "in_memory"),
            on_disk=_at_hand(data, "on_disk"),
        )
    except (KeyError, TypeError, ValueError, AttributeError, OverflowError) as exc:
        return Err(f"{type(exc).__name__}: {exc}")
    return Ok(report)


def _at_hand(data: dict[str, Any], storage: str) -> frozenset[str]:
    at_hand = data.get("at_hand") or {}
    return frozenset(str(name) for name in at_hand.get(storage) or ())


def _parse_adapter(text: str) -> Item:
    """Parse ``MODEL/NAME@VERSION``."""
    model, _, rest = text.partition("/")
    return Item(model, rest.partition("@")[0])
