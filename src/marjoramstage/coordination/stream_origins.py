"""Which version of a target's program began a stream.

What two versions write doesn't fit together, so a stream that its caller takes up
again has to go on at the version that began it. Each instance keeps the streams
that it relayed; time is an argument.
"""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Iterable

# Streams are taken up again within the time that their callers wait.
KEPT_S = 30.0
MAX_STREAMS = 20_000


class StreamOrigins:
    """The versions that began the streams that this instance relayed lately."""

    def __init__(self):
        self._origins: OrderedDict[str, tuple[str, float]] = OrderedDict()

    def record(self, request_id: str, software: str, now_s: float) -> None:
        """Record the version that wrote events of a stream."""
        self._origins[request_id] = (software, now_s)
        self._origins.move_to_end(request_id)
        while len(self._origins) > MAX_STREAMS or self._oldest_s() < now_s - KEPT_S:
            self._origins.popitem(last=False)

    def find(self, request_id: str, now_s: float) -> str:
        """Return the version that began a stream; empty if it isn't known."""
        software, recorded_s = self._origins.get(request_id, ("", now_s))
        return software if now_s - recorded_s <= KEPT_S else ""

    def _oldest_s(self) -> float:
        return next(iter(self._origins.values()))[1]


class SoftwareHistory:
    """The versions that the targets of each service ran lately.

    Parameters
    ----------
    started_s : float
        Since when changes are recorded.
    """

    def __init__(self, started_s: float):
        self._started_s = started_s
        self._last_seen_s: dict[tuple[str, str], float] = {}

    def record(self, service: str, software: str, now_s: float) -> None:
        """Record that a target of a service runs, or ran until now, a version."""
        self._last_seen_s[service, software] = now_s

    def is_complete(self, now_s: float) -> bool:
        """Whether no version that began a stream of late can be missing."""
        return now_s - self._started_s >= KEPT_S

    def sole(self, service: str, present: Iterable[str], now_s: float) -> str:
        """Return the only version of late; empty if there are several or none.

        Parameters
        ----------
        present : iterable of str
            The versions of the service's present targets.
        """
        for key in [k for k, s in self._last_seen_s.items() if now_s - s > KEPT_S]:
            del self._last_seen_s[key]
        lately = {name for of, name in self._last_seen_s if of == service}
        versions = lately | set(present)
        return versions.pop() if len(versions) == 1 else ""
