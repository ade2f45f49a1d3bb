"""Converts ledgers to and from the spec of their platform object."""

from __future__ import annotations

from collections.abc import Mapping
from typing import Any

from marjoramstage.protocol.messages import Item
from marjoramstage.state.ledger import Entry, EntryState, Ledger, OrderRecord


def ledger_to_data(ledger: Ledger) -> dict[str, Any]:
    """Return the spec of the ledger's platform object."""
    return {
        "incarnation": ledger.incarnation,
        "capacityMb": ledger.capacity_mb,
        "nextOrder": ledger.next_order,
        "fence": ledger.fence,
        "startedS": ledger.started_s,
        "past": list(ledger.past_incarnations),
        "entries": [_entry_to_data(entry) for entry in ledger.entries.values()],
    }


def ledger_from_data(target: str, version: str, spec: Mapping[str, Any]) -> Ledger:
    """Build a ledger from the spec of its platform object."""
    entries = [_entry_from_data(data) for data in spec["entries"]]
    return Ledger(
        target=target,
        incarnation=spec["incarnation"],
        capacity_mb=spec["capacityMb"],
        entries={entry.item: entry for entry in entries},
        next_order=spec["nextOrder"],
        version=version,
        fence=spec.get("fence", 0),
        started_s=spec.get("startedS", 0.0),
        past_incarnations=tuple(spec.get("past", ())),
    )


def _entry_to_data(entry: Entry) -> dict[str, Any]:
    return {
        "name": entry.item.name,
        "version": entry.item.version,
        "memoryMb": entry.memory_mb,
        "state": entry.state.value,
        "loads": [_record_to_data(record) for record in entry.loads],
        "unload": _record_to_data(entry.unload) if entry.unload else None,
        "conclusive": entry.conclusive,
        "base": [entry.base.name, entry.base.version] if entry.base else None,
    }


def _entry_from_data(data: Mapping[str, Any]) -> Entry:
    unload, base = data.get("unload"), data.get("base")
    return Entry(
        item=Item(data["name"], data["version"]),
        memory_mb=data["memoryMb"],
        state=EntryState(data["state"]),
        loads=tuple(_record_from_data(record) for record in data.get("loads", ())),
        unload=_record_from_data(unload) if unload else None,
        conclusive=data.get("conclusive", False),
        base=Item(*base) if base else None,
    )


def _record_to_data(record: OrderRecord) -> list[float]:
    return [record.number, record.fence, record.expires_s]


def _record_from_data(data: list[float]) -> OrderRecord:
    return OrderRecord(int(data[0]), int(data[1]), float(data[2]))
