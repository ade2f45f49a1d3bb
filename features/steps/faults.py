"""Steps for the fault matrix."""

from dataclasses import replace
from unittest import mock

from behave import given, then, when

from marjoramstage.bench._target import FakeTarget, RunEnd
from marjoramstage.bench.fault_cells import STEPS, Cell, run_cell
from marjoramstage.bench.faults import (
    NOT_COVERED,
    PROMISES,
    CellResult,
    MatrixResult,
    check_cell,
    check_random,
)
from marjoramstage.coordination import _move_planner, refusals, retiring_replicas
from marjoramstage.coordination._ledger_writer import LedgerWriter
from marjoramstage.coordination.admission import Scheduler
from marjoramstage.coordination.demand import DemandStats
from marjoramstage.coordination.distribution import Distributor
from marjoramstage.coordination.routing import TargetTable, TargetView
from marjoramstage.exceptions import Verdict
from marjoramstage.state.ledger import Ledger

SECOND_GENERATION = 2
STEP_BY_NAME = {f"{step.cycle}.{step.name}": step for step in STEPS}


def cell_of(faults, step):
    return Cell(tuple(faults.split("+")), STEP_BY_NAME[step])


def drop_queued(scheduler, queued, subqueue, now_s):
    scheduler._queues.remove(queued)
    return []


def kill_as_not_run(target):
    target.alive = False
    for run in list(target._runs.values()):
        target._end(run, RunEnd(Verdict.NOT_RUN, False, reason="broken"))
    target._loading = {}


def listed_as_staying(table, target):
    return original_listed(table, replace(target, leaving=False))


def refuse_lost(scheduler, end, now_s):
    effects = original_ended(scheduler, end, now_s)
    if end.verdict is Verdict.MAY_HAVE_RUN:
        effects.append(refusals.expired(end.request, scheduler._rng))
    return effects


original_listed = TargetTable.upsert
original_ended = Scheduler._attempt_ended
original_add_candidate = Distributor._add_candidate


def first_head_only(distributor, head, holder, own, now_s):
    if head.generation >= SECOND_GENERATION:
        return []
    return original_add_candidate(distributor, head, holder, own, now_s)


CHANGES = {
    "a reservation ignores what is held": [
        mock.patch.object(Ledger, "free_mb", property(lambda own: own.capacity_mb))
    ],
    "a lost order is never repeated": [
        mock.patch.object(LedgerWriter, "_draft_retries", lambda *args: None)
    ],
    "a waiting request is dropped": [
        mock.patch.object(Scheduler, "_wait_or_refuse", drop_queued)
    ],
    "a broken attempt counts as not run": [
        mock.patch.object(FakeTarget, "kill", kill_as_not_run)
    ],
    "a lost attempt is refused as not run": [
        mock.patch.object(Scheduler, "_attempt_ended", refuse_lost)
    ],
    "a leaving target stays open": [
        mock.patch.object(TargetView, "update_leaving", lambda view: None),
        mock.patch.object(TargetTable, "upsert", listed_as_staying),
    ],
    "an old version is unloaded at once": [
        mock.patch.object(_move_planner, "OBSOLETE_GRACE_S", 0.0),
        mock.patch.object(retiring_replicas, "RETIRE_S", 0.0),
        mock.patch.object(DemandStats, "pending", lambda demand, item: False),
    ],
    "a later head is not taken": [
        mock.patch.object(Distributor, "_add_candidate", first_head_only)
    ],
}


@given("the code is changed so that {change}")
def change_code(context, change):
    for patch in CHANGES[change]:
        patch.start()
        context.add_cleanup(patch.stop)


@when("the fault cell {faults} runs at {step} with seed {seed:d}")
def run_fault_cell(context, faults, step, seed):
    context.cell_result = check_cell(cell_of(faults, step), seed)


@when("random faults run with seed {seed:d}")
def run_random_faults(context, seed):
    context.cell_result = check_random(seed)


@then("the fault cell broke no promise")
def broke_none(context):
    assert not context.cell_result.broken, context.cell_result.broken


@then("the fault cell broke the promise {promise}")
def broke_promise(context, promise):
    assert promise in PROMISES, promise
    broken = {text.partition(":")[0] for text in context.cell_result.broken}
    assert promise in broken, context.cell_result.broken


@when("the fault cell {faults} at {step} runs twice with seed {seed:d}")
def run_twice(context, faults, step, seed):
    cell = cell_of(faults, step)
    context.twice = []
    for _ in range(2):
        run = run_cell(cell, seed).replay
        counts = (run.calls.tally, run.counts, run.config.in_force_s)
        context.twice.append(repr(counts))


@then("both runs of the fault cell give the same counts")
def same_counts(context):
    first, second = context.twice
    assert first == second


@given(
    "a fault matrix of {passed:d} passed, {failed:d} failed and {red:d} known red cells"
)
def matrix_of(context, passed, failed, red):
    results = [CellResult(f"p{n}", ()) for n in range(passed)]
    results += [CellResult(f"f{n}", ("broken",)) for n in range(failed)]
    results += [CellResult(f"k{n}", ("broken",)) for n in range(red)]
    known = tuple(f"k{n}" for n in range(red))
    context.matrix = MatrixResult(tuple(results), known, NOT_COVERED)


@then(
    "its summary counts {passed:d} passed, {failed:d} failed, {red:d} known red "
    "and each uncovered cell"
)
def summary_counts(context, passed, failed, red):
    total = passed + failed + red + len(NOT_COVERED)
    assert context.matrix.summary() == {
        "cells": total,
        "passed": passed,
        "failed": failed,
        "known_red": red,
        "not_covered": len(NOT_COVERED),
    }
