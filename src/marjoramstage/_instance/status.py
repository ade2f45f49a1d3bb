"""What operators need to see: targets, models, leases, generations."""

from __future__ import annotations

from typing import Any

from marjoramstage._instance.dump import dump_target
from marjoramstage._instance.node_dump import data_centres


def instance_status(instance) -> dict[str, Any]:
    """Return the status of the deployment as ``instance`` knows it."""
    peers = instance.peers
    inventory = peers.inventory
    now_s = instance.now()
    views = list(instance.requests.scheduler.table.views.values())
    places = _places(views)
    models = {model.name: places.get(_key(model), []) for model in inventory.models}
    adapters = {item.name: places.get(_key(item), []) for item in inventory.adapters}
    return {
        "instance": instance.settings.name,
        "data_centre": instance.settings.data_centre,
        "waits_for": instance.ready(),
        "generation": peers.generation,
        "in_force": data_centres(peers.node, now_s),
        "leases": _leases(peers.node),
        "targets": [dump_target(view) for view in views],
        "targets_without_fencing": sorted(
            view.target.name
            for view in views
            if view.report is not None and not view.report.fencing
        ),
        "shortfalls": instance.shortfalls(inventory),
        "models": models,
        "adapters": adapters,
        "unreachable": sorted(
            name for name, held in {**models, **adapters}.items() if not held
        ),
    }


def _key(entry) -> str:
    return f"{entry.name}@{entry.version}"


def _places(views) -> dict[str, list[str]]:
    """Return the targets that hold each item ready."""
    found: dict[str, list[str]] = {}
    for view in views:
        for item in view.ready:
            found.setdefault(str(item), []).append(view.target.name)
    return {item: sorted(names) for item, names in found.items()}


def _leases(node) -> dict[str, str]:
    """Return the holder of each shard that a peer or this instance tells of."""
    loads = [*node.loads.latest.values()]
    if node.loads.own is not None:
        loads.append(node.loads.own)
    return {shard: load.instance for load in loads for shard in load.shards}
