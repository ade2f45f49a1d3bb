"""Converts endpoint slices of instances to and from member entries."""

from __future__ import annotations

from marjoramstage.protocol.objects import (
    ENDPOINT_SLICE,
    LABEL_DATA_CENTRE,
    LABEL_ROLE,
    PlatformObject,
)
from marjoramstage.protocol.peers import MemberEntry

ROLE_INSTANCE = "instance"


def members_from_slice(obj: PlatformObject) -> tuple[MemberEntry, ...]:
    """Return the instances of an endpoint slice; empty for other slices.

    Incarnation and heartbeat are 0, because the platform's list lags behind:
    it only gives addresses at which instances may be reached.
    """
    ports = obj.spec.get("ports") or []
    if obj.labels.get(LABEL_ROLE) != ROLE_INSTANCE or not ports:
        return ()
    data_centre = obj.labels.get(LABEL_DATA_CENTRE, "")
    found = []
    for endpoint in obj.spec.get("endpoints") or []:
        if not endpoint.get("addresses"):
            continue
        name = (endpoint.get("targetRef") or {}).get("name", obj.name)
        address = f"{endpoint['addresses'][0]}:{ports[0]['port']}"
        entry = MemberEntry(name, 0, 0, address=address, data_centre=data_centre)
        found.append(entry)
    return tuple(found)


def slice_of_instance(name: str, data_centre: str, address: str) -> PlatformObject:
    """Return the endpoint slice of one instance, with its peer address."""
    host, _, port = address.rpartition(":")
    endpoint = {"addresses": [host], "targetRef": {"name": name}}
    return PlatformObject(
        kind=ENDPOINT_SLICE,
        name=name,
        labels={LABEL_ROLE: ROLE_INSTANCE, LABEL_DATA_CENTRE: data_centre},
        spec={
            "addressType": "IPv4",
            "endpoints": [endpoint],
            "ports": [{"name": "peers", "port": int(port)}],
        },
    )
