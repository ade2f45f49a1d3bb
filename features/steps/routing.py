"""Steps about the selection of targets."""

import random
from collections import Counter
from dataclasses import replace

from behave import given, then, when

from features.scheduling import LoadGenerator, SchedulerWorld, inventory_of
from marjoramstage.coordination.routing import TargetView
from marjoramstage.coordination.slot_sharing import (
    PeerUsage,
    even_slot_shares,
    own_slot_limit,
)
from marjoramstage.exceptions import Verdict
from marjoramstage.protocol.events import (
    AttemptEnded,
    Dispatch,
    RequestSubmitted,
    RetryRequested,
    TargetLeaving,
    TargetListed,
    TargetReported,
    Tick,
)
from marjoramstage.protocol.messages import (
    AttemptEnd,
    InstanceLoad,
    Item,
    ItemDemand,
    Target,
    TargetKind,
)

DEADLINE_S = 100.0


def scheduler_of(context):
    return context.world.schedulers["i0"]


def ask(context, now_s=1.0, instance="i0", **fields):
    """Submit a request for m0; return its dispatch, or None if it is queued."""
    request = context.load.request(now_s, "a", "m0", DEADLINE_S, **fields)
    scheduler = context.world.schedulers[instance]
    context.request = request
    for effect in scheduler.handle(RequestSubmitted(request), now_s):
        if isinstance(effect, Dispatch):
            return effect
    return None


@given("{count:d} routed targets of {slots:d} slots that all hold m0")
def add_routed(context, count, slots):
    for number in range(count):
        context.world.add_target(f"t{number}", slots, "m0")


@given("routed target {name} of {slots:d} slots in {data_centre} holds m0")
def add_in(context, name, slots, data_centre):
    context.world.add_target(name, slots, "m0", data_centre=data_centre)


@when(
    "{count:d} requests for m0 arrive within 1 ms while all targets are reported idle"
)
def send_with_idle_reports(context, count):
    context.sent = Counter()
    for number in range(count):
        dispatch = ask(context, instance=f"i{number % 8}")
        context.sent[dispatch.target] += 1


@then("no routed target was sent more than {factor:g} times the mean")
def check_herd(context, factor):
    mean = sum(context.sent.values()) / len(context.world.targets)
    assert max(context.sent.values()) <= factor * mean, context.sent


@then("the even shares of {count:d} instances add up to {slots:d} slots on any target")
def check_shares(context, count, slots):
    names = [f"i{number}" for number in range(count)]
    for number in range(50):
        target = f"t{number}"
        shares = even_slot_shares(slots, names, target).values()
        assert sum(shares) == slots, shares
        assert max(shares) - min(shares) <= 1, shares


@when("peers use {text} of a target with 12 slots")
def use_slots(context, text):
    peers = []
    for number, word in enumerate(text.split() if text != "nothing" else ()):
        name = f"p{number}"
        if word == "stale":
            peers.append(PeerUsage(name, 0, 0.0, fresh=False))
            continue
        in_flight, waiting = word.split("/")
        peers.append(PeerUsage(name, int(in_flight), float(waiting)))
    context.limit = own_slot_limit(12, "i0", "t0", peers)


@then("instance i0 may use {limit:d} of them")
def check_limit(context, limit):
    assert context.limit == limit, context.limit


@when("the scheduler is told that routed target {name} is leaving")
def leave(context, name):
    scheduler_of(context).handle(TargetLeaving(name), 1.0)


@then("{count:d} requests for m0 all go to {name}")
def check_all_go(context, count, name):
    for _ in range(count):
        assert ask(context).target == name


@when("an outdated listing shows {name} as not leaving")
def list_again(context, name):
    target = Target(name, "d1", TargetKind.ENGINE, "127.0.0.1:1")
    scheduler_of(context).handle(TargetListed(target), 1.0)
    report = context.world.targets[name].report()
    scheduler_of(context).handle(TargetReported(report), 1.0)


@then("the next request for m0 is queued")
def check_waits(context):
    assert ask(context) is None


@when("{name} reports a new incarnation")
def restart(context, name):
    report = replace(context.world.targets[name].report(), incarnation="new")
    context.effects = scheduler_of(context).handle(TargetReported(report), 1.0)


@then("the next request for m0 goes to {name}")
def check_goes(context, name):
    (dispatch,) = context.effects
    assert dispatch.target == name
    assert ask(context).target == name


@then("{count:d} requests for m0 go to {near} before one goes to {far}")
def check_near(context, count, near, far):
    targets = [ask(context, output_tokens=1).target for _ in range(count + 1)]
    assert targets == [near] * count + [far], targets


@when("each instance sends {count:d} requests with a long prompt of the same prefix")
def send_prefix(context, count):
    context.sent = Counter()
    for name in context.world.schedulers:
        for _ in range(count):
            dispatch = ask(context, instance=name, prompt_tokens=20_000, prefix=77)
            context.sent[dispatch.target] += 1


@then("at least {share:g} of them went to one routed target")
def check_prefix(context, share):
    assert max(context.sent.values()) >= share * sum(context.sent.values()), (
        context.sent
    )


def end(request, target, reason, verdict=Verdict.NOT_RUN, ok=False):
    return AttemptEnded(AttemptEnd(request, target, verdict, ok, reason=reason))


@when("attempts on t0 fail for {length:d} s because it refuses connections")
def fail_attempts(context, length):
    scheduler, context.tried = scheduler_of(context), 0
    ask(context, 0.0, output_tokens=1)
    effects = [Dispatch(context.request, "t0", "", "")]
    for step in range(length * 10):
        now_s = step / 10
        for effect in effects:
            if isinstance(effect, Dispatch):
                context.tried += 1
                scheduler.handle(end(effect.request, "t0", "connect"), now_s)
        fresh = context.load.request(now_s, "a", "m0", 1.0, output_tokens=1)
        effects = scheduler.handle(RequestSubmitted(fresh), now_s)
        effects += scheduler.handle(Tick(), now_s)
    context.failed_s = length
    for effect in effects:
        if isinstance(effect, Dispatch):
            scheduler.handle(end(effect.request, "t0", "connect"), length)


@then("t0 was tried at most {count:d} times")
def check_tried(context, count):
    assert 3 <= context.tried <= count, context.tried


@when("t0 answers again")
def answer_again(context):
    scheduler = scheduler_of(context)
    context.sent_at_s = None
    for step in range(600):
        now_s = context.failed_s + step / 10
        dispatch = ask(context, now_s, output_tokens=1)
        if dispatch is not None:
            context.sent_at_s = now_s
            ok = end(dispatch.request, "t0", "", Verdict.RAN, ok=True)
            scheduler.handle(ok, now_s)
            return


@then("the scheduler sends work to t0 within {bound:d} s")
def check_again(context, bound):
    assert context.sent_at_s - context.failed_s <= bound, context.sent_at_s


@when("{count:d} requests for adapter x of m0 arrive at the scheduler")
def ask_for_adapter(context, count):
    inventory = inventory_of(["m0"], [("a", 1)], [("x", "m0")])
    scheduler = scheduler_of(context)
    context.world.inventory = inventory
    scheduler._inventory = scheduler._selector.inventory = inventory
    context.effects = []
    for _ in range(count):
        request = context.load.request(1.0, "a", "m0", DEADLINE_S, adapter="x")
        context.effects += scheduler.handle(RequestSubmitted(request), 1.0)
    context.effects += scheduler.handle(Tick(), 1.1)


@then("the scheduler requests x on t0 once")
def check_asked(context):
    (asked,) = context.effects
    assert (asked.target, asked.item) == ("t0", Item("x", "1"))


@when("t0 reports x")
def report_adapter(context):
    target = context.world.targets["t0"]
    target.items = (*target.items, Item("x", "1"))
    report = TargetReported(target.report())
    context.effects = scheduler_of(context).handle(report, 1.2)


@then("all {count:d} requests for x go to t0")
def check_adapter_used(context, count):
    sent = [(effect.target, effect.served_as) for effect in context.effects]
    assert sent == [("t0", "m0@1:x@1")] * count, sent


@when("{count:d} attempts end {reason} and are submitted for retry")
def retry_many(context, count, reason):
    scheduler, context.given = scheduler_of(context), 0
    verdict = Verdict.MAY_HAVE_RUN if reason == "broken" else Verdict.NOT_RUN
    for number in range(count):
        now_s = 1.0 + number
        for view in scheduler.table.views.values():
            view.breaker.record_success()
        dispatch = ask(context, now_s)
        scheduler.handle(end(dispatch.request, dispatch.target, reason, verdict), now_s)
        retry = RetryRequested(dispatch.request, (dispatch.target,))
        for effect in scheduler.handle(retry, now_s):
            if not isinstance(effect, Dispatch):
                assert effect.code == "retry-budget", effect
                continue
            context.given += 1
            ok = end(effect.request, effect.target, "", Verdict.RAN, ok=True)
            scheduler.handle(ok, now_s)


@then("between {least:d} and {most:d} retries are allowed")
def check_given(context, least, most):
    assert least <= context.given <= most, context.given


@given("a scheduler with {targets:d} targets, {models:d} models and {peers:d} peers")
def start_large(context, targets, models, peers):
    rng = random.Random(3)
    names = [f"m{number}" for number in range(models)]
    context.world = SchedulerWorld(inventory_of(names, [("a", 1)]), 1)
    context.load = LoadGenerator(context.world)
    for number in range(targets):
        context.world.add_target(f"t{number}", 64, *rng.sample(names, 6))
    scheduler = scheduler_of(context)
    for number in range(peers):
        in_flight = {f"t{rng.randrange(targets)}": 1 for _ in range(200)}
        demand = [ItemDemand(Item(name, "1"), 9, 9, 1) for name in names[:40]]
        load = InstanceLoad(f"p{number}", "d1", "1", 1, in_flight, tuple(demand))
        scheduler._peers.update(load, 0.0)
    context.models = names


@when("{count:d} requests are scheduled and completed there")
def schedule_large(context, count):
    scheduler = scheduler_of(context)
    checked = Counter()
    plain = TargetView.accepts_work

    def counting(view, now_s):
        checked["at"] += 1
        return plain(view, now_s)

    TargetView.accepts_work = counting
    try:
        for number in range(count):
            model = context.models[number % len(context.models)]
            request = context.load.request(0.0, "a", model, DEADLINE_S)
            for effect in scheduler.handle(RequestSubmitted(request), 0.0):
                if isinstance(effect, Dispatch):
                    ok = end(request, effect.target, "", Verdict.RAN, ok=True)
                    scheduler.handle(ok, 0.0)
    finally:
        TargetView.accepts_work = plain
    context.checked = checked["at"] / count


@then("the decisions check at most {count:d} targets each on average")
def check_looked(context, count):
    assert context.checked <= count, context.checked
