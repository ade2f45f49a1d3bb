"""Finds out which requests of this instance were at a target when it crashed.

An answer breaks off for many reasons: the target takes a connection for too many,
leaves, or the network resets it. It counts as a crash only if the target, which no
one says to leave, then accepts no connection. An answer on which the target has been
writing for a while did not crash it. One that only its connection ends is judged by
whether its target still serves.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field

from marjoramstage._entry.instance_state import InstanceState
from marjoramstage._entry.request_context import RequestContext
from marjoramstage.coordination.crash_evidence import CrashedRequest, TargetStart
from marjoramstage.state.fleet import FleetTarget
from marjoramstage.transport.framing import Framing
from marjoramstage.transport.target_client import TargetClient, TargetResponse

# A crash comes sooner than this after the target begins to write, in seconds.
HARMLESS_AFTER_S = 1.0
# A target that ends may accept connections for so long after it broke off answers.
CONFIRM_DELAY_S = 0.1
# A crash ends all answers of its target within this time, in seconds.
SAME_END_S = 0.05
# How long a crash stays known to the requests that notice it late, in seconds.
KNOWN_CRASH_S = 1.5


@dataclass
class _Break:
    """Answers of one start of a target that broke off together."""

    at_s: float
    requests: list[CrashedRequest] = field(default_factory=list)


@dataclass(frozen=True)
class _UnframedEnd:
    """An end of an answer that may be whole or cut between two events."""

    req: CrashedRequest
    began_s: float
    ended_s: float


class CrashObserver:
    """Observes how answers of targets end.

    Attributes
    ----------
    on_crash : callable
        Called with a start of a target, when it crashed, and the requests that may
        have crashed it.
    on_harmless : callable
        Called with parts of a prompt and when a target began to write on them.
    """

    def __init__(self, state: InstanceState, target_client: TargetClient):
        self._state = state
        self._target_client = target_client
        self._breaks: dict[TargetStart, _Break] = {}
        self._crashed_s: dict[TargetStart, float] = {}
        self.on_crash: Callable[
            [TargetStart, float, Iterable[CrashedRequest]], None
        ] = lambda start, at_s, requests: None
        self.on_harmless: Callable[[tuple[str, ...], float], None] = (
            lambda parts, began_s: None
        )

    def writing(self, ctx: RequestContext) -> None:
        """Note that a target writes on an answer."""
        if ctx.harmless or not ctx.shared_parts:
            return
        if self._wrote_long(ctx):
            self._note_harmless(ctx)

    def answered(
        self, ctx: RequestContext, target: FleetTarget, answer: TargetResponse
    ) -> None:
        """Note that a target has written a whole answer.

        One that only its connection ends may also be one that a crash cut between
        two events, so it counts once it is known whether the target still serves.
        """
        if ctx.harmless or not ctx.shared_parts or answer.status >= 300:
            return
        if answer.framing is not Framing.CONNECTION:
            self._note_harmless(ctx)
            return
        now_s = self._state.clock.now()
        req = CrashedRequest(ctx.headers.request_id, ctx.shared_parts, ctx.sent_s)
        began_s = now_s if ctx.answer_began_s is None else ctx.answer_began_s
        end = _UnframedEnd(req, began_s, now_s)
        self._state.background.start("crash check", self._confirm_end, end, target)

    def broke_off(self, ctx: RequestContext, target: FleetTarget) -> None:
        """Note that an answer broke off, or that its connection did before it."""
        if ctx.harmless or not ctx.shared_parts or not self._serves(target):
            return
        if self._wrote_long(ctx):
            self._note_harmless(ctx)
            return
        now_s = self._state.clock.now()
        start = _start_of(target)
        req = CrashedRequest(ctx.headers.request_id, ctx.shared_parts, ctx.sent_s)
        if now_s - self._crashed_s.get(start, -KNOWN_CRASH_S) < KNOWN_CRASH_S:
            self.on_crash(start, self._crashed_s[start], (req,))
            return
        found = self._breaks.get(start)
        if found is None:
            found = self._breaks[start] = _Break(now_s)
            self._state.background.start("crash check", self._confirm, start, target)
        found.requests.append(req)

    def _wrote_long(self, ctx: RequestContext) -> bool:
        began_s = ctx.answer_began_s
        if began_s is None:
            return False
        return self._state.clock.now() - began_s >= HARMLESS_AFTER_S

    def _note_harmless(self, ctx: RequestContext) -> None:
        ctx.harmless = True
        began_s = ctx.answer_began_s or self._state.clock.now()
        self.on_harmless(ctx.shared_parts, began_s)

    async def _confirm_end(self, end: _UnframedEnd, target: FleetTarget) -> None:
        """Report how an answer ended that only its connection ends."""
        start = _start_of(target)
        await asyncio.sleep(2 * CONFIRM_DELAY_S)
        is_up = await self._target_client.accepts_connections(target.address)
        crashed_s = self._known_crash_s(start)
        if is_up or self._ended_before(end, crashed_s):
            self.on_harmless(end.req.parts, end.began_s)
            return
        if not self._serves(target):
            return
        if start in self._breaks:
            self._breaks[start].requests.append(end.req)
            return
        if crashed_s is None:
            self._log_break(start, 1, is_up)
            crashed_s = end.ended_s
            self._note_crash(start, crashed_s)
        self.on_crash(start, crashed_s, (end.req,))

    def _known_crash_s(self, start: TargetStart) -> float | None:
        """Return when a target crashed, or may have; None if nothing shows that."""
        if start in self._breaks:
            return self._breaks[start].at_s
        return self._crashed_s.get(start)

    def _ended_before(self, end: _UnframedEnd, crashed_s: float | None) -> bool:
        """Whether an answer ended too long before a crash to be cut by it."""
        return crashed_s is not None and crashed_s - end.ended_s >= SAME_END_S

    def _note_crash(self, start: TargetStart, at_s: float) -> None:
        self._forget_crashes()
        self._crashed_s[start] = at_s

    def _serves(self, target: FleetTarget) -> bool:
        """Whether a target is listed and isn't known to leave."""
        listed = self._state.fleet.targets.get(target.name)
        if listed is None or listed.incarnation != target.incarnation:
            return False
        return not listed.leaving

    async def _confirm(self, start: TargetStart, target: FleetTarget) -> None:
        """Report a crash if the target is down."""
        await asyncio.sleep(CONFIRM_DELAY_S)
        try:
            is_up = await self._target_client.accepts_connections(target.address)
        finally:
            found = self._breaks.pop(start)
        self._log_break(start, len(found.requests), is_up)
        if is_up or not self._serves(target):
            return
        self._note_crash(start, found.at_s)
        self.on_crash(start, found.at_s, found.requests)

    def _log_break(self, start: TargetStart, requests: int, is_up: bool) -> None:
        self._state.events.event(
            "answers broke off",
            target=start.target,
            incarnation=start.incarnation,
            requests=requests,
            target_up=is_up,
        )

    def _forget_crashes(self) -> None:
        now_s = self._state.clock.now()
        for start, at_s in list(self._crashed_s.items()):
            if now_s - at_s >= KNOWN_CRASH_S:
                del self._crashed_s[start]


def _start_of(target: FleetTarget) -> TargetStart:
    return TargetStart(target.name, target.incarnation)
