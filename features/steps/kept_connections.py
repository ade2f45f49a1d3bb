"""Steps for connections that are used again after an answer."""

import functools
import itertools

from behave import then

from features.broken_heads import BODY_LATER, EARLY_HINTS, WAYS, Head, HeadTarget
from features.cells import check_cells
from features.entry_caller import REPEATABLE_ROUTES, EntryInstance
from marjoramstage import platform
from marjoramstage.transport.client_connection import client_session

FOREIGN_ANSWER = b"HTTP/1.1 404 Not Found\r\nContent-Length: 2\r\n\r\n{}"
EXTRAS = {
    "a whole answer": FOREIGN_ANSWER,
    "an interim answer": EARLY_HINTS,
    "a part of an answer": FOREIGN_ANSWER[:12],
}
CODINGS = (b"", b"chunked")


async def send_as_caller(target, route, count):
    """Send requests through an instance, one after the other; return their bodies."""
    async with EntryInstance([target]) as instance:
        answers = [
            await instance.send(route.prefix + "x", f"r{number}")
            for number in range(count)
        ]
    return [answer.body for answer in answers]


async def read_store(target, count):
    """Read from the users' store as often, one read after the other."""
    await target.start()
    async with client_session() as session:
        store = platform.ObjectStore(session, target.address)
        found = [await store.get(platform.LEASES, "l1") for _ in range(count)]
    await target.stop()
    return found


def calls_to(to):
    """Return how requests are sent to what a row names."""
    if to == "the store":
        return [read_store]
    return [functools.partial(send_as_caller, route=r) for r in REPEATABLE_ROUTES]


@then("{count:d} requests to {to}, one after the other, use one connection")
def check_reuse(context, count, to):
    cells = itertools.product(calls_to(to), CODINGS, WAYS)
    check_cells([run_reuse(*cell, count) for cell in cells])


async def run_reuse(call, coding, way, count):
    target = HeadTarget([Head(coding=coding)] * count, way)
    await call(target, count=count)
    right = target.used == [1] * count
    return "" if right else f"{call}, {coding}, {way}: connections {target.used}"


@then("after {more} with the end of an answer, a request to {to} gets its own answer")
def check_extra(context, more, to):
    cells = itertools.product(calls_to(to), CODINGS, ("at once", BODY_LATER))
    check_cells([run_extra(*cell, EXTRAS[more]) for cell in cells])


async def run_extra(call, coding, way, extra):
    """Compare the answers with those of a target that sends nothing more."""
    target = HeadTarget([Head(coding=coding, extra=extra)], way)
    found = await call(target, count=2)
    sound = await call(HeadTarget([]), count=2)
    # A request that met the wrong answer is sent once more.
    right = found == sound and target.runs == 2
    return "" if right else f"{call}, {coding}, {way}: {found}, on {target.used}"
