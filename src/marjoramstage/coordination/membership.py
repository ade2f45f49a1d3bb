"""Membership of the own data centre, and assignment of shared duties.

Each member gossips an increasing heartbeat counter. A member whose heartbeat
stops increasing is suspected, probed directly, and only then considered dead.
The leaving state is sticky for an incarnation. Liveness only decides which
instance does work that any of them could do; nothing that needs agreement
depends on it.
"""

from __future__ import annotations

import enum
import functools
from dataclasses import dataclass, replace

import xxhash

from marjoramstage.protocol.peers import MemberEntry, MemberState

SUSPECT_AFTER_S = 4.0
DEAD_AFTER_S = 8.0
FORGET_AFTER_S = 60.0
BRIDGE_COUNT = 3


class Liveness(enum.Enum):
    """Liveness of a peer as judged by this instance."""

    ALIVE = "alive"
    SUSPECT = "suspect"
    LEAVING = "leaving"
    DEAD = "dead"


@dataclass(frozen=True)
class Member:
    """A peer instance as known to this one.

    Attributes
    ----------
    heard_s : float
        When its heartbeat was last seen to increase.
    learned_s : float
        When this incarnation was first seen.
    """

    entry: MemberEntry
    heard_s: float
    learned_s: float

    def liveness(self, now_s: float) -> Liveness:
        """Return the liveness of the member."""
        silent_s = now_s - self.heard_s
        if self.entry.state is MemberState.LEFT or silent_s >= DEAD_AFTER_S:
            return Liveness.DEAD
        if self.entry.state is MemberState.LEAVING:
            return Liveness.LEAVING
        return Liveness.SUSPECT if silent_s >= SUSPECT_AFTER_S else Liveness.ALIVE


class Membership:
    """The members of one data centre, including this instance.

    Parameters
    ----------
    own : MemberEntry
        Entry of this instance, with its address and data centre.
    """

    def __init__(self, own: MemberEntry):
        self._own = own
        self._members: dict[str, Member] = {}

    @property
    def own(self) -> MemberEntry:
        """Entry of this instance."""
        return self._own

    @property
    def members(self) -> dict[str, Member]:
        """Other instances of the data centre, by name."""
        return self._members

    def raise_heartbeat(self, generation: int) -> None:
        """Increment the own heartbeat."""
        self._own = replace(
            self._own, heartbeat=self._own.heartbeat + 1, generation=generation
        )

    def leave(self, state: MemberState = MemberState.LEAVING) -> None:
        """Mark this instance as leaving, or as left."""
        self._own = replace(self._own, state=state, heartbeat=self._own.heartbeat + 1)

    def merge(self, entry: MemberEntry, now_s: float) -> bool:
        """Merge an entry; return whether it changes what is known.

        Changes are a new member, incarnation or state, but not a heartbeat.
        """
        if entry.name == self._own.name:
            self._refute(entry)
            return False
        entry = replace(entry, data_centre=self._own.data_centre)
        known = self._members.get(entry.name)
        if known is None or entry.incarnation > known.entry.incarnation:
            if not entry.address and known is None:
                return False
            address = entry.address or known.entry.address
            entry = replace(entry, address=address)
            self._members[entry.name] = Member(entry, now_s, now_s)
            return True
        if entry.incarnation < known.entry.incarnation:
            return False
        return self._merge_same_incarnation(known, entry, now_s)

    def forget_silent(self, now_s: float) -> None:
        """Remove members without a heartbeat for `FORGET_AFTER_S`."""
        for name, member in list(self._members.items()):
            if now_s - member.heard_s >= FORGET_AFTER_S:
                del self._members[name]

    def with_liveness(self, *wanted: Liveness, now_s: float) -> list[Member]:
        """Return the other members with any of these states, sorted by name."""
        return [
            member
            for _, member in sorted(self._members.items())
            if member.liveness(now_s) in wanted
        ]

    def serving(self, now_s: float) -> list[MemberEntry]:
        """Return the entries of the serving instances, including this one."""
        found = [m.entry for m in self.with_liveness(Liveness.ALIVE, now_s=now_s)]
        if self._own.state is MemberState.ALIVE:
            found.append(self._own)
        return found

    def select_for_duty(self, duty: str, count: int, now_s: float) -> list[MemberEntry]:
        """Return the instances for a duty by rendezvous hashing, best first."""
        return sorted(
            self.serving(now_s),
            key=lambda entry: _score(duty, entry.name),
        )[:count]

    def _merge_same_incarnation(
        self, known: Member, entry: MemberEntry, now_s: float
    ) -> bool:
        """Merge an entry of the incarnation that is already known."""
        state = max(known.entry.state, entry.state)
        newer = entry.heartbeat > known.entry.heartbeat
        if not newer and state is known.entry.state:
            return False
        latest = entry if newer else known.entry
        merged = replace(
            latest,
            state=state,
            address=latest.address or known.entry.address,
            generation=max(known.entry.generation, entry.generation),
        )
        heard_s = now_s if newer else known.heard_s
        self._members[entry.name] = Member(merged, heard_s, known.learned_s)
        return state is not known.entry.state

    def _refute(self, entry: MemberEntry) -> None:
        """Raise the own incarnation above one that peers wrongly hold.

        This happens if an earlier process of this instance had a higher
        incarnation, or the current one is reported in a later state.
        """
        own = self._own
        older = entry.incarnation < own.incarnation
        said = entry.incarnation == own.incarnation and entry.state <= own.state
        if not older and not said:
            self._own = replace(own, incarnation=entry.incarnation + 1)


@functools.lru_cache(maxsize=4096)
def _score(duty: str, name: str) -> int:
    return xxhash.xxh3_64_intdigest(f"{duty}/{name}".encode())
