"""Steps about requests whose connection is being opened when a target says no."""

import asyncio
import logging
from dataclasses import replace
from unittest import mock

from behave import given, then, when

from features.entry_caller import SERVICE, EntryInstance
from features.slow_connect import (
    BusyLoop,
    GatedTarget,
    SilentTarget,
    SlowConnectLoop,
)
from marjoramstage._entry.target_control import TargetControl
from marjoramstage.protocol.control import Order, OrderAnswer
from marjoramstage.state.fleet import FleetTarget, Item
from marjoramstage.transport.target_client import TargetClient

SETTLE_S = 0.15
POLL_S = 0.01
TIMEOUT_S = 5.0
NO_BUDGET = b"not run, no budget for a repeat\n"
ORDER = Order("t0", Item("m1"), True)
NOTICES = {
    "leaves": (200, {"Server-Leaving": "1"}),
    "pauses 3": (503, {"Retry-After": "3", "Not-Run": "1"}),
}


@given("a target t0 that {notice} in its first answer, and {count:d} requests to {to}")
def make_target(context, notice, count, to):
    context.notice, context.count, context.to = notice, count, to


@when("t0 answers while connections to it are being opened, and {others} serves")
def answer_meanwhile(context, others):
    loop = SlowConnectLoop()
    run_on(loop, run(context, loop, others == "another"))


def run_on(loop, coro):
    """Run a coroutine on an event loop, without logs; return its result."""
    asyncio.set_event_loop(loop)
    logging.disable(logging.CRITICAL)
    try:
        return loop.run_until_complete(coro)
    finally:
        logging.disable(logging.NOTSET)
        asyncio.set_event_loop(None)
        loop.close()


async def run(context, loop, other_serves):
    """Send one request, open the connections of more, then let it be answered."""
    target, other = GatedTarget(*NOTICES[context.notice]), GatedTarget()
    other.may_answer.set()
    await other.start()
    async with EntryInstance((target,)) as instance:
        state = instance.state
        client = TargetClient()
        path = context.to if context.to.startswith("/") else "/any/x"
        first = asyncio.create_task(instance.send(path, "first"))
        await asyncio.sleep(SETTLE_S)
        assert target.received == 1
        if other_serves:
            state.put_target(FleetTarget("t1", 1, SERVICE, other.address, "a", slots=8))
        loop.slow_port = target.port
        budget = state.retry_budget(SERVICE)
        with mock.patch.object(budget, "spend", wraps=budget.spend) as spend:
            tasks = begin(context, instance, TargetControl(state, client))
            await asyncio.sleep(SETTLE_S)
            assert loop.connecting > 2, loop.connecting
            target.may_answer.set()
            await asyncio.sleep(SETTLE_S)
            loop.gate.set()
            context.answers = await asyncio.gather(*tasks)
            await first
        await client.stop()
        context.received = target.received
        context.charged = spend.call_count
        context.running = state.running_requests.running("t0")
        context.reachable = state.health.is_reachable("t0", state.clock.now())
    await other.stop()


def begin(context, instance, control):
    """Begin the requests or control calls; return their tasks."""
    listed = instance.state.fleet.targets["t0"]
    calls = {
        "orders": lambda number: control.send_order(listed, ORDER),
        "reports": lambda number: control.fetch_report(listed),
    }
    send = calls.get(context.to, lambda number: instance.send(context.to, f"r{number}"))
    return [asyncio.create_task(send(number)) for number in range(context.count)]


@then("t0 got 1 request, and each of the {count:d} was answered 200 by the other")
def check_answered(context, count):
    assert context.received == 1, context.received
    statuses = [answer.status for answer in context.answers]
    assert statuses == [200] * count, statuses


@then(
    "t0 got 1 request, and each of the {count:d} was refused for {least:g} s or longer"
)
def check_refused(context, count, least):
    assert context.received == 1, context.received
    statuses = [answer.status for answer in context.answers]
    assert statuses == [503] * count, statuses
    back_s = min(float(a.headers["Retry-After"]) for a in context.answers)
    assert back_s >= least, back_s


@then(
    "no slot of t0 is taken, it is reachable and no retry was charged for the {count:d}"
)
def check_uncharged(context, count):
    assert context.running == 0, context.running
    assert context.reachable
    # The first request itself may be repeated after its refusal.
    assert context.charged == (context.notice != "leaves"), context.charged


@then("t0 got 1 request and {sent} of the {count:d} {calls}")
def check_calls(context, sent, count, calls):
    assert context.received == 1 + (count if sent == "all" else 0), context.received
    if calls == "orders":
        assert context.answers == [OrderAnswer.NOT_SENT] * count, context.answers


@when(
    "a target turns {count:d} requests away together for {pause:g} s "
    "and there is no retry budget"
)
def turn_away(context, count, pause):
    context.retries_s = asyncio.run(turned_away(count, pause))


async def turned_away(count, pause_s):
    """Return when the callers of refused requests may retry, sorted, in seconds."""
    headers = {"Retry-After": str(pause_s), "Not-Run": "1"}
    target = GatedTarget(503, headers, gated=count)
    async with EntryInstance((target,)) as instance:
        state = instance.state
        state.put_target(replace(state.fleet.targets["t0"], slots=count))
        with mock.patch.object(
            state.retry_budget(SERVICE), "spend", return_value=False
        ):
            requests = (instance.send("/once/x", f"r{n}") for n in range(count))
            tasks = [asyncio.create_task(request) for request in requests]
            async with asyncio.timeout(TIMEOUT_S):
                while target.received < count:  # noqa: ASYNC110
                    await asyncio.sleep(POLL_S)
            target.may_answer.set()
            answers = await asyncio.gather(*tasks)
    assert {answer.body for answer in answers} == {NO_BUDGET}
    return sorted(float(answer.headers["Retry-After"]) for answer in answers)


@then(
    "they are refused for {least:g} to {most:g} s, "
    "at most {crowd:d} of them within 0.1 s"
)
def check_spread(context, least, most, crowd):
    times_s = context.retries_s
    assert least <= times_s[0] and times_s[-1] <= most, (times_s[0], times_s[-1])
    crowds = [sum(at <= x < at + 0.1 for x in times_s) for at in times_s]
    assert max(crowds) <= crowd, max(crowds)


@when(
    "an instance is busy for {busy_s:g} s after each connect call "
    "for a request to {path}"
)
def ask_busy(context, busy_s, path):
    loop = BusyLoop(busy_s)
    context.answer, context.reachable = run_on(loop, ask_once(loop, path))
    assert loop.connects, "no connection was opened"


async def ask_once(loop, path):
    """Send a request; return its answer and whether its target stays reachable."""
    target = GatedTarget(gated=0)
    async with EntryInstance((target,)) as instance:
        loop.port = target.port
        answer = await instance.send(path, "r1")
        health = instance.state.health
        return answer, health.is_reachable("t0", instance.state.clock.now())


@then("the request is answered 200, and its only target stays reachable")
def check_answered_in_time(context):
    assert context.answer.status == 200, (context.answer.status, context.answer.body)
    assert context.reachable


@then(
    "an instance that is busy for {busy_s:g} s finds that a target accepts connections"
)
def check_up(context, busy_s):
    loop = BusyLoop(busy_s)
    assert run_on(loop, check_once(loop))
    assert loop.connects, "no connection was opened"


async def check_once(loop):
    """Return whether a target that serves is found to accept connections."""
    target = GatedTarget()
    await target.start()
    loop.port = target.port
    client = TargetClient()
    is_up = await client.accepts_connections(target.address)
    await client.stop()
    await target.stop()
    return is_up


@when("a request to {path} meets a target that does not answer attempts to connect")
def ask_silent(context, path):
    run_on(asyncio.new_event_loop(), meet_silent(context, path))


async def meet_silent(context, path):
    target, client = SilentTarget(), TargetClient()
    async with EntryInstance((target,)) as instance:
        loop = asyncio.get_running_loop()
        begun_s = loop.time()
        context.answer = await instance.send(path, "r1")
        context.took_s = loop.time() - begun_s
        health = instance.state.health
        context.reachable = health.is_reachable("t0", instance.state.clock.now())
        context.is_up = await client.accepts_connections(target.address)
    await client.stop()


@then(
    "it is refused after {least:g} to {most:g} s, "
    "and the target is unreachable and not up"
)
def check_silent(context, least, most):
    assert context.answer.status == 503, (context.answer.status, context.answer.body)
    assert least <= context.took_s <= most, context.took_s
    assert not context.reachable
    assert not context.is_up
