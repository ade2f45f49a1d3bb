"""Writes docs/PROOFS.md from a run of the fault matrix."""

from __future__ import annotations

from pathlib import Path

from marjoramstage.bench.fault_cells import FAULTS, STEPS
from marjoramstage.bench.faults import PROMISES, CellResult, MatrixResult

HEAD = """# Proofs

Made by `marjoramstage bench faults --seed {seed} --random {randoms} \
--proofs docs/PROOFS.md`; do not edit by hand.

Each cell brings a fault about at a step of a life cycle in a small deployment
(2 data centres, 4 instances, 3 engines, 2 services) that runs the real
admission, routing, placement, lease and configuration code on a virtual
clock. The same timeline holds every step: loads, requests, renewals, an
apply, a restarted instance and target, a leaving target and unloads. Each
cell is checked against all eight promises, as the fake targets and callers
saw them. The scenario of a cell is its row and column.

Summary: {summary}.

Promises checked in each cell: {promises}.
"""

DEMONSTRATIONS = """## Each check can fail

Scenario `the check of each promise can fail` of features/faults.feature
changes the code of a running cell and requires that the cell breaks the
promise; CI runs it.

| change | cell | promise broken |
| --- | --- | --- |
| `Ledger.free_mb` gives the whole capacity | target-killed at join.target \
| memory-never-overcommitted |
| `LedgerWriter._draft_retries` does nothing | order-lost at order.new-version \
| every-model-reachable |
| `Scheduler._wait_or_refuse` drops the request | demand-surge at \
request.waiting-and-running | whole-answer |
| `Scheduler._attempt_ended` refuses what may have run | target-killed at \
request.waiting-and-running | not-run-is-true |
| a killed target's attempts end as not run | target-killed at \
request.waiting-and-running | at-most-once |
| `TargetTable.upsert` and `TargetView.update_leaving` ignore leaving | demand-surge \
at drain.target | leaving-gets-no-work |
| `OBSOLETE_GRACE_S`, `RETIRE_S` at 0, `DemandStats.pending` false | demand-surge at \
apply.accepted | planned-stop-cuts-nothing |
| `Distributor._add_candidate` takes the first head only | demand-surge at \
apply.accepted | accepted-stays-in-force |
"""


def write_proofs(matrix: MatrixResult, path: str | Path, seed: int) -> None:
    """Write the page; ``seed`` is the seed that the matrix ran with."""
    by_name = {result.name: result for result in matrix.results}
    randoms = [r for r in matrix.results if r.name.startswith("random")]
    counts = ", ".join(f"{v} {k}" for k, v in matrix.summary().items())
    parts = [
        HEAD.format(
            seed=seed,
            randoms=len(randoms),
            summary=counts,
            promises=", ".join(PROMISES),
        )
    ]
    parts.append(_table(matrix, by_name))
    parts.append(_pairs(matrix))
    passed = sum(not result.broken for result in randoms)
    parts.append(
        f"## Random runs\n\n{passed} of {len(randoms)} passed, seeds from {seed} on.\n"
    )
    parts.append(_failures(matrix))
    parts.append(DEMONSTRATIONS)
    lines = "\n".join(f"- {name}" for name in matrix.not_covered)
    parts.append(f"## Not covered by the matrix\n\n{lines}\n")
    Path(path).write_text("\n".join(parts))


def _table(matrix: MatrixResult, by_name: dict[str, CellResult]) -> str:
    heads = [f"{step.cycle}.{step.name}" for step in STEPS]
    lines = ["## One fault\n", "| fault | " + " | ".join(heads) + " |"]
    lines.append("| --- |" + " --- |" * len(heads))
    for fault in FAULTS:
        marks = [_mark(matrix, by_name[f"{fault} at {head}"]) for head in heads]
        lines.append(f"| {fault} | " + " | ".join(marks) + " |")
    return "\n".join(lines) + "\n"


def _pairs(matrix: MatrixResult) -> str:
    lines = ["## Pairs of faults\n", "| cell | outcome |", "| --- | --- |"]
    for result in matrix.results:
        if "+" in result.name:
            lines.append(f"| {result.name} | {_mark(matrix, result)} |")
    return "\n".join(lines) + "\n"


def _failures(matrix: MatrixResult) -> str:
    lines = ["## Broken promises\n"]
    for result in matrix.results:
        lines += [f"- {result.name}: {text}" for text in result.broken]
    if len(lines) == 1:
        lines.append("None.")
    return "\n".join(lines) + "\n"


def _mark(matrix: MatrixResult, result: CellResult) -> str:
    if not result.broken:
        return "passed"
    return "known red" if result.name in matrix.known_red_names else "FAILED"
