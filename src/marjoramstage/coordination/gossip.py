"""Gossip between instances: what is sent to which peers, and when.

Periodic gossip rounds carry heartbeats and repair lost messages. Changes (a new
head, a leaving target or instance) are also sent at once as rumours: a head to
a few peers that pass it on, a leaving target or instance to every instance of
the data centre. A few instances of each data centre, its bridges, exchange
gossip with other data centres.
"""

from __future__ import annotations

import random
from dataclasses import dataclass, replace

from marjoramstage.coordination._data_centre_summaries import DataCentreSummaries
from marjoramstage.coordination.config_events import Emit, NodeEffect, SendPeer
from marjoramstage.coordination.membership import (
    BRIDGE_COUNT,
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

GOSSIP_INTERVAL_S = 1.0
GOSSIP_PEERS = 2
BRIDGE_INTERVAL_S = 2.0
RUMOUR_PEERS = 3
RUMOUR_DATA_CENTRES = 1
RECOVERY_PROBABILITY = 0.2
LEAVING_GOSSIP_S = 60.0
ADDRESS_GOSSIP_S = 15.0
MAX_LEAVING_PER_GOSSIP = 64
MAX_HINTED_ADDRESSES = 8
MAX_LEAVING_INCARNATIONS = 4


@dataclass(frozen=True)
class KnownLeaving:
    """A leaving target and the time at which this instance learned of it."""

    leaving: LeavingTarget
    learned_s: float


class Gossiper:
    """The gossip protocol of one instance.

    Parameters
    ----------
    own : MemberEntry
        Entry of this instance, with its address and data centre.
    seeds : tuple of str
        Initial peer addresses, of any data centre.
    rng : random.Random
        Random source for jitter and peer selection.
    """

    def __init__(
        self,
        own: MemberEntry,
        seeds: tuple[str, ...],
        rng: random.Random,
        now_s: float,
    ):
        self.membership = Membership(own)
        self.summaries = DataCentreSummaries(own.data_centre)
        self.leaving: dict[LeavingTarget, KnownLeaving] = {}
        self._seeds = tuple(seed for seed in seeds if seed != own.address)
        self._listed: tuple[MemberEntry, ...] = ()
        self._hinted_addresses: dict[str, str] = {}
        self._rng = rng
        self._next_round_s = now_s
        self._next_bridge_round_s = now_s

    def instances_listed(self, entries: tuple[MemberEntry, ...]) -> None:
        """Handle the platform's list of instances, which may be outdated."""
        own = self.membership.own
        self._listed = tuple(e for e in entries if e.name != own.name)
        for entry in self._listed:
            if entry.data_centre != own.data_centre:
                self.summaries.add_contact(entry)

    def tick(self, head: Head | None, now_s: float) -> list[NodeEffect]:
        """Send the gossip rounds that are due."""
        effects: list[NodeEffect] = []
        if now_s >= self._next_round_s:
            self._next_round_s = now_s + GOSSIP_INTERVAL_S * self._rng.uniform(0.8, 1.2)
            self.membership.raise_heartbeat(head.generation if head else 0)
            self.membership.forget_silent(now_s)
            effects += self._gossip_round(head, now_s)
        if now_s >= self._next_bridge_round_s and self.is_bridge(now_s):
            self._next_bridge_round_s = now_s + BRIDGE_INTERVAL_S * self._rng.uniform(
                0.8, 1.2
            )
            effects += self._bridge_round(head, now_s)
        return effects

    def is_bridge(self, now_s: float) -> bool:
        """Return whether this instance gossips with other data centres."""
        chosen = self.membership.select_for_duty("bridge", BRIDGE_COUNT, now_s)
        return self.membership.own.name in {entry.name for entry in chosen}

    def receive(
        self, gossip: Gossip, head: Head | None, now_s: float
    ) -> list[NodeEffect]:
        """Handle a gossip message; return the answer if one is wanted."""
        effects = self._note_sender(gossip.sender, now_s)
        unknown = False
        if self._is_local(gossip.sender):
            for entry in gossip.members:
                effects += self._merge(entry, now_s)
                unknown = unknown or self._is_unknown(entry)
        else:
            self._note_hints(gossip.members)
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
        """Handle a rumour; its head, if any, is handled by the distributor."""
        effects = self._note_sender(rumour.sender, now_s)
        if self._is_local(rumour.sender):
            for entry in rumour.members:
                effects += self._merge(entry, now_s)
        for leaving in rumour.leaving:
            effects += self.learn_leaving(leaving, rumour.sender, now_s)
        return effects

    def learn_leaving(
        self, leaving: LeavingTarget, sender: MemberEntry | None, now_s: float
    ) -> list[NodeEffect]:
        """Record that a target is leaving, and tell peers if this is new.

        Parameters
        ----------
        sender : MemberEntry or None
            Peer that sent it; None if this instance detected it itself.
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
            effects += self._send_to_data_centre(rumour, now_s)
        if sender is None:
            # Some contacts may be dead without this being known yet, so tell all.
            contacts = self.summaries.contacts().values()
            found = [entry for entries in contacts for entry in entries]
            effects += [SendPeer(entry.address, rumour) for entry in found]
        return effects

    def announce_head(self, head: Head, now_s: float) -> list[NodeEffect]:
        """Send the head in force here to a few peers and other data centres."""
        rumour = Rumour(self.membership.own, head=head)
        peers = [m.entry for m in self._reachable(now_s)]
        chosen = self._rng.sample(peers, min(RUMOUR_PEERS, len(peers)))
        effects: list[NodeEffect] = [SendPeer(e.address, rumour) for e in chosen]
        if self.is_bridge(now_s):
            effects += self._send_to_other_data_centres(rumour)
        return effects

    def leave(self, state: MemberState, now_s: float) -> list[NodeEffect]:
        """Tell every peer of the data centre that this instance is stopping."""
        self.membership.leave(state)
        own = self.membership.own
        return self._send_to_data_centre(Rumour(own, members=(own,)), now_s)

    def _forget_oldest(self, target: str) -> None:
        """Keep only the last few leaving incarnations of a target."""
        known = [leaving for leaving in self.leaving if leaving.target == target]
        for leaving in known[: 1 - MAX_LEAVING_INCARNATIONS]:
            del self.leaving[leaving]

    def _note_sender(self, sender: MemberEntry, now_s: float) -> list[NodeEffect]:
        """Record the sender of a message as a member or contact."""
        if self._is_local(sender):
            return self._merge(sender, now_s)
        self.summaries.add_contact(sender)
        return []

    def _merge(self, entry: MemberEntry, now_s: float) -> list[NodeEffect]:
        """Merge a member entry; forward it at once if the member is leaving."""
        changed = self.membership.merge(entry, now_s)
        if not changed or entry.state is MemberState.ALIVE:
            return []
        peers = [m.entry for m in self._reachable(now_s)]
        chosen = self._rng.sample(peers, min(RUMOUR_PEERS, len(peers)))
        rumour = Rumour(self.membership.own, members=(entry,))
        return [SendPeer(peer.address, rumour) for peer in chosen]

    def _note_hints(self, entries: tuple[MemberEntry, ...]) -> None:
        """Record addresses of unknown members from another data centre."""
        for entry in entries:
            if entry.address and self._is_local(entry) and self._is_unknown(entry):
                self._hinted_addresses[entry.name] = entry.address
        while len(self._hinted_addresses) > MAX_HINTED_ADDRESSES:
            del self._hinted_addresses[next(iter(self._hinted_addresses))]

    def _is_local(self, entry: MemberEntry) -> bool:
        return entry.data_centre == self.membership.own.data_centre

    def _is_unknown(self, entry: MemberEntry) -> bool:
        own = self.membership.own.name
        return entry.name != own and entry.name not in self.membership.members

    def _reachable(self, now_s: float) -> list[Member]:
        return self.membership.with_liveness(
            Liveness.ALIVE, Liveness.SUSPECT, Liveness.LEAVING, now_s=now_s
        )

    def _gossip_round(self, head: Head | None, now_s: float) -> list[NodeEffect]:
        gossip = self._gossip(head, now_s)
        peers = [m.entry for m in self._reachable(now_s)]
        chosen = self._rng.sample(peers, min(GOSSIP_PEERS, len(peers)))
        effects: list[NodeEffect] = [SendPeer(e.address, gossip) for e in chosen]
        suspects = self.membership.with_liveness(Liveness.SUSPECT, now_s=now_s)
        pull_addresses = [member.entry.address for member in suspects[:1]]
        if not peers or self._rng.random() < RECOVERY_PROBABILITY:
            pull_addresses += self._recovery_address(now_s)
        pull = replace(self._gossip(head, now_s, full=True), wants_answer=True)
        effects += [SendPeer(address, pull) for address in pull_addresses]
        return effects

    def _recovery_address(self, now_s: float) -> list[str]:
        """Return the address of one instance without contact, if there is any.

        Contacting such instances lets a healed partition merge again.
        """
        known = {m.entry.address for m in self._reachable(now_s)}
        dead = self.membership.with_liveness(Liveness.DEAD, now_s=now_s)
        listed = [e.address for e in self._listed if self._is_local(e)]
        hinted = [*self._seeds, *self._hinted_addresses.values(), *listed]
        found = {*hinted, *(member.entry.address for member in dead)} - known
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
        """Return the summary of the own data centre."""
        bridges = self.membership.select_for_duty("bridge", BRIDGE_COUNT, now_s)
        serving = self.membership.serving(now_s)
        return self.summaries.own_summary(self.membership.own, serving, bridges, head)

    def _gossip(self, head: Head | None, now_s: float, full: bool = False) -> Gossip:
        """Build a gossip message; ``full`` includes every member's address."""
        entries = []
        for member in self.membership.members.values():
            if now_s - member.heard_s >= DEAD_AFTER_S:
                continue
            fresh = now_s - member.learned_s < ADDRESS_GOSSIP_S
            address = member.entry.address if full or fresh else ""
            entries.append(replace(member.entry, address=address, data_centre=""))
        leaving = [
            known.leaving
            for known in self.leaving.values()
            if now_s - known.learned_s < LEAVING_GOSSIP_S
        ]
        return Gossip(
            sender=self.membership.own,
            members=tuple(entries),
            summaries=self.summaries.next_batch(),
            leaving=tuple(leaving[-MAX_LEAVING_PER_GOSSIP:]),
            head=head,
        )

    def _send_to_data_centre(
        self, message: PeerMessage, now_s: float
    ) -> list[NodeEffect]:
        return [SendPeer(m.entry.address, message) for m in self._reachable(now_s)]

    def _send_to_other_data_centres(self, message: PeerMessage) -> list[NodeEffect]:
        """Send to one contact in each of a few random other data centres."""
        contacts = self.summaries.contacts()
        names = sorted(contacts)
        names = self._rng.sample(names, min(RUMOUR_DATA_CENTRES, len(names)))
        return [
            SendPeer(self._rng.choice(contacts[name]).address, message)
            for name in names
        ]
