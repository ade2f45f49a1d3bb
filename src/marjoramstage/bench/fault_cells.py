"""The cells of the fault matrix: faults injected at a step of a fixed timeline.

All cells replay the same trace of a small deployment (`small_trace`), in which
every step of `STEPS` occurs at a known time.
"""

from __future__ import annotations

import itertools
import random
from collections.abc import Callable
from dataclasses import dataclass

from marjoramstage.bench.driver import Replay
from marjoramstage.bench.trace import FaultLine, RequestLine, Trace, parse_header

# Requests arrive until this time.
END_S = 75.0
# Every model must have served a request that arrived at this time or later.
RECOVERED_BY_S = 62.0
FAULT_S = 8.0
# How long a paused instance is frozen; the longest duration of a fault.
PAUSE_S = 13.0
MODELS = ("m1", "m2", "m3", "m4")
SURGE_REQUESTS = 120

Inject = Callable[[Replay], None]


@dataclass(frozen=True)
class FaultRun:
    """A finished replay.

    Attributes
    ----------
    healed_s : float
        Time by which every injected fault was over.
    """

    replay: Replay
    healed_s: float


@dataclass(frozen=True)
class Step:
    """A step of a life cycle, and its time in the common timeline."""

    cycle: str
    name: str
    at_s: float


STEPS = (
    Step("order", "load", 2.2),
    Step("request", "waiting-and-running", 12.0),
    Step("lease", "renewal", 14.0),
    Step("apply", "accepted", 18.02),
    Step("order", "new-version", 20.0),
    Step("join", "instance", 24.0),
    Step("join", "target", 28.0),
    Step("drain", "target", 34.0),
    Step("order", "unload", 47.5),
)


def _line(fault: str, what: str, for_s: float | None = None) -> Inject:
    for_ms = None if for_s is None else for_s * 1000.0
    line = FaultLine(kind="fault", at_ms=0, fault=fault, what=what, for_ms=for_ms)
    return lambda replay: replay.faults.begin(line)


def _each(*injects: Inject) -> Inject:
    def inject(replay: Replay) -> None:
        for one in injects:
            one(replay)

    return inject


def _lease_holder_fault(fault: str, for_s: float) -> Inject:
    """Return a fault of the instance that holds the lease of data centre ``a``."""

    def inject(replay: Replay) -> None:
        held = [inst.name for inst in replay.instances.all if "a" in inst.holds]
        _line(fault, held[0] if held else "i1", for_s)(replay)

    return inject


def _cut(what: str) -> Inject:
    def inject(replay: Replay) -> None:
        replay.links.cut(what)
        replay.loop.after(FAULT_S, replay.links.heal, what)

    return inject


def _surge(replay: Replay) -> None:
    """Submit `SURGE_REQUESTS` (120) requests for one model within a second."""
    for number in range(SURGE_REQUESTS):
        line = _engine_line(f"surge-{replay.loop.now_s}-{number}", 0, "m1")
        replay.add(line, number / SURGE_REQUESTS)


FAULTS: dict[str, Inject] = {
    "demand-surge": _surge,
    "order-lost": _each(*(_line("lose_order", name) for name in ("e1", "e2", "e3"))),
    "order-late": _each(
        *(_line("delay_order", name, FAULT_S) for name in ("e1", "e2", "e3"))
    ),
    "target-killed": _line("kill_target", "e2", 5.0),
    "service-killed": _line("kill_target", "s1", 5.0),
    "instance-killed": _lease_holder_fault("kill_instance", 5.0),
    "platform-down": _line("platform_down", "platform", FAULT_S),
    "platform-slow": _line("platform_slow", "platform", FAULT_S),
    "answer-lost": _each(*(_line("lose_answer", "platform") for _ in range(3))),
    "lease-lapsed-while-paused": _lease_holder_fault("freeze_instance", PAUSE_S),
    "operators-racing": _each(_line("apply", "m2"), _line("apply", "m3")),
    "data-centres-cut-apart": _cut("peers:b"),
    "cut-off-from-platform": _cut("platform:a"),
}

PAIR_STEPS = ("request", "order", "drain")


@dataclass(frozen=True)
class Cell:
    """One or more faults, injected together at a step."""

    faults: tuple[str, ...]
    step: Step

    @property
    def name(self) -> str:
        """Name of the cell."""
        return f"{'+'.join(self.faults)} at {self.step.cycle}.{self.step.name}"


def single_cells() -> list[Cell]:
    """Return a cell for every fault at every step."""
    return [Cell((fault,), step) for fault in FAULTS for step in STEPS]


def pair_cells() -> list[Cell]:
    """Return a cell for every pair of faults.

    The steps whose cycles are in `PAIR_STEPS` take turns, one step per pair.
    """
    steps = itertools.cycle(step for step in STEPS if step.cycle in PAIR_STEPS)
    pairs = itertools.combinations(FAULTS, 2)
    return [Cell(pair, next(steps)) for pair in pairs]


def run_cell(cell: Cell, seed: int, policy: str = "current") -> FaultRun:
    """Replay the common timeline with the faults of a cell."""
    injects = [(cell.step.at_s, FAULTS[name]) for name in cell.faults]
    return _run(injects, seed, policy)


def run_random(seed: int, policy: str = "current") -> FaultRun:
    """Replay the common timeline with 3 to 5 random faults at random times."""
    rng = random.Random(f"faults:{seed}")
    names = sorted(FAULTS)
    count = rng.randint(3, 5)
    injects = [
        (rng.uniform(1.0, 50.0), FAULTS[rng.choice(names)]) for _ in range(count)
    ]
    return _run(injects, seed, policy)


def _run(injects: list[tuple[float, Inject]], seed: int, policy: str) -> FaultRun:
    replay = Replay(small_trace(), policy, seed, real_config=True)
    for at_s, inject in injects:
        replay.loop.at(at_s, inject, replay)
    replay.run()
    last_s = max((at_s for at_s, _ in injects), default=0.0)
    return FaultRun(replay, last_s + PAUSE_S)


def small_trace() -> Trace:
    """Return the trace that all cells share: steady requests, and each step once."""
    lines: list[RequestLine | FaultLine] = [
        _fault_line(18.0, "apply", "m1"),
        _fault_line(21.0, "kill_instance", "i4", 3.0),
        _fault_line(25.0, "kill_target", "e3", 3.0),
        _fault_line(34.0, "leave_target", "e1", 8.0),
    ]
    for number in range(int((END_S - 8.0) * 4)):
        at_s = 8.0 + number / 4
        model = MODELS[number % len(MODELS)]
        lines.append(_engine_line(f"r{number}", at_s, model, long=number % 9 == 0))
        if number % 3 == 0:
            lines.append(_service_line(f"b{number}", at_s))
    lines.sort(key=lambda line: line.at_ms)
    return Trace(_header(), tuple(lines))


def _fault_line(at_s: float, fault: str, what: str, for_s: float | None = None):
    for_ms = None if for_s is None else for_s * 1000.0
    return FaultLine(
        kind="fault", at_ms=at_s * 1000.0, fault=fault, what=what, for_ms=for_ms
    )


def _engine_line(
    request_id: str, at_s: float, model: str, long: bool = False
) -> RequestLine:
    return RequestLine(
        **{
            "kind": "request",
            "at_ms": at_s * 1000.0,
            "id": request_id,
            "data_centre": "a" if hash_parity(request_id) else "b",
            "customer": "c1" if len(request_id) % 2 else "c2",
            "target_kind": "engine",
            "model": model,
            "prompt_tokens": 100,
            "output_tokens": 120 if long else 20,
            "deadline_ms": 20_000.0 if long else 10_000.0,
            "class": "interactive",
            "repeatable": not long,
        }
    )


def _service_line(request_id: str, at_s: float) -> RequestLine:
    return RequestLine(
        **{
            "kind": "request",
            "at_ms": at_s * 1000.0,
            "id": request_id,
            "data_centre": "a" if hash_parity(request_id) else "b",
            "customer": "c1",
            "target_kind": "service",
            "model": "booking",
            "prompt_tokens": 0,
            "output_tokens": 0,
            "deadline_ms": 5_000.0,
            "class": "urgent",
            "repeatable": False,
        }
    )


def hash_parity(text: str) -> bool:
    """Return a bit that depends on the text only; ``hash`` varies by process."""
    return sum(text.encode()) % 2 == 1


def _header():
    engine = {"memory_mb": 160, "accelerators": 1, "kind": "engine", "slots": 16}
    service = {"memory_mb": 0, "accelerators": 0, "kind": "service", "slots": 8}
    return parse_header(
        {
            "kind": "header",
            "name": "fault-cell",
            "data_centres": ["a", "b"],
            "instances": [
                {"name": name, "data_centre": place}
                for name, place in zip(("i1", "i2", "i3", "i4"), "aabb", strict=True)
            ],
            "targets": [
                {"name": "e1", "data_centre": "a", "fencing": False, **engine},
                {"name": "e2", "data_centre": "a", "fencing": True, **engine},
                {"name": "e3", "data_centre": "b", "fencing": False, **engine},
                {"name": "s1", "data_centre": "a", **service},
                {"name": "s2", "data_centre": "b", **service},
            ],
            "models": [
                {
                    "name": name,
                    "memory_mb": 40,
                    "prefill_tokens_per_s": 1000,
                    "decode_tokens_per_s": 20,
                }
                for name in MODELS
            ],
            "adapters": [{"name": "a1", "model": "m1", "memory_mb": 5}],
            "customers": [
                {"name": name, "paid": [*MODELS, "a1", "booking"]}
                for name in ("c1", "c2")
            ],
            "store": {"loads_per_s": 2, "at_full_speed": 8, "mb_per_s": 40},
        }
    )
