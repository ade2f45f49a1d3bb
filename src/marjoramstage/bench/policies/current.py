"""Policy with the decision code that instances run."""

from __future__ import annotations

import random

from marjoramstage.bench.trace import Header
from marjoramstage.coordination.admission import Scheduler
from marjoramstage.coordination.placement import Placer
from marjoramstage.protocol.events import StateMachine
from marjoramstage.state.inventory import Inventory

QUEUE_REQUESTS = 256


class Current:
    """Current admission, routing and placement code."""

    def __init__(self, header: Header, inventory: Inventory, rng: random.Random):
        self._seed = rng.getrandbits(32)

    def scheduler(self, instance: str, data_centre: str) -> StateMachine:
        """Return a `Scheduler`."""
        rng = random.Random(f"{self._seed}:{instance}")
        return Scheduler(QUEUE_REQUESTS, instance, data_centre, "1", rng)

    def placer(self, instance: str, data_centre: str) -> StateMachine:
        """Return a `Placer`."""
        return Placer(data_centre)
