"""The latest report of each live instance, summed up into demand.

Time is an argument. The sums cost processor time in proportion to the number of
instances, so with many of them they are formed less often.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable, Iterable, Mapping
from functools import lru_cache

from marjoramstage.coordination.demand_rates import RATE_SCALE
from marjoramstage.coordination.demand_snapshot import DemandSnapshot
from marjoramstage.coordination.peer_liveness import LIVE_S
from marjoramstage.protocol.peers import EntryReport
from marjoramstage.state.fleet import Item, ItemVersion

# Instances that have to fail to connect to a target before it counts as down.
UNREACHABLE_QUORUM = 2

# Time for which sums stay in use, for each instance that reports, in seconds.
SUMS_TTL_PER_INSTANCE_S = 0.0005

# How often each instance reports, in seconds: regularly, and at most after a
# request began to wait. With many instances the time grows with their number, so
# that the holder gets no more reports a second than it can read.
REPORT_INTERVAL_S = 0.2
REPORT_INTERVAL_PER_INSTANCE_S = 0.005
MIN_REPORT_INTERVAL_S = 0.03
MIN_REPORT_INTERVAL_PER_INSTANCE_S = 0.002

MAX_CACHED_KEYS = 8192


def report_interval_s(instances: int) -> float:
    """Return the time between two regular reports of an instance."""
    return max(REPORT_INTERVAL_S, REPORT_INTERVAL_PER_INSTANCE_S * instances)


def min_report_interval_s(instances: int) -> float:
    """Return the shortest time between two reports of an instance."""
    return max(MIN_REPORT_INTERVAL_S, MIN_REPORT_INTERVAL_PER_INSTANCE_S * instances)


class InstanceReports:
    """Reports of the instances, as the holder of the placement lease keeps them."""

    def __init__(self):
        self._reports: dict[str, tuple[float, EntryReport]] = {}
        self._demand: dict[str, DemandSnapshot] = {}
        self._sums_until_s = 0.0

    @property
    def addresses(self) -> tuple[str, ...]:
        """Addresses of the instances."""
        return tuple(report.address for _, report in self._reports.values())

    @property
    def sequences(self) -> dict[str, int]:
        """Number of the latest report of each instance."""
        return {name: report.sequence for name, (_, report) in self._reports.items()}

    def add(self, report: EntryReport, now_s: float) -> bool:
        """Store a report; return False if a newer one is known already."""
        if self._is_stale(report):
            return False
        self._reports[report.instance] = (now_s, report)
        return True

    def waiting_keys(self) -> set[str]:
        """Return the service and item, as one text, of all requests that wait."""
        return {key for _, report in self._reports.values() for key in report.waiting}

    def resuming_keys(self) -> set[str]:
        """Return the same with the version, for requests that resume a stream."""
        return {key for _, report in self._reports.values() for key in report.resuming}

    def running_by_target(self) -> Counter[str]:
        """Count the requests at each target."""
        found: Counter[str] = Counter()
        for _, report in self._reports.values():
            for key, count in report.running.items():
                found[key.partition(" ")[0]] += count
        return found

    def demand(
        self, services: Iterable[str], now_s: float
    ) -> Mapping[str, DemandSnapshot]:
        """Return the demand for each service, from the reports of live instances.

        Sums formed a short time ago are returned again, longer with more
        instances.
        """
        names = frozenset(services)
        if now_s < self._sums_until_s and names == self._demand.keys():
            return self._demand
        self._expire(now_s)
        self._sums_until_s = now_s + SUMS_TTL_PER_INSTANCE_S * len(self._reports)
        self._demand = self._sum(names)
        return self._demand

    def _is_stale(self, report: EntryReport) -> bool:
        """Whether a newer report of the same incarnation is known."""
        if report.instance not in self._reports:
            return False
        _, known = self._reports[report.instance]
        same_incarnation = known.incarnation == report.incarnation
        return same_incarnation and report.sequence <= known.sequence

    def _expire(self, now_s: float) -> None:
        for name, (heard_s, _) in list(self._reports.items()):
            if now_s - heard_s > LIVE_S:
                del self._reports[name]

    def _sum(self, services: frozenset[str]) -> dict[str, DemandSnapshot]:
        reports = [report for _, report in self._reports.values()]
        waiting = _sum_by_service(reports, lambda report: report.waiting)
        resuming = _sum_resuming(reports)
        fast = _sum_by_service(reports, lambda report: report.fast_rates)
        slow = _sum_by_service(reports, lambda report: report.slow_rates)
        latency_critical = _sum_by_service(reports, lambda r: r.pressing_rates)
        running: Counter[tuple[str, Item]] = Counter()
        unreachable_counts: Counter[str] = Counter()
        leaving: set[tuple[str, int]] = set()
        for report in reports:
            unreachable_counts.update(report.unreached)
            leaving.update(
                (t.target, int(t.incarnation))
                for t in report.leaving
                if t.incarnation.isdecimal()
            )
            for key, count in report.running.items():
                running[parse_key(key)] += count
        unreachable = frozenset(
            n for n, count in unreachable_counts.items() if count >= UNREACHABLE_QUORUM
        )
        return {
            name: DemandSnapshot(
                waiting.get(name, {}),
                running,
                _per_second(fast.get(name, {})),
                _per_second(slow.get(name, {})),
                _per_second(latency_critical.get(name, {})),
                unreachable,
                frozenset(leaving),
                resuming.get(name, {}),
            )
            for name in services
        }


@lru_cache(MAX_CACHED_KEYS)
def parse_key(text: str) -> tuple[str, Item]:
    """Parse ``NAME ITEM``, where NAME is that of a service or a target."""
    name, _, rest = text.partition(" ")
    model, _, adapter = rest.partition("/")
    return name, Item(model, adapter)


@lru_cache(MAX_CACHED_KEYS)
def parse_resuming_key(text: str) -> tuple[str, ItemVersion]:
    """Parse ``SERVICE ITEM VERSION``; a version may contain spaces."""
    name, _, rest = text.partition(" ")
    item, _, software = rest.partition(" ")
    return name, ItemVersion(parse_key(f"{name} {item}")[1], software)


def _sum_resuming(reports: Iterable[EntryReport]) -> dict[str, Counter[ItemVersion]]:
    """Sum the requests that resume streams by service, item and version."""
    found: dict[str, Counter[ItemVersion]] = {}
    for report in reports:
        for key, count in report.resuming.items():
            service, needed = parse_resuming_key(key)
            found.setdefault(service, Counter())[needed] += count
    return found


def _sum_by_service(
    reports: Iterable[EntryReport], counts_of: Callable[[EntryReport], Mapping]
) -> dict[str, Counter[Item]]:
    """Sum the counts of several instances by service and item."""
    by_key: Counter[str] = Counter()
    for report in reports:
        for key, count in counts_of(report).items():
            by_key[key] += count
    found: dict[str, Counter[Item]] = {}
    for key, count in by_key.items():
        service, item = parse_key(key)
        found.setdefault(service, Counter())[item] = count
    return found


def _per_second(counts: Mapping[Item, int]) -> dict[Item, float]:
    return {item: count / RATE_SCALE for item, count in counts.items()}
