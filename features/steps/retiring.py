"""Steps on copies that are about to be unloaded."""

from behave import given, then, when

from features.scheduling import World
from marjoramstage.exceptions import Verdict
from marjoramstage.protocol.events import (
    AttemptEnded,
    Dispatch,
    InstanceLoaded,
    RequestSubmitted,
)
from marjoramstage.protocol.messages import (
    AttemptEnd,
    CopyOnTarget,
    InstanceLoad,
    Item,
    Request,
    TargetKind,
)
from marjoramstage.state.inventory import Inventory, Model

TOLD = {"by the lease holder": "m0", "for another model": "m1"}


@given("a retiring world where targets t0 and t1 hold model m0")
def make_world(context):
    models = (Model(name="m0", memory_mb=10), Model(name="m1", memory_mb=10))
    context.retiring = World(Inventory(models=models))
    for name in ("t0", "t1"):
        context.retiring.add_target(name, 8, "m0", "m1")


@when(
    "t0's copy is told to retire {told} and {count:d} requests come {wait_s:f} s later"
)
def tell(context, told, count, wait_s):
    scheduler = context.retiring.schedulers["i0"]
    copy = CopyOnTarget("t0", Item(TOLD[told], "1"))
    load = InstanceLoad("holder", "d1", "1", 1, retiring=(copy,))
    scheduler.handle(InstanceLoaded(load), 0.0)
    context.ran = [send(scheduler, number, wait_s) for number in range(count)]


def send(scheduler, number, now_s):
    """Send one request that ends at once; return the target that it ran on."""
    request = Request(
        id=f"r{number}",
        customer="luna",
        kind=TargetKind.ENGINE,
        model="m0",
        arrived_s=now_s,
        deadline_s=now_s + 60.0,
        prompt_tokens=8,
        output_tokens=8,
    )
    effects = scheduler.handle(RequestSubmitted(request), now_s)
    [target] = [effect.target for effect in effects if isinstance(effect, Dispatch)]
    end = AttemptEnd(request, target, Verdict.RAN, True, tokens=8)
    scheduler.handle(AttemptEnded(end), now_s)
    return target


@then("the retiring copy of t0 ran {runs} of them")
def check_runs(context, runs):
    on_t0 = context.ran.count("t0")
    assert (on_t0 > 0) == (runs == "some"), context.ran
    assert len(context.ran) == 20, context.ran
