"""Values of model replicas, to compare loads with evictions.

The targets cannot hold all models at once. An extra replica of a model is worth
more the higher the utilisation of the present ones is; a model is evicted only
for a replica of higher value. The module does no I/O.
"""

from __future__ import annotations

from marjoramstage.coordination.demand_snapshot import DemandSnapshot
from marjoramstage.coordination.target_state import UNLOAD_S
from marjoramstage.state.fleet import Item
from marjoramstage.state.routes import EngineSpec

# Values are in requests a second that would find their model missing.
# LAST_REPLICA_VALUE is above MAX_EXTRA_REPLICA_VALUE, so that the last replica of an
# active latency-critical model is never evicted for an extra replica of another.
# MAX_TURN_VALUE is between them: a model that waits for its turn for long takes the
# place of an extra replica, however busy its model is.
FIRST_REPLICA_VALUE = 30.0
LAST_REPLICA_VALUE = 20.0
MAX_EXTRA_REPLICA_VALUE = 18.0
UTILISATION_WEIGHT = 6.0
UTILISATION_EXPONENT = 2.0
ADD_SECOND_REPLICA_VALUE = 2.0
KEEP_SECOND_REPLICA_VALUE = 1.5
MAX_TURN_VALUE = 19.5
# Of a replica for streams that can be resumed nowhere else: what they have been
# answered so far is lost without it.
RESUME_VALUE = 19.9

# The value of a model that is held nowhere doubles in the time of a fetch, or in this.
MIN_AGING_S = 1.0

# Value of each request that waits for a model, and of each that runs at a replica.
WAITING_VALUE = 0.5
WAITING_LATENCY_CRITICAL_VALUE = 1.0
RUNNING_VALUE = 0.15

# From this request rate on, a model gets a second replica if there is room.
SECOND_REPLICA_PER_S = 3.0

# Share of a target's slots that one model should use at most; utilisation 1.
MAX_SLOT_SHARE = 0.3
# The same as a number of slots, where targets have few. With 0.3 of 14 slots, five
# requests at a replica called for another one, and loads displaced models in use.
MIN_USED_SLOTS = 7

# How often demand for one of the idle models is expected to rise, the share of
# an active model's rate that it then has, and the weight of requests that miss.
RISE_INTERVAL_S = 12.0
RISE_SHARE = 0.4
IDLE_WEIGHT = 20.0

# Limit on the estimated mean time that a request runs.
MAX_RUN_S = 3.0


def _utilisation_value(utilisation: float) -> float:
    """Return the value of a replica without which the others are so utilised."""
    return min(
        UTILISATION_WEIGHT * utilisation**UTILISATION_EXPONENT, MAX_EXTRA_REPLICA_VALUE
    )


class ReplicaValues:
    """Replica values for one service, from the demand of the last `update`.

    Parameters
    ----------
    spec : EngineSpec
        Capacity of the service's targets, and its models.
    """

    def __init__(self, spec: EngineSpec):
        self._spec = spec
        self._mean_run_s = 0.0
        self._usable_slots = spec.slots
        self._idle_value = LAST_REPLICA_VALUE

    def update(
        self, demand: DemandSnapshot, targets: frozenset[str], usable_slots: int
    ) -> None:
        """Compute the values that are the same for all models.

        The value of an idle latency-critical model is the number of requests
        that would miss while it is loaded, times how often demand for one of
        the idle models is expected to rise.
        """
        self._usable_slots = usable_slots
        rates = {name: demand.rate(Item(name)) for name in self._spec.models}
        total = sum(rates.values())
        running = sum(n for (name, _), n in demand.running.items() if name in targets)
        self._mean_run_s = min(MAX_RUN_S, running / total) if total > 1.0 else 0.0
        active = [n for n in rates if demand.is_active(Item(n))]
        latency_critical = [n for n in rates if demand.is_latency_critical(Item(n))]
        idle = max(1, len(latency_critical) - len(active))
        if not active:
            self._idle_value = LAST_REPLICA_VALUE
            return
        mean_rate = sum(rates[n] for n in active) / len(active)
        load_s = max(model.disk_load_s for model in self._spec.models.values())
        missed = mean_rate * (load_s + UNLOAD_S) * RISE_SHARE
        self._idle_value = IDLE_WEIGHT * missed / (RISE_INTERVAL_S * idle)

    def value_of_extra(
        self,
        item: Item,
        demand: DemandSnapshot,
        replicas: int,
        blocked_s: float = 0.0,
    ) -> float:
        """Return the value of one more replica; 0 if none is needed.

        Parameters
        ----------
        blocked_s : float
            How long the model has needed one in vain, in seconds. Its value grows
            with it, so that models asked for rarely have their turn too.
        """
        waiting = demand.waiting_by_model[item.model]
        if replicas == 0:
            if not waiting:
                return 0.0
            if demand.is_active(item):
                return FIRST_REPLICA_VALUE + waiting
            each = (
                WAITING_LATENCY_CRITICAL_VALUE
                if demand.is_latency_critical(item)
                else WAITING_VALUE
            )
            value = demand.slow_rate(item) + each * waiting
            load_s = max(self._spec.models[item.model].load_s, MIN_AGING_S)
            return min(value * (1 + blocked_s / load_s), MAX_TURN_VALUE)
        utilisation = self.utilisation(item, demand, replicas)
        if utilisation > 1.0:
            return _utilisation_value(utilisation)
        if replicas < 2 and demand.rate(item) >= SECOND_REPLICA_PER_S:
            return ADD_SECOND_REPLICA_VALUE
        return 0.0

    def utilisation(self, item: Item, demand: DemandSnapshot, replicas: int) -> float:
        """Return the utilisation of a model's replicas; over 1, add replicas.

        It is the requests that run, wait or are expected, relative to the slots
        that the replicas should use at most.
        """
        expected = demand.rate(item) * self._mean_run_s
        demand_now = max(demand.running_for_model(item.model), expected)
        demand_now += demand.waiting_by_model[item.model]
        used_slots = max(
            MAX_SLOT_SHARE * self._usable_slots,
            min(MIN_USED_SLOTS, self._usable_slots),
        )
        return demand_now / (replicas * used_slots)

    def value_of_existing(
        self, item: Item, demand: DemandSnapshot, replicas: int, target: str
    ) -> float:
        """Return the value of a target's replica: what its eviction would cost."""
        if item.model not in self._spec.models:
            # A version of the configuration has dropped it: no request comes for it.
            return 0.0
        rate = demand.rate(item)
        running_value = RUNNING_VALUE * demand.running_for_model_at(target, item.model)
        if replicas <= 1:
            if demand.is_active(item):
                return LAST_REPLICA_VALUE + rate + running_value
            if demand.is_latency_critical(item):
                return self._idle_value + rate + running_value
            return demand.slow_rate(item) + running_value
        utilisation = self.utilisation(item, demand, replicas - 1)
        value = _utilisation_value(utilisation)
        if replicas == 2 and rate >= SECOND_REPLICA_PER_S:
            value = max(value, KEEP_SECOND_REPLICA_VALUE)
        return value + running_value
