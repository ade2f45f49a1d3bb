"""Steps for keys that change while requests are under way, and the search for them."""

import asyncio
import gc
import io
import logging
import zlib

from behave import given, then, when

from features.keyed_instance import (
    KEYS,
    KeyedInstance,
    KeyedTarget,
    routes_with,
)
from features.relayed_store import LoopClock, RelayNet
from features.virtual_asyncio import run_virtual
from marjoramstage import platform
from marjoramstage._entry.prometheus_metrics import MAX_CUSTOMERS, PrometheusMetrics
from marjoramstage.coordination.config_versions import ConfigVersions
from marjoramstage.protocol.peers import FleetView, StoreChanges, decode
from marjoramstage.state.customers import Customer

# Requests that fill the slots of a target and those that it may queue.
BUSY = 12
KEY = KEYS["good"][0]
BEARER = f"Bearer {KEY}"
CHANGES = {
    "removed": {**KEYS, "good": []},
    "given to other": {"good": [], "other": [*KEYS["other"], KEY]},
    "kept": {**KEYS, "third": ["KEY-third"]},
    "required first": {},
}
SETTLE_S = 0.1


async def _in_queue(change):
    """Change the keys while a request waits for one of the slots."""
    target = KeyedTarget("long")
    async with KeyedInstance([target]) as instance:
        key = f"Bearer {KEYS['other'][0]}"
        busy = [
            asyncio.create_task(instance.send("/any/x", f"b{n}", Authorization=key))
            for n in range(BUSY)
        ]
        await asyncio.sleep(SETTLE_S)
        waiting = asyncio.create_task(instance.send("/any/x", Authorization=BEARER))
        await asyncio.sleep(SETTLE_S)
        instance.set_keys(CHANGES[change])
        received = await waiting
        await asyncio.gather(*busy)
    return received, [h for h in target.requests if h["Request-Id"] == "r1"]


async def _before_keys():
    """Require keys while a request of the time before waits for a slot."""
    target = KeyedTarget("long")
    async with KeyedInstance([target]) as instance:
        instance.state.table.customers = None
        busy = [
            asyncio.create_task(instance.send("/any/x", f"b{n}")) for n in range(BUSY)
        ]
        await asyncio.sleep(SETTLE_S)
        waiting = asyncio.create_task(instance.send("/any/x", Authorization="x"))
        await asyncio.sleep(SETTLE_S)
        instance.set_keys(KEYS)
        received = await waiting
        await asyncio.gather(*busy)
    return received, [h for h in target.requests if h["Request-Id"] == "r1"]


async def _at_target(first, change):
    """Change the keys when the first attempt arrives at its target."""
    targets = [KeyedTarget(first), KeyedTarget(first)]
    sent = []
    async with KeyedInstance(targets) as instance:

        def on_request(req):
            sent.append(req.headers)
            if len(sent) == 1:
                instance.set_keys(CHANGES[change])
                for target in targets:
                    target.first = "runs" if first != "long" else first

        for target in targets:
            target.on_request = on_request
        received = await instance.send("/any/x", Authorization=BEARER)
    return received, sent


async def _before_writing(change):
    """Change the keys while the connection to the target is being made."""
    target = KeyedTarget()
    async with KeyedInstance([target]) as instance:
        send = instance._client.send

        async def change_and_send(*args, **kwargs):
            if instance.state.table.version == 2:
                instance.set_keys(CHANGES[change])
            return await send(*args, **kwargs)

        instance._client.send = change_and_send
        received = await instance.send("/once/x", Authorization=BEARER)
    return received, target.requests


def _play(state, change):
    match state:
        case "waits for a target" if change == "required first":
            return _before_keys()
        case "waits for a target":
            return _in_queue(change)
        case "was refused by a target":
            return _at_target("refuses", change)
        case "may have run at a target":
            return _at_target("breaks", change)
        case "runs at a target":
            return _at_target("long", change)
    return _before_writing(change)


@then("the caller of a request that {state} gets {status:d} when its key is {change}")
def check_status(context, state, status, change):
    received, context.sent = asyncio.run(_play(state, change))
    assert received.status == status, received


@then("the targets got it {sent:d} times, the last time for {customer}")
def check_sent(context, sent, customer):
    assert len(context.sent) == sent, context.sent
    if context.sent:
        last = context.sent[-1]
        assert last.getall("Tenant") == [customer], last
        assert "Authorization" not in last, last


@given("requests of a known and an unknown key that run, wait and were refused")
def make_traces(context):
    context.texts = asyncio.run(_collect_texts())


async def _collect_texts():
    lines = io.StringIO()
    handler = logging.StreamHandler(lines)
    handler.setFormatter(_AllFields())
    logging.getLogger().addHandler(handler)
    texts = []
    target = KeyedTarget("long")
    try:
        async with KeyedInstance([target]) as instance:
            sent = [
                instance.send("/any/x", f"r{n}", Authorization=key)
                for n, key in enumerate([BEARER] * (BUSY + 2) + ["Bearer KEY-none"])
            ]
            tasks = [asyncio.create_task(request) for request in sent]
            await asyncio.sleep(SETTLE_S)
            texts += _descriptions()
            assert any("RequestContext(" in text for text in texts)
            instance.set_keys(CHANGES["removed"])
            texts += [str(await task) for task in tasks]
            texts.append(instance.metrics.exposition().decode())
            texts += _descriptions()
    finally:
        logging.getLogger().removeHandler(handler)
    assert "key refused" in lines.getvalue() and "withdrawn" in lines.getvalue()
    return [*texts, lines.getvalue()]


class _AllFields(logging.Formatter):
    """Writes a record with all its fields."""

    def format(self, record):
        return str(record.__dict__)


def _descriptions():
    """Return the text form of each object of the product."""
    found = []
    for obj in gc.get_objects():
        if str(type(obj).__module__).startswith("marjoramstage."):
            found.append(f"{obj!r} {obj!s}")
    return found


@then("no log line, metric, answer or description of an object contains a key")
def check_texts(context):
    assert len(context.texts) > 100
    for text in context.texts:
        assert "KEY-" not in text, text


@given("6 instances with customers, of which one reads the store for the others")
def make_net(context):
    context.keys = {"good": ["KEY-good-1", "KEY-good-2"], "other": ["KEY-other-1"]}


def _put_keys(net, version, keys):
    tenants = [{"name": name, "api_keys": held} for name, held in keys.items()]
    spec = {"version": version, "routes": [], "services": [], "tenants": tenants}
    net.store.put(platform.CONFIG, platform.CONFIG_NAME, spec)


@when("a key is removed while the store turns the others away")
def remove_key(context):
    async def run():
        net = context.net = RelayNet(6)
        context.payloads = []
        for member in net.members.values():
            receive = member.receive
            member.receive = lambda payload, receive=receive: (
                context.payloads.append(payload),
                receive(payload),
            )
        _put_keys(net, 1, context.keys)
        net.start()
        await asyncio.sleep(3.0)
        net.store.refused = set(net.members) - {"i0"}
        _put_keys(net, 2, {**context.keys, "good": ["KEY-good-2"]})
        removed_s = LoopClock().now()
        await asyncio.sleep(6.0)
        net.stop()
        return removed_s

    context.removed_s = run_virtual(run())


@then("each instance refuses it within {most:g} s and knows the other keys")
def check_removed(context, most):
    for name, member in context.net.members.items():
        customers = member.state.table.customers
        took_s = context.net.in_force[name, 2] - context.removed_s
        assert took_s <= most, (name, took_s)
        assert customers.find("KEY-good-1") is None, name
        assert customers.find("KEY-good-2").name == "good", name
        assert customers.find("KEY-other-1").name == "other", name


@then("no message between them contains a key")
def check_messages(context):
    changes = 0
    for payload in context.payloads:
        assert b"KEY-" not in payload
        message = decode(payload)
        if isinstance(message, StoreChanges):
            content = zlib.decompress(message.content)
            assert b"good" in content and b"KEY-" not in content, content
            changes += 1
    assert changes


@then("it {does} when it has had {older} version for {time_s:g} s and {before}")
def check_outdated(context, does, older, time_s, before):
    versions = ConfigVersions()
    own = {"an older": 5, "the same": 6, "a later": 7}[older]
    versions.applied(own, has_customers=True)
    if before == "was in step before":
        versions.told(own, 0.0)
    versions.told(6, 10.0)
    assert versions.is_outdated(10.0 + time_s, 1.0) == (does == "refuses")
    versions.applied(max(own, 6), has_customers=True)
    assert not versions.is_outdated(20.0, 1.0)


@then("it answers 503 until it has the version of the others, never 401")
def check_started_outdated(context):
    async def run():
        async with KeyedInstance([KeyedTarget()]) as instance:
            version = instance.state.table.version
            instance.state.apply_view(FleetView("i2", 1, 1, 2, config_version=9))
            found = [
                (await instance.send("/any/x", Authorization=key)).status
                for key in (BEARER, "Bearer KEY-none")
            ]
            table = routes_with(CHANGES["removed"], 9)
            instance.state.apply_routes(table)
            assert version < 9
            found.append((await instance.send("/any/x", Authorization=BEARER)).status)
            return found

    assert asyncio.run(run()) == [503, 503, 401]


@then("{count:d} customers get {most:d} series at most")
def check_labels(context, count, most):
    assert most == MAX_CUSTOMERS + 1
    metrics = PrometheusMetrics()
    for number in range(count):
        metrics.observe_customer(Customer(f"c{number}"), True)
    lines = metrics.exposition().decode().splitlines()
    found = [x for x in lines if x.startswith("marjoramstage_customer_requests_total{")]
    assert len(found) == most, found
