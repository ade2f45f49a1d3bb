"""Converts targets to and from endpoint slices, and their reports."""

from __future__ import annotations

from typing import Any

from marjoramstage.protocol.messages import (
    Item,
    Resident,
    ResidentState,
    Target,
    TargetKind,
    TargetReport,
)
from marjoramstage.protocol.objects import (
    ENDPOINT_SLICE,
    LABEL_DATA_CENTRE,
    LABEL_ROLE,
    PlatformObject,
)


def targets_from_slice(obj: PlatformObject) -> tuple[Target, ...]:
    """Return the targets of an endpoint slice; empty for other slices."""
    role = obj.labels.get(LABEL_ROLE, "")
    if role not in {kind.value for kind in TargetKind}:
        return ()
    data_centre = obj.labels.get(LABEL_DATA_CENTRE, "")
    ports = obj.spec.get("ports") or []
    if not ports:
        return ()
    found = []
    for endpoint in obj.spec.get("endpoints") or []:
        if not endpoint.get("addresses"):
            continue
        conditions = endpoint.get("conditions") or {}
        name = (endpoint.get("targetRef") or {}).get("name", obj.name)
        address = f"{endpoint['addresses'][0]}:{ports[0]['port']}"
        leaving = bool(conditions.get("terminating"))
        found.append(Target(name, data_centre, TargetKind(role), address, leaving))
    return tuple(found)


def slice_of_target(target: Target) -> PlatformObject:
    """Return the endpoint slice of one target."""
    host, _, port = target.address.rpartition(":")
    return PlatformObject(
        kind=ENDPOINT_SLICE,
        name=target.name,
        labels={
            LABEL_ROLE: target.kind.value,
            LABEL_DATA_CENTRE: target.data_centre,
        },
        spec={
            "addressType": "IPv4",
            "endpoints": [
                {
                    "addresses": [host],
                    "targetRef": {"name": target.name},
                    "conditions": {
                        "ready": not target.leaving,
                        "terminating": target.leaving,
                    },
                }
            ],
            "ports": [{"name": "http", "port": int(port)}],
        },
    )


def report_to_data(report: TargetReport) -> dict[str, Any]:
    """Return the report as plain JSON data."""
    return {
        "target": report.target,
        "incarnation": report.incarnation,
        "sequence": report.sequence,
        "memory_mb": report.memory_mb,
        "slots": report.slots,
        "running": report.running,
        "waiting": report.waiting,
        "residents": [
            {
                "name": resident.item.name,
                "version": resident.item.version,
                "memory_mb": resident.memory_mb,
                "state": resident.state.value,
            }
            for resident in report.residents
        ],
        "fencing": report.fencing,
        "leaving": report.leaving,
        "highest_fence": report.highest_fence,
        "last_orders": list(report.last_orders),
        "expiry": report.expiry,
        "clock_s": report.clock_s,
        "started_s": report.started_s,
    }


def report_from_data(data: dict[str, Any]) -> TargetReport:
    """Build a report from JSON data.

    Raises
    ------
    KeyError, TypeError, ValueError
        The data is not a valid report.
    """
    residents = tuple(
        Resident(
            Item(str(entry["name"]), str(entry["version"])),
            int(entry["memory_mb"]),
            ResidentState(entry["state"]),
        )
        for entry in data["residents"]
    )
    return TargetReport(
        target=str(data["target"]),
        incarnation=str(data["incarnation"]),
        sequence=int(data["sequence"]),
        memory_mb=int(data["memory_mb"]),
        slots=int(data["slots"]),
        running=int(data.get("running", 0)),
        waiting=int(data.get("waiting", 0)),
        residents=residents,
        fencing=bool(data.get("fencing", False)),
        leaving=bool(data.get("leaving", False)),
        highest_fence=int(data.get("highest_fence", 0)),
        last_orders=tuple(int(number) for number in data.get("last_orders", ())),
        expiry=bool(data.get("expiry", False)),
        clock_s=float(data.get("clock_s", 0.0)),
        started_s=float(data.get("started_s", 0.0)),
    )
