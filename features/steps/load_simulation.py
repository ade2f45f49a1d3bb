"""Steps that simulate load and check the results of callers."""

from collections import Counter
from dataclasses import replace
from unittest import mock

from behave import given, then, when

from features.load_simulation import (
    DemandShift,
    LoadSimulation,
    Outage,
    Traffic,
    earned_share,
)
from features.simulated_engine import CacheSizes, EngineSpeed
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
CONTEXT_TOKENS = 95_317
# An engine that reads prompts slowly.
SLOW_READER = EngineSpeed(
    0.00947, 0.0000275, 0.0000000261, 1 / 19_200, 2.35e-9, 2048, 3, CONTEXT_TOKENS
)
ENDED = ("in time", "late")
# Resumed streams count if so many engines of their version serve.
MIN_ENGINES = 2
MIN_RESUMED = 12


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


def _long_prompts_spec():
    sizes = {"s": (16_100.0, 1.9, 0.7, 0.54), "m": (34_300.0, 4.0, 1.0, 0.78)}
    models = {}
    for number in range(28):
        name = f"m{number}"
        size = sizes["s" if number % 5 == 4 else "m"]
        models[name] = ModelSpec(name, *size, 4, 40.0)
    return EngineSpec(96, 83_000.0, 8, 2.8, models, context_tokens=CONTEXT_TOKENS)


def _long_prompts():
    prompt, events = (1800, 1.3, 6870), (7.5, 1.4, 30)
    urgent, others = (
        tuple(f"m{n}" for n in range(10)),
        tuple(f"m{n}" for n in range(10, 28)),
    )
    draft = Traffic("draft", 37, 1, 0.5, 5, 1.8, 0.9, 1, prompt, events, urgent)
    draft.adapter_share, draft.busy = 0.3, 4
    rare = Traffic("rare", 5.2, 3, 0.5, 10, 1.8, 0.9, 1, prompt, events, others)
    letter = Traffic(
        "letter",
        12,
        0.8,
        0.5,
        15,
        2.2,
        1.1,
        0,
        (1110, 1.0, 3790),
        (57, 0.89, 147),
        urgent,
    )
    letter.busy = 4
    return draft, rare, letter


@given("10 engines that batch 96 requests and have memory for 40 of them")
def make_long_prompts(context):
    context.traffic = _long_prompts()


def _run_long_prompts(context, spec, seed, length_s):
    simulation = LoadSimulation(
        spec,
        context.traffic,
        (DemandShift(1, 1, 7), DemandShift(12, 1, 5)),
        (Outage(8, 1, 6),),
        seed,
        length_s,
        targets=10,
        instances=27,
        speed=SLOW_READER,
        hot_shares=(0.36, 0.27, 0.2, 0.17),
        shift_step=1,
        first_copies=4,
        spare_disk_models=3,
        caches=CacheSizes(60_000, 180_000),
        report_interval_s=0.3,
        view_interval_s=0.25,
        announces_prompts=False,
    )
    return simulation.run()


@when(
    "{length:d} s are simulated with and without regard to that memory, {times:d} times"
)
def play_memory(context, length, times):
    spec = _long_prompts_spec()
    context.requests, context.unaware = [], []
    for seed in range(1, times + 1):
        context.requests += _run_long_prompts(context, spec, seed, length)
        blind = replace(spec, context_tokens=0)
        context.unaware += _run_long_prompts(context, blind, seed, length)


@then("callers earn more of their value")
def check_more(context):
    aware, unaware = earned_share(context.requests), earned_share(context.unaware)
    assert aware > unaware, (aware, unaware)


@then("no class earns less than {part:g} of its value")
def check_classes(context, part):
    names = {req.traffic.name for req in context.requests}
    earned = {name: earned_share(context.requests, name) for name in names}
    assert min(earned.values()) >= part, earned


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


@given("engines run {versions} by turns, and two fail at a time, three times")
def run_versions(context, versions):
    context.versions = tuple(versions.split(" and "))
    context.outages = tuple(Outage(at_s, 2, 2.0) for at_s in (8.0, 15.0, 22.0))


@when("{length:d} s are simulated in which callers resume streams, seeds 1 to {most:d}")
def run_resuming_often(context, length, most):
    requests = []
    for seed in range(1, most + 1):
        run_resuming(context, length, seed)
        requests += context.requests
    context.requests = requests


@when("{length:d} s are simulated in which callers resume streams, seed {seed:d}")
def run_resuming(context, length, seed):
    context.simulation = LoadSimulation(
        context.spec,
        context.traffic,
        (),
        context.outages,
        seed,
        length,
        versions=context.versions,
    )
    context.requests = context.simulation.run()


def _began_share(requests):
    return sum(req.first_s is not None for req in requests) / len(requests)


@then("resumed deferrable streams go on at least half as often as new ones begin")
def check_resumed_deferrable(context):
    context.requests = [r for r in context.requests if r.traffic.name == "deferrable"]
    check_resumed(context)


@then("resumed streams go on at least half as often as new ones begin")
def check_resumed(context):
    resumed = [req for req in context.requests if req.engines_left >= MIN_ENGINES]
    new = [req for req in context.requests if req.software is None]
    assert len(resumed) >= MIN_RESUMED, len(resumed)
    shares = _began_share(resumed), _began_share(new)
    assert 2 * shares[0] >= shares[1], shares
