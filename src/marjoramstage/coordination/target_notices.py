"""What targets said of themselves in their answers, for as long as it applies.

A target that leaves tells every caller so, and one with too many requests asks an
instance to pause. Both bind an instance that has lost the platform's store and all
other instances, so each keeps what it was told itself. The module does no I/O: time
is an argument.
"""

from __future__ import annotations

from dataclasses import dataclass, replace

from marjoramstage.state.fleet import FleetTarget

# Of a target that does not state its start.
UNKNOWN_INCARNATION = 0

# Targets whose notices are kept, the newest ones.
MAX_TARGETS = 16_384


@dataclass(frozen=True)
class _Leaving:
    """A target that leaves.

    Attributes
    ----------
    incarnation : int
        The newest that said so.
    since_s : float
        When that was learnt.
    is_over : bool
        A later incarnation has been listed since.
    """

    incarnation: int
    since_s: float
    is_over: bool = False


class TargetNotices:
    """Notices of targets to one instance.

    A notice counts for the incarnation that the instance sent its request to, and
    that a target leaves also for those before it: a platform's store that was
    restored from a copy may list them again.
    """

    def __init__(self):
        self._leaving: dict[str, _Leaving] = {}
        # When pauses end, by name and incarnation of the target.
        self._pauses: dict[tuple[str, int], float] = {}

    def record_leaving(self, target: FleetTarget, now_s: float) -> bool:
        """Record that a target leaves; return whether that is news."""
        if self.is_leaving(target):
            return False
        self._leaving.pop(target.name, None)
        self._leaving[target.name] = _Leaving(target.incarnation, now_s)
        _drop_oldest(self._leaving)
        return True

    def record_pause(self, target: FleetTarget, pause_s: float, now_s: float) -> bool:
        """Record a pause; return whether the target was not pausing before.

        A second notice extends a pause and never shortens it.
        """
        left_s = self.pause_left_s(target, now_s)
        if pause_s > left_s:
            key = target.name, target.incarnation
            self._pauses.pop(key, None)
            self._pauses[key] = now_s + pause_s
            _drop_oldest(self._pauses)
        return left_s <= 0 < pause_s

    def is_leaving(self, target: FleetTarget) -> bool:
        """Whether this incarnation of a target, or a later one, said that it leaves."""
        leaving = self._leaving.get(target.name)
        return leaving is not None and target.incarnation <= leaving.incarnation

    def end_leaving(self, target: FleetTarget, now_s: float) -> float | None:
        """Record that a target is back in a later incarnation than the one that left.

        Returns
        -------
        float or None
            Time since that one said so, in seconds; None if that isn't news.
        """
        leaving = self._leaving.get(target.name)
        if leaving is None or leaving.is_over or self.is_leaving(target):
            return None
        self._leaving[target.name] = replace(leaving, is_over=True)
        return now_s - leaving.since_s

    def forget_unnumbered(self, name: str) -> None:
        """Forget a target that is gone and whose incarnations can't be told apart."""
        leaving = self._leaving.get(name)
        if leaving is not None and leaving.incarnation == UNKNOWN_INCARNATION:
            del self._leaving[name]

    def takes_requests(self, target: FleetTarget, now_s: float) -> bool:
        """Whether a target neither leaves nor pauses."""
        return not self.is_leaving(target) and self.pause_left_s(target, now_s) <= 0

    def pause_left_s(self, target: FleetTarget, now_s: float) -> float:
        """Return how much longer a target wants no requests; 0 if it takes some."""
        if not self._pauses:
            return 0.0
        until_s = self._pauses.get((target.name, target.incarnation), now_s)
        return max(0.0, until_s - now_s)


def _drop_oldest(notices: dict) -> None:
    while len(notices) > MAX_TARGETS:
        del notices[next(iter(notices))]
