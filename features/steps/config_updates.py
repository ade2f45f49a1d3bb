"""Steps about new versions of the routes that come over a slow link."""

import asyncio
from contextlib import asynccontextmanager

from aiohttp import web
from behave import given, then, when
from result import Err, Ok

from features.virtual_asyncio import run_virtual
from marjoramstage import platform
from marjoramstage._entry.store_watchers import watch_routes
from marjoramstage.protocol.objects import (
    ObjectList,
    PlatformObject,
    WatchEvent,
    WatchType,
)
from marjoramstage.transport.client_connection import client_session

BITS_PER_KB_AND_MBPS = 0.008
STORE_DELAY_S = 0.006
SETTLE_S = 8.0
LISTING_LIMIT_S = 20.0
UNANSWERED_LIMIT_S = 6.0


class SlowStore:
    """Holds the routes; each answer takes as long as its bytes on the link."""

    def __init__(self, object_s):
        self._object_s = object_s
        self._versions = [1]
        self._accepted = asyncio.Event()

    def accept(self, version):
        self._versions.append(version)
        self._accepted.set()
        self._accepted = asyncio.Event()

    def _object(self, version):
        spec = {"version": version, "routes": [], "services": []}
        return PlatformObject(platform.CONFIG, platform.CONFIG_NAME, spec, str(version))

    async def list(self, kind, labels=None):
        await asyncio.sleep(STORE_DELAY_S)
        newest = self._versions[-1]
        await asyncio.sleep(self._object_s)
        return Ok(ObjectList((self._object(newest),), str(newest)))

    async def watch(self, kind, version, labels=None, wait_s=None):
        if self._versions[-1] <= int(version):
            await self._accepted.wait()
        await asyncio.sleep(STORE_DELAY_S)
        later = [v for v in self._versions if v > int(version)]
        await asyncio.sleep(self._object_s * len(later))
        newest = str(later[-1])
        for found in later:
            yield Ok(WatchEvent(WatchType.MODIFIED, newest, self._object(found)))
        yield Ok(WatchEvent(WatchType.BOOKMARK, newest))


class FakeState:
    """Records when each version was put into force."""

    def __init__(self):
        self.clock, self.events = self, self
        self.applied = []

    def now(self):
        return asyncio.get_running_loop().time()

    def event(self, name, **fields):
        pass

    def apply_routes(self, table):
        if not self.applied or table.version > self.applied[-1][1]:
            self.applied.append((self.now(), table.version))


@given("a store with {size:g} kB of routes, reached over {mbps:g} Mbit/s of the link")
def make_store(context, size, mbps):
    context.object_s = size * BITS_PER_KB_AND_MBPS / mbps


@when("{count:d} versions are accepted every {gap:g} s")
def accept_versions(context, count, gap):
    async def run():
        store, state = SlowStore(context.object_s), FakeState()
        watcher = asyncio.create_task(watch_routes(store, state).run())
        await asyncio.sleep(3.0)
        accepted = {}
        for version in range(2, count + 2):
            accepted[version] = state.now()
            store.accept(version)
            await asyncio.sleep(gap)
        await asyncio.sleep(SETTLE_S)
        watcher.cancel()
        return accepted, state.applied

    context.accepted, context.applied = run_virtual(run())


@then("each version is in force within {most:g} s of its acceptance")
def check_in_force(context, most):
    late = {}
    for version, accepted_s in context.accepted.items():
        in_force_s = min(at_s for at_s, found in context.applied if found >= version)
        late[version] = round(in_force_s - accepted_s, 2)
    assert max(late.values()) <= most, late


@then("no version replaced a later one")
def check_order(context):
    versions = [version for _, version in context.applied]
    assert versions == sorted(versions), versions


@given("a store that sends a listing in {parts:d} parts, one every {gap:g} s")
def make_trickling_store(context, parts, gap):
    context.parts, context.gap = parts, gap


@asynccontextmanager
async def _served(handler, done, **kwargs):
    """Yield a client of a store whose requests ``handler`` answers."""
    server = web.Server(handler)
    listener = await asyncio.get_running_loop().create_server(server, "127.0.0.1", 0)
    host, port = listener.sockets[0].getsockname()
    async with client_session() as session:
        yield platform.ObjectStore(session, f"{host}:{port}", **kwargs)
    done.set()
    listener.close()
    await server.shutdown(0)


async def _read_listing(parts, sent, gap):
    done = asyncio.Event()
    text = b'{"items": [], "more": false, "store_revision": 7}'
    size = len(text) // parts + 1

    async def handle(req):
        resp = web.StreamResponse(headers={"Content-Length": str(len(text))})
        await resp.prepare(req)
        for number in range(sent):
            await resp.write(text[number * size : (number + 1) * size])
            await asyncio.sleep(gap)
        if sent < parts:
            await done.wait()
        return resp

    async with _served(handle, done, call_timeout_s=1.0) as store:
        async with asyncio.timeout(LISTING_LIMIT_S):
            found = await store.list(platform.CONFIG)
    return found


@when("the listing is read by a client that waits 1 s for each part")
def read_listing(context):
    context.found = asyncio.run(
        _read_listing(context.parts, context.parts, context.gap)
    )


@then("the listing is whole")
def check_listing(context):
    assert context.found == Ok(ObjectList((), "7")), context.found


@then("a listing that stops in the middle fails in the end")
def check_stopped(context):
    found = asyncio.run(_read_listing(context.parts, 5, 0.01))
    assert isinstance(found, Err), found


async def _ask_watch():
    done = asyncio.Event()

    async def never_answer(req):
        await done.wait()
        return web.Response()

    found = []
    async with _served(never_answer, done) as store:
        try:
            async with asyncio.timeout(UNANSWERED_LIMIT_S):
                found = [event async for event in store.watch(platform.CONFIG, "1")]
        except TimeoutError:
            pass  # nothing was found in time
    return found


@when("a watch is asked for that the store accepts and never answers")
def ask_watch(context):
    context.events = asyncio.run(_ask_watch())


@then("it fails within 6 s")
def check_given_up(context):
    assert len(context.events) == 1, context.events
    assert isinstance(context.events[0], Err), context.events
