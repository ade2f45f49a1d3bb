"""Decides whether a request without a place waits or is refused.

Answers the load of a service whose targets are full or lack a model: what
can be served before its deadline waits, the rest is told at once when to
come back.
"""

from __future__ import annotations

import enum
from dataclasses import dataclass

from marjoramstage.state.routes import Route


@dataclass(frozen=True)
class Limits:
    """Bounds on waiting.

    Attributes
    ----------
    wait_share : float
        Most of the time that is left that may be waited.
    load_s : float
        Time that a model is likely to take to come.
    least_left_s : float
        Less time than this is not worth a start.
    """

    wait_share: float = 0.7
    load_s: float = 2.0
    full_s: float = 0.5
    absent_s: float = 0.4
    least_left_s: float = 0.05
    shortest_retry_s: float = 0.05


LATEST = Limits()


class Outlook(enum.Enum):
    """Why a request has no place now."""

    FULL = "targets full"
    NOT_HELD = "model not held"
    NO_TARGET = "no target"
    TRIED_ALL = "every target tried"


@dataclass(frozen=True)
class Ruling:
    """What becomes of a request without a place.

    Attributes
    ----------
    refuse : bool
        Answer now; else wait for at most ``wait_s`` seconds.
    retry_after_s : float
        When to come back, in seconds.
    """

    refuse: bool
    reason: str
    wait_s: float = 0.0
    retry_after_s: float = 0.5


class Patience:
    """The rule for one instance."""

    def __init__(self, limits: Limits = LATEST):
        self._limits = limits

    def judge(
        self, outlook: Outlook, route: Route, waited_s: float, left_s: float
    ) -> Ruling:
        """Rule on a request.

        Parameters
        ----------
        waited_s, left_s : float
            Time since it came and until its final answer is due.
        """
        limits = self._limits
        if left_s <= limits.least_left_s:
            return Ruling(True, "no time left")
        if outlook is Outlook.TRIED_ALL:
            return Ruling(True, outlook.value, retry_after_s=limits.absent_s)
        wait_s = left_s * limits.wait_share
        if outlook is Outlook.NO_TARGET:
            return Ruling(False, outlook.value, min(wait_s, limits.absent_s))
        if outlook is Outlook.NOT_HELD and left_s < limits.load_s / 2:
            return Ruling(True, outlook.value, retry_after_s=limits.load_s)
        return Ruling(False, outlook.value, wait_s, limits.full_s)
