"""Steps about targets that name a limit on the rate of requests, on the whole path."""

import json
import time

from behave import given, then, when

from features.entry_deployment import (
    config,
    put,
    ready_status,
    start_instance,
    start_store,
    start_target,
)
from features.open_load import OpenLoad
from features.processes import wait_for

NAMED_AT_S = 2.0
STABLE_S = 3.0
WINDOW_S = 4.0
TOLD_S = 0.5
FACTOR, EXTRA = 1.5, 5
MODEL = "m1"


def _start(context, instances, targets, limited, limit, models):
    start_store(context)
    document = config()
    for route in document["routes"]:
        route["timeout_ms"] = 6000
    put(context, "config", "main", document)
    context.limit = limit
    for number in range(1, targets + 1):
        start_target(context, f"s{number}", "plain", None)
    for number in range(1, targets + 1):
        start_target(context, f"e{number}", "engine", set(models(number)))
    context.numbers_limited = range(1, limited + 1)
    for number in range(1, instances + 1):
        start_instance(context, f"i{number}", number)
    for name in context.instances:
        wait_for(lambda name=name: ready_status(context, name) == 200, f"{name} ready")
    time.sleep(1.0)


@given(
    "{instances:d} instances and {targets:d} targets of which {limited:d} will name "
    "{limit:g} a second"
)
def start(context, instances, targets, limited, limit):
    _start(context, instances, targets, limited, limit, lambda number: (MODEL,))


@given(
    "{instances:d} instances and {targets:d} targets of which {limited:d} will name "
    "{limit:g} a second, alone with m3"
)
def start_alone(context, instances, targets, limited, limit):
    first = ("m3",), (MODEL,)
    _start(
        context, instances, targets, limited, limit, lambda number: first[number > 1]
    )


def _limited(context):
    prefix = "e" if context.model else "s"
    return [context.targets[f"{prefix}{n}"] for n in context.numbers_limited]


def _name_limit(context, limit):
    for target in _limited(context):
        target.limit = f"{limit:g}" if limit else ""


def _kill(context, name):
    context.deployment.processes[name].kill()


def _run(context, load, for_s, event):
    events = [(NAMED_AT_S, lambda: _name_limit(context, context.limit))]
    context.lowered_s, context.lower_limit, context.killed = None, None, ()
    match event.split():
        case [name, "is", "killed", "at", at_s, "s"]:
            context.killed = (name,)
            events.append((float(at_s), lambda: _kill(context, name)))
        case ["the", "store", "is", "away", "from", from_s, "s"]:
            away = ("offline", True)
            events.append((float(from_s), lambda: setattr(context.store, *away)))
        case ["the", "limit", "falls", "to", limit, "at", at_s, "s"]:
            context.lowered_s, context.lower_limit = float(at_s), float(limit)
            events.append((float(at_s), lambda: _name_limit(context, float(limit))))
        case ["the", "limit", "ends", "at", at_s, "s"]:
            events.append((float(at_s), lambda: _name_limit(context, 0)))
    context.began_s = time.monotonic()
    context.load = load
    context.sent = load.send_for(context.instances, for_s, events)
    context.for_s = for_s


@when("callers send {per_s:g} requests a second by {route} for {for_s:g} s, {event}")
def send(context, per_s, route, for_s, event):
    context.model = MODEL if route == "night" else ""
    share = 0.9 if event == "i1 gets nine of ten" else 0.0
    load = OpenLoad(f"/{route}/x", per_s, context.model, share)
    _run(context, load, for_s, event)


@when("callers send {per_s:g} requests a second for m3 for {for_s:g} s, {event}")
def send_for_model(context, per_s, for_s, event):
    context.model = "m3"
    _run(context, OpenLoad("/night/x", per_s, "m3"), for_s, event)


def _arrivals(context, target):
    """Return when requests reached a target, from instances that had been told."""
    sent = {s.request_id: s for s in context.sent}
    named_s = context.began_s + NAMED_AT_S
    told_s = {}
    pairs = list(zip(target.arrivals, target.arrival_ids, strict=True))
    for at_s, request_id in pairs:
        if at_s >= named_s and sent[request_id].status == 200:
            name = sent[request_id].instance
            told_s[name] = min(told_s.get(name, at_s), sent[request_id].ended_s)
    return [
        at_s
        for at_s, request_id in pairs
        if sent[request_id].instance not in context.killed
        and at_s - told_s.get(sent[request_id].instance, at_s) >= TOLD_S
    ]


def _most_in_window(times, from_s):
    times = sorted(t for t in times if t >= from_s)
    return max(
        (sum(begin <= t < begin + WINDOW_S for t in times) for begin in times),
        default=0,
    )


@then("no limited target gets more than its limit allows")
def check_limit(context):
    limits = [(NAMED_AT_S, context.limit)]
    if context.lowered_s is not None:
        limits = [(context.lowered_s, context.lower_limit)]
    for target in _limited(context):
        times = _arrivals(context, target)
        for since_s, limit in limits:
            from_s = context.began_s + since_s + STABLE_S
            most = _most_in_window(times, from_s)
            allowed = FACTOR * limit * WINDOW_S + EXTRA
            print(f"{target.name}: {most} in 4 s, {allowed:.1f} allowed")
            assert most <= allowed, f"{target.name}: {most} in 4 s, {allowed:.1f}"


def _arrived_since(context, target, from_s):
    end_s = context.began_s + context.for_s
    begin_s = context.began_s + from_s
    return sum(begin_s <= at_s <= end_s for at_s in target.arrivals)


@then("each limited target gets at least half of its limit from {from_s:g} s on")
def check_used(context, from_s):
    for target in _limited(context):
        count = _arrived_since(context, target, from_s)
        wanted = context.limit * (context.for_s - from_s) / 2
        assert count >= int(wanted), f"{target.name}: {count} of {wanted:.1f}"


def _check_even(context, from_s):
    prefix = "e" if context.model else "s"
    every = [t for name, t in context.targets.items() if name.startswith(prefix)]
    counts = {t.name: _arrived_since(context, t, from_s) for t in every}
    even = sum(counts.values()) / len(every)
    for target in _limited(context):
        assert counts[target.name] >= even / 2, counts


@then("the limited target gets at least half of an even share")
def check_even(context):
    _check_even(context, NAMED_AT_S + 1)


@then("the limited target gets at least half of an even share from {from_s:g} s on")
def check_even_since(context, from_s):
    _check_even(context, from_s)


def _served_share(context, from_s, within_s):
    asked = [
        s
        for s in context.sent
        if s.sent_s >= context.began_s + from_s and s.instance not in context.killed
    ]
    served = sum(s.status == 200 and s.took_s <= within_s for s in asked)
    return served / len(asked)


@then("{share:g} of the callers are served in {within_s:g} s")
def check_served(context, share, within_s):
    found = _served_share(context, NAMED_AT_S, within_s)
    assert found >= share, found


@then("{share:g} of the callers from {from_s:g} s on are served in {within_s:g} s")
def check_served_since(context, share, from_s, within_s):
    found = _served_share(context, from_s, within_s)
    assert found >= share, found


@then("some are refused")
def check_some_refused(context):
    assert any(s.status == 503 for s in context.sent)


@then("callers that are refused are told at once when to come back")
def check_refusals(context):
    others = {s.status for s in context.sent if s.instance not in context.killed}
    assert others <= {200, 503}, others
    for s in context.sent:
        if s.status == 503:
            assert float(s.retry_after) > 0, s
            assert s.took_s < 1.0 or s.instance in context.killed, s


@then("no caller is told of the limit")
def check_not_passed_on(context):
    assert not any(s.has_limit for s in context.sent)


@then("the logs of an instance tell when the limit came and went")
def check_logged(context):
    text = (context.deployment.folder / "i2.log").read_text()
    lines = [json.loads(line) for line in text.splitlines()]
    words = [line["per_s"] for line in lines if line["event"] == "target limit"]
    assert words == [context.limit, None], words
