"""Steps about failures that operators of similar systems saw."""

import asyncio
import http.client
import json
import os
import signal
import threading
import time

from behave import given, then, when

from features.broken_heads import Head, HeadTarget
from features.entry_deployment import (
    HOST,
    WAIT_S,
    put,
    ready_status,
    send,
    start_instance,
)
from features.platform_standin import EVENTS
from features.processes import free_address, wait_for

COPY_DELAY_S = 0.03
STOP_LOAD_S = 6.0
DEADLINE_MS = "4000"
THAW_S = 0.3
BROKEN_HEADS = (
    Head(status_line=b"HTTP/1.1 000 OK"),
    Head(status_line=b"HTTP/1.1 101 OK"),
    Head(first=b" X: 1"),
    Head(last=b"X\x01Y: 1"),
)
MAX_BROKEN_ANSWERS = 100


class CopyingService:
    """A plain service that sends each answer again, late, on its connection."""

    def __init__(self):
        self.delayed = set()

    async def serve(self, reader, writer):
        while True:
            try:
                head = await reader.readuntil(b"\r\n\r\n")
            except (asyncio.IncompleteReadError, ConnectionError):
                return
            fields = dict(
                line.split(": ", 1) for line in head.decode().split("\r\n")[1:-2]
            )
            request_id = fields["Request-Id"]
            text = f"ran {request_id}".encode()
            answer = (
                f"HTTP/1.1 200 OK\r\nRequest-Id: {request_id}\r\n"
                f"Content-Length: {len(text)}\r\n\r\n"
            ).encode() + text
            writer.write(answer)
            task = asyncio.create_task(self._send_again(writer, answer))
            self.delayed.add(task)
            task.add_done_callback(self.delayed.discard)

    async def _send_again(self, writer, answer):
        await asyncio.sleep(COPY_DELAY_S)
        writer.write(answer)


@given("service s3 sends a copy of each answer late, and the others are gone")
def start_copying(context):
    host, port = free_address().split(":")
    service = CopyingService()
    context.thread.call(asyncio.start_server(service.serve, host, int(port)))
    replace_services(context, f"{host}:{port}")


@given("service s3 answers with broken heads, and the others are gone")
def start_broken(context):
    context.broken = HeadTarget(list(BROKEN_HEADS) * MAX_BROKEN_ANSWERS)
    context.thread.call(context.broken.start())
    replace_services(context, context.broken.address)


def replace_services(context, address):
    """List a service at an address, and remove the others."""
    spec = context.targets["s1"].spec()
    put(context, "servers", "s3", {**spec, "addr": address})
    for name in ("s1", "s2"):
        context.thread.call(context.store.remove("servers", name))
    time.sleep(2.5)


@when("{count:d} lookups and as many bookings are sent to both instances")
def send_both(context, count):
    context.answers = []
    for number in range(count):
        instance = f"i{number % 2 + 1}"
        for method, path in (("GET", "/any/x"), ("POST", "/once/x")):
            context.answers.append(send(context, method, path, instance=instance))


@then("each caller got 502, and s3 ran each request once")
def check_broken(context):
    assert {answer.status for answer in context.answers} == {502}
    assert context.broken.runs == len(context.answers), context.broken.runs


@when("{count:d} lookups are sent to instance i1, one after the other")
def send_lookups(context, count):
    context.pairs = []
    for number in range(count):
        answer = send(context, "GET", "/any/x")
        context.pairs.append((context.ids[-1], answer))
        # The copy comes before, while and after the next request is sent.
        time.sleep(number % 4 * COPY_DELAY_S / 2)


@then("each caller got the answer to its own request or a failure")
def check_own(context):
    for request_id, answer in context.pairs:
        if answer.status == 200:
            assert answer.body == f"ran {request_id}".encode(), answer.body
        else:
            assert answer.status >= 500, (answer.status, answer.body)


@then("at least {count:d} of them were answered")
def check_answered(context, count):
    answered = [a.status for _, a in context.pairs if a.status == 200]
    assert len(answered) >= count, len(answered)


@when("{count:d} callers send bookings on kept connections and instance i1 is stopped")
def stop_under_load(context, count):
    context.unanswered, context.refused, context.sent = [], [], []
    until_s = time.monotonic() + STOP_LOAD_S
    threads = [
        threading.Thread(target=_book_until, args=(context, f"{n:02x}", until_s))
        for n in range(count)
    ]
    for thread in threads:
        thread.start()
    time.sleep(1.0)
    context.deployment.processes["i1"].send_signal(signal.SIGTERM)
    for thread in threads:
        thread.join()


def _book_until(context, caller, until_s):
    """Send bookings on one connection, opened again when it is closed."""
    conn, number = None, 0
    while time.monotonic() < until_s:
        number += 1
        request_id = f"{caller}{number:014x}"
        headers = {"Host": HOST, "Request-Id": request_id, "Deadline-Ms": "3000"}
        try:
            if conn is None:
                conn = http.client.HTTPConnection(
                    context.instances["i1"], 8149, timeout=WAIT_S
                )
                conn.connect()
        except OSError:
            return
        try:
            conn.request("POST", "/once/x", b"abc", headers)
            context.sent.append(request_id)
            resp = conn.getresponse()
            resp.read()
        except (http.client.HTTPException, OSError):
            context.unanswered.append(request_id)
            conn = None
            continue
        if resp.status == 503:
            context.refused.append(request_id)
        if resp.will_close:
            conn = None


def _runs(context):
    return [run for target in context.targets.values() for run in target.runs]


@then("each request that reached a target was answered")
def check_no_cut(context):
    assert len(context.sent) > 100, len(context.sent)
    cut = set(context.unanswered) & set(_runs(context))
    assert not cut, cut


@then("each 503 was for a request that did not run")
def check_refused(context):
    ran = set(context.refused) & set(_runs(context))
    assert not ran, ran


@given("engine e1 sends streams that {kind}")
def set_stream(context, kind):
    engine = context.targets["e1"]
    if kind.startswith("is slow"):
        engine.pause_s = 0.6
    else:
        engine.fault = "stall"


@when("a stream is requested with a deadline of 4 s")
def ask_stream(context):
    began_s = time.monotonic()
    headers = {"Deadline-Ms": DEADLINE_MS}
    context.stream = send(context, "POST", "/chat/x", "m1", headers=headers)
    context.took_s = time.monotonic() - began_s


@then("it is complete")
def check_complete(context):
    assert context.stream.whole and context.stream.body.count(b"id: ") == EVENTS


@then("it ends incomplete within {most:g} s of the request")
def check_stalled(context, most):
    assert not context.stream.whole
    assert context.took_s <= most, context.took_s


@given("service s1 has left and the instance i1 is killed and started again")
def restart_after_leave(context):
    context.thread.call(context.store.remove("servers", "s1"))
    time.sleep(2.5)
    context.runs_before = len(context.targets["s1"].runs)
    context.deployment.processes["i1"].kill()
    context.deployment.processes["i1"].wait()
    start_instance(context, "i1", 1)
    wait_for(lambda: ready_status(context, "i1") == 200, "i1 is ready again")


@when("{count:d} bookings are sent to both instances")
def book_both(context, count):
    for name in ("i1", "i2"):
        for _ in range(count // 2):
            assert send(context, "POST", "/once/x", instance=name).status == 200


@then("no request reached s1")
def check_left(context):
    assert len(context.targets["s1"].runs) == context.runs_before


def _orders(context):
    return [order for target in context.targets.values() for order in target.orders]


def _ask_models(context, names, until):
    """Ask for models in turns at some instances until a condition holds."""
    models = ("m2", "m3", "m1")
    end_s = time.monotonic() + WAIT_S
    number = 0
    while not until() and time.monotonic() < end_s:
        name = names[number % len(names)]
        send(context, "POST", "/night/x", models[number % len(models)], name)
        number += 1
    assert until()


@given("models are asked for until an instance holds the placement lease")
def find_holder(context):
    _ask_models(context, ("i1", "i2"), lambda: bool(_orders(context)))
    context.holder = _orders(context)[-1]["holder"].partition("/")[0]
    context.other = {"i1": "i2", "i2": "i1"}[context.holder]


@when("it is suspended for {for_s:d} s while models are asked for at the other")
def suspend_holder(context, for_s):
    process = context.deployment.processes[context.holder]
    os.kill(process.pid, signal.SIGSTOP)
    began_s = time.monotonic()

    def successor_ordered():
        return any(o["holder"].startswith(context.other) for o in _orders(context))

    try:
        _ask_models(context, (context.other,), successor_ordered)
        time.sleep(max(0.0, for_s - (time.monotonic() - began_s)))
    finally:
        context.resumed_s = time.monotonic()
        os.kill(process.pid, signal.SIGCONT)


@when("it is resumed and models are asked for at both")
def resume_holder(context):
    end_s = time.monotonic() + 4.0
    _ask_models(context, ("i1", "i2"), lambda: time.monotonic() > end_s)


@then("two holders gave orders, and none was carried out or sent under an old fence")
def check_handover(context):
    fences = {}
    for target in context.targets.values():
        # What was on its way as the process was suspended may arrive and be refused.
        settled = [
            order
            for order, at_s in zip(target.orders, target.order_times_s, strict=True)
            if not 0 <= at_s - context.resumed_s < THAW_S
        ]
        for orders in (settled, target.accepted):
            sequence = [order["fence"] for order in orders]
            assert sequence == sorted(sequence), target.orders
        for order in target.orders:
            fences.setdefault(order["fence"], set()).add(order["holder"])
    assert len(fences) >= 2, fences
    assert all(len(holders) == 1 for holders in fences.values()), fences


LOST_FAULTS = {
    "before it runs": "reset-before",
    "while it runs": "reset-while",
    "after it has run": "reset-after",
}


@given("both services are lost {when_}")
def lose_services(context, when_):
    for name in ("s1", "s2"):
        target = context.targets[name]
        if when_ == "at its port":
            context.thread.stop_serving(f"{target.host}:{target.port}")
        else:
            target.fault = LOST_FAULTS[when_]


@when("a caller books at i1 and presses again at i2")
def press_twice(context):
    context.presses = []
    for name in ("i1", "i2"):
        answer = send(context, "POST", "/once/x", instance=name)
        context.presses.append((name, context.ids[-1], answer))


@then("each press ran at most once")
def check_press_runs(context):
    runs = _runs(context)
    for _, request_id, answer in context.presses:
        assert runs.count(request_id) <= 1, runs
        if answer.status == 503:
            assert request_id not in runs, runs


@then("each press got {status:d}")
def check_press_status(context, status):
    found = [answer.status for _, _, answer in context.presses]
    assert found == [status] * 2, found
    if status == 503:
        for _, _, answer in context.presses:
            assert float(answer.headers["Retry-After"]) > 0


@then('the log names the press and "{reason}"')
def check_press_log(context, reason):
    for name, request_id, _ in context.presses:
        wait_for(
            lambda n=name, r=request_id: _ended(context, n, r, reason),
            f"{name} logs how {request_id} ended",
        )


def _ended(context, name, request_id, reason):
    text = (context.deployment.folder / f"{name}.log").read_text()
    lines = [json.loads(line) for line in text.splitlines() if request_id in line]
    return any(reason in json.dumps(line, ensure_ascii=False) for line in lines)
