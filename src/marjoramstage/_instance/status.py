"""Overview of the deployment: targets, models, leases and generations."""

from __future__ import annotations

from collections.abc import Iterable
from typing import Any

from marjoramstage._instance.dump import dump_target
from marjoramstage._instance.node_dump import data_centres
from marjoramstage.coordination.capacity import TargetCapacity, shortfall
from marjoramstage.coordination.routing import TargetView
from marjoramstage.protocol.messages import TargetKind
from marjoramstage.state.inventory import Inventory


def instance_status(instance) -> dict[str, Any]:
    """Return the status of the deployment as seen by ``instance``."""
    node_runner = instance.node_runner
    inventory = node_runner.inventory
    now_s = instance.now()
    views = list(instance.router.scheduler.table.views.values())
    ready_targets = _ready_targets(views)
    models = {
        model.name: ready_targets.get(_item_key(model), [])
        for model in inventory.models
    }
    adapters = {
        item.name: ready_targets.get(_item_key(item), []) for item in inventory.adapters
    }
    return {
        "instance": instance.settings.name,
        "data_centre": instance.settings.data_centre,
        "waits_for": instance.ready(),
        "generation": node_runner.generation,
        "in_force": data_centres(node_runner.node, now_s),
        "leases": _leases(node_runner.node),
        "targets": [dump_target(view) for view in views],
        "targets_without_fencing": sorted(
            view.target.name for view in views if _ignores_fencing(view)
        ),
        "shortfalls": instance.shortfalls(inventory),
        "memory": _memory_shortfall(inventory, views),
        "models": models,
        "adapters": adapters,
        "unreachable": sorted(
            name for name, targets in {**models, **adapters}.items() if not targets
        ),
    }


def engine_capacities(views: Iterable[TargetView]) -> list[TargetCapacity]:
    """Return the memory of the engines that are not leaving.

    Empty while any of them has not reported yet, as its memory is unknown.
    """
    found = []
    for view in views:
        if view.target.kind is not TargetKind.ENGINE or view.target.leaving:
            continue
        if view.report is None:
            return []
        memory_mb = view.report.memory_mb
        found.append(TargetCapacity(view.name, view.target.data_centre, memory_mb))
    return found


def _memory_shortfall(
    inventory: Inventory, views: Iterable[TargetView]
) -> dict[str, Any]:
    """Return what does not fit, now and after the loss of any one engine."""
    found = shortfall(inventory, engine_capacities(views))
    return {
        "without_room": list(found.unplaced),
        "missing_mb": dict(found.missing_mb or {}),
        "without_room_after_a_loss": list(found.unplaced_after_loss),
        "missing_after_a_loss_mb": found.missing_after_loss_mb,
    }


def _ignores_fencing(view: TargetView) -> bool:
    if view.target.kind is not TargetKind.ENGINE or view.report is None:
        return False
    return not view.report.fencing


def _item_key(entry) -> str:
    return f"{entry.name}@{entry.version}"


def _ready_targets(views) -> dict[str, list[str]]:
    """Return the targets at which each item is ready."""
    found: dict[str, list[str]] = {}
    for view in views:
        for item in view.ready:
            found.setdefault(str(item), []).append(view.target.name)
    return {item: sorted(names) for item, names in found.items()}


def _leases(node) -> dict[str, str]:
    """Return the lease holder of each shard, as announced with the loads."""
    loads = [*node.loads.latest.values()]
    if node.loads.own is not None:
        loads.append(node.loads.own)
    return {shard: load.instance for load in loads for shard in load.shards}
