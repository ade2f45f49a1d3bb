"""Instances on a virtual clock that relay what they know of one store."""

import asyncio
from collections import Counter

from result import Err, Ok

from marjoramstage import logs, platform
from marjoramstage._entry.event_log import EventLog
from marjoramstage._entry.instance_state import InstanceState
from marjoramstage._entry.store_relay import StoreRelay, max_confirmation_age_s
from marjoramstage._entry.store_watchers import (
    drop_missing_targets,
    watch_routes,
    watch_targets,
)
from marjoramstage.exceptions import Verdict
from marjoramstage.protocol.objects import (
    ObjectList,
    PlatformError,
    PlatformFault,
    PlatformObject,
    WatchEvent,
    WatchType,
)
from marjoramstage.protocol.peers import FleetView, decode, encode
from marjoramstage.state.node_settings import NodeSettings
from marjoramstage.state.store_era import StoreEra

STORE_DELAY_S = 0.004
LINK_DELAY_S = 0.005
VIEW_INTERVAL_S = 0.25
CALL_TIMEOUT_S = 1.5
WATCH_WAIT_S = 1.5
SAMPLE_S = 0.02
ADDRESS = "10.0.9.1:80"


class LoopClock:
    def now(self):
        return asyncio.get_running_loop().time()


class SharedStore:
    """Objects, one revision, watches, and faults for single callers."""

    def __init__(self):
        self.objects, self.log, self.revision, self.era = {}, [], 1, 1
        self.calls, self.call_times = Counter(), []
        self.silent, self.refused = set(), set()
        self._changed = asyncio.Event()

    def put(self, kind, name, spec):
        self.revision += 1
        obj = PlatformObject(kind, name, spec, str(self.revision))
        self.objects[kind, name] = obj
        self._record(WatchType.MODIFIED, obj)

    def remove(self, kind, name):
        self.revision += 1
        self._record(WatchType.DELETED, self.objects.pop((kind, name)))

    def tick(self):
        """Write something that nobody watches."""
        self.revision += 1

    def copy(self):
        return dict(self.objects), list(self.log), self.revision

    def restore(self, copy):
        self.objects, self.log, self.revision = dict(copy[0]), list(copy[1]), copy[2]
        self.era += 1
        self._wake()

    def _record(self, type_, obj):
        self.log.append((self.revision, type_, obj))
        self._wake()

    def _wake(self):
        self._changed.set()
        self._changed = asyncio.Event()

    async def begin(self, name):
        """Count a call; return an error if this caller gets one."""
        self.calls[name] += 1
        self.call_times.append((LoopClock().now(), name))
        await asyncio.sleep(STORE_DELAY_S)
        if name in self.refused:
            return Err(PlatformError(PlatformFault.UNAVAILABLE, Verdict.NOT_RUN, "503"))
        if name in self.silent:
            await asyncio.sleep(CALL_TIMEOUT_S)
            return Err(
                PlatformError(PlatformFault.UNAVAILABLE, Verdict.NOT_RUN, "silent")
            )
        return None

    def events(self, kind, since):
        return [
            (type_, obj)
            for revision, type_, obj in self.log
            if revision > since and obj.kind == kind
        ]

    async def wait(self, kind, since, wait_s):
        try:
            async with asyncio.timeout(wait_s):
                while not self.events(kind, since) and since <= self.revision:
                    await self._changed.wait()
        except TimeoutError:
            pass  # answered without an event


class StoreOfInstance:
    """The client that one instance has of the shared store."""

    def __init__(self, shared, name, era):
        self._shared, self._name, self._era = shared, name, era

    async def list(self, kind, labels=None):
        error = await self._shared.begin(self._name)
        if error is not None:
            return error
        self._era.observe(self._shared.era)
        found = [obj for (k, _), obj in self._shared.objects.items() if k == kind]
        return Ok(ObjectList(tuple(found), str(self._shared.revision)))

    async def watch(self, kind, version, labels=None, wait_s=None):
        error = await self._shared.begin(self._name)
        if error is not None:
            yield error
            return
        asked_era = self._era.current
        wait_s = WATCH_WAIT_S if wait_s is None else wait_s
        await self._shared.wait(kind, int(version), wait_s)
        self._era.observe(self._shared.era)
        if asked_era != self._era.current or int(version) > self._shared.revision:
            yield Err(PlatformError(PlatformFault.EXPIRED, Verdict.NOT_RUN, "gone"))
            return
        revision = str(self._shared.revision)
        for type_, obj in self._shared.events(kind, int(version)):
            yield Ok(WatchEvent(type_, revision, obj))
        yield Ok(WatchEvent(WatchType.BOOKMARK, revision))


class Member:
    """The parts of one instance that follow the store."""

    def __init__(self, net, name):
        self.net, self.name = net, name
        settings = NodeSettings(name, "10.0.0.1", "a", "", "", "", (7000,))
        self.events = EventLog(logs.component_logger("entry"), LoopClock())
        self.state = InstanceState(settings, LoopClock(), self.events)
        self.era = StoreEra()
        self.relay = StoreRelay(
            self.era,
            self.events,
            max_confirmation_age_s(settings.bounds),
            lambda: name in net.publishers,
            lambda message: net.broadcast(self, message),
            lambda: net.now(),
        )
        store = StoreOfInstance(net.store, name, self.era)
        self.routes = watch_routes(store, self.state, self.relay)
        self.targets = watch_targets(store, self.state, self.relay)
        for watcher in (self.routes, self.targets):
            self.era.on_rise(watcher.on_store_restored)
        self.frozen, self.backlog, self.tasks = False, [], []

    def start(self):
        parts = (
            self.routes.run(),
            self.targets.run(),
            drop_missing_targets(self.targets, self.state),
        )
        self.tasks = [asyncio.create_task(part) for part in parts]

    def stop(self):
        for task in self.tasks:
            task.cancel()
        self.tasks = []

    @property
    def version(self):
        return self.state.table.version if self.state.table else 0

    def knows_leaving(self, name):
        target = self.state.fleet.targets.get(name)
        return target is None or target.leaving

    def receive(self, payload):
        """Apply a message, or keep it while the process is suspended."""
        if self.frozen:
            self.backlog.append(payload)
            return
        message = decode(payload)
        if isinstance(message, FleetView):
            self.relay.receive_progress(message.store)
        else:
            self.relay.receive_changes(message)


class RelayNet:
    """Instances, their store, and the links between the instances."""

    def __init__(self, count):
        self.store = SharedStore()
        self.members = {f"i{n}": Member(self, f"i{n}") for n in range(count)}
        self.publishers = {"i0"}
        self.cut, self.lost, self.too_large = set(), 0, False
        self.in_force, self.known_leaving = {}, {}

    def now(self):
        return LoopClock().now()

    def start(self):
        for member in self.members.values():
            member.start()
        self._tasks = [
            asyncio.create_task(self._send_views()),
            asyncio.create_task(self._sample()),
        ]

    def stop(self):
        for member in self.members.values():
            member.stop()
        for task in self._tasks:
            task.cancel()

    def broadcast(self, sender, message):
        payload = encode(message)
        is_view = isinstance(message, FleetView)
        if self.too_large and not is_view:
            return
        for member in self.members.values():
            if member is sender or {sender.name, member.name} & self.cut:
                continue
            if self.lost and not is_view:
                self.lost -= 1
                continue
            asyncio.get_running_loop().call_later(LINK_DELAY_S, member.receive, payload)

    def freeze(self, name):
        """Suspend an instance: its tasks stop, its messages are kept."""
        member = self.members[name]
        member.frozen = True
        member.stop()

    def thaw(self, name):
        member = self.members[name]
        member.frozen = False
        backlog, member.backlog = member.backlog, []
        for payload in backlog:
            member.receive(payload)
        member.start()

    async def _send_views(self):
        while True:
            for name in sorted(self.publishers):
                member = self.members[name]
                if member.frozen or not member.tasks:
                    continue
                view = FleetView(name, 1, 1, 1, store=member.relay.progress())
                self.broadcast(member, view)
            self.store.tick()
            await asyncio.sleep(VIEW_INTERVAL_S)

    async def _sample(self):
        """Record when each instance has each version and each leaving target."""
        while True:
            now_s = self.now()
            for member in self.members.values():
                self.in_force.setdefault((member.name, member.version), now_s)
                for (kind, name), obj in self.store.objects.items():
                    if kind != platform.TARGETS or obj.spec["state"] != "draining":
                        continue
                    if member.knows_leaving(name):
                        self.known_leaving.setdefault((member.name, name), now_s)
            await asyncio.sleep(SAMPLE_S)

    # What the operator and the targets write

    def accept(self, version):
        spec = {"version": version, "routes": [], "services": []}
        self.store.put(platform.CONFIG, platform.CONFIG_NAME, spec)

    def put_target(self, name, state="ready", models=()):
        spec = {
            "service": "s",
            "addr": ADDRESS,
            "zone": "a",
            "slots": 4,
            "state": state,
            "born": 1,
            "seq": 0,
            "models": [{"name": model, "adapters": []} for model in models],
        }
        self.store.put(platform.TARGETS, name, spec)
