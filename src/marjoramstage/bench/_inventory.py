"""Builds the inventory described by the header of a trace."""

from __future__ import annotations

import hashlib
import re
from dataclasses import replace

from marjoramstage.bench.trace import Trace
from marjoramstage.state.inventory import (
    Adapter,
    Customer,
    Inventory,
    Model,
    Rules,
    Service,
    credential_hash,
)

_NAME = re.compile(r"[a-z0-9]([a-z0-9.-]{0,61}[a-z0-9])?")
FIRST_VERSION = "1"


def safe_name(name: str) -> str:
    """Return ``name``, or a hash of it if an inventory does not allow it."""
    if _NAME.fullmatch(name):
        return name
    return "n" + hashlib.sha256(name.encode()).hexdigest()[:16]


def inventory_of(trace: Trace) -> Inventory:
    """Return the inventory of a trace."""
    header = trace.header
    services = {line.model for line in trace.requests if line.target_kind == "service"}
    models = tuple(
        Model(
            name=safe_name(model.name),
            memory_mb=model.memory_mb,
            version=FIRST_VERSION,
            prefill_tokens_per_s=float(model.prefill_tokens_per_s),
            decode_tokens_per_s=float(model.decode_tokens_per_s),
        )
        for model in header.models
    )
    adapters = tuple(
        Adapter(
            name=safe_name(adapter.name),
            model=safe_name(adapter.model),
            memory_mb=adapter.memory_mb,
            version=FIRST_VERSION,
        )
        for adapter in header.adapters
    )
    customers = tuple(
        Customer(
            name=safe_name(customer.name),
            credential_sha256=credential_hash(customer.name),
            paid=tuple(safe_name(name) for name in customer.paid),
            weight=float(customer.weight),
        )
        for customer in header.customers
    )
    rules = Rules(
        loads_per_s=float(header.store.loads_per_s),
        loads_at_once=header.store.at_full_speed,
        adapters_in_transit=header.adapters_in_transit,
    )
    named = tuple(Service(name=safe_name(name)) for name in sorted(services))
    return Inventory(models, adapters, named, customers, rules)


def with_next_version(inventory: Inventory, name: str) -> Inventory:
    """Return the inventory after a change of the entry ``name``.

    A model or an adapter of that name gets its next version. For any other name
    the content is the same, and only the generation of the inventory increases.
    """
    name = safe_name(name)
    models = tuple(_bumped(model, name) for model in inventory.models)
    adapters = tuple(_bumped(adapter, name) for adapter in inventory.adapters)
    return Inventory(
        models,
        adapters,
        inventory.services,
        inventory.customers,
        inventory.rules,
    )


def _bumped(entry: Model | Adapter, name: str) -> Model | Adapter:
    if entry.name != name:
        return entry
    return replace(entry, version=str(int(entry.version) + 1))
