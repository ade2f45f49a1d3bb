"""Estimates of demand by item, from the load messages of all instances."""

from __future__ import annotations

import math
from collections import Counter
from dataclasses import dataclass

from marjoramstage.protocol.messages import InstanceLoad, Item, ItemDemand

# Time constants of the two rate estimates. Predictions use the larger estimate,
# so they rise quickly and fall slowly.
FAST_S = 15.0
SLOW_S = 180.0

# An item counts as in use for this long after its last request.
IDLE_S = 10.0


@dataclass
class RateEstimate:
    """Exponentially decayed arrival rates of one item.

    Attributes
    ----------
    at_s : float
        Time up to which the rates are decayed.
    fast, slow : float
        Tokens per second, with time constants `FAST_S` and `SLOW_S`.
    fast_requests, slow_requests : float
        Requests per second, with the same time constants.
    """

    at_s: float
    fast: float = 0.0
    slow: float = 0.0
    fast_requests: float = 0.0
    slow_requests: float = 0.0

    def advance(self, now_s: float) -> None:
        """Decay the rates up to ``now_s``."""
        passed_s = max(0.0, now_s - self.at_s)
        fast_decay = math.exp(-passed_s / FAST_S)
        slow_decay = math.exp(-passed_s / SLOW_S)
        self.fast *= fast_decay
        self.fast_requests *= fast_decay
        self.slow *= slow_decay
        self.slow_requests *= slow_decay
        self.at_s = max(self.at_s, now_s)

    def add(self, requests: int, tokens: int) -> None:
        """Add arrivals."""
        self.fast += tokens / FAST_S
        self.fast_requests += requests / FAST_S
        self.slow += tokens / SLOW_S
        self.slow_requests += requests / SLOW_S


@dataclass
class _Seen:
    """Counters from the latest message of one instance."""

    incarnation: str
    sequence: int
    counted: dict[Item, ItemDemand]


class DemandStats:
    """Arrival rates, queue lengths and last use of each item.

    Sums up all instances that send load messages.
    """

    def __init__(self):
        self._seen: dict[str, _Seen] = {}
        self._rates: dict[Item, RateEstimate] = {}
        self._waiting: Counter[Item] = Counter()
        self._running: Counter[Item] = Counter()
        self._used_s: dict[Item, float] = {}

    def loaded(self, load: InstanceLoad, now_s: float) -> set[Item]:
        """Apply a load message; return the items whose demand changed."""
        seen = self._seen.get(load.instance)
        if seen is None or seen.incarnation != load.incarnation:
            self.gone(load.instance)
            seen = _Seen(load.incarnation, -1, {})
            self._seen[load.instance] = seen
        if load.sequence <= seen.sequence:
            return set()
        seen.sequence = load.sequence
        changed = set()
        for demand in load.demand:
            known = seen.counted.get(demand.item)
            if demand == known:
                continue
            seen.counted[demand.item] = demand
            self._count(demand, known, now_s)
            changed.add(demand.item)
        return changed

    def gone(self, instance: str) -> None:
        """Subtract the queued requests and attempts of a lost instance."""
        seen = self._seen.pop(instance, None)
        if seen is None:
            return
        for demand in seen.counted.values():
            self._waiting[demand.item] -= demand.waiting
            self._running[demand.item] -= demand.running

    def requests_per_s(self, item: Item, now_s: float) -> float:
        """Return the predicted requests per second."""
        rate = self._rate(item, now_s)
        return 0.0 if rate is None else max(rate.fast_requests, rate.slow_requests)

    def tokens_per_s(self, item: Item, now_s: float) -> float:
        """Return the predicted tokens per second."""
        rate = self._rate(item, now_s)
        return 0.0 if rate is None else max(rate.fast, rate.slow)

    def waiting(self, item: Item) -> int:
        """Return the number of queued requests over all instances."""
        return self._waiting[item]

    def used_s(self, item: Item) -> float:
        """Return when the item was last requested; -inf if never."""
        return self._used_s.get(item, -math.inf)

    def pending(self, item: Item) -> bool:
        """Return whether a request is queued or running on any target."""
        return self._waiting[item] > 0 or self._running[item] > 0

    def in_use(self, item: Item, now_s: float) -> bool:
        """Return whether the item may have queued or running requests.

        Load messages arrive late, so a recently requested item counts too.
        """
        if self.pending(item):
            return True
        return now_s - self.used_s(item) < IDLE_S

    def _rate(self, item: Item, now_s: float) -> RateEstimate | None:
        rate = self._rates.get(item)
        if rate is not None:
            rate.advance(now_s)
        return rate

    def _count(
        self, demand: ItemDemand, known: ItemDemand | None, now_s: float
    ) -> None:
        known = known or ItemDemand(demand.item, 0, 0)
        self._waiting[demand.item] += demand.waiting - known.waiting
        self._running[demand.item] += demand.running - known.running
        requests = max(0, demand.requests - known.requests)
        tokens = max(0, demand.tokens - known.tokens)
        if requests == 0 and tokens == 0:
            return
        rate = self._rate(demand.item, now_s)
        if rate is None:
            rate = RateEstimate(now_s)
            self._rates[demand.item] = rate
        rate.add(requests, tokens)
        self._used_s[demand.item] = now_s
