"""Steps about requests that last longer than a planned stop."""

import http.client
import signal
import threading
import time

from behave import given, then, when

from features.entry_deployment import (
    config,
    put,
    ready_status,
    send,
    start_instance,
    start_store,
    start_target,
)
from features.processes import wait_for

GRACE_S = 8.0
SENT_AT_S = (-1.0, -0.5, 0.5, 1.0, 1.5, 2.0)
PATHS = ("/once/x", "/any/x")


@given("an instance and two services that don't answer")
def start(context):
    start_store(context)
    put(context, "config", "main", config())
    for name in ("s1", "s2"):
        start_target(context, name, "plain", None, fault="hang")
    start_instance(context, "i1", 1)
    wait_for(lambda: ready_status(context, "i1") == 200, "i1 is ready")


@when("bookings and lookups are sent from 1 s before to 2 s after SIGTERM")
def send_around_stop(context):
    context.answers = []
    process = context.deployment.processes["i1"]

    def ask(path):
        try:
            answer = send(context, "POST", path, headers={"Deadline-Ms": "20000"})
            status = answer.status
        except (OSError, http.client.HTTPException) as exc:
            status = repr(exc)
        context.answers.append((path, status, time.monotonic()))

    threads = []
    context.stopped_s = time.monotonic() - SENT_AT_S[0]
    for at_s in sorted((*SENT_AT_S, 0.0)):
        time.sleep(max(0.0, context.stopped_s + at_s - time.monotonic()))
        if at_s == 0.0:
            process.send_signal(signal.SIGTERM)
            continue
        for path in PATHS:
            threads.append(threading.Thread(target=ask, args=(path,)))
            threads[-1].start()
    for thread in threads:
        thread.join()


@then("each gets a final answer before the grace is over")
def check_answered(context):
    assert len(context.answers) == len(SENT_AT_S) * len(PATHS)
    for path, status, at_s in context.answers:
        assert isinstance(status, int), (path, status)
        assert at_s - context.stopped_s < GRACE_S, (path, at_s - context.stopped_s)


@then("none that reached a service is told that it has not run")
def check_honest(context):
    reached = sum(len(context.targets[name].runs) for name in ("s1", "s2"))
    refused = sum(status in (429, 503) for _, status, _ in context.answers)
    assert reached >= len(SENT_AT_S), reached
    assert refused <= len(context.answers) - reached, (refused, reached)


@then("the instance ends with exit code 0 in time")
def check_exit(context):
    process = context.deployment.processes["i1"]
    left_s = context.stopped_s + GRACE_S - time.monotonic()
    assert process.wait(timeout=max(0.1, left_s)) == 0
