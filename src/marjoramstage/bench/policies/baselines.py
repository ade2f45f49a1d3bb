"""Plain baselines: fixed placement with simple routing, and load on demand."""

from __future__ import annotations

import random

from marjoramstage.bench.policies._on_demand import Fleet, LruPlacer, LruScheduler
from marjoramstage.bench.policies._plain import (
    FixedPlacer,
    PlainScheduler,
    fixed_plan,
    plan_of,
)
from marjoramstage.bench.trace import Header
from marjoramstage.protocol.events import Machine
from marjoramstage.state.inventory import Inventory

QUEUE_REQUESTS = 256


def fewest_in_flight(model: str, names: list[str], scheduler: PlainScheduler) -> str:
    """Return the target that this instance uses least."""
    return min(names, key=lambda name: scheduler.in_flight.get(name, 0))


class RoundRobin:
    """Fixed placement with replicas; targets in turn."""

    def __init__(self, header: Header, inventory: Inventory, rng: random.Random):
        self._header = header
        self._plan = fixed_plan(header, inventory, replicas=True)

    def scheduler(self, instance: str, data_centre: str) -> Machine:
        """Return a scheduler that takes the targets of a model in turn."""
        turns: dict[str, int] = {}

        def in_turn(model: str, names: list[str], scheduler: PlainScheduler) -> str:
            turns[model] = turns.get(model, 0) + 1
            return names[turns[model] % len(names)]

        return PlainScheduler(in_turn, QUEUE_REQUESTS)

    def placer(self, instance: str, data_centre: str) -> Machine:
        """Return the fixed placer."""
        return FixedPlacer(plan_of(data_centre, self._header, self._plan))


class LeastLoaded(RoundRobin):
    """Fixed placement with replicas; the target with the fewest in flight."""

    def scheduler(self, instance: str, data_centre: str) -> Machine:
        """Return a scheduler that takes the least used target."""
        return PlainScheduler(fewest_in_flight, QUEUE_REQUESTS)


class Static(LeastLoaded):
    """One copy of each model, for good; no replicas."""

    def __init__(self, header: Header, inventory: Inventory, rng: random.Random):
        super().__init__(header, inventory, rng)
        self._plan = fixed_plan(header, inventory, replicas=False)


class Lru:
    """Loads what is asked for and evicts what was used least recently."""

    def __init__(self, header: Header, inventory: Inventory, rng: random.Random):
        self._fleet = Fleet(header, inventory)

    def scheduler(self, instance: str, data_centre: str) -> Machine:
        """Return a scheduler that asks for what is missing."""
        return LruScheduler(fewest_in_flight, QUEUE_REQUESTS, self._fleet, data_centre)

    def placer(self, instance: str, data_centre: str) -> Machine:
        """Return a placer that loads what is asked for."""
        return LruPlacer(self._fleet)
