"""The configuration node: gossip, loads and distribution of one instance."""

from __future__ import annotations

import random

from marjoramstage.coordination.config_events import (
    AdapterNeeded,
    DocumentsRead,
    Emit,
    HeadReadFailed,
    HeadSeen,
    InstancesListed,
    LeavingDetected,
    NodeEffect,
    NodeEvent,
    NodeTick,
    OwnLoadChanged,
    PeerReceived,
    StopRequested,
    WatchEnded,
)
from marjoramstage.coordination.distribution import Distributor
from marjoramstage.coordination.gossip import Gossiper
from marjoramstage.coordination.instance_loads import InstanceLoads
from marjoramstage.protocol.events import InventoryAccepted
from marjoramstage.protocol.peers import (
    AdapterWanted,
    DocumentsAsked,
    DocumentsSent,
    Gossip,
    Load,
    MemberEntry,
    MemberState,
    PeerMessage,
    Rumour,
)

UNRANKED = 2


class ConfigNode:
    """Handles peer messages and the distribution of the accepted inventory.

    Parameters
    ----------
    own : MemberEntry
        Entry of this instance, with its address and data centre.
    seeds : tuple of str
        Initial peer addresses.
    rng : random.Random
        Random source for jitter and peer selection.
    now_s : float
        Current time of the monotonic clock.
    """

    def __init__(
        self,
        own: MemberEntry,
        seeds: tuple[str, ...],
        rng: random.Random,
        now_s: float,
    ):
        self.gossiper = Gossiper(own, seeds, rng, now_s)
        self.distributor = Distributor(rng, now_s)
        self.loads = InstanceLoads(now_s)

    def handle(self, event: NodeEvent, now_s: float) -> list[NodeEffect]:
        """Handle an event; return the effects to perform, in order."""
        effects = self._handle(event, now_s)
        return effects + self._announce_accepted(effects, now_s)

    def is_watcher(self, now_s: float) -> bool:
        """Return whether this instance watches the head for its data centre."""
        return self._watch_rank(now_s) == 0

    def _watch_rank(self, now_s: float) -> int:
        """Return 0 for the watcher, 1 for its deputy, else `UNRANKED`."""
        membership = self.gossiper.membership
        chosen = membership.select_for_duty("watch", UNRANKED, now_s)
        for rank, entry in enumerate(chosen):
            if entry.name == membership.own.name:
                return rank
        return UNRANKED

    def _handle(self, event: NodeEvent, now_s: float) -> list[NodeEffect]:
        own = self.gossiper.membership.own
        distributor = self.distributor
        match event:
            case NodeTick():
                return self._tick(now_s)
            case PeerReceived(message):
                return self._received(message, now_s)
            case HeadSeen(head):
                return distributor.head_seen(head, own, now_s)
            case HeadReadFailed():
                distributor.head_read_failed()
            case WatchEnded():
                distributor.watch_ended(now_s)
            case DocumentsRead(documents):
                return distributor.documents_read(documents, own, now_s)
            case InstancesListed(entries):
                self.gossiper.instances_listed(entries)
            case LeavingDetected(leaving):
                return self.gossiper.learn_leaving(leaving, None, now_s)
            case OwnLoadChanged(load):
                return self.loads.broadcast(load, self.gossiper.membership, now_s)
            case AdapterNeeded(target, item, shard):
                wanted = AdapterWanted(target, item.name, item.version, shard)
                return self._want_adapter(wanted)
            case StopRequested():
                return self.gossiper.leave(MemberState.LEAVING, now_s)
        return []

    def _tick(self, now_s: float) -> list[NodeEffect]:
        membership = self.gossiper.membership
        members = len(membership.serving(now_s))
        effects = self.gossiper.tick(self.distributor.head, now_s)
        effects += self.loads.drop_dead_instances(membership, now_s)
        rank = self._watch_rank(now_s)
        effects += self.distributor.tick(rank, members, membership.own, now_s)
        return effects

    def _received(self, message: PeerMessage, now_s: float) -> list[NodeEffect]:
        own, head = self.gossiper.membership.own, self.distributor.head
        match message:
            case Gossip():
                effects = self.gossiper.receive(message, head, now_s)
                return effects + self._head_heard(message, now_s)
            case Rumour():
                effects = self.gossiper.receive_rumour(message, now_s)
                return effects + self._head_heard(message, now_s)
            case Load():
                return self.loads.receive(message)
            case DocumentsAsked():
                return self.distributor.answer(message, own)
            case DocumentsSent():
                return self.distributor.documents_sent(message, own, now_s)
            case AdapterWanted():
                return self._want_adapter(message)
        return []

    def _want_adapter(self, wanted: AdapterWanted) -> list[NodeEffect]:
        gossiper = self.gossiper
        contacts = gossiper.summaries.contacts()
        return self.loads.route_adapter_request(wanted, gossiper.membership, contacts)

    def _head_heard(self, message: Gossip | Rumour, now_s: float) -> list[NodeEffect]:
        """Pass the head of a message, if any, to the distributor."""
        if message.head is None:
            return []
        own = self.gossiper.membership.own
        holder = message.sender.address
        return self.distributor.head_heard(message.head, holder, own, now_s)

    def _announce_accepted(
        self, effects: list[NodeEffect], now_s: float
    ) -> list[NodeEffect]:
        """Announce a generation that came into force among ``effects``."""
        for effect in effects:
            match effect:
                case Emit(InventoryAccepted()):
                    return self.gossiper.announce_head(self.distributor.head, now_s)
        return []
