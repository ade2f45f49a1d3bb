"""The state of an instance as JSON data."""

from __future__ import annotations

from typing import Any

from marjoramstage._instance.dumped import to_data
from marjoramstage.coordination.routing import TargetView
from marjoramstage.state.ledger_data import ledger_to_data


def dump_target(view: TargetView) -> dict[str, Any]:
    """Return what an instance knows of a target."""
    return {
        "name": view.target.name,
        "data_centre": view.target.data_centre,
        "kind": view.target.kind.value,
        "address": view.target.address,
        "leaving": view.target.leaving,
        "reported": view.report is not None,
        "in_flight": view.in_flight,
        "ready": sorted(str(item) for item in view.ready),
    }


def dump_instance(instance) -> dict[str, Any]:
    """Return the state of the parts of ``instance``."""
    scheduler = instance.requests.scheduler
    views = scheduler.table.views.values()
    ledgers = instance.placing.placer.ledgers
    return {
        "instance": instance.settings.name,
        "data_centre": instance.settings.data_centre,
        "generation": instance.peers.generation,
        "peers": instance.peers.dump(),
        "settings": to_data(instance.settings),
        "waits_for": instance.ready(),
        "targets": [dump_target(view) for view in views],
        "requests": to_data(instance.callers.dump()),
        "queues": scheduler.queue_lengths(),
        "leases": instance.leasing.dump(),
        "orders": instance.placing.placer.order_states(),
        "ledgers": {name: ledger_to_data(item) for name, item in ledgers.items()},
        "counters": dict(instance.metrics.counters),
        "gauges": dict(instance.metrics.gauges),
    }
