"""Steps about which requests a crash of their target speaks against."""

import asyncio
from dataclasses import replace
from types import SimpleNamespace

from behave import given, then, when

from features.notice_machine import make_state, make_target
from features.virtual_asyncio import VirtualTimeLoop
from marjoramstage._entry.crash_observer import CrashObserver
from marjoramstage.transport.framing import Framing

FRAMINGS = {
    "is whole, with a length": (200, Framing.LENGTH),
    "is whole, ended by its connection": (200, Framing.CONNECTION),
    "is a failure, with a length": (500, Framing.LENGTH),
}


class FakeClient:
    """Knows whether the target takes connections."""

    def __init__(self):
        self.is_up = True

    async def accepts_connections(self, address):
        return self.is_up


def make_request(parts, request_id="r1"):
    """Return what the observer reads of a request."""
    return SimpleNamespace(
        shared_parts=tuple(parts.split())[:-1],
        headers=SimpleNamespace(request_id=request_id),
        sent_s=0.0,
        answer_began_s=None,
        harmless=False,
    )


@given("a request with the parts {parts} at a target")
def start(context, parts):
    context.loop = VirtualTimeLoop()
    context.add_cleanup(context.loop.close)
    context.state = make_state(context.loop)
    context.target = make_target("t1")
    context.state.fleet.put(context.target)
    context.client = FakeClient()
    context.observer = CrashObserver(context.state, context.client)
    context.against, context.harmless = [], []
    context.observer.on_crash = lambda *crash: context.against.append(crash)
    context.observer.on_harmless = lambda *seen: context.harmless.append(seen)
    context.req = make_request(parts)


def run(context, coro):
    context.loop.run_until_complete(coro)


@when("its answer {answer}, and the target {target}")
def end_answer(context, answer, target):
    run(context, play(context, answer, target))


async def play(context, answer, target):
    fleet, observer, req = context.state.fleet, context.observer, context.req
    context.client.is_up = target.endswith("is up")
    if target == "leaves":
        fleet.put(replace(context.target, leaving=True))
    if target == "is gone":
        fleet.remove("t1", True)
    if target == "has started again":
        fleet.put(replace(context.target, incarnation=2))
    if target.startswith("broke another off"):
        observer.broke_off(make_request("x y", "r2"), context.target)
        context.against.clear()
    if answer in FRAMINGS:
        status, framing = FRAMINGS[answer]
        req.answer_began_s = context.loop.time()
        response = SimpleNamespace(status=status, framing=framing)
        observer.answered(req, context.target, response)
    elif "before" in answer:
        observer.broke_off(req, context.target)
    else:
        req.answer_began_s = context.loop.time()
        await asyncio.sleep(1.5 if "1.5 s" in answer else 0.5)
        if answer.startswith("goes on"):
            observer.writing(req)
        else:
            observer.broke_off(req, context.target)
    if target == "crashes 0.1 s later":
        await asyncio.sleep(0.1)
        observer.broke_off(make_request("x y", "r2"), context.target)
    if target == "leaves a moment later":
        await asyncio.sleep(0.05)
        fleet.put(replace(context.target, leaving=True))
    await asyncio.sleep(1.0)


@when("another answer of that target breaks off 1 s later")
def break_late(context):
    context.observer.broke_off(make_request("a d e", "r2"), context.target)
    run(context, asyncio.sleep(0.5))


def suspected(context):
    requests = [req for _, _, found in context.against for req in found]
    return [" ".join(req.parts) for req in requests if req.request_id == "r1"]


@then("that speaks against {parts}")
def check_against(context, parts):
    assert suspected(context) == [parts], context.against
    assert not context.harmless, context.harmless


@then("that speaks for {parts}")
def check_for(context, parts):
    assert [" ".join(found) for found, _ in context.harmless] == [parts]
    assert not suspected(context), context.against


@then("that speaks neither for nor against any")
def check_neither(context):
    assert not context.harmless, context.harmless
    assert not suspected(context), context.against


@then("both are reported for one crash at the time of the first")
def check_both(context):
    starts = {start for start, _, _ in context.against}
    times_s = {at_s for _, at_s, _ in context.against}
    ids = [req.request_id for _, _, found in context.against for req in found]
    assert len(starts) == len(times_s) == 1, context.against
    assert ids == ["r1", "r2"], ids
