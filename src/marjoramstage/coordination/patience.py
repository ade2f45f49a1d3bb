"""Decides whether a request without a place waits or is refused.

Answers the load of a service whose targets are full or lack a model: what
can be served while its caller still waits stays, the rest is told at once
when to come back.
"""

from __future__ import annotations

import enum
from dataclasses import dataclass


@dataclass(frozen=True)
class Limits:
    """Bounds on waiting, in seconds unless said otherwise.

    Attributes
    ----------
    ask_s : float
        Time within which the holder of the placement lease says when a model
        comes.
    ask_share : float
        Part of the caller's patience for the same, where that is more.
    look_s : float
        A ruling holds so long, then it is made anew.
    begin_s : float
        Time from a place to the first sign of an answer.
    full_share : float
        Part of the caller's patience that a request waits for a full target.
    load_s : float
        Time to come back after when nobody knows when a model comes.
    """

    ask_s: float = 0.35
    ask_share: float = 0.25
    look_s: float = 0.1
    begin_s: float = 0.15
    full_share: float = 0.5
    load_s: float = 2.5
    absent_s: float = 0.4
    full_retry_s: float = 0.7
    shortest_retry_s: float = 0.05


LATEST = Limits()


class Outlook(enum.Enum):
    """Why a request has no place now."""

    FULL = "targets full"
    NOT_HELD = "model not held"
    NO_TARGET = "no target"
    TRIED_ALL = "every target tried"
    STOPPING = "stopping"


@dataclass(frozen=True)
class Ruling:
    """What becomes of a request without a place.

    Attributes
    ----------
    refuse : bool
        Answer now; else wait for ``wait_s`` seconds and rule again.
    retry_after_s : float
        When to come back, in seconds.
    """

    refuse: bool
    wait_s: float = 0.0
    retry_after_s: float = 0.0


class Patience:
    """The rule for one instance."""

    def __init__(self, limits: Limits = LATEST):
        self._limits = limits

    def judge(
        self,
        outlook: Outlook,
        waited_s: float,
        left_s: float,
        coming_s: float | None = None,
    ) -> Ruling:
        """Rule on a request.

        Parameters
        ----------
        waited_s, left_s : float
            Time since it came, and until its caller waits no longer for a
            first sign of an answer.
        coming_s : float or None
            When the model is likely to be there; None if nobody knows.
        """
        limits = self._limits
        if outlook is Outlook.TRIED_ALL:
            return Ruling(True, retry_after_s=limits.absent_s)
        if outlook is Outlook.NO_TARGET:
            return self._until(limits.absent_s, waited_s, left_s, limits.absent_s)
        if outlook is Outlook.FULL:
            wait_s = (waited_s + left_s) * limits.full_share
            return self._until(wait_s, waited_s, left_s, limits.full_retry_s)
        if coming_s is None:
            most_s = max(limits.ask_s, (waited_s + left_s) * limits.ask_share)
            return self._until(most_s, waited_s, left_s, limits.load_s)
        if coming_s + limits.begin_s > left_s:
            return Ruling(True, retry_after_s=coming_s + limits.begin_s)
        return Ruling(False, limits.look_s)

    def _until(
        self, most_s: float, waited_s: float, left_s: float, retry_s: float
    ) -> Ruling:
        """Wait until ``most_s`` after a request came, then refuse it."""
        rest_s = min(most_s - waited_s, left_s - self._limits.begin_s)
        if rest_s <= 0:
            return Ruling(True, retry_after_s=retry_s)
        return Ruling(False, min(rest_s, self._limits.look_s))
