"""Chooses the target of a request among those that can serve it.

Targets have few slots and serve many short requests and streams. The cost of a
target grows with its running requests, including those of other instances, and
with the prompts that it has yet to read; for a request whose work is known, also with
the work that is left there. Targets in another data centre and targets whose requests
recently failed cost more.
"""

from __future__ import annotations

import random
from collections import Counter
from collections.abc import Iterable, Iterator, Mapping
from dataclasses import replace

from marjoramstage.coordination.prefill_backlog import PrefillBacklog
from marjoramstage.coordination.request_permits import RequestPermits
from marjoramstage.coordination.target_assessment import (
    Assessment,
    Exclusion,
    TargetCost,
)
from marjoramstage.coordination.target_backlog import Outlook, TargetBacklog
from marjoramstage.coordination.target_criteria import HolderCounts, TargetCriteria
from marjoramstage.coordination.target_health import TargetHealth
from marjoramstage.coordination.target_notices import TargetNotices
from marjoramstage.state.fleet import FleetTarget, Item

# Costs are relative to a target with requests in all of its slots, which costs 1.
REMOTE_DATA_CENTRE_COST = 0.15
FAILURE_COST = 1.5
# Cost of each second that a target needs to read the prompts sent to it.
PREFILL_COST_PER_S = 3.0
# Reports of this instance whose counts are kept until a view includes them.
MAX_KEPT_REPORTS = 32
# Random cost that keeps instances from all choosing the same target.
COST_JITTER = 0.03
# Gain of a target that named a limit and now admits a request: of equal targets it is
# chosen, as its permit would expire.
PERMIT_GAIN = COST_JITTER
# Requests that a target may queue beyond its slots, as a share of the slots.
MAX_QUEUED_SHARE = 0.25


class ServableItems:
    """Items that requests may be sent for at each target.

    What the holder of the placement lease announced takes precedence over the
    platform's list of targets: the holder knows which replicas are about to be
    unloaded and which adapters have just been loaded.
    """

    def __init__(self):
        self._announced: dict[str, tuple[int, frozenset[Item]]] = {}

    def update(self, target: str, incarnation: int, items: frozenset[Item]) -> None:
        """Record what the holder announced for a target."""
        self._announced[target] = (incarnation, items)

    def holds(self, target: FleetTarget, item: Item) -> bool:
        """Whether requests for an item may be sent to a target."""
        announced = self._announced.get(target.name)
        if announced is not None and announced[0] == target.incarnation:
            items = announced[1]
        else:
            items = target.items or frozenset()
        return item in items and (not item.adapter or item.base in items)

    def retain(self, names: Iterable[str]) -> None:
        """Drop the announcements for all targets but these."""
        keep = set(names)
        for name in [name for name in self._announced if name not in keep]:
            del self._announced[name]


class RunningRequests:
    """Running requests at each target, from this and the other instances."""

    def __init__(self):
        self.local: Counter[tuple[str, Item | None]] = Counter()
        self._local_by_target: Counter[str] = Counter()
        self._reported: dict[int, dict[str, int]] = {0: {}}
        self._running_elsewhere: dict[str, int] = {}

    def begin(self, target: str, item: Item | None) -> None:
        """Record that a request is sent."""
        self.local[target, item] += 1
        self._local_by_target[target] += 1

    def end(self, target: str, item: Item | None) -> None:
        """Record that a request has ended."""
        self.local[target, item] -= 1
        self._local_by_target[target] -= 1
        if self.local[target, item] <= 0:
            del self.local[target, item]
        if self._local_by_target[target] <= 0:
            del self._local_by_target[target]

    def mark_reported(self, sequence: int) -> None:
        """Record that the counts of this instance go out in a report."""
        self._reported[sequence] = dict(self._local_by_target)
        while len(self._reported) > MAX_KEPT_REPORTS:
            del self._reported[min(self._reported)]

    def set_running(self, running: Mapping[str, int], sequence: int = 0) -> None:
        """Replace the counts of the other instances' requests, by target.

        Parameters
        ----------
        running : Mapping
            Counts of all instances.
        sequence : int
            Number of this instance's report that they include. 0 stands for the
            last one, which is also assumed for a report that is no longer kept.
        """
        last = self._reported[max(self._reported)]
        own = self._reported.get(sequence, last) if sequence else last
        self._running_elsewhere = {
            target: max(0, count - own.get(target, 0))
            for target, count in running.items()
        }

    def running(self, target: str) -> int:
        """Return the number of requests at a target, from all instances."""
        # Not by index: a counter looks up a missing key much more slowly.
        local = self._local_by_target.get(target, 0)
        return local + self._running_elsewhere.get(target, 0)


def _runs(target: FleetTarget, software: str | None) -> bool:
    """Whether a target runs a version of the program."""
    return software is None or (software != "" and target.software == software)


class Dispatcher:
    """Chooses targets for the requests of one instance.

    Parameters
    ----------
    data_centre : str
        Data centre of this instance.
    notices : TargetNotices
        What targets said of themselves to this instance.
    permits : RequestPermits, optional
        Permits for targets that named a limit on the rate of requests.
    backlog : TargetBacklog, optional
        Outstanding work of targets, for requests whose work is known.
    """

    def __init__(
        self,
        data_centre: str,
        servable_items: ServableItems,
        running_requests: RunningRequests,
        health: TargetHealth,
        prefill_backlog: PrefillBacklog,
        rng: random.Random,
        notices: TargetNotices | None = None,
        permits: RequestPermits | None = None,
        backlog: TargetBacklog | None = None,
    ):
        self._data_centre = data_centre
        self._servable_items = servable_items
        self._running_requests = running_requests
        self._health = health
        self._prefill_backlog = prefill_backlog
        self._rng = rng
        self._notices = notices or TargetNotices()
        self._permits = permits
        self._backlog = backlog

    def eligible(
        self, criteria: TargetCriteria, targets: Iterable[FleetTarget], now_s: float
    ) -> list[FleetTarget]:
        """Return the reachable targets that can serve a request, full or not."""
        return [
            target
            for target in targets
            if target.service == criteria.service
            and self._unfit(criteria, target, now_s) is None
        ]

    def shortest_pause_s(
        self, criteria: TargetCriteria, targets: Iterable[FleetTarget], now_s: float
    ) -> float | None:
        """Return when the first target that asked for a pause takes requests again.

        Targets that the request was sent to before count too: its caller may come
        back to them.

        Returns
        -------
        float or None
            Time in seconds; None if no target that can serve the request pauses.
        """
        pauses_s = [
            self._notices.pause_left_s(target, now_s)
            for target in self._holders(criteria, targets)
        ]
        return min((pause_s for pause_s in pauses_s if pause_s > 0), default=None)

    def count_holders(
        self, criteria: TargetCriteria, targets: Iterable[FleetTarget]
    ) -> HolderCounts:
        """Count the targets that hold what a request requires, reachable or not."""
        holders = list(self._holders(replace(criteria, software=None), targets))
        same = sum(_runs(target, criteria.software) for target in holders)
        return HolderCounts(same, len(holders) - same)

    def choose(
        self, criteria: TargetCriteria, targets: Iterable[FleetTarget], now_s: float
    ) -> FleetTarget | None:
        """Return the target with the lowest cost and room, or None."""
        best: tuple[float, FleetTarget] | None = None
        outlook = self._outlook(criteria, targets, now_s)
        for target in targets:
            if target.service != criteria.service:
                continue
            if self._unfit(criteria, target, now_s) is not None:
                continue
            running = self._running_requests.running(target.name)
            if self._without_room(criteria, target, running, now_s, outlook):
                continue
            cost = self._cost(target, running, now_s, outlook).total
            cost += self._rng.random() * COST_JITTER
            if best is None or cost < best[0]:
                best = (cost, target)
        return best[1] if best else None

    def assess(
        self, criteria: TargetCriteria, targets: Iterable[FleetTarget], now_s: float
    ) -> list[Assessment]:
        """Return how each target of the service looks, as `choose` decides.

        The cheapest target without an exclusion comes first; `choose` may take one
        that costs up to `COST_JITTER` more.
        """
        outlook = self._outlook(criteria, targets, now_s)
        found = [
            self._assess(criteria, target, now_s, outlook)
            for target in targets
            if target.service == criteria.service
        ]
        found.sort(key=lambda a: (a.exclusion is not None, a.cost.total, a.target.name))
        return found

    def _assess(
        self,
        criteria: TargetCriteria,
        target: FleetTarget,
        now_s: float,
        outlook: Outlook | None,
    ) -> Assessment:
        running = self._running_requests.running(target.name)
        exclusion = self._unfit(criteria, target, now_s) or self._without_room(
            criteria, target, running, now_s, outlook
        )
        cached = work_s = None
        if outlook is not None:
            cached = outlook.cached_tokens(target)
            work_s = self._backlog.work_s(target.name, now_s)
        return Assessment(
            target,
            exclusion,
            running,
            self._cost(target, running, now_s, outlook),
            self._prefill_backlog.backlog_s(target.name, now_s),
            cached,
            work_s,
            self._notices.pause_left_s(target, now_s),
        )

    def _outlook(
        self, criteria: TargetCriteria, targets: Iterable[FleetTarget], now_s: float
    ) -> Outlook | None:
        if self._backlog is None or criteria.work is None:
            return None

        def is_holder(target: FleetTarget) -> bool:
            return (
                target.service == criteria.service
                and self._lacks(criteria, target) is None
            )

        return self._backlog.outlook(criteria.work, targets, is_holder, now_s)

    def _holders(
        self, criteria: TargetCriteria, targets: Iterable[FleetTarget]
    ) -> Iterator[FleetTarget]:
        """Yield the targets that have what a request requires."""
        for target in targets:
            if target.service != criteria.service:
                continue
            if self._lacks(criteria, target) is None:
                yield target

    def _lacks(self, criteria: TargetCriteria, target: FleetTarget) -> Exclusion | None:
        """Return what of a request's needs a target of its service doesn't have."""
        if target.leaving:
            return Exclusion.LEAVING
        item = criteria.item
        # First what rules out most targets of a large service.
        if item is not None and not self._holds(target, item):
            return Exclusion.NOT_HELD
        if not _runs(target, criteria.software):
            return Exclusion.VERSION
        return None

    def _unfit(
        self, criteria: TargetCriteria, target: FleetTarget, now_s: float
    ) -> Exclusion | None:
        """Return why a target of its service can't serve a request, full or not."""
        lacks = self._lacks(criteria, target)
        if lacks is not None:
            return lacks
        if target.name in criteria.tried:
            return Exclusion.TRIED
        if not self._health.is_reachable(target.name, now_s):
            return Exclusion.UNREACHABLE
        if self._notices.pause_left_s(target, now_s) > 0:
            return Exclusion.PAUSED
        return None

    def _without_room(
        self,
        criteria: TargetCriteria,
        target: FleetTarget,
        running: int,
        now_s: float,
        outlook: Outlook | None,
    ) -> Exclusion | None:
        """Return why a target that could serve a request doesn't get it now."""
        if running >= target.slots * (1 + MAX_QUEUED_SHARE):
            return Exclusion.FULL
        if now_s < criteria.pacing_deadline_s:
            tokens = criteria.tokens
            if outlook is not None:
                tokens = outlook.uncached_tokens(target)
            if not self._prefill_backlog.admits(
                target.name, tokens, criteria.pause_s, now_s
            ):
                return Exclusion.PREFILL
        if self._permits is not None and not self._permits.admits(target, now_s):
            return Exclusion.LIMIT
        return None

    def _holds(self, target: FleetTarget, item: Item) -> bool:
        return target.items is None or self._servable_items.holds(target, item)

    def _cost(
        self,
        target: FleetTarget,
        running: int,
        now_s: float,
        outlook: Outlook | None,
    ) -> TargetCost:
        """Return the cost of a target that runs so many requests."""
        busy = running / target.slots
        prefill_s = self._prefill_backlog.backlog_s(target.name, now_s)
        if outlook is not None:
            busy = outlook.busy(target, running)
            prefill_s += outlook.prefill_s(target)
        is_remote = target.data_centre != self._data_centre
        has_permit = self._permits is not None and self._permits.is_needed(target)
        return TargetCost(
            busy,
            PREFILL_COST_PER_S * prefill_s,
            REMOTE_DATA_CENTRE_COST if is_remote else 0.0,
            FAILURE_COST * self._health.failure_rate(target.name, now_s),
            -PERMIT_GAIN if has_permit else 0.0,
        )
