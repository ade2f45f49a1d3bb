"""Which version of a target's program began a stream.

What two versions write doesn't fit together, so a stream that its caller takes up
again has to go on at the version that began it. Each instance keeps the streams that
it relayed, and those that instances before it kept in the platform's store. Time is an
argument.
"""

from __future__ import annotations

import hashlib
from collections import OrderedDict, deque
from collections.abc import Iterable, Mapping

from marjoramstage.protocol.peers import BegunStreams

# Streams are taken up again within the time that their callers wait.
KEPT_S = 30.0
MAX_STREAMS = 20_000
# Of a stream's id only a digest is stored, in bytes.
DIGEST_BYTES = 6
# Streams that one report names, the newest ones.
MAX_BEGUN_STREAMS = 2000


def digest(request_id: str) -> str:
    """Return what stands for a stream in the platform's store."""
    return hashlib.blake2b(request_id.encode(), digest_size=DIGEST_BYTES).hexdigest()


class StreamOrigins:
    """The versions that began the streams that callers may take up."""

    def __init__(self):
        self._origins: OrderedDict[str, tuple[str, float]] = OrderedDict()
        self._stored: OrderedDict[str, str] = OrderedDict()
        self._begun: deque[tuple[float, str, str]] = deque(maxlen=MAX_BEGUN_STREAMS)

    def record(self, request_id: str, software: str, now_s: float) -> None:
        """Record the version that wrote events of a stream."""
        self._origins[request_id] = (software, now_s)
        self._origins.move_to_end(request_id)
        self._begun.append((now_s, request_id, software))
        while len(self._origins) > MAX_STREAMS or self._oldest_s() < now_s - KEPT_S:
            self._origins.popitem(last=False)

    def extend(self, request_id: str, now_s: float) -> None:
        """Keep the version of a known stream for the whole time from now on."""
        if request_id not in self._origins:
            return
        software, _ = self._origins[request_id]
        self._origins[request_id] = (software, now_s)
        self._origins.move_to_end(request_id)

    def find(self, request_id: str, now_s: float) -> str:
        """Return the version that began a stream; empty if it isn't known."""
        if not request_id:
            return ""
        software, recorded_s = self._origins.get(request_id, ("", now_s))
        if software and now_s - recorded_s <= KEPT_S:
            return software
        return self._stored.get(digest(request_id), "")

    def learn(self, origins: Mapping[str, Iterable[str]]) -> None:
        """Take over what was stored: digests of streams, by version.

        A digest that two versions have counts as unknown.
        """
        for software, digests in origins.items():
            for stored in digests:
                is_same = self._stored.get(stored, software) == software
                self._stored[stored] = software if is_same else ""
                self._stored.move_to_end(stored)
        while len(self._stored) > MAX_STREAMS:
            self._stored.popitem(last=False)

    def begun_since(self, since_s: float) -> tuple[BegunStreams, ...]:
        """Return the streams that began from a time on, by version."""
        found: dict[str, list[str]] = {}
        for begun_s, request_id, software in reversed(self._begun):
            if begun_s < since_s:
                break
            if software:
                found.setdefault(software, []).append(digest(request_id))
        return tuple(BegunStreams(name, tuple(of)) for name, of in found.items())

    def newest(self, count: int, now_s: float) -> dict[str, tuple[str, ...]]:
        """Return digests of the newest streams, by the version that began them."""
        found: dict[str, list[str]] = {}
        for request_id in list(self._origins)[-count:]:
            software, recorded_s = self._origins[request_id]
            if software and now_s - recorded_s <= KEPT_S:
                found.setdefault(software, []).append(digest(request_id))
        return {software: tuple(digests) for software, digests in found.items()}

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
        self._stored_services: set[str] = set()
        self._is_first = False

    def record(self, service: str, software: str, now_s: float) -> None:
        """Record that a target of a service runs, or ran until now, a version."""
        self._last_seen_s[service, software] = now_s

    def learn(self, versions: Mapping[str, Iterable[str]], now_s: float) -> None:
        """Take over what was stored: the versions of each service."""
        for service, names in versions.items():
            self._stored_services.add(service)
            for software in names:
                self.record(service, software, now_s)

    def mark_first(self) -> None:
        """Record that no instance has served before this one was started."""
        self._is_first = True

    def is_complete(self, service: str, now_s: float) -> bool:
        """Whether no version that began a stream of late can be missing."""
        if self._is_first or service in self._stored_services:
            return True
        return now_s - self._started_s >= KEPT_S

    def versions(
        self, service: str, present: Iterable[str], now_s: float
    ) -> tuple[str, ...]:
        """Return the versions of late, sorted.

        Parameters
        ----------
        present : iterable of str
            The versions of the service's present targets.
        """
        for key in [k for k, s in self._last_seen_s.items() if now_s - s > KEPT_S]:
            del self._last_seen_s[key]
        lately = {name for of, name in self._last_seen_s if of == service}
        return tuple(sorted(lately | set(present)))
