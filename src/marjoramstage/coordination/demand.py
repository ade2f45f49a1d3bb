"""Estimates of demand by item, from the load messages of all instances."""

from __future__ import annotations

import math
from collections import Counter
from dataclasses import dataclass

from marjoramstage.protocol.messages import InstanceLoad, Item, ItemDemand

# Time constants of the two rate estimates. Predictions use the larger estimate,
# so they rise quickly and fall slowly.
FAST_WINDOW_S = 15.0
SLOW_WINDOW_S = 180.0

# An item counts as in use for this long after its last request.
IDLE_AFTER_S = 10.0


@dataclass
class RateEstimate:
    """Exponentially decayed arrival rates of one item.

    Attributes
    ----------
    updated_s : float
        Time up to which the rates are decayed.
    fast_tokens, slow_tokens : float
        Tokens per second, with time constants `FAST_WINDOW_S` and `SLOW_WINDOW_S`.
    fast_requests, slow_requests : float
        Requests per second, with the same time constants.
    """

    updated_s: float
    fast_tokens: float = 0.0
    slow_tokens: float = 0.0
    fast_requests: float = 0.0
    slow_requests: float = 0.0

    def advance(self, now_s: float) -> None:
        """Decay the rates up to ``now_s``."""
        passed_s = max(0.0, now_s - self.updated_s)
        fast_decay = math.exp(-passed_s / FAST_WINDOW_S)
        slow_decay = math.exp(-passed_s / SLOW_WINDOW_S)
        self.fast_tokens *= fast_decay
        self.fast_requests *= fast_decay
        self.slow_tokens *= slow_decay
        self.slow_requests *= slow_decay
        self.updated_s = max(self.updated_s, now_s)

    def add(self, requests: int, tokens: int) -> None:
        """Add arrivals."""
        self.fast_tokens += tokens / FAST_WINDOW_S
        self.fast_requests += requests / FAST_WINDOW_S
        self.slow_tokens += tokens / SLOW_WINDOW_S
        self.slow_requests += requests / SLOW_WINDOW_S


@dataclass
class _InstanceDemand:
    """Counters from the latest message of one instance."""

    incarnation: str
    sequence: int
    by_item: dict[Item, ItemDemand]


class DemandStats:
    """Arrival rates, queue lengths and last use of each item.

    Sums up all instances that send load messages.
    """

    def __init__(self):
        self._instances: dict[str, _InstanceDemand] = {}
        self._rates: dict[Item, RateEstimate] = {}
        self._waiting: Counter[Item] = Counter()
        self._running: Counter[Item] = Counter()
        self._last_used_s: dict[Item, float] = {}

    def update(self, load: InstanceLoad, now_s: float) -> set[Item]:
        """Apply a load message; return the items whose demand changed."""
        latest = self._instances.get(load.instance)
        if latest is None or latest.incarnation != load.incarnation:
            self.remove_instance(load.instance)
            latest = _InstanceDemand(load.incarnation, -1, {})
            self._instances[load.instance] = latest
        if load.sequence <= latest.sequence:
            return set()
        latest.sequence = load.sequence
        changed = set()
        for demand in load.demand:
            previous = latest.by_item.get(demand.item)
            if demand == previous:
                continue
            latest.by_item[demand.item] = demand
            self._apply_change(demand, previous, now_s)
            changed.add(demand.item)
        return changed

    def remove_instance(self, instance: str) -> None:
        """Subtract the queued requests and attempts of a lost instance."""
        latest = self._instances.pop(instance, None)
        if latest is None:
            return
        for demand in latest.by_item.values():
            self._waiting[demand.item] -= demand.waiting
            self._running[demand.item] -= demand.running

    def requests_per_s(self, item: Item, now_s: float) -> float:
        """Return the predicted requests per second."""
        rate = self._rate(item, now_s)
        return 0.0 if rate is None else max(rate.fast_requests, rate.slow_requests)

    def tokens_per_s(self, item: Item, now_s: float) -> float:
        """Return the predicted tokens per second."""
        rate = self._rate(item, now_s)
        return 0.0 if rate is None else max(rate.fast_tokens, rate.slow_tokens)

    def waiting(self, item: Item) -> int:
        """Return the number of queued requests over all instances."""
        return self._waiting[item]

    def last_used_s(self, item: Item) -> float:
        """Return when the item was last requested; -inf if never."""
        return self._last_used_s.get(item, -math.inf)

    def pending(self, item: Item) -> bool:
        """Return whether a request is queued or running on any target."""
        return self._waiting[item] > 0 or self._running[item] > 0

    def in_use(self, item: Item, now_s: float) -> bool:
        """Return whether the item may have queued or running requests.

        Load messages arrive late, so a recently requested item counts too.
        """
        if self.pending(item):
            return True
        return now_s - self.last_used_s(item) < IDLE_AFTER_S

    def _rate(self, item: Item, now_s: float) -> RateEstimate | None:
        rate = self._rates.get(item)
        if rate is not None:
            rate.advance(now_s)
        return rate

    def _apply_change(
        self, demand: ItemDemand, previous: ItemDemand | None, now_s: float
    ) -> None:
        previous = previous or ItemDemand(demand.item, 0, 0)
        self._waiting[demand.item] += demand.waiting - previous.waiting
        self._running[demand.item] += demand.running - previous.running
        requests = max(0, demand.requests - previous.requests)
        tokens = max(0, demand.tokens - previous.tokens)
        if requests == 0 and tokens == 0:
            return
        rate = self._rate(demand.item, now_s)
        if rate is None:
            rate = RateEstimate(now_s)
            self._rates[demand.item] = rate
        rate.add(requests, tokens)
        self._last_used_s[demand.item] = now_s
