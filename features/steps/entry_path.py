"""Steps that run instances against stand-ins for the users' platform."""

import json
import re
import signal
import socket
import threading
import time

from behave import given, then, when

from features.entry_deployment import (
    BODY_LIMIT,
    HOST,
    WAIT_S,
    config,
    get,
    put,
    ready_status,
    send,
    start_instance,
    start_store,
    start_target,
)
from features.platform_standin import EVENTS
from features.processes import wait_for

PATHS = {"booking": ("POST", "/once/x"), "lookup": ("GET", "/any/x")}


@given(
    "a store, engines e1 with m1 and e2 with m3, services s1, s2, {count:d} instances"
)
def start_all(context, count):
    start_store(context)
    for name, service, models in (
        ("e1", "engine", {"m1"}),
        ("e2", "engine", {"m3"}),
        ("s1", "plain", None),
        ("s2", "plain", None),
    ):
        start_target(context, name, service, models)
    put(context, "config", "main", config())
    for number in range(1, count + 1):
        start_instance(context, f"i{number}", number)
    for name in context.instances:
        wait_for(
            lambda name=name: ready_status(context, name) == 200, f"{name} is ready"
        )


@when("every instance is sent requests of each kind")
def send_each(context):
    for row in context.table:
        for name in context.instances:
            body = b"x" * (BODY_LIMIT + 1) if row["request"] == "too large" else b"abc"
            headers = {"Request-Id": None} if row["request"] == "no id" else {}
            answer = send(
                context,
                row["method"],
                row["path"],
                row["model"],
                name,
                body,
                headers=headers,
            )
            seen = (row["request"], name, answer.status, answer.body)
            assert answer.status == int(row["status"]), seen
            assert row["contains"].encode() in answer.body, seen
            assert answer.whole, seen


@then("no request ran twice")
def check_once(context):
    runs = [run for target in context.targets.values() for run in target.runs]
    assert runs and len(runs) == len(set(runs)), runs


@then("no request ran twice at one target")
def check_once_each(context):
    for target in context.targets.values():
        assert len(target.runs) == len(set(target.runs)), target.runs


@then("the targets got their name, the remaining time and no reserved header")
def check_target_headers(context):
    for target in context.targets.values():
        for headers in target.headers:
            assert headers["Expect-Instance"] == target.name, headers
            assert 0 < int(headers["Deadline-Ms"]) <= 5000, headers
            assert "Hold" not in headers, headers
            assert headers.get("Urgency", "1") == "1", headers


@given("service s1 has fault {fault} and s2 is {other}")
def set_fault(context, fault, other):
    context.targets["s1"].fault = fault
    if other == "gone":
        context.thread.call(context.store.remove("servers", "s2"))
        time.sleep(2)


@when("a {kind} request is sent {count:d} times")
def send_many(context, kind, count):
    method, path = PATHS[kind]
    context.answers = [send(context, method, path) for _ in range(count)]


@then("every answer has status {status:d}")
def check_status(context, status):
    found = [answer.status for answer in context.answers]
    assert found == [status] * len(found), found
    if status == 503:
        assert all(float(a.headers["Retry-After"]) > 0 for a in context.answers)


@given("engine e2 holds m1 too and e1 breaks off each stream in its third event")
def break_streams(context):
    target = context.targets["e2"]
    target.models = {"m1"}
    target.born += 1
    put(context, "servers", "e2", target.spec())
    context.targets["e1"].fault = "break"
    # The lease holder requests a report from an engine that has restarted.
    time.sleep(2)


@when("{count:d} resumable and 6 other streams of m1 are requested")
def ask_streams(context, count):
    context.resumed = [send(context, "POST", "/night/x", "m1") for _ in range(count)]
    context.others = [send(context, "POST", "/chat/x", "m1") for _ in range(6)]


@then("each resumable stream has its events 1 to 5 once")
def check_resumed(context):
    for answer in context.resumed:
        assert answer.whole and _events(answer) == list(range(1, EVENTS + 1)), (
            answer.body
        )


def _events(answer):
    return [int(n) for n in re.findall(rb"^id: (\d+)$", answer.body, re.M)]


@then("each other stream is complete or visibly truncated")
def check_others(context):
    for answer in context.others:
        events = _events(answer)
        assert answer.whole == (len(events) == EVENTS), answer.body
        assert events == list(range(1, len(events) + 1)), answer.body


@given("engines e1 and e2 hold m1 in the versions v1 and v2 of their software")
def run_two_versions(context):
    target = context.targets["e2"]
    target.models, target.software = {"m1"}, "v2"
    target.born += 1
    put(context, "servers", "e2", target.spec())
    time.sleep(2)


@when("a caller takes up 6 streams of instance i1 at instance i2, after event 2")
def take_streams_up(context):
    context.taken_up = []
    for _ in range(6):
        first = send(context, "POST", "/night/x", "m1")
        headers = {"Last-Event-Id": "2", "Resumes": context.ids[-1]}
        rest = send(context, "POST", "/night/x", "m1", "i2", headers=headers)
        context.taken_up.append((first, rest))


@then("each goes on with events 3 to 5 of the engine whose version began it")
def check_taken_up(context):
    for first, rest in context.taken_up:
        assert _events(rest) == [3, 4, 5], (rest.status, rest.body)
        engines = [set(re.findall(rb"data: (\w+)", x.body)) for x in (first, rest)]
        assert engines[0] == engines[1], engines


@then("an unknown stream that is taken up gets 503 and when to come back")
def check_unknown(context):
    headers = {"Last-Event-Id": "2", "Resumes": "unknown"}
    answer = send(context, "POST", "/night/x", "m1", "i2", headers=headers)
    assert answer.status == 503, (answer.status, answer.body)
    assert float(answer.headers["Retry-After"]) > 0


@when("an instance is sent bytes that are no request")
def send_invalid_bytes(context):
    with socket.create_connection((context.instances["i1"], 8149)) as sock:
        sock.settimeout(WAIT_S)
        sock.sendall(b"what is this\r\n\r\n")
        context.invalid_answer = b""
        while block := sock.recv(4096):
            context.invalid_answer += block


@then("it answers 400 and closes the connection")
def check_invalid_bytes(context):
    assert re.match(rb"HTTP/1\.[01] 400 ", context.invalid_answer), (
        context.invalid_answer
    )


@when("a caller waits for the interim response before it sends its body")
def expect_continue(context):
    request_id = f"{next(context.numbers):016x}"
    with socket.create_connection((context.instances["i1"], 8149)) as sock:
        sock.settimeout(WAIT_S)
        sock.sendall(
            f"POST /once/x HTTP/1.1\r\nHost: {HOST}\r\nRequest-Id: {request_id}\r\n"
            "Expect: 100-continue\r\nContent-Length: 3\r\n"
            "Connection: close\r\n\r\n".encode()
        )
        context.continue_answer = sock.recv(100)
        sock.sendall(b"abc")
        context.rest = b""
        while block := sock.recv(4096):
            context.rest += block


@then("it is told to continue and its request is served")
def check_continue(context):
    assert context.continue_answer == b"HTTP/1.1 100 Continue\r\n\r\n", (
        context.continue_answer
    )
    assert context.rest.endswith(b"ran abc"), context.rest


@when("a caller disconnects in the middle of a stream")
def abandon_stream(context):
    context.targets["e1"].pause_s = 0.5
    with _open_stream(context, "i1") as sock:
        sock.recv(100)
    context.left_s = time.monotonic()


def _open_stream(context, name):
    request_id = f"{next(context.numbers):016x}"
    context.ids.append(request_id)
    sock = socket.create_connection((context.instances[name], 8149))
    sock.settimeout(WAIT_S)
    sock.sendall(
        f"POST /chat/x HTTP/1.1\r\nHost: {HOST}\r\nRequest-Id: {request_id}\r\n"
        "Model: m1\r\nDeadline-Ms: 8000\r\nContent-Length: 0\r\n\r\n".encode()
    )
    return sock


@then("the engine sees it disconnect within 1 s")
def check_abandoned(context):
    wait_for(
        lambda: context.ids[-1] in context.targets["e1"].abandoned, "the engine sees it"
    )


@when("service s1 announces that it drains")
def say_leaving(context):
    put(context, "servers", "s1", context.targets["s1"].spec("draining"))


@then("after 2 s no request reaches s1")
def check_leaving(context):
    time.sleep(2)
    before = len(context.targets["s1"].runs)
    send_many(context, "booking", 6)
    check_status(context, 200)
    assert len(context.targets["s1"].runs) == before


@when("the routes move /once/ to /twice/")
def move_route(context):
    put(context, "config", "main", config(2, "/twice/"))


@then("after 2 s /once/ is not found and /twice/ is served")
def check_moved(context):
    time.sleep(2)
    for name in context.instances:
        assert send(context, "POST", "/once/x", instance=name).status == 404
        assert send(context, "POST", "/twice/x", instance=name).status == 200


@when("the store becomes unreachable")
def store_away(context):
    context.store.offline = True
    time.sleep(2)


@then("requests are still served")
def check_served(context):
    for name in context.instances:
        assert send(context, "GET", "/any/x", instance=name).status == 200
        assert send(context, "POST", "/chat/x", "m1", name).status == 200
        assert ready_status(context, name) == 200


@when("an instance gets a stop signal in the middle of a stream")
def stop_instance(context):
    context.targets["e1"].pause_s = 0.5
    context.stream = _open_stream(context, "i1")
    context.first = context.stream.recv(100)
    context.stopped_s = time.monotonic()
    context.deployment.processes["i1"].send_signal(signal.SIGTERM)


@then("it is not ready at once, the stream is completed and its connection closed")
def check_stopping(context):
    time.sleep(0.2)
    assert ready_status(context, "i1") == 503
    body = context.first
    while block := context.stream.recv(4096):
        body += block
    context.stream.close()
    assert body.count(b"id: ") == EVENTS and body.endswith(b"0\r\n\r\n"), body


@then("it exits with code 0 within 8 s")
def check_exit(context):
    process = context.deployment.processes["i1"]
    assert process.wait(timeout=WAIT_S) == 0
    assert time.monotonic() - context.stopped_s < 8.0


@when("{count:d} streams of m2 are requested at both instances")
def ask_swapped(context, count):
    context.answers = []

    def ask(name):
        context.answers.append(send(context, "POST", "/night/x", "m2", name))

    threads = [
        threading.Thread(target=ask, args=(name,))
        for name in context.instances
        for _ in range(count // 2)
    ]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()


@then("every stream is complete")
def check_whole(context):
    for answer in context.answers:
        assert answer.status == 200 and answer.whole, (answer.status, answer.body)
        assert _events(answer) == list(range(1, EVENTS + 1)), answer.body


@then("all orders carry the same holder and fencing number")
def check_orders(context):
    orders = [o for w in context.targets.values() for o in w.orders]
    assert orders
    assert len({(o["holder"], o["fence"]) for o in orders}) == 1, orders
    assert all(o["fence"] >= 1 for o in orders), orders


def _settings(context, change):
    path = context.deployment.folder / "i1.conf"
    path.write_text(change(path.read_text()))


def _logged(context, event):
    lines = (context.deployment.folder / "i1.log").read_text().splitlines()
    return [line for line in lines if json.loads(line)["event"] == event]


@when("the settings of an instance get a grace of 5 s, without a signal")
def change_settings(context):
    _settings(context, lambda text: text.replace("grace_s=8", "grace_s=5"))


@then("it logs within 4 s that it has reloaded them")
def check_settings(context):
    wait_for(lambda: _logged(context, "settings reloaded"), "the settings are reloaded")


@when("the settings of an instance lose a line, with a signal")
def break_settings(context):
    _settings(context, lambda text: text.replace("zone=a\n", ""))
    context.deployment.processes["i1"].send_signal(signal.SIGHUP)


@then("it logs within 4 s what is missing and continues")
def check_broken(context):
    wait_for(
        lambda: _logged(context, "settings reload failed"),
        "the failed reload is logged",
    )
    assert "zone" in _logged(context, "settings reload failed")[0]
    assert send(context, "GET", "/any/x").status == 200


@then("the metrics address shows {count:d} requests that were answered")
def check_metrics(context, count):
    text = get(context.instances["i1"], 9464, "/metrics").body.decode()
    found = re.findall(
        r'^marjoramstage_requests_total{outcome="answered",rank="1"} (\S+)$', text, re.M
    )
    assert [float(x) for x in found] == [float(count)], text


@then("each line of an instance's output is a JSON object with an event")
def check_lines(context):
    lines = (context.deployment.folder / "i1.log").read_text().splitlines()
    assert lines
    for line in lines:
        assert json.loads(line)["event"], line
