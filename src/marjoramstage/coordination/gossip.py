"""What an instance tells its peers, to whom and when.

Rounds of gossip carry heartbeats and repair what was lost. News (a head, a
leaving target or instance) also go out at once: a head to a few peers that
pass it on, a leaving one to every instance of the data centre. A few bridges
talk to other data centres.
"""

from __future__ import annotations

import random
from dataclasses import dataclass, replace

from marjoramstage.coordination._steps import Emit, NodeEffect, SendPeer
from marjoramstage.coordination._summaries import Summaries
from marjoramstage.coordination.membership import (
    BRIDGES,
    DEAD_AFTER_S,
    Liveness,
    Member,
    Membership,
)
from marjoramstage.protocol.events import TargetLeaving
from marjoramstage.protocol.peers import (
    DataCentreSummary,
    Gossip,
    Head,
    LeavingTarget,
    MemberEntry,
    MemberState,
    PeerMessage,
    Rumour,
)

GOSSIP_EVERY_S = 1.0
GOSSIP_PEERS = 2
BRIDGE_EVERY_S = 2.0
RUMOUR_PEERS = 3
RUMOUR_DATA_CENTRES = 1
RECOVERY_SHARE = 0.2
TOLD_LEAVING_S = 60.0
TOLD_ADDRESS_S = 15.0
MAX_TOLD_LEAVING = 64
MAX_POINTED = 8
KEPT_INCARNATIONS = 4


@dataclass(frozen=True)
class KnownLeaving:
    """A leaving target and when this instance learned of it."""

    leaving: LeavingTarget
    learned_s: float


class Gossiper:
    """The gossip of one instance.

    Parameters
    ----------
    own : MemberEntry
        Entry of this instance, with its address and data centre.
    seeds : tuple of str
        Peer addresses to begin with, of any data centre.
    rng : random.Random
        Source of every choice.
    """

    def __init__(
        self,
        own: MemberEntry,
        seeds: tuple[str, ...],
        rng: random.Random,
        now_s: float,
    ):
        self.membership = Membership(own)
        self.summaries = Summaries(own.data_centre)
        self.leaving: dict[LeavingTarget, KnownLeaving] = {}
        self._seeds = tuple(seed for seed in seeds if seed != own.address)
        self._listed: tuple[MemberEntry, ...] = ()
        self._pointed: dict[str, str] = {}
        self._rng = rng
        self._round_s = now_s
        self._bridge_s = now_s

    def listed(self, entries: tuple[MemberEntry, ...]) -> None:
        """Take in the platform's lagging list of instances."""
        own = self.membership.own
        self._listed = tuple(e for e in entries if e.name != own.name)
        for entry in self._listed:
            if entry.data_centre != own.data_centre:
                self.summaries.contact(entry)

    def tick(self, head: Head | None, now_s: float) -> list[NodeEffect]:
        """Send a round of gossip when it is due."""
        effects: list[NodeEffect] = []
        if now_s >= self._round_s:
            self._round_s = now_s + GOSSIP_EVERY_S * self._rng.uniform(0.8, 1.2)
            self.membership.beat(head.generation if head else 0)
            self.membership.drop_forgotten(now_s)
            effects += self._round(head, now_s)
        if now_s >= self._bridge_s and self.is_bridge(now_s):
            self._bridge_s = now_s + BRIDGE_EVERY_S * self._rng.uniform(0.8, 1.2)
            effects += self._bridge_round(head, now_s)
        return effects

    def is_bridge(self, now_s: float) -> bool:
        """Return whether this instance talks to other data centres."""
        chosen = self.membership.chosen("bridge", BRIDGES, now_s)
        return self.membership.own.name in {entry.name for entry in chosen}

    def receive(
        self, gossip: Gossip, head: Head | None, now_s: float
    ) -> list[NodeEffect]:
        """Take in a round of another instance."""
        effects = self._meet(gossip.sender, now_s)
        unknown = False
        if self._is_local(gossip.sender):
            for entry in gossip.members:
                effects += self._merge(entry, now_s)
                unknown = unknown or self._is_unknown(entry)
        else:
            self._point(gossip.members)
        self.summaries.merge(gossip.summaries, now_s)
        for leaving in gossip.leaving:
            effects += self.learn_leaving(leaving, gossip.sender, now_s)
        if gossip.wants_answer or unknown:
            answer = self._gossip(head, now_s, full=True)
            answer = replace(answer, wants_answer=unknown)
            if not self._is_local(gossip.sender):
                known = self.summaries.contacts()[gossip.sender.data_centre]
                answer = replace(answer, members=tuple(known))
            effects.append(SendPeer(gossip.sender.address, answer))
        return effects

    def receive_rumour(self, rumour: Rumour, now_s: float) -> list[NodeEffect]:
        """Take in news; the head of it is for the distributor."""
        effects = self._meet(rumour.sender, now_s)
        if self._is_local(rumour.sender):
            for entry in rumour.members:
                effects += self._merge(entry, now_s)
        for leaving in rumour.leaving:
            effects += self.learn_leaving(leaving, rumour.sender, now_s)
        return effects

    def learn_leaving(
        self, leaving: LeavingTarget, sender: MemberEntry | None, now_s: float
    ) -> list[NodeEffect]:
        """Take in that a target leaves, and tell others if that is news.

        Parameters
        ----------
        sender : MemberEntry or None
            Who said so; None when this instance found it out.
        """
        if leaving in self.leaving:
            return []
        self._forget_oldest(leaving.target)
        self.leaving[leaving] = KnownLeaving(leaving, now_s)
        effects: list[NodeEffect] = [
            Emit(TargetLeaving(leaving.target, leaving.incarnation))
        ]
        rumour = Rumour(self.membership.own, leaving=(leaving,))
        if sender is None or not self._is_local(sender):
            effects += self._to_own_data_centre(rumour, now_s)
        if sender is None:
            # An instance that is dead may not be known to be.
            contacts = self.summaries.contacts().values()
            found = [entry for entries in contacts for entry in entries]
            effects += [SendPeer(entry.address, rumour) for entry in found]
        return effects

    def spread_head(self, head: Head, now_s: float) -> list[NodeEffect]:
        """Tell a few peers, and other data centres, of a head in force here."""
        rumour = Rumour(self.membership.own, head=head)
        peers = [m.entry for m in self._reachable(now_s)]
        chosen = self._rng.sample(peers, min(RUMOUR_PEERS, len(peers)))
        effects: list[NodeEffect] = [SendPeer(e.address, rumour) for e in chosen]
        if self.is_bridge(now_s):
            effects += self._to_data_centres(rumour)
        return effects

    def leave(self, state: MemberState, now_s: float) -> list[NodeEffect]:
        """Tell every peer that this instance stops."""
        self.membership.leave(state)
        own = self.membership.own
        return self._to_own_data_centre(Rumour(own, members=(own,)), now_s)

    def _forget_oldest(self, target: str) -> None:
        """Keep the last few leaving incarnations of a target."""
        known = [leaving for leaving in self.leaving if leaving.target == target]
        for leaving in known[: 1 - KEPT_INCARNATIONS]:
            del self.leaving[leaving]

    def _meet(self, sender: MemberEntry, now_s: float) -> list[NodeEffect]:
        """Note the sender of a message."""
        if self._is_local(sender):
            return self._merge(sender, now_s)
        self.summaries.contact(sender)
        return []

    def _merge(self, entry: MemberEntry, now_s: float) -> list[NodeEffect]:
        """Merge a member; pass on at once that it leaves."""
        news = self.membership.merge(entry, now_s)
        if not news or entry.state is MemberState.ALIVE:
            return []
        peers = [m.entry for m in self._reachable(now_s)]
        chosen = self._rng.sample(peers, min(RUMOUR_PEERS, len(peers)))
        rumour = Rumour(self.membership.own, members=(entry,))
        return [SendPeer(peer.address, rumour) for peer in chosen]

    def _point(self, entries: tuple[MemberEntry, ...]) -> None:
        """Note where another data centre has heard of instances of this one."""
        for entry in entries:
            if entry.address and self._is_local(entry) and self._is_unknown(entry):
                self._pointed[entry.name] = entry.address
        while len(self._pointed) > MAX_POINTED:
            del self._pointed[next(iter(self._pointed))]

    def _is_local(self, entry: MemberEntry) -> bool:
        return entry.data_centre == self.membership.own.data_centre

    def _is_unknown(self, entry: MemberEntry) -> bool:
        own = self.membership.own.name
        return entry.name != own and entry.name not in self.membership.members

    def _reachable(self, now_s: float) -> list[Member]:
        return self.membership.named(
            Liveness.ALIVE, Liveness.SUSPECT, Liveness.LEAVING, now_s=now_s
        )

    def _round(self, head: Head | None, now_s: float) -> list[NodeEffect]:
        gossip = self._gossip(head, now_s)
        peers = [m.entry for m in self._reachable(now_s)]
        chosen = self._rng.sample(peers, min(GOSSIP_PEERS, len(peers)))
        effects: list[NodeEffect] = [SendPeer(e.address, gossip) for e in chosen]
        suspects = self.membership.named(Liveness.SUSPECT, now_s=now_s)
        asking = [member.entry.address for member in suspects[:1]]
        if not peers or self._rng.random() < RECOVERY_SHARE:
            asking += self._recovery_address(now_s)
        question = replace(self._gossip(head, now_s, full=True), wants_answer=True)
        effects += [SendPeer(address, question) for address in asking]
        return effects

    def _recovery_address(self, now_s: float) -> list[str]:
        """Return one address of an instance that is not heard of, if any."""
        known = {m.entry.address for m in self._reachable(now_s)}
        dead = self.membership.named(Liveness.DEAD, now_s=now_s)
        listed = [e.address for e in self._listed if self._is_local(e)]
        told = [*self._seeds, *self._pointed.values(), *listed]
        found = {*told, *(member.entry.address for member in dead)} - known
        found.discard(self.membership.own.address)
        return [self._rng.choice(sorted(found))] if found else []

    def _bridge_round(self, head: Head | None, now_s: float) -> list[NodeEffect]:
        contacts = self.summaries.contacts()
        if not contacts:
            return []
        data_centre = self._rng.choice(sorted(contacts))
        contact = self._rng.choice(contacts[data_centre])
        gossip = self._gossip(head, now_s)
        summaries = (self.summary(head, now_s), *gossip.summaries)
        gossip = replace(gossip, members=(), summaries=summaries, wants_answer=True)
        return [SendPeer(contact.address, gossip)]

    def summary(self, head: Head | None, now_s: float) -> DataCentreSummary:
        """Return what there is to tell of the own data centre."""
        bridges = self.membership.chosen("bridge", BRIDGES, now_s)
        serving = self.membership.serving(now_s)
        return self.summaries.of_own(self.membership.own, serving, bridges, head)

    def _gossip(self, head: Head | None, now_s: float, full: bool = False) -> Gossip:
        """Return a round; ``full`` gives the address of every member."""
        entries = []
        for member in self.membership.members.values():
            if now_s - member.heard_s >= DEAD_AFTER_S:
                continue
            fresh = now_s - member.learned_s < TOLD_ADDRESS_S
            address = member.entry.address if full or fresh else ""
            entries.append(replace(member.entry, address=address, data_centre=""))
        told = [
            known.leaving
            for known in self.leaving.values()
            if now_s - known.learned_s < TOLD_LEAVING_S
        ]
        return Gossip(
            sender=self.membership.own,
            members=tuple(entries),
            summaries=self.summaries.next_told(),
            leaving=tuple(told[-MAX_TOLD_LEAVING:]),
            head=head,
        )

    def _to_own_data_centre(
        self, message: PeerMessage, now_s: float
    ) -> list[NodeEffect]:
        return [SendPeer(m.entry.address, message) for m in self._reachable(now_s)]

    def _to_data_centres(self, message: PeerMessage) -> list[NodeEffect]:
        """Send to one contact in each of a few other data centres."""
        contacts = self.summaries.contacts()
        names = sorted(contacts)
        names = self._rng.sample(names, min(RUMOUR_DATA_CENTRES, len(names)))
        return [
            SendPeer(self._rng.choice(contacts[name]).address, message)
            for name in names
        ]
