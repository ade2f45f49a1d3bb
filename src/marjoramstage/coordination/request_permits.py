"""Permits of one instance to send requests to targets that named a limit.

A target's limit applies to all instances together. So each request to such a target
takes a permit, which the holder of the placement lease issues at the rate of the
limit. A permit is for one request and expires, so that what an idle instance does not
use goes to others. An instance that hears from no holder issues few permits itself,
at random times, as it can't know what the others send. Time is an argument.
"""

from __future__ import annotations

import math
import random
from collections import Counter, deque
from dataclasses import dataclass

from marjoramstage.coordination.named_limits import NamedLimits
from marjoramstage.state.fleet import FleetTarget

# Time for which a permit can be used, in seconds.
PERMIT_TTL_S = 1.0

# Without a word from a holder for so long, an instance issues permits itself, in
# seconds; and the share of a limit that all instances together then use.
HOLDER_SILENCE_S = 1.5
UNCOORDINATED_SHARE = 0.5

# Assumed number of instances until it is known.
ASSUMED_INSTANCES = 16

# A target with a limit of less gets so many requests a second all the same: its next
# answer tells whether the limit still applies.
MIN_LIMIT_PER_S = 0.1

TargetKey = tuple[str, int]


@dataclass(frozen=True)
class PermitUse:
    """What an instance did since its last report with the permits for a target.

    Attributes
    ----------
    wanted : int
        Requests that the target could have served.
    used, expired : int
        Permits of the holder that were used and that were not in time.
    """

    wanted: int = 0
    used: int = 0
    expired: int = 0


def key_of(target: FleetTarget) -> TargetKey:
    """Return the name and the incarnation of a target."""
    return target.name, target.incarnation


class RequestPermits:
    """Permits that an instance holds.

    Parameters
    ----------
    limits : NamedLimits
        A target without a limit there takes requests without a permit.

    Attributes
    ----------
    instances : int
        Number of live instances.
    """

    def __init__(self, limits: NamedLimits, rng: random.Random, now_s: float):
        self.instances = ASSUMED_INSTANCES
        self._limits = limits
        self._rng = rng
        self._heard_s = now_s
        self._expiries: dict[TargetKey, deque[float]] = {}
        self._own_due_s: dict[TargetKey, float] = {}
        self._wanted: Counter[TargetKey] = Counter()
        self._used: Counter[TargetKey] = Counter()
        self._expired: Counter[TargetKey] = Counter()

    def heard_from_holder(self, now_s: float) -> None:
        """Record that there is a holder, which issues permits."""
        self._heard_s = now_s
        self._own_due_s.clear()

    def grant(self, key: TargetKey, count: int, now_s: float) -> None:
        """Add permits that the holder issued."""
        self.heard_from_holder(now_s)
        expiries = self._expiries.setdefault(key, deque())
        expiries.extend([now_s + PERMIT_TTL_S] * count)

    def is_needed(self, target: FleetTarget) -> bool:
        """Whether a request to a target takes a permit."""
        return self._limits.per_s(target) is not None

    def admits(self, target: FleetTarget, now_s: float) -> bool:
        """Whether a request may be sent to a target now, as far as its limit goes."""
        per_s = self._limits.per_s(target)
        if per_s is None:
            return True
        key = key_of(target)
        return self._has_granted(key, now_s) or self._has_own(key, per_s, now_s)

    def use(self, target: FleetTarget, now_s: float) -> None:
        """Take the permit for a request to a target that admits it."""
        per_s = self._limits.per_s(target)
        if per_s is None:
            return
        key = key_of(target)
        if self._has_granted(key, now_s):
            self._expiries[key].popleft()
            self._used[key] += 1
        elif key in self._own_due_s:
            self._own_due_s[key] += self._own_interval_s(per_s)

    def give_back(self, target: FleetTarget, now_s: float) -> None:
        """Return the permit of a request that did not reach its target."""
        key = key_of(target)
        if self._used[key] > 0:
            self._used[key] -= 1
            self._expiries[key].appendleft(now_s + PERMIT_TTL_S)

    def want(self, target: FleetTarget) -> None:
        """Record a request that a target with a limit could serve."""
        self._wanted[key_of(target)] += 1

    def drop(self, key: TargetKey) -> None:
        """Drop the permits for a target whose limit has changed."""
        self._expired[key] += len(self._expiries.pop(key, ()))
        self._own_due_s.pop(key, None)

    def take_use(self, target: FleetTarget, now_s: float) -> PermitUse:
        """Return what was done with permits for a target since the last call."""
        key = key_of(target)
        self._has_granted(key, now_s)
        return PermitUse(
            self._wanted.pop(key, 0), self._used.pop(key, 0), self._expired.pop(key, 0)
        )

    def forget(self, name: str) -> None:
        """Forget a target that is gone."""
        tables = (self._expiries, self._own_due_s, *self._counters())
        for table in tables:
            for key in [key for key in table if key[0] == name]:
                del table[key]

    def _counters(self) -> tuple[Counter[TargetKey], ...]:
        return self._wanted, self._used, self._expired

    def _has_granted(self, key: TargetKey, now_s: float) -> bool:
        expiries = self._expiries.get(key)
        if expiries is None:
            return False
        while expiries and expiries[0] <= now_s:
            expiries.popleft()
            self._expired[key] += 1
        return bool(expiries)

    def _has_own(self, key: TargetKey, per_s: float, now_s: float) -> bool:
        """Whether this instance may issue a permit itself.

        Each instance does at an interval from a random time on. A permit that isn't
        used expires like others, or idle instances would save them up.
        """
        if now_s - self._heard_s < HOLDER_SILENCE_S:
            return False
        interval_s = self._own_interval_s(per_s)
        due_s = self._own_due_s.get(key)
        if due_s is None:
            due_s = now_s + self._rng.random() * interval_s
        elif now_s >= due_s + PERMIT_TTL_S:
            due_s += interval_s * max(1, math.floor((now_s - due_s) / interval_s))
        self._own_due_s[key] = due_s
        return now_s >= due_s

    def _own_interval_s(self, per_s: float) -> float:
        share_per_s = UNCOORDINATED_SHARE * max(per_s, MIN_LIMIT_PER_S)
        return max(1, self.instances) / share_per_s
