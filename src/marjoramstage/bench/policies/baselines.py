"""Simple baselines: fixed placement with simple routing, and load on demand."""

from __future__ import annotations

import random

from marjoramstage.bench.policies._on_demand import Fleet, LruPlacer, LruScheduler
from marjoramstage.bench.policies._plain import (
    FifoScheduler,
    FixedPlacer,
    fixed_plan,
    plan_of,
)
from marjoramstage.bench.trace import Header
from marjoramstage.protocol.events import StateMachine
from marjoramstage.state.inventory import Inventory

QUEUE_REQUESTS = 256


def fewest_in_flight(model: str, names: list[str], scheduler: FifoScheduler) -> str:
    """Return the target with the fewest attempts of this instance in flight."""
    return min(names, key=lambda name: scheduler.in_flight.get(name, 0))


class RoundRobin:
    """Fixed placement with replicas; round-robin routing."""

    def __init__(self, header: Header, inventory: Inventory, rng: random.Random):
        self._header = header
        self._plan = fixed_plan(header, inventory, replicas=True)

    def scheduler(self, instance: str, data_centre: str) -> StateMachine:
        """Return a scheduler that uses the targets of a model in turn."""
        turns: dict[str, int] = {}

        def in_turn(model: str, names: list[str], scheduler: FifoScheduler) -> str:
            turns[model] = turns.get(model, 0) + 1
            return names[turns[model] % len(names)]

        return FifoScheduler(in_turn, QUEUE_REQUESTS)

    def placer(self, instance: str, data_centre: str) -> StateMachine:
        """Return a placer with the fixed plan of the data centre."""
        return FixedPlacer(plan_of(data_centre, self._header, self._plan))


class LeastLoaded(RoundRobin):
    """Fixed placement with replicas; least-loaded routing."""

    def scheduler(self, instance: str, data_centre: str) -> StateMachine:
        """Return a scheduler that uses the least loaded target."""
        return FifoScheduler(fewest_in_flight, QUEUE_REQUESTS)


class Static(LeastLoaded):
    """Fixed placement with one copy of each model; least-loaded routing."""

    def __init__(self, header: Header, inventory: Inventory, rng: random.Random):
        super().__init__(header, inventory, rng)
        self._plan = fixed_plan(header, inventory, replicas=False)


class Lru:
    """Loads items on demand and evicts the least recently used ones."""

    def __init__(self, header: Header, inventory: Inventory, rng: random.Random):
        self._fleet = Fleet(header, inventory)

    def scheduler(self, instance: str, data_centre: str) -> StateMachine:
        """Return a scheduler that requests loads of missing items."""
        return LruScheduler(fewest_in_flight, QUEUE_REQUESTS, self._fleet, data_centre)

    def placer(self, instance: str, data_centre: str) -> StateMachine:
        """Return a placer that loads the requested items."""
        return LruPlacer(self._fleet)
