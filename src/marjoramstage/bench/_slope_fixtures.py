"""Schedulers, placers and messages of a given size for measurements."""

from __future__ import annotations

import random

from marjoramstage.coordination.admission import Scheduler
from marjoramstage.coordination.placement import Placer
from marjoramstage.protocol.events import (
    Event,
    InventoryAccepted,
    LeaseHeld,
    LedgerRead,
    ReadLedger,
    TargetListed,
    TargetReported,
    Tick,
    WriteLedger,
)
from marjoramstage.protocol.messages import (
    InstanceLoad,
    Item,
    ItemDemand,
    Request,
    Resident,
    ResidentState,
    Target,
    TargetKind,
    TargetReport,
)
from marjoramstage.state.inventory import Adapter, Inventory, Model
from marjoramstage.state.ledger import Ledger

DATA_CENTRE = "centre"
VERSION = "1"
SLOTS = 64
MODEL_MB = 1000
MODELS_PER_TARGET = 8
CAPACITY_MB = 10_000
QUEUE_REQUESTS = 256
FOREVER_S = 1e9


def inventory_of_size(models: int, adapters: int, changed: int = -1) -> Inventory:
    """Return an inventory; the model at index ``changed`` has a new version."""
    return Inventory(
        models=tuple(
            Model(
                name=f"model-{n:04}",
                memory_mb=MODEL_MB,
                version="2" if n == changed else VERSION,
            )
            for n in range(models)
        ),
        adapters=tuple(
            Adapter(name=f"adapter-{n:04}", model="model-0000", memory_mb=10)
            for n in range(adapters)
        ),
    )


def engine_targets(count: int) -> list[Target]:
    """Return ``count`` engine targets of one data centre."""
    return [
        Target(f"target-{n:05}", DATA_CENTRE, TargetKind.ENGINE, f"10.0.0.1:{n}")
        for n in range(count)
    ]


def engine_reports(targets: int, models: int, sequence: int) -> list[TargetReport]:
    """Return a report of each target.

    Each holds the next `MODELS_PER_TARGET` models, starting over after the last.
    """
    reports = []
    for number in range(targets):
        first = number * MODELS_PER_TARGET
        names = {(first + n) % models for n in range(MODELS_PER_TARGET)}
        residents = tuple(
            Resident(Item(f"model-{n:04}", VERSION), MODEL_MB, ResidentState.READY)
            for n in sorted(names)
        )
        reports.append(
            TargetReport(
                target=f"target-{number:05}",
                incarnation="first",
                sequence=sequence,
                memory_mb=CAPACITY_MB,
                slots=SLOTS,
                residents=residents,
            )
        )
    return reports


def request_number(number: int, now_s: float, models: int) -> Request:
    """Return a request; consecutive numbers rotate through the first models."""
    model = number % min(models, MODELS_PER_TARGET)
    return Request(
        id=f"r{number}",
        customer=f"c{number % 7}",
        kind=TargetKind.ENGINE,
        model=f"model-{model:04}",
        arrived_s=now_s,
        deadline_s=now_s + 30.0,
        prompt_tokens=500,
        output_tokens=100,
    )


def peer_load(number: int, sequence: int, items: int, targets: int) -> InstanceLoad:
    """Return the load message of a peer with demand for ``items`` items."""
    demand = tuple(
        ItemDemand(Item(f"model-{n:04}", VERSION), 1000 + n, 90_000, 1)
        for n in range(items)
    )
    in_flight = {f"target-{n:05}": 3 for n in range(targets)}
    return InstanceLoad(
        f"peer-{number}", DATA_CENTRE, "first", sequence, in_flight, demand
    )


def filled_scheduler(targets: int, models: int) -> Scheduler:
    """Return a scheduler that has targets, their reports and an inventory."""
    scheduler = Scheduler(
        QUEUE_REQUESTS, "instance", DATA_CENTRE, "first", random.Random(1)
    )
    for event in _beginning(targets, models):
        scheduler.handle(event, 10.0)
    return scheduler


def filled_placer(targets: int, models: int) -> Placer:
    """Return a placer that holds the lease and has read every ledger.

    The ticks after that let it read the ledgers and write its first plans.
    """
    placer = Placer(DATA_CENTRE)
    for event in _beginning(targets, models):
        placer.handle(event, 10.0)
    placer.handle(LeaseHeld(DATA_CENTRE, 1, FOREVER_S), 10.0)
    now_s, version = 10.0, 0
    for _ in range(10):
        now_s += 2.0
        for effect in placer.handle(Tick(), now_s):
            version += 1
            match effect:
                case ReadLedger(name):
                    placer.handle(LedgerRead(Ledger(name, "", 0)), now_s)
                case WriteLedger(ledger):
                    placer.handle(LedgerRead(ledger), now_s)
    return placer


def _beginning(targets: int, models: int) -> list[Event]:
    events: list[Event] = [InventoryAccepted(1, inventory_of_size(models, 0))]
    events += [TargetListed(target) for target in engine_targets(targets)]
    events += [TargetReported(r) for r in engine_reports(targets, models, 1)]
    return events
