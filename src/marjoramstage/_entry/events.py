"""Log lines of an instance: fixed names, bounded volume."""

from __future__ import annotations

from collections import Counter
from typing import Any

from marjoramstage.clock import Clock
from marjoramstage.logs import PartLogger

LINES_PER_S = 40
SAMPLE_EVERY = 50


class EventLog:
    """Writes one structured line for an event, up to a rate.

    What is over the rate is counted, and the count is told with the next line.

    Parameters
    ----------
    sample_every : int
        One in so many events given to `sampled` gets its line.
    """

    def __init__(
        self,
        log: PartLogger,
        clock: Clock,
        lines_per_s: int = LINES_PER_S,
        sample_every: int = SAMPLE_EVERY,
    ):
        self._log = log
        self._clock = clock
        self._lines_per_s = lines_per_s
        self._sample_every = sample_every
        self._second = 0
        self._lines = 0
        self._dropped = 0
        self._seen: Counter[str] = Counter()

    def event(self, name: str, **fields: Any) -> None:
        """Write a line, unless this second has had its share."""
        second = int(self._clock.now())
        if second != self._second:
            self._second, self._lines = second, 0
        if self._lines >= self._lines_per_s:
            self._dropped += 1
            return
        self._lines += 1
        if self._dropped:
            fields["lines_dropped"], self._dropped = self._dropped, 0
        self._log.info(name, extra={"event": name, **fields})

    def sampled(self, name: str, **fields: Any) -> None:
        """Write a line for one event in many."""
        self._seen[name] += 1
        if self._seen[name] % self._sample_every == 1:
            self.event(name, seen=self._seen[name], **fields)
