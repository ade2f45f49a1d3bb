"""Events of a `LeaseElector` about the lease of a shard of targets."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True)
class LeaseHeld:
    """This instance holds the lease of a shard of targets.

    Attributes
    ----------
    until_s : float
        Reading of the monotonic clock at which the lease expires.
    fence : int
        Fencing number of this term of the lease.
    """

    shard: str
    fence: int
    until_s: float


@dataclass(frozen=True)
class LeaseLost:
    """This instance no longer holds the lease of a shard."""

    shard: str
