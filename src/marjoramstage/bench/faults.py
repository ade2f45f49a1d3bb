"""Runs the fault matrix and checks every cell against the eight promises."""

from __future__ import annotations

import math
from collections.abc import Callable, Iterator
from concurrent.futures import ProcessPoolExecutor
from dataclasses import dataclass
from pathlib import Path

from marjoramstage.bench._tally import Outcome
from marjoramstage.bench.fault_cells import (
    CHECK_FROM_S,
    MODELS,
    Cell,
    FaultRun,
    pair_cells,
    run_cell,
    run_random,
    single_cells,
)

LEAVING_S = 3.0
IN_FORCE_S = 9.0
KNOWN_RED_FILE = "KNOWN-RED.txt"
KNOWN_RED_PREFIX = "cell: "

# Cells that no scenario of the matrix brings about.
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
    """A cell or a random run, and the promises that it broke."""

    name: str
    broken: tuple[str, ...]


@dataclass(frozen=True)
class MatrixResult:
    """Outcome of a matrix run.

    Attributes
    ----------
    cells : int
        Cells run and cells that no scenario covers, together.
    """

    results: tuple[CellResult, ...]
    known_red: tuple[str, ...]
    not_covered: tuple[str, ...]

    @property
    def failed(self) -> tuple[CellResult, ...]:
        """Results that broke a promise and are not listed as known."""
        return tuple(r for r in self.results if r.broken and r.name not in self.listed)

    @property
    def listed(self) -> set[str]:
        """Names that the list of known failures gives."""
        return set(self.known_red)

    def summary(self) -> dict[str, int]:
        """Return the counts that the command prints."""
        red = [r for r in self.results if r.broken and r.name in self.listed]
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
        yield f"{run.replay.counts.overcommit_events} overcommits"


def _reachable(run: FaultRun) -> Iterator[str]:
    for name in (*MODELS, "booking"):
        if run.replay.calls.tally.last_met_s.get(name, 0.0) < CHECK_FROM_S:
            yield f"{name} not served after the faults"


def _whole(run: FaultRun) -> Iterator[str]:
    tally = run.replay.calls.tally
    lost = tally.outcomes[Outcome.LOST] - tally.lost_by_fault
    if lost:
        yield f"{lost} lost without a part that died: {dict(tally.reasons)}"


def _truly_not_run(run: FaultRun) -> Iterator[str]:
    if run.replay.calls.tally.refused_but_ran:
        yield f"{run.replay.calls.tally.refused_but_ran} refused but ran"


def _once(run: FaultRun) -> Iterator[str]:
    if run.replay.counts.duplicate_runs:
        yield f"{run.replay.counts.duplicate_runs} second runs"


def _leaving(run: FaultRun) -> Iterator[str]:
    longest_s = max(run.replay.counts.served_after_leaving, default=0.0)
    if longest_s > LEAVING_S:
        yield f"new work {longest_s:.1f} s after leaving"


def _planned_stop(run: FaultRun) -> Iterator[str]:
    if run.replay.counts.cut_off:
        yield f"{run.replay.counts.cut_off} in flight cut off by an unload"


def _in_force(run: FaultRun) -> Iterator[str]:
    config = run.replay.config
    if config.reverted:
        yield f"{config.reverted} reverted"
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
    """Return one line for each promise that a run broke."""
    found = []
    for name, check in PROMISES.items():
        found += [f"{name}: {text}" for text in check(run)]
    return tuple(found)


def check_cell(cell: Cell, seed: int) -> CellResult:
    """Run one cell."""
    return _result(cell.name, lambda: run_cell(cell, seed))


def check_random(seed: int) -> CellResult:
    """Run random faults."""
    return _result(f"random seed {seed}", lambda: run_random(seed))


def _result(name: str, run: Callable[[], FaultRun]) -> CellResult:
    try:
        return CellResult(name, broken_promises(run()))
    except (KeyError, ValueError, AttributeError, IndexError, AssertionError) as exc:
        return CellResult(name, (f"stopped by {type(exc).__name__}: {exc}",))


def run_matrix(seed: int, random_runs: int = 0, workers: int = 1) -> MatrixResult:
    """Run every cell, and random runs with seeds from ``seed`` on."""
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
    """Return the cells that the list of known failures names."""
    path = Path(path)
    if not path.exists():
        return ()
    lines = path.read_text().splitlines()
    found = [line for line in lines if line.startswith(KNOWN_RED_PREFIX)]
    return tuple(line.removeprefix(KNOWN_RED_PREFIX).strip() for line in found)
