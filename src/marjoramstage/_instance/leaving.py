"""Joins what is heard of leaving targets with their incarnations."""

from __future__ import annotations

from collections.abc import Callable

from marjoramstage.coordination._steps import LeavingLearned, NodeEvent
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
    """Which incarnations of which targets leave, as this instance knows.

    Leaving is told by name and incarnation and may be heard before the target
    is listed, or after it has started anew.

    Parameters
    ----------
    known : callable
        Whether an incarnation of a target is known to leave.
    tell : callable
        Takes what this instance learned by itself, for its peers.
    """

    def __init__(
        self,
        known: Callable[[LeavingTarget], bool],
        tell: Callable[[NodeEvent], None],
    ):
        self._known = known
        self._tell = tell
        self._incarnations: dict[str, str] = {}

    def incarnation(self, target: str) -> str:
        """Return the incarnation that a target last reported, or empty."""
        return self._incarnations.get(target, "")

    def hear(self, event: Event) -> list[Event]:
        """Take one event in; return the events that it stands for."""
        match event:
            case TargetLeaving(name, incarnation):
                # Before the first report it is not known which start it is.
                if incarnation not in ("", self._incarnations.get(name)):
                    return []
            case TargetReported(report):
                return [event, *self._reported(report)]
            case TargetListed(target) if target.leaving:
                self._learned(target.name)
            case TargetGone(name):
                self._incarnations.pop(name, None)
        return [event]

    def _reported(self, report: TargetReport) -> list[Event]:
        name = report.target
        if self._incarnations.get(name) == report.incarnation and not report.leaving:
            return []
        first = self._incarnations.get(name) != report.incarnation
        self._incarnations[name] = report.incarnation
        if report.leaving:
            self._learned(name)
        leaving = LeavingTarget(name, report.incarnation)
        if first and self._known(leaving):
            return [TargetLeaving(name, report.incarnation)]
        return []

    def _learned(self, name: str) -> None:
        """Tell the peers, unless the incarnation or the news is known."""
        leaving = LeavingTarget(name, self._incarnations.get(name, ""))
        if leaving.incarnation and not self._known(leaving):
            self._tell(LeavingLearned(leaving))
