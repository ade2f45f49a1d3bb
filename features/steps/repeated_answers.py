"""Steps for answers that a target sends once more on a kept connection."""

import asyncio
import itertools

from behave import then

from features.cells import check_cells
from features.entry_caller import EntryInstance
from features.repeating_target import Answer, RepeatingTarget, body_of

# Time for bytes that are sent later to arrive before the next request.
NEXT_REQUEST_S = 0.15
RUN_S = 0.3
REFUSED = 503
STREAM_BODY = b"id: 1\ndata: first\n\n"


def cells(table, *names):
    """Yield the values of each combination that a row of a table states."""
    for row in table:
        yield from itertools.product(*(row[name].split(", ") for name in names))


def repeated_answer(kind, carries, body):
    content = STREAM_BODY if body == "a length" else b""
    # The copy carries the id of the first request, or none.
    return Answer(kind, "its own" if carries == "its own id" else "no id", content)


def first_answer(repeated):
    # An empty 200 leaves its connection in the pool.
    return Answer(repeated.kind, body=b"" if repeated.kind == "200" else repeated.body)


@then("the caller of the next request on each route gets as stated")
def check_next(context):
    names = ("route", "first", "repeated with", "body", "when", "gets")
    check_cells([run_next(*cell) for cell in cells(context.table, *names)])


async def run_next(route, kind, carries, body, when, gets):
    repeated = repeated_answer(kind, carries, body)
    target = RepeatingTarget((first_answer(repeated),), repeated, when)
    async with EntryInstance([target]) as instance:
        await instance.send(route + "x", "r1")
        await asyncio.sleep(NEXT_REQUEST_S)
        received = await instance.send(route + "x", "r2")
    right = received.status == int(gets) and target.runs["r2"] == 1
    if gets == "200":
        body_r2 = body_of("r2", "stream" in route)
        right = right and received.whole and received.body == body_r2
    name = ", ".join((route, kind, carries, body, when))
    return "" if right else f"{name}: {received}, runs {target.runs}"


@then("a refused request on each route is refused by the instance")
def check_honest(context):
    names = ("route", "refusal", "carries", "connection")
    check_cells([run_honest(*cell) for cell in cells(context.table, *names)])


async def run_honest(route, kind, carries, connection):
    own = "its own" if carries == "its own id" else carries
    refusal = Answer(kind, own, b"full")
    used = connection == "used before"
    target = RepeatingTarget((Answer("200"), refusal) if used else (refusal,))
    async with EntryInstance([target]) as instance:
        if used:
            await instance.send(route + "x", "r1")
        received = await instance.send(route + "x", "r2")
    expected = {number for number, _ in target.connections}
    right = received.status == REFUSED and not target.runs and len(expected) == 1
    right = right and "Retry-After" in received.headers
    name = ", ".join((route, kind, carries, connection))
    return "" if right else f"{name}: {received}, {target.connections}"


@then("each of these routes relays a 400 without an id from a new connection")
def check_bad_request(context):
    check_cells([run_bad_request(*cell) for cell in cells(context.table, "route")])


async def run_bad_request(route):
    target = RepeatingTarget((Answer("400", "no id", b"bad"),))
    async with EntryInstance([target]) as instance:
        received = await instance.send(route + "x", "r1")
    right = (received.status, received.body) == (400, b"bad")
    return "" if right else f"{route}: {received}"


@then("no request follows such an answer on its connection")
def check_connections(context):
    names = ("route", "first", "repeated with", "body")
    check_cells([run_connections(*cell) for cell in cells(context.table, *names)])


async def run_connections(route, kind, carries, body):
    repeated = repeated_answer(kind, carries, body)
    target = RepeatingTarget(
        (first_answer(repeated),), repeated, "as the next arrives", RUN_S
    )
    async with EntryInstance([target]) as instance:
        await instance.send(route + "x", "r1")
        await instance.send(route + "x", "r2")
        received = await instance.send(route + "x", "r3")
    used = {request_id: number for number, request_id in target.connections}
    right = used["r1"] == used["r2"] != used.get("r3")
    right = right and received.body == body_of("r3", "stream" in route)
    name = ", ".join((route, kind, carries, body))
    return "" if right else f"{name}: {received}, {target.connections}"
