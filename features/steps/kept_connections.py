"""Steps for connections that are used again after an answer."""

import functools
import itertools

from behave import then

from features.broken_heads import WAYS, Head, HeadTarget
from features.cells import check_cells
from features.entry_caller import REPEATABLE_ROUTES, EntryInstance
from marjoramstage import platform
from marjoramstage.transport.client_connection import client_session


async def send_as_caller(target, route, count):
    """Send requests through an instance, one after the other."""
    async with EntryInstance([target]) as instance:
        for number in range(count):
            await instance.send(route.prefix + "x", f"r{number}")


async def read_store(target, count):
    """Read from the users' store as often, one read after the other."""
    await target.start()
    async with client_session() as session:
        store = platform.ObjectStore(session, target.address)
        for _ in range(count):
            await store.get(platform.LEASES, "l1")
    await target.stop()


@then("{count:d} requests to {to}, one after the other, use one connection")
def check_reuse(context, count, to):
    callers = [
        functools.partial(send_as_caller, route=route) for route in REPEATABLE_ROUTES
    ]
    calls = {"a target": callers, "the store": [read_store]}[to]
    codings = (b"", b"chunked")
    cells = itertools.product(calls, codings, WAYS)
    check_cells([run_reuse(*cell, count) for cell in cells])


async def run_reuse(call, coding, way, count):
    target = HeadTarget([Head(coding=coding)] * count, way)
    await call(target, count=count)
    right = target.used == [1] * count
    return "" if right else f"{call}, {coding}, {way}: connections {target.used}"
