"""Steps that run schedulers on a virtual clock."""

from behave import given, then, when

from features.scheduling import CLASSES, LoadGenerator, SchedulerWorld, inventory_of
from marjoramstage.protocol.events import RequestSubmitted, Tick

WORK_S = 0.51
LOAD_S = 30.0
DEADLINE_S = 3.0
GOSSIP = {"regular": (0.2, 0.05), "slow": (1.0, 0.5), "none": (1e9, 0.0)}


def start(context, instances, gossip, queue=512):
    models = [f"m{number}" for number in range(6)]
    customers = [("a", 1), ("b", 1), ("c", 1)]
    inventory = inventory_of(models, customers)
    context.world = SchedulerWorld(inventory, instances, queue, gossip=GOSSIP[gossip])
    context.load = LoadGenerator(context.world)


@given("schedulers for {instances:d} instances with gossip {gossip}")
def start_schedulers(context, instances, gossip):
    start(context, instances, gossip)


@given("bounded schedulers for {instances:d} instances with a queue of {queue:d}")
def start_bounded(context, instances, queue):
    start(context, instances, "regular", queue)


@given("{count:d} scheduled targets of {slots:d} slots that share {models:d} models")
def add_targets(context, count, slots, models):
    context.models = [f"m{number}" for number in range(models)]
    context.slots = count * slots
    for number in range(count):
        held = {context.models[(2 * number + step) % models] for step in range(3)}
        context.world.add_target(f"t{number}", slots, *sorted(held))


@when(
    "customers a, b and c offer {factor:d} times the capacity, "
    "a {flood:d} times its share"
)
def offer(context, factor, flood):
    rate = context.slots / WORK_S * factor / 3
    for customer in "abc":
        own = rate * flood if customer == "a" else rate
        context.load.add(own, LOAD_S, customer, context.models, DEADLINE_S)
    context.world.run(LOAD_S + 2 * DEADLINE_S)


@then("the schedulers serve at least {share:g} of the slots' capacity in time")
def check_goodput(context, share):
    could = context.slots / WORK_S * (LOAD_S + DEADLINE_S)
    met = sum(context.world.met.values())
    assert met >= share * could, (met, could)


@then("no scheduled request was late")
def check_late(context):
    assert not context.world.late, context.world.late


@then("no scheduled target ran more than its slots")
def check_slots(context):
    for target in context.world.targets.values():
        assert target.peak_running <= target.slots, target
        assert set(target.runs.values()) <= {1}


@then("the largest customer share is at most {ratio:g} times the smallest")
def check_fair(context, ratio):
    met = context.world.met
    assert max(met.values()) <= ratio * min(met[name] for name in "abc"), met


@when("{count:d} requests with {deadline_s:d} s each arrive at the scheduler at once")
def burst(context, count, deadline_s):
    world = context.world
    for _ in range(count):
        request = context.load.request(1.0, "a", "m0", float(deadline_s))
        world.at(1.0, world.submit, "i0", request)
    world.run(10.0)


@then("every scheduler refusal comes on arrival or before the deadline")
def check_refusal_times(context):
    world = context.world
    assert world.refusals
    for refusal in world.refusals:
        at_s = world.refused_at_s[refusal.request.id]
        assert at_s < refusal.request.deadline_s, refusal


@then("at least {count:d} of them are refused on arrival")
def check_at_once(context, count):
    times = list(context.world.refused_at_s.values())
    assert times.count(1.0) >= count, sorted(times)


@then("each refusal carries a retry-after time with jitter")
def check_retry_after(context):
    delays = [refusal.retry_after_s for refusal in context.world.refusals]
    assert min(delays) > 0
    assert len(set(delays)) > len(delays) // 2, delays
    assert {refusal.status for refusal in context.world.refusals} <= {429, 503}


@when("a request for {model} with {deadline:g} s and {tokens:d} tokens is scheduled")
def one_request(context, model, deadline, tokens):
    request = context.load.request(1.0, "a", model, deadline, output_tokens=tokens)
    context.world.now_s = 1.0
    scheduler = context.world.schedulers["i0"]
    context.request = request
    context.effects = scheduler.handle(RequestSubmitted(request), 1.0)


@then("the scheduler answers it with {outcome}")
def check_outcome(context, outcome):
    (effect,) = context.effects
    assert getattr(effect, "code", "dispatch") == outcome, effect


@when("the scheduler's queue is filled with {name} work of customer a")
def fill_queue(context, name):
    world = context.world
    for _ in range(5):
        request = context.load.request(
            0.0, "a", "m0", 1000.0, request_class=CLASSES[name]
        )
        if not world.targets["t0"].running:
            request = context.load.request(0.0, "c", "m0", 1000.0)
        world.submit("i0", request)
    assert world.schedulers["i0"].queue_lengths() == {"m0": 4}
    assert not world.refusals


@when("{name} work of customer b is scheduled")
def schedule_b(context, name):
    request = context.load.request(0.0, "b", "m0", 1000.0, request_class=CLASSES[name])
    context.world.submit("i0", request)


@then("the scheduler displaces work of customer {name}")
def check_victim(context, name):
    (refusal,) = context.world.refusals
    assert refusal.request.customer == name, refusal
    assert refusal.code == "queue-full", refusal


def urgent_met(context, overnight):
    start(context, 4, "regular")
    add_targets(context, 3, 16, 6)
    rate = 0.5 * context.slots / WORK_S
    models = context.models
    urgent = CLASSES["urgent"]
    load = context.load
    load.add(rate, LOAD_S, "a", models, 1.0, start_s=5.0, request_class=urgent)
    if overnight:
        late = CLASSES["overnight"]
        tokens = (50, 2000)
        load.add(
            200, LOAD_S, "b", models, 3600.0, request_class=late, output_tokens=tokens
        )
    context.world.run(LOAD_S + 2.0)
    return context.world.met["a"]


@when("urgent work is offered alone and then beside a flood of overnight work")
def offer_urgent(context):
    context.alone = urgent_met(context, overnight=False)
    context.beside = urgent_met(context, overnight=True)


@then("the same number of urgent requests met their deadline")
def check_urgent(context):
    assert context.beside == context.alone, (context.beside, context.alone)


def interactive_met(context, overnight):
    start(context, 2, "regular")
    add_targets(context, 3, 16, 6)
    rate = 1.2 * context.slots / WORK_S
    load, models = context.load, context.models
    for customer in "ac":
        load.add(rate / 2, 60.0, customer, models, DEADLINE_S)
    if overnight:
        late = CLASSES["overnight"]
        load.add(20, 25.0, "b", models, 200.0, start_s=20.0, request_class=late)
    context.world.run(220.0)
    met = context.world.met
    return met["a"] + met["c"]


@when("overnight work arrives amid interactive work at 1.2 times the capacity")
def offer_overnight(context):
    context.alone = interactive_met(context, overnight=False)
    context.beside = interactive_met(context, overnight=True)


@then("every overnight request met its deadline")
def check_overnight(context):
    assert context.world.met["b"] == context.load.offered["b"], context.world.met
    assert context.world.late["b"] == 0


@then("at least {share:g} of the interactive requests still met their deadline")
def check_gave_way(context, share):
    assert context.beside >= share * context.alone, (context.beside, context.alone)


@then("the scheduler's load report shows {count:d} waiting request for {model}")
def check_demand(context, count, model):
    load = context.world.schedulers["i0"].own_load(1.0)
    (demand,) = load.demand
    assert (demand.item.name, demand.waiting, demand.requests) == (model, count, count)


@then("it is refused by the scheduler before its deadline")
def check_nowhere(context):
    scheduler = context.world.schedulers["i0"]
    (refusal,) = scheduler.handle(Tick(), context.request.deadline_s - 0.1)
    assert refusal.code == "deadline", refusal
