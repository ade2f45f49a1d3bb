"""Which parts can reach each other, and how long a message takes."""

from __future__ import annotations

from marjoramstage.bench._references import PLATFORM
from marjoramstage.bench.trace import Header

PEERS = "peers"
SAME_DATA_CENTRE_S = 0.0002
OTHER_DATA_CENTRE_S = 0.0015


class Links:
    """Fixed one-way delays, and the cuts that are in force.

    ``peers:NAME`` cuts a data centre from the others alone, ``platform:NAME``
    from the platform alone. A cut of a data centre parts it from the other
    data centres and from the platform; a cut of an instance or a target parts
    it from everything; a cut of the platform parts it from every instance.
    """

    def __init__(self, header: Header):
        self._place = {part.name: part.data_centre for part in header.instances}
        self._place |= {part.name: part.data_centre for part in header.targets}
        self._cut: set[str] = set()

    def cut(self, what: str) -> None:
        """Part ``what`` from the rest."""
        self._cut.add(what)

    def heal(self, what: str) -> None:
        """Undo a cut."""
        self._cut.discard(what)

    def joined(self, one: str, other: str) -> bool:
        """Return whether two instances or targets reach each other."""
        if not self._cut or one == other:
            return True
        if one in self._cut or other in self._cut:
            return False
        place, other_place = self._place[one], self._place[other]
        if place == other_place:
            return True
        cuts = {place, other_place, f"{PEERS}:{place}", f"{PEERS}:{other_place}"}
        return self._cut.isdisjoint(cuts)

    def reaches_platform(self, instance: str) -> bool:
        """Return whether an instance reaches the platform."""
        if not self._cut:
            return True
        place = self._place[instance]
        return self._cut.isdisjoint({PLATFORM, instance, place, f"{PLATFORM}:{place}"})

    def delay_s(self, one: str, other: str) -> float:
        """Return the one-way delay between two parts, in seconds."""
        if self._place[one] == self._place[other]:
            return SAME_DATA_CENTRE_S
        return OTHER_DATA_CENTRE_S
