"""The streams that all instances began, in slices of time.

The holder of the placement lease stores each slice as an object of its own, so that
each write is small. Time is an argument.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field

from marjoramstage.coordination.stream_origins import KEPT_S
from marjoramstage.protocol.peers import BegunStreams

SLICE_S = 3.0


@dataclass
class BegunSlice:
    """Streams that were reported within one slice of time.

    Attributes
    ----------
    number : int
        Number of the slice since the start of the clock.
    origins : dict
        Digests of streams, by the version that began them.
    changed : bool
        Whether the slice holds more than was stored of it.
    stored : bool
        Whether its object exists.
    version : str
        Of its object when it was last written.
    """

    number: int
    origins: dict[str, list[str]] = field(default_factory=dict)
    changed: bool = False
    stored: bool = False
    version: str = ""


class BegunSlices:
    """Collects reported streams; each is in one slice, however often it is reported."""

    def __init__(self):
        self._slices: dict[int, BegunSlice] = {}
        self._known: set[tuple[str, str]] = set()

    def record(self, begun: Iterable[BegunStreams], now_s: float) -> bool:
        """Record reported streams; return whether any is new."""
        found = False
        for streams in begun:
            for stream in streams.digests:
                key = streams.software, stream
                if key in self._known:
                    continue
                self._known.add(key)
                self._add(key, now_s)
                found = True
        return found

    def changed(self) -> list[BegunSlice]:
        """Return the slices that have to be stored."""
        return [found for found in self._slices.values() if found.changed]

    def expired(self, now_s: float) -> list[BegunSlice]:
        """Return the slices that no caller resumes streams of any more."""
        return [
            found
            for found in self._slices.values()
            if now_s - (found.number + 1) * SLICE_S > KEPT_S
        ]

    def remove(self, expired: BegunSlice) -> None:
        """Forget a slice."""
        del self._slices[expired.number]
        for software, streams in expired.origins.items():
            self._known.difference_update((software, stream) for stream in streams)

    def mark_unstored(self) -> None:
        """Store all slices again, as the store may have lost them."""
        for found in self._slices.values():
            found.changed = True
            found.stored = False

    def _add(self, key: tuple[str, str], now_s: float) -> None:
        number = int(now_s / SLICE_S)
        current = self._slices.setdefault(number, BegunSlice(number))
        software, stream = key
        current.origins.setdefault(software, []).append(stream)
        current.changed = True
