"""Steps about limits on the rate of requests that targets name."""

import asyncio
import random
import re
from dataclasses import replace

from behave import given, then, when
from multidict import CIMultiDict

from features.limit_simulation import LimitLoad, LimitSimulation
from features.notice_machine import make_state, make_target
from features.simulated_targets import FakeTarget, TargetSimulation, spec
from features.virtual_asyncio import VirtualTimeLoop
from marjoramstage import platform
from marjoramstage.coordination.demand_snapshot import DemandSnapshot
from marjoramstage.coordination.load_rate_limiter import LoadRateLimiter
from marjoramstage.coordination.named_limits import NamedLimits
from marjoramstage.coordination.placement_planner import PlacementPlanner
from marjoramstage.coordination.request_permits import key_of
from marjoramstage.coordination.wait_policy import NoTargetReason, WaitPolicy
from marjoramstage.protocol.peers import PermitsIssued, TargetPermits
from marjoramstage.state.fleet import Item, LimitNotice

USED_FROM_S = 6.0
DEADLINE_S = 5.0
NUMBER = r"([0-9.]+)"


@when("a target answers {status:d} with the limits {headers}")
def answer_with_limits(context, status, headers):
    values = [] if headers == "none" else headers.split("; ")
    texts = ["" if value == "empty" else value for value in values]
    found = CIMultiDict(("Server-Limit", text) for text in texts)
    context.notice = platform.limit_notice(status, found)


@then("its limit is {limit}")
def check_notice(context, limit):
    words = {"not said": LimitNotice(), "over": LimitNotice(lifts=True)}
    wanted = words[limit] if limit in words else LimitNotice(float(limit))
    assert context.notice == wanted, context.notice


def _say(limits, target, word):
    if match := re.fullmatch(f"named {NUMBER} at {NUMBER}", word):
        per_s, at_s = map(float, match.groups())
        limits.record(target, per_s, at_s)
    elif match := re.fullmatch(f"over at {NUMBER} sent {NUMBER}", word):
        at_s, sent_s = map(float, match.groups())
        limits.lift(target, sent_s, at_s)
    elif match := re.fullmatch(f"told over as of {NUMBER}", word):
        limits.learn_told(target.name, target.incarnation, None, float(match[1]))
    elif match := re.fullmatch(f"told {NUMBER} as of {NUMBER}", word):
        per_s, at_s = map(float, match.groups())
        limits.learn_told(target.name, target.incarnation, per_s, at_s)


@when("named {words}")
def say_words(context, words):
    _say_all(context, f"named {words}")


@when("told over as of {at_s:g}")
def say_over(context, at_s):
    _say_all(context, f"told over as of {at_s:g}")


def _say_all(context, words):
    context.limits, context.target = NamedLimits(), make_target("t")
    for word in words.split(", "):
        if word == "the target starts again":
            context.target = make_target("t", incarnation=2)
        _say(context.limits, context.target, word)


@then("the limit is known as {limit}")
def check_known(context, limit):
    wanted = None if limit == "none" else float(limit)
    found = context.limits.per_s(context.target)
    assert found == wanted, found


def _load(instances, per_s, limit, more):
    load = LimitLoad(instances, per_s, limit)
    for word in more.split(", "):
        figures = [float(text) for text in re.findall(NUMBER, word)]
        if word.startswith("callers wait"):
            load = replace(load, waits_s=figures[0])
        elif word.endswith("at the first"):
            load = replace(load, skew=figures[0])
        elif word.startswith("ten times"):
            load = replace(load, burst_at_s=figures[0], burst=10.0)
        elif word.startswith("messages take"):
            load = replace(load, delay_s=figures[0])
        elif word.startswith("no holder"):
            load = replace(load, holder_gone=tuple(figures))
    return load


@when(
    "{instances:d} instances want {per_s:g} a second of a target that takes "
    "{limit:g}, {more}, seeds 1 to {seeds:d}"
)
def play(context, instances, per_s, limit, more, seeds):
    load = _load(instances, per_s, limit, more)
    context.simulations = [LimitSimulation(load, seed + 1) for seed in range(seeds)]
    for simulation in context.simulations:
        simulation.run()
    context.load = load


@then("in no 4 s it gets more than one and a half times that and 5")
def check_most(context):
    most = [simulation.most_in_window() for simulation in context.simulations]
    assert max(most) <= context.simulations[0].allowed, most


@then("it gets at least {used:g} a second")
def check_used(context, used):
    rates = [s.rate(USED_FROM_S, context.load.for_s) for s in context.simulations]
    assert min(rates) >= used, rates


@given("an instance with {count:d} permit for a target with a limit")
@given("an instance with {count:d} permits for a target with a limit")
def hold_permits(context, count):
    context.loop = VirtualTimeLoop()
    context.add_cleanup(context.loop.close)
    context.state = make_state(context.loop)
    context.target = make_target("t")
    context.state.put_target(context.target)
    context.state.limits.record(context.target, 5.0, 0.0)
    permits = TargetPermits(*key_of(context.target), count)
    context.state.apply_permits(PermitsIssued("i2", 1, (permits,)))


@when("a request takes it and is withdrawn before it is sent")
def withdraw(context):
    permits = context.state.permits
    permits.use(context.target, 0.1)
    assert not permits.admits(context.target, 0.1)
    permits.give_back(context.target, 0.2)


@when("the target names a lower limit")
def lower(context):
    notice = LimitNotice(2.0)
    context.loop.run_until_complete(asyncio.sleep(0.1))
    context.state.limited_targets.record(context.target, notice, 0.0, "r")


@then("the target admits {count:d} more request")
@then("the target admits {count:d} more requests")
def check_admitted(context, count):
    permits, now_s, found = context.state.permits, 0.3, 0
    while permits.admits(context.target, now_s):
        permits.use(context.target, now_s)
        found += 1
    assert found == count, found


@when("a request that has waited {waited:g} s of 5 finds its turn {turn:g} s away")
def find_turn(context, waited, turn):
    policy = WaitPolicy(rng=random.Random(1))
    reason, left_s = NoTargetReason.RATE_LIMITED, DEADLINE_S - waited
    context.decision = policy.decide(reason, waited, left_s, turn_s=turn)


@given("engines a and b, a alone with m1 and limited")
def make_one_limited(context):
    _make_engines(context, frozenset({"a"}))


@given("engines a and b, both limited, a with m1")
def make_both_limited(context):
    _make_engines(context, frozenset({"a", "b"}))


def _make_engines(context, limited):
    context.spec = spec()
    context.engines = [
        FakeTarget("a", context.spec, {Item("m1")}),
        FakeTarget("b", context.spec),
    ]
    context.planner = PlacementPlanner(context.spec, LoadRateLimiter(2.0, 5.0, 1.1))
    context.planner.limits = dict.fromkeys(limited, 1.0)


@when("requests wait for m1 and are planned for")
def plan(context):
    _plan(context, 5, 2.0)


@when("few requests for m1 are planned for")
def plan_few(context):
    _plan(context, 1, 0.5)


def _plan(context, waiting, per_s):
    simulation = TargetSimulation(context.engines)
    rates = {Item("m1"): per_s}
    demand = DemandSnapshot({Item("m1"): waiting}, {}, rates, rates, rates)
    simulation.run(context.planner, lambda now_s: demand, 6.0)


@then("m1 is loaded at b")
def check_loaded(context):
    assert Item("m1") in context.engines[1].items, context.engines


@then("nothing is loaded")
def check_not_loaded(context):
    assert not context.engines[1].items, context.engines
