"""Heeds the limits on the rate of requests that targets name in their answers."""

from __future__ import annotations

import enum
from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass, replace

from marjoramstage._entry.event_log import EventLog
from marjoramstage.clock import Clock
from marjoramstage.coordination.named_limits import LimitWord, NamedLimits
from marjoramstage.coordination.permit_issuer import ISSUED_SHARE
from marjoramstage.coordination.request_permits import (
    MIN_LIMIT_PER_S,
    RequestPermits,
    TargetKey,
    key_of,
)
from marjoramstage.coordination.wait_queue import WaitingGroup
from marjoramstage.protocol.peers import LimitedTarget, TargetPermits
from marjoramstage.state.fleet import Fleet, FleetTarget, LimitNotice


class SendKind(enum.Enum):
    """What is sent to a target: a request, once or once more, or a control call."""

    FIRST = "first"
    REPEAT = "repeat"
    CONTROL = "control"


@dataclass(frozen=True)
class _KnownWaiting:
    """Requests that waited for a target when the holder told.

    Attributes
    ----------
    everywhere, here : int
        Those of all instances, and of this one.
    """

    everywhere: int = 0
    here: int = 0


class LimitedTargets:
    """Targets that named a limit on the rate of requests.

    Parameters
    ----------
    limits : NamedLimits
        Where the limits are kept.
    permits : RequestPermits
        Permits of this instance to send requests to such targets.
    on_change : callable
        Called when a limit has changed.

    Attributes
    ----------
    on_sent : callable
        Called with the kind of what is sent to such a target.
    """

    def __init__(
        self,
        fleet: Fleet,
        limits: NamedLimits,
        permits: RequestPermits,
        clock: Clock,
        events: EventLog,
        on_change: Callable[[], None],
    ):
        self._fleet = fleet
        self._limits = limits
        self._permits = permits
        self._clock = clock
        self._events = events
        self._on_change = on_change
        self._waiting: dict[TargetKey, _KnownWaiting] = {}
        self.on_sent: Callable[[SendKind], None] = lambda kind: None

    def record(
        self, target: FleetTarget, notice: LimitNotice, sent_s: float, request_id: str
    ) -> None:
        """Heed what an answer to a request says.

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
            self._apply_change(target, before, request_id)

    def learn(self, entries: Iterable[LimitedTarget]) -> None:
        """Heed what another instance knows of such targets."""
        now_s = self._clock.now()
        for entry in entries:
            target = self._fleet.targets.get(entry.target)
            if target is None or target.incarnation != entry.incarnation:
                continue
            before = self._limits.per_s(target)
            at_s = now_s - entry.age_ms * 0.001
            if self._limits.learn_told(
                entry.target, entry.incarnation, entry.limit_per_s, at_s
            ):
                self._apply_change(target, before, "")

    def apply_view(
        self, entries: Iterable[LimitedTarget], waiting: Mapping[str, WaitingGroup]
    ) -> None:
        """Heed what the holder of the placement lease tells of such targets.

        Parameters
        ----------
        waiting : Mapping
            Requests of this instance that wait, by each target that could serve them.
        """
        self._permits.heard_from_holder(self._clock.now())
        self._waiting = {
            (e.target, e.incarnation): _KnownWaiting(
                e.waiting, waiting.get(e.target, WaitingGroup()).count
            )
            for e in entries
        }
        self.learn(entries)

    def apply_permits(self, permits: Iterable[TargetPermits]) -> None:
        """Add permits that the holder of the placement lease issued."""
        now_s = self._clock.now()
        for entry in permits:
            self._permits.grant((entry.target, entry.incarnation), entry.count, now_s)

    def report(self, waiting: Mapping[str, WaitingGroup]) -> tuple[LimitedTarget, ...]:
        """Return what the holder should know, and start to count anew.

        Parameters
        ----------
        waiting : Mapping
            Requests of this instance that wait, by each target that could serve them.
        """
        now_s = self._clock.now()
        found = []
        for target, word in self._known(now_s):
            use = self._permits.take_use(target, now_s)
            group = waiting.get(target.name, WaitingGroup())
            entry = replace(
                _entry(target, word, group.count, now_s),
                wanted=use.wanted,
                used=use.used,
                expired=use.expired,
                oldest_ms=max(0, int((now_s - min(now_s, group.oldest_s)) * 1000)),
            )
            found.append(entry)
        return tuple(found)

    def view(
        self, count_waiting: Callable[[TargetKey], int]
    ) -> tuple[LimitedTarget, ...]:
        """Return what all instances should know.

        Parameters
        ----------
        count_waiting : callable
            Returns how many requests of all instances wait for a target.
        """
        now_s = self._clock.now()
        return tuple(
            _entry(target, word, count_waiting(key_of(target)), now_s)
            for target, word in self._known(now_s)
        )

    def limits(self) -> dict[TargetKey, float]:
        """Return the limits of the listed targets, in requests a second."""
        return {
            key_of(target): word.per_s
            for target, word in self._known(self._clock.now())
            if word.per_s is not None
        }

    def want(self, targets: Iterable[FleetTarget]) -> None:
        """Record that a request arrived which these targets could serve."""
        for target in targets:
            if self._limits.per_s(target) is not None:
                self._permits.want(target)

    def turn_s(
        self,
        targets: Iterable[FleetTarget],
        ahead: int,
        own_waiting: int,
        waited_s: float,
    ) -> float:
        """Return the expected time until one of these targets admits a request.

        Parameters
        ----------
        ahead : int
            Requests of this instance that have their turn before it.
        own_waiting : int
            All requests of this instance that wait for these targets.
        waited_s : float
            How long the request has waited.
        """
        limits = [(key_of(t), self._limits.per_s(t) or 0.0) for t in targets]
        rate = ISSUED_SHARE * sum(max(per_s, MIN_LIMIT_PER_S) for _, per_s in limits)
        everywhere = [self._count_waiting(key, own_waiting) for key, _ in limits]
        waiting = max(everywhere, default=own_waiting)
        # The oldest request of all instances has its turn first.
        return max((ahead + 1) / rate, waiting / rate - waited_s) if rate else 0.0

    def _count_waiting(self, key: TargetKey, own_waiting: int) -> int:
        """Return how many requests of all instances are likely to wait for a target.

        As many as here have come at each other instance since the holder told.
        """
        known = self._waiting.get(key, _KnownWaiting())
        new = max(0, own_waiting - known.here)
        return max(own_waiting, known.everywhere + new * self._permits.instances)

    def note_sent(self, target: FleetTarget, kind: SendKind) -> None:
        """Count what is sent to a target if it has a limit."""
        if self._limits.per_s(target) is not None:
            self.on_sent(kind)

    def count(self) -> int:
        """Count the listed targets that have a limit."""
        return len(self.limits())

    def _known(self, now_s: float) -> list[tuple[FleetTarget, LimitWord]]:
        """Return the listed targets that named a limit, and the newest of it."""
        if not self._limits.any_named():
            return []
        return [
            (target, word)
            for target in self._fleet.targets.values()
            if (word := self._limits.word_to_tell(target, now_s)) is not None
        ]

    def _apply_change(
        self, target: FleetTarget, before: float | None, request_id: str
    ) -> None:
        per_s = self._limits.per_s(target)
        if before is not None and (per_s is None or per_s < before):
            self._permits.drop(key_of(target))
        self._events.event(
            "target limit",
            target=target.name,
            incarnation=target.incarnation,
            per_s=per_s,
            before=before,
            request=request_id,
        )
        self._on_change()


def _entry(
    target: FleetTarget, word: LimitWord, waiting: int, now_s: float
) -> LimitedTarget:
    """Return what to tell others of a target."""
    return LimitedTarget(
        target.name,
        target.incarnation,
        int((word.per_s or 0.0) * 1000),
        ended=word.per_s is None,
        age_ms=max(0, int((now_s - word.at_s) * 1000)),
        waiting=waiting,
    )
