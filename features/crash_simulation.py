"""Requests with parts in their prompts, at targets that crash, on virtual time.

One record of all crashes and sound answers decides what is sent, as the instances
together keep it: each learns of them within the time that a crash takes to settle.
"""

import heapq
import itertools
import random
from dataclasses import dataclass, field

from marjoramstage.coordination.crash_evidence import CrashedRequest, TargetStart
from marjoramstage.coordination.part_quarantine import SETTLE_S, PartQuarantine

FATAL = "fatal"
HARMLESS_AFTER_S = 1.0
CONFIRM_S = 0.1
CRASH_AFTER_S = 0.08
DOWN_S = 2.5


@dataclass(frozen=True)
class CrashLoad:
    """A load of some seconds.

    Attributes
    ----------
    rate, fatal_rate : float
        Sound and fatal requests a second.
    fatal_from_s : float
        When the first fatal request may come.
    targets : int
        Number of targets.
    firsts, middles : int
        How many first and second parts sound requests have; few of either get most.
    chance_crashes_s : tuple of float
        When half of the targets crash for another reason, one every 0.2 s.
    crash_share : float
        Share of the sound requests that crash their target for another reason.
    fatal_first : bool
        The fatal part stands first.
    """

    rate: float = 40.0
    fatal_rate: float = 0.0
    targets: int = 6
    firsts: int = 3
    middles: int = 40
    for_s: float = 30.0
    fatal_from_s: float = 4.0
    chance_crashes_s: tuple[float, ...] = ()
    crash_share: float = 0.0
    fatal_first: bool = False


@dataclass
class _Running:
    req: CrashedRequest
    end_s: float
    begin_s: float
    is_harmless: bool = False


@dataclass
class _Target:
    name: str
    incarnation: int = 1
    up_s: float = 0.0
    running: dict[str, _Running] = field(default_factory=dict)


class CrashSimulation:
    """Plays a load; counts what was sent and what was held back."""

    def __init__(self, load, seed):
        self._load = load
        self._rng = random.Random(seed)
        self._quarantine = PartQuarantine()
        self._targets = [_Target(f"t{n}") for n in range(load.targets)]
        self._events = []
        self._order = itertools.count()
        self._ids = itertools.count()
        self.fatal_sent_s = []
        self.fatal_crashes_s = []
        self.sound_held_s = []
        self.sound_sent_s = []

    def run(self):
        load = self._load
        for at_s in self._times(load.rate, 0.0):
            self._at(at_s, self._send, self._sound_parts(), False)
        for at_s in self._times(load.fatal_rate, load.fatal_from_s):
            self._at(at_s, self._send, self._fatal_parts(), True)
        for at_s in load.chance_crashes_s:
            for number in range(load.targets // 2):
                self._at(at_s + 0.2 * number, self._crash, self._targets[number], None)
        while self._events:
            now_s, _, func, args = heapq.heappop(self._events)
            func(now_s, *args)

    def _times(self, rate, from_s):
        now_s = from_s
        while rate and now_s < self._load.for_s:
            now_s += self._rng.expovariate(rate)
            yield now_s

    def _at(self, at_s, func, *args):
        heapq.heappush(self._events, (at_s, next(self._order), func, args))

    def _pick(self, count):
        """Return a number below ``count``, small ones far more often."""
        return min(int(self._rng.paretovariate(0.8)) - 1, count - 1)

    def _sound_parts(self):
        load = self._load
        return (f"p{self._pick(load.firsts)}", f"d{self._pick(load.middles)}")

    def _fatal_parts(self):
        first, second = self._sound_parts()
        return (FATAL, second) if self._load.fatal_first else (first, FATAL)

    def _send(self, now_s, parts, is_fatal):
        if self._quarantine.find(parts, now_s) is not None:
            if not is_fatal:
                self.sound_held_s.append(now_s)
            return
        up = [target for target in self._targets if target.up_s <= now_s]
        if not up:
            return
        (self.fatal_sent_s if is_fatal else self.sound_sent_s).append(now_s)
        target = min(up, key=lambda t: (len(t.running), self._rng.random()))
        req = CrashedRequest(f"r{next(self._ids)}", parts, now_s)
        begin_s = now_s + 0.03 + self._rng.expovariate(20.0)
        end_s = begin_s + self._rng.uniform(0.2, 4.0)
        target.running[req.request_id] = _Running(req, end_s, begin_s)
        incarnation = target.incarnation
        if is_fatal or self._rng.random() < self._load.crash_share:
            crash_s = begin_s + CRASH_AFTER_S
            if not is_fatal:
                crash_s = self._rng.uniform(begin_s, end_s)
            self._at(crash_s, self._crash, target, incarnation, is_fatal)
            return
        harmless_s = min(end_s, begin_s + HARMLESS_AFTER_S)
        self._at(harmless_s, self._harmless, target, req, incarnation)
        self._at(end_s, self._end, target, req, incarnation)

    def _harmless(self, now_s, target, req, incarnation):
        running = target.running.get(req.request_id)
        if running is not None and target.incarnation == incarnation:
            running.is_harmless = True
            self._quarantine.record_harmless(req.parts, running.begin_s)

    def _end(self, now_s, target, req, incarnation):
        if target.incarnation == incarnation:
            target.running.pop(req.request_id, None)

    def _crash(self, now_s, target, incarnation, is_fatal=False):
        if incarnation not in (None, target.incarnation) or target.up_s > now_s:
            return
        if is_fatal:
            self.fatal_crashes_s.append(now_s)
        start = TargetStart(target.name, target.incarnation)
        suspects = [run.req for run in target.running.values() if not run.is_harmless]
        target.incarnation += 1
        target.up_s = now_s + self._rng.uniform(DOWN_S, 2 * DOWN_S)
        target.running.clear()
        self._at(now_s + CONFIRM_S, self._record, start, now_s, suspects)
        self._at(now_s + CONFIRM_S + SETTLE_S, self._judge)

    def _record(self, now_s, start, at_s, suspects):
        self._quarantine.record_crash(start, at_s, suspects)

    def _judge(self, now_s):
        self._quarantine.judge(now_s)
