"""Steps about targets that leave or ask for a pause, on the whole path."""

import json
import re
import signal
import time

from behave import given, then, when

from features.entry_deployment import (
    get,
    put,
    ready_status,
    send,
    start_instance,
    start_target,
)
from features.processes import wait_for

MOST_TRIES = 60
SPREAD_S = 1.0


def _book(context, instance="i1"):
    return send(context, "POST", "/once/x", instance=instance)


@given("service s1 says only in {answers} that it leaves, {outage}")
def make_leaving(context, answers, outage):
    service = context.targets["s1"]
    service.leaving, service.leaving_only = True, answers
    if answers == "refusal":
        service.retry_after = "0"
    if "other instance" in outage:
        context.deployment.processes["i2"].kill()
        context.deployment.processes["i2"].wait()
    context.store.offline = True


@when("bookings are sent to i1 until s1 was asked, and then 12 more")
def book_until_told(context):
    context.told = []
    service = context.targets["s1"]
    before = len(service.arrivals)
    for _ in range(MOST_TRIES):
        context.told.append(_book(context))
        if len(service.arrivals) > before:
            break
    assert len(service.arrivals) == before + 1
    context.more = [_book(context) for _ in range(12)]


@when("s1 starts again at its address, and 12 more are sent")
def restart_service(context):
    service = context.targets["s1"]
    service.born, service.leaving = 2, False
    context.more += [_book(context) for _ in range(12)]


@then("none of the 12 reached s1, each was answered, and no caller was told why")
def check_none(context):
    assert len(context.targets["s1"].arrivals) == 1
    answers = [*context.told, *context.more]
    assert [a.status for a in answers] == [200] * len(answers)
    assert not any("Server-Leaving" in a.headers for a in answers)


@then("the metrics of i1 show 1 target out as leaving")
def check_metrics(context):
    text = get(context.instances["i1"], 9464, "/metrics").body.decode()
    found = re.findall(r'^marjoramstage_targets_out{cause="(\w+)"} (\S+)$', text, re.M)
    assert dict(found) == {"leaving": "1.0", "paused": "0.0"}, found


@when("the store is back and lists s1 as it was before")
def return_store(context):
    service = context.targets["s1"]
    context.store.offline = False
    put(context, "servers", "s1", {**service.spec(), "born": 1, "seq": 7})
    time.sleep(3.0)


@then("none of 12 more bookings reaches s1")
def check_stale(context):
    answers = [_book(context) for _ in range(12)]
    assert {a.status for a in answers} == {200}
    assert len(context.targets["s1"].arrivals) == 1


@when("the store lists the new start of s1")
def list_start(context):
    put(context, "servers", "s1", context.targets["s1"].spec())


@then("bookings reach s1 again and i1 logs that it is back")
def check_back(context):
    service = context.targets["s1"]

    def reached():
        _book(context)
        return len(service.arrivals) > 1

    wait_for(reached, "a booking reaches s1")
    text = (context.deployment.folder / "i1.log").read_text()
    lines = [json.loads(line) for line in text.splitlines()]
    back = [line for line in lines if line["event"] == "target back"]
    assert [line["target"] for line in back] == ["s1"], back
    out = [line for line in lines if line["event"] == "target out"]
    assert [(line["cause"], bool(line["request"])) for line in out] == [
        ("leaving", True)
    ], out


@given("services s1 and s2 answer 503 and ask for a pause of 3 s")
def make_pausing(context):
    for name in ("s1", "s2"):
        context.targets[name].retry_after = "3"


@when("10 bookings are sent to i1 within 2 s")
def book_in_pause(context):
    context.began_s = time.monotonic()
    context.taken = []
    for _ in range(10):
        began_s = time.monotonic()
        answer = _book(context)
        context.taken.append((began_s, time.monotonic() - began_s, answer))
        time.sleep(0.05)
    assert time.monotonic() - context.began_s < 2.0


@then("each got a 503 within 0.5 s that says to come back when the pause is over")
def check_refused(context):
    for at_s, took_s, answer in context.taken:
        assert answer.status == 503 and took_s < 0.5, (answer.status, took_s)
        back_s = at_s - context.began_s + float(answer.headers["Retry-After"])
        assert 2.9 <= back_s <= 3.0 + SPREAD_S + 0.2, back_s


@then("each service was asked at most once")
def check_asked(context):
    asked = {name: len(context.targets[name].arrivals) for name in ("s1", "s2")}
    assert max(asked.values()) <= 1, asked


@when("the services serve again and the pause is over")
def end_pause(context):
    for name in ("s1", "s2"):
        context.targets[name].retry_after = ""
    time.sleep(max(0.0, context.began_s + 3.2 - time.monotonic()))


@then("a booking is answered")
def check_booking(context):
    assert _book(context).status == 200


@given("engine e1 says that it leaves")
def make_engine_leave(context):
    context.targets["e1"].leaving = True


@when("m1 is asked for at both instances, again and again for {for_s:g} s")
def ask_engine(context, for_s):
    until_s = time.monotonic() + for_s
    context.statuses = []
    while time.monotonic() < until_s:
        for name in context.instances:
            answer = send(context, "POST", "/night/x", "m1", name)
            context.statuses.append(answer.status)
        time.sleep(0.1)


@then("m1 is loaded at e2 and the last requests were answered there")
def check_moved(context):
    engine = context.targets["e2"]
    assert "m1" in engine.models, engine.models
    assert context.statuses[-4:] == [200] * 4, context.statuses
    assert set(context.ids[-4:]) <= set(engine.runs)


@given("service s1 says in all its answers that it leaves")
def make_leaving_in_all(context):
    context.targets["s1"].leaving = True


@when("i1 is suspended for {for_s:d} s and 12 more are sent")
def suspend(context, for_s):
    process = context.deployment.processes["i1"]
    process.send_signal(signal.SIGSTOP)
    time.sleep(for_s)
    process.send_signal(signal.SIGCONT)
    context.more += [_book(context) for _ in range(12)]


@when("i1 is killed and started again")
def restart_instance(context):
    context.deployment.processes["i1"].kill()
    context.deployment.processes["i1"].wait()
    start_instance(context, "i1", 1)
    wait_for(lambda: ready_status(context, "i1") == 200, "i1 is ready again")


@then("no more than one booking to each start of i1 reached s1")
def check_starts(context):
    assert len(context.targets["s1"].arrivals) == 2


@given("a new engine e3 with m2 that says only in its reports that it leaves")
def add_engine(context):
    told = {"leaving": True, "leaving_only": "report"}
    start_target(context, "e3", "engine", {"m2"}, **told)


@when("m2 is asked for until it is loaded at another engine")
def ask_until_loaded(context):
    def loaded():
        for name in context.instances:
            send(context, "POST", "/night/x", "m2", name)
        return any("m2" in context.targets[name].models for name in ("e1", "e2"))

    wait_for(loaded, "m2 is loaded at e1 or e2")


@then("the holder of the lease logs that e3 is out, by no request")
def check_report_logged(context):
    out = []
    for name in context.instances:
        text = (context.deployment.folder / f"{name}.log").read_text()
        lines = [json.loads(line) for line in text.splitlines()]
        out += [line for line in lines if line["event"] == "target out"]
    assert [(line["target"], line["request"]) for line in out] == [("e3", "")], out
