"""Steps for placement, on simulated placers and engines."""

from dataclasses import replace

from behave import given, then, when

from features.placement_world import PlacementWorld
from marjoramstage.coordination.capacity import TargetCapacity, shortfall
from marjoramstage.protocol.messages import OrderAction
from marjoramstage.state.inventory import Adapter, Customer, Inventory, Model

MB_A_GB = 1000
CENTRES = ("south", "north", "east", "west")
CREDENTIAL = "0" * 64


def _inventory(models, gb):
    return Inventory(
        models=tuple(
            Model(name=f"m{index}", memory_mb=gb * MB_A_GB) for index in range(models)
        )
    )


@given(
    "a placement of {models:d} models of {gb:d} GB on {engines:d} engines of"
    " {engine_gb:d} GB in {centres:d} data centres"
)
def start_placement(context, models, gb, engines, engine_gb, centres):
    names = {f"e{index}": CENTRES[index % centres] for index in range(engines)}
    context.world = PlacementWorld(names, engine_gb * MB_A_GB)
    context.inventory = _inventory(models, gb)
    context.world.accept(context.inventory)


@when("the placement runs for {seconds:d} s")
def run_placement(context, seconds):
    context.world.run(seconds)


@then("each placed model is resident at least once")
def check_resident(context):
    for model in context.inventory.models:
        assert context.world.copies(f"{model.name}@1") >= 1, model.name


@then("at most {copies:d} replicas were loaded and no memory was overcommitted")
def check_copies(context, copies):
    assert len(context.world.loads()) <= copies, len(context.world.loads())
    assert context.world.overcommits == 0


@then("the placement started at most {loads:d} model loads")
def check_loads(context, loads):
    assert 0 < len(context.world.loads()) <= loads, len(context.world.loads())


@when("the placed target {name} is {fate}")
def lose_target(context, name, fate):
    context.since_s = context.world.now_s
    assert context.world.held(name)
    if fate == "lost":
        context.world.lose(name)
    else:
        context.world.leave(name)


@then("each placed model is resident on a target other than {name}")
def check_beside(context, name):
    world = context.world
    others = [world.held(other) for other in world.engines if other != name]
    for model in context.inventory.models:
        assert any(f"{model.name}@1" in held for held in others), model.name


@then("the placement loaded nothing on target {name} after that")
def check_no_loads(context, name):
    loads = context.world.loads(context.since_s)
    assert loads
    assert all(order.target != name for order in loads)


@when("the placed model {name} gets version 2")
def new_version(context, name):
    models = tuple(
        replace(model, version="2") if model.name == name else model
        for model in context.inventory.models
    )
    context.world.accept(replace(context.inventory, models=models))


@then("the placed version 2 of {name} was loaded before version 1 was unloaded")
def check_order(context, name):
    orders = [order for _, order in context.world.orders if order.item.name == name]
    steps = [(order.action, order.item.version) for order in orders]
    expected = [
        (OrderAction.LOAD, "1"),
        (OrderAction.LOAD, "2"),
        (OrderAction.UNLOAD, "1"),
    ]
    assert steps == expected, steps


@then("the placed version 1 of {name} is not resident")
def check_old_gone(context, name):
    assert context.world.copies(f"{name}@1") == 0
    assert context.world.copies(f"{name}@2") == 1


@when("the placed model {name} has demand and the placement runs for {seconds:d} s")
def add_demand(context, name, seconds):
    for turn in range(seconds):
        context.world.demand({name: 20 * (turn + 1)})
        context.world.run(1)


@then("the placed model {name} has more than 1 replica and {other} has 1")
def check_replicas(context, name, other):
    assert context.world.copies(f"{name}@1") > 1
    assert context.world.copies(f"{other}@1") == 1


@when("the placement leases expire and target {name} is lost")
def lapse(context, name):
    context.world.holding = False
    context.world.run(10)
    context.world.lose(name)
    context.orders = len(context.world.orders)


@then("the placement sends no order in {seconds:d} s")
def check_frozen(context, seconds):
    context.world.run(seconds)
    assert len(context.world.orders) == context.orders


@then("the placement recovers every model after it regains its leases")
def check_recovery(context):
    context.world.holding = True
    context.world.run(60)
    assert len(context.world.orders) > context.orders
    check_resident(context)


@given("a placement where 3 adapters of two customers fill the free memory")
def start_rivals(context):
    context.world = PlacementWorld({"e0": "south"}, 20 * MB_A_GB + 900)
    names = ("large-old", "large-new", "little-old", "little-new")
    context.inventory = Inventory(
        models=(Model(name="m0", memory_mb=20 * MB_A_GB),),
        adapters=tuple(Adapter(name=n, model="m0", memory_mb=300) for n in names),
        customers=(
            Customer("large", CREDENTIAL, ("m0", "large-old", "large-new")),
            Customer("little", CREDENTIAL, ("m0", "little-old", "little-new")),
        ),
    )
    context.world.accept(context.inventory)
    context.world.run(10)
    loaded = context.world.held("e0")
    context.missing = next(name for name in names if f"{name}@1" not in loaded)


@when("another adapter of customer little is requested")
def ask_adapter(context):
    world = context.world
    world.demand({"large-old": 1})
    world.run(40)
    world.demand({"large-old": 1, "large-new": 1})
    world.run(1)
    assert context.missing == "little-old" or context.missing == "little-new", (
        context.missing
    )
    world.ask("e0", context.missing)
    world.run(5)


@then("the least recently used adapter of customer large was evicted")
def check_gave_way(context):
    assert "large-old@1" not in context.world.held("e0"), context.world.held("e0")
    assert f"{context.missing}@1" in context.world.held("e0")


@then("the placed adapter in use was not evicted")
def check_stayed(context):
    assert "large-new@1" in context.world.held("e0")


@given(
    "an inventory of {models:d} models of 20 GB for engines of {gb:d} GB in two"
    " data centres"
)
def plan_inventory(context, models, gb):
    engines = [
        TargetCapacity("e0", "south", gb * MB_A_GB),
        TargetCapacity("e1", "north", gb * MB_A_GB),
    ]
    context.shortfall = shortfall(_inventory(models, 20), engines)


@then("the shortfall is {unplaced:d} models and {missing:d} GB of memory")
def check_shortfall(context, unplaced, missing):
    found = context.shortfall
    assert len(found.unplaced) == unplaced, found
    assert sum(found.missing_mb.values()) == missing * MB_A_GB, found
    assert found.fits == (unplaced == 0)


@then("the shortfall after the loss of a target leaves {after:d} models out")
def check_after_loss(context, after):
    assert len(context.shortfall.unplaced_after_loss) == after, context.shortfall
