"""Steps for bytes without end."""

import asyncio
import logging
import os
import threading
import time
from collections import Counter

from behave import given, then, when

from features.endless_bytes import (
    ANSWERS,
    EndlessEngine,
    EndlessProductTarget,
    EndlessStore,
    EndlessTarget,
    call_with_endless_request,
)
from features.entry_deployment import (
    config,
    get,
    put,
    ready_status,
    route,
    send,
    start_instance,
    start_store,
    start_target,
)
from features.processes import wait_for
from features.request_faults import FaultCell, FaultScript, send_request

MB = 1_000_000
# Memory of a machine.
MACHINE_MB = 300
STREAM_ROUTE = "/chat/"
MODEL_ROUTE = "/model/"
CONTROL_PATHS = {"reports": "/api/report", "orders": "/api/order"}


@given("an instance with a target whose answers have no end")
def start_instance_with_endless(context):
    start_store(context)
    start_target(context, "s1", "sound", None)
    context.endless = EndlessTarget()
    context.thread.call(context.endless.start())
    spec = context.targets["s1"].spec()
    put(
        context,
        "servers",
        "x1",
        {**spec, "service": "plain", "addr": context.endless.address, "slots": 64},
    )
    data = config()
    data["routes"] = [
        route("once", "/once/", "unsafe", "plain", attempts=1),
        route("any", "/any/", "safe", "plain", attempts=1),
        route("chat", STREAM_ROUTE, "stream", "plain", attempts=1),
        route("model", MODEL_ROUTE, "stream", "engine", attempts=1),
        route("sound", "/sound/", "safe", "sound"),
    ]
    data["services"].append(
        {"name": "sound", "health_path": "/health", "max_conns": 50}
    )
    put(context, "config", "main", data)
    start_instance(context, "i1", 1)
    wait_for(lambda: ready_status(context, "i1") == 200, "i1 is ready")
    context.sent = Counter()


@when("{count:d} requests at once get each kind of endless answer")
def get_endless_answers(context, count):
    context.most = {row["kind"]: int(row["most MB"]) for row in context.table}
    context.count = count
    for row in context.table:
        threads = [
            threading.Thread(target=ask, args=(context, row["path"], row["kind"]))
            for _ in range(count)
        ]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
        wait_for(lambda: context.endless.open == 0, f"{row['kind']} ends")
    context.sent = context.endless.sent


def ask(context, path, kind):
    method = "GET" if path.startswith("/any/") else "POST"
    try:
        send(context, method, path, headers={"X-Endless": kind, "Deadline-Ms": "8000"})
    except (OSError, ValueError, EOFError):
        pass
    except Exception as exc:
        assert "HTTP" in type(exc).__mro__[1].__name__, exc


@when("{count:d} callers at once send each kind of endless request")
def send_endless_requests(context, count):
    context.most = {row["kind"]: int(row["most MB"]) for row in context.table}
    context.count = count
    send_to(context, 8149, [row["kind"] for row in context.table] * count)


@when("endless bytes of kind {kind} are sent to its ports for {ports}")
def send_to_ports(context, kind, ports):
    context.most, context.count = {kind: 10}, 3
    for port in (8141, 9464, 7380):
        send_to(context, port, [kind])


def send_to(context, port, kinds):
    address = f"{context.instances['i1']}:{port}"

    async def run():
        calls = [call_with_endless_request(address, kind) for kind in kinds]
        return await asyncio.gather(*calls)

    for kind, sent in zip(kinds, asyncio.run(run()), strict=True):
        context.sent[kind] += sent


@then("no more of each was taken and its connections are closed")
def check_sent(context):
    found = {kind: context.sent[kind] / MB / context.count for kind in context.most}
    print({kind: round(mb, 1) for kind, mb in found.items()})
    assert all(found.values()), f"MB taken of each: {found}"
    too_many = {k: round(n) for k, n in found.items() if n > context.most[k]}
    assert not too_many, f"MB taken of each: {too_many}"


@then("no attempt was ended by its timeout")
def check_no_timeout(context):
    text = get(context.instances["i1"], 9464, "/metrics").body.decode()
    assert "marjoramstage_failed_attempts_total" in text
    assert 'reason="timeout"' not in text, text


@then("the instance never took more than {most:d} MB of memory and still serves")
def check_memory(context, most):
    check_serving(context)
    peak, used_s = process_figures(context)
    print(f"peak {peak:.0f} MB, {used_s:.1f} s of processor time")
    assert peak <= most, f"{peak:.0f} MB"


def process_figures(context):
    """Return the peak memory in MB and the processor time of the instance in s."""
    pid = context.deployment.processes["i1"].pid
    with open(f"/proc/{pid}/status") as file:
        rows = dict(line.split(":", 1) for line in file)
    with open(f"/proc/{pid}/stat") as file:
        fields = file.read().rpartition(")")[2].split()
    ticks = int(fields[11]) + int(fields[12])
    return int(rows["VmHWM"].split()[0]) / 1000, ticks / os.sysconf("SC_CLK_TCK")


def check_serving(context):
    answer = send(context, "GET", "/sound/x")
    assert answer.status == 200, (answer.status, answer.body)
    assert get(context.instances["i1"], 8141, "/api/ready").status == 200


@when("the store sends an endless {kind} for {seconds:d} s")
def make_store_endless(context, kind, seconds):
    """Take the place of the store at its address."""
    context.thread.stop_serving(context.store_address)
    store = EndlessStore(kind)
    host, port = context.store_address.split(":")
    context.thread.call(store.start(host, int(port)))
    time.sleep(seconds)
    context.endless_store = store


@then("the instance took at most {most:d} MB from the store and serves on")
def check_store(context, most):
    check_serving(context)
    check_taken(context, context.endless_store, most)


def check_taken(context, peer, most):
    """Check what was taken from a peer, and the memory of the instance."""
    taken = sum(peer.sent.values()) / MB
    peak, used_s = process_figures(context)
    print(f"{taken:.0f} MB, peak {peak:.0f} MB, {used_s:.1f} s of processor time")
    assert taken <= most, f"{taken:.0f} MB taken"
    assert peak <= MACHINE_MB, f"{peak:.0f} MB"


@when("an engine joins whose reports have no end")
def join_engine(context):
    add_engine(context, lambda report: EndlessTarget())
    time.sleep(4)


@when("an engine joins whose answers to {call} are an endless {kind}")
def join_engine_with(context, call, kind):
    path = CONTROL_PATHS[call]
    add_engine(context, lambda report: EndlessEngine(path, kind, report))


def add_engine(context, make_engine):
    """List an engine; the peer that ``make_engine`` returns is at its address."""
    start_target(context, "e1", "engine", {"m1"})
    target = context.targets["e1"]
    context.engine = make_engine(target._report())
    context.thread.call(context.engine.start())
    put(context, "servers", "e1", {**target.spec(), "addr": context.engine.address})


@when("a model that it lacks is asked for, for {seconds:d} s")
def ask_for_model(context, seconds):
    headers = {"Deadline-Ms": str(seconds * 1000)}
    ends_s = time.monotonic() + seconds
    while time.monotonic() < ends_s:
        send(context, "POST", MODEL_ROUTE, "m2", headers=headers)
        time.sleep(0.1)


@then("the instance took at most {most:d} MB in reports within 4 s and still serves")
@then("the instance took at most {most:d} MB in these answers and still serves")
def check_control_answers(context, most):
    check_serving(context)
    assert context.engine.begun
    check_taken(context, context.engine, most)


@when(
    "{count:d} requests at once get each kind of endless answer on the product's "
    "interface"
)
def get_product_answers(context, count):
    context.most, context.sent, context.count = {}, Counter(), 1
    logging.disable(logging.CRITICAL)
    try:
        for row in context.table:
            name = f"{row['kind']} to a {row['request']}"
            context.most[name] = int(row["most MB"])
            sent = asyncio.run(run_product_cell(row["kind"], row["request"], count))
            context.sent[name] = sent
    finally:
        logging.disable(logging.NOTSET)


async def run_product_cell(kind, request, count):
    """Return the bytes taken of each answer to requests at one instance."""
    cell = FaultCell(request, FaultScript())
    target = EndlessProductTarget(cell.targets[0].kind, ANSWERS[kind])
    cell.targets = [target]
    async with cell:
        address = cell.instances[0].address
        calls = [
            send_request(address, request, key=f"k{n}" if request == "keyed" else "")
            for n in range(count)
        ]
        received = await asyncio.gather(*calls)
        assert all(got.status in (200, 502) for got in received), received
        assert not any(got.whole and got.status == 200 for got in received), received
    return target.sent / target.connections
