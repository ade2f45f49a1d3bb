"""Measures the decision time of a placer by the size of its data centre.

Run ``python -m marjoramstage.bench.placement_cost [--json]``.
"""

from __future__ import annotations

import argparse
import json
import statistics
import time
from dataclasses import dataclass, replace

from marjoramstage.coordination.placement import Placer
from marjoramstage.protocol.events import (
    Effect,
    InstanceLoadReported,
    InventoryAccepted,
    LeaseHeld,
    LedgerRead,
    OrderEnded,
    ReadLedger,
    SendOrder,
    TargetListed,
    TargetReported,
    Tick,
    WriteLedger,
)
from marjoramstage.protocol.messages import (
    InstanceLoad,
    Item,
    ItemDemand,
    OrderOutcome,
    OrderResult,
    Resident,
    ResidentState,
    Target,
    TargetKind,
    TargetReport,
)
from marjoramstage.state.inventory import Adapter, Inventory, Model, Rules
from marjoramstage.state.ledger import Entry, EntryState, Ledger

DATA_CENTRE = "centre"
TARGETS = 417
MODELS = 880
ADAPTERS_A_MODEL = 60
TARGET_MB = 640_000
MODEL_MB = 80_000
ADAPTER_MB = 300
SCALES = (0.25, 0.5, 1.0, 2.0)
CHANGES = 50
LEASE_S = 1e9


@dataclass(frozen=True)
class Cost:
    """Times for one size of data centre, in milliseconds.

    Attributes
    ----------
    accept_ms : float
        Accepting an inventory that differs in one model.
    idle_ms : float
        Median of a tick when nothing has changed.
    change_ms : float
        Median of a report in which a model is missing, and the next tick.
    demand_ms : float
        Median of a load message with 20 items, and the next tick.
    """

    targets: int
    models: int
    adapters: int
    accept_ms: float
    idle_ms: float
    change_ms: float
    demand_ms: float


class PlacementSimulation:
    """A data centre in which every model and adapter is resident."""

    def __init__(self, scale: float):
        self.targets = max(1, int(TARGETS * scale))
        self.models = max(1, int(MODELS * scale))
        self.inventory = _inventory(self.models)
        self.residents = _residents(self.targets, self.inventory)
        self.placer = Placer(DATA_CENTRE)
        self.now_s = 0.0
        self._sequence = 0

    def start(self) -> None:
        """Bring the placer to a state in which it has nothing to do."""
        self.placer.handle(InventoryAccepted(1, self.inventory), self.now_s)
        for name, residents in self.residents.items():
            target = Target(name, DATA_CENTRE, TargetKind.ENGINE, "127.0.0.1:1")
            self.placer.handle(TargetListed(target), self.now_s)
            self.placer.handle(self.report(name, residents), self.now_s)
        self.placer.handle(LeaseHeld(DATA_CENTRE, 1, LEASE_S), self.now_s)
        for _ in range(30):
            self.tick()

    def report(self, name: str, residents: tuple[Resident, ...]) -> TargetReported:
        """Return the next report of a target."""
        self._sequence += 1
        return TargetReported(
            TargetReport(name, "1", self._sequence, TARGET_MB, 64, residents=residents)
        )

    def tick(self) -> None:
        """Run a tick of the placer and carry out its effects."""
        self.now_s += 0.1
        self.answer(self.placer.handle(Tick(), self.now_s))

    def answer(self, effects: list[Effect]) -> None:
        """Answer effects as platform and targets would, without delay."""
        for effect in effects:
            if isinstance(effect, ReadLedger):
                read = LedgerRead(self._ledger(effect.target))
                self.answer(self.placer.handle(read, self.now_s))
            elif isinstance(effect, WriteLedger):
                version = str(int(effect.ledger.version or 0) + 1)
                written = replace(effect.ledger, version=version)
                self.answer(self.placer.handle(LedgerRead(written), self.now_s))
            elif isinstance(effect, SendOrder):
                done = OrderResult(effect.order, OrderOutcome.DONE)
                self.answer(self.placer.handle(OrderEnded(done), self.now_s))

    def _ledger(self, name: str) -> Ledger:
        entries = {
            resident.item: Entry(resident.item, resident.memory_mb, EntryState.LOADED)
            for resident in self.residents[name]
        }
        return Ledger(name, "1", TARGET_MB, entries, version="1", fence=1)


def measure(scale: float) -> Cost:
    """Measure a data centre of ``scale`` times the standard size."""
    simulation = PlacementSimulation(scale)
    simulation.start()
    idle_ms = statistics.median(_timed(simulation.tick) for _ in range(CHANGES))
    names = sorted(simulation.residents)
    changes = [names[index * 7 % len(names)] for index in range(CHANGES)]
    change_ms = statistics.median(_change(simulation, name) for name in changes)
    demand_ms = statistics.median(_demand(simulation, turn) for turn in range(CHANGES))
    accept_ms = _timed(lambda: _accept(simulation))
    adapters = len(simulation.inventory.adapters)
    return Cost(
        simulation.targets,
        simulation.models,
        adapters,
        accept_ms,
        idle_ms,
        change_ms,
        demand_ms,
    )


def _change(simulation: PlacementSimulation, name: str) -> float:
    """Time a report in which the first model is missing, and the next tick.

    A complete report afterwards restores the state.
    """
    residents = simulation.residents[name]
    event = simulation.report(name, residents[1:])

    def decide() -> None:
        simulation.placer.handle(event, simulation.now_s)
        simulation.tick()

    passed_ms = _timed(decide)
    simulation.placer.handle(simulation.report(name, residents), simulation.now_s)
    simulation.tick()
    return passed_ms


def _demand(simulation: PlacementSimulation, turn: int) -> float:
    models = simulation.inventory.models
    demand = tuple(
        ItemDemand(Item(models[(turn + index) % len(models)].name, "1"), turn, turn)
        for index in range(20)
    )
    load = InstanceLoad("i1", DATA_CENTRE, "1", turn, demand=demand)

    def decide() -> None:
        simulation.placer.handle(InstanceLoadReported(load), simulation.now_s)
        simulation.tick()

    return _timed(decide)


def _accept(simulation: PlacementSimulation) -> None:
    first, *rest = simulation.inventory.models
    models = (replace(first, version="2"), *rest)
    inventory = Inventory(
        models=models,
        adapters=simulation.inventory.adapters,
        rules=simulation.inventory.rules,
    )
    simulation.placer.handle(InventoryAccepted(2, inventory), simulation.now_s)


def _timed(call) -> float:
    start = time.perf_counter()
    call()
    return (time.perf_counter() - start) * 1000.0


def _inventory(models: int) -> Inventory:
    return Inventory(
        models=tuple(
            Model(name=f"m{number}", memory_mb=MODEL_MB) for number in range(models)
        ),
        adapters=tuple(
            Adapter(name=f"a{number}-{part}", model=f"m{number}", memory_mb=ADAPTER_MB)
            for number in range(models)
            for part in range(ADAPTERS_A_MODEL)
        ),
        rules=Rules(),
    )


def _residents(targets: int, inventory: Inventory) -> dict[str, tuple[Resident, ...]]:
    held: dict[str, list[Resident]] = {f"t{number}": [] for number in range(targets)}
    names = sorted(held)
    place = {}
    for index, model in enumerate(inventory.models):
        place[model.name] = names[index % targets]
        held[place[model.name]].append(_resident(model))
    for adapter in inventory.adapters:
        held[place[adapter.model]].append(_resident(adapter))
    return {name: tuple(found) for name, found in held.items()}


def _resident(declared: Model | Adapter) -> Resident:
    item = Item(declared.name, declared.version)
    return Resident(item, declared.memory_mb, ResidentState.READY)


def main() -> None:
    """Print the cost for each size."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--json", action="store_true", help="print one JSON array")
    args = parser.parse_args()
    costs = [measure(scale) for scale in SCALES]
    if args.json:
        print(json.dumps([vars(cost) for cost in costs]))
        return
    for cost in costs:
        print(
            f"{cost.targets} targets, {cost.models} models, {cost.adapters} adapters:"
            f" accept {cost.accept_ms:.1f} ms, idle tick {cost.idle_ms:.3f} ms,"
            f" one change {cost.change_ms:.2f} ms, demand {cost.demand_ms:.2f} ms"
        )


if __name__ == "__main__":
    main()
