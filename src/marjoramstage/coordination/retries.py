"""Budget of retries: a share of the fresh requests."""

from __future__ import annotations

from collections import deque

RETRY_SHARE = 0.1
BURST = 10.0

# Room for what other instances count at another moment.
OWN_SHARE = 0.8
UNKNOWN_INSTANCES = 16


class RetryBudget:
    """Tokens that fresh requests earn and retries spend."""

    def __init__(self, share: float = RETRY_SHARE, burst: float = BURST):
        self._share = share
        self._burst = burst
        self._tokens = burst

    def earn(self) -> None:
        """Note a fresh request."""
        self._tokens = min(self._burst, self._tokens + self._share)

    def spend(self) -> bool:
        """Take one retry from the budget; False if it is used up."""
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True


class SharedBudget:
    """One instance's part of a bound on repeats that all instances share.

    Parameters
    ----------
    ratio, extra, window_s : float
        In any window, all instances together may send ``ratio`` repeats for
        each request, and ``extra`` more.
    """

    def __init__(self, ratio: float, extra: float, window_s: float):
        self._ratio = ratio * OWN_SHARE
        self._extra = extra * OWN_SHARE
        self._window_s = window_s
        self._requests: deque[float] = deque()
        self._repeats: deque[float] = deque()
        self.instances = UNKNOWN_INSTANCES

    def earn(self, now_s: float) -> None:
        """Note a fresh request."""
        self._requests.append(now_s)
        self._forget(now_s)

    def spend(self, now_s: float) -> bool:
        """Take one repeat from the budget; False if it is used up."""
        self._forget(now_s)
        most = self._ratio * len(self._requests) + self._extra / self.instances
        if len(self._repeats) + 1 > most:
            return False
        self._repeats.append(now_s)
        return True

    def _forget(self, now_s: float) -> None:
        for times in (self._requests, self._repeats):
            while times and now_s - times[0] > self._window_s:
                times.popleft()
