"""Steps for planned stops; most of them run separate processes."""

import http.client
import json
import signal
import threading
import time
from importlib import resources

from behave import given, then, when

from features.processes import Deployment, call, free_address, wait_for
from marjoramstage.coordination.draining import DrainStateMachine

CREDENTIAL = {"Authorization": "Bearer demo-credential"}
BODY = {"model": "assistant", "max_tokens": 3, "prompt": "Which halls are free?"}
CALLERS = 4
NOT_READY = 503
PAUSE_S = 0.03


def start(deployment, name, data_centre, seeds, extra=""):
    peers = "peers: [" + ", ".join(f'"{seed}"' for seed in seeds) + "]\n"
    deployment.start_instance(name, data_centre, peers + extra)


def is_ready(deployment, name):
    return call(deployment.operators[name], "/readyz").status == 200


def peer_address(deployment, name):
    return deployment.dump(name)["settings"]["listen"]["peers"]


def apply_demo(deployment, name):
    text = resources.files("marjoramstage").joinpath("demo.yaml").read_bytes()
    operators = deployment.operators[name]
    wait_for(lambda: call(operators, "/healthz").status == 200, "instance listens")
    assert call(operators, "/inventory", "POST", text).status == 200


def reaches_model(deployment, name):
    data = json.dumps(BODY).encode()
    address = deployment.addresses[name]
    return call(address, "/v1/completions", "POST", data, CREDENTIAL).status == 200


@given("{count:d} data centres with {each:d} instances each behind a balancer")
def start_fleet(context, count, each):
    deployment = context.deployment = Deployment()
    deployment.start_platform()
    context.fleet = {}
    for dc in range(1, count + 1):
        deployment.start_target("engine", f"e{dc}", "--data-centre", f"d{dc}")
    seeds = []
    for number in range(count * each):
        name, dc = f"i{number}", f"d{number % count + 1}"
        start(deployment, name, dc, seeds[:2])
        context.fleet[name] = dc
        if len(seeds) < 2:
            wait_for(lambda name=name: deployment.dump(name), "listens")
            seeds.append(peer_address(deployment, name))
    apply_demo(deployment, "i0")
    for name in context.fleet:
        wait_for(lambda name=name: reaches_model(deployment, name), f"{name} serves")


class Balancer:
    """Sends requests to ready instances in turn, as a load balancer does."""

    def __init__(self, deployment):
        self.deployment = deployment
        self.ready = []
        self.stopped = threading.Event()
        self.outcomes = []
        self.refresh_ready()
        self._threads = [threading.Thread(target=self._poll_ready)]
        for number in range(CALLERS):
            thread = threading.Thread(target=self._send_steadily, args=(number,))
            self._threads.append(thread)
        for thread in self._threads:
            thread.start()

    def refresh_ready(self):
        found = []
        for name in list(self.deployment.processes):
            if name not in self.deployment.operators:
                continue
            try:
                if is_ready(self.deployment, name):
                    found.append(name)
            except OSError:
                continue
        self.ready = found

    def stop(self):
        self.stopped.set()
        for thread in self._threads:
            thread.join()

    def _poll_ready(self):
        while not self.stopped.wait(0.1):
            self.refresh_ready()

    def _send_steadily(self, number):
        start_index = number
        while not self.stopped.is_set():
            start_index += 1
            names = self.ready
            self.outcomes.append(self._send_one(names, start_index))
            time.sleep(PAUSE_S)

    def _send_one(self, names, start_index):
        """Send one request; try another instance only if it did not run."""
        for step in range(len(names)):
            name = names[(start_index + step) % len(names)]
            host, port = self.deployment.addresses[name].split(":")
            conn = http.client.HTTPConnection(host, int(port), timeout=60)
            try:
                conn.connect()
            except ConnectionRefusedError:
                continue
            try:
                conn.request("POST", "/v1/completions", json.dumps(BODY), CREDENTIAL)
                resp = conn.getresponse()
                body = resp.read()
            except (OSError, http.client.HTTPException) as exc:
                return f"cut off: {name}: {exc!r}"
            finally:
                conn.close()
            if resp.status == NOT_READY and resp.headers["X-Verdict"] == "not-run":
                continue
            whole = resp.status == 200 and b"w0 w1 w2" in body
            return "ok" if whole else f"failed: {name}: {resp.status} {body[:200]}"
        return "failed: no instance accepted it"


@when("every instance is replaced in turn while callers send steadily")
def replace_all(context):
    deployment = context.deployment
    balancer = Balancer(deployment)
    context.exit_codes = {}
    try:
        for batch in range(3):
            replace_batch(context, deployment, batch)
    finally:
        balancer.stop()
    context.outcomes = balancer.outcomes


def replace_batch(context, deployment, batch):
    """Start a new instance in each data centre, then stop an old one in each."""
    old = [f"i{batch * 3 + n}" for n in range(3)]
    alive = [name for name in context.fleet if name not in old]
    seeds = [peer_address(deployment, name) for name in alive[:2]]
    for name in old:
        start(deployment, f"new-{name}", context.fleet[name], seeds)
    for name in old:
        new = f"new-{name}"
        wait_for(lambda new=new: reaches_model(deployment, new), f"{new} serves")
    for name in old:
        deployment.processes[name].send_signal(signal.SIGTERM)
    for name in old:
        process = deployment.processes.pop(name)
        context.exit_codes[name] = process.wait(60)
        context.fleet[f"new-{name}"] = context.fleet.pop(name)


@then("no steady request failed and none was cut off")
def check_steady(context):
    wrong = [outcome for outcome in context.outcomes if outcome != "ok"]
    assert wrong == [], (len(wrong), len(context.outcomes), wrong[:3])
    assert len(context.outcomes) > 100, len(context.outcomes)
    print(f"{len(context.outcomes)} requests, 0 failed, 0 cut off")


@then("every replaced instance ended with exit code 0")
def check_exit_codes(context):
    codes = context.exit_codes
    assert len(codes) == 9 and set(codes.values()) == {0}, codes


@then("every new instance has the accepted generation in force")
def check_generations(context):
    dumps = [context.deployment.dump(name) for name in context.fleet]
    assert [dump["generation"] for dump in dumps] == [1] * len(dumps)


@given(
    "an instance with a stream that takes {stream:d} s and a drain timeout of "
    "{bound:d} s"
)
def start_stream(context, stream, bound):
    deployment = context.deployment = Deployment()
    deployment.start_platform()
    deployment.start_target("engine", "e1", "--token-ms", "100")
    start(deployment, "i1", "local", (), f"limits: {{drain_s: {bound}.0}}\n")
    apply_demo(deployment, "i1")
    wait_for(lambda: reaches_model(deployment, "i1"), "serves")
    host, port = deployment.addresses["i1"].split(":")
    context.stream = http.client.HTTPConnection(host, int(port), timeout=60)
    body = {**BODY, "stream": True, "max_tokens": stream * 10}
    headers = {**CREDENTIAL, "X-Deadline-Ms": "60000"}
    context.stream.request("POST", "/v1/completions", json.dumps(body), headers)
    context.stream_answer = context.stream.getresponse()
    assert context.stream_answer.status == 200
    context.stream_tokens = stream * 10


@when("the instance gets SIGTERM {times:d} times during the stream")
def signal_instance(context, times):
    process = context.deployment.processes["i1"]
    process.send_signal(signal.SIGTERM)
    wait_for(lambda: not is_ready(context.deployment, "i1"), "not ready")
    for _ in range(times - 1):
        process.send_signal(signal.SIGTERM)
    context.stream_body = context.stream_answer.read().decode()


@then("the stream ends {end}")
def check_stream(context, end):
    body = context.stream_body
    last = f"w{context.stream_tokens - 1}"
    if end == "whole":
        assert last in body and "data: [DONE]" in body, body[-300:]
        return
    assert "event: error" in body and "may-have-run" in body, body[-300:]
    assert "[DONE]" not in body and last not in body


@then("the stopped instance ended with exit code 0")
def check_stopped(context):
    process = context.deployment.processes.pop("i1")
    assert process.wait(60) == 0
    assert free_address()


@when('a planned stop with a timeout of 10 s goes through "{script}"')
def run_drain(context, script):
    drain, now_s, in_flight = DrainStateMachine(10.0), 0.0, 0
    for step in script.split(", "):
        if step == "ask":
            drain.request_stop(now_s)
        elif step == "begin":
            in_flight += 1
        elif step == "end":
            in_flight -= 1
        else:
            now_s += float(step.split()[1])
            drain.advance(in_flight, now_s)
    context.drain = drain


@when('a planned stop with a timeout of 10 s goes through ""')
def no_drain(context):
    context.drain = DrainStateMachine(10.0)


@then("the planned stop is {state}")
def check_drain(context, state):
    assert context.drain.state == state, context.drain.state
