"""Steps about lists of several pages and the watch after them."""

import asyncio
import json
import random
from unittest import mock

from behave import given, then, when
from result import Err, Ok

from features.notice_machine import make_state
from features.paged_store import PagedStore, served
from features.relayed_store import RelayNet
from features.virtual_asyncio import VirtualTimeLoop, run_virtual
from marjoramstage import platform
from marjoramstage._entry.store_relay import StoreRelay
from marjoramstage._entry.store_watchers import drop_missing_targets, watch_targets
from marjoramstage.platform._store import ObjectStore
from marjoramstage.protocol.objects import (
    ObjectList,
    PlatformError,
    PlatformFault,
    PlatformObject,
    WatchEvent,
    WatchType,
)
from marjoramstage.protocol.store_changes import decode_changes
from marjoramstage.state.store_era import StoreEra
from marjoramstage.transport.client_connection import client_session

KIND = "servers"
COPY_SIZE = 1100
WAIT_S = 6.0
CHANGED = 20
PAGE = 500


def spec(state="ready", slots=8):
    return {
        "service": "plain",
        "addr": "127.0.0.1:9",
        "zone": "a",
        "version": "v1",
        "slots": slots,
        "state": state,
        "seq": 0,
        "born": 1,
    }


def name_of(number):
    return f"t{number:04d}"


@given("a store with {count:d} targets, in pages of {size:d}")
def make_store(context, count, size):
    context.store = PagedStore(size)
    context.count = count
    for number in range(count):
        if number == COPY_SIZE:
            context.copy = context.store.copy()
        context.store._store(KIND, name_of(number), spec())


def numbers(first_page, count=CHANGED):
    """Return the numbers of some targets of a page."""
    begin = (first_page - 1) * PAGE + 50
    return range(begin, begin + count)


async def apply_change(store, change, copy):
    """Make a change of the table."""
    pages = [int(word) for word in change.split() if word in ("1", "2", "3")]
    found = [number for page in pages for number in numbers(page)]
    if "copy" in change:
        await store.restore(copy)
        return
    for number in found:
        name = name_of(number)
        if "leave" in change:
            await store.put(KIND, name, spec("draining"))
        elif "removed" in change:
            await store.remove(KIND, name)
        elif "join" in change:
            await store.put(KIND, f"{name}-new", spec())
        else:
            await store.put(KIND, name, spec(slots=16))
        if "again" in change:
            await store.put(KIND, name, spec(slots=16))


class Watching:
    """A watcher of the targets of a store that is served over HTTP."""

    def __init__(self, store):
        self.served, self.session = served(store.handle), client_session()
        self.store = store

    async def __aenter__(self):
        self.state = make_state(asyncio.get_running_loop())
        era = StoreEra()
        address = await self.served.__aenter__()
        session = await self.session.__aenter__()
        self.client = platform.ObjectStore(session, address, era, watch_wait_s=0.3)
        self.watcher = watch_targets(self.client, self.state)
        era.on_rise(self.watcher.on_store_restored)
        self.tasks = [
            asyncio.create_task(self.watcher.run()),
            asyncio.create_task(drop_missing_targets(self.watcher, self.state)),
        ]
        return self

    async def __aexit__(self, *exc):
        for task in self.tasks:
            task.cancel()
        await self.session.__aexit__(*exc)
        await self.served.__aexit__(*exc)

    async def until(self, condition, for_s=WAIT_S):
        """Wait until a condition holds for the state; return whether it did."""
        loop = asyncio.get_running_loop()
        end_s = loop.time() + for_s
        while loop.time() < end_s:
            if condition(self.state):
                return True
            await asyncio.sleep(0.05)
        return condition(self.state)


def known(state):
    return {t.name: (t.leaving, t.slots) for t in state.fleet.targets.values()}


def stored(store):
    return {
        name: (obj["spec"]["state"] == "draining", obj["spec"]["slots"])
        for (kind, name), obj in store.objects.items()
        if kind == KIND
    }


@when("a watcher lists them, and before page {page:d} {change}")
def list_with_change(context, page, change):
    store, done = context.store, []

    async def before_page(number):
        if number + 1 == page and not done:
            done.append(True)
            await apply_change(store, change, getattr(context, "copy", None))

    async def run():
        store.before_page = before_page
        async with Watching(store) as watching:
            context.same = await watching.until(
                lambda state: done and known(state) == stored(store)
            )
            context.known, context.stored = known(watching.state), stored(store)
            revisions = {o.name: o.version for o in watching.watcher._objects.values()}
            context.revisions = revisions

    asyncio.run(run())


@then("it knows what the store has within 6 s, and the revisions of all")
def check_known(context):
    found, wanted = context.known, context.stored
    diff = {n for n in found.keys() | wanted if found.get(n) != wanted.get(n)}
    assert context.same, (len(diff), sorted(diff)[:5])
    revisions = {
        name: str(obj["meta"]["rev"])
        for (_, name), obj in context.store.objects.items()
    }
    assert context.revisions == revisions


# Several instances


class PagedClient(ObjectStore):
    """The client that one instance has of a shared store; lists have pages."""

    def __init__(self, net, name, era, page_size):
        super().__init__(None, "", era)
        self._net, self._name, self._page_size = net, name, page_size

    async def _call(self, method, url, params=None, body=None, idle_timeout_s=None):
        store = self._net.store
        error = await store.begin(self._name)
        if error is not None:
            return error
        self._era.observe(store.era)
        await self._net.between_calls()
        kind = platform.TARGETS if url.endswith(KIND) else platform.CONFIG
        if "watch" in params:
            return await self._changes(kind, params)
        names = sorted(n for k, n in store.objects if k == kind)
        names = [name for name in names if name > params.get("after", "")]
        page = [store.objects[kind, name] for name in names[: self._page_size]]
        more = len(names) > len(page)
        data = {"items": [as_json(obj) for obj in page], "more": more}
        return Ok(json.loads(json.dumps({**data, "store_revision": store.revision})))

    async def _changes(self, kind, params):
        store, since = self._net.store, int(params["watch"])
        if self._net.rng.random() < self._net.expired_share:
            return Err(PlatformError(PlatformFault.EXPIRED, None, "gone"))
        await store.wait(kind, since, int(params["wait_ms"]) / 1000)
        events = []
        for revision, type_, obj in store.log:
            if revision > since and obj.kind == kind:
                gone = type_.value == "DELETED"
                events.append({"object": as_json(obj, revision), "deleted": gone})
        return Ok({"events": events, "store_revision": store.revision})


def as_json(obj, revision=None):
    meta = {"name": obj.name, "rev": int(revision or obj.version)}
    return {"meta": meta, "spec": obj.spec}


class PagedNet(RelayNet):
    """Instances that relay what they read; the store changes between calls."""

    def __init__(self, count, page_size):
        super().__init__(count)
        self.rng, self.active, self.expired_share = random.Random(0), False, 0.0
        for name, member in self.members.items():
            client = PagedClient(self, name, member.era, page_size)
            for watcher in (member.routes, member.targets):
                watcher._store = client

    async def between_calls(self):
        if not self.active:
            return
        for _ in range(self.rng.randrange(3)):
            name = f"t{self.rng.randrange(30):02d}"
            listed = (platform.TARGETS, name) in self.store.objects
            if listed and self.rng.random() < 0.5:
                self.store.remove(platform.TARGETS, name)
            else:
                state = self.rng.choice(("ready", "draining"))
                self.put_target(name, state, models=(f"m{self.rng.randrange(9)}",))
        await asyncio.sleep(self.rng.random() * 0.05)


@given("{count:d} instances of which one tells the others, and a store in pages of 7")
def make_net(context, count):
    context.count = count


@when("targets join, change and leave for 40 s, and lists begin anew, seed {seed:d}")
def run_net(context, seed):
    async def run():
        net = PagedNet(context.count, 7)
        net.rng, net.active, net.expired_share = random.Random(seed), True, 0.2
        for number in range(20):
            net.put_target(f"t{number:02d}")
        net.start()
        for step in range(8):
            await asyncio.sleep(5.0)
            net.publishers = {f"i{net.rng.randrange(context.count)}"}
            if step % 3 == 1:
                net.lost = 2
        net.active, net.expired_share = False, 0.0
        await asyncio.sleep(WAIT_S)
        net.stop()
        return net

    context.net = run_virtual(run())


@then("each instance knows what the store has within 6 s")
def check_net(context):
    store = context.net.store
    wanted = {
        name: obj.spec["state"] == "draining"
        for (kind, name), obj in store.objects.items()
        if kind == platform.TARGETS
    }
    for member in context.net.members.values():
        targets = member.state.fleet.targets
        found = {name: target.leaving for name, target in targets.items()}
        assert found.keys() == wanted.keys(), (member.name, found.keys() ^ wanted)
        # A target that leaves stays so in its incarnation, whatever an entry says.
        missed = [name for name in wanted if wanted[name] and not found[name]]
        assert not missed, (member.name, missed)


# Entries that can't be read

ODD = "@odd@"
REPLACED = {
    "bytes in its address that are not UTF-8": ("addr", b"\xff\xfe\x80"),
    "half a surrogate pair in its service": ("service", b"\\ud800"),
    "control characters in its address": ("addr", b"\x01\x02\x1f"),
}
NAMES = {
    "bytes in its name that are not UTF-8": b"%s\xff",
    "half a surrogate pair in its name": b"%s\\udc00",
}


def write_odd(store, name, odd):
    """Write an odd entry in place of a good one."""
    known_obj = store.objects.pop((KIND, name))
    if odd in REPLACED:
        field, raw = REPLACED[odd]
        store.odd[f"{name}{ODD}"] = raw
        store._store(KIND, name, {**spec(), field: f"{name}{ODD}"})
        return
    store._store(KIND, name, spec())
    obj = store.objects[KIND, name]
    text = json.dumps(obj["meta"]["name"])
    if odd in NAMES:
        store.odd[text] = b'"' + NAMES[odd].replace(b"%s", name.encode()) + b'"'
    elif odd == "a number for its name":
        store.odd[text] = b"7"
    elif odd == "no name":
        del obj["meta"]["name"]
    elif odd == "no revision":
        del obj["meta"]["rev"]
    elif odd == "a revision that is a text of 5000 digits":
        obj["meta"]["rev"] = "7" * 5000
    elif odd == "null instead of the entry":
        store.odd[json.dumps(obj)] = b"null"
    else:
        assert "fails to handle" in odd, odd
        obj["spec"]["addr"] = "fails:1"
    assert known_obj


def failing(decode):
    """Return a decoder that has a fault."""

    def run(name, data):
        if isinstance(data, dict) and data.get("addr") == "fails:1":
            raise RuntimeError("a fault of this program")
        return decode(name, data)

    return run


@when("the entry of t0004 is written with {odd} and a watcher lists the targets")
def list_odd(context, odd):
    store, context.found = context.store, []

    async def run():
        write_odd(store, "t0004", odd)
        async with Watching(store) as watching:
            await watching.until(lambda state: len(state.fleet.targets) >= 11)
            context.found.append(set(watching.state.fleet.targets))
            write_odd(store, "t0007", odd)
            await store.remove(KIND, "t0009")
            gone = {"t0009"} if "name" in odd or "null" in odd else {"t0007", "t0009"}
            await watching.until(lambda state: not gone & state.fleet.targets.keys())
            context.found.append(set(watching.state.fleet.targets) - {"t0007"})

    decode = failing(platform.decode_target)
    with mock.patch.object(platform, "decode_target", decode):
        asyncio.run(run())


@then("it knows the other 11 targets")
def check_eleven(context):
    wanted = {name_of(n) for n in range(12) if n != 4}
    assert context.found[0] == wanted, context.found[0] ^ wanted


@when("the same has happened to t0007, and t0009 has left")
def note_second(context):
    pass  # done by the step before, in the same run


@then("it knows the other 9 targets")
def check_nine(context):
    wanted = {name_of(n) for n in range(12) if n not in (4, 7, 9)}
    assert context.found[1] == wanted, context.found[1] ^ wanted


@when("all names of page 2 are not UTF-8 and the targets are listed")
def list_unreadable_page(context):
    for number in range(5, 10):
        text = json.dumps(name_of(number))
        context.store.odd[text] = b'"\xff' + str(number).encode() + b'"'

    async def run():
        async with served(context.store.handle) as address, client_session() as session:
            return await platform.ObjectStore(session, address).list(platform.TARGETS)

    context.result = asyncio.run(run())


@then("the list is unavailable")
def check_unavailable(context):
    assert isinstance(context.result, Err), context.result
    assert context.result.err_value.fault is PlatformFault.UNAVAILABLE


# What others are told after a list


class ListedStore:
    """A list whose later page is newer than its first one, and a watch after it."""

    def __init__(self):
        self.obj = PlatformObject(platform.TARGETS, "t1", spec(), "12")

    async def list(self, kind, labels=None):
        return Ok(ObjectList((self.obj,), "10"))

    async def watch(self, kind, version, labels=None, wait_s=None):
        assert version == "10", version
        gone = PlatformObject(platform.TARGETS, "t2", spec(), "11")
        yield Ok(WatchEvent(WatchType.DELETED, "14", gone))
        yield Ok(WatchEvent(WatchType.MODIFIED, "14", self.obj))
        yield Ok(WatchEvent(WatchType.BOOKMARK, "14"))


@given("a watcher that tells others, and a list of revision 10 with t1 of revision 12")
def make_telling_watcher(context):
    context.loop, context.sent = VirtualTimeLoop(), []
    state = make_state(context.loop)
    relay = StoreRelay(StoreEra(), state.events, 1.0, lambda: True, context.sent.append)
    context.watcher = watch_targets(ListedStore(), state, relay)


@when("its watch from there repeats t1, and that t2 was removed")
def watch_once(context):
    async def run():
        for _ in range(2):
            assert await context.watcher._sync_once() is None

    context.loop.run_until_complete(run())


@then("it tells others both, as changes after revision 10")
def check_told(context):
    (message,) = context.sent
    assert (message.since, message.revision) == (10, 14), message
    changes = decode_changes(platform.TARGETS, message.content).ok_value
    assert [obj.name for obj in changes.written] == ["t1"], changes
    assert changes.removed == ("t2",), changes
