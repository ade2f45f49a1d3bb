"""Policies that a replay can drive, by name."""

from __future__ import annotations

import random
from collections.abc import Callable
from typing import Protocol

from marjoramstage.bench.policies.baselines import (
    LeastLoaded,
    Lru,
    RoundRobin,
    Static,
)
from marjoramstage.bench.policies.current import Current
from marjoramstage.bench.policies.first import First
from marjoramstage.bench.trace import Header
from marjoramstage.protocol.events import Machine
from marjoramstage.state.inventory import Inventory


class Policy(Protocol):
    """Makes the decision code of one deployment."""

    def scheduler(self, instance: str, data_centre: str) -> Machine:
        """Return admission and routing of one instance."""

    def placer(self, instance: str, data_centre: str) -> Machine:
        """Return the placement of a data centre, hosted by an instance."""


Factory = Callable[[Header, Inventory, random.Random], Policy]

POLICIES: dict[str, Factory] = {
    "current": Current,
    "first": First,
    "round-robin": RoundRobin,
    "least-loaded": LeastLoaded,
    "lru": Lru,
    "static": Static,
}
