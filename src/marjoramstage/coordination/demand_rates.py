"""Rates at which items are asked for, decayed over time."""

from __future__ import annotations

import math
from collections.abc import Mapping

HALF_LIFE_S = 4.0


class Rates:
    """Requests a second for each key, averaged with a half-life.

    Parameters
    ----------
    half_life_s : float
        After this time a request counts half.
    """

    def __init__(self, half_life_s: float = HALF_LIFE_S):
        self._decay = math.log(2) / half_life_s
        self._sums: dict[object, float] = {}
        self._at: dict[object, float] = {}

    def add(self, key: object, count: float, now_s: float) -> None:
        """Note ``count`` requests."""
        self._sums[key] = self._sum(key, now_s) + count
        self._at[key] = now_s

    def rate(self, key: object, now_s: float) -> float:
        """Return the requests a second."""
        return self._sum(key, now_s) * self._decay

    def _sum(self, key: object, now_s: float) -> float:
        found = self._sums.get(key)
        if found is None:
            return 0.0
        return found * math.exp(-self._decay * (now_s - self._at[key]))


class Counters:
    """Turns counts that only rise, of several senders, into differences."""

    def __init__(self):
        self._last: dict[tuple[str, str], Mapping[str, int]] = {}

    def differences(
        self, sender: str, incarnation: str, counts: Mapping[str, int]
    ) -> dict[str, int]:
        """Return what came on since the sender's last counts."""
        before = self._last.get((sender, incarnation), {})
        self._last[sender, incarnation] = counts
        found = {}
        for key, count in counts.items():
            rise = count - before.get(key, 0)
            if rise > 0:
                found[key] = rise
        return found
