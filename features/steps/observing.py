"""Steps for logs, the state dump, metrics and slow readers."""

import hashlib
import json
import socket
from importlib import resources

from behave import given, then, when

from features.processes import Deployment, call, free_address, wait_for
from features.raw_http import request_bytes, send_raw
from marjoramstage.addresses import split_address
from marjoramstage.clock import VirtualClock
from marjoramstage.metrics import LocalMetrics, StatsdMetrics
from marjoramstage.transport._slow_readers import SlowReaderMonitor

CREDENTIAL = "demo-credential"
BAD_CREDENTIAL = "stranger-credential-1234"
SECRET = "operators-secret-5678"
SECRETS = {
    "the customer's credential": CREDENTIAL,
    "the unknown credential": BAD_CREDENTIAL,
    "the operators' secret": SECRET,
}
SETTINGS = (
    f"secret: {SECRET}\nlog_level: debug\nstatsd: {{statsd}}\n"
    "limits: {{stream_buffer_bytes: 16384, reader_stall_s: 1.0}}\n"
)
LONG_TOKENS = 300_000
LONG_DEADLINE = ("X-Deadline-Ms", "80000000")
PROMPT = {"model": "assistant", "prompt": "Which halls are free?", "max_tokens": 2}


def bearer(secret):
    return ("Authorization", f"Bearer {secret}")


def post_request(path, body, secret=CREDENTIAL, headers=()):
    payload = json.dumps(body).encode()
    return request_bytes("POST", path, [bearer(secret), *headers], payload)


CALLER_CALLS = {
    "completion": post_request("/v1/completions", PROMPT),
    "booking": post_request("/services/booking/bookings", {"hall": "A1"}),
    "model without access": post_request(
        "/v1/completions", {**PROMPT, "model": "other"}
    ),
    "unknown credential": post_request("/v1/completions", PROMPT, BAD_CREDENTIAL),
    "malformed HTTP": f"GET / HTTP/1.1\r\nHost: m\r\n{BAD_CREDENTIAL}\r\n\r\n".encode(),
}
OPERATOR_CALLS = {
    "dump": request_bytes("GET", "/dump", [bearer(SECRET)]),
    "dump without secret": request_bytes("GET", "/dump"),
    "dump, wrong secret": request_bytes("GET", "/dump", [bearer(BAD_CREDENTIAL)]),
    "dump, non-ASCII secret": request_bytes("GET", "/dump", [bearer("\xe9\xff")]),
    "health without secret": request_bytes("GET", "/healthz"),
}


@given("an observed instance with a secret and a metrics server that is down")
def start_observed(context):
    context.deployment = deployment = Deployment()
    deployment.start_platform()
    deployment.start_target("engine", "e1")
    deployment.start_target("service", "s1")
    deployment.start_instance("i1", extra=SETTINGS.format(statsd=free_address()))
    operators = deployment.operators["i1"]
    wait_for(lambda: call(operators, "/healthz").status == 200, "instance listens")
    text = resources.files("marjoramstage").joinpath("demo.yaml").read_bytes()
    headers = dict([bearer(SECRET)])
    assert call(operators, "/inventory", "POST", text, headers).status == 200
    for name in ("completion", "booking"):
        wait_for(lambda name=name: _call_as_caller(context, name).status < 300, name)


def _call_as_caller(context, name):
    return send_raw(context.deployment.addresses["i1"], CALLER_CALLS[name])


def _dump(context):
    operators = context.deployment.operators["i1"]
    return json.loads(send_raw(operators, OPERATOR_CALLS["dump"]).body)


@when("valid and invalid callers and operators call the observed instance")
def call_observed(context):
    context.observed = {name: _call_as_caller(context, name) for name in CALLER_CALLS}
    operators = context.deployment.operators["i1"]
    for name, payload in OPERATOR_CALLS.items():
        context.observed[name] = send_raw(operators, payload)
    path = context.deployment.folder / "i1.log"
    context.log_text = path.read_text()


@then("every observed answer has its status")
def check_statuses(context):
    seen = {name: answer.status for name, answer in context.observed.items()}
    assert seen == {row["call"]: int(row["status"]) for row in context.table}, seen


@then("no observed log line, dump or response contains a secret")
def check_secrets(context):
    texts = {name: answer.body.decode() for name, answer in context.observed.items()}
    texts["log"] = context.log_text
    for row in context.table:
        secret = SECRETS[row["secret"]]
        digest = hashlib.sha256(secret.encode()).hexdigest()
        for name, text in texts.items():
            assert secret not in text, f"{name} contains {row['secret']}"
            assert digest not in text, f"{name} contains the hash of {row['secret']}"


@then(
    "each observed log line is JSON with a prefix, and each request has a line with "
    "its id"
)
def check_log(context):
    lines = [json.loads(line) for line in context.log_text.splitlines()]
    assert lines
    for line in lines:
        part, _, sentence = line["message"].partition(": ")
        assert part.isalpha() and sentence, line
        assert line["instance"] == "i1" and line["time"] and line["level"], line
    logged = {line.get("request") for line in lines}
    for name in (
        "model without access",
        "unknown credential",
        "completion",
        "booking",
    ):
        assert context.observed[name].headers["X-Request-Id"] in logged, name


@then(
    "the dump names its settings, generation, targets, ledgers, queues, requests "
    "and counters"
)
def check_dump(context):
    dump = json.loads(context.observed["dump"].body)
    assert dump["settings"]["limits"]["reader_stall_s"] == 1.0, dump["settings"]
    assert "secret" not in dump["settings"]
    assert dump["generation"] == 1
    assert {target["name"] for target in dump["targets"]} == {"e1", "s1"}
    assert "e1" in dump["ledgers"]
    assert dump["queues"] == {} and dump["requests"] == []
    assert dump["counters"]["callers.errors.model"] == 1, dump["counters"]


@when("a caller asks the observed instance for a long stream and reads nothing")
def stop_reading(context):
    body = {**PROMPT, "stream": True, "max_tokens": LONG_TOKENS}
    sock = socket.socket()
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
    sock.connect(split_address(context.deployment.addresses["i1"]))
    # Long enough for every token; a request that cannot meet it is rejected.
    sock.sendall(post_request("/v1/completions", body, headers=[LONG_DEADLINE]))
    context.stalled = sock
    wait_for(lambda: _stalled(context) == 1, "the stalled connection is aborted")


def _stalled(context):
    return _dump(context)["counters"].get("callers.stalled", 0)


@then("the observed instance ends that connection and goes on serving")
def check_ended(context):
    wait_for(lambda: _dump(context)["requests"] == [], "no request is open")
    assert _call_as_caller(context, "booking").status == 201


@then("the observed instance has buffered less than {max_bytes:d} bytes for it")
def check_buffered(context, max_bytes):
    log = (context.deployment.folder / "i1.log").read_text()
    lines = [json.loads(line) for line in log.splitlines()]
    found = [line for line in lines if "unsent_bytes" in line]
    assert len(found) == 1, lines
    assert 0 < found[0]["unsent_bytes"] < max_bytes, found
    context.stalled.close()


class FakeTransport:
    """A transport whose number of unsent bytes is set by the test."""

    def __init__(self):
        self.unsent_bytes = 0
        self.aborted = False

    def set_write_buffer_limits(self, high):
        self.high = high

    def get_write_buffer_size(self):
        return self.unsent_bytes

    def abort(self):
        self.aborted = True


@given("a slow-reader monitor with a timeout of {stall_s:d} s")
def make_watch(context, stall_s):
    context.clock = VirtualClock()
    context.watch = SlowReaderMonitor(1000, stall_s, context.clock, LocalMetrics())


@when('the reader\'s unsent bytes at steps of {step_s:d} s are "{unsent}"')
def run_watch(context, step_s, unsent):
    context.transport = FakeTransport()
    with context.watch.monitor(context.transport, "r1"):
        for text in unsent.split():
            context.transport.unsent_bytes = int(text)
            context.clock.advance(step_s)
            context.watch.check()


@then("the monitored connection is {end}")
def check_watch(context, end):
    assert context.transport.aborted == (end == "aborted")
    assert context.transport.high == 1000


@given('metrics for the address "{host}"')
def make_metrics(context, host):
    context.metrics = StatsdMetrics(host, split_address(free_address())[1])


@when("a thousand metrics of each type are sent")
def send_figures(context):
    for number in range(1000):
        context.metrics.count("a.counter")
        context.metrics.gauge("a.gauge", number)
        context.metrics.timing("a.timing", number)


@then("no exception is raised and the values are recorded")
def check_figures(context):
    assert context.metrics.counters["a.counter"] == 1000
    assert context.metrics.gauges["a.gauge"] == 999
