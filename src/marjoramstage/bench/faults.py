"""Runs the fault matrix and checks every cell against the eight promises.

The promises are the invariants of `PROMISES`, which must hold whatever fails.
"""

from __future__ import annotations

import math
from collections.abc import Callable, Iterator
from concurrent.futures import ProcessPoolExecutor
from dataclasses import dataclass
from pathlib import Path

from marjoramstage.bench._tally import Outcome
from marjoramstage.bench.fault_cells import (
    MODELS,
    RECOVERED_BY_S,
    Cell,
    FaultRun,
    pair_cells,
    run_cell,
    run_random,
    single_cells,
)

# A leaving target may be sent new work for this long.
MAX_SEND_AFTER_LEAVING_S = 3.0
# An accepted generation must be in force at every instance within this time, which
# starts when the instance has joined and all injected faults are over.
IN_FORCE_S = 9.0
KNOWN_RED_FILE = "KNOWN-RED.txt"
KNOWN_RED_PREFIX = "cell: "

# Faults at steps that the matrix does not simulate.
NOT_COVERED = (
    "operators-racing at apply.submit",
    "answer-lost at apply.submit",
    "platform-down at apply.submit",
    "platform-slow at apply.submit",
    "instance-killed at apply.submit",
    "answer-lost at request.claim",
    "platform-down at request.claim",
    "instance-killed at request.claim",
    "instance-killed at drain.instance",
    "platform-down at drain.instance",
)


@dataclass(frozen=True)
class CellResult:
    """Result of a cell or a random run: one message per broken promise."""

    name: str
    broken: tuple[str, ...]


@dataclass(frozen=True)
class MatrixResult:
    """Results of a run of the fault matrix.

    Attributes
    ----------
    known_red : tuple of str
        Names of the cells that are listed as known failures.
    not_covered : tuple of str
        Names of the cells that the matrix does not simulate.
    """

    results: tuple[CellResult, ...]
    known_red: tuple[str, ...]
    not_covered: tuple[str, ...]

    @property
    def failed(self) -> tuple[CellResult, ...]:
        """Results with a broken promise that are not known failures."""
        return tuple(
            r for r in self.results if r.broken and r.name not in self.known_red_names
        )

    @property
    def known_red_names(self) -> set[str]:
        """Names of the known failures."""
        return set(self.known_red)

    def summary(self) -> dict[str, int]:
        """Return the counts that the command prints.

        ``cells`` includes the cells that are not covered.
        """
        red = [r for r in self.results if r.broken and r.name in self.known_red_names]
        passed = [r for r in self.results if not r.broken]
        return {
            "cells": len(self.results) + len(self.not_covered),
            "passed": len(passed),
            "failed": len(self.failed),
            "known_red": len(red),
            "not_covered": len(self.not_covered),
        }


def _memory(run: FaultRun) -> Iterator[str]:
    if run.replay.counts.overcommit_events:
        yield f"{run.replay.counts.overcommit_events} memory overcommits"


def _reachable(run: FaultRun) -> Iterator[str]:
    for name in (*MODELS, "booking"):
        if run.replay.calls.tally.last_met_s.get(name, 0.0) < RECOVERED_BY_S:
            yield f"{name} not served after the faults"


def _whole(run: FaultRun) -> Iterator[str]:
    tally = run.replay.calls.tally
    lost = tally.outcomes[Outcome.LOST] - tally.lost_by_fault
    if lost:
        yield f"{lost} lost without a failed component: {dict(tally.reasons)}"


def _truly_not_run(run: FaultRun) -> Iterator[str]:
    if run.replay.calls.tally.refused_but_ran:
        yield f"{run.replay.calls.tally.refused_but_ran} refused as not run, but ran"


def _once(run: FaultRun) -> Iterator[str]:
    if run.replay.counts.duplicate_runs:
        yield f"{run.replay.counts.duplicate_runs} duplicate runs"


def _leaving(run: FaultRun) -> Iterator[str]:
    longest_s = max(run.replay.counts.served_after_leaving, default=0.0)
    if longest_s > MAX_SEND_AFTER_LEAVING_S:
        yield f"new work sent {longest_s:.1f} s after the target began to leave"


def _planned_stop(run: FaultRun) -> Iterator[str]:
    if run.replay.counts.cut_off:
        yield f"{run.replay.counts.cut_off} running requests aborted by an unload"


def _in_force(run: FaultRun) -> Iterator[str]:
    config = run.replay.config
    if config.reverted:
        yield f"{config.reverted} reverts to an older generation"
    for inst in run.replay.instances.all:
        if not inst.alive:
            continue
        start = f"{inst.name}/{inst.start}"
        for generation, accepted_s in config.accepted_s.items():
            ready_s = max(accepted_s, config.joined_s[start], run.healed_s)
            in_force_s = config.in_force_s[generation].get(start, math.inf)
            if in_force_s > ready_s + IN_FORCE_S:
                yield f"generation {generation} not in force at {start} in time"


PROMISES: dict[str, Callable[[FaultRun], Iterator[str]]] = {
    "memory-never-overcommitted": _memory,
    "every-model-reachable": _reachable,
    "whole-answer": _whole,
    "not-run-is-true": _truly_not_run,
    "at-most-once": _once,
    "leaving-gets-no-work": _leaving,
    "planned-stop-cuts-nothing": _planned_stop,
    "accepted-stays-in-force": _in_force,
}


def broken_promises(run: FaultRun) -> tuple[str, ...]:
    """Return a message for each violation of a promise."""
    found = []
    for name, check in PROMISES.items():
        found += [f"{name}: {text}" for text in check(run)]
    return tuple(found)


def check_cell(cell: Cell, seed: int) -> CellResult:
    """Run one cell and check the promises."""
    return _result(cell.name, lambda: run_cell(cell, seed))


def check_random(seed: int) -> CellResult:
    """Run random faults and check the promises."""
    return _result(f"random seed {seed}", lambda: run_random(seed))


def _result(name: str, run: Callable[[], FaultRun]) -> CellResult:
    try:
        return CellResult(name, broken_promises(run()))
    except (KeyError, ValueError, AttributeError, IndexError, AssertionError) as exc:
        return CellResult(name, (f"stopped by {type(exc).__name__}: {exc}",))


def run_matrix(seed: int, random_runs: int = 0, workers: int = 1) -> MatrixResult:
    """Run every cell, and ``random_runs`` random runs with seeds from ``seed`` on."""
    cells = [*single_cells(), *pair_cells()]
    seeds = range(seed, seed + random_runs)
    if workers == 1:
        results = [check_cell(cell, seed) for cell in cells]
        results += [check_random(each) for each in seeds]
    else:
        with ProcessPoolExecutor(workers) as pool:
            results = list(pool.map(check_cell, cells, [seed] * len(cells)))
            results += list(pool.map(check_random, seeds))
    return MatrixResult(tuple(results), known_red_cells(), NOT_COVERED)


def known_red_cells(path: str | Path = KNOWN_RED_FILE) -> tuple[str, ...]:
    """Read the names of known failures: the lines ``cell: NAME`` of the file."""
    path = Path(path)
    if not path.exists():
        return ()
    lines = path.read_text().splitlines()
    found = [line for line in lines if line.startswith(KNOWN_RED_PREFIX)]
    return tuple(line.removeprefix(KNOWN_RED_PREFIX).strip() for line in found)
