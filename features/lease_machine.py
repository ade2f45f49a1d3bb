"""State machine test of three lease electors that share a platform.

Calls and answers may be delayed, lost or reordered. The electors' clocks run at
the same rate from different origins. No two electors may hold a valid lease at
the same time.
"""

from dataclasses import dataclass, replace

from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from marjoramstage.coordination.leases import LeaseElector, ReadLease, WriteLease
from marjoramstage.protocol.events import LeaseHeld

SHARD = "centre"
ORIGINS_S = {"a": 0.0, "b": 1000.0, "c": 50.0}
NAMES = sorted(ORIGINS_S)
TICK_S = 0.25
SHORT_RUN_S = 1.0
# Longer than a free lease is left alone, also after the store was restored.
LONG_RUN_S = 30.0


class StoredLease:
    """The lease as stored by the platform, with conditional updates."""

    def __init__(self):
        self.record = None
        self.version = 0

    def write(self, record):
        """Return the stored record, or None if the version has moved on."""
        current = self.record.version if self.record is not None else ""
        if record.version != current:
            return None
        self.version += 1
        self.record = replace(record, version=str(self.version))
        return self.record


@dataclass(frozen=True)
class Call:
    """A call of an elector that the platform has not processed yet."""

    name: str
    effect: ReadLease | WriteLease
    given_up: bool = False


class LeaseMachine(RuleBasedStateMachine):
    """Model check of the leases."""

    def __init__(self):
        super().__init__()
        self.now_s = 100.0
        self.store = StoredLease()
        self.electors = {name: LeaseElector(SHARD, name) for name in NAMES}
        self.calls = []
        self.answers = []
        self.fences = []

    def clock(self, name):
        return self.now_s + ORIGINS_S[name]

    def _take(self, name, effects):
        for effect in effects:
            if isinstance(effect, ReadLease | WriteLease):
                self.calls.append(Call(name, effect))
            elif isinstance(effect, LeaseHeld):
                self.fences.append((effect.fence, name))

    def _carry_out(self, call):
        """Let the platform process a call; return the effect of its answer."""
        elector = self.electors[call.name]
        if isinstance(call.effect, ReadLease):
            record = self.store.record
            return call.name, lambda: elector.on_read(record, self.clock(call.name))
        stored = self.store.write(call.effect.record)
        if stored is None:
            return call.name, lambda: elector.on_conflict(self.clock(call.name))
        return call.name, lambda: elector.on_written(stored, self.clock(call.name))

    @rule(name=st.sampled_from(NAMES), rank=st.integers(0, 2))
    def ticks(self, name, rank):
        self._take(name, self.electors[name].tick(rank, self.clock(name)))

    @rule(name=st.sampled_from(NAMES))
    def goes_on(self, name):
        """An elector runs without faults for a short time."""
        self._run_alone(name, SHORT_RUN_S)

    def _run_alone(self, name, run_s):
        """Let an elector tick, and the platform answer it, for some time."""
        for _ in range(int(run_s / TICK_S)):
            self._take(name, self.electors[name].tick(0, self.clock(name)))
            mine = [call for call in self.calls if call.name == name]
            for call in mine:
                self.calls.remove(call)
                _, answer = self._carry_out(call)
                if not call.given_up:
                    self._take(name, answer())
            self.now_s += TICK_S

    @rule(delay_s=st.sampled_from([0.25, 1.0, 3.0, 5.0, 9.5]))
    def time_passes(self, delay_s):
        self.now_s += delay_s

    @precondition(lambda self: self.calls)
    @rule(data=st.data())
    def platform_takes_a_call(self, data):
        call = self.calls.pop(data.draw(st.integers(0, len(self.calls) - 1)))
        answer = self._carry_out(call)
        if not call.given_up:
            self.answers.append(answer)

    @precondition(lambda self: self.answers)
    @rule(data=st.data(), lost=st.booleans())
    def platform_answers(self, data, lost):
        """Deliver or lose an answer; a lost write has taken effect."""
        place = data.draw(st.integers(0, len(self.answers) - 1))
        name, answer = self.answers.pop(place)
        if lost:
            self._take(name, self.electors[name].on_failed(self.clock(name)))
        else:
            self._take(name, answer())

    @precondition(lambda self: self.calls)
    @rule(data=st.data(), late=st.booleans())
    def call_is_given_up(self, data, late):
        """A call times out; the platform may still process it later."""
        place = data.draw(st.integers(0, len(self.calls) - 1))
        call = self.calls.pop(place)
        if late:
            self.calls.append(replace(call, given_up=True))
        if not call.given_up:
            now_s = self.clock(call.name)
            self._take(call.name, self.electors[call.name].on_failed(now_s))

    @rule(name=st.sampled_from(NAMES))
    def restarts(self, name):
        """Start a new process of an instance, without the state of the old one."""
        identity = f"{name}-{len(self.fences)}-{self.now_s}"
        self.electors[name] = LeaseElector(SHARD, identity)
        self.calls = [call for call in self.calls if call.name != name]
        self.answers = [answer for answer in self.answers if answer[0] != name]

    @rule(name=st.sampled_from(NAMES))
    def gives_up(self, name):
        self._take(name, self.electors[name].stop(self.clock(name)))

    @invariant()
    def at_most_one_is_valid(self):
        valid = [
            name
            for name, elector in self.electors.items()
            if self.clock(name) < elector.valid_until_s
        ]
        assert len(valid) <= 1, f"valid at once: {valid}"

    @invariant()
    def fences_rise_with_each_holder(self):
        holders = {}
        for fence, name in self.fences:
            first = holders.setdefault(fence, name)
            assert first == name, f"fencing number given out twice: {self.fences}"


class RestoredLeaseMachine(LeaseMachine):
    """The model with a store that is put back to earlier copies of itself.

    An elector learns of it from the first answer of the restored store; as in the
    adapter, answers of an earlier era change nothing, nor do writes whose era is
    over by the time of their answer.
    """

    def __init__(self):
        super().__init__()
        self.copies = [(None, 0)]
        self.era = 1
        self.known = dict.fromkeys(NAMES, 0)

    def _carry_out(self, call):
        name, answer = super()._carry_out(call)
        self.copies.append((self.store.record, self.store.version))
        era, asked = self.era, self.known[name]

        def answer_with_era():
            return self._deliver(name, call, answer, era, asked)

        return name, answer_with_era

    def _deliver(self, name, call, answer, era, asked):
        elector, now_s = self.electors[name], self.clock(name)
        known, effects = self.known[name], []
        if era < known:
            return elector.on_failed(now_s)
        self.known[name] = era
        if known == 0:
            elector.era = era
        elif era > known:
            effects = elector.on_restored(era, now_s)
        if asked not in (0, era) and isinstance(call.effect, WriteLease):
            return [*effects, *elector.on_failed(now_s)]
        return [*effects, *answer()]

    @rule(name=st.sampled_from(NAMES))
    def restarts(self, name):
        """Start a new process, which learns the era anew."""
        super().restarts(name)
        self.known[name] = 0

    @rule(data=st.data())
    def store_is_restored(self, data):
        self._restore(data)

    @rule(data=st.data(), name=st.sampled_from(NAMES))
    def restored_store_has_one_elector(self, data, name):
        """After the store is put back, one elector runs for long without faults.

        Rules that each do a part of it rarely come in this order.
        """
        self._restore(data)
        self._run_alone(name, LONG_RUN_S)

    def _restore(self, data):
        copy = data.draw(
            st.integers(max(0, len(self.copies) - 8), len(self.copies) - 1)
        )
        self.store.record, self.store.version = self.copies[copy]
        self.copies.append(self.copies[copy])
        self.era += 1
