"""Issues the permits for requests to targets that named a limit.

The holder of the placement lease issues them at the rate of each limit, to the
instances that have requests for the target: those that wait, and those that are
expected before a permit expires. Time is an argument.
"""

from __future__ import annotations

import math
import random
from collections import Counter, deque
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field

from marjoramstage.coordination.request_permits import (
    MIN_LIMIT_PER_S,
    PERMIT_TTL_S,
    PermitUse,
    TargetKey,
)

# Share of a limit that is issued.
ISSUED_SHARE = 0.9

# Permits that may be unused or not yet issued: so many, and those of so many seconds.
BASE_UNUSED = 3.0
MAX_UNUSED_S = 1.5

# Permits that are kept for requests which wait, and not issued for expected ones: those
# of so many seconds, and at most so many.
RESERVED_S = 1.0
MAX_RESERVED = 2.0

# A permit that no report accounts for counts as unused for this long, in seconds.
UNREPORTED_S = 2 * PERMIT_TTL_S

# Demand of an instance that has not reported for so long counts no more, in seconds.
DEMAND_TTL_S = 3.0

# Time over which the demand of an instance is averaged, in seconds.
DEMAND_AVERAGE_S = 1.0


def _rate(per_s: float) -> float:
    """Return how many permits a second are issued at a limit."""
    return ISSUED_SHARE * max(per_s, MIN_LIMIT_PER_S)


@dataclass
class _Demand:
    """Requests of one instance for one target.

    Attributes
    ----------
    recent : float
        Requests that the target could have served, decayed over time.
    waiting : int
        Requests that wait for it now.
    oldest_s : float
        Since when the oldest of them has waited.
    issued_s : deque of float
        When each of its permits was issued that isn't known to be used.
    """

    heard_s: float
    recent: float = 0.0
    waiting: int = 0
    oldest_s: float = 0.0
    issued_s: deque[float] = field(default_factory=deque)

    def update(
        self, use: PermitUse, waiting: int, oldest_s: float, now_s: float
    ) -> None:
        self.recent = self.recent_at(now_s) + use.wanted
        self.heard_s = now_s
        self.waiting = waiting
        self.oldest_s = oldest_s
        for _ in range(min(use.used + use.expired, len(self.issued_s))):
            self.issued_s.popleft()

    def recent_at(self, now_s: float) -> float:
        return self.recent * math.exp((self.heard_s - now_s) / DEMAND_AVERAGE_S)

    def longest_wait_s(self, now_s: float) -> float:
        """Return how long the oldest request without a permit has waited.

        Only the oldest of all is known; the others are taken to have come evenly.
        """
        without = self.waiting - len(self.issued_s)
        if without <= 0:
            return 0.0
        return (now_s - self.oldest_s) * without / self.waiting

    def lacking(self, now_s: float) -> float:
        """Return how many more permits its instance can be expected to use."""
        expected = self.recent_at(now_s) * PERMIT_TTL_S / DEMAND_AVERAGE_S
        # One to spare for an instance that sends at all, as requests come in bursts.
        spare = 1.0 if expected >= 1.0 else 0.0
        return self.waiting + expected + spare - len(self.issued_s)


@dataclass
class _Bucket:
    """Permits of one target that may be issued.

    Attributes
    ----------
    tokens : float
        Permits that may be issued now.
    """

    updated_s: float
    tokens: float = 0.0
    demand: dict[str, _Demand] = field(default_factory=dict)

    def advance(self, per_s: float, now_s: float) -> None:
        """Add the tokens since the last call, unless many permits are unused."""
        rate = _rate(per_s)
        self.tokens += rate * max(0.0, now_s - self.updated_s)
        self.updated_s = now_s
        for name, demand in list(self.demand.items()):
            while demand.issued_s and now_s - demand.issued_s[0] > UNREPORTED_S:
                demand.issued_s.popleft()
            if now_s - demand.heard_s > DEMAND_TTL_S and not demand.issued_s:
                del self.demand[name]
        unused = sum(len(demand.issued_s) for demand in self.demand.values())
        most = BASE_UNUSED + rate * MAX_UNUSED_S - unused
        self.tokens = min(self.tokens, max(0.0, most))


class PermitIssuer:
    """Issues permits to the instances that report to this one."""

    def __init__(self, rng: random.Random):
        self._rng = rng
        self._buckets: dict[TargetKey, _Bucket] = {}

    def clear(self) -> None:
        """Forget all, as another instance may have issued permits meanwhile."""
        self._buckets.clear()

    def report(
        self,
        instance: str,
        key: TargetKey,
        use: PermitUse,
        waiting: int,
        oldest_s: float,
        now_s: float,
    ) -> None:
        """Record what an instance reports of a target with a limit.

        Parameters
        ----------
        waiting : int
            Its requests that wait for the target.
        oldest_s : float
            Since when the oldest of them has waited.
        """
        bucket = self._buckets.setdefault(key, _Bucket(now_s))
        demand = bucket.demand.setdefault(instance, _Demand(now_s))
        bucket.tokens += min(use.expired, len(demand.issued_s))
        demand.update(use, waiting, oldest_s, now_s)

    def waiting(self, key: TargetKey) -> int:
        """Return how many requests of all instances wait for a target."""
        bucket = self._buckets.get(key)
        return sum(d.waiting for d in bucket.demand.values()) if bucket else 0

    def issue(
        self, limits: Mapping[TargetKey, float], now_s: float
    ) -> dict[str, Counter[TargetKey]]:
        """Return the permits to send now, by instance and target.

        Parameters
        ----------
        limits : Mapping
            Requests a second that each target takes; others are forgotten.
        """
        for key in [key for key in self._buckets if key not in limits]:
            del self._buckets[key]
        issued: dict[str, Counter[TargetKey]] = {}
        for key, bucket in self._buckets.items():
            bucket.advance(limits[key], now_s)
            reserved = min(MAX_RESERVED, RESERVED_S * _rate(limits[key]))
            for instance in self._issue_for(bucket, reserved, now_s):
                issued.setdefault(instance, Counter())[key] += 1
        return issued

    def _issue_for(
        self, bucket: _Bucket, reserved: float, now_s: float
    ) -> Iterable[str]:
        """Yield an instance for each permit of a target that can be issued.

        The one whose request has waited for longest comes first. If none waits,
        instances are drawn in proportion to the requests that are expected there, so
        that those with few have their share too.
        """
        while bucket.tokens >= 1.0:
            live = {
                name: demand
                for name, demand in bucket.demand.items()
                if now_s - demand.heard_s <= DEMAND_TTL_S
            }
            instance = _longest_waiting(live, now_s)
            if instance is None and bucket.tokens >= 1.0 + reserved:
                instance = self._draw(live, now_s)
            if instance is None:
                return
            bucket.tokens -= 1.0
            bucket.demand[instance].issued_s.append(now_s)
            yield instance

    def _draw(self, live: Mapping[str, _Demand], now_s: float) -> str | None:
        """Return an instance that is likely to use a permit, or None."""
        lacking = {name: demand.lacking(now_s) for name, demand in live.items()}
        names = [name for name in sorted(lacking) if lacking[name] > 0]
        if not names:
            return None
        return self._rng.choices(names, [lacking[name] for name in names])[0]


def _longest_waiting(live: Mapping[str, _Demand], now_s: float) -> str | None:
    """Return the instance whose request has waited for longest, or None."""
    waits_s = {name: demand.longest_wait_s(now_s) for name, demand in live.items()}
    name = max(waits_s, key=waits_s.__getitem__, default=None)
    return name if name is not None and waits_s[name] > 0 else None
