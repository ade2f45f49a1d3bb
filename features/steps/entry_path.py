"""Steps that run instances against stand-ins for the users' platform."""

import http.client
import json
import os
import re
import signal
import socket
import threading
import time

from behave import given, then, when

from features.platform_standin import EVENTS, LoopThread, StandinStore, StandinTarget
from features.processes import Deployment, free_address, wait_for

HOST = "h.example"
PATHS = {"booking": ("POST", "/once/x"), "lookup": ("GET", "/any/x")}
RESERVED_HEADERS = {"Hold": "h1", "Urgency": "0", "Expect-Instance": "nobody"}
BODY_LIMIT = 1000
WAIT_S = 15.0


def _route(name, prefix, kind, service, **more):
    return {
        "name": name,
        "host": HOST,
        "path_prefix": prefix,
        "kind": kind,
        "timeout_ms": 8000,
        "target_latency_ms": 400,
        "priority": 1,
        "service": service,
        "attempts": 2,
        **more,
    }


def _config(version=1, once="/once/"):
    models = [
        {"name": f"m{n}", "weights_mb": 100.0, "load_s": 1.0, "disk_s": 0.1}
        for n in (1, 2, 3)
    ]
    engine = {"slots": 8, "weights_mb": 200.0, "adapter_slots": 2, "loads_per_s": 2}
    return {
        "version": version,
        "routes": [
            _route("once", once, "unsafe", "plain", attempts=1),
            _route("any", "/any/", "safe", "plain"),
            _route("chat", "/chat/", "stream", "engine", attempts=1),
            _route(
                "night",
                "/night/",
                "stream",
                "engine",
                resumable=True,
                target_latency_ms=3000,
            ),
        ],
        "services": [
            {"name": "plain", "health_path": "/health", "max_conns": 50},
            {
                "name": "engine",
                "health_path": "/health",
                "max_conns": 50,
                "engine": {**engine, "models": models},
            },
        ],
        "limits": {"max_body_bytes": BODY_LIMIT},
    }


@given(
    "a store, engines e1 with m1 and e2 with m3, services s1, s2, {count:d} instances"
)
def start_all(context, count):
    context.deployment = Deployment()
    context.thread = LoopThread()
    context.add_cleanup(context.thread.stop)
    context.store = StandinStore()
    context.store_address = _listen(context, context.store.handle)
    context.targets = {}
    for name, service, models in (
        ("e1", "engine", {"m1"}),
        ("e2", "engine", {"m3"}),
        ("s1", "plain", None),
        ("s2", "plain", None),
    ):
        _start_target(context, name, service, models)
    _put(context, "config", "main", _config())
    context.numbers = iter(range(1, 10_000))
    context.ids = []
    context.instances = {}
    for number in range(1, count + 1):
        _start_instance(context, f"i{number}", number)
    for name in context.instances:
        wait_for(lambda name=name: _ready(context, name) == 200, f"{name} is ready")


def _listen(context, handler):
    address = free_address()
    host, port = address.split(":")
    context.thread.serve(handler, host, int(port))
    return address


def _start_target(context, name, service, models):
    target = StandinTarget(name, "", 0, service, models)
    target.host, port = _listen(context, target.handle).split(":")
    target.port = int(port)
    context.targets[name] = target
    _put(context, "servers", name, target.spec())


def _put(context, kind, name, spec):
    context.thread.call(context.store.put(kind, name, spec))


def _start_instance(context, name, number):
    # Each instance of each concurrent test run on this machine needs its own address.
    pid = os.getpid()
    ip = f"127.{1 + (pid >> 8) % 250}.{pid % 256}.{number}"
    settings = {
        "node_name": name,
        "ip": ip,
        "zone": "a",
        "listen.front": f"{ip}:8149",
        "listen.ready": f"{ip}:8141",
        "port_range": "7380,7395",
        "platform.addr": context.store_address,
        "bounds.grace_s": "8",
        "bounds.checks_fence": "true",
        "bounds.lease_ms": "3000",
    }
    path = context.deployment.folder / f"{name}.conf"
    path.write_text("".join(f"{key}={value}\n" for key, value in settings.items()))
    context.deployment.start(name, "entry", "--node-file", str(path))
    context.instances[name] = ip


def _ready(context, name):
    return _get(context.instances[name], 8141, "/api/ready").status


class _Answer:
    def __init__(self, status, headers, body, whole=True):
        self.status, self.headers, self.body = status, headers, body
        self.whole = whole


def _get(ip, port, path):
    conn = http.client.HTTPConnection(ip, port, timeout=WAIT_S)
    conn.request("GET", path)
    resp = conn.getresponse()
    answer = _Answer(resp.status, resp.headers, resp.read())
    conn.close()
    return answer


def _send(context, method, path, model="", instance="i1", body=b"abc", **more):
    headers = {"Host": HOST, "Deadline-Ms": "5000", **RESERVED_HEADERS}
    request_id = f"{next(context.numbers):016x}"
    context.ids.append(request_id)
    headers["Request-Id"] = request_id
    if model:
        headers["Model"] = model
    headers |= more.get("headers", {})
    headers = {name: value for name, value in headers.items() if value is not None}
    ip = context.instances[instance]
    conn = http.client.HTTPConnection(ip, 8149, timeout=WAIT_S)
    conn.request(method, path, body if method == "POST" else None, headers)
    resp = conn.getresponse()
    try:
        return _Answer(resp.status, resp.headers, resp.read())
    except http.client.IncompleteRead as exc:
        return _Answer(resp.status, resp.headers, exc.partial, whole=False)
    finally:
        conn.close()


@when("every instance is sent requests of each kind")
def send_each(context):
    for row in context.table:
        for name in context.instances:
            body = b"x" * (BODY_LIMIT + 1) if row["request"] == "too large" else b"abc"
            headers = {"Request-Id": None} if row["request"] == "no id" else {}
            answer = _send(
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
    context.answers = [_send(context, method, path) for _ in range(count)]


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
    _put(context, "servers", "e2", target.spec())
    context.targets["e1"].fault = "break"
    # The lease holder requests a report from an engine that has restarted.
    time.sleep(2)


@when("{count:d} resumable and 6 other streams of m1 are requested")
def ask_streams(context, count):
    context.resumed = [_send(context, "POST", "/night/x", "m1") for _ in range(count)]
    context.others = [_send(context, "POST", "/chat/x", "m1") for _ in range(6)]


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
    _put(context, "servers", "s1", context.targets["s1"].spec("draining"))


@then("after 2 s no request reaches s1")
def check_leaving(context):
    time.sleep(2)
    before = len(context.targets["s1"].runs)
    send_many(context, "booking", 6)
    check_status(context, 200)
    assert len(context.targets["s1"].runs) == before


@when("the routes move /once/ to /twice/")
def move_route(context):
    _put(context, "config", "main", _config(2, "/twice/"))


@then("after 2 s /once/ is not found and /twice/ is served")
def check_moved(context):
    time.sleep(2)
    for name in context.instances:
        assert _send(context, "POST", "/once/x", instance=name).status == 404
        assert _send(context, "POST", "/twice/x", instance=name).status == 200


@when("the store becomes unreachable")
def store_away(context):
    context.store.offline = True
    time.sleep(2)


@then("requests are still served")
def check_served(context):
    for name in context.instances:
        assert _send(context, "GET", "/any/x", instance=name).status == 200
        assert _send(context, "POST", "/chat/x", "m1", name).status == 200
        assert _ready(context, name) == 200


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
    assert _ready(context, "i1") == 503
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
        context.answers.append(_send(context, "POST", "/night/x", "m2", name))

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
    assert _send(context, "GET", "/any/x").status == 200


@then("the metrics address shows {count:d} requests that were answered")
def check_metrics(context, count):
    text = _get(context.instances["i1"], 9464, "/metrics").body.decode()
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
