"""Steps for the table of faults at each step of a request."""

import asyncio
import json
import logging

from behave import then

from features.request_faults import (
    BOOKING_BODY,
    FaultCell,
    FaultScript,
    chunk,
    whole_body,
)

MAX_CONCURRENT_CELLS = 48
CELL_TIMEOUT_S = 30.0


@then("each of these cells of kind {kind} ends as stated")
def check_cells(context, kind):
    rows = []
    for row in context.table:
        for step in row["steps"].split(", "):
            rows.append((row, step))
    logging.disable(logging.CRITICAL)
    try:
        found = asyncio.run(run_cells(kind, rows))
    finally:
        logging.disable(logging.NOTSET)
    wrong = [problem for problem in found if problem]
    assert not wrong, "\n" + "\n".join(wrong)


async def run_cells(kind, rows):
    """Run the cells concurrently; return the problems of each."""
    gate = asyncio.Semaphore(MAX_CONCURRENT_CELLS)

    async def one(row, step):
        async with gate, asyncio.timeout(CELL_TIMEOUT_S):
            return await run_cell(kind, row, step)

    return await asyncio.gather(*(one(row, step) for row, step in rows))


async def run_cell(kind, row, step):
    async with FaultCell(kind, FaultScript(step, row["fault"])) as cell:
        got = await cell.run()
        runs = cell.runs
        repeated = await cell.repeat() if kind == "keyed" else None
        problems = list(check(kind, row, got, runs))
        if repeated is not None:
            problems += check_repeat(cell, got, runs, repeated)
        if cell.usage() > runs:
            problems.append(f"{cell.usage()} usage records")
        if problems:
            return f"{row['fault']} at {step}: {problems}, got {got}, runs {runs}"
    return ""


def check(kind, row, got, runs):
    """Yield what differs from the row, and violations that no row allows."""
    status = "-" if got.status == 0 else str(got.status)
    if status != row["status"]:
        yield f"status {status}"
    if (got.verdict or "-") != row["verdict"]:
        yield f"verdict {got.verdict}"
    if runs != int(row["runs"]):
        yield f"{runs} runs"
    if got.verdict == "not-run" and runs:
        yield "verdict not-run, but the target ran it"
    yield from check_body(kind, row["received"], got)


def check_body(kind, text, got):
    word, _, rest = text.partition(" ")
    if word == "nothing":
        if got.body or got.whole:
            yield "bytes received"
        return
    if word == "error":
        code = json.loads(got.body)["error"]["code"]
        if code != rest:
            yield f"code {code}"
        retry = "Retry-After" in got.headers
        if retry != (got.verdict == "not-run"):
            yield "Retry-After"
        return
    if word == "all":
        if got.body != whole_body(kind) or not got.whole:
            yield "incomplete response"
        return
    chunks = b"".join(chunk(number) for number in range(int(word)))
    if not got.body.startswith(chunks):
        yield "unexpected chunks"
    tail = got.body[len(chunks) :]
    if rest == "then error":
        if not tail.startswith(b"event: error\ndata: ") or not tail.endswith(b"\n\n"):
            yield "no error event"
        if b'"may-have-run"' not in tail or not got.whole:
            yield "error event without a verdict"
    if rest == "then break" and (tail or got.whole):
        yield "truncated without an error"


def check_repeat(cell, got, runs, repeated):
    """Return the problems of a repeat of the key at the other instance."""
    if cell.runs > max(runs, 1) or (runs and cell.runs != runs):
        return ["the repeat ran the request again"]
    if got.status == 201 and (repeated.status, repeated.body) != (201, BOOKING_BODY):
        return [f"the repeat got {repeated}"]
    if repeated.verdict == "not-run" and cell.runs:
        return ["the repeat got verdict not-run"]
    return []
