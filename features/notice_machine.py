"""Random answers, lists, restarts and restored stores against what targets said."""

import asyncio
from collections import defaultdict

from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, rule

from features.virtual_asyncio import VirtualTimeLoop
from marjoramstage._entry.event_log import EventLog
from marjoramstage._entry.instance_state import InstanceState
from marjoramstage.coordination.dispatcher import TargetCriteria
from marjoramstage.logs import component_logger
from marjoramstage.state.fleet import FleetTarget, TargetNotice
from marjoramstage.state.node_settings import NodeSettings

NAMES = ("t1", "t2", "t3")
names = st.sampled_from(NAMES)
pauses_s = st.sampled_from((0.0, 0.1, 0.6, 3.0, 20.0))


class LoopClock:
    """Clock of an event loop."""

    def __init__(self, loop):
        self.now = loop.time


def make_state(loop):
    """Return the state of an instance that lives on a virtual clock."""
    settings = NodeSettings("i1", "127.0.0.1", "a", "", "", "127.0.0.1:1", (1,))
    clock = LoopClock(loop)
    return InstanceState(settings, clock, EventLog(component_logger("entry"), clock))


def make_target(name, incarnation=1, leaving=False, items=None, slots=8):
    """Return a target of a service; each has a service of its own by default."""
    address = "10.0.0.1:80"
    return FleetTarget(
        name, incarnation, f"of-{name}", address, "a", slots, leaving, items=items
    )


class NoticeMachine(RuleBasedStateMachine):
    """An instance that may send to three targets, each of a service of its own."""

    def __init__(self):
        super().__init__()
        self.loop = VirtualTimeLoop()
        self.state = make_state(self.loop)
        self.newest = defaultdict(int)
        self.left = defaultdict(int)
        self.paused_until_s = defaultdict(float)
        self.sent = []

    def teardown(self):
        self.loop.close()

    def _run(self, func, *args):
        async def call():
            return func(*args)

        return self.loop.run_until_complete(call())

    def _choose(self, name):
        criteria = TargetCriteria(f"of-{name}")
        target = self._run(self.state.acquire_slot, criteria)
        if target is not None:
            self._run(self.state.release_slot, target, criteria)
        return target

    @rule(name=names)
    def start(self, name):
        """A target starts anew and the platform lists it: it must get requests."""
        self.newest[name] += 1
        self._run(self.state.put_target, make_target(name, self.newest[name]))
        assert self._choose(name) is not None, (name, self.newest[name])

    @rule(name=names, back=st.integers(0, 2), leaving=st.booleans())
    def list_target(self, name, back, leaving):
        """The platform lists a target, perhaps as it was before it was restored."""
        incarnation = max(1, self.newest[name] - back)
        self.newest[name] = max(self.newest[name], incarnation)
        self._run(self.state.put_target, make_target(name, incarnation, leaving))

    @rule(name=names, confirmed=st.booleans())
    def drop_target(self, name, confirmed):
        self._run(self.state.remove_target, name, confirmed)

    @rule(name=names)
    def send(self, name):
        target = self._choose(name)
        if target is None:
            return
        key = target.name, target.incarnation
        assert target.incarnation > self.left[name], (key, "leaves")
        assert self.loop.time() >= self.paused_until_s[key], (key, "pauses")
        self.sent.append(target)

    @rule(leaving=st.booleans(), pause_s=pauses_s, number=st.integers(0, 7))
    def answer(self, leaving, pause_s, number):
        """One of the last requests is answered; the target may be another by now."""
        if not self.sent:
            return
        target = self.sent[-1 - number % len(self.sent)]
        notice = TargetNotice(leaving, pause_s)
        self._run(self.state.targets_out.record, target, notice, "r")
        if leaving:
            before = self.left[target.name]
            self.left[target.name] = max(before, target.incarnation)
        key = target.name, target.incarnation
        until_s = self.loop.time() + pause_s
        self.paused_until_s[key] = max(self.paused_until_s[key], until_s)

    @rule(after_s=st.sampled_from((0.05, 0.5, 2.0, 10.0)))
    def wait(self, after_s):
        self.loop.run_until_complete(asyncio.sleep(after_s))
