"""Steps that simulate deployments whose targets hold few of the models asked for."""

from behave import given, then, when

from features.scarce_loads import DEPLOYMENTS, make_simulation, measure
from marjoramstage.coordination.demand_snapshot import DemandSnapshot
from marjoramstage.coordination.replica_values import ReplicaValues
from marjoramstage.coordination.target_choice import unused_memory_cost
from marjoramstage.coordination.target_state import MAX_ORDER_DELAY_S, TargetState
from marjoramstage.protocol.control import OrderAnswer
from marjoramstage.state.fleet import FleetTarget, Item
from marjoramstage.state.routes import EngineSpec, ModelSpec

WINDOW_S, HEADROOM, BURST = 5.0, 1.1, 3
ITEM = Item("m1")


def _spec(slots, sizes_gb):
    models = {
        f"m{n}": ModelSpec(f"m{n}", gb * 1000, 4.0, 0.8, 0.4)
        for n, gb in enumerate(sizes_gb)
    }
    return EngineSpec(slots, 220_000.0, 8, 15.0, models)


@given("the {size} deployment")
def choose_deployment(context, size):
    context.simulation = make_simulation(DEPLOYMENTS[size], seed=1)


@when("its load is simulated for {for_s:d} s")
def simulate(context, for_s):
    context.simulation.length_s = for_s
    context.requests = context.simulation.run()
    context.outcome = measure(context.simulation, context.requests)


@then(
    "at most 1 + 1 in {part:d} of the models and adapters asked for often was "
    "never served"
)
def check_turns(context, part):
    found = context.outcome
    assert found.unserved <= 1 + found.items // part, found


@then("callers earn at least {share:g} of the value of their requests")
def check_credit(context, share):
    assert context.outcome.credit["all"] >= share, context.outcome


@then("no target was ordered to hold more than fits")
def check_memory(context):
    engines = context.simulation.engines.values()
    assert not [e.name for e in engines if e.overcommitted]


@then("the weight store was asked for at most its rate")
def check_rate(context):
    engines = context.simulation.engines.values()
    loads = sorted(at_s for engine in engines for at_s in engine.store_loads_s)
    most = context.simulation.spec.loads_per_s * WINDOW_S * HEADROOM + BURST
    for at_s in loads:
        assert sum(at_s <= other < at_s + WINDOW_S for other in loads) <= most


@given("targets of {slots:d} slots, one of which runs {runs:d} requests of a model")
def run_model(context, slots, runs):
    context.values = ReplicaValues(_spec(slots, (70, 70)))
    context.demand = DemandSnapshot(running={("t0", ITEM): runs})


@then("another replica of it is {needed}")
def check_needed(context, needed):
    value = context.values.value_of_extra(ITEM, context.demand, replicas=1)
    assert (value > 0) == (needed == "needed"), value


@given("models that need {sizes} GB")
def make_models(context, sizes):
    context.spec = _spec(14, [float(size) for size in sizes.split(",")])


@then("leaving half of a target's memory unused costs {cost:g}")
def check_unused(context, cost):
    assert unused_memory_cost(context.spec) / 2 == cost


def _target(incarnation):
    spec = _spec(14, (70, 70, 70, 70))
    target = FleetTarget("t0", incarnation, "s", "10.0.0.1:80", "a", 14)
    return TargetState(target, spec)


@given("a target that did not answer an order to load a model")
def leave_unanswered(context):
    context.state = _target(1)
    context.state.begin_order(Item("m0"), True, 0.0)
    context.state.record_answer(OrderAnswer.UNKNOWN, 0.0)


@when("it restarts")
def restart(context):
    former, context.state = context.state, _target(2)
    context.state.inherit_orders(former)


@then("there is room for {first:d} other models, and for {last:d} after 6 s")
def check_room(context, first, last):
    state = context.state
    room_mb = []
    for now_s in (1.0, MAX_ORDER_DELAY_S):
        state.tick(now_s)
        room_mb.append(state.free_mb())
    assert [mb // 70_000 for mb in room_mb] == [first, last], room_mb
