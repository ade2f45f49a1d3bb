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
    rate_factor : float
        Factor applied to the rate; above 1 to exceed it within a window.
    """

    def __init__(self, per_s: float, window_s: float, rate_factor: float):
        self._window_s = window_s
        self._rate_factor = rate_factor
        self._started_at_s: deque[float] = deque()
        self.replace_rate(per_s)

    def replace_rate(self, per_s: float) -> None:
        """Limit to another rate; loads in the window count as before."""
        loads = int(per_s * self._window_s * self._rate_factor)
        self._max_loads = max(1, loads + BURST_LOADS)

    def is_idle(self, now_s: float) -> bool:
        """Whether no load has started within the window."""
        return not self._started_at_s or (
            now_s - self._started_at_s[-1] > self._window_s
        )

    def allows(self, now_s: float) -> bool:
        """Whether one more load may start now."""
        while self._started_at_s and now_s - self._started_at_s[0] > self._window_s:
            self._started_at_s.popleft()
        return len(self._started_at_s) < self._max_loads

    def record_load(self, now_s: float) -> None:
        """Record the start of a load."""
        self._started_at_s.append(now_s)
