"""Steps that simulate load and check the results of callers."""

from collections import Counter
from unittest import mock

from behave import given, then, when

from features.load_simulation import (
    DemandShift,
    LoadSimulation,
    Outage,
    Traffic,
    earned_share,
)
from marjoramstage.coordination import prefill_backlog
from marjoramstage.state.routes import EngineSpec, ModelSpec

# Memory in MB, and load times in s from the weight store, the disk and memory.
SIZES = {
    "l": (72_700.0, 5.8, 1.2, 0.4),
    "m": (65_500.0, 5.2, 1.0, 0.38),
    "s": (34_300.0, 2.6, 0.52, 0.28),
}
MODELS = "mllmllmllmmmsllslsmm"
ADAPTERS = {0: 31, 2: 9, 4: 9, 6: 7, 8: 7}
URGENT = tuple(f"m{n}" for n in (0, 1, 2, 3, 5, 4, 6, 7, 9, 8))
DEFERRABLE = tuple(f"m{n}" for n in range(10, 20))
SHIFTS = (DemandShift(1, 2, 6), DemandShift(14, 2, 5), DemandShift(24, 2, 5))
ASKED_OFTEN = 4
ENDED = ("in time", "late")


def _spec():
    models = {}
    for number, size in enumerate(MODELS):
        name = f"m{number}"
        models[name] = ModelSpec(name, *SIZES[size], ADAPTERS.get(number, 0), 40.0)
    return EngineSpec(64, 200_000.0, 8, 1.9, models)


def _traffic(rate):
    prompt, events = (628, 1.0, 3310), (58.3, 0.69, 191)
    short, few = (1800, 1.3, 6870), (4.5, 1.4, 18)
    urgent = Traffic(
        "urgent", 37.9 * rate, 0.4, 0.25, 15, 2.2, 0.65, 0, prompt, events, URGENT
    )
    urgent.adapter_share, urgent.busy = 0.1, 4
    deferrable = Traffic(
        "deferrable",
        6.9 * rate,
        4.0,
        0.25,
        20,
        2.2,
        0.65,
        0,
        prompt,
        events,
        DEFERRABLE,
    )
    brief = Traffic(
        "brief", 8.05 * rate, 0.5, 0.25, 3, 0.82, 0.25, 2, short, few, URGENT
    )
    brief.adapter_share, brief.busy = 0.5, 4
    return urgent, deferrable, brief


@given("6 engines and 20 models under {rate:g} of the load of a busy hour")
def make_service(context, rate):
    context.spec, context.traffic, context.outages = _spec(), _traffic(rate), ()


@given("two engines fail for some seconds")
def lose_two(context):
    context.outages = (Outage(4.3, 1, 4.9), Outage(7.3, 1, 2.0))


def _run(context, length_s, seed):
    context.simulation = LoadSimulation(
        context.spec, context.traffic, SHIFTS, context.outages, seed, length_s
    )
    return context.simulation.run()


@when("{length:d} s of it are simulated, seed {seed:d}")
def run(context, length, seed):
    context.requests = _run(context, length, seed)


@when(
    "{length:d} s of it are simulated with and without holding prompts back, "
    "{times:d} times"
)
def play_both(context, length, times):
    context.requests, context.unpaced = [], []
    for seed in range(1, times + 1):
        context.requests += _run(context, length, seed)
        with mock.patch.object(prefill_backlog, "MAX_PAUSE_SHARE", 1000.0):
            context.unpaced += _run(context, length, seed)


def _paused(requests):
    streams = [req for req in requests if req.traffic.name == "urgent"]
    return sum(req.pause_s > req.traffic.pause_s for req in streams)


@then("fewer than two thirds as many streams pause too long")
def check_pauses(context):
    paced, unpaced = _paused(context.requests), _paused(context.unpaced)
    assert 3 * paced < 2 * unpaced, (paced, unpaced)


@then("at most 1 in 100 more requests is refused or cut off")
def check_lost(context):
    paced = sum(req.outcome not in ENDED for req in context.requests)
    unpaced = sum(req.outcome not in ENDED for req in context.unpaced)
    assert paced <= unpaced + len(context.requests) // 100, (paced, unpaced)


@then("more requests are answered in time")
def check_in_time(context):
    paced = sum(req.outcome == "in time" for req in context.requests)
    unpaced = sum(req.outcome == "in time" for req in context.unpaced)
    assert paced > unpaced, (paced, unpaced)


@then("deferrable requests earn at least {part:g} of their value")
def check_patient(context, part):
    earned = earned_share(context.requests, "deferrable")
    assert earned >= part, earned


@then("no engine was ordered to load more than fits")
def check_engines(context):
    broken = [e.name for e in context.simulation.engines.values() if e.overcommitted]
    assert not broken, broken


@then("at most 1 in 10 of the models in demand was never served")
def check_reached(context):
    asked = Counter(req.item.model for req in context.requests)
    served = {req.item.model for req in context.requests if req.outcome in ENDED}
    often = {model for model, count in asked.items() if count >= ASKED_OFTEN}
    assert len(often - served) <= 1 + len(often) // 10, often - served
