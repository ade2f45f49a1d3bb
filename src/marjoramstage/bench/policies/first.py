"""Policy with the first version of the decision code, kept as a baseline."""

from __future__ import annotations

import random

from marjoramstage.bench.policies._first_admission import FirstScheduler
from marjoramstage.bench.policies._first_placement import FirstPlacer
from marjoramstage.bench.policies._gate import LeaseGate
from marjoramstage.bench.trace import Header
from marjoramstage.protocol.events import StateMachine
from marjoramstage.state.inventory import Inventory

QUEUE_REQUESTS = 256


class First:
    """Admission, routing and placement code of the first version."""

    def __init__(self, header: Header, inventory: Inventory, rng: random.Random):
        self._inventory = inventory

    def scheduler(self, instance: str, data_centre: str) -> StateMachine:
        """Return a `FirstScheduler`."""
        return FirstScheduler(QUEUE_REQUESTS)

    def placer(self, instance: str, data_centre: str) -> StateMachine:
        """Return a `FirstPlacer` that plans only under a lease."""
        return LeaseGate(FirstPlacer(data_centre))
