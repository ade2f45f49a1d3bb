"""One virtual clock with the events that are due on it."""

from __future__ import annotations

import heapq
import itertools
from collections.abc import Callable


class EventLoop:
    """Calls functions at virtual times; equal times in the order of asking.

    Attributes
    ----------
    now_s : float
        Virtual time in seconds.
    """

    def __init__(self):
        self.now_s = 0.0
        self.stopped = False
        self._due: list[tuple[float, int, Callable, tuple]] = []
        self._order = itertools.count()

    def at(self, time_s: float, func: Callable, *args) -> None:
        """Call ``func`` at a virtual time, at once if it has passed."""
        time_s = max(time_s, self.now_s)
        heapq.heappush(self._due, (time_s, next(self._order), func, args))

    def after(self, delay_s: float, func: Callable, *args) -> None:
        """Call ``func`` after a virtual delay."""
        self.at(self.now_s + delay_s, func, *args)

    def stop(self) -> None:
        """End `run` after the current call."""
        self.stopped = True

    def run(self, until_s: float) -> None:
        """Run what is due until a virtual time or until stopped."""
        due = self._due
        while due and not self.stopped and due[0][0] <= until_s:
            self.now_s, _, func, args = heapq.heappop(due)
            func(*args)
