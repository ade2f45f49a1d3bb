"""Generates traces of named scenarios.

A scenario combines a deployment with a load pattern or faults, as in
``tran-gia-burst``. The traces are synthetic; a seed gives the same trace on every
machine.
"""

from __future__ import annotations

import gzip
import json
import random
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

from marjoramstage.bench.deployments import DEPLOYMENTS, Deployment

# No requests before this time, so that models can be loaded.
WARM_UP_S = 60.0
MINUTES = 60.0
USUAL_PER_S = 20.0
DEADLINES_MS = {"urgent": 8_000, "interactive": 15_000}
# Deadline of overnight requests: a share of the trace's length, with a minimum.
LEAST_OVERNIGHT_S = 60.0
OVERNIGHT_SHARE = 0.25
# Medians and maxima of the log-normal token counts.
OUTPUT_TOKENS = {"urgent": 90, "interactive": 120, "overnight": 150}
MAX_OUTPUT_TOKENS = 320
PROMPT_TOKENS = 500
MAX_PROMPT_TOKENS = 2000
# Share of the engine requests with an adapter, where the customer paid for one.
MAX_ADAPTER_RESERVE_SHARE = 0.5
# Exponent of the Zipf distribution of requests over models.
SKEW = 0.9
SERVICE_DEADLINE_MS = 2_000
SERVICE_WRITE_SHARE = 0.4

# Returns the load factor at a position in the trace: 0 is its start, 1 its end.
LoadProfile = Callable[[float], float]


@dataclass(frozen=True)
class Fault:
    """A fault; ``share`` is its position in the trace, from 0 to 1."""

    share: float
    fault: str
    what: str
    for_s: float | None = None


@dataclass(frozen=True)
class Scenario:
    """How a trace differs from an hour of normal load.

    Attributes
    ----------
    load : callable
        Factor on the rate of all requests, by position in the trace.
    model_load, customer_load, class_load : callable
        Factor on the rate of one model (given by its popularity rank), customer
        (by index) or class (by name).
    store_slowdown : float
        Factor by which the weight store is slower than normal.
    expect : dict
        Expected results in addition to `COMMON_EXPECTATIONS`.
    """

    load: LoadProfile = lambda share: 1.0
    model_load: Callable[[int, float], float] = lambda rank, share: 1.0
    customer_load: Callable[[int, float], float] = lambda index, share: 1.0
    class_load: Callable[[str, float], float] = lambda name, share: 1.0
    store_slowdown: float = 1.0
    faults: tuple[Fault, ...] = ()
    expect: dict[str, Any] = field(default_factory=dict)


# Expected results of every scenario.
COMMON_EXPECTATIONS = {
    "overcommit_events": 0,
    "duplicate_runs": 0,
    "refused_but_ran": 0,
    "cut_off": 0,
    "lost_beyond_faults": 0,
    "unreachable_models": 0,
    "longest_send_to_leaving_s": {"max": 3.0},
}
FAIR = {"fairness_max_min": {"max": 1.1}}
URGENT_APART = {"urgent_drop_by_overnight": {"max": 0.01}}
NEAR_LIMIT = {"attainment_of_limit": {"min": 0.95}}


def _ramp(low: float, high: float) -> LoadProfile:
    """Return a load that rises from 0.3 to 0.5 of the trace and drops at 0.9."""

    def load(share: float) -> float:
        if share < 0.3:
            return low
        if share < 0.5:
            return low + (high - low) * (share - 0.3) / 0.2
        return high if share < 0.9 else low

    return load


def _in_middle(share: float) -> bool:
    return 0.35 <= share < 0.65


def _burst(rank: int, share: float) -> float:
    """Multiply the load of the third most requested model, mid-trace."""
    return 10.0 if rank == 2 and _in_middle(share) else 1.0


def _drift(rank: int, share: float) -> float:
    """Shift demand from the most requested third of the models to the least."""
    if rank < 7:
        return 1.0 - 0.9 * share
    return 1.0 + 4.0 * share if rank >= 13 else 1.0


def _flood(index: int, share: float) -> float:
    """Multiply the load of the first customer, mid-trace."""
    return 8.0 if index == 0 and _in_middle(share) else 1.0


def _much_overnight(name: str, share: float) -> float:
    return 6.0 if name == "overnight" and share < 0.5 else 1.0


def _mid_rush(deployment: Deployment) -> tuple[Fault, ...]:
    """Return faults of most kinds, injected during the rush of `_RUSH`."""
    first, second = deployment.data_centres[0], deployment.data_centres[1]
    return (
        Fault(0.30, "lose_order", "e1"),
        Fault(0.30, "delay_order", "e2", 20.0),
        Fault(0.32, "lose_answer", "platform"),
        Fault(0.35, "apply", deployment.models[3]),
        Fault(0.40, "kill_target", "e3", 40.0),
        Fault(0.45, "freeze_instance", "i1", 20.0),
        Fault(0.50, "leave_target", "e2", 30.0),
        Fault(0.55, "kill_instance", "i2", 10.0),
        Fault(0.60, "platform_down", "platform", 30.0),
        Fault(0.62, "apply", deployment.models[7]),
        Fault(0.70, "cut", first, 20.0),
        Fault(0.72, "kill_target", "s1", 10.0),
        Fault(0.80, "platform_slow", "platform", 20.0),
        Fault(0.85, "cut", second, 15.0),
    )


_RUSH = _ramp(0.8, 2.4)

SCENARIO_BUILDERS: dict[str, Callable[[Deployment], Scenario]] = {
    "usual": lambda _: Scenario(expect=FAIR),
    "rush": lambda _: Scenario(
        load=_RUSH, class_load=_much_overnight, expect=FAIR | URGENT_APART
    ),
    "overload": lambda _: Scenario(load=lambda share: 6.7, expect=FAIR | NEAR_LIMIT),
    "burst": lambda _: Scenario(model_load=_burst, expect=FAIR),
    "drift": lambda _: Scenario(model_load=_drift, expect=FAIR),
    "flood": lambda _: Scenario(customer_load=_flood, expect=FAIR),
    "slow-store": lambda _: Scenario(
        model_load=_burst, store_slowdown=2.0, expect=FAIR
    ),
    "faults": lambda deployment: Scenario(load=_RUSH, faults=_mid_rush(deployment)),
}

SCENARIOS = {
    f"{deployment}-{shape}": (deployment, shape)
    for deployment in DEPLOYMENTS
    for shape in SCENARIO_BUILDERS
}


def write_scenario(
    name: str,
    path: str | Path,
    seed: int = 1,
    minutes: float | None = None,
    load: float = 1.0,
) -> None:
    """Write the trace of a scenario to a file; compressed if it ends in ``.gz``."""
    lines = scenario_lines(name, seed, minutes, load)
    text = "".join(f"{line}\n" for line in lines)
    data = text.encode()
    if str(path).endswith(".gz"):
        data = gzip.compress(data, mtime=0)
    Path(path).write_bytes(data)


def scenario_lines(
    name: str, seed: int = 1, minutes: float | None = None, load: float = 1.0
) -> Iterator[str]:
    """Yield the lines of the trace of a scenario.

    Parameters
    ----------
    minutes : float, optional
        Length of the trace; `MINUTES` by default.
    load : float, default=1.0
        Factor on the rate of all requests.
    """
    deployment_name, shape = SCENARIOS[name]
    deployment = DEPLOYMENTS[deployment_name]
    scenario = SCENARIO_BUILDERS[shape](deployment)
    length_s = (minutes or MINUTES) * 60.0
    expect = COMMON_EXPECTATIONS | scenario.expect
    yield _json(deployment.header(name, expect, scenario.store_slowdown))
    rng = random.Random(f"{name}:{seed}")
    maker = _TraceGenerator(deployment, scenario, length_s, load, rng)
    lines = [*maker.requests(), *maker.faults()]
    for line in sorted(lines, key=lambda line: line["at_ms"]):
        yield _json(line)


class _TraceGenerator:
    def __init__(
        self,
        deployment: Deployment,
        scenario: Scenario,
        length_s: float,
        load: float,
        rng: random.Random,
    ):
        self._deployment = deployment
        self._scenario = scenario
        self._length_s = length_s
        self._load = load
        self._rng = rng
        overnight_s = max(LEAST_OVERNIGHT_S, OVERNIGHT_SHARE * length_s)
        self._deadlines_ms = DEADLINES_MS | {"overnight": int(overnight_s * 1000)}
        self._ranks = range(len(deployment.models))
        self._skew = [1.0 / (rank + 1) ** SKEW for rank in self._ranks]

    def faults(self) -> Iterator[dict]:
        """Yield the faults."""
        for fault in self._scenario.faults:
            line = {
                "kind": "fault",
                "at_ms": self._at_ms(WARM_UP_S + fault.share * self._length_s),
                "fault": fault.fault,
                "what": fault.what,
            }
            if fault.for_s is not None:
                line["for_ms"] = int(fault.for_s * 1000)
            yield line

    def requests(self) -> Iterator[dict]:
        """Yield the requests, generated second by second."""
        number = 0
        for second in range(int(self._length_s)):
            share = second / self._length_s
            for at_s, parts in self._second(second, share):
                number += 1
                yield self._request(number, WARM_UP_S + at_s, parts)

    def _second(self, second: int, share: float) -> list[tuple[float, tuple]]:
        """Return the arrivals in one second, ordered by time.

        Each is a time and a tuple of model rank, customer and class.
        """
        scenario, deployment, rng = self._scenario, self._deployment, self._rng
        ranks = [
            skew * scenario.model_load(rank, share)
            for rank, skew in zip(self._ranks, self._skew, strict=True)
        ]
        customers = [
            scenario.customer_load(index, share)
            for index in range(len(deployment.customers))
        ]
        classes = [
            part * scenario.class_load(name, share)
            for name, part in deployment.classes.items()
        ]
        factor = self._load * scenario.load(share) * sum(ranks) / sum(self._skew)
        factor *= sum(customers) / len(customers)
        factor *= sum(classes) / sum(deployment.classes.values())
        count = _poisson(rng, USUAL_PER_S * factor)
        names = list(deployment.classes)
        found = []
        for at_s in sorted(second + rng.random() for _ in range(count)):
            rank = rng.choices(self._ranks, ranks)[0]
            customer = rng.choices(deployment.customers, customers)[0]
            found.append((at_s, (rank, customer, rng.choices(names, classes)[0])))
        return found

    def _request(self, number: int, at_s: float, parts: tuple[int, str, str]) -> dict:
        rank, customer, request_class = parts
        deployment, rng = self._deployment, self._rng
        line = {
            "kind": "request",
            "at_ms": self._at_ms(at_s),
            "id": f"r{number}",
            "data_centre": rng.choice(deployment.data_centres),
            "customer": customer,
        }
        if rng.random() < deployment.service_share:
            return line | self._service_call()
        model = deployment.models[rank]
        line |= {"target_kind": "engine", "model": model}
        adapters = deployment.adapters_of(model, customer)
        if adapters and rng.random() < MAX_ADAPTER_RESERVE_SHARE:
            line["adapter"] = rng.choice(adapters)
        return line | {
            "prompt_tokens": self._tokens(PROMPT_TOKENS, MAX_PROMPT_TOKENS),
            "output_tokens": self._tokens(
                OUTPUT_TOKENS[request_class], MAX_OUTPUT_TOKENS
            ),
            "deadline_ms": self._deadlines_ms[request_class],
            "class": request_class,
            "repeatable": True,
        }

    def _service_call(self) -> dict:
        write = self._rng.random() < SERVICE_WRITE_SHARE
        return {
            "target_kind": "service",
            "model": self._deployment.service,
            "prompt_tokens": 0,
            "output_tokens": 0,
            "deadline_ms": SERVICE_DEADLINE_MS,
            "class": "urgent" if write else "interactive",
            "repeatable": not write,
        }

    def _tokens(self, median: int, most: int) -> int:
        return min(most, max(1, int(self._rng.lognormvariate(0.0, 0.6) * median)))

    @staticmethod
    def _at_ms(at_s: float) -> float:
        return round(at_s * 1000.0, 3)


def _poisson(rng: random.Random, mean: float) -> int:
    """Draw from a Poisson distribution, by summing exponential intervals."""
    count, time = 0, rng.expovariate(1.0)
    while time < mean:
        count += 1
        time += rng.expovariate(1.0)
    return count


def _json(line: dict) -> str:
    return json.dumps(line, separators=(",", ":"))
