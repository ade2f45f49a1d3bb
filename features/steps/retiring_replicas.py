"""Steps about replicas that are about to be unloaded."""

from behave import given, then, when

from features.scheduling import SchedulerWorld
from marjoramstage.coordination.instance_loads import InstanceLoads
from marjoramstage.coordination.membership import Member
from marjoramstage.exceptions import Verdict
from marjoramstage.protocol.events import (
    AttemptEnded,
    Dispatch,
    InstanceLoadReported,
    InventoryAccepted,
    RequestSubmitted,
    TargetGone,
    TargetReported,
)
from marjoramstage.protocol.messages import (
    AttemptEnd,
    InstanceLoad,
    Item,
    ItemDemand,
    Replica,
    Request,
    Resident,
    ResidentState,
    TargetKind,
    TargetReport,
)
from marjoramstage.protocol.peers import MemberEntry
from marjoramstage.state.inventory import Inventory, Model

ANNOUNCED = {"by the lease holder": "m0", "for another model": "m1"}


@given("a scheduler whose targets t0 and t1 hold model m0")
def make_world(context):
    models = (Model(name="m0", memory_mb=10), Model(name="m1", memory_mb=10))
    context.retiring = SchedulerWorld(Inventory(models=models))
    for name in ("t0", "t1"):
        context.retiring.add_target(name, 8, "m0", "m1")


@when(
    "t0's replica is announced as retiring {announced} and {count:d} requests "
    "come {wait_s:f} s later"
)
def announce(context, announced, count, wait_s):
    scheduler = context.retiring.schedulers["i0"]
    copy = Replica("t0", Item(ANNOUNCED[announced], "1"))
    load = InstanceLoad("holder", "d1", "1", 1, retiring=(copy,))
    scheduler.handle(InstanceLoadReported(load), 0.0)
    context.ran = [send(scheduler, number, wait_s) for number in range(count)]


def send(scheduler, number, now_s):
    """Run a request that ends at once; return its target."""
    return dispatch(scheduler, number, now_s).target


def dispatch(scheduler, number, now_s):
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
    [sent] = [effect for effect in effects if isinstance(effect, Dispatch)]
    end = AttemptEnd(request, sent.target, Verdict.RAN, True, tokens=8)
    scheduler.handle(AttemptEnded(end), now_s)
    return sent


@then("the retiring replica of t0 ran {runs} of them")
def check_runs(context, runs):
    on_t0 = context.ran.count("t0")
    assert (on_t0 > 0) == (runs == "some"), context.ran
    assert len(context.ran) == 20, context.ran


RESIDENTS = {
    "no target holds it": (),
    "a target starts to load": (ResidentState.LOADING,),
    "a target holds it ready": (ResidentState.READY,),
    "its only holder is gone": (ResidentState.READY,),
}


@when("version 2 of m0 is accepted and {case}")
def accept_version(context, case):
    world = context.retiring
    scheduler = world.schedulers["i0"]
    inventory = Inventory(models=(Model(name="m0", memory_mb=10, version="2"),))
    scheduler.handle(InventoryAccepted(2, inventory), 0.0)
    world.add_target("t2", 8)
    new = tuple(Resident(Item("m0", "2"), 10, state) for state in RESIDENTS[case])
    report = TargetReport("t2", "t2-1", 9, 100, 8, residents=new)
    scheduler.handle(TargetReported(report), 0.0)
    if case == "its only holder is gone":
        scheduler.handle(TargetGone("t2"), 0.0)


@then("new requests for m0 run on version {version}")
def check_version(context, version):
    scheduler = context.retiring.schedulers["i0"]
    served = {dispatch(scheduler, number, 0.1).served_as for number in range(9)}
    assert served == {f"m0@{version}"}, served


class OnePeer:
    """Membership with one live peer."""

    def with_liveness(self, *wanted, now_s):
        return [Member(MemberEntry("i1", 1, 1, address="127.0.0.1:9"), now_s, now_s)]


def large_load(sequence, retiring=()):
    demand = tuple(ItemDemand(Item(f"m{n}", "1"), 1, 1) for n in range(400))
    return InstanceLoad("i0", "d1", "1", sequence, demand=demand, retiring=retiring)


@given("an instance that has just announced a load of 400 items")
def tell_large(context):
    context.loads = InstanceLoads(0.0)
    assert len(context.loads.broadcast(large_load(1), OnePeer(), 0.0)) == 1


@when("0.5 s later it could announce a load {case}")
def tell_again(context, case):
    copy = Replica("t0", Item("m0", "1"))
    retiring = (copy,) if case == "with a retiring replica" else ()
    context.sent = context.loads.broadcast(large_load(2, retiring), OnePeer(), 0.5)


@then("the peer is sent {messages} more load")
def check_sent(context, messages):
    assert len(context.sent) == {"no": 0, "one": 1}[messages], context.sent
