"""Steps about what the planner orders targets to hold."""

import random

from behave import given, then, when

from features.simulated_targets import FakeTarget, TargetSimulation, spec
from marjoramstage.coordination.demand_snapshot import DemandSnapshot
from marjoramstage.coordination.load_rate_limiter import LoadRateLimiter
from marjoramstage.coordination.placement_planner import PlacementPlanner
from marjoramstage.coordination.target_state import TargetState
from marjoramstage.protocol.control import Order, OrderAnswer
from marjoramstage.state.fleet import Item, TargetReport

BUSY_PER_S = 8.0
DEFERRABLE_PER_S = 0.3


def _planner(context, first_report_s=0.0):
    return PlacementPlanner(
        context.spec, LoadRateLimiter(2.0, 5.0, 1.1), first_report_s
    )


def _start(context, targets, seed=None):
    context.simulation = TargetSimulation(targets, seed)
    context.planner = _planner(context)
    context.demand = DemandSnapshot()


def _items(names):
    return {Item(name.strip()) for name in names.split(",")}


@given("4 targets with room for 3 models and 2 adapters each, and 8 models")
def make_four(context):
    context.spec = spec()
    targets = [FakeTarget(f"t{n}", context.spec) for n in range(1, 5)]
    _start(context, targets)


@given("orders are lost, delayed or rejected and targets restart, seed {seed:d}")
def make_faulty(context, seed):
    context.seed = seed
    context.simulation.rng = random.Random(seed)


@given("one full target that holds m1, m2 and m3")
def make_one(context):
    context.spec = spec()
    _start(context, [FakeTarget("t1", context.spec, _items("m1,m2,m3"))])


@given("two full targets that hold {first} and {second}")
def make_two(context, first, second):
    context.spec = spec()
    targets = [
        FakeTarget("t1", context.spec, _items(first)),
        FakeTarget("t2", context.spec, _items(second)),
    ]
    for target in targets:
        target.on_disk = {item.model for item in target.items}
    _start(context, targets)


def _demand(busy, waited=(), running=None):
    """Return demand with busy latency-critical models and deferrable others."""
    fast = {Item(name): BUSY_PER_S for name in busy}
    slow = {**fast, **{Item(f"m{n}"): DEFERRABLE_PER_S for n in range(1, 9)}}
    return DemandSnapshot(
        waiting={Item(name): 2 for name in waited},
        running=running or {},
        fast_rates=fast,
        slow_rates=slow | fast,
        latency_critical_rates=fast,
    )


@given("m1 and m2 are busy and requests wait for m4")
def two_busy(context):
    context.demand = _demand(("m1", "m2"), ("m4",))


@given("m1, m2, m3 are busy and requests wait for m4")
def three_busy(context):
    context.demand = _demand(("m1", "m2", "m3"), ("m4",))


@given("there is no demand")
def nothing_asked(context):
    context.demand = DemandSnapshot()


@given("m1 and m2 are busy, requests wait for m4 and m3 runs one request")
def one_running(context):
    context.demand = _demand(("m1", "m2"), ("m4",), {("t1", Item("m3")): 1})


@given("m1 runs 40 requests on the first of 64 slots and the others are idle")
def one_crowded(context):
    context.demand = _demand(("m1",), (), {("t1", Item("m1")): 40})


@given("m2 runs 60 requests on the first while 4 of m1 run on each")
def two_crowded(context):
    running = {
        ("t1", Item("m2")): 60,
        ("t1", Item("m1")): 4,
        ("t2", Item("m1")): 4,
    }
    context.demand = _demand(("m1", "m2", "m3", "m4", "m5"), (), running)


@given("the second has m4 on its disk, and requests wait for m4")
def one_at_hand(context):
    context.simulation.targets["t2"].on_disk.add("m4")
    context.demand = _demand(("m1", "m5"), ("m4",))


@given(
    "the first is full of busy models, the second holds idle ones, "
    "and requests wait for m4"
)
def first_busy(context):
    context.demand = _demand(("m1", "m2", "m3"), ("m4",))


@given("only the first has m4 on its disk")
def first_at_hand(context):
    context.simulation.targets["t1"].on_disk.add("m4")


@given("requests wait for each model and no target has any cached")
def all_waited(context):
    context.demand = _demand(
        [f"m{n}" for n in range(1, 9)], [f"m{n}" for n in range(1, 9)]
    )


@when("random demand is simulated for {for_s:d} s")
def play_random(context, for_s):
    _run(context, for_s)


@when(
    "random demand is simulated for {for_s:d} s and the planner is replaced every 7 s"
)
def play_changes(context, for_s):
    for _ in range(for_s // 7):
        _run(context, 7)
        context.planner = _planner(context, context.simulation.now_s + 0.5)


def _run(context, for_s):
    rng = random.Random(context.seed + 1000)
    context.asked = getattr(context, "asked", set())

    def demand_at(now_s):
        phase = int(now_s / 15) % 3
        busy = [f"m{1 + phase}", f"m{2 + phase}"]
        waited = [f"m{rng.randint(1, 8)}"] if rng.random() < 0.5 else []
        adapters = [Item(busy[0], f"a{rng.randint(1, 4)}")]
        demand = _demand(busy, waited)
        context.asked |= {Item(name) for name in (*busy, *waited)}
        waiting = dict(demand.waiting) | dict.fromkeys(adapters, 1)
        return DemandSnapshot(
            waiting,
            {},
            demand.fast_rates,
            demand.slow_rates,
            demand.latency_critical_rates,
        )

    context.simulation.run(context.planner, demand_at, for_s)


@when("the planner runs for {for_s:d} s")
def decide(context, for_s):
    context.simulation.run(context.planner, lambda now_s: context.demand, for_s)


@when("the request of m3 ends and the planner runs for {for_s:d} s")
def end_request(context, for_s):
    two_busy(context)
    decide(context, for_s)


@then("no target was ordered to load more than fits")
def check_room(context):
    targets = context.simulation.targets.values()
    assert not [t.name for t in targets if t.overcommitted]
    assert len(context.simulation.orders) > 20, len(context.simulation.orders)


@then("each model in demand was loaded at some time")
def check_reach(context):
    missing = context.asked - context.simulation.held
    assert not missing, missing


@then("{names} are held")
def check_held(context, names):
    target = context.simulation.targets["t1"]
    assert target.items == _items(names), (target.items, context.simulation.orders)


@then("{name} is held by both targets")
def check_both(context, name):
    for target in context.simulation.targets.values():
        assert Item(name) in target.items, (target.name, target.items)


@then("m3 was ordered to be unloaded")
def check_made_room(context):
    orders = [order for _, order in context.simulation.orders]
    assert any(o.item == Item("m3") and not o.load for o in orders), orders


@then("m4 is held by the second target alone")
def check_second(context):
    holders = [
        t.name for t in context.simulation.targets.values() if Item("m4") in t.items
    ]
    assert holders == ["t2"], holders


@then("{name} is blocked: {reason}")
def check_blocked(context, name, reason):
    blocked = {i.model: r.value for i, r in context.planner.blocked.items()}
    assert blocked.get(name) == reason, blocked


@then("no order was given")
def check_no_order(context):
    assert not context.simulation.orders, context.simulation.orders


@then("no window of 5 s saw more than {most:d} loads from the weight store")
def check_rate(context, most):
    loads = sorted(
        at_s for t in context.simulation.targets.values() for at_s in t.store_loads
    )
    assert loads
    for at_s in loads:
        assert len([x for x in loads if at_s <= x < at_s + 5.0]) <= most, loads


@given("the state of a target that holds m1 after 5 orders")
def make_book(context):
    context.spec = spec()
    fake = FakeTarget("t1", context.spec)
    context.target_state = TargetState(fake.listing(), context.spec)
    context.target_state.record_report(_report(5, "m1"), 100.0)


def _report(count, names, busy=False):
    return TargetReport(count, busy, 0, 0, frozenset(_items(names)) if names else ())


@when("a load order gets no answer")
def send_lost(context):
    context.target_state.record_order(
        Order("t1", Item("m2"), True, order_count=5), 101.0
    )
    context.target_state.record_answer(OrderAnswer.UNKNOWN, 101.1)


@when("a load order is rejected after an unknown one was accepted")
def send_refused(context):
    context.target_state.record_order(
        Order("t1", Item("m2"), True, order_count=5), 101.0
    )
    context.target_state.record_answer(OrderAnswer.BUSY, 101.1)
    context.target_state.record_report(_report(6, "m1,m3"), 101.5)


@when("a report predates the last order")
def report_old(context):
    context.target_state.record_order(
        Order("t1", Item("m2"), True, order_count=5), 101.0
    )
    context.target_state.record_answer(OrderAnswer.ACCEPTED, 101.1)
    context.target_state.record_report(_report(5, "m1"), 101.2)


@when("a report shows a model that was not ordered")
def report_more(context):
    context.target_state.record_report(_report(6, "m1,m3"), 105.0)


@when("an adapter is unloaded before the answer")
def unload_adapter(context):
    item = Item("m1", "a1")
    context.target_state.record_order(Order("t1", item, True, order_count=5), 101.0)
    context.target_state.record_answer(OrderAnswer.ACCEPTED, 101.1)
    context.target_state.tick(102.0)
    context.target_state.record_order(Order("t1", item, False, order_count=6), 103.0)
    context.target_state.record_answer(OrderAnswer.ALREADY_DONE, 103.1)


@when("the target restarts")
def start_anew(context):
    context.target_state.record_report(_report(0, ""), 110.0)


@then("the state includes the model")
def book_counts(context):
    assert len(context.target_state.items) == 2, context.target_state.items
    assert context.target_state.free_mb() == 213.0 - 140.0, (
        context.target_state.free_mb()
    )


@then("the state is unknown until the next report")
def book_unknown(context):
    assert not context.target_state.known
    context.target_state.record_report(_report(6, "m1,m3"), 102.5)
    assert context.target_state.known and set(context.target_state.items) == _items(
        "m1,m3"
    )


@then("the state is unchanged")
def book_keeps(context):
    assert set(context.target_state.items) == _items("m1,m2"), (
        context.target_state.items
    )
    assert context.target_state.order_count == 6, context.target_state.order_count


@then("the state counts one more order")
def book_counted(context):
    assert context.target_state.order_count == 7, context.target_state.order_count
    assert set(context.target_state.items) == _items("m1"), context.target_state.items


@then("the state is empty")
def book_empty(context):
    assert context.target_state.known and not context.target_state.items, (
        context.target_state.items
    )
