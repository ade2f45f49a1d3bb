"""Decides whether a request that has no target yet waits or is refused.

Targets may be full or may not hold the requested model. A request waits only if
it can probably be served before its caller gives up; any other is refused at
once, with a time after which to retry.
"""

from __future__ import annotations

import enum
import random
from dataclasses import dataclass

from marjoramstage.coordination.dispatcher import TargetCriteria


@dataclass(frozen=True)
class WaitLimits:
    """Times that requests wait, in seconds unless stated otherwise.

    Attributes
    ----------
    eta_wait_s : float
        How long a request waits for the holder of the placement lease to
        announce when its model will be loaded.
    eta_wait_share : float
        The same as a share of the time that the caller waits; the longer of the
        two applies.
    recheck_s : float
        Interval at which the decision to wait is made again.
    response_start_s : float
        Expected time from the assignment of a target to the start of the answer.
    full_wait_share : float
        Share of the caller's waiting time that a request waits for full targets.
    unknown_eta_retry_s : float
        Retry time given to callers when it is unknown when the model is loaded.
    no_target_s : float
        How long a request waits for any target to appear, and the retry time
        given if none does or every target was tried.
    full_retry_s : float
        Retry time given to callers when all targets stay full.
    min_retry_s : float
        Shortest retry time given to callers.
    limit_wait_share : float
        Share of the caller's waiting time within which its turn at limited targets
        has to come for a request to wait.
    limit_settle_s : float
        How long that holds. One that has waited for longer may take up to
        ``full_wait_share``, as estimates vary.
    limit_spread : float
        Callers that are refused because of a limit come back spread over this share
        of the time that their turn is away.
    pause_wait_s : float
        A pause of targets that ends within this time is waited for.
    pause_spread : float
        Callers that are refused because of a pause come back spread over this share
        of it after its end.
    min_pause_spread_s : float
        The least time over which they are spread.
    """

    eta_wait_s: float = 0.35
    eta_wait_share: float = 0.25
    recheck_s: float = 0.1
    response_start_s: float = 0.15
    full_wait_share: float = 0.5
    unknown_eta_retry_s: float = 2.5
    no_target_s: float = 0.4
    full_retry_s: float = 0.7
    min_retry_s: float = 0.05
    limit_wait_share: float = 0.25
    limit_settle_s: float = 0.3
    limit_spread: float = 1.0
    pause_wait_s: float = 0.3
    pause_spread: float = 0.25
    min_pause_spread_s: float = 0.5


DEFAULT_LIMITS = WaitLimits()


class NoTargetReason(enum.Enum):
    """Why a request has no target now."""

    FULL = "targets full"
    NOT_HELD = "model not held"
    NO_TARGET = "no target"
    TRIED_ALL = "every target tried"
    PAUSED = "targets asked for a pause"
    RATE_LIMITED = "targets named a limit"
    STOPPING = "stopping"


def no_target_reason(
    criteria: TargetCriteria,
    any_listed: bool,
    any_eligible: bool,
    any_paused: bool = False,
    rate_limited: bool = False,
) -> NoTargetReason:
    """Return why a request has no target.

    Parameters
    ----------
    any_listed, any_eligible : bool
        Whether its service has targets that aren't leaving, and whether one of
        them can serve the request once it has room.
    any_paused : bool
        Whether one of them could, had it not asked for a pause.
    rate_limited : bool
        Whether each that can serve it has named a limit which is used up for now.
    """
    if not any_listed:
        return NoTargetReason.NO_TARGET
    if any_eligible:
        return NoTargetReason.RATE_LIMITED if rate_limited else NoTargetReason.FULL
    if any_paused:
        return NoTargetReason.PAUSED
    if criteria.item is not None:
        return NoTargetReason.NOT_HELD
    # A model can be loaded elsewhere; other services have no more targets.
    return NoTargetReason.TRIED_ALL if criteria.tried else NoTargetReason.NO_TARGET


@dataclass(frozen=True)
class WaitDecision:
    """Whether a request without a target waits or is refused.

    Attributes
    ----------
    refuse : bool
        Refuse the request now; otherwise wait ``wait_s`` seconds and decide
        again.
    retry_after_s : float
        Time after which the caller should retry, in seconds.
    """

    refuse: bool
    wait_s: float = 0.0
    retry_after_s: float = 0.0


class WaitPolicy:
    """Policy for requests of one instance that have no target.

    Parameters
    ----------
    rng : random.Random, optional
        Spreads the times at which callers come back.
    """

    def __init__(
        self, limits: WaitLimits = DEFAULT_LIMITS, rng: random.Random | None = None
    ):
        self._limits = limits
        self._rng = rng or random.Random()

    def decide(
        self,
        reason: NoTargetReason,
        waited_s: float,
        remaining_s: float,
        eta_s: float | None = None,
        pause_s: float | None = None,
        turn_s: float | None = None,
    ) -> WaitDecision:
        """Decide whether a request waits or is refused.

        Parameters
        ----------
        waited_s, remaining_s : float
            Time since the request arrived, and time until its caller gives up
            unless an answer has started.
        eta_s : float or None
            Expected time until the model is loaded; None if unknown.
        pause_s : float or None
            Time until the first target that asked for a pause takes requests
            again; None if none did.
        turn_s : float or None
            Expected time until a target that named a limit takes the request; None if
            that isn't what it waits for.
        """
        limits = self._limits
        first_again = pause_s is not None and (eta_s is None or eta_s > pause_s)
        if reason is NoTargetReason.PAUSED and first_again:
            return self._during_pause(pause_s, remaining_s)
        if reason is NoTargetReason.RATE_LIMITED and turn_s is not None:
            soonest_s = turn_s if eta_s is None else min(turn_s, eta_s)
            return self._for_turn(soonest_s, waited_s, remaining_s)
        if reason is NoTargetReason.TRIED_ALL:
            return WaitDecision(True, retry_after_s=limits.no_target_s)
        if reason is NoTargetReason.NO_TARGET:
            return self._wait_at_most(
                limits.no_target_s, waited_s, remaining_s, limits.no_target_s
            )
        if reason is NoTargetReason.FULL:
            wait_s = (waited_s + remaining_s) * limits.full_wait_share
            return self._wait_at_most(
                wait_s, waited_s, remaining_s, limits.full_retry_s
            )
        if eta_s is None:
            max_wait_s = max(
                limits.eta_wait_s, (waited_s + remaining_s) * limits.eta_wait_share
            )
            return self._wait_at_most(
                max_wait_s, waited_s, remaining_s, limits.unknown_eta_retry_s
            )
        if eta_s + limits.response_start_s > remaining_s:
            return WaitDecision(True, retry_after_s=eta_s + limits.response_start_s)
        return WaitDecision(False, limits.recheck_s)

    def retry_after_pause_s(self, pause_s: float) -> float:
        """Return when a caller may retry at targets that pause; spreads callers."""
        limits = self._limits
        spread_s = max(limits.min_pause_spread_s, limits.pause_spread * pause_s)
        return pause_s + self._rng.random() * spread_s

    def _during_pause(self, pause_s: float, remaining_s: float) -> WaitDecision:
        """Refuse a request until targets take some again, or wait if that is soon."""
        limits = self._limits
        in_time = pause_s + limits.response_start_s <= remaining_s
        if pause_s <= limits.pause_wait_s and in_time:
            return WaitDecision(False, min(pause_s, limits.recheck_s))
        return WaitDecision(True, retry_after_s=self.retry_after_pause_s(pause_s))

    def _for_turn(
        self, turn_s: float, waited_s: float, remaining_s: float
    ) -> WaitDecision:
        """Refuse a request whose turn at limited targets is far away."""
        limits = self._limits
        total_s = waited_s + remaining_s
        max_turn_s = total_s * limits.limit_wait_share
        if waited_s > limits.limit_settle_s:
            max_turn_s = total_s * limits.full_wait_share - waited_s
        if turn_s <= max_turn_s:
            return WaitDecision(False, limits.recheck_s)
        spread_s = self._rng.random() * limits.limit_spread * turn_s
        return WaitDecision(True, retry_after_s=turn_s + spread_s)

    def _wait_at_most(
        self, max_wait_s: float, waited_s: float, remaining_s: float, retry_s: float
    ) -> WaitDecision:
        """Wait until ``max_wait_s`` after the request arrived, then refuse it."""
        rest_s = min(max_wait_s - waited_s, remaining_s - self._limits.response_start_s)
        if rest_s <= 0:
            return WaitDecision(True, retry_after_s=retry_s)
        return WaitDecision(False, min(rest_s, self._limits.recheck_s))
