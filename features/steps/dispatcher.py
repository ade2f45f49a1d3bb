"""Steps about routes, the choice of targets, waiting and retry budgets."""

import asyncio
import random

from behave import given, then, when

from marjoramstage.coordination.dispatcher import (
    Dispatcher,
    RunningRequests,
    ServableItems,
    TargetCriteria,
)
from marjoramstage.coordination.prefill_backlog import PrefillBacklog
from marjoramstage.coordination.retry_budget import SharedRetryBudget
from marjoramstage.coordination.target_health import TargetHealth
from marjoramstage.coordination.wait_policy import (
    NoTargetReason,
    WaitPolicy,
    no_target_reason,
)
from marjoramstage.coordination.wait_queue import WaitQueue
from marjoramstage.state.fleet import FleetTarget, Item
from marjoramstage.state.routes import CallerLimits, Route, RouteTable, ServiceWeight
from marjoramstage.transport.event_stream import EventSplitter

NOW_S = 100.0
MODEL = Item("m")


@given("routes for h.example at /a/, /a/b/ and for i.example at /a/")
def make_routes(context):
    shares = (ServiceWeight("s", 1),)
    routes = (
        Route("r1", "h.example", "/a/", shares),
        Route("r2", "h.example", "/a/b/", shares),
        Route("r3", "i.example", "/a/", shares),
    )
    context.routes = RouteTable(1, routes, {}, CallerLimits())


@then("the route of host {host} and path {path} is {name}")
def check_route(context, host, path, name):
    route = context.routes.match(host, path)
    assert (route.name if route else "none") == name, route


@then(
    "of {count:d} ids a split of 90 to 10 gives the first service {least:d} to {most:d}"
)
def check_split(context, count, least, most):
    context.route = Route(
        "r", "h", "/", (ServiceWeight("s1", 90), ServiceWeight("s2", 10))
    )
    context.ids = [f"{number:016x}" for number in range(count)]
    first = [context.route.service_for(text) for text in context.ids].count("s1")
    assert least <= first <= most, first


@then("each id maps to the same service every time")
def check_same(context):
    for text in context.ids:
        assert context.route.service_for(text) == context.route.service_for(text)


@given("targets t1 in a, t2 in a and t3 in b of 10 slots, all with model m")
def make_targets(context):
    context.targets = {
        name: FleetTarget(
            name, 1, "s", "10.0.0.1:80", place, 10, items=frozenset((MODEL,))
        )
        for name, place in (("t1", "a"), ("t2", "a"), ("t3", "b"))
    }
    context.servable_items, context.running_requests = (
        ServableItems(),
        RunningRequests(),
    )
    context.health, context.tried = TargetHealth(), frozenset()
    context.software = None
    context.prefill_backlog, context.pacing_deadline_s = PrefillBacklog(), NOW_S + 0.4


@when("t1 has 5 requests")
def load_first(context):
    _load(context, "t1", 5)


@when("t1 and t2 have 5 requests")
def load_two(context):
    _load(context, "t1", 5)
    context.running_requests.set_running({"t2": 5})


@when("t1 is leaving and t2 lacks m")
def change_two(context):
    _replace(context, "t1", leaving=True)
    context.servable_items.update("t2", 1, frozenset())


@when("it goes on at version v2 of t3")
def change_version(context):
    _replace(context, "t3", software="v2")
    context.software = "v2"


@when("it goes on at an unknown version")
def forget_version(context):
    context.software = ""


@when("t1 and t2 could not be reached")
def cut_two(context):
    for name in ("t1", "t2"):
        context.health.record_unreachable(name, NOW_S)


@when("no target could be reached")
def cut_all(context):
    for name in context.targets:
        context.health.record_unreachable(name, NOW_S - 0.5)


@when("t1 has 4000 prompt tokens to read")
def read_first(context):
    context.prefill_backlog.record_sent("t1", 4000, NOW_S)


@when("every target has a long prompt to read")
def read_all(context):
    for name in context.targets:
        context.prefill_backlog.record_sent(name, 4000, NOW_S)


@when("every target reads and the request was held back long enough")
def read_held(context):
    read_all(context)
    context.pacing_deadline_s = NOW_S


@when("t1 and t2 fail half their requests")
def fail_two(context):
    for name in ("t1", "t2"):
        for number in range(20):
            context.health.record_result(name, number % 2 == 0, NOW_S)


@when("every target is full")
def fill_all(context):
    context.running_requests.set_running(dict.fromkeys(context.targets, 13))


@when("t2 and t3 were tried")
def try_two(context):
    context.tried = frozenset(("t2", "t3"))


@when("the holder announces m at t3 only")
def tell_holdings(context):
    for name in ("t1", "t2"):
        context.servable_items.update(name, 1, frozenset())


def _load(context, name, count):
    for _ in range(count):
        context.running_requests.begin(name, MODEL)


def _replace(context, name, **fields):
    old = context.targets[name]
    values = {**old.__dict__, **fields}
    context.targets[name] = FleetTarget(**values)


@then("a request from a for m goes to {choice}")
def check_choice(context, choice):
    dispatcher = Dispatcher(
        "a",
        context.servable_items,
        context.running_requests,
        context.health,
        context.prefill_backlog,
        random.Random(1),
    )
    for _ in range(20):
        criteria = TargetCriteria(
            "s",
            MODEL,
            context.tried,
            3000,
            0.25,
            context.pacing_deadline_s,
            context.software,
        )
        found = dispatcher.choose(criteria, context.targets.values(), NOW_S)
        name = found.name if found else "none"
        assert name == choice or (choice == "any" and found), name


@when(
    'it waited {waited:g} s, has {left:g} s left for "{reason}" '
    "and a load takes {eta} s"
)
def decide(context, waited, left, reason, eta):
    eta_s = None if eta == "none" else float(eta)
    context.decision = WaitPolicy().decide(NoTargetReason(reason), waited, left, eta_s)


@then("the decision is to {decision}")
def check_decision(context, decision):
    found = context.decision
    assert found.refuse == (decision == "refuse"), found
    if found.refuse:
        assert found.retry_after_s > 0, found
    else:
        assert found.wait_s > 0, found


@when("a request for {wanted} was sent to {tried} and {targets}")
def find_reason(context, wanted, tried, targets):
    names = frozenset() if tried == "none" else frozenset(tried.split(", "))
    criteria = TargetCriteria("s", MODEL if wanted == "a model" else None, names)
    any_listed = targets != "no target is listed"
    context.reason = no_target_reason(criteria, any_listed, targets == "one is full")


@then('the reason is "{reason}"')
def check_reason(context, reason):
    assert context.reason is NoTargetReason(reason), context.reason


@given("an instance reported 2, 5 and then 9 requests at t1 and runs 9")
def report_thrice(context):
    context.running_requests = RunningRequests()
    for sequence, more in enumerate((2, 3, 4), start=1):
        for _ in range(more):
            context.running_requests.begin("t1", MODEL)
        context.running_requests.mark_reported(sequence)


@when("a view counts {count:d} requests at t1, as of {report}")
def count_all(context, count, report):
    _, _, number = report.partition("report ")
    context.running_requests.set_running({"t1": count}, int(number or 0))


@then("it takes {count:d} requests to run at t1")
def check_running(context, count):
    assert context.running_requests.running("t1") == count


@given("a queue in which ranks 2, 0, 1 and 0 wait and two slots are free")
def make_queue(context):
    context.places = [_target("t1"), _target("t2")]
    context.loop = asyncio.new_event_loop()
    context.add_cleanup(context.loop.close)

    def take(criteria):
        return context.places.pop(0) if context.places else None

    async def add():
        context.wait_queue = WaitQueue(take)
        criteria = TargetCriteria("s", MODEL)
        rows = ((2, 1.0), (0, 9.0), (1, 1.0), (0, 5.0))
        return [
            context.wait_queue.add(criteria, rank, until_s) for rank, until_s in rows
        ]

    context.waiters = context.loop.run_until_complete(add())


def _target(name):
    return FleetTarget(name, 1, "s", "10.0.0.1:80", "a", 1)


@when("targets are assigned")
def assign_waiting(context):
    async def assign_targets():
        context.wait_queue.assign_targets()

    context.loop.run_until_complete(assign_targets())


@then("the two requests of rank 0 have a target, the earlier deadline first")
def check_queue(context):
    got = [w.fut.result().name if w.fut.done() else None for w in context.waiters]
    assert got == [None, "t2", None, "t1"], got
    assert len(context.wait_queue) == 2


@given("9 instances that share a budget of 0.2 and 58 in 10 s")
def make_budgets(context):
    context.budgets = [SharedRetryBudget(0.2, 58, 10) for _ in range(9)]
    for budget in context.budgets:
        budget.instances = 9


@when("each serves 20 requests and attempts a retry for each")
def spend_budgets(context):
    context.sent = 0
    for budget in context.budgets:
        for number in range(20):
            budget.earn(NOW_S + number * 0.1)
        tries = [budget.spend(NOW_S + 2 + n * 0.1) for n in range(20)]
        context.sent += tries.count(True)


@then("all together sent no more than {most:d} retries")
def check_sent(context, most):
    assert 0 < context.sent <= most, context.sent


@then("an instance that does not know how many there are sent no more than {most:d}")
def check_unknown(context, most):
    budget = SharedRetryBudget(0.2, 58, 10)
    for _number in range(20):
        budget.earn(NOW_S)
    sent = [budget.spend(NOW_S) for _ in range(50)].count(True)
    assert 0 < sent <= most, sent


@when("the blocks {blocks} are fed")
def feed_blocks(context, blocks):
    context.splitter = EventSplitter()
    context.events = []
    blocks = blocks.replace("\\n", "\n").replace("\\r", "\r")
    for block in blocks.split(","):
        context.events += context.splitter.feed(block.encode())


@then('{whole:d} bytes of whole events were passed on and the last id is "{last}"')
def check_events(context, whole, last):
    assert sum(len(event.data) for event in context.events) == whole, context.events
    ids = [event.id for event in context.events if event.id]
    assert ids[-1:] == ([last] if last else []), context.events


@then('{whole:d} bytes of whole events were passed on and the last id is ""')
def check_no_id(context, whole):
    check_events(context, whole, "")
