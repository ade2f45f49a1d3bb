"""Steps about what targets say of themselves in their answers."""

import asyncio
import random
import re
from dataclasses import replace

from behave import given, then, when
from multidict import CIMultiDict

from features.entry_caller import EntryInstance
from features.model_check import find_violation
from features.notice_machine import NoticeMachine, make_state, make_target
from features.simulated_targets import FakeTarget, TargetSimulation, spec
from features.virtual_asyncio import VirtualTimeLoop
from marjoramstage import platform
from marjoramstage.coordination.demand_snapshot import DemandSnapshot
from marjoramstage.coordination.dispatcher import TargetCriteria
from marjoramstage.coordination.instance_reports import InstanceReports
from marjoramstage.coordination.load_rate_limiter import LoadRateLimiter
from marjoramstage.coordination.placement_planner import PlacementPlanner
from marjoramstage.coordination.wait_policy import NoTargetReason, WaitPolicy
from marjoramstage.protocol.control import OrderAnswer
from marjoramstage.protocol.peers import EntryReport, LeavingTarget, decode, encode
from marjoramstage.state.fleet import Item, TargetNotice

EXAMPLES, STEPS = 400, 40
STEP_S, MAX_STEPS = 0.05, 400


# Headers


@when("a target answers {status:d} with {headers}")
def answer_with(context, status, headers):
    found = CIMultiDict()
    for text in headers.split("; "):
        name, _, value = text.partition(":")
        found.add(name, value.strip())
    context.notice = platform.target_notice(status, found)


@then("it says that it {notice}")
def check_notice(context, notice):
    pause = re.search(r"pauses (\S+)", notice)
    pause_s = float(pause.group(1)) if pause else 0.0
    assert context.notice == TargetNotice("leaves" in notice, pause_s), context.notice


@then("of Server-Leaving and Stamp in an answer a caller gets only Stamp")
def check_answer_headers(context):
    told = CIMultiDict({"Server-Leaving": "1", "Stamp": "x"})
    assert list(platform.answer_headers(told)) == ["Stamp"]


PARTS = {
    "the head": b"HTTP/1.1 200 OK\r\nServer-Leaving: 1\r\nContent-Length: 2\r\n\r\nok",
    "an interim response": b"HTTP/1.1 103 Early Hints\r\nServer-Leaving: 1\r\n\r\n"
    b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok",
    "a trailer": b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
    b"2\r\nok\r\n0\r\nServer-Leaving: 1\r\n\r\n",
}


class RawTarget:
    """A target that gives the same bytes as its answer to each request."""

    def __init__(self, answer):
        self._answer = answer
        self.address = ""

    async def start(self):
        self._listener = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        host, port = self._listener.sockets[0].getsockname()
        self.address = f"{host}:{port}"

    async def stop(self):
        self._listener.close()

    async def _serve(self, reader, writer):
        await reader.readuntil(b"abc")
        writer.write(self._answer)
        await reader.read()
        writer.close()


@when("a target answers {count:d} requests and says in {part} that it leaves")
def answer_raw(context, count, part):
    context.statuses, context.out = asyncio.run(send_to_raw(count, PARTS[part]))


async def send_to_raw(count, answer):
    """Send requests; return their statuses and the number of targets out."""
    async with EntryInstance((RawTarget(answer),)) as instance:
        paths = [f"/once/{number}" for number in range(count)]
        answers = [await instance.send(path) for path in paths]
        out = sum(instance.state.targets_out.counts().values())
    return [answer.status for answer in answers], out


@then("{answered:d} of them were answered 200, and {out:d} target is out")
def check_raw(context, answered, out):
    assert context.statuses.count(200) == answered, context.statuses
    assert context.out == out, context.out


# Choice of targets


@when("hypothesis tries random orders of them")
def try_orders(context):
    asked = context.config.userdata.get("notice_examples")
    context.violation = find_violation(NoticeMachine, EXAMPLES, STEPS, asked)


@then("no target that left or pauses gets a request, and each new start gets some")
def check_orders(context):
    assert context.violation is None, context.violation


@given("targets t1 and t2 of one service, both full, and {count:d} requests that wait")
def make_waiting(context, count):
    context.loop = VirtualTimeLoop()
    context.add_cleanup(context.loop.close)
    context.state = make_state(context.loop)
    context.criteria = TargetCriteria("s")

    async def run():
        for name in ("t1", "t2"):
            target = replace(make_target(name, slots=40), service="s")
            context.state.put_target(target)
        context.held = []
        while (target := context.state.acquire_slot(context.criteria)) is not None:
            context.held.append(target)
        queue = context.state.wait_queue
        return [queue.add(context.criteria, 0, 10.0) for _ in range(count)]

    context.waiters = context.loop.run_until_complete(run())
    assert {target.name for target in context.held} == {"t1", "t2"}


@when("t1 answers that it leaves and both have free slots again")
def leave_and_free(context):
    async def run():
        leaving = next(target for target in context.held if target.name == "t1")
        context.state.targets_out.record(leaving, TargetNotice(True), "r")
        for target in context.held:
            context.state.release_slot(target, context.criteria)
        await asyncio.sleep(1.0)

    context.loop.run_until_complete(run())


@then("all requests that got a target got t2")
def check_waiting(context):
    got = [w.fut.result().name for w in context.waiters if w.fut.done()]
    assert len(got) == 50 and set(got) == {"t2"}, got


@given("a target that answers a pause of 3 s, and after 1 s one of 1 s")
def pause_twice(context):
    _pause(context, ((0.0, 1, 3.0), (1.0, 1, 1.0)))


@given("a target whose first start said that it leaves and whose second one serves")
def make_second_start(context):
    context.loop = VirtualTimeLoop()
    context.add_cleanup(context.loop.close)
    context.state = make_state(context.loop)
    state = context.state
    state.put_target(make_target("t", 1))
    state.targets_out.record(make_target("t", 1), TargetNotice(True), "r")
    state.put_target(make_target("t", 2))
    assert state.eligible(TargetCriteria("of-t"))


@when("the platform lists the first start again")
def list_first(context):
    context.state.put_target(make_target("t", 1))


@then("it gets no request until the second start is listed once more")
def check_second(context):
    assert not context.state.eligible(TargetCriteria("of-t"))
    context.state.put_target(make_target("t", 2))
    assert context.state.eligible(TargetCriteria("of-t"))


@given("a target that pauses for 3 s, and an answer of its start before with 9 s")
def pause_late(context):
    _pause(context, ((0.0, 2, 3.0), (1.0, 1, 9.0)))


def _pause(context, answers):
    """Give answers, each with its time, start and pause; find the first request.

    The first answer is of the present start of the target.
    """
    loop = VirtualTimeLoop()
    context.add_cleanup(loop.close)
    state = make_state(loop)
    criteria = TargetCriteria("of-t")

    async def run():
        state.put_target(make_target("t", incarnation=answers[0][1]))
        for at_s, incarnation, pause_s in answers:
            await asyncio.sleep(at_s - loop.time())
            notice = TargetNotice(pause_s=pause_s)
            state.targets_out.record(make_target("t", incarnation), notice, "r")
        for _ in range(MAX_STEPS):
            if state.acquire_slot(criteria) is not None:
                break
            await asyncio.sleep(STEP_S)
        return loop.time()

    context.first_s = loop.run_until_complete(run())


@then("it gets no request until 3 s after the first, and then some at once")
def check_pause(context):
    assert 3.0 <= context.first_s <= 3.0 + 2 * STEP_S, context.first_s


# Waiting and refusing


def _decide(pause_s, left_s, eta_s=None):
    reason = NoTargetReason.PAUSED
    return WaitPolicy().decide(reason, 0.0, left_s, eta_s, pause_s)


@when("a request with {left:g} s left finds all targets pausing for {pause:g} s")
def find_pausing(context, left, pause):
    context.decision = _decide(pause, left)


@when(
    "a request finds its targets pausing for {pause:g} s "
    "and its model coming in {eta:g} s"
)
def find_coming(context, pause, eta):
    context.decision = _decide(pause, 12.0, eta)


@then("it is kept waiting")
def check_kept(context):
    assert not context.decision.refuse and context.decision.wait_s > 0


@then("it is refused for {least:g} to {most:g} s")
def check_refused(context, least, most):
    found = context.decision
    assert found.refuse and least <= found.retry_after_s <= most, found


@when("{count:d} requests find all targets pausing for {pause:g} s")
def find_many(context, count, pause):
    policy = WaitPolicy(rng=random.Random(1))
    reason = NoTargetReason.PAUSED
    context.retries_s = sorted(
        policy.decide(reason, 0.0, 12.0, None, pause).retry_after_s
        for _ in range(count)
    )


@then("they are told to come back at least 4 s later, at most {most:d} within 0.1 s")
def check_spread(context, most):
    times_s = context.retries_s
    assert times_s[0] >= 4.0, times_s[0]
    crowds = [sum(at <= x < at + 0.1 for x in times_s) for at in times_s]
    assert max(crowds) <= most, max(crowds)


# Placement


@given("a planner of targets t1 and t2, which hold other models")
def make_planner(context):
    context.spec = spec()
    targets = [
        FakeTarget("t1", context.spec, {Item("m1"), Item("m2")}),
        FakeTarget("t2", context.spec, {Item("m3"), Item("m4")}),
    ]
    targets[0].on_disk = {"m1", "m2", "m5"}
    targets[1].on_disk = {"m3", "m4"}
    context.simulation = TargetSimulation(targets)
    limiter = LoadRateLimiter(context.spec.loads_per_s, 5.0, 1.1)
    context.planner = PlacementPlanner(context.spec, limiter)
    context.simulation.run(context.planner, lambda now_s: DemandSnapshot(), 0.5)


def _wait_for(context, name, leaving=frozenset()):
    item = Item(name)
    demand = DemandSnapshot(
        {item: 3}, {}, {item: 3.0}, {item: 3.0}, {item: 3.0}, leaving=leaving
    )
    context.wanted = item
    context.simulation.run(context.planner, lambda now_s: demand, 4.0)


@when("t1 pauses and a model that only t1 has cached is waited for")
def wait_in_pause(context):
    context.planner.paused = frozenset(("t1",))
    _wait_for(context, "m5")


@when("t1 is about to unload models for another one, and pauses")
def pause_before_unload(context):
    item = Item("m5")
    demand = DemandSnapshot({item: 3}, {}, {item: 3.0}, {item: 3.0}, {item: 3.0})
    # Both targets are full, and t1 has the weights of m5.
    state = context.planner.target_states["t1"]
    for name in ("m6", "m7", "m8"):
        if state.fits(Item(name)):
            order = state.begin_order(Item(name), True, context.simulation.now_s)
            state.record_answer(OrderAnswer.ALREADY_DONE, context.simulation.now_s)
            context.simulation.targets["t1"].items.add(order.item)
    context.simulation.run(context.planner, lambda now_s: demand, 2 * STEP_S)
    assert any(state.is_retiring(found) for found in state.models()), state.items
    context.planner.paused = frozenset(("t1",))
    context.simulation.run(context.planner, lambda now_s: demand, 1.0)


@then("every model of t1 serves requests")
def check_serving(context):
    state = context.planner.target_states["t1"]
    assert all(state.holds(found) for found in state.models()), state.items


@when("one instance reports that t1 leaves and a model of t1 is waited for")
def wait_in_leave(context):
    _wait_for(context, "m1", frozenset((("t1", 1),)))


@then("no order goes to t1 and t2 is ordered to load the model")
def check_planned(context):
    orders = [order for _, order in context.simulation.orders]
    assert all(order.target == "t2" for order in orders), orders
    assert any(o.load and o.item == context.wanted for o in orders), orders


@then("the models of t1 are not loaded elsewhere")
def check_kept_models(context):
    loaded = {o.item.model for _, o in context.simulation.orders if o.load}
    assert not loaded & {"m1", "m2"}, loaded


# Reports


@then("a report with a leaving target is decoded as it was encoded")
def check_encoding(context):
    report = EntryReport("i1", "a:1", "1", 1, leaving=(LeavingTarget("t1", "5"),))
    assert decode(encode(report)) == report


@then("of reports with leaving targets t1, t2 and a bad start only t1 and t2 count")
def check_reports(context):
    reports = InstanceReports()
    told = (("t1", "5"), ("t2", "7"), ("t3", "x"))
    for number, (name, start) in enumerate(told):
        leaving = (LeavingTarget(name, start),)
        reports.add(EntryReport(f"i{number}", "a", "1", 1, leaving=leaving), 0.0)
    found = reports.demand(("s",), 0.1)["s"].leaving
    assert found == {("t1", 5), ("t2", 7)}, found
