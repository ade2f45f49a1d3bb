"""State dump of an instance, as JSON data."""

from __future__ import annotations

from typing import Any

from marjoramstage._instance.json_data import Dumpable, to_data
from marjoramstage.coordination.routing import TargetView
from marjoramstage.state.ledger_codec import ledger_to_data
from marjoramstage.transport.callers import OpenRequest


def dump_target(view: TargetView) -> dict[str, Any]:
    """Return what this instance knows about a target."""
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


def dump_request(request: OpenRequest, is_waiting: bool) -> dict[str, Any]:
    """Return an open request, with whether it is queued or dispatched."""
    return to_data(request) | {"state": "queued" if is_waiting else "dispatched"}


def dumped_parts(instance) -> dict[str, Dumpable]:
    """Return the parts that dump their own state, by their key in the dump."""
    return {"peers": instance.node_runner, "leases": instance.lease_runner}


def dump_instance(instance) -> dict[str, Any]:
    """Return the state dump of ``instance``."""
    requests, scheduler = instance.callers.dump(), instance.router.scheduler
    views = scheduler.table.views.values()
    ledgers = instance.placement_runner.placer.ledgers
    data = {
        "instance": instance.settings.name,
        "data_centre": instance.settings.data_centre,
        "generation": instance.node_runner.generation,
        "settings": to_data(instance.settings),
        "waits_for": instance.ready(),
        "targets": [dump_target(view) for view in views],
        "requests": [
            dump_request(r, instance.router.is_waiting(r.id)) for r in requests
        ],
        "queues": scheduler.queue_lengths(),
        "orders": instance.placement_runner.placer.order_states(),
        "ledgers": {name: ledger_to_data(item) for name, item in ledgers.items()},
        "counters": dict(instance.metrics.counters),
        "gauges": dict(instance.metrics.gauges),
    }
    for name, part in dumped_parts(instance).items():
        data[name] = to_data(part.dump())
    return data
