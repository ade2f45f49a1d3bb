"""Loads of deployments whose targets hold few of the models that are asked for.

The sizes are those of the deployments in use: targets of 14 slots that hold three
models each, and about four models and nine adapters for each target.
"""

from collections import Counter
from dataclasses import dataclass

from features.load_simulation import (
    DemandShift,
    LoadSimulation,
    Outage,
    Traffic,
    earned_share,
)
from features.simulated_engine import CacheSizes, EngineSpeed
from marjoramstage.state.routes import EngineSpec, ModelSpec

LENGTH_S = 34.0
ASKED_OFTEN = 4
ENDED = ("in time", "late")
SPEED = EngineSpeed(0.00443, 0.00005, 0.000000023, 1 / 38_100, 0.737e-9, 2048, 5)
CACHES = CacheSizes(150_000, 450_000)
# About 30 models get nearly all requests: the first 12%, the others 2 to 6%.
HOT_SHARES = (0.12, *(0.06 - 0.0014 * n for n in range(29)))
SMALL_HOT_SHARES = (0.14, *(0.1 - 0.005 * n for n in range(16)))
LATE_VALUE = 0.6


@dataclass(frozen=True)
class ScarceDeployment:
    """Sizes of a deployment and its requests a second.

    Attributes
    ----------
    per_s : float
        Requests of all kinds.
    shift : int
        Number of the busy models that are replaced each 8 s.
    """

    targets: int
    models: int
    adapters: int
    instances: int
    hot_shares: tuple
    per_s: float
    shift: int
    rare_per_s: float


LARGE = ScarceDeployment(50, 200, 450, 24, HOT_SHARES, 340.0, 10, 30.0)
SMALL = ScarceDeployment(14, 56, 126, 7, SMALL_HOT_SHARES, 115.0, 5, 12.0)
DEPLOYMENTS = {"large": LARGE, "small": SMALL}


def _spec(sizes):
    models = {}
    for number in range(sizes.models):
        name = f"m{number}"
        memory_mb = 72_700.0 if number % 2 else 65_100.0
        load_s = 3.8 + 0.4 * (number % 3) / 2
        adapters = sizes.adapters * 2 // sizes.models if number % 2 else 0
        models[name] = ModelSpec(name, memory_mb, load_s, 0.8, 0.4, adapters, 40.0)
    return EngineSpec(14, 220_000.0, 8, 15.0, models)


def _traffic(sizes):
    names = tuple(f"m{n}" for n in range(sizes.models))
    per_s = sizes.per_s
    stream, events = (628, 1.0, 3310), (60.0, 0.69, 190)
    brief, few = (1500, 1.0, 5000), (6.0, 1.0, 18)
    kinds = (
        Traffic("live", 0.5 * per_s, 0.4, 0.3, 10, 2.5, 0, 0, stream, events, names),
        Traffic("defer", 0.2 * per_s, 8, 0.3, 15, 0.9, 0, 2, stream, events, names),
        Traffic("brief", 0.3 * per_s, 1.5, 0.3, 3, 1.6, 0, 1, brief, few, names),
    )
    for kind in kinds:
        kind.busy, kind.adapter_share = 1, 0.4
    rare = Traffic(
        "rare", sizes.rare_per_s, 3, 0.3, 15, 1.0, 0, 2, stream, events, names
    )
    rare.one_model_bursts, rare.adapter_share = True, 0.3
    for kind in (*kinds, rare):
        kind.late_value = LATE_VALUE * kind.value
    return (*kinds, rare)


def make_simulation(sizes, seed, outages: tuple[Outage, ...] = ()):
    """Return the simulation of a deployment whose busy models change each 8 s."""
    shifts = tuple(
        DemandShift(at_s, sizes.shift, 0.5) for at_s in range(8, int(LENGTH_S), 8)
    )
    return LoadSimulation(
        _spec(sizes),
        _traffic(sizes),
        shifts,
        outages,
        seed,
        LENGTH_S,
        targets=sizes.targets,
        instances=sizes.instances,
        speed=SPEED,
        hot_shares=sizes.hot_shares,
        shift_step=sizes.shift,
        models_per_engine=3,
        spare_disk_models=3,
        caches=CACHES,
        report_interval_s=0.2,
        view_interval_s=0.25,
        announces_prompts=False,
    )


@dataclass(frozen=True)
class Outcome:
    """What callers got, and what it cost.

    Attributes
    ----------
    items, unserved : int
        Models and adapters asked for four times or more, and those of them that
        were never served.
    credit : dict
        Share of the value of the requests that was earned, by kind.
    loads, store_loads : int
        Loads of models, and those of them from the weight store.
    returned, waited : float
        Share served of the callers who were told to come back, and of the requests
        that waited.
    """

    items: int
    unserved: int
    credit: dict
    loads: int
    store_loads: int
    returned: float
    waited: float


def measure(simulation, requests) -> Outcome:
    """Return the outcome of a simulation that has run."""
    asked = Counter(req.item for req in requests)
    served = {req.item for req in requests if req.outcome in ENDED}
    often = {item for item, count in asked.items() if count >= ASKED_OFTEN}
    kinds = ("all", *(kind.name for kind in simulation.traffic))
    credit = {
        kind: round(earned_share(requests, None if kind == "all" else kind), 3)
        for kind in kinds
    }
    engines = simulation.engines.values()
    return Outcome(
        len(often),
        len(often - served),
        credit,
        sum(engine.model_loads for engine in engines),
        sum(engine.store_loads for engine in engines),
        _served_share([req for req in requests if req.retried]),
        _served_share([req for req in requests if req.waited and not req.retried]),
    )


def _served_share(requests):
    served = sum(req.outcome in ENDED for req in requests)
    return round(served / len(requests), 3) if requests else 1.0
