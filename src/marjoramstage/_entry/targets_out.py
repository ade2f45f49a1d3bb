"""Targets that get no requests because they said so themselves."""

from __future__ import annotations

import asyncio
import enum
from collections.abc import Callable, Mapping
from dataclasses import replace

from marjoramstage._entry.event_log import EventLog
from marjoramstage.clock import Clock
from marjoramstage.coordination.target_notices import TargetNotices
from marjoramstage.protocol.peers import LeavingTarget
from marjoramstage.state.fleet import Fleet, FleetTarget, TargetNotice


class OutCause(enum.Enum):
    """Why a target gets no requests though the platform lists it as ready."""

    LEAVING = "leaving"
    PAUSED = "paused"


class TargetsOut:
    """Heeds what targets say of themselves in their answers.

    Parameters
    ----------
    notices : TargetNotices
        Where it is kept; whoever chooses a target asks there.
    on_change : callable
        Called when a target has gone out or come back.

    Attributes
    ----------
    on_out : callable
        Called with the cause when a target goes out.
    """

    def __init__(
        self,
        fleet: Fleet,
        notices: TargetNotices,
        clock: Clock,
        events: EventLog,
        on_change: Callable[[], None],
    ):
        self._fleet = fleet
        self._notices = notices
        self._clock = clock
        self._events = events
        self._on_change = on_change
        self.on_out: Callable[[OutCause], None] = lambda cause: None

    def record(
        self, target: FleetTarget, notice: TargetNotice, request_id: str
    ) -> None:
        """Heed a notice.

        Parameters
        ----------
        target : FleetTarget
            As it was when the request was sent.
        request_id : str
            Of the request; empty for a control call.
        """
        now_s = self._clock.now()
        if notice.leaving and self._notices.record_leaving(target, now_s):
            self._log_out(target, OutCause.LEAVING, request_id, 0.0)
            self._mark_leaving(target.name)
        if self._notices.record_pause(target, notice.pause_s, now_s):
            self._log_out(target, OutCause.PAUSED, request_id, notice.pause_s)
            self._await_pause_end(target, now_s)

    def apply(self, target: FleetTarget) -> FleetTarget:
        """Return a target that the platform lists, leaving if it said so itself."""
        if self._notices.is_leaving(target):
            return replace(target, leaving=True)
        out_s = self._notices.end_leaving(target, self._clock.now())
        if out_s is not None:
            self._log_back(target, OutCause.LEAVING, out_s)
        return target

    def leaving(self) -> tuple[LeavingTarget, ...]:
        """Return the listed targets that told this instance that they leave."""
        return tuple(
            LeavingTarget(target.name, str(target.incarnation))
            for target in self._fleet.targets.values()
            if target.leaving and self._notices.is_leaving(target)
        )

    def counts(self) -> Mapping[OutCause, int]:
        """Count the listed targets that are out, by cause."""
        now_s = self._clock.now()
        found = dict.fromkeys(OutCause, 0)
        for target in self._fleet.targets.values():
            if self._notices.is_leaving(target):
                found[OutCause.LEAVING] += 1
            elif self._notices.pause_left_s(target, now_s) > 0:
                found[OutCause.PAUSED] += 1
        return found

    def _mark_leaving(self, name: str) -> None:
        listed = self._fleet.targets.get(name)
        if listed is not None and self._notices.is_leaving(listed):
            self._fleet.targets[name] = replace(listed, leaving=True)
            self._on_change()

    def _await_pause_end(self, target: FleetTarget, began_s: float) -> None:
        now_s = self._clock.now()
        left_s = self._notices.pause_left_s(target, now_s)
        if left_s > 0:
            loop = asyncio.get_running_loop()
            loop.call_later(left_s, self._await_pause_end, target, began_s)
            return
        self._log_back(target, OutCause.PAUSED, now_s - began_s)
        self._on_change()

    def _log_out(
        self, target: FleetTarget, cause: OutCause, request_id: str, pause_s: float
    ) -> None:
        self.on_out(cause)
        self._events.event(
            "target out",
            target=target.name,
            incarnation=target.incarnation,
            cause=cause.value,
            request=request_id,
            pause_s=pause_s,
        )

    def _log_back(self, target: FleetTarget, cause: OutCause, out_s: float) -> None:
        self._events.event(
            "target back",
            target=target.name,
            incarnation=target.incarnation,
            cause=cause.value,
            out_s=round(out_s, 3),
        )
