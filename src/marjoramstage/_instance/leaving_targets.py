"""Matches announcements of leaving targets with target incarnations."""

from __future__ import annotations

from collections.abc import Callable

from marjoramstage.coordination.config_events import LeavingDetected, NodeEvent
from marjoramstage.protocol.events import (
    Event,
    TargetGone,
    TargetLeaving,
    TargetListed,
    TargetReported,
)
from marjoramstage.protocol.messages import TargetReport
from marjoramstage.protocol.peers import LeavingTarget


class LeavingTargets:
    """Decides which announcements apply to the current incarnation of a target.

    A target is announced as leaving by name and incarnation. The announcement may
    arrive before the target is listed, or after it has restarted.

    Parameters
    ----------
    is_known : callable
        Returns whether an incarnation of a target is known to be leaving.
    post_to_node : callable
        Receives what this instance detected itself, to be announced to peers.
    """

    def __init__(
        self,
        is_known: Callable[[LeavingTarget], bool],
        post_to_node: Callable[[NodeEvent], None],
    ):
        self._is_known = is_known
        self._post_to_node = post_to_node
        self._incarnations: dict[str, str] = {}

    def incarnation(self, target: str) -> str:
        """Return the incarnation in a target's last report; empty before one."""
        return self._incarnations.get(target, "")

    def expand(self, event: Event) -> list[Event]:
        """Process an event; return the events to pass on in its place.

        A `TargetLeaving` event for another incarnation is dropped. The first report
        of an incarnation that is known to be leaving is followed by `TargetLeaving`.
        """
        match event:
            case TargetLeaving(name, incarnation):
                # Before the first report the current incarnation is not known, so
                # only an announcement without an incarnation applies.
                if incarnation not in ("", self._incarnations.get(name)):
                    return []
            case TargetReported(report):
                return [event, *self._on_report(report)]
            case TargetListed(target) if target.leaving:
                self._announce(target.name)
            case TargetGone(name):
                self._incarnations.pop(name, None)
        return [event]

    def _on_report(self, report: TargetReport) -> list[Event]:
        name = report.target
        if self._incarnations.get(name) == report.incarnation and not report.leaving:
            return []
        is_new_start = self._incarnations.get(name) != report.incarnation
        self._incarnations[name] = report.incarnation
        if report.leaving:
            self._announce(name)
        leaving = LeavingTarget(name, report.incarnation)
        if is_new_start and self._is_known(leaving):
            return [TargetLeaving(name, report.incarnation)]
        return []

    def _announce(self, name: str) -> None:
        """Announce that a target is leaving.

        Does nothing while its incarnation is unknown, or if it is already announced.
        """
        leaving = LeavingTarget(name, self._incarnations.get(name, ""))
        if leaving.incarnation and not self._is_known(leaving):
            self._post_to_node(LeavingDetected(leaving))
