"""Steps for a store that comes back from a copy."""

import asyncio
import json

from aiohttp import web
from behave import given, then, when
from result import Err

from features.entry_deployment import WAIT_S, put, send
from features.platform_standin import StandinStore
from features.processes import wait_for
from marjoramstage import platform
from marjoramstage._entry import object_watcher
from marjoramstage._entry.event_log import EventLog
from marjoramstage._entry.instance_state import InstanceState
from marjoramstage._entry.store_watchers import (
    drop_missing_targets,
    watch_targets,
)
from marjoramstage.clock import SystemClock
from marjoramstage.logs import component_logger
from marjoramstage.protocol.objects import PlatformObject
from marjoramstage.state.fleet import FleetTarget
from marjoramstage.state.node_settings import NodeSettings
from marjoramstage.state.store_era import StoreEra
from marjoramstage.transport.client_connection import client_session

OBJECT = {"meta": {"name": "placement", "rev": 7}, "spec": {}}
EVENTS = {"events": [], "store_revision": 7}


@given("a client that knows era {era:d} of the store")
def know_era(context, era):
    context.era = StoreEra()
    context.era.observe(era)


@when("a {call} is answered with status {status:d} and era {era}")
def answer_call(context, call, status, era):
    async def handle(req):
        headers = {} if era == "none" else {"Store-Era": era}
        body = EVENTS if call == "watch" else OBJECT
        return web.json_response(body, status=status, headers=headers)

    async def run():
        async with served(handle) as address, client_session() as session:
            store = platform.ObjectStore(session, address, context.era)
            return await make_call(store, call)

    context.result = asyncio.run(run())


class served:
    """Serves requests with a handler; gives its address."""

    def __init__(self, handler):
        self._server = web.Server(handler, access_log=None)

    async def __aenter__(self):
        loop = asyncio.get_running_loop()
        self._listener = await loop.create_server(self._server, "127.0.0.1", 0)
        return f"127.0.0.1:{self._listener.sockets[0].getsockname()[1]}"

    async def __aexit__(self, *exc):
        self._listener.close()
        await self._server.shutdown(0.1)


async def make_call(store, call):
    """Make a call; return its first result."""
    if call == "watch":
        return await anext(store.watch(platform.TARGETS, "7"))
    if call == "write":
        return await store.update(PlatformObject(platform.LEASES, "placement", {}, "7"))
    return await store.get(platform.LEASES, "placement")


@then("the call gives {result}, and the client knows era {known:d}")
def check_call(context, result, known):
    found = context.result
    if isinstance(found, Err):
        error = found.err_value
        text = error.fault.value
        if error.verdict.value == "may-have-run":
            text += ", may have run"
    else:
        text = "an object"
    assert text == result, found
    assert context.era.current == known, context.era.current


def make_state():
    settings = NodeSettings("i1", "127.0.0.1", "a", "", "", "127.0.0.1:1", (1,))
    clock = SystemClock()
    return InstanceState(settings, clock, EventLog(component_logger("entry"), clock))


def target_spec(name):
    return {
        "service": "plain",
        "addr": "127.0.0.1:9",
        "zone": "a",
        "version": "v1",
        "slots": 8,
        "state": "ready",
        "seq": 0,
        "born": 1,
    }


@given("a watcher of targets t1 to t4 that has seen the store's newest revision")
def plan_watcher(context):
    context.names = ("t1", "t2", "t3", "t4")


@when("the store is put back to when it had t1 and t2, and t5 to t8 are written")
def restore_under_watcher(context):
    context.soon, context.later = asyncio.run(run_watcher(context.names))


async def run_watcher(names):
    """Return the targets known soon after the restore, and some time later."""
    standin, state, era = StandinStore(), make_state(), StoreEra()
    async with served(standin.handle) as address, client_session() as session:
        store = platform.ObjectStore(session, address, era)
        watcher = watch_targets(store, state)
        era.on_rise(watcher.on_store_restored)
        tasks = [
            asyncio.create_task(watcher.run()),
            asyncio.create_task(drop_missing_targets(watcher, state)),
        ]
        copy = standin.copy()
        for name in names:
            await standin.put("servers", name, target_spec(name))
            if name == "t2":
                copy = standin.copy()
        await until(lambda: set(state.fleet.targets) == set(names))
        await asyncio.sleep(2 * object_watcher.WATCH_INTERVAL_S)
        await standin.restore(copy)
        for name in ("t5", "t6", "t7", "t8"):
            await standin.put("servers", name, target_spec(name))
        await until(lambda: "t5" in state.fleet.targets)
        soon = set(state.fleet.targets)
        await asyncio.sleep(object_watcher.RECOVERY_SETTLE_S + 1.0)
        later = set(state.fleet.targets)
        for task in tasks:
            task.cancel()
    return soon, later


async def until(condition):
    """Wait until a condition holds; the timeout only ends a run that hangs."""
    async with asyncio.timeout(WAIT_S):
        while not condition():  # noqa: ASYNC110
            await asyncio.sleep(0.02)


@then("the watcher knows t1, t2 and t5 to t8 after the time for entries to return")
def check_later(context):
    assert context.later == {"t1", "t2", "t5", "t6", "t7", "t8"}, context.later


@then("it still knew t3 and t4 before that time was over")
def check_soon(context):
    assert {"t3", "t4"} <= context.soon, context.soon


@given("an instance that knows that target t1 in incarnation 1 leaves")
def know_leaving(context):
    context.state = make_state()
    context.state.put_target(plain_target(1, leaving=True))


def plain_target(incarnation, leaving=False):
    return FleetTarget(
        "t1", incarnation, "plain", "127.0.0.1:9", "a", 8, leaving=leaving
    )


@when("the store lists t1 in incarnation {incarnation:d} as ready")
def list_ready(context, incarnation):
    context.state.put_target(plain_target(incarnation))


@then("the instance sends it {work}")
def check_work(context, work):
    leaving = context.state.fleet.targets["t1"].leaving
    assert leaving == (work == "nothing"), leaving


@when("a stream of m2 is requested, and the store is put back to when it was new")
def restore_deployment(context):
    answer = send(context, "POST", "/night/x", "m2")
    assert answer.status == 200, answer.status
    context.fence = max(order["fence"] for order in orders(context))
    objects, events, revision = context.store.copy()
    kept = {key: obj for key, obj in objects.items() if "lease" not in key[0]}
    context.thread.call(context.store.restore((kept, events, revision - 3)))


def orders(context):
    return [order for target in context.targets.values() for order in target.orders]


@then("one instance takes the lease under a higher fencing number within 10 s")
def check_lease(context):
    def taken():
        found = context.store.objects.get(("marjoramstage-leases", "placement"))
        return found is not None and found["spec"]["fence"] > context.fence

    wait_for(taken, "the lease is taken anew")


@then("requests are served, also for a model that has to be loaded")
def check_served(context):
    put(context, "servers", "e1", context.targets["e1"].spec())
    assert send(context, "GET", "/any/x").status == 200
    for model in ("m3", "m1", "m2"):
        answer = send(context, "POST", "/night/x", model)
        assert answer.status in (200, 503), (model, answer.status, answer.body)
    later = [order for order in orders(context) if order["fence"] > context.fence]
    assert len({order["holder"] for order in later}) <= 1, later


@then("both instances logged that the store was restored")
def check_logged(context):
    for name in context.instances:
        lines = (context.deployment.folder / f"{name}.log").read_text().splitlines()
        found = [json.loads(line) for line in lines]
        assert any(line["event"] == "store restored" for line in found), name
