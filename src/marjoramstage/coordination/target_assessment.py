"""How a target looks for a request: its cost, or what excludes it."""

from __future__ import annotations

import enum
from dataclasses import dataclass

from marjoramstage.state.fleet import FleetTarget


class Exclusion(enum.Enum):
    """Why a request isn't sent to a target now.

    Attributes
    ----------
    LEAVING
        It is draining.
    NOT_HELD
        It doesn't hold the model or adapter, or no longer for new requests.
    VERSION
        It runs another version of its program than the one that began the stream.
    TRIED
        The request was sent to it before.
    UNREACHABLE
        A connection to it has failed of late.
    PAUSED
        It asked this instance for a pause.
    FULL
        It runs as many requests as it has slots, and some more.
    PREFILL
        One more prompt now would make its streams pause for too long.
    LIMIT
        It named a limit on the rate of requests, and no permit is left.
    """

    LEAVING = "leaving"
    NOT_HELD = "not held"
    VERSION = "version"
    TRIED = "tried before"
    UNREACHABLE = "unreachable"
    PAUSED = "paused"
    FULL = "full"
    PREFILL = "prefill pacing"
    LIMIT = "limit"


@dataclass(slots=True)
class TargetCost:
    """Cost of a target; the one with the lowest sum is chosen.

    Costs are relative to a target with requests in all of its slots, which costs 1.

    Attributes
    ----------
    busy : float
        From its running requests.
    prefill : float
        From prompts that it has yet to read and, if the work of the request is known,
        its own.
    distance, failures : float
        From its data centre, and from recent failures.
    permit : float
        Negative if a permit for it would expire.
    """

    busy: float
    prefill: float
    distance: float
    failures: float
    permit: float

    @property
    def total(self) -> float:
        """Return the sum."""
        return self.busy + self.distance + self.failures + self.permit + self.prefill


@dataclass(frozen=True)
class Assessment:
    """How a target looks for a request.

    Attributes
    ----------
    exclusion : Exclusion or None
        Why the request isn't sent there; None if it may be.
    running : int
        Requests of all instances there, as far as is known.
    cost : TargetCost
        Without the random part; also given for a target that is excluded.
    backlog_s : float
        Time until the target has read the prompts sent to it, in seconds.
    cached_tokens : int or None
        Tokens of the prompt that the target is likely to have cached; None if the
        request's work isn't known.
    work_s : float or None
        Decode time left of this instance's requests there, in seconds.
    pause_left_s : float
        How much longer it wants no requests of this instance, in seconds.
    """

    target: FleetTarget
    exclusion: Exclusion | None
    running: int
    cost: TargetCost
    backlog_s: float
    cached_tokens: int | None = None
    work_s: float | None = None
    pause_left_s: float = 0.0
