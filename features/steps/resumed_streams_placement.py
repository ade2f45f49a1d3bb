"""Steps about models that streams wait for to be resumed."""

from behave import given, then, when

from features.simulated_targets import (
    DISK_LOAD_S,
    STORE_LOAD_S,
    FakeTarget,
    TargetSimulation,
)
from marjoramstage.coordination.demand_snapshot import DemandSnapshot
from marjoramstage.coordination.load_rate_limiter import LoadRateLimiter
from marjoramstage.coordination.placement_planner import PlacementPlanner
from marjoramstage.state.fleet import Item, ItemVersion
from marjoramstage.state.routes import EngineSpec, ModelSpec

VERSIONS = ("v1", "v1", "v2")
RARE_PER_S = 0.2
ADAPTERS = 2


def _item(text):
    model, _, adapter = text.strip().partition("/")
    return Item(model, adapter)


@given("a planner and targets that hold {held}")
def start(context, held):
    names = [f"d{n}" for n in range(1, 10)] + ["r1"]
    models = {
        name: ModelSpec(name, 70.0, STORE_LOAD_S, DISK_LOAD_S, 0.4, ADAPTERS, 1.0)
        for name in names
    }
    context.spec = EngineSpec(12, 213.0, 8, 9.0, models)
    targets = []
    for number, text in enumerate(held.split(";")):
        target = FakeTarget(
            f"t{number}",
            context.spec,
            {_item(name) for name in text.split(",")},
            software=VERSIONS[number],
        )
        target.on_disk = {item.model for item in target.items}
        targets.append(target)
    context.simulation = TargetSimulation(targets)
    limiter = LoadRateLimiter(context.spec.loads_per_s, 5.0, 1.1)
    context.planner = PlacementPlanner(context.spec, limiter)
    context.rates = {Item(name): RARE_PER_S for name in names}
    context.waiting, context.running = {}, {}
    context.simulation.run(context.planner, lambda now_s: DemandSnapshot(), 0.5)


@given("a request waits for each of them")
def wait_for_each(context):
    context.waiting = dict.fromkeys(context.rates, 1)


@given("the engine t1 ends, while t0 runs {count:d} requests of each of its models")
def end_engine(context, count):
    context.gone = context.simulation.targets.pop("t1")
    held = context.simulation.targets["t0"].items
    context.running = {("t0", item): count for item in held}


@when("the engine t1 starts again with its disk")
def start_again(context):
    context.gone.restart()
    context.simulation.targets["t1"] = context.gone


@when("3 streams of {name} that v1 began wait to be resumed for {for_s:g} s")
def resume(context, name, for_s):
    item = _item(name)

    def demand_at(now_s):
        held = [t for t in context.simulation.targets.values() if item in t.items]
        if any(target.software == "v1" for target in held):
            return DemandSnapshot(slow_rates=context.rates)
        return DemandSnapshot(
            context.waiting | {item: 3},
            context.running,
            slow_rates=context.rates,
            resuming={ItemVersion(item, "v1"): 3},
        )

    context.simulation.run(context.planner, demand_at, for_s)


@then("the planner loads {loaded} at {where}")
def check_loaded(context, loaded, where):
    begun = [order for _, order in context.simulation.orders if order.load]
    found = {(str(order.item), order.target) for order in begun}
    if loaded == "nothing":
        assert not found, found
        return
    places = where.split(" or ")
    assert any((loaded, place) in found for place in places), found
    holders = [context.simulation.targets[place] for place in places]
    assert any(_item(loaded) in target.items for target in holders), found
