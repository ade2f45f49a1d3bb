"""Queue of requests that wait until one of their targets has room."""

from __future__ import annotations

import asyncio
import math
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field

from marjoramstage.coordination.dispatcher import TargetCriteria
from marjoramstage.state.fleet import FleetTarget, Item, ItemVersion


def _need(criteria: TargetCriteria) -> TargetCriteria:
    """Return what of a request's criteria decides which targets can serve it."""
    return TargetCriteria(criteria.service, criteria.item, software=criteria.software)


@dataclass
class WaitingGroup:
    """Waiting requests that could use the same targets.

    Attributes
    ----------
    oldest_s : float
        When the first of them joined.
    """

    count: int = 0
    oldest_s: float = math.inf

    def add(self, count: int, oldest_s: float) -> None:
        """Add waiting requests of which the first joined at ``oldest_s``."""
        self.count += count
        self.oldest_s = min(self.oldest_s, oldest_s)


@dataclass(order=True)
class Waiter:
    """A waiting request; waiters sort by rank, then by deadline.

    Attributes
    ----------
    number : int
        Order of arrival, for equal deadlines.
    joined_s : float
        When it began to wait.
    fut : asyncio.Future
        Resolves to the target that was assigned.
    used : bool
        The request has taken the target from ``fut``.
    """

    rank: int
    deadline_s: float
    number: int
    joined_s: float = field(compare=False)
    criteria: TargetCriteria = field(compare=False)
    fut: asyncio.Future[FleetTarget] = field(compare=False)
    used: bool = field(compare=False, default=False)


class WaitQueue:
    """Waiting requests, served most urgent first.

    Parameters
    ----------
    take : callable
        Reserves a slot at a target that meets the criteria and returns the
        target, or None if none has room.
    """

    def __init__(self, take: Callable[[TargetCriteria], FleetTarget | None]):
        self._take = take
        self._waiters: list[Waiter] = []
        self._number = 0

    def __len__(self) -> int:
        return len(self._waiters)

    def add(
        self, criteria: TargetCriteria, rank: int, deadline_s: float, now_s: float = 0.0
    ) -> Waiter:
        """Add a request to the queue."""
        self._number += 1
        fut = asyncio.get_running_loop().create_future()
        waiter = Waiter(rank, deadline_s, self._number, now_s, criteria, fut)
        self._waiters.append(waiter)
        return waiter

    def remove(self, waiter: Waiter) -> None:
        """Remove a request from the queue."""
        if waiter in self._waiters:
            self._waiters.remove(waiter)

    def count_by_item(self) -> Counter[tuple[str, Item]]:
        """Return the number of waiting requests by service and item."""
        found: Counter[tuple[str, Item]] = Counter()
        for waiter in self._waiters:
            if waiter.criteria.item is not None:
                found[waiter.criteria.service, waiter.criteria.item] += 1
        return found

    def count_resuming(self) -> Counter[tuple[str, ItemVersion]]:
        """Return the number of waiting requests that resume a stream.

        They are counted by service, and by item and version of its targets.
        """
        found: Counter[tuple[str, ItemVersion]] = Counter()
        for waiter in self._waiters:
            needed = waiter.criteria.item_version
            if needed is not None:
                found[waiter.criteria.service, needed] += 1
        return found

    def by_need(self) -> dict[TargetCriteria, WaitingGroup]:
        """Return the waiting requests in groups that could use the same targets.

        The criteria of a group are the service, the item and the version.
        """
        groups: dict[TargetCriteria, WaitingGroup] = {}
        for waiter in self._waiters:
            group = groups.setdefault(_need(waiter.criteria), WaitingGroup())
            group.add(1, waiter.joined_s)
        return groups

    def place(
        self, criteria: TargetCriteria, rank: int, deadline_s: float
    ) -> tuple[int, int]:
        """Return `position` of a request that would join now; the count is without it.

        Parameters
        ----------
        deadline_s : float
            When its final answer is due.
        """
        need = _need(criteria)
        same = [w for w in self._waiters if _need(w.criteria) == need]
        key = rank, deadline_s, self._number + 1
        ahead = sum((w.rank, w.deadline_s, w.number) < key for w in same)
        return ahead, len(same)

    def position(self, waiter: Waiter) -> tuple[int, int]:
        """Return how many requests with the same needs come before one, and in all."""
        need = _need(waiter.criteria)
        same = [w for w in self._waiters if _need(w.criteria) == need]
        return sum(other < waiter for other in same), len(same)

    def assign_targets(self) -> None:
        """Assign targets to as many waiting requests as possible."""
        if not self._waiters:
            return
        remaining = []
        for waiter in sorted(self._waiters):
            if waiter.fut.done():
                continue
            target = self._take(waiter.criteria)
            if target is None:
                remaining.append(waiter)
                continue
            waiter.fut.set_result(target)
        self._waiters = remaining
