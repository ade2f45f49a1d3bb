"""Which instances of the own data centre run, and who stands for it.

A member tells a heartbeat that rises. One whose heartbeat is not heard to
rise is suspected, probed directly, and only then taken for dead. Leaving is
sticky for an incarnation. Liveness decides who does work that all could do;
nothing that has to be agreed on rests on it.
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
BRIDGES = 3


class Liveness(enum.Enum):
    """What an instance takes another one for."""

    ALIVE = "alive"
    SUSPECT = "suspect"
    LEAVING = "leaving"
    DEAD = "dead"


@dataclass(frozen=True)
class Member:
    """An instance as this one knows it.

    Attributes
    ----------
    heard_s : float
        When its heartbeat was last heard to rise.
    learned_s : float
        When this incarnation was first heard of.
    """

    entry: MemberEntry
    heard_s: float
    learned_s: float

    def liveness(self, now_s: float) -> Liveness:
        """Return what to take the member for."""
        silent_s = now_s - self.heard_s
        if self.entry.state is MemberState.LEFT or silent_s >= DEAD_AFTER_S:
            return Liveness.DEAD
        if self.entry.state is MemberState.LEAVING:
            return Liveness.LEAVING
        return Liveness.SUSPECT if silent_s >= SUSPECT_AFTER_S else Liveness.ALIVE


class Membership:
    """The members of one data centre, this instance among them.

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

    def beat(self, generation: int) -> None:
        """Raise the own heartbeat."""
        self._own = replace(
            self._own, heartbeat=self._own.heartbeat + 1, generation=generation
        )

    def leave(self, state: MemberState = MemberState.LEAVING) -> None:
        """Tell the others that this instance stops."""
        self._own = replace(self._own, state=state, heartbeat=self._own.heartbeat + 1)

    def merge(self, entry: MemberEntry, now_s: float) -> bool:
        """Take in what is told of an instance; return whether it is news.

        News are a member, an incarnation or a state that was not known.
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
        return self._merge_same(known, entry, now_s)

    def drop_forgotten(self, now_s: float) -> None:
        """Forget members that have been silent for long."""
        for name, member in list(self._members.items()):
            if now_s - member.heard_s >= FORGET_AFTER_S:
                del self._members[name]

    def named(self, *wanted: Liveness, now_s: float) -> list[Member]:
        """Return the other members of the given liveness, by name."""
        return [
            member
            for _, member in sorted(self._members.items())
            if member.liveness(now_s) in wanted
        ]

    def serving(self, now_s: float) -> list[MemberEntry]:
        """Return the entries of the instances that take work, the own among them."""
        found = [m.entry for m in self.named(Liveness.ALIVE, now_s=now_s)]
        if self._own.state is MemberState.ALIVE:
            found.append(self._own)
        return found

    def chosen(self, duty: str, count: int, now_s: float) -> list[MemberEntry]:
        """Return who does a duty, best first, by rendezvous hashing."""
        return sorted(
            self.serving(now_s),
            key=lambda entry: _score(duty, entry.name),
        )[:count]

    def _merge_same(self, known: Member, entry: MemberEntry, now_s: float) -> bool:
        """Merge an entry of the known incarnation."""
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
        """Outlive what is told of an earlier start of this instance."""
        own = self._own
        older = entry.incarnation < own.incarnation
        said = entry.incarnation == own.incarnation and entry.state <= own.state
        if not older and not said:
            self._own = replace(own, incarnation=entry.incarnation + 1)


@functools.lru_cache(maxsize=4096)
def _score(duty: str, name: str) -> int:
    return xxhash.xxh3_64_intdigest(f"{duty}/{name}".encode())
