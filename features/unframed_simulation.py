"""Streams that only their connection ends, at targets that a fatal part crashes.

The instance's own observer and judge decide what is sent, on virtual time.
"""

import asyncio
import itertools
import random
from dataclasses import dataclass, replace
from types import SimpleNamespace

from features.notice_machine import make_state, make_target
from features.virtual_asyncio import VirtualTimeLoop
from marjoramstage._entry.crash_observer import CrashObserver
from marjoramstage.coordination.part_quarantine import SETTLE_S
from marjoramstage.transport.framing import Framing

FATAL = "fatal"
SAME_FIRST, OTHER_FIRST = "a", "b"
TRIES = 3
RETRY_S = 0.3
PREFILL_S = 0.03
EVENT_S = 0.05
EVENTS = 12
DOWN_S = 2.5


@dataclass(frozen=True)
class UnframedLoad:
    """A load of some seconds.

    Attributes
    ----------
    rate : float
        Requests a second with the fatal part, and healthy ones with either first part.
    crash_share : float
        Share of the healthy requests that crash their target for another reason.
    between_share : float
        Share of the crashes that end the answer of their request between two events.
    """

    is_fatal: bool = True
    crash_share: float = 0.0
    between_share: float = 0.0
    framing: Framing = Framing.CONNECTION
    rate: float = 5.0
    targets: int = 8
    for_s: float = 24.0


@dataclass(frozen=True)
class FirstAttempt:
    """How the first attempt of a healthy request began."""

    first: str
    at_s: float
    is_refused: bool
    is_whole: bool


class _Target:
    def __init__(self, name):
        self.name = name
        self.incarnation = 1
        self.is_up = True
        self.running = {}


class UnframedSimulation:
    """Plays a load; keeps what was sent and what was refused."""

    def __init__(self, load, seed):
        self._load = load
        self._rng = random.Random(seed)
        self._loop = VirtualTimeLoop()
        self._state = make_state(self._loop)
        self._observer = CrashObserver(self._state, self)
        self._observer.on_crash = self._record_crash
        self._observer.on_harmless = self._state.quarantine.record_harmless
        self._targets = [_Target(f"t{n}") for n in range(load.targets)]
        self._ids = itertools.count()
        self.fatal_sent_s = []
        self.fatal_crashes_s = []
        self.firsts = []

    def run(self):
        for target in self._targets:
            self._relist(target)
        try:
            self._loop.run_until_complete(self._play())
        finally:
            self._loop.close()

    async def accepts_connections(self, address):
        return any(t.is_up for t in self._targets if t.name == address)

    def _relist(self, target):
        listed = make_target(target.name, target.incarnation)
        self._state.fleet.put(replace(listed, address=target.name))

    async def _play(self):
        async with asyncio.TaskGroup() as group:
            for parts in ((SAME_FIRST,), (OTHER_FIRST,), (SAME_FIRST, FATAL)):
                if FATAL not in parts or self._load.is_fatal:
                    group.create_task(self._come(parts, group))
        await asyncio.sleep(SETTLE_S)

    async def _come(self, parts, group):
        while self._loop.time() < self._load.for_s:
            await asyncio.sleep(self._rng.expovariate(self._load.rate))
            group.create_task(self._ask(parts))

    async def _ask(self, parts):
        if FATAL not in parts:
            parts = (*parts, f"d{self._rng.randrange(7)}")
        for attempt in range(TRIES):
            at_s = self._loop.time()
            is_refused = self._state.quarantine.find(parts, at_s) is not None
            is_whole = not is_refused and await self._send(parts)
            if attempt == 0 and FATAL not in parts:
                self.firsts.append(FirstAttempt(parts[0], at_s, is_refused, is_whole))
            if is_whole:
                return
            await asyncio.sleep(RETRY_S)

    async def _send(self, parts):
        up = [target for target in self._targets if target.is_up]
        if not up:
            return False
        target = min(up, key=lambda t: (len(t.running), self._rng.random()))
        ctx = self._context(parts)
        listed = self._state.fleet.targets[target.name]
        end = target.running[ctx.headers.request_id] = self._loop.create_future()
        writing = asyncio.create_task(self._write(target, ctx, parts))
        is_whole = await end
        writing.cancel()
        self._note_end(ctx, listed, is_whole)
        return is_whole

    async def _write(self, target, ctx, parts):
        is_fatal = FATAL in parts
        if is_fatal:
            self.fatal_sent_s.append(self._loop.time())
        by_chance = not is_fatal and self._rng.random() < self._load.crash_share
        await asyncio.sleep(PREFILL_S)
        ctx.answer_began_s = self._loop.time()
        for number in range(EVENTS):
            await asyncio.sleep(EVENT_S)
            if is_fatal or (by_chance and number == EVENTS // 2):
                between = self._rng.random() < self._load.between_share
                ctx.inside_event = not between
                self._crash(target)
                return
            self._observer.writing(ctx)
        end = target.running.pop(ctx.headers.request_id)
        if not end.done():
            end.set_result(True)

    def _note_end(self, ctx, target, is_whole):
        """Report an end as the relay sees it."""
        has_events = ctx.answer_began_s is not None
        is_unframed = self._load.framing is Framing.CONNECTION
        if is_whole or (is_unframed and has_events and not ctx.inside_event):
            answer = SimpleNamespace(status=200, framing=self._load.framing)
            self._observer.answered(ctx, target, answer)
        else:
            self._observer.broke_off(ctx, target)

    def _context(self, parts):
        return SimpleNamespace(
            shared_parts=parts,
            headers=SimpleNamespace(request_id=f"r{next(self._ids)}"),
            sent_s=self._loop.time(),
            answer_began_s=None,
            harmless=False,
            inside_event=False,
        )

    def _crash(self, target):
        self.fatal_crashes_s.append(self._loop.time())
        target.is_up = False
        running, target.running = target.running, {}
        for end in running.values():
            if not end.done():
                end.set_result(False)
        self._loop.call_later(
            self._rng.uniform(DOWN_S, 2 * DOWN_S), self._start_again, target
        )

    def _start_again(self, target):
        target.is_up = True
        target.incarnation += 1
        self._relist(target)

    def _record_crash(self, start, at_s, requests):
        self._state.quarantine.record_crash(start, at_s, requests)
        self._loop.call_later(SETTLE_S, self._judge)

    def _judge(self):
        self._state.quarantine.judge(self._loop.time())
