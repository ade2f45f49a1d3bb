"""Steps about streams that began just before all instances are killed."""

import asyncio
from dataclasses import replace

from behave import given, then, when

from features.notice_machine import make_state
from features.steps.origin_store import ROUTE, CountingPlatform
from features.virtual_asyncio import VirtualTimeLoop
from marjoramstage import platform
from marjoramstage._entry.begun_stream_store import BegunStreamStore
from marjoramstage._entry.origin_store import OriginStore
from marjoramstage._entry.peer_link import PeerLink
from marjoramstage.coordination.stream_origins import digest
from marjoramstage.protocol.peers import FleetView
from marjoramstage.state.fleet import FleetTarget
from marjoramstage.state.origin_record import OriginRecord
from marjoramstage.state.routes import CallerLimits, RouteTable

ADDRESS = "127.0.0.1:1"
VERSIONS = ("v1", "v2")
VIEW_INTERVAL_S = 0.25
STREAM_INTERVAL_S = 0.5
SETTLE_S = 40.0
COUNTED_S = 30.0


class PricedPlatform(CountingPlatform):
    """Counts removals as well."""

    async def delete(self, kind, name, version):
        self.writes += 1
        return await super().delete(kind, name, version)


class Controller:
    """Passes reports to the holder of the lease as if it were this instance."""

    holder_address = ADDRESS

    def __init__(self, is_holder, on_streams_begun):
        self.may_send_orders = is_holder
        self.reporting_instances = set()
        self._on_streams_begun = on_streams_begun

    def receive_report(self, report):
        self._on_streams_begun(report.begun)


class Instances:
    """Instances of which the first holds the lease."""

    def __init__(self, loop, store, count, holder_keeps):
        self.loop = loop
        self.store = store
        self.count = count
        self.holder_keeps = holder_keeps
        self.tasks = []
        self.states = [make_instance(loop, f"i{n}") for n in range(count)]

    def start(self):
        state = self.states[0]
        begun = None
        holder = Controller(True, lambda streams: begun.record(streams))
        begun = BegunStreamStore(state, self.store, holder)
        receive = begun.record if self.holder_keeps else lambda streams: None
        self._spawn(begun.run())
        self._spawn(self._send_views(begun))
        for number, state in enumerate(self.states):
            controller = Controller(number == 0, receive)
            self._spawn(self._run_instance(number, state, controller))

    def _spawn(self, coro):
        self.tasks.append(self.loop.create_task(coro))

    async def _send_views(self, begun):
        sequence = 0
        while True:
            sequence += 1
            view = FleetView("i0", 1, sequence, self.count)
            if self.holder_keeps:
                view = replace(view, keeps_origins=begun.is_keeping)
            for state in self.states:
                state.apply_view(view)
            await asyncio.sleep(VIEW_INTERVAL_S)

    async def _run_instance(self, number, state, controller):
        await asyncio.sleep(number / self.count)
        link = PeerLink(state, ADDRESS)
        link.set_controller(controller)
        self._spawn(OriginStore(state, self.store, controller).run())
        self._spawn(link.run())
        stream = 0
        while True:
            stream += 1
            begin(state, f"{state.settings.name}-{stream}", VERSIONS[stream % 2])
            await asyncio.sleep(STREAM_INTERVAL_S)

    def kill(self):
        for task in self.tasks:
            task.cancel()
        self.loop.run_until_complete(asyncio.sleep(0))


def make_instance(loop, name):
    state = make_state(loop)
    state.settings = replace(state.settings, name=name)
    state.apply_routes(RouteTable(1, (ROUTE,), {}, CallerLimits()))
    for version in VERSIONS:
        state.put_target(
            FleetTarget(version, 1, "chat", "10.0.0.1:80", "a", 8, software=version)
        )
    state.targets_listed = True
    return state


def begin(state, request_id, version):
    state.stream_origins.record(request_id, version, state.clock.now())
    state.on_stream_begun()


@given("{n:d} instances {holder} see targets of v1 and v2 and relay streams")
def start_instances(context, n, holder):
    context.loop = VirtualTimeLoop()
    context.add_cleanup(context.loop.close)
    context.store = PricedPlatform()
    keeps = holder == "that all know of begun streams"
    context.instances = Instances(context.loop, context.store, n, keeps)
    context.instances.start()
    context.loop.run_until_complete(asyncio.sleep(SETTLE_S))
    context.store.writes = 0
    context.loop.run_until_complete(asyncio.sleep(COUNTED_S))
    context.calls = context.store.writes


@when("each begins a stream and all are killed {after:g} s later")
def kill_all(context, after):
    for number, state in enumerate(context.instances.states):
        begin(state, f"young-{number}", VERSIONS[number % 2])
    context.loop.run_until_complete(asyncio.sleep(after))
    context.instances.kill()


@then(
    "an instance that starts finds the versions of at least {found:d} of these streams"
)
def check_found(context, found):
    state = make_instance(context.loop, "new")
    origins = OriginStore(state, context.store, Controller(False, lambda begun: None))
    context.loop.run_until_complete(origins.reload(context.loop.time()))
    now_s = context.loop.time()
    versions = [
        state.stream_origins.find(f"young-{number}", now_s)
        for number in range(context.instances.count)
    ]
    for number, version in enumerate(versions):
        assert version in ("", VERSIONS[number % 2]), (number, version)
    known = sum(map(bool, versions))
    assert known >= found, f"{known} of {len(versions)} known, {context.calls} calls"


@then("the store got at most {calls:d} calls in the 30 s before")
def check_calls(context, calls):
    assert context.calls <= calls, context.calls


@when("stream s1 is stored as begun at v1 by one instance and at v2 by another")
def store_both(context):
    for name, version in (("i8", "v1"), ("i9", "v2")):
        record = OriginRecord({"chat": VERSIONS}, {version: (digest("s1"),)})
        obj = replace(platform.encode_origins(name, record), version="1")
        context.store.objects[obj.kind, obj.name] = obj
    context.loop.run_until_complete(context.origins.reload(context.loop.time()))


@then("the version of s1 is not known")
def check_unknown(context):
    found = context.state.stream_origins.find("s1", context.loop.time())
    assert found == "", found
