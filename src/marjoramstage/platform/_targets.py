"""Decodes the objects with which targets register in the object store."""

from __future__ import annotations

from typing import Any

from result import Err, Ok, Result

from marjoramstage.platform import _json
from marjoramstage.state.fleet import FleetTarget, Item

MS = 0.001
STATES = ("ready", "draining")
MAX_SOFTWARE_CHARS = 128
# The largest number that an entry may have; all up to it are exact as floats.
MAX_NUMBER = 2**53


def decode_target(name: str, spec: Any) -> Result[FleetTarget, str]:
    """Return the target that an object describes, or why it is invalid."""
    try:
        data = _json.loads(spec) if isinstance(spec, str | bytes) else spec
        return Ok(_target(name, data))
    except (KeyError, TypeError, ValueError, AttributeError) as exc:
        return Err(f"{type(exc).__name__}: {exc}")


def _target(name: str, data: dict[str, Any]) -> FleetTarget:
    state = data["state"]
    if state not in STATES:
        raise ValueError(f"state {state!r}")
    service, address, zone = data["service"], data["addr"], data["zone"]
    host, _, port = _text(address).rpartition(":")
    if not host or not 0 < int(port) < 65536:
        raise ValueError(f"addr {address!r}")
    remaining_ms = data.get("remaining_ms")
    models = data.get("models")
    return FleetTarget(
        name=name,
        incarnation=_integer(data.get("born") or 0),
        service=_text(service),
        address=address,
        data_centre=_text(zone),
        slots=max(1, _integer(data["slots"])),
        leaving=state == "draining",
        leaves_in_s=_number(remaining_ms) * MS if remaining_ms is not None else None,
        # ``seq`` counts the orders that the target has accepted.
        order_count=_integer(data.get("seq") or 0),
        items=decode_items(models) if models is not None else None,
        software=_software(data.get("version")),
    )


def _software(value: Any) -> str:
    """Return the version of a target's program; empty if it is none."""
    if not isinstance(value, str) or len(value) > MAX_SOFTWARE_CHARS:
        return ""
    return value


def decode_items(models: Any) -> frozenset[Item]:
    """Return the models and adapters in a target's list of what it holds."""
    items = set()
    for model in models:
        name = _text(model["name"])
        items.add(Item(name))
        for adapter in model.get("adapters") or ():
            # An adapter may be given as NAME or NAME@VERSION.
            items.add(Item(name, _text(adapter).partition("@")[0]))
    return frozenset(items)


def _text(value: Any) -> str:
    if not isinstance(value, str) or not value:
        raise TypeError(f"non-empty string expected, got {value!r:.40}")
    return value


def _integer(value: Any) -> int:
    if isinstance(value, bool) or not isinstance(value, int):
        raise TypeError(f"integer expected, got {value!r:.40}")
    if abs(value) > MAX_NUMBER:
        raise ValueError("integer out of range")
    return value


def _number(value: Any) -> float:
    if isinstance(value, bool) or not isinstance(value, int | float):
        raise TypeError(f"number expected, got {value!r:.40}")
    if not abs(value) <= MAX_NUMBER:
        raise ValueError("number out of range")
    return float(value)
