"""Checks whether an inventory fits the memory of the engines."""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass

from marjoramstage.coordination._desired_state import DesiredState
from marjoramstage.state.inventory import Inventory


@dataclass(frozen=True)
class TargetCapacity:
    """Accelerator memory of one engine, in MB."""

    target: str
    data_centre: str
    memory_mb: int


@dataclass(frozen=True)
class Shortfall:
    """Models that do not fit in the deployment.

    Attributes
    ----------
    unplaced : tuple of str
        Models that fit on no target, as ``name@version``.
    missing_mb : Mapping
        Least additional memory by data centre, in MB; the total is split in
        proportion to the memory that each data centre has.
    unplaced_after_loss : tuple of str
        Models that do not fit after the loss of the most critical target.
    missing_after_loss_mb : int
        Least additional memory after that loss, in MB.
    """

    unplaced: tuple[str, ...] = ()
    missing_mb: Mapping[str, int] | None = None
    unplaced_after_loss: tuple[str, ...] = ()
    missing_after_loss_mb: int = 0

    @property
    def fits(self) -> bool:
        """Whether every model that should be resident fits."""
        return not self.unplaced


@dataclass(frozen=True)
class _Requirement:
    """Memory of a model plus its largest adapter, in MB."""

    name: str
    memory_mb: int


def shortfall(inventory: Inventory, capacities: Iterable[TargetCapacity]) -> Shortfall:
    """Return what part of the inventory does not fit the engines.

    Each model needs one replica in the deployment, because callers of every
    data centre can reach it. Adapters are loaded on demand, so a model needs
    memory for its largest adapter only.
    """
    requirements = _requirements(inventory)
    engines = sorted(capacities, key=lambda found: found.target)
    unplaced = _unplaced(requirements, engines)
    worst: tuple[_Requirement, ...] = ()
    for lost in engines:
        left = [engine for engine in engines if engine is not lost]
        found = _unplaced(requirements, left)
        if _sum_mb(found) > _sum_mb(worst):
            worst = found
    return Shortfall(
        unplaced=tuple(requirement.name for requirement in unplaced),
        missing_mb=_split_by_data_centre(_sum_mb(unplaced), engines),
        unplaced_after_loss=tuple(requirement.name for requirement in worst),
        missing_after_loss_mb=_sum_mb(worst),
    )


def infeasibility_reasons(
    inventory: Inventory, capacities: Iterable[TargetCapacity]
) -> list[str]:
    """Return proofs that no placement can exist; empty if there may be one.

    The checks are conservative, so no inventory is refused that would fit.
    `shortfall` uses a heuristic and may fail to find an existing placement.
    """
    engines = list(capacities)
    if not engines:
        return []
    largest_mb = max(engine.memory_mb for engine in engines)
    total_mb = sum(engine.memory_mb for engine in engines)
    found = []
    for model in inventory.models:
        if model.memory_mb <= largest_mb:
            continue
        found.append(
            f"model {model.name!r} needs {model.memory_mb} MB; no engine has more "
            f"than {largest_mb} MB"
        )
    needed_mb = sum(model.memory_mb for model in inventory.models)
    if needed_mb > total_mb:
        shares = _split_by_data_centre(needed_mb - total_mb, engines)
        places = ", ".join(f"{name} {mb} MB" for name, mb in sorted(shares.items()))
        found.append(
            f"one copy of each model needs {needed_mb} MB; all engines together "
            f"have {total_mb} MB; missing by data centre: {places}"
        )
    return found


def _requirements(inventory: Inventory) -> list[_Requirement]:
    desired = DesiredState(inventory)
    requirements = []
    for item, model in desired.models.items():
        adapters = desired.adapters_of.get(item, ())
        room_mb = max((adapter.memory_mb for adapter in adapters), default=0)
        requirements.append(_Requirement(str(item), model.memory_mb + room_mb))
    return sorted(
        requirements, key=lambda requirement: (-requirement.memory_mb, requirement.name)
    )


def _unplaced(
    requirements: list[_Requirement], engines: list[TargetCapacity]
) -> tuple[_Requirement, ...]:
    """Return the models that do not fit, packing the largest first.

    Worst fit matches the placement at run time. If it leaves models out, best
    fit is tried too and the better result is returned.
    """
    spread = _pack(requirements, engines, worst_fit=True)
    if not spread:
        return ()
    packed = _pack(requirements, engines, worst_fit=False)
    return min(spread, packed, key=_sum_mb)


def _pack(
    requirements: list[_Requirement], engines: list[TargetCapacity], worst_fit: bool
) -> tuple[_Requirement, ...]:
    free_mb = {engine.target: engine.memory_mb for engine in engines}
    unplaced = []
    for requirement in requirements:
        fitting = [name for name in free_mb if free_mb[name] >= requirement.memory_mb]
        if not fitting:
            unplaced.append(requirement)
            continue
        choose = max if worst_fit else min
        free_mb[choose(fitting, key=lambda name: (free_mb[name], name))] -= (
            requirement.memory_mb
        )
    return tuple(unplaced)


def _sum_mb(requirements: tuple[_Requirement, ...]) -> int:
    return sum(requirement.memory_mb for requirement in requirements)


def _split_by_data_centre(
    missing_mb: int, engines: list[TargetCapacity]
) -> dict[str, int]:
    """Split missing memory in proportion to existing memory, rounded up."""
    capacity_mb: dict[str, int] = {}
    for engine in engines:
        known_mb = capacity_mb.get(engine.data_centre, 0)
        capacity_mb[engine.data_centre] = known_mb + engine.memory_mb
    total_mb = sum(capacity_mb.values())
    if missing_mb == 0 or total_mb == 0:
        return {}
    return {
        name: -(-missing_mb * part_mb // total_mb)
        for name, part_mb in capacity_mb.items()
    }
