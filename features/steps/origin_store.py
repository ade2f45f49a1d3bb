"""Steps about what instances store of versions and streams."""

import asyncio
from dataclasses import replace
from types import SimpleNamespace

from behave import given, then, when

from features.memory_platform import MemoryPlatform
from features.notice_machine import make_state
from features.virtual_asyncio import VirtualTimeLoop
from marjoramstage import platform
from marjoramstage._entry.origin_store import OriginStore
from marjoramstage._entry.stream_versions import StreamVersions
from marjoramstage.coordination.stream_origins import digest
from marjoramstage.protocol.objects import PlatformObject
from marjoramstage.state.fleet import FleetTarget
from marjoramstage.state.origin_record import OriginRecord
from marjoramstage.state.routes import CallerLimits, Route, RouteTable, ServiceWeight

CONTROLLER = SimpleNamespace(may_send_orders=False, reporting_instances=set())
ROUTE = Route("r", "h", "/", (ServiceWeight("chat", 1.0),), resumable=True)


class CountingPlatform(MemoryPlatform):
    """Counts writes; an update needs no version, as at the platform."""

    writes = 0
    reads = 0

    list_s = 0.0

    async def list(self, kind):
        self.reads += 1
        found = await super().list(kind)
        await asyncio.sleep(self.list_s)
        return found

    async def update(self, obj):
        known = self.objects.get((obj.kind, obj.name))
        return await self._put(replace(obj, version=known.version))

    async def _put(self, obj):
        self.writes += 1
        return await super()._put(obj)


@given("a store with the records {records}")
def make_store(context, records):
    context.store = CountingPlatform()
    context.store.down = records == "unreadable"
    if records in ("none", "unreadable"):
        return
    for number, text in enumerate(records.split("; ")):
        service, _, versions = text.partition(": ")
        record = OriginRecord({service: tuple(versions.split())})
        obj = platform.encode_origins(f"i{number + 5}", record)
        if records == "garbled":
            obj = PlatformObject(platform.STREAM_ORIGINS, "i5", {"versions": 3})
        context.store.objects[obj.kind, obj.name] = replace(obj, version="1")


def put_target(context, version):
    target = FleetTarget(version, 1, "chat", "10.0.0.1:80", "a", 8, software=version)
    context.state.put_target(target)


@when("an instance starts that sees targets of {versions}")
def start(context, versions):
    context.loop = VirtualTimeLoop()
    context.state = make_state(context.loop)
    context.state.apply_routes(RouteTable(1, (ROUTE,), {}, CallerLimits()))
    for version in versions.split():
        put_target(context, version)
    context.state.targets_listed = True
    context.origins = OriginStore(context.state, context.store, CONTROLLER)
    context.task = context.loop.create_task(context.origins.run())
    context.add_cleanup(stop, context)
    wait(context, 3.0)


def stop(context):
    context.task.cancel()
    wait(context, 0)
    context.loop.close()


def wait(context, for_s):
    context.loop.run_until_complete(asyncio.sleep(for_s))


@then("it {takes} streams whose beginning nobody knows for those of v1")
def check_taken(context, takes):
    async def ask(request_id):
        return ""

    ctx = SimpleNamespace(
        headers=SimpleNamespace(resumes="r1"),
        service="chat",
        arrived_s=context.loop.time(),
    )
    versions = StreamVersions(context.state, context.origins, ask)
    found, _ = context.loop.run_until_complete(versions.find(ctx))
    assert found == ("v1" if takes == "takes" else ""), found


def record(context):
    (obj,) = context.store.objects.values()
    return platform.decode_origins(obj.spec).ok_value


@then("its record has v1 and no streams, and is written once in 10 s")
def check_first(context):
    wait(context, 10.0)
    assert record(context) == OriginRecord({"chat": ("v1",)}), record(context)
    assert context.store.writes == 1, context.store.writes


@when("streams s1 and s2 begin at v1, and targets of v2 come")
def begin_streams(context):
    now_s = context.loop.time()
    for name in ("s1", "s2"):
        context.state.stream_origins.record(name, "v1", now_s)
    put_target(context, "v2")


@then("within 1 s its record has v1 v2 and the streams s1 s2")
def check_streams(context):
    wait(context, 1.0)
    digests = (digest("s1"), digest("s2"))
    expected = OriginRecord({"chat": ("v1", "v2")}, {"v1": digests})
    assert record(context) == expected, record(context)


@when("targets of v1 leave and 31 s pass")
def leave(context):
    context.state.remove_target("v1", confirmed=True)
    wait(context, 31.0)


@then("its record has v2 and no streams")
def check_last(context):
    assert record(context) == OriginRecord({"chat": ("v2",)}), record(context)


@when("a read of the store has just begun, and s9 is stored as begun at v1 by another")
def store_after_read(context):
    now_s = context.loop.time()
    context.loop.run_until_complete(context.origins.reload(now_s))
    record = OriginRecord({"chat": ("v1", "v2")}, {"v1": (digest("s9"),)})
    obj = replace(platform.encode_origins("i9", record), version="1")
    context.store.objects[obj.kind, obj.name] = obj
    context.store.reads = 0


@when("{count:d} requests in {for_s:g} s resume {stream}, the first {after:g} s later")
def resume(context, count, for_s, stream, after):
    async def ask(request_id):
        return ""

    async def find(at_s):
        await asyncio.sleep(at_s)
        headers = SimpleNamespace(resumes=stream)
        arrived_s = context.loop.time()
        ctx = SimpleNamespace(headers=headers, service="chat", arrived_s=arrived_s)
        software, _ = await versions.find(ctx)
        return software, context.loop.time() - arrived_s

    async def find_all():
        times_s = (after + number * for_s / count for number in range(count))
        return await asyncio.gather(*map(find, times_s))

    versions = StreamVersions(context.state, context.origins, ask)
    context.found = context.loop.run_until_complete(find_all())


@when("{what}, and s9 is stored as begun at v1 by another {later:g} s later")
def store_late(context, what, later):
    if what == "the store is away for 1 s":
        context.store.down = True
        context.loop.call_later(1.0, setattr, context.store, "down", False)
    if what == "a read takes 0.3 s":
        context.store.list_s = 0.3
    record = OriginRecord({"chat": ("v1", "v2")}, {"v1": (digest("s9"),)})
    obj = replace(platform.encode_origins("i9", record), version="1")
    key = obj.kind, obj.name
    context.loop.call_later(later, context.store.objects.__setitem__, key, obj)


@then("attempts to resume s9 {first:g} s and {second:g} s later find {found}")
def check_attempts(context, first, second, found):
    async def ask(request_id):
        return ""

    async def find(at_s):
        await asyncio.sleep(at_s)
        headers = SimpleNamespace(resumes="s9")
        arrived_s = context.loop.time()
        ctx = SimpleNamespace(headers=headers, service="chat", arrived_s=arrived_s)
        return (await versions.find(ctx))[0] or "none"

    async def find_both():
        return await asyncio.gather(find(first), find(second))

    versions = StreamVersions(context.state, context.origins, ask)
    results = context.loop.run_until_complete(find_both())
    assert results == found.split(" and "), results


@then('each is resumed at "{version}" within {limit_s:g} s, with {reads:d} reads')
def check_resumed(context, version, limit_s, reads):
    expected = "" if version == "none" else version
    for software, waited_s in context.found:
        assert software == expected, (software, waited_s)
        assert waited_s <= limit_s, waited_s
    assert context.store.reads <= reads, context.store.reads
