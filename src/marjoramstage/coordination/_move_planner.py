"""Plans loads and unloads that bring the targets to the desired state."""

from __future__ import annotations

from collections.abc import Callable, Iterator
from dataclasses import dataclass

from marjoramstage.coordination._assigner import Assigner
from marjoramstage.coordination._desired_state import DesiredItem, DesiredState
from marjoramstage.coordination._replica_scaler import ReplicaScaler
from marjoramstage.coordination.adapter_eviction import adapters_to_evict
from marjoramstage.coordination.demand import DemandStats
from marjoramstage.coordination.load_budget import LoadBudget
from marjoramstage.coordination.retiring_replicas import RetiringReplicas
from marjoramstage.coordination.shards import rendezvous_order
from marjoramstage.protocol.messages import Item, Replica
from marjoramstage.state.inventory import Inventory
from marjoramstage.state.residency import Residency

# Delay of model moves after a new inventory or a first report of a target.
SETTLE_S = 1.0

# An adapter request is dropped if it could not be served for this long.
ADAPTER_REQUEST_TTL_S = 5.0

# An item stays for this long after the inventory stopped listing it.
OBSOLETE_GRACE_S = 30.0

ADAPTERS_PER_PLAN = 64

CanChange = Callable[[str], bool]


@dataclass(frozen=True)
class Move:
    """One load or unload on a target of the own data centre."""

    target: str
    load: DesiredItem | None = None
    unload: Item | None = None


class MovePlanner:
    """Chooses moves from desired state, residency and demand.

    It tracks only what changed since the last plan, so the cost of a plan is
    proportional to the size of the change.
    """

    def __init__(self, data_centre: str, residency: Residency, demand: DemandStats):
        self._data_centre = data_centre
        self._residency = residency
        self._demand = demand
        self._desired = DesiredState(Inventory())
        self._budget = LoadBudget()
        self._assigner = Assigner(data_centre, residency, demand)
        self._replica_scaler = ReplicaScaler(data_centre, residency, demand)
        self.retiring = RetiringReplicas()
        self._missing_adapters: dict[Item, None] = {}
        self._adapter_requests: dict[tuple[str, Item], float] = {}
        self._newly_obsolete: set[Item] = set()
        self._obsolete_since_s: dict[Item, float] = {}
        self._plan_models_from_s = 0.0

    def set_desired(self, desired: DesiredState, now_s: float) -> None:
        """Replace the desired state after a new inventory was accepted."""
        previous, self._desired = self._desired, desired
        self._assigner.set_desired(desired)
        self._replica_scaler.set_desired(desired)
        self._plan_models_from_s = now_s + SETTLE_S
        self._share_budget()
        self.residency_changed(_differences(previous, desired))
        for item in sorted(self._residency.items() - desired.items()):
            self._obsolete_since_s.setdefault(item, now_s)

    def fleet_changed(self, now_s: float) -> None:
        """Delay model moves: a target is new, and others may follow shortly."""
        self._plan_models_from_s = now_s + SETTLE_S

    def residency_changed(self, items: set[Item]) -> None:
        """Re-evaluate items that a target gained or lost."""
        for item in sorted(items):
            if item in self._desired.models:
                self._assigner.residency_changed(item)
                self._replica_scaler.mark_changed(item)
            elif item in self._desired.adapters:
                if self._residency.targets_holding(item):
                    self._missing_adapters.pop(item, None)
                else:
                    self._missing_adapters[item] = None
            else:
                self._missing_adapters.pop(item, None)
                self._newly_obsolete.add(item)

    def demand_changed(self, items: set[Item]) -> None:
        """Re-evaluate the replica count of models whose demand changed."""
        for item in sorted(items):
            if item in self._desired.models:
                self._replica_scaler.mark_changed(item)

    def request_adapter(self, target: str, item: Item, now_s: float) -> None:
        """Queue the request of an instance for an adapter on a target."""
        self._adapter_requests.setdefault((target, item), now_s)

    def plan(
        self, loading: list[Item], can_change: CanChange, now_s: float
    ) -> Iterator[Move]:
        """Yield moves; apply each one before requesting the next.

        Parameters
        ----------
        loading : list of Item
            Items that are being loaded on own targets.
        can_change : callable
            Whether the ledger of a target can be changed now.
        """
        self._budget.advance(now_s)
        models = sum(item in self._desired.models for item in loading)
        adapters = len(loading) - models
        if now_s >= self._plan_models_from_s:
            self._share_budget()
            yield from self._model_moves(models, can_change, now_s)
            self._retire_obsolete(now_s)
            yield from self._retired_unloads(can_change, now_s)
        yield from self._adapter_moves(adapters, can_change, now_s)

    def _model_moves(
        self, loading: int, can_change: CanChange, now_s: float
    ) -> Iterator[Move]:
        for target, desired, evicted in self._assigner.plan(now_s):
            if not can_change(target):
                continue
            for item in evicted:
                yield Move(target, unload=item)
            if evicted or not self._budget.may_load_model(loading):
                continue
            yield Move(target, load=desired)
            self._budget.spend_model_load()
            loading += 1
        if self._assigner.any_missing or not self._budget.may_load_model(loading):
            return
        for target, desired, evicted in self._replica_scaler.plan(now_s):
            if not can_change(target):
                continue
            for item in evicted:
                self.retiring.begin(target, item, now_s)
            if evicted:
                continue
            yield Move(target, load=desired)
            self._budget.spend_model_load()
            loading += 1
            if not self._budget.may_load_model(loading):
                return

    def _retired_unloads(self, can_change: CanChange, now_s: float) -> Iterator[Move]:
        """Unload replicas whose retirement period has elapsed."""

        def can_unload(copy: Replica) -> bool:
            return self._can_unload(copy, now_s)

        for copy in self.retiring.due(now_s, can_unload):
            if not can_change(copy.target):
                continue
            self.retiring.end(copy.target, copy.item)
            yield Move(copy.target, unload=copy.item)

    def _can_unload(self, copy: Replica, now_s: float) -> bool:
        """Whether a replica is ready, idle and not the last of a desired item."""
        if copy.target not in self._residency.ready_targets(copy.item):
            return False
        if self._desired.get(copy.item) is None:
            return not self._demand.pending(copy.item)
        if self._demand.in_use(copy.item, now_s):
            return False
        if copy.item in self._desired.adapters:
            return True
        return len(self._residency.ready_targets(copy.item)) > 1

    def _retire_obsolete(self, now_s: float) -> None:
        """Retire items that left the inventory, once any successor is ready.

        Nothing is retired while the inventory lists no models.
        """
        if not self._desired.models:
            return
        for item in sorted(self._newly_obsolete):
            self._obsolete_since_s.setdefault(item, now_s)
        self._newly_obsolete.clear()
        for item, since_s in list(self._obsolete_since_s.items()):
            if self._desired.get(item) is not None:
                del self._obsolete_since_s[item]
                continue
            successor = self._desired.successor(item)
            ready = successor is None or self._residency.ready_targets(successor)
            if now_s - since_s < OBSOLETE_GRACE_S or not ready:
                continue
            held = self._residency.targets_holding(item)
            if not held:
                del self._obsolete_since_s[item]
                continue
            for target in sorted(held):
                if self._is_own(target):
                    self.retiring.begin(target, item, now_s)

    def _adapter_moves(
        self, loading: int, can_change: CanChange, now_s: float
    ) -> Iterator[Move]:
        for (target, item), since_s in list(self._adapter_requests.items()):
            if not self._budget.may_load_adapter(loading):
                return
            if now_s - since_s > ADAPTER_REQUEST_TTL_S or not self._can_host_adapter(
                target, item
            ):
                del self._adapter_requests[target, item]
                continue
            if not can_change(target):
                continue
            for move in self._requested_adapter_moves(target, item, now_s):
                yield move
                loading += move.load is not None
        for item in list(self._missing_adapters)[:ADAPTERS_PER_PLAN]:
            if not self._budget.may_load_adapter(loading):
                return
            del self._missing_adapters[item]
            self._missing_adapters[item] = None
            target = self._adapter_target(item)
            if target is None or not can_change(target):
                continue
            yield Move(target, load=self._desired.adapters[item])
            loading += 1

    def _requested_adapter_moves(
        self, target: str, item: Item, now_s: float
    ) -> Iterator[Move]:
        """Load a requested adapter, or first evict others to make room for it."""
        memory = self._residency.by_target[target]
        desired = self._desired.adapters[item]
        if memory.free_mb >= desired.memory_mb:
            del self._adapter_requests[target, item]
            yield Move(target, load=desired)
            return
        evicted = adapters_to_evict(
            memory, desired.memory_mb, self._desired, self._demand, now_s
        )
        for victim in evicted or ():
            yield Move(target, unload=victim)

    def _can_host_adapter(self, target: str, item: Item) -> bool:
        """Whether a target could take an adapter, free memory aside."""
        memory = self._residency.by_target.get(target)
        desired = self._desired.adapters.get(item)
        if memory is None or desired is None or not memory.accepts_loads:
            return False
        return item not in memory.items and desired.base in memory.ready

    def _adapter_target(self, item: Item) -> str | None:
        """Return the target for an adapter that is resident nowhere.

        Targets that can serve its model are tried in rendezvous order. None if
        none of them has room, or if the first that has is in another data
        centre, which then loads the adapter itself.
        """
        desired = self._desired.adapters[item]
        for target in rendezvous_order(
            str(item), sorted(self._residency.ready_targets(desired.base))
        ):
            if self._residency.by_target[target].free_mb >= desired.memory_mb:
                return target if self._is_own(target) else None
        return None

    def _is_own(self, target: str) -> bool:
        return self._residency.by_target[target].data_centre == self._data_centre

    def _share_budget(self) -> None:
        by_target = self._residency.by_target.values()
        data_centres = {memory.data_centre for memory in by_target}
        self._budget.set_share(self._desired.rules, len(data_centres))


def _differences(previous: DesiredState, desired: DesiredState) -> set[Item]:
    """Return the items that were added, removed or changed."""
    items = previous.items() | desired.items()
    return {item for item in items if previous.get(item) != desired.get(item)}
