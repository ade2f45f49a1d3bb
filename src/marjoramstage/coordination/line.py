"""The line of requests that wait for a target of theirs to have room."""

from __future__ import annotations

import asyncio
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field

from marjoramstage.coordination.dispatch import Wish
from marjoramstage.state.fleet import FleetTarget, Item


@dataclass(order=True)
class Waiter:
    """One request in the line, ordered by rank, then by its deadline."""

    rank: int
    deadline_s: float
    number: int
    wish: Wish = field(compare=False)
    fut: asyncio.Future[FleetTarget] = field(compare=False)
    used: bool = field(compare=False, default=False)


class Line:
    """Requests that wait, the most urgent first.

    Parameters
    ----------
    take : callable
        Gives a target for a wish and takes up a slot there, or None.
    """

    def __init__(self, take: Callable[[Wish], FleetTarget | None]):
        self._take = take
        self._waiters: list[Waiter] = []
        self._number = 0

    def __len__(self) -> int:
        return len(self._waiters)

    def join(self, wish: Wish, rank: int, deadline_s: float) -> Waiter:
        """Put a request into the line."""
        self._number += 1
        fut = asyncio.get_running_loop().create_future()
        waiter = Waiter(rank, deadline_s, self._number, wish, fut)
        self._waiters.append(waiter)
        return waiter

    def leave(self, waiter: Waiter) -> None:
        """Take a request out of the line."""
        if waiter in self._waiters:
            self._waiters.remove(waiter)

    def waiting(self) -> Counter[tuple[str, Item]]:
        """Return how many wait for each item of each service."""
        found: Counter[tuple[str, Item]] = Counter()
        for waiter in self._waiters:
            if waiter.wish.item is not None:
                found[waiter.wish.service, waiter.wish.item] += 1
        return found

    def serve(self) -> None:
        """Give targets to those that can have one."""
        if not self._waiters:
            return
        left = []
        for waiter in sorted(self._waiters):
            if waiter.fut.done():
                continue
            target = self._take(waiter.wish)
            if target is None:
                left.append(waiter)
                continue
            waiter.fut.set_result(target)
        self._waiters = left
