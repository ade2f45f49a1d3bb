"""Steps that run instances with customers as processes."""

import json
import socket
import time

from behave import given, then, when

from features.entry_deployment import (
    HOST,
    WAIT_S,
    config,
    get,
    put,
    ready_status,
    route,
    start_instance,
    start_store,
    start_target,
)
from features.processes import wait_for

KEYS = ("KEY-good-1", "KEY-good-2")
GOOD = f"Authorization: Bearer {KEYS[0]}"
HEADERS = {
    "without a key": [],
    "with an unknown key": ["Authorization: Bearer KEY-none"],
    "with good's key": [GOOD],
    "with the key of good twice": [GOOD, GOOD.lower().replace("key-good", "KEY-good")],
    "with the key of good without a scheme": [f"Authorization: {KEYS[0]}"],
    "with bytes above 127": [f"{GOOD}\xe9\xff"],
    "with a key of 64 KB": [GOOD + "x" * 65_536],
    "with the key of an invalid customer": ["Authorization: Bearer KEY-bad"],
    "with good's key and other names": [GOOD, "tenant: other", "TENANT: third"],
    "without an id": [GOOD],
}
PROMPT_S = 2.0
CONFIG_S = 3.0


def keyed_config(version, keys):
    spec = config(version)
    spec["routes"].append(route("open", "/open/", "unsafe", "plain", public=True))
    spec["tenants"] = [
        {"name": "good", "api_keys": list(keys), "priority": 0},
        {"name": "bad", "api_keys": ["KEY-bad"], "rate_per_s": -1, "burst": 1},
    ]
    return spec


def exchange(context, name, path, lines, length=3, body=b"abc"):
    """Send a request with header lines as given; return the status and the rest."""
    request_id = f"{next(context.numbers):016x}"
    context.ids.append(request_id)
    if lines is not HEADERS["without an id"]:
        lines = [*lines, f"Request-Id: {request_id}"]
    head = [f"POST {path} HTTP/1.1", f"Host: {HOST}", *lines]
    head += [f"Content-Length: {length}", "Connection: close", "", ""]
    with socket.create_connection((context.instances[name], 8149)) as sock:
        sock.settimeout(WAIT_S)
        try:
            sock.sendall("\r\n".join(head).encode("latin-1") + body)
        except OSError:
            pass  # the instance may answer and close before all is sent
        answer = sock.recv(65_536)
    return int(answer.split(b" ")[1]), answer


@given("a store without a configuration, service s1 and {count:d} instances")
def start(context, count):
    start_store(context)
    start_target(context, "s1", "plain", None)
    for number in range(1, count + 1):
        start_instance(context, f"i{number}", number)
    for name in context.instances:
        wait_for(lambda name=name: ready_status(context, name) == 503, f"{name} runs")


@then("every instance answers 503, never 401, to a request with any key")
def check_no_config(context):
    for name in context.instances:
        for lines in HEADERS["without a key"], HEADERS["with an unknown key"]:
            status, answer = exchange(context, name, "/once/x", lines)
            assert status == 503 and b"Retry-After: " in answer, answer


@when("a configuration with customers is accepted")
def accept(context):
    put(context, "config", "main", keyed_config(1, KEYS))
    for name in context.instances:
        wait_for(lambda name=name: ready_status(context, name) == 200, f"{name} ready")


@then("every instance answers requests as stated")
def check_requests(context):
    target = context.targets["s1"]
    for row in context.table:
        for name in context.instances:
            target.headers.clear()
            lines = HEADERS[row["request"]]
            status, answer = exchange(context, name, row["path"], lines)
            assert status == int(row["status"]), (row, answer)
            assert (b"WWW-Authenticate: Bearer" in answer) == (status == 401), answer
            found = [
                (key.lower(), value)
                for headers in target.headers
                for key, value in headers.items()
                if key.lower() in ("tenant", "authorization")
            ]
            customer = row["customer"] or "nobody"
            expected = [] if customer == "nobody" else [("tenant", customer)]
            assert found == expected, (row, found)


@then("a request without a key is refused before its body is sent")
def check_no_body(context):
    for name in context.instances:
        began_s = time.monotonic()
        status, answer = exchange(context, name, "/once/x", [], 900, b"")
        assert status == 401, answer
        assert time.monotonic() - began_s < PROMPT_S


@then("a request without a key is not told to send its body")
def check_not_continued(context):
    for name in context.instances:
        lines = ["Expect: 100-continue"]
        status, answer = exchange(context, name, "/once/x", lines, 900, b"")
        assert status == 401, answer


@when("the key of good is removed")
def remove_key(context):
    put(context, "config", "main", keyed_config(2, KEYS[1:]))


@then("after {wait_s:g} s every instance refuses it, and serves the other key of good")
def check_removed(context, wait_s):
    time.sleep(wait_s)
    for name in context.instances:
        assert exchange(context, name, "/once/x", [GOOD])[0] == 401
        other = f"Authorization: Bearer {KEYS[1]}"
        assert exchange(context, name, "/once/x", [other])[0] == 200


@when("an instance is killed and started again")
def restart(context):
    process = context.deployment.processes.pop("i2")
    process.kill()
    process.wait()
    context.first_log = (context.deployment.folder / "i2.log").read_text()
    start_instance(context, "i2", 2)


@then("it refuses the removed key from its first answer on")
def check_restarted(context):
    statuses = []

    def refused():
        statuses.append(exchange(context, "i2", "/once/x", [GOOD])[0])
        return statuses[-1] == 401

    wait_for(refused, "the key is refused")
    assert set(statuses) <= {401, 503}, statuses


@then("the refused requests are logged with their causes and counted")
def check_logged(context):
    text = (context.deployment.folder / "i1.log").read_text()
    lines = [json.loads(line) for line in text.splitlines()]
    refused = [line for line in lines if line.get("event") == "key refused"]
    causes = {line["cause"] for line in refused}
    assert causes == {"no key", "malformed key", "unknown key"}, refused
    ended = {
        line["request"]: line["outcome"]
        for line in lines
        if line.get("event") == "request ended"
    }
    for line in refused:
        assert ended[line["request"]] == line["cause"], line
    left_out = [line for line in lines if line.get("event") == "customers left out"]
    assert len(left_out) == 1 and "bad: " in left_out[0]["left_out"][0], left_out
    metrics = get(context.instances["i1"], 9464, "/metrics").body.decode()
    assert 'marjoramstage_key_refusals_total{cause="unknown key"}' in metrics, metrics


@then("no log line, metric or header at a target contains a key")
def check_no_key(context):
    texts = [context.first_log]
    for name, ip in context.instances.items():
        texts.append((context.deployment.folder / f"{name}.log").read_text())
        texts.append(get(ip, 9464, "/metrics").body.decode())
    texts.append(str(context.targets["s1"].headers))
    for text in texts:
        assert text and "KEY-" not in text.upper(), text
