"""The decision code that a running instance uses."""

from __future__ import annotations

import inspect
import random
from typing import Any

from marjoramstage.bench.trace import Header
from marjoramstage.coordination.admission import Scheduler
from marjoramstage.coordination.placement import Placer
from marjoramstage.protocol.events import Machine
from marjoramstage.state.inventory import Inventory

QUEUE_REQUESTS = 256


class Current:
    """Policy of this version."""

    def __init__(self, header: Header, inventory: Inventory, rng: random.Random):
        self._seed = rng.getrandbits(32)

    def scheduler(self, instance: str, data_centre: str) -> Machine:
        """Return a `Scheduler`."""
        rng = random.Random(f"{self._seed}:{instance}")
        return _build(
            Scheduler,
            queue_requests=QUEUE_REQUESTS,
            instance=instance,
            data_centre=data_centre,
            incarnation="1",
            rng=rng,
        )

    def placer(self, instance: str, data_centre: str) -> Machine:
        """Return a `Placer`."""
        rng = random.Random(f"{self._seed}:{instance}:{data_centre}")
        return _build(Placer, data_centre=data_centre, instance=instance, rng=rng)


def _build(cls: type, **known: Any) -> Machine:
    """Build a machine from those of ``known`` that its constructor names."""
    named = inspect.signature(cls).parameters
    return cls(**{name: value for name, value in known.items() if name in named})
