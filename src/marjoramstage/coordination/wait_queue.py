"""Queue of requests that wait until one of their targets has room."""

from __future__ import annotations

import asyncio
import math
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field

from marjoramstage.coordination.dispatcher import TargetCriteria
from marjoramstage.coordination.fair_shares import FairShares, ShareClaim
from marjoramstage.state.fleet import FleetTarget, Item, ItemVersion


def _need(criteria: TargetCriteria) -> TargetCriteria:
    """Return what of a request's criteria decides which targets can serve it."""
    return TargetCriteria(criteria.service, criteria.item, software=criteria.software)


def _items(criteria: TargetCriteria) -> tuple[str, Item | None, str | None]:
    """Return what targets have to hold for a request, as the key of a count."""
    return criteria.service, criteria.item, criteria.software


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

    With customers they sort by the customer's level, then by turn, and within a turn
    by rank and start tag.

    Attributes
    ----------
    level, turn, start_tag : int, int, float
        See `fair_shares`; 0 without customers.
    number : int
        Order of arrival, for equal deadlines.
    joined_s : float
        When it began to wait.
    fut : asyncio.Future
        Resolves to the target that was assigned.
    used : bool
        The request has taken the target from ``fut``.
    claim : ShareClaim or None
        Whose share it is charged to; None without customers.
    """

    level: int
    turn: int
    rank: int
    start_tag: float
    deadline_s: float
    number: int
    joined_s: float = field(compare=False)
    criteria: TargetCriteria = field(compare=False)
    fut: asyncio.Future[FleetTarget] = field(compare=False)
    used: bool = field(compare=False, default=False)
    claim: ShareClaim | None = field(compare=False, default=None)


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
        self._shares: dict[str, FairShares] = {}
        # Waiters by service, and by what targets have to hold for them.
        self._by_service: Counter[str] = Counter()
        self._by_items: Counter[tuple[str, Item | None, str | None]] = Counter()

    def __len__(self) -> int:
        return len(self._waiters)

    def add(
        self,
        criteria: TargetCriteria,
        rank: int,
        deadline_s: float,
        now_s: float = 0.0,
        claim: ShareClaim | None = None,
    ) -> Waiter:
        """Add a request to the queue."""
        self._number += 1
        waiter = Waiter(
            level=claim.level if claim is not None else 0,
            turn=0,
            rank=rank,
            start_tag=0.0,
            deadline_s=deadline_s,
            number=self._number,
            joined_s=now_s,
            criteria=criteria,
            fut=asyncio.get_running_loop().create_future(),
            claim=claim,
        )
        self._waiters.append(waiter)
        self._count(waiter, 1)
        return waiter

    def must_wait(self, criteria: TargetCriteria, claim: ShareClaim | None) -> bool:
        """Whether a request that arrives has to leave free targets to others.

        Those that wait for the same targets go first, and a customer that is ahead of
        its share leaves them to any that wait for the service.
        """
        if claim is None:
            return False
        service = criteria.service
        if self._by_service[service] == 0:
            return False
        if self._by_items[_items(criteria)]:
            return True
        return self._shares_of(service).is_ahead(claim)

    def charge(self, criteria: TargetCriteria, claim: ShareClaim | None) -> None:
        """Record that a request with such a claim is sent to a target."""
        if claim is None:
            return
        others_wait = self._by_service[criteria.service] > 0
        self._shares_of(criteria.service).charge(claim, others_wait)

    def remove(self, waiter: Waiter) -> None:
        """Remove a request from the queue."""
        if waiter in self._waiters:
            self._waiters.remove(waiter)
            self._count(waiter, -1)

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
        if waiter.claim is not None:
            self._tag_waiters()
        same = [w for w in self._waiters if _need(w.criteria) == need]
        return sum(other < waiter for other in same), len(same)

    def assign_targets(self) -> None:
        """Assign targets to as many waiting requests as possible."""
        if not self._waiters:
            return
        self._tag_waiters()
        try:
            for waiter in sorted(self._waiters):
                if waiter.fut.done():
                    continue
                target = self._take(waiter.criteria)
                if target is not None:
                    waiter.fut.set_result(target)
                    self.charge(waiter.criteria, waiter.claim)
        finally:
            self._drop_assigned()

    def _drop_assigned(self) -> None:
        waiting = []
        for waiter in self._waiters:
            if waiter.fut.done():
                self._count(waiter, -1)
            else:
                waiting.append(waiter)
        self._waiters = waiting

    def _count(self, waiter: Waiter, change: int) -> None:
        criteria = waiter.criteria
        self._by_service[criteria.service] += change
        items = _items(criteria)
        self._by_items[items] += change
        if not self._by_items[items]:
            del self._by_items[items]

    def _shares_of(self, service: str) -> FairShares:
        return self._shares.setdefault(service, FairShares())

    def _tag_waiters(self) -> None:
        """Give the waiting requests of customers their turns."""
        by_service: dict[str, list[Waiter]] = {}
        for waiter in self._waiters:
            if waiter.claim is not None and not waiter.fut.done():
                by_service.setdefault(waiter.criteria.service, []).append(waiter)
        for service, waiters in by_service.items():
            self._shares_of(service).tag(waiters)
