"""Steps that call the platform stand-in through its HTTP client."""

import asyncio
from dataclasses import replace

from behave import given, then, when
from result import Err

from features.processes import free_address
from marjoramstage.protocol.objects import CLAIM, DOCUMENT, PlatformObject
from marjoramstage.standins.platform import PlatformFaults, PlatformStandin
from marjoramstage.transport.client_connection import client_session
from marjoramstage.transport.platform import PlatformClient

NAMESPACE = "tests"
LABELS = {"colour": "red"}
CALL_TIMEOUT_S = 0.5
WATCH_IDLE_S = 0.5
BOOKMARK_EVERY_S = 0.1
D2 = PlatformObject(DOCUMENT, "d2", {"text": "two"}, labels=LABELS)
LARGE = replace(D2, spec={"text": "x" * 1_100_000})


class PlatformFixture:
    """A platform stand-in that holds one object, and its client."""

    def __init__(self, session):
        self.standin = PlatformStandin("127.0.0.1:0", BOOKMARK_EVERY_S)
        self.session = session

    async def start(self):
        await self.standin.start()
        self.client = self.client_for(self.standin.address)
        d1 = PlatformObject(DOCUMENT, "d1", {"text": "one"})
        self.d1 = (await self.client.create(d1)).ok_value
        self.changed = replace(self.d1, spec={"text": "two"})

    def client_for(self, address):
        return PlatformClient(
            self.session, address, NAMESPACE, CALL_TIMEOUT_S, WATCH_IDLE_S
        )

    def fault(self, **faults):
        self.standin.set_faults(PlatformFaults(**faults))


async def create(fixture, **faults):
    fixture.fault(**faults)
    return await fixture.client.create(D2)


async def update(fixture, **faults):
    fixture.fault(**faults)
    return await fixture.client.update(fixture.changed)


async def update_twice(fixture):
    await fixture.client.update(fixture.changed)
    return await fixture.client.update(replace(fixture.d1, spec={"text": "three"}))


async def update_after_lost_answer(fixture):
    await update(fixture, lose_answers=1)
    return await fixture.client.update(fixture.changed)


async def update_after_stale_read(fixture):
    fixture.fault(stale_reads=True)
    await fixture.client.update(fixture.changed)
    stale = (await fixture.client.get(DOCUMENT, "d1")).ok_value
    return await fixture.client.update(replace(stale, spec={"text": "three"}))


async def get_stale(fixture):
    fixture.fault(stale_reads=True)
    await fixture.client.update(fixture.changed)
    read = await fixture.client.get(DOCUMENT, "d1")
    assert read.ok_value == fixture.d1
    return read


async def delete_old(fixture):
    await fixture.client.update(fixture.changed)
    return await fixture.client.delete(DOCUMENT, "d1", fixture.d1.version)


async def get_down(fixture):
    fixture.fault(down=True)
    return await fixture.client.get(DOCUMENT, "d1")


async def list_down(fixture):
    fixture.fault(down=True)
    return await fixture.client.list(DOCUMENT)


CALLS = {
    "get": lambda fixture: fixture.client.get(DOCUMENT, "d1"),
    "get of a missing object": lambda fixture: fixture.client.get(DOCUMENT, "d9"),
    "create": create,
    "create of an existing object": lambda fixture: fixture.client.create(fixture.d1),
    "create, answer lost": lambda fixture: create(fixture, lose_answers=1),
    "create, request lost": lambda fixture: create(fixture, lose_requests=1),
    "create, platform down": lambda fixture: create(fixture, down=True),
    "create, connection refused": lambda fixture: fixture.client_for(
        free_address()
    ).create(D2),
    "create, timed out": lambda fixture: create(fixture, delay_s=60.0),
    "create, too large": lambda fixture: fixture.client.create(LARGE),
    "update": update,
    "update of an old version": update_twice,
    "update, answer lost": lambda fixture: update(fixture, lose_answers=1),
    "update after a lost answer": update_after_lost_answer,
    "update after a stale read": update_after_stale_read,
    "delete": lambda fixture: fixture.client.delete(DOCUMENT, "d1", fixture.d1.version),
    "delete of an old version": delete_old,
    "get, platform down": get_down,
    "get, stale": get_stale,
    "list, platform down": list_down,
}


async def change_all(fixture):
    await fixture.client.update(fixture.changed)
    await fixture.client.create(replace(D2, kind=CLAIM))
    d2 = (await fixture.client.get(DOCUMENT, "d2")).ok_value
    await fixture.client.delete(DOCUMENT, "d2", d2.version)


async def no_change(fixture):
    await asyncio.sleep(0)


async def compact(fixture):
    await fixture.client.update(fixture.changed)
    fixture.standin.store.compact()


async def change_claims(fixture):
    await fixture.client.create(replace(D2, kind=CLAIM))


# Steps before the watch starts, while it waits for its first event and after
# that event; then the labels that it selects.
WATCHES = {
    "changes": (no_change, create, change_all, None),
    "changes with one label": (no_change, create, change_all, LABELS),
    "changes before the watch": (update, no_change, no_change, None),
    "nothing happens": (no_change, no_change, no_change, None),
    "compacted": (compact, no_change, no_change, None),
    "broken": (no_change, lambda b: create(b, break_watches=1), no_change, None),
    "silent": (no_change, lambda b: create(b, silent_watches=True), no_change, None),
    "platform goes down": (no_change, lambda b: go_down(b), no_change, None),
    "other kinds change": (no_change, change_claims, no_change, None),
}


async def go_down(fixture):
    fixture.fault(down=True)


async def follow(fixture, case, max_events):
    """Return the events of a watch that starts at the version of d1, as text."""
    if case == "list again after compaction":
        await compact(fixture)
        version = (await fixture.client.list(DOCUMENT)).ok_value.version
        steps = (no_change, create, no_change, None)
    else:
        version, steps = fixture.d1.version, WATCHES[case]
    before, during, after, labels = steps
    await before(fixture)
    watch = fixture.client.watch(DOCUMENT, version, labels)
    first = asyncio.create_task(anext(watch))
    await fixture.standin.watched.wait()
    await during(fixture)
    words = [describe_event(await first)]
    await after(fixture)
    while len(words) < max_events:
        words.append(describe_event(await anext(watch)))
    await watch.aclose()
    return " ".join(words)


def describe_event(event):
    if isinstance(event, Err):
        return event.err_value.fault.value
    found = event.ok_value
    if found.obj is None:
        return found.type.value
    return f"{found.type.value}:{found.obj.name}"


async def with_fixture(use):
    async with client_session() as session:
        fixture = PlatformFixture(session)
        await fixture.start()
        try:
            found = await use(fixture)
            fixture.fault()
            objects = (await fixture.client.list(DOCUMENT)).ok_value.objects
        finally:
            await fixture.standin.stop()
    held = sorted(f"{obj.name}={obj.spec['text']}" for obj in objects)
    return found, " ".join(held)


@given("a platform stand-in with the object d1")
def use_fixture(context):
    context.with_fixture = with_fixture


@when('the platform call "{case}" is made')
def make_call(context, case):
    context.found, context.held = asyncio.run(context.with_fixture(CALLS[case]))


@then('the platform call ends with "{result}" and verdict "{verdict}"')
def check_call(context, result, verdict):
    assert isinstance(context.found, Err), context.found
    error = context.found.err_value
    assert (error.fault.value, error.verdict.value) == (result, verdict), error


@then('the platform call ends with "ok" and verdict ""')
def check_ok(context):
    assert not isinstance(context.found, Err), context.found


@then('the platform then holds "{held}"')
def check_held(context, held):
    assert context.held == held, context.held


@then('the platform then holds ""')
def check_empty(context):
    assert context.held == "", context.held


@when('the platform watch "{case}" is followed')
def follow_watch(context, case):
    context.case = case


@then('the platform watch gives "{events}"')
def check_watch(context, events):
    max_events = len(events.split())
    found, _ = asyncio.run(
        context.with_fixture(lambda fixture: follow(fixture, context.case, max_events))
    )
    assert found == events, found
