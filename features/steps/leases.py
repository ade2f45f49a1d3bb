"""Steps about leases: the model check, takeovers and lost answers."""

import asyncio
import os
from dataclasses import replace
from unittest import mock

from behave import given, then, when
from result import Err, Ok

from features.lease_machine import (
    SHARD,
    LeaseMachine,
    RestoredLeaseMachine,
    StoredLease,
)
from features.model_check import find_violation
from features.virtual_asyncio import run_virtual
from marjoramstage import logs
from marjoramstage._entry import placement_controller
from marjoramstage._entry.event_log import EventLog
from marjoramstage._entry.instance_state import InstanceState
from marjoramstage._entry.placement_controller import PlacementController
from marjoramstage._instance.lease_runner import LEASE_TICK_S, LeaseRunner
from marjoramstage._instance.tasks import TaskGroup
from marjoramstage.clock import VirtualClock
from marjoramstage.coordination import leases
from marjoramstage.coordination.leases import (
    TERM_S,
    LeaseElector,
    LeaseRecord,
    LeaseTiming,
    ReadLease,
)
from marjoramstage.exceptions import Verdict
from marjoramstage.protocol.objects import PlatformError, PlatformFault
from marjoramstage.state.node_settings import NodeSettings
from marjoramstage.state.store_era import StoreEra

EXAMPLES = 150
RESTORE_EXAMPLES = 200
EXAMPLES_WITH_A_FAULT = 3000
STEPS = 60


def _takes_immediately(elector, rank):
    return elector.record is not None and elector.state == leases.WATCHING


def _wait_without_era(elector, rank):
    record = elector.record
    free = record.holder in ("", elector.identity)
    return rank * elector.timing.stagger_s + (0.0 if free else elector.timing.term_s)


RESTORE_FAULTS = {
    "take a record of an earlier era for free": (
        LeaseElector,
        "_takeover_wait_s",
        _wait_without_era,
    ),
    "count on from the fencing number of the record": (
        leases,
        "_next_fence",
        lambda fence, era: fence + 1,
    ),
}
FAULTS = {
    "candidates that do not wait for a term": ("_may_take", _takes_immediately),
}


@given("lease electors with {fault}")
def break_keepers(context, fault):
    break_code(context, LeaseElector, *FAULTS[fault])


def break_code(context, owner, name, broken):
    """Replace a part of the code by a broken one until the scenario ends."""
    patch = mock.patch.object(owner, name, broken)
    patch.start()
    context.add_cleanup(patch.stop)
    context.examples = EXAMPLES_WITH_A_FAULT


@when("the lease model is checked")
def check_model(context):
    run_model(context, LeaseMachine, EXAMPLES)


def run_model(context, machine, usual_examples):
    examples = getattr(context, "examples", usual_examples)
    asked = os.environ.get("LEASE_MODEL_EXAMPLES")
    context.found = find_violation(machine, examples, STEPS, asked)


@given("lease electors that {fault}")
def break_electors(context, fault):
    break_code(context, *RESTORE_FAULTS[fault])


@when("the lease model with a restored store is checked")
def check_restored_model(context):
    run_model(context, RestoredLeaseMachine, RESTORE_EXAMPLES)


@then("the lease model finds one valid holder at most")
def check_one(context):
    if context.found is not None:
        raise context.found


@then("the lease model finds a fencing number given out twice")
def check_same_fence(context):
    assert "given out twice" in str(context.found), context.found


@then("the lease model finds two valid holders")
def check_two(context):
    assert "valid at once" in str(context.found), context.found


@given(
    "lease electors a and b with a term of 3 s and a wait of {wait:g} s, "
    "and a holds the lease"
)
def make_quick_pair(context, wait):
    context.pair = Pair(LeaseTiming(3.0, 1.0, 0.4, 0.3, wait))
    context.pair.run(lambda: context.pair.holds("a"))
    context.pair.run(lambda: context.pair.electors["b"].record is not None)
    context.fence = context.pair.electors["a"].fence


@when("the lease holder a is killed after it announced its end")
def say_and_kill(context):
    context.pair.electors["b"].on_holder_ended("a", context.fence)
    context.pair.silent.add("a")


@when("a ended, holds again under a higher fence, and b of the first rank reads it")
def end_and_hold(context):
    pair, elector = context.pair, context.pair.electors["b"]
    elector.on_holder_ended("a", context.fence)
    taken = LeaseRecord(
        SHARD, "a", context.fence + 1, version=pair.store.record.version
    )
    elector.on_read(pair.store.write(taken), pair.now_s)
    pair.perform(elector, elector.tick(0, pair.now_s))


@then("lease elector b never took the lease")
def check_not_taken(context):
    assert context.pair.store.record.holder == "a", context.pair.store.record


class Pair:
    """Two electors on one virtual clock; calls are answered at once."""

    def __init__(self, timing=None):
        self.now_s = 100.0
        self.store = StoredLease()
        self.electors = {
            name: LeaseElector(SHARD, name, timing=timing) for name in ("a", "b")
        }
        self.silent = set()
        self.lose = None

    def run(self, until):
        """Tick until ``until`` holds; return the seconds that it took."""
        start_s = self.now_s
        while not until():
            assert self.now_s - start_s < 60, "never happened"
            for name, elector in self.electors.items():
                if name not in self.silent:
                    self.perform(elector, elector.tick(name == "b", self.now_s))
            self.now_s += LEASE_TICK_S
        return self.now_s - start_s

    def perform(self, elector, effects):
        for effect in effects:
            if isinstance(effect, ReadLease):
                self.perform(elector, elector.on_read(self.store.record, self.now_s))
            elif isinstance(effect, leases.WriteLease):
                self.perform(elector, self._write(elector, effect.record))

    def _write(self, elector, record):
        lose, self.lose = self.lose, None
        if lose == "was lost too":
            return elector.on_failed(self.now_s)
        stored = self.store.write(record)
        if lose is not None:
            return elector.on_failed(self.now_s)
        if stored is None:
            return elector.on_conflict(self.now_s)
        return elector.on_written(stored, self.now_s)

    def holds(self, name):
        return self.now_s < self.electors[name].valid_until_s


@given("lease electors a and b, and a holds the lease")
def start_pair(context):
    context.pair = Pair()
    context.pair.run(lambda: context.pair.holds("a"))
    context.pair.run(lambda: context.pair.electors["b"].record is not None)
    context.fence = context.pair.electors["a"].fence


@when("the lease holder a is {fault}")
def stop_holder(context, fault):
    pair = context.pair
    if fault == "stopped":
        pair.perform(pair.electors["a"], pair.electors["a"].stop(pair.now_s))
    else:
        pair.silent.add("a")
    context.until_s = pair.electors["a"].valid_until_s


@then("lease elector b holds within {bound:g} s with a higher fence")
def check_taken(context, bound):
    passed_s = context.pair.run(lambda: context.pair.holds("b"))
    assert passed_s <= bound, passed_s
    assert context.pair.electors["b"].fence > context.fence


@then("the lease of a was not valid any more by then")
def check_lapsed(context):
    assert context.until_s < context.pair.now_s


@when("the answer of a lease renewal of a is lost and it {effect}")
def lose_answer(context, effect):
    context.pair.lose = effect
    context.pair.run(lambda: context.pair.lose is None)


@then("lease elector a still holds with the same fence")
def check_held(context):
    pair = context.pair
    end_s = pair.now_s + 2 * TERM_S
    pair.run(lambda: pair.now_s >= end_s)
    assert pair.holds("a")
    assert pair.electors["a"].fence == context.fence


@when("the answer of a lease write comes {delay_s:d} s after it was sent")
def answer_late(context, delay_s):
    elector, store = LeaseElector(SHARD, "late"), StoredLease()
    elector.tick(0, 100.0)
    elector.on_read(None, 100.0)
    (write,) = elector.tick(0, 100.0)
    elector.on_written(store.write(write.record), 100.0 + delay_s)
    elector.tick(0, 100.0 + delay_s)
    context.elector = elector


@then("the lease is valid for {valid_s:g} s after the write was sent")
def check_validity(context, valid_s):
    assert context.elector.valid_until_s in (100.0 + valid_s, valid_s), valid_s


class LeasePlatform:
    """Platform with one lease object; every call fails while it is down."""

    def __init__(self):
        self.down = False
        self.obj = None
        self.version = 0

    async def get(self, kind, name):
        if self.down:
            return self._failure(PlatformFault.UNAVAILABLE)
        if self.obj is None:
            return self._failure(PlatformFault.NOT_FOUND)
        return Ok(self.obj)

    async def create(self, obj):
        return await self.update(obj)

    async def update(self, obj):
        if self.down:
            return self._failure(PlatformFault.UNAVAILABLE)
        current = self.obj.version if self.obj is not None else ""
        if obj.version != current:
            return self._failure(PlatformFault.CONFLICT)
        self.version += 1
        self.obj = _at_version(obj, str(self.version))
        return Ok(self.obj)

    def _failure(self, fault):
        return Err(PlatformError(fault, Verdict.NOT_RUN))


def _at_version(obj, version):
    return type(obj)(obj.kind, obj.name, obj.spec, version, obj.labels)


async def _run_for(runner, clock, seconds):
    """Run a lease runner for virtual seconds; return whether its lease is frozen."""
    task = asyncio.create_task(runner.run())
    for _ in range(int(seconds / LEASE_TICK_S)):
        await asyncio.sleep(0)
    task.cancel()
    await asyncio.gather(task, return_exceptions=True)
    return runner.dump()[0]["frozen"]


@given("a lease runner whose platform goes down after it held its lease")
def start_lease_runner(context):
    async def run():
        clock, platform, tasks = VirtualClock(), LeasePlatform(), TaskGroup()
        runner = LeaseRunner("i1", SHARD, platform, lambda event: None, tasks, clock)
        seen = [await _run_for(runner, clock, 2 * TERM_S)]
        platform.down = True
        seen.append(await _run_for(runner, clock, TERM_S))
        platform.down = False
        seen.append(await _run_for(runner, clock, 2 * TERM_S))
        await tasks.stop()
        return seen

    context.frozen = asyncio.run(run())


@then("its lease dump says frozen after the term")
def check_frozen(context):
    assert context.frozen[:2] == [False, True], context.frozen


@then("its lease dump says held again when the platform is back")
def check_back(context):
    assert context.frozen[2] is False, context.frozen


class AnsweringStore:
    """Takes each write of the lease, or answers nothing."""

    def __init__(self):
        self.answers, self._revision = asyncio.Event(), 0
        self.answers.set()

    async def get(self, kind, name):
        await self._answer()
        return Err(PlatformError(PlatformFault.NOT_FOUND, Verdict.NOT_RUN))

    async def create(self, obj):
        await self._answer()
        self._revision += 1
        return Ok(replace(obj, version=str(self._revision)))

    update = create

    async def _answer(self):
        await self.answers.wait()


@given("a placement controller that holds the lease for 3 s")
def make_controller(context):
    context.lease_store, context.suspended_s = AnsweringStore(), 0.0


@when("its process is suspended for {for_s:g} s and the store does not answer")
def suspend_controller(context, for_s):
    store = context.lease_store

    def boot_s():
        return 100.0 + asyncio.get_running_loop().time() + context.suspended_s

    async def run():
        settings = NodeSettings("i0", "", "a", "", "", "", (7000,), first_start=True)
        clock = mock.Mock(now=boot_s)
        events = EventLog(logs.component_logger("entry"), clock)
        state = InstanceState(settings, clock, events)
        controller = PlacementController(
            state, store, None, "", lambda address, view: None, StoreEra()
        )
        task = asyncio.create_task(controller.run())
        await asyncio.sleep(5.0)  # the last of the ranks has taken it by then
        context.before = controller.may_send_orders
        store.answers.clear()
        context.suspended_s = for_s
        await asyncio.sleep(0.1)
        context.meanwhile = controller.may_send_orders
        store.answers.set()
        await asyncio.sleep(6.0)  # it takes a lease that lapsed anew
        context.after = controller.may_send_orders
        task.cancel()

    with mock.patch.object(placement_controller, "seconds_since_boot", boot_s):
        run_virtual(run())


@then("it gives no orders until its lease is renewed")
def check_controller(context):
    found = (context.before, context.meanwhile, context.after)
    assert found == (True, False, True), found
