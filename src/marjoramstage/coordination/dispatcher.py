"""Chooses the target of a request among those that can serve it.

Targets have few slots and serve many short requests and streams. The cost of a
target grows with its running requests, including those of other instances, and
with the prompts that it has yet to read. Targets in another data centre and
targets whose requests recently failed cost more.
"""

from __future__ import annotations

import random
from collections import Counter
from collections.abc import Iterable, Iterator, Mapping
from dataclasses import dataclass, replace

from marjoramstage.coordination.prefill_backlog import PrefillBacklog
from marjoramstage.coordination.request_permits import RequestPermits
from marjoramstage.coordination.target_health import TargetHealth
from marjoramstage.coordination.target_notices import TargetNotices
from marjoramstage.state.fleet import FleetTarget, Item, ItemVersion

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


@dataclass(frozen=True)
class TargetCriteria:
    """What a request requires of its target.

    Attributes
    ----------
    tried : frozenset of str
        Targets that this request has been sent to before.
    tokens : int
        Size of its prompt, in tokens.
    pause_s : float
        Longest wanted pause between events of an answer; 0 for no limit.
    pacing_deadline_s : float
        Until then, a target that is reading other prompts is passed over if one
        more would pause its streams for too long.
    software : str or None
        Version of the program that has to serve it; None for any. An empty one is
        unknown and matches no target.
    """

    service: str
    item: Item | None = None
    tried: frozenset[str] = frozenset()
    tokens: int = 0
    pause_s: float = 0.0
    pacing_deadline_s: float = 0.0
    software: str | None = None

    @property
    def item_version(self) -> ItemVersion | None:
        """Return the item and the version that has to serve it; None if any may."""
        if self.item is None or not self.software:
            return None
        return ItemVersion(self.item, self.software)


@dataclass(frozen=True)
class HolderCounts:
    """Numbers of targets that hold what a request requires and aren't leaving.

    Attributes
    ----------
    same_software, other_software : int
        Those that run the version that the request requires, and the others. If it
        requires none, all run the same.
    """

    same_software: int
    other_software: int


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
        return self._local_by_target[target] + self._running_elsewhere.get(target, 0)


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
    ):
        self._data_centre = data_centre
        self._servable_items = servable_items
        self._running_requests = running_requests
        self._health = health
        self._prefill_backlog = prefill_backlog
        self._rng = rng
        self._notices = notices or TargetNotices()
        self._permits = permits

    def eligible(
        self, criteria: TargetCriteria, targets: Iterable[FleetTarget], now_s: float
    ) -> list[FleetTarget]:
        """Return the reachable targets that can serve a request, full or not."""
        found = []
        for target in self._holders(criteria, targets):
            if target.name in criteria.tried:
                continue
            if not self._health.is_reachable(target.name, now_s):
                continue
            if self._notices.pause_left_s(target, now_s) > 0:
                continue
            found.append(target)
        return found

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
        for target in self.eligible(criteria, targets, now_s):
            running = self._running_requests.running(target.name)
            if running >= target.slots * (1 + MAX_QUEUED_SHARE):
                continue
            if now_s < criteria.pacing_deadline_s and not self._prefill_backlog.admits(
                target.name, criteria.tokens, criteria.pause_s, now_s
            ):
                continue
            if self._permits is not None and not self._permits.admits(target, now_s):
                continue
            cost = self._cost(target, running, now_s)
            if best is None or cost < best[0]:
                best = (cost, target)
        return best[1] if best else None

    def _holders(
        self, criteria: TargetCriteria, targets: Iterable[FleetTarget]
    ) -> Iterator[FleetTarget]:
        """Yield the targets that have what a request requires."""
        item = criteria.item
        for target in targets:
            if target.leaving or target.service != criteria.service:
                continue
            # First what rules out most targets of a large service.
            if item is not None and not self._holds(target, item):
                continue
            if not _runs(target, criteria.software):
                continue
            yield target

    def _holds(self, target: FleetTarget, item: Item) -> bool:
        return target.items is None or self._servable_items.holds(target, item)

    def _cost(self, target: FleetTarget, running: int, now_s: float) -> float:
        cost = running / target.slots + self._rng.random() * COST_JITTER
        if target.data_centre != self._data_centre:
            cost += REMOTE_DATA_CENTRE_COST
        cost += FAILURE_COST * self._health.failure_rate(target.name, now_s)
        if self._permits is not None and self._permits.is_needed(target):
            cost -= PERMIT_GAIN
        cost += PREFILL_COST_PER_S * self._prefill_backlog.backlog_s(target.name, now_s)
        return cost
