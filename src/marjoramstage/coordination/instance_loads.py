"""TargetClient of load messages between the instances of a data centre."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import replace

from marjoramstage.coordination.config_events import Emit, NodeEffect, SendPeer
from marjoramstage.coordination.membership import Liveness, Membership
from marjoramstage.coordination.shards import is_shard_of
from marjoramstage.protocol.events import (
    AdapterLoadRequested,
    InstanceGone,
    InstanceLoadReported,
)
from marjoramstage.protocol.messages import (
    InstanceLoad,
    Item,
    ItemDemand,
    Replica,
)
from marjoramstage.protocol.peers import (
    AdapterWanted,
    CopyEntry,
    DemandEntry,
    Load,
    MemberEntry,
)

LOAD_INTERVAL_S = 0.5

# Bandwidth limit for load messages of one instance to all its peers.
MAX_LOAD_BYTES_PER_S = 2000

# Limit on forwarding an adapter request.
MAX_HOPS = 2

# Estimated sizes of an encoded load message and of its entries.
_FIXED_BYTES = 80
_IN_FLIGHT_BYTES = 12
_DEMAND_BYTES = 20


class InstanceLoads:
    """Latest load of each instance, with the shard leases that it holds."""

    def __init__(self, now_s: float):
        self.latest: dict[str, InstanceLoad] = {}
        self.own: InstanceLoad | None = None
        self._next_broadcast_s = now_s

    def broadcast(
        self, load: InstanceLoad, membership: Membership, now_s: float
    ) -> list[NodeEffect]:
        """Send the own load to all peers of the data centre when it is due.

        A change of the retiring replicas is sent immediately.
        """
        previous = self.own.retiring if self.own is not None else ()
        self.own = load
        if now_s < self._next_broadcast_s and load.retiring == previous:
            return []
        peers = membership.with_liveness(Liveness.ALIVE, Liveness.SUSPECT, now_s=now_s)
        size = _FIXED_BYTES + _IN_FLIGHT_BYTES * len(load.in_flight)
        size += _DEMAND_BYTES * len(load.demand)
        self._next_broadcast_s = now_s + max(
            LOAD_INTERVAL_S, size * len(peers) / MAX_LOAD_BYTES_PER_S
        )
        message = load_to_message(load)
        return [SendPeer(member.entry.address, message) for member in peers]

    def receive(self, message: Load) -> list[NodeEffect]:
        """Store the load of a peer, unless a newer one is known."""
        load = load_from_message(message)
        previous = self.latest.get(load.instance)
        same = previous is not None and previous.incarnation == load.incarnation
        if same and previous.sequence >= load.sequence:
            return []
        self.latest[load.instance] = load
        return [Emit(InstanceLoadReported(load))]

    def drop_dead_instances(
        self, membership: Membership, now_s: float
    ) -> list[NodeEffect]:
        """Remove the loads of instances that are dead or unknown."""
        effects: list[NodeEffect] = []
        for name in list(self.latest):
            member = membership.members.get(name)
            dead = member is not None and member.liveness(now_s) is Liveness.DEAD
            if member is None or dead:
                del self.latest[name]
                effects.append(Emit(InstanceGone(name)))
        return effects

    def route_adapter_request(
        self,
        request: AdapterWanted,
        membership: Membership,
        contacts: Mapping[str, list[MemberEntry]],
    ) -> list[NodeEffect]:
        """Route an adapter request to the lease holder of the target's shard.

        Parameters
        ----------
        contacts : Mapping
            Known instances of other data centres, by data centre.
        """
        if self.own is not None and request.shard in self.own.shards:
            item = Item(request.name, request.version)
            return [Emit(AdapterLoadRequested(request.target, item))]
        if request.hops >= MAX_HOPS:
            return []
        forwarded = replace(request, hops=request.hops + 1)
        for name, load in sorted(self.latest.items()):
            member = membership.members.get(name)
            if request.shard in load.shards and member is not None:
                return [SendPeer(member.entry.address, forwarded)]
        for data_centre, entries in contacts.items():
            if is_shard_of(request.shard, data_centre):
                return [SendPeer(entries[-1].address, forwarded)]
        return []


def load_to_message(load: InstanceLoad) -> Load:
    """Encode a load as a peer message."""
    demand = tuple(
        DemandEntry(d.item.name, d.item.version, *d.counts) for d in load.demand
    )
    return Load(
        load.instance,
        load.data_centre,
        load.incarnation,
        load.sequence,
        dict(load.in_flight),
        demand,
        load.shards,
        tuple(
            CopyEntry(copy.target, copy.item.name, copy.item.version)
            for copy in load.retiring
        ),
    )


def load_from_message(message: Load) -> InstanceLoad:
    """Decode a load from a peer message."""
    demand = tuple(
        ItemDemand(
            Item(d.name, d.version),
            d.requests,
            d.tokens,
            d.waiting,
            d.live,
            d.running,
        )
        for d in message.demand
    )
    return InstanceLoad(
        message.instance,
        message.data_centre,
        message.incarnation,
        message.sequence,
        message.in_flight,
        demand,
        message.shards,
        tuple(
            Replica(copy.target, Item(copy.name, copy.version))
            for copy in message.retiring
        ),
    )
