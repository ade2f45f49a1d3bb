"""Policies that a replay can run: the current decision code and baselines."""

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
from marjoramstage.protocol.events import StateMachine
from marjoramstage.state.inventory import Inventory


class Policy(Protocol):
    """Creates the decision state machines of one simulated deployment."""

    def scheduler(self, instance: str, data_centre: str) -> StateMachine:
        """Return the admission and routing code of one instance."""

    def placer(self, instance: str, data_centre: str) -> StateMachine:
        """Return the placement code of a data centre, run by ``instance``."""


Factory = Callable[[Header, Inventory, random.Random], Policy]

POLICIES: dict[str, Factory] = {
    "current": Current,
    "first": First,
    "round-robin": RoundRobin,
    "least-loaded": LeastLoaded,
    "lru": Lru,
    "static": Static,
}
