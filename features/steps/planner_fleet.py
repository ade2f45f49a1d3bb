"""Steps about the planner of a fleet with many targets and models."""

import sys
from collections import Counter

from behave import given, then, when

from features.simulated_targets import DISK_LOAD_S, STORE_LOAD_S, FakeTarget
from features.simulated_targets import TargetSimulation as Simulation
from marjoramstage.coordination.blocked_models import BlockedModels, BlockReason
from marjoramstage.coordination.demand_snapshot import DemandSnapshot
from marjoramstage.coordination.load_rate_limiter import LoadRateLimiter
from marjoramstage.coordination.placement_planner import PlacementPlanner
from marjoramstage.protocol.control import Order
from marjoramstage.state.fleet import Item
from marjoramstage.state.routes import EngineSpec, ModelSpec

PLACES = 3
SLOTS = 12
BUSY_PER_S = 8.0
RARE_PER_S = 0.2
CRITICAL_PER_S = 0.05
TOP_RARE_PER_S = 2.0
POLL_S = 0.5
WINDOW_S, HEADROOM, BURST = 5.0, 1.1, 3


def _spec(names, loads_per_s=9.0):
    models = {
        name: ModelSpec(name, 70.0, STORE_LOAD_S, DISK_LOAD_S, 0.4, 0, 1.0)
        for name in names
    }
    return EngineSpec(SLOTS, 213.0, 8, loads_per_s, models)


def _planner(spec):
    limiter = LoadRateLimiter(spec.loads_per_s, WINDOW_S, HEADROOM)
    return PlacementPlanner(spec, limiter)


def _demand(busy=(), idle=(), rare=(), waited=()):
    """Return demand with busy, idle latency-critical and deferrable models."""
    fast = {Item(name): BUSY_PER_S for name in busy}
    slow = dict.fromkeys((Item(n) for n in (*busy, *idle)), CRITICAL_PER_S)
    slow |= dict.fromkeys((Item(n) for n in rare), RARE_PER_S)
    critical = {Item(name): CRITICAL_PER_S for name in (*busy, *idle)}
    waiting = dict.fromkeys((Item(n) for n in waited), 1)
    return DemandSnapshot(waiting, {}, fast, slow, critical)


def _targets(spec, held):
    targets = []
    for number, names in enumerate(held):
        target = FakeTarget(f"t{number}", spec, {Item(name) for name in names})
        target.on_disk = set(names)
        targets.append(target)
    return targets


def _start(context, spec, held):
    context.spec = spec
    context.simulation = Simulation(_targets(spec, held))
    context.planner = _planner(spec)


def _calls_of_step(targets, blocked):
    """Count the function calls of one step with so many blocked models."""
    busy = [f"b{n}" for n in range(targets)]
    rare = [f"r{n}" for n in range(targets * 2 + blocked)]
    spec = _spec([*busy, *rare])
    held = [(f"b{n}", f"r{2 * n}", f"r{2 * n + 1}") for n in range(targets)]
    simulation, planner = Simulation(_targets(spec, held)), _planner(spec)
    demand = _demand(busy, (), rare, rare[2 * targets :])
    simulation.run(planner, lambda now_s: DemandSnapshot(), 0.5)
    calls = 0

    def count(frame, event, arg):
        nonlocal calls
        calls += event == "call"

    sys.setprofile(count)
    try:
        planner.plan_orders(demand, simulation.now_s + 1.0)
    finally:
        sys.setprofile(None)
    return calls


@given("a planner for 20 and one for 40 targets, with as many models blocked")
def make_two_planners(context):
    context.sizes = (20, 40)


@when("each plans one step")
def plan_steps(context):
    context.calls = [_calls_of_step(size, 24) for size in context.sizes]


@then("the second makes at most {times:d} times the calls of the first")
def check_calls(context, times):
    first, second = context.calls
    assert second <= times * first, context.calls


@given(
    "{targets:d} targets that hold idle models and {rare:d} rare models "
    "that are waited for"
)
def make_fleet(context, targets, rare):
    context.rare = [f"r{n}" for n in range(rare)]
    others = [f"d{n}" for n in range(targets * PLACES)]
    context.names = [*others, *context.rare]
    context.held = [others[n * PLACES : (n + 1) * PLACES] for n in range(targets)]
    context.demand = _demand((), (), context.names, context.rare)


@given("the weight store allows {rate:d} loads a second")
def set_rate(context, rate):
    _start(context, _spec(context.names, rate), context.held)


@when("the planner of the fleet runs for {for_s:d} s")
def run_fleet(context, for_s):
    context.simulation.run(context.planner, lambda now_s: context.demand, for_s)


@then("at least {count:d} fetches began")
def check_fetches(context, count):
    targets = context.simulation.targets.values()
    begun = sum(len(target.store_loads) for target in targets)
    assert begun >= count, begun


@then("loads from the weight store kept to its rate")
def check_rate(context):
    loads = sorted(
        at_s for t in context.simulation.targets.values() for at_s in t.store_loads
    )
    most = context.spec.loads_per_s * WINDOW_S * HEADROOM + BURST
    for at_s in loads:
        assert len([x for x in loads if at_s <= x < at_s + WINDOW_S]) <= most, loads


@given("2 targets that both hold the same idle latency-critical models")
def make_surplus(context):
    idle = ["c1", "c2", "c3"]
    _start(context, _spec([*idle, "r1"]), [idle, idle])
    context.demand = _demand((), idle, ("r1",), ("r1",))
    context.idle = idle


@when("requests wait for a rare model for {for_s:g} s")
def wait_for_rare(context, for_s):
    context.simulation.run(context.planner, lambda now_s: context.demand, for_s)


@then("it is loaded and each idle model still has a replica")
def check_surplus(context):
    orders = [order for _, order in context.simulation.orders]
    assert any(o.load and o.item == Item("r1") for o in orders), orders
    held = set().union(*(t.items for t in context.simulation.targets.values()))
    assert {Item(name) for name in context.idle} <= held, held


@given("2 targets, of which the one with the weights is busy with a load of 3 s")
def make_busy_home(context):
    spec = _spec(["d1", "d2", "d3", "d4", "r1", "b1"])
    _start(context, spec, [("d1", "d2"), ("d3", "d4")])
    home = context.simulation.targets["t0"]
    home.on_disk.add("r1")
    context.demand = _demand((), (), ("d1", "d2", "d3", "d4", "r1"), ("r1",))
    context.simulation.run(context.planner, lambda now_s: DemandSnapshot(), 0.5)
    state = context.planner.target_states["t0"]
    order = Order("t0", Item("b1"), True, order_count=state.order_count)
    state.record_order(order, context.simulation.now_s)
    answer = home.order(order, context.simulation.now_s)
    state.record_answer(answer, context.simulation.now_s)


@then("its load was ordered at the other target")
def check_elsewhere(context):
    loads = [o for _, o in context.simulation.orders if o.load]
    assert [(o.target, o.item.model) for o in loads] == [("t1", "r1")], loads


@given("{targets:d} targets that each hold 3 of {rare:d} rare models")
def make_shared_places(context, targets, rare):
    names = [f"r{n}" for n in range(rare)]
    held = [names[n * PLACES : (n + 1) * PLACES] for n in range(targets)]
    _start(context, _spec(names), held)
    # Some are asked for more often than others, but each of them is.
    context.rates = {Item(n): TOP_RARE_PER_S / (i + 1) for i, n in enumerate(names)}


def _held_models(context):
    targets = context.simulation.targets.values()
    return set().union(*(target.items for target in targets))


@when("each model that no target holds is waited for, for {for_s:d} s")
def wait_for_all(context, for_s):
    def demand_at(now_s):
        missing = context.rates.keys() - _held_models(context)
        waiting = {item: 1 + round(context.rates[item]) for item in missing}
        return DemandSnapshot(waiting, {}, context.rates, context.rates)

    context.first_held_s = {}
    for step in range(int(for_s / POLL_S)):
        context.simulation.run(context.planner, demand_at, POLL_S)
        for item in _held_models(context):
            context.first_held_s.setdefault(item, step * POLL_S)


@then("each model was held within {most:d} s")
def check_turns(context, most):
    starved = [str(item) for item in context.rates if item not in context.first_held_s]
    assert not starved, starved
    assert max(context.first_held_s.values()) <= most, context.first_held_s


@given("a model that has reserved the next load of the only target")
def reserve_only(context):
    context.blocked = BlockedModels(_spec(["r1", "r2"]))
    context.blocked.begin_plan([Item("r1")], Counter(), ("t0",), 0.0)
    context.blocked.add(Item("r1"), BlockReason.TARGET_BUSY, 0.0)
    context.blocked.reserve(Item("r1"), "t0")
    assert context.blocked.is_reserved_for_other("t0", Item("r2"))


@when("nobody waits for that model any more")
def stop_waiting(context):
    context.blocked.begin_plan([], Counter(), ("t0",), 5.0)


@then("the target is not kept for it, and it keeps its turn for {for_s:d} s")
def check_not_kept(context, for_s):
    assert not context.blocked.is_reserved_for_other("t0", Item("r2"))
    assert context.blocked.blocked_for_s(Item("r1"), 5.0) == 5.0
    after_s = for_s + 0.1
    context.blocked.begin_plan([], Counter(), ("t0",), after_s)
    assert context.blocked.blocked_for_s(Item("r1"), after_s) == 0.0
