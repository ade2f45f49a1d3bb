"""Checks the results of a replay against the ``expect`` of the trace's header.

Each entry of ``expect`` names a field of `ReplayResult` or `ReplayDetail`, or an
entry of `DERIVED`. Its value is the required result, or a mapping with the bounds
``min``, ``max`` or both.
"""

from __future__ import annotations

from collections.abc import Callable, Iterator
from dataclasses import asdict, replace
from typing import Any

from marjoramstage.bench.replay import ReplayDetail, ReplayResult, replay
from marjoramstage.bench.trace import RequestLine, Trace

Derive = Callable[[Trace, ReplayResult, ReplayDetail], float]


def _lost_beyond_faults(
    trace: Trace, result: ReplayResult, detail: ReplayDetail
) -> float:
    """Return the number of lost requests that no injected fault explains."""
    return result.lost - detail.lost_by_fault


def _attainment_of_limit(
    trace: Trace, result: ReplayResult, detail: ReplayDetail
) -> float:
    """Return attainment as a share of its upper bound."""
    if not result.attainment_limit:
        return 1.0
    return result.attainment_per_accelerator / result.attainment_limit


def _urgent_drop_by_overnight(
    trace: Trace, result: ReplayResult, detail: ReplayDetail
) -> float:
    """Return how much urgent attainment rises without the overnight requests.

    This replays the trace once more, without them.
    """
    _, without = replay(without_overnight(trace), result.policy, result.seed)
    return without.urgent_attainment - detail.urgent_attainment


DERIVED: dict[str, Derive] = {
    "lost_beyond_faults": _lost_beyond_faults,
    "attainment_of_limit": _attainment_of_limit,
    "urgent_drop_by_overnight": _urgent_drop_by_overnight,
}


def without_overnight(trace: Trace) -> Trace:
    """Return a copy of a trace without the overnight requests."""
    lines = tuple(
        line
        for line in trace.lines
        if not isinstance(line, RequestLine) or line.request_class != "overnight"
    )
    return replace(trace, lines=lines)


def unmet_expectations(
    trace: Trace, result: ReplayResult, detail: ReplayDetail
) -> list[str]:
    """Return a message for each expectation that was not met."""
    figures = asdict(detail) | asdict(result)
    problems = []
    for name, wanted in trace.header.expect.items():
        if name not in figures and name not in DERIVED:
            problems.append(f"{name}: no such figure")
            continue
        value = figures.get(name)
        if name in DERIVED:
            value = DERIVED[name](trace, result, detail)
        for text in _differences(value, wanted):
            problems.append(f"{name}: {text}")
    return problems


def _differences(value: Any, wanted: Any) -> Iterator[str]:
    if not isinstance(wanted, dict):
        if value != wanted:
            yield f"is {value}, must be {wanted}"
        return
    for unknown in wanted.keys() - {"min", "max"}:
        yield f"unknown bound {unknown!r}"
    if "min" in wanted and (value is None or value < wanted["min"]):
        yield f"is {value}, must be at least {wanted['min']}"
    if "max" in wanted and (value is None or value > wanted["max"]):
        yield f"is {value}, must be at most {wanted['max']}"
