"""Steps for floods of clients."""

import asyncio
import http.client
import time

from behave import given, then, when

from features.client_floods import (
    BODY_LIMIT,
    BOTH,
    CUT_AFTER_S,
    FLOODS,
    KB,
    LARGE_ANSWER_BYTES,
    MB,
    Crowd,
    SizedAnswers,
    call_slowly,
    call_whole,
    status_kb,
    wait_until_answered,
)
from features.entry_deployment import (
    config,
    put,
    ready_status,
    route,
    send,
    start_instance,
    start_store,
)
from features.platform_standin import StandinTarget
from features.processes import wait_for


@given("an instance on a machine with {memory:d} MB and {fds:d} descriptors")
def start_limited_instance(context, memory, fds):
    start_store(context)
    context.target = SizedAnswers()
    address = context.thread.call(context.target.start())
    for name in ("plain", "large"):
        target = StandinTarget(name, "", 0, name)
        spec = {**target.spec(), "addr": address, "slots": 200}
        put(context, "servers", name, spec)
    data = config()
    data["limits"]["max_body_bytes"] = BODY_LIMIT + 1
    data["routes"] = [
        route("any", "/any/", "safe", "plain", timeout_ms=30_000),
        route("large", "/large/", "safe", "large", timeout_ms=30_000, attempts=1),
    ]
    data["services"] = [
        {"name": name, "health_path": "/health", "max_conns": 200}
        for name in ("plain", "large")
    ]
    put(context, "config", "main", data)
    limits = {"limits.memory_mb": str(memory), "limits.max_fds": str(fds)}
    start_instance(context, "i1", 1, limits)
    wait_for(lambda: ready_status(context, "i1") == 200, "i1 is ready")
    context.crowd = None
    context.add_cleanup(leave, context)


def leave(context):
    if context.crowd is not None:
        context.thread.call(context.crowd.leave())
        context.crowd.stop()
        context.crowd = None


@when("{count:d} clients flood it with {kind} and stay connected")
def flood(context, count, kind):
    ip, pid = context.instances["i1"], context.deployment.processes["i1"].pid
    rest_kb = status_kb(pid, "VmRSS")
    context.crowd = crowd = Crowd(ip, pid)
    if kind == "nothing":
        context.thread.call(crowd.connect(count), 60)
    else:
        kinds = BOTH if kind not in FLOODS else (kind,)
        floods = [FLOODS[kinds[n % len(kinds)]] for n in range(count)]
        context.thread.call(crowd.send(floods), 60)
    crowd.sample()
    print(f"{rest_kb // KB} MB at rest")


@when("{count:d} clients, {batch:d} at a time, get {kind} and stay connected")
def get_answers(context, count, batch, kind):
    ip, pid = context.instances["i1"], context.deployment.processes["i1"].pid
    context.crowd = crowd = Crowd(ip, pid)
    for _ in range(0, count, batch):
        context.thread.call(crowd.send([FLOODS[kind]] * batch), 60)
    crowd.sample()


@then("an ordinary request is answered while they are connected")
def check_answered(context):
    wait_until_answered(lambda: send_ordinary(context))


@then(
    "{count:d} ordinary requests are answered within {most:g} s "
    "while they are connected"
)
def check_all_answered(context, count, most):
    began_s = time.monotonic()
    for _ in range(count):
        wait_until_answered(lambda: send_ordinary(context))
    took_s = time.monotonic() - began_s
    assert took_s <= most, f"{took_s:.1f} s"


def send_ordinary(context):
    try:
        return send(context, "POST", "/any/x", body=b"a" * 2_000)
    except http.client.HTTPException as exc:
        raise OSError("the connection was closed") from exc


@then("the process lives and stayed below {memory:d} MB and {fds:d} descriptors")
def check_limits(context, memory, fds):
    process = context.deployment.processes["i1"]
    assert process.poll() is None, f"exit code {process.poll()}"
    peak_mb = status_kb(process.pid, "VmHWM") * KB / MB
    sampled_mb = context.crowd.sampled_kb * KB / MB
    text = (
        f"peak {peak_mb:.0f} MB, with unread bytes {sampled_mb:.0f} MB, "
        f"{context.crowd.most_fds} descriptors"
    )
    print(text)
    assert max(peak_mb, sampled_mb) <= memory, text
    assert context.crowd.most_fds <= fds, text


@then("an ordinary request is answered after they are gone")
def check_answered_after(context):
    leave(context)
    wait_until_answered(lambda: send_ordinary(context))


@when("a client asks for 24 MB and begins to read after the target would have cut")
def ask_slowly(context):
    ip = context.instances["i1"]
    context.answer = context.thread.call(call_slowly(ip, 2 * CUT_AFTER_S), 60)


@then("it gets all of the answer")
def check_whole(context):
    size = context.answer.count(b"b")
    assert context.target.cut == 0 and size >= LARGE_ANSWER_BYTES, (
        f"{size} bytes of {LARGE_ANSWER_BYTES}, {context.target.cut} cut"
    )


@when("a client sends {kind} of the largest size")
def send_largest(context, kind):
    call = call_whole(context.instances["i1"], FLOODS[kind])
    context.status, context.size = asyncio.run(call)


@then("it gets status 200 and its body back")
def check_served(context):
    found = (context.status, context.size)
    assert context.status == 200 and context.size >= BODY_LIMIT - 4, found
