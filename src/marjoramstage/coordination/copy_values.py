"""What copies of models are worth against each other.

Answers the load of a service whose busy models want several copies while the
others wait for a place: a further copy goes where the present ones are most
crowded and takes the place of what is missed least. Pure.
"""

from __future__ import annotations

from marjoramstage.coordination.need import Need
from marjoramstage.coordination.stock import UNLOAD_S
from marjoramstage.state.fleet import Item
from marjoramstage.state.routes import EngineSpec

# Values in requests a second that miss. The last copy of a busy model that
# can't wait never makes way for a further copy of another.
FIRST_PRESSING_NEED = 30.0
LAST_COPY_VALUE = 20.0
MOST_FURTHER_NEED = 18.0
CROWDED_VALUE = 6.0
CROWDED_POWER = 2.0
SECOND_COPY_NEED = 2.0
SECOND_COPY_VALUE = 1.5
MOST_LOOSE_NEED = 10.0

# For each request that waits for a model, and for each that runs at a copy.
WAITING_NEED = 0.5
WAITING_PRESSING_NEED = 1.0
RUN_VALUE = 0.15

# A model that is asked for so often has two copies if there is room.
SECOND_COPY_PER_S = 3.0

# Part of a target's slots that one model should take there at most.
WANTED_SHARE = 0.3

# How often one of the idle models rises, and what is missed then.
SHIFT_EVERY_S = 12.0
RISE_SHARE = 0.4
IDLE_WEIGHT = 20.0

LONGEST_RUN_S = 3.0


def _crowded_value(crowding: float) -> float:
    """Return what a copy is worth whose lack leaves the others so crowded."""
    return min(CROWDED_VALUE * crowding**CROWDED_POWER, MOST_FURTHER_NEED)


class CopyValues:
    """Values for one service, by the demand of the last `update`.

    Parameters
    ----------
    spec : EngineSpec
        Room and models of the service's targets.
    """

    def __init__(self, spec: EngineSpec):
        self._spec = spec
        self._run_s = 0.0
        self._idle_value = LAST_COPY_VALUE

    def update(self, need: Need, targets: frozenset[str]) -> None:
        """Work out what holds for all models in this step.

        An idle model that could rise is worth what would be missed while it
        is loaded, times how often one of its like rises.
        """
        rates = {name: need.rate(Item(name)) for name in self._spec.models}
        total = sum(rates.values())
        running = sum(n for (name, _), n in need.running.items() if name in targets)
        self._run_s = min(LONGEST_RUN_S, running / total) if total > 1.0 else 0.0
        active = [n for n in rates if need.is_active(Item(n))]
        pressing = [n for n in rates if need.is_pressing(Item(n))]
        idle = max(1, len(pressing) - len(active))
        if not active:
            self._idle_value = LAST_COPY_VALUE
            return
        rise = sum(rates[n] for n in active) / len(active)
        load_s = max(model.disk_load_s for model in self._spec.models.values())
        missed = rise * (load_s + UNLOAD_S) * RISE_SHARE
        self._idle_value = IDLE_WEIGHT * missed / (SHIFT_EVERY_S * idle)

    def of_further(self, item: Item, need: Need, copies: int) -> float:
        """Return what one more copy of a model is worth; 0 if it needs none."""
        waiting = need.waiting_by_model[item.model]
        if copies == 0:
            if not waiting:
                return 0.0
            if need.is_active(item):
                return FIRST_PRESSING_NEED + waiting
            each = WAITING_PRESSING_NEED if need.is_pressing(item) else WAITING_NEED
            need_now = need.slow_rate(item) + each * waiting
            return min(need_now, MOST_LOOSE_NEED)
        crowding = self.crowding(item, need, copies)
        if crowding > 1.0:
            return _crowded_value(crowding)
        if copies < 2 and need.rate(item) >= SECOND_COPY_PER_S:
            return SECOND_COPY_NEED
        return 0.0

    def crowding(self, item: Item, need: Need, copies: int) -> float:
        """Return the load of each copy of a model; over 1 there are too few."""
        rising = need.rate(item) * self._run_s
        asked = max(need.of_model(item.model), rising)
        asked += need.waiting_by_model[item.model]
        return asked / (copies * WANTED_SHARE * self._spec.slots)

    def of_present(self, item: Item, need: Need, copies: int, target: str) -> float:
        """Return what a copy is worth at a target: misses and cut capacity."""
        rate = need.rate(item)
        wait = RUN_VALUE * need.of_model_at(target, item.model)
        if copies <= 1:
            if need.is_active(item):
                return LAST_COPY_VALUE + rate + wait
            if need.is_pressing(item):
                return self._idle_value + rate + wait
            return need.slow_rate(item) + wait
        crowding = self.crowding(item, need, copies - 1)
        value = _crowded_value(crowding)
        if copies == 2 and rate >= SECOND_COPY_PER_S:
            value = max(value, SECOND_COPY_VALUE)
        return value + wait
