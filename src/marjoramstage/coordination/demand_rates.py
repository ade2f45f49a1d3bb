"""Request rates of models, with exponential decay."""

from __future__ import annotations

import math
from collections.abc import Collection

FAST_HALF_LIFE_S = 1.2
SLOW_HALF_LIFE_S = 12.0
LATENCY_CRITICAL_HALF_LIFE_S = 60.0
# Messages carry rates as whole numbers of requests in 1000 s.
RATE_SCALE = 1000.0


class DecayingRates:
    """Requests a second for each key, averaged with a half-life.

    Parameters
    ----------
    half_life_s : float
        After this time a request counts half.
    """

    def __init__(self, half_life_s: float):
        self._decay = math.log(2) / half_life_s
        self._sums: dict[str, float] = {}
        self._at_s: dict[str, float] = {}

    def add(self, key: str, now_s: float) -> None:
        """Record a request."""
        self._sums[key] = self._sum(key, now_s) + 1.0
        self._at_s[key] = now_s

    def rate(self, key: str, now_s: float) -> float:
        """Return the requests a second."""
        return self._sum(key, now_s) * self._decay

    def per_thousand_s(self, now_s: float) -> dict[str, int]:
        """Return every rate in requests per 1000 s, at least 1 for known keys."""
        return {
            key: max(1, round(self.rate(key, now_s) * RATE_SCALE)) for key in self._sums
        }

    def retain(self, keys: Collection[str]) -> None:
        """Forget all keys but these."""
        for key in [key for key in self._sums if key not in keys]:
            del self._sums[key], self._at_s[key]

    def _sum(self, key: str, now_s: float) -> float:
        found = self._sums.get(key)
        if found is None:
            return 0.0
        return found * math.exp(-self._decay * (now_s - self._at_s[key]))


class DemandRates:
    """Request rates seen by one instance, averaged over three half-lives.

    Keys are the names of a service and a model, joined by a space.
    """

    def __init__(self):
        self.fast = DecayingRates(FAST_HALF_LIFE_S)
        self.slow = DecayingRates(SLOW_HALF_LIFE_S)
        self.latency_critical = DecayingRates(LATENCY_CRITICAL_HALF_LIFE_S)

    def note(self, key: str, latency_critical: bool, now_s: float) -> None:
        """Record a request, and whether a model load would make it late."""
        self.fast.add(key, now_s)
        self.slow.add(key, now_s)
        if latency_critical:
            self.latency_critical.add(key, now_s)

    def retain(self, keys: Collection[str]) -> None:
        """Forget all keys but these."""
        for rates in (self.fast, self.slow, self.latency_critical):
            rates.retain(keys)
