"""Steps that simulate the load of a fleet with many rarely used models."""

from behave import given, when

from features.load_simulation import DemandShift, LoadSimulation, Outage, Traffic
from features.simulated_engine import CacheSizes, EngineSpeed
from marjoramstage.state.routes import EngineSpec, ModelSpec

# Memory in MB, and load times in s from the weight store, the disk and memory.
SIZES = {
    "l": (72_700.0, 5.8, 1.2, 0.4),
    "m": (65_500.0, 5.2, 1.0, 0.38),
    "s": (34_300.0, 2.6, 0.52, 0.28),
}
ADAPTER_MB = 40.0
SLOTS, MEMORY_MB, ADAPTER_SLOTS, LOADS_PER_S = 32, 200_000.0, 8, 9.5
CONTEXT_TOKENS = 85_000
URGENT, RARE, ACTIVE = 50, 54, 20
SHIFTS = (DemandShift(1, 2, 8), DemandShift(14, 2, 7), DemandShift(24, 2, 7))
OUTAGE_S, OUTAGE_FOR_S = 6.5, 2.0


def _size(number):
    if number % 12 == 9:
        return SIZES["s"]
    return SIZES["m" if number % 3 == 0 else "l"]


def _spec(count):
    models = {}
    for number in range(count):
        adapters = 0 if number % 2 or number >= URGENT else max(7, 70 // (1 + number))
        name = f"m{number}"
        models[name] = ModelSpec(name, *_size(number), adapters, ADAPTER_MB)
    return EngineSpec(
        SLOTS,
        MEMORY_MB,
        ADAPTER_SLOTS,
        LOADS_PER_S,
        models,
        context_tokens=CONTEXT_TOKENS,
    )


def _shares():
    """Return the parts of the urgent demand that the active models have."""
    weights = [(1 + number) ** -0.8 for number in range(ACTIVE)]
    return tuple(weight / sum(weights) for weight in weights)


def _traffic():
    prompt, events = (628, 1.0, 3310), (41.6, 0.69, 136)
    urgent = tuple(f"m{n}" for n in range(URGENT))
    rare = tuple(f"m{n}" for n in range(URGENT, URGENT + RARE))
    chat = Traffic("chat", 170, 0.4, 0.3, 12, 1.8, 0.53, 1, prompt, events, urgent)
    chat.adapter_share, chat.busy = 0.1, ACTIVE
    draft = Traffic("draft", 23.6, 4.0, 0.3, 20, 1.8, 0.53, 1, prompt, events, rare)
    long, few = (1800, 1.3, 6870), (3.22, 1.4, 12.9)
    brief = Traffic("brief", 51, 0.5, 0.3, 3, 2.3, 0.69, 0, long, few, urgent)
    brief.adapter_share, brief.busy = 0.5, ACTIVE
    return chat, draft, brief


@given("30 engines and 104 models, of which 54 are asked for rarely")
def make_fleet(context):
    context.spec, context.traffic = _spec(URGENT + RARE), _traffic()


@given("four engines fail for some seconds")
def lose_four(context):
    context.outages = (Outage(OUTAGE_S, 4, OUTAGE_FOR_S),)


@when("{length:d} s of the fleet's load are simulated, seed {seed:d}")
def run_fleet(context, length, seed):
    context.simulation = LoadSimulation(
        context.spec,
        context.traffic,
        SHIFTS,
        context.outages,
        seed,
        length,
        data_centres=("a", "b", "c", "d"),
        targets=30,
        instances=60,
        speed=EngineSpeed(tokens_per_event=7, context_tokens=CONTEXT_TOKENS),
        hot_shares=_shares(),
        shift_step=2,
        models_per_engine=3,
        first_copies=ACTIVE,
        spare_disk_models=2,
        caches=CacheSizes(140_000, 410_000),
        report_interval_s=0.3,
        view_interval_s=0.25,
        announces_prompts=False,
    )
    context.requests = context.simulation.run()
