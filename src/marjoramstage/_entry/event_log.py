"""Rate-limited, structured event log of an instance."""

from __future__ import annotations

from collections import Counter
from typing import Any

from marjoramstage.clock import Clock
from marjoramstage.logs import ComponentLogger

LINES_PER_S = 40
SAMPLE_EVERY = 50
# Characters of a text in a field; texts of other programs may have any length.
MAX_TEXT_CHARS = 500
CUT_MARK = "…"


class EventLog:
    """Writes one structured log line for each event, up to a rate limit.

    Lines over the limit are dropped; the next line that is written carries their
    number as ``lines_dropped``. Long texts are cut.

    Parameters
    ----------
    sample_every : int
        `sampled` writes the first of every ``sample_every`` events of a name.
    """

    def __init__(
        self,
        log: ComponentLogger,
        clock: Clock,
        lines_per_s: int = LINES_PER_S,
        sample_every: int = SAMPLE_EVERY,
    ):
        self._log = log
        self._clock = clock
        self._lines_per_s = lines_per_s
        self._sample_every = sample_every
        self._second = 0
        self._lines_this_second = 0
        self._lines_dropped = 0
        self._counts: Counter[str] = Counter()

    def event(self, name: str, **fields: Any) -> None:
        """Write a line unless the limit for the current second is reached."""
        second = int(self._clock.now())
        if second != self._second:
            self._second, self._lines_this_second = second, 0
        if self._lines_this_second >= self._lines_per_s:
            self._lines_dropped += 1
            return
        self._lines_this_second += 1
        self._write(name, fields)

    def summary(self, name: str, **fields: Any) -> None:
        """Write a line regardless of the limit.

        For lines that are written at a fixed interval of seconds: they matter most
        while others are dropped.
        """
        self._write(name, fields)

    def sampled(self, name: str, **fields: Any) -> None:
        """Write a line for one in ``sample_every`` events of this name."""
        self._counts[name] += 1
        if self._counts[name] % self._sample_every == 1:
            self.event(name, seen=self._counts[name], **fields)

    def _write(self, name: str, fields: dict[str, Any]) -> None:
        if self._lines_dropped:
            fields["lines_dropped"], self._lines_dropped = self._lines_dropped, 0
        bounded = {field: _bounded(value) for field, value in fields.items()}
        self._log.info(name, extra=bounded)


def _bounded(value: Any) -> Any:
    """Return the value of a field with long texts cut, also those in a list."""
    if isinstance(value, str) and len(value) > MAX_TEXT_CHARS:
        return value[:MAX_TEXT_CHARS] + CUT_MARK
    if isinstance(value, list | tuple):
        return [_bounded(item) for item in value]
    return value
