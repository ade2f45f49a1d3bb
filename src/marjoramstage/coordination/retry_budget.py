"""Retry budgets: retries are limited to a share of the first attempts."""

from __future__ import annotations

from collections import deque

# Retries earned by each first attempt, and how many can be saved up.
RETRY_SHARE = 0.1
BURST_RETRIES = 10.0

# Share of the bound that an instance uses. The rest is a margin, as the instances
# do not count their windows from the same time.
LOCAL_SHARE = 0.8
# Assumed number of instances until it is known.
ASSUMED_INSTANCES = 16


class RetryBudget:
    """Token bucket that first attempts fill and retries empty."""

    def __init__(self, share: float = RETRY_SHARE, burst: float = BURST_RETRIES):
        self._share = share
        self._burst = burst
        self._tokens = burst

    def earn(self) -> None:
        """Record a first attempt."""
        self._tokens = min(self._burst, self._tokens + self._share)

    def spend(self) -> bool:
        """Take one retry from the budget; False if it is used up."""
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True


class SharedRetryBudget:
    """One instance's share of a retry limit for all instances together.

    Parameters
    ----------
    ratio, extra, window_s : float
        In any window of ``window_s`` seconds, all instances together may send
        ``ratio`` retries for each request, and ``extra`` more.
    """

    def __init__(self, ratio: float, extra: float, window_s: float):
        self._ratio = ratio * LOCAL_SHARE
        self._extra = extra * LOCAL_SHARE
        self._window_s = window_s
        self._requests: deque[float] = deque()
        self._retries: deque[float] = deque()
        self.instances = ASSUMED_INSTANCES

    def earn(self, now_s: float) -> None:
        """Record a first attempt."""
        self._requests.append(now_s)
        self._expire(now_s)

    def spend(self, now_s: float) -> bool:
        """Take one retry from the budget, or return False if it is used up."""
        self._expire(now_s)
        allowed = self._ratio * len(self._requests) + self._extra / self.instances
        if len(self._retries) + 1 > allowed:
            return False
        self._retries.append(now_s)
        return True

    def is_idle(self, now_s: float) -> bool:
        """Whether nothing counts in the window, as in a new budget."""
        self._expire(now_s)
        return not self._requests and not self._retries

    def _expire(self, now_s: float) -> None:
        for times in (self._requests, self._retries):
            while times and now_s - times[0] > self._window_s:
                times.popleft()
