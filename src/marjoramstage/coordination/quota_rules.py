"""What quotas allow in a sliding window, and the times that all instances agree on.

Every instance holds an allowance of each customer that it has requests of: how much
it may send in any window. The sum of all allowances stays within `window_limit`.
"""

from __future__ import annotations

import math
from collections import deque
from dataclasses import dataclass

from marjoramstage.coordination.instance_reports import report_interval_s
from marjoramstage.state.customers import Quota, QuotaUnit
from marjoramstage.state.node_settings import NodeBounds

# An instance counts as out of touch with the holder after this many regular report
# intervals, and never sooner than after so many seconds.
SILENT_INTERVALS = 4
MIN_SILENCE_S = 1.5

# Uses that are less than this apart are kept as one, in seconds.
SLOT_S = 0.05


@dataclass(frozen=True)
class QuotaTimes:
    """Times after which an instance without contact changes what it may send.

    Attributes
    ----------
    silence_s : float
        From then on it sends its even share at most, if its allowance is more.
    learning_s : float
        From then on it sends no more than that in any window.
    settled_s : float
        From then on it may send its even share, if its allowance was less. The others
        have given up theirs by then, also if they lost contact a little later.
    """

    silence_s: float
    learning_s: float
    settled_s: float


def quota_times(instances: int, window_s: float) -> QuotaTimes:
    """Return the times for a number of instances."""
    silence_s = max(MIN_SILENCE_S, SILENT_INTERVALS * report_interval_s(instances))
    return QuotaTimes(silence_s, silence_s + window_s, 2 * (silence_s + window_s))


def window_limit(quota: Quota, bounds: NodeBounds) -> float:
    """Return the units that all instances together may send in any window.

    The slack is a number of tokens; quotas in requests have none.
    """
    units = quota.rate_per_s * bounds.quota_window_s + quota.burst
    slack = bounds.quota_slack if quota.unit is QuotaUnit.TOKENS else 0.0
    # Allowances are whole numbers in messages.
    return math.floor(units * (1 + bounds.quota_over) + slack)


class SlidingSum:
    """Sum of amounts over a sliding window."""

    def __init__(self):
        self._slots: deque[list[float]] = deque()
        self._total = 0.0

    def add(self, amount: float, now_s: float) -> None:
        """Add an amount; one of the same slot leaves the window with the latest."""
        self._total += amount
        if self._slots and now_s - self._slots[-1][0] < SLOT_S:
            slot = self._slots[-1]
            slot[1], slot[2] = now_s, slot[2] + amount
        else:
            self._slots.append([now_s, now_s, amount])

    def remove_latest(self, amount: float) -> None:
        """Take an amount back, from the latest ones."""
        while self._slots and amount > 0:
            slot = self._slots[-1]
            part = min(amount, slot[2])
            slot[2] -= part
            amount -= part
            self._total -= part
            if slot[2] <= 0:
                self._slots.pop()

    def total(self, window_s: float, now_s: float) -> float:
        """Return the sum over the window that ends now."""
        while self._slots and self._slots[0][1] <= now_s - window_s:
            self._total -= self._slots.popleft()[2]
        if not self._slots:
            self._total = 0.0
        return self._total

    def until_below(self, most: float, window_s: float, now_s: float) -> float | None:
        """Return the time until the sum is at most ``most``; None if below 0."""
        left, until_s = self.total(window_s, now_s), 0.0
        if most < 0:
            return None
        for _, at_s, amount in self._slots:
            if left <= most:
                break
            left -= amount
            until_s = at_s + window_s - now_s
        return until_s
