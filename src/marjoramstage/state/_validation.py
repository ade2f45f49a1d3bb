"""Validates names and references across the sections of an inventory."""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from marjoramstage.state.inventory import Customer, Inventory

SECTIONS = ("models", "adapters", "services", "customers")


@dataclass(frozen=True)
class Violation:
    """A problem in an inventory; ``path`` is its position in the file."""

    path: tuple[str | int, ...]
    message: str


def inventory_violations(inventory: Inventory) -> list[Violation]:
    """Return every problem of an inventory whose types are valid."""
    return [
        *_names(inventory),
        *_adapters(inventory),
        *_services(inventory),
        *_customers(inventory),
        *_rules(inventory),
    ]


def _names(inventory: Inventory) -> Iterator[Violation]:
    seen: set[str] = set()
    for section in SECTIONS:
        for index, entry in enumerate(getattr(inventory, section)):
            if entry.name in seen:
                path = (section, index, "name")
                yield Violation(path, f"duplicate name {entry.name!r}")
            seen.add(entry.name)


def _adapters(inventory: Inventory) -> Iterator[Violation]:
    for index, adapter in enumerate(inventory.adapters):
        model = inventory.model_by_name.get(adapter.model)
        if model is None:
            path = ("adapters", index, "model")
            yield Violation(path, f"unknown model {adapter.model!r}")
            continue
        if adapter.memory_mb >= model.memory_mb:
            path = ("adapters", index, "memory_mb")
            yield Violation(path, f"not smaller than its model {adapter.model!r}")


def _services(inventory: Inventory) -> Iterator[Violation]:
    for index, service in enumerate(inventory.services):
        seen: set[tuple[str, str]] = set()
        for position, call in enumerate(service.calls):
            path = ("services", index, "calls", position)
            if (call.method, call.path) in seen:
                yield Violation(path, f"duplicate call {call.method} {call.path}")
            seen.add((call.method, call.path))


def _customers(inventory: Inventory) -> Iterator[Violation]:
    owners: dict[str, str] = {}
    for index, customer in enumerate(inventory.customers):
        owner = owners.setdefault(customer.credential_sha256, customer.name)
        if owner != customer.name:
            path = ("customers", index, "credential_sha256")
            yield Violation(path, f"the credential of {owner!r}")
        yield from _paid_items(inventory, index, customer)


def _paid_items(
    inventory: Inventory, index: int, customer: Customer
) -> Iterator[Violation]:
    seen: set[str] = set()
    for position, name in enumerate(customer.paid):
        path = ("customers", index, "paid", position)
        if name in seen:
            yield Violation(path, f"{name!r} is listed twice")
        seen.add(name)
        adapter = inventory.adapter_by_name.get(name)
        if adapter is not None and adapter.model not in customer.paid:
            message = f"adapter {name!r} cannot be reached: its model"
            yield Violation(path, f"{message} {adapter.model!r} is not paid for")
        known = adapter or name in inventory.model_by_name
        if not known and name not in inventory.service_by_name:
            yield Violation(path, f"unknown model, adapter or service {name!r}")


def _rules(inventory: Inventory) -> Iterator[Violation]:
    rules = inventory.rules
    for name in rules.max_class:
        if name not in inventory.customer_by_name:
            path = ("rules", "max_class", name)
            yield Violation(path, f"unknown customer {name!r}")
    if rules.loads_at_once < rules.loads_per_s:
        path = ("rules", "loads_at_once")
        yield Violation(path, "below loads_per_s, so that rate cannot be reached")
