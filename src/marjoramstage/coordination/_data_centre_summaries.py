"""DataCentreSummaries and contact instances of other data centres."""

from __future__ import annotations

from collections.abc import Iterable

from marjoramstage.protocol.peers import DataCentreSummary, Head, MemberEntry

SUMMARIES_PER_GOSSIP = 6
MAX_BEHIND = 8
MAX_CONTACTS = 4


class DataCentreSummaries:
    """The latest summary and a few contacts of each other data centre.

    Parameters
    ----------
    own : str
        The own data centre, whose summaries and contacts are not stored.
    """

    def __init__(self, own: str):
        self._own = own
        self._latest: dict[str, DataCentreSummary] = {}
        self._heard_s: dict[str, float] = {}
        self._contacts: dict[str, dict[str, MemberEntry]] = {}
        self._latest_versions: dict[tuple[str, str], tuple[int, int]] = {}
        self._next = 0

    def merge(self, summaries: Iterable[DataCentreSummary], now_s: float) -> None:
        """Store the summaries that are newer than their author's last."""
        for summary in summaries:
            if summary.data_centre == self._own:
                continue
            if not self._is_newer(summary):
                continue
            self._latest[summary.data_centre] = summary
            self._heard_s[summary.data_centre] = now_s
            for bridge in summary.bridges:
                self.add_contact(bridge)

    def add_contact(self, entry: MemberEntry) -> None:
        """Add an instance of another data centre as a contact."""
        if not entry.address or entry.data_centre in ("", self._own):
            return
        contacts = self._contacts.setdefault(entry.data_centre, {})
        contacts.pop(entry.name, None)
        contacts[entry.name] = entry
        while len(contacts) > MAX_CONTACTS:
            del contacts[next(iter(contacts))]

    def contacts(self) -> dict[str, list[MemberEntry]]:
        """Return the contacts by data centre."""
        return {name: list(found.values()) for name, found in self._contacts.items()}

    def known(self) -> list[tuple[DataCentreSummary, float]]:
        """Return each summary and the time it was received."""
        return [(s, self._heard_s[name]) for name, s in sorted(self._latest.items())]

    def next_batch(self) -> tuple[DataCentreSummary, ...]:
        """Return the next few summaries to pass on, in round-robin order."""
        names = sorted(self._latest)
        if not names:
            return ()
        start = self._next % len(names)
        count = min(SUMMARIES_PER_GOSSIP, len(names))
        self._next = start + count
        return tuple(
            self._latest[names[(start + i) % len(names)]] for i in range(count)
        )

    def own_summary(
        self,
        author: MemberEntry,
        serving: list[MemberEntry],
        bridges: list[MemberEntry],
        head: Head | None,
    ) -> DataCentreSummary:
        """Return the summary of the own data centre."""
        highest = head.generation if head else 0
        behind = [e.name for e in serving if e.generation < highest]
        lowest = min((e.generation for e in serving), default=highest)
        return DataCentreSummary(
            data_centre=self._own,
            author=author.name,
            incarnation=author.incarnation,
            heartbeat=author.heartbeat,
            live=len(serving),
            generation=lowest,
            behind=tuple(behind[:MAX_BEHIND]),
            bridges=tuple(bridges),
        )

    def _is_newer(self, summary: DataCentreSummary) -> bool:
        """Record a summary's version; return whether it is a newer one."""
        key = (summary.data_centre, summary.author)
        order = (summary.incarnation, summary.heartbeat)
        if order <= self._latest_versions.get(key, (-1, -1)):
            return False
        self._latest_versions[key] = order
        return True
