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

SEEN_ELSEWHERE = """## Seen at similar systems

What operators of similar systems told us, whether it can happen here, and the
scenario that stands for it. All run in CI.

| seen elsewhere | here | scenario |
| --- | --- | --- |
| a second copy of an answer, late, on a connection in use again, reaches the next \
caller | no: the id of each answer is compared, bytes after an answer close the \
connection, and what may not be repeated has a connection of its own | \
field_failures: a second copy of an answer; endless_bytes: bytes after the answer |
| a planned stop under load cuts off requests just accepted | no: ready fails first, \
the listener stays for 2.6 s, what was read is answered | field_failures: a planned \
stop under load; drain: rolling replacement |
| slow but sound streams are cut, stalled ones that send a byte now and then never \
end | no: a stream has until its deadline and no idle limit | field_failures: a \
stream that is slow, that stalls |
| an answer that broke off halfway reaches the caller as complete | it could (ORDER, \
issue 26); mended then | answer_framing: each framing with each end |
| after a restart a server that had left is in use again | no: nothing is kept by a \
process; it lists the store anew, and a restored store marks what is missing | \
field_failures: a target that has left; restored_store; store_relay: a publisher \
that was suspended |
| after a restart a key that had been withdrawn is in use again | the instances on \
the platform hold no keys; the product's own interface reads its secret at each \
start | none needed |
| around a hand-over two processes act for a moment, and orders go out twice | a \
holder that was suspended went on without asking; mended. An order carries the count \
of orders it rests on, so that a second one has no effect | leases: a holder that \
was suspended within its term; field_failures: a holder that was suspended; the \
lease model |
| an earlier refusal, written once more on a kept connection, counts for the next \
request, which ran: not run (REFUSED), or run twice | it could if the copy had no id \
(issue 42: 503, and an earlier 200 in the same way); mended: without the id an answer \
on a reused connection proves nothing, and ends that connection. Not run twice: what \
may not be repeated has a connection of its own | repeated_answers |
| a stream broke off, and the error of the next target stands in it, or it ends as \
complete (ORDER, MIXED) | it could with an error event without an id, and with an \
empty rest (issue 42); mended: events that do not follow, and a rest without an event, \
fail the attempt; passed before: any other answer that is no event stream | \
answer_framing: events that do not follow are no part of a resumed stream; an empty \
rest; a stream whose second part is not joined |
| a head that ends in the middle, then a close or reset, becomes a 200 framed as whole \
| no (passed before too): the caller gets 502 | answer_framing: a head that ends after |

A booking whose service is killed or reset before, while or after it runs, with the
caller pressing again at another instance (the complaint of the large deployment):
field_failures, "a booking whose service is lost". Each press runs at most once. The
caller gets 502, which promises nothing, where the service may have run it, and 503
with the time to come back only where no connection could be made. The log line
`request ended` names the request and which of the two it was.
"""

PLATFORM_PROMISES = """## On the users' platform

Promises of an instance on the platform that the matrix above does not play.

| promise | scenario, which failed on the code before |
| --- | --- |
| a target that says in any answer that it leaves gets no further request of the \
instance that was told, with the store and the other instances away, after a \
suspension, and until a later start of it is listed | target_notices_path: a service \
that leaves; target_notices: random orders of answers, lists and restarts |
| a target that asked for a pause gets nothing until it is over; callers are told \
when it is, and do not come back at once | target_notices_path: both services ask for \
a pause; target_notices: a pause that is asked for twice |
| a part of prompts that crashes targets is sent on at most three times later than \
3 s after the fifth crash, wherever it stands, after a kill of one or all instances; \
sound requests with the same first part are served | crashing_parts: engines that end; \
part_quarantine: played loads; quarantine_sync: instances that hold back the same |
| crashes for another reason (killed, leaving, full targets, resets) shut out nobody | \
crashing_parts: engines that end for another reason (passed before too); \
crash_observer; part_quarantine: crashes by chance |
| a stream that is taken up goes on at the version that began it or not at all, after \
all instances were killed too, and goes on if that version is there | stream_versions; \
answer_framing: a caller takes a stream up |
| a target that names a limit gets in no 4 s more than one and a half times that and 5 \
requests, from all instances together; it is still used, and callers whom others can \
serve are | target_limits_path; target_limits: played loads |
| an entry of the store that no parser takes spoils only itself, and holds up nobody \
| odd_entries; entry_decoding |
| a request that outlasts the grace of a planned stop gets a final answer | \
grace_period |
| an instance that hears from no other resumes no stream that it did not begin | \
answer_framing: a caller takes a stream up |
| each model that is asked for has its turn | planner_fleet: no model that is asked \
for is starved; load_simulation: rare models of a fleet |
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
    parts.append(SEEN_ELSEWHERE)
    parts.append(PLATFORM_PROMISES)
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
