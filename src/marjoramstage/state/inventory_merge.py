"""Compares inventories and merges two edits of the same base."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any

from marjoramstage.state.document_tree import SECTIONS
from marjoramstage.state.inventory import (
    Inventory,
    inventory_from_data,
    inventory_to_data,
)


@dataclass(frozen=True)
class Change:
    """An entry that differs; ``before`` or ``after`` is None if it is absent."""

    entry: str
    before: Any
    after: Any


@dataclass(frozen=True)
class MergeResult:
    """Outcome of a merge.

    Attributes
    ----------
    clashes : tuple of str
        Entries that both sides changed in conflicting ways.
    inventory : Inventory or None
        The merged inventory; None if there are conflicts.
    """

    clashes: tuple[str, ...]
    inventory: Inventory | None


def entries_by_path(inventory: Inventory) -> dict[str, Any]:
    """Return every entry by its path, such as ``models/assistant``."""
    data = inventory_to_data(inventory)
    found = {}
    for section in SECTIONS:
        for entry in data[section]:
            found[f"{section}/{entry['name']}"] = entry
    for key, value in data["rules"].items():
        if not isinstance(value, Mapping):
            found[f"rules/{key}"] = value
            continue
        for name, item in value.items():
            found[f"rules/{key}/{name}"] = item
    return found


def inventory_from_entries(entries: Mapping[str, Any]) -> Inventory:
    """Build an inventory from entries; the inverse of `entries_by_path`."""
    data: dict[str, Any] = {section: [] for section in SECTIONS}
    rules: dict[str, Any] = {}
    for name, value in sorted(entries.items()):
        section, _, rest = name.partition("/")
        if section != "rules":
            data[section].append(value)
            continue
        key, _, item = rest.partition("/")
        if item:
            rules.setdefault(key, {})[item] = value
            continue
        rules[key] = value
    return inventory_from_data({**data, "rules": rules})


def differences(before: Inventory, after: Inventory) -> tuple[Change, ...]:
    """Return the entries that differ, sorted by path."""
    old, new = entries_by_path(before), entries_by_path(after)
    return tuple(
        Change(name, old.get(name), new.get(name))
        for name in sorted(old.keys() | new.keys())
        if old.get(name) != new.get(name)
    )


def merge(base: Inventory, mine: Inventory, theirs: Inventory) -> MergeResult:
    """Apply the changes from ``base`` to ``mine`` on top of ``theirs``."""
    changed = {change.entry: change.after for change in differences(base, theirs)}
    merged = entries_by_path(theirs)
    clashes = []
    for change in differences(base, mine):
        if change.entry in changed and changed[change.entry] != change.after:
            clashes.append(change.entry)
            continue
        if change.after is None:
            merged.pop(change.entry, None)
            continue
        merged[change.entry] = change.after
    if clashes:
        return MergeResult(tuple(clashes), None)
    return MergeResult((), inventory_from_entries(merged))
