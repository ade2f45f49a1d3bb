"""Rate limit on loads from the weight store."""

from __future__ import annotations

from collections import deque

# Loads that the weight store allows in a window in addition to its rate.
BURST_LOADS = 2


class LoadRateLimiter:
    """Limits the loads from the weight store in a sliding window.

    Parameters
    ----------
    per_s : float
        Loads a second that the store allows.
    window_s : float
        Length of the window, in seconds.
    over : float
        Factor applied to the rate; above 1 to exceed it within a window.
    """

    def __init__(self, per_s: float, window_s: float, over: float):
        self._window_s = window_s
        self._most = max(1, int(per_s * window_s * over) + BURST_LOADS)
        self._begun: deque[float] = deque()

    def allows(self, now_s: float) -> bool:
        """Whether one more load may start now."""
        while self._begun and now_s - self._begun[0] > self._window_s:
            self._begun.popleft()
        return len(self._begun) < self._most

    def begin(self, now_s: float) -> None:
        """Record the start of a load."""
        self._begun.append(now_s)
