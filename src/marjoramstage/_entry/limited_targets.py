"""Notes and logs the limits that targets name in their answers."""

from __future__ import annotations

import enum
from collections.abc import Callable

from marjoramstage._entry.event_log import EventLog
from marjoramstage.clock import Clock
from marjoramstage.coordination.named_limits import NamedLimits
from marjoramstage.state.fleet import Fleet, FleetTarget, LimitNotice


class SendKind(enum.Enum):
    """What is sent to a target: a request, once or once more, or a control call."""

    FIRST = "first"
    REPEAT = "repeat"
    CONTROL = "control"


class LimitedTargets:
    """Targets that named a limit on the rate of requests.

    Attributes
    ----------
    on_sent : callable
        Called with the kind of what is sent to such a target.
    """

    def __init__(
        self, fleet: Fleet, limits: NamedLimits, clock: Clock, events: EventLog
    ):
        self._fleet = fleet
        self._limits = limits
        self._clock = clock
        self._events = events
        self.on_sent: Callable[[SendKind], None] = lambda kind: None

    def record(
        self, target: FleetTarget, notice: LimitNotice, sent_s: float, request_id: str
    ) -> None:
        """Note what an answer to a request says.

        Parameters
        ----------
        target : FleetTarget
            As it was when the request was sent.
        sent_s : float
            When it was sent.
        """
        now_s = self._clock.now()
        before = self._limits.per_s(target)
        if notice.per_s is not None:
            changed = self._limits.record(target, notice.per_s, now_s)
        else:
            changed = notice.lifts and self._limits.lift(target, sent_s, now_s)
        if changed:
            self._log_change(target, before, request_id)

    def note_sent(self, target: FleetTarget, kind: SendKind) -> None:
        """Count what is sent to a target if it has a limit."""
        if self._limits.per_s(target) is not None:
            self.on_sent(kind)

    def count(self) -> int:
        """Count the listed targets that have a limit."""
        targets = self._fleet.targets.values()
        return sum(self._limits.per_s(target) is not None for target in targets)

    def _log_change(
        self, target: FleetTarget, before: float | None, request_id: str
    ) -> None:
        self._events.event(
            "target limit",
            target=target.name,
            incarnation=target.incarnation,
            per_s=self._limits.per_s(target),
            before=before,
            request=request_id,
        )
