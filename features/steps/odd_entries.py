"""Steps about entries of the store that no parser takes."""

import json
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
from marjoramstage.platform import _json

MARK = "@odd"
DEEP = 4000
NUMBER = "7" * 5000


def _entry(**fields):
    spec = {
        "service": "plain",
        "addr": "127.0.0.1:9",
        "zone": "a",
        "slots": 8,
        "state": "ready",
        "born": 1,
        **fields,
    }
    return json.dumps(spec)


def _nested(levels):
    return "[" * levels + "]" * levels


def _endless_text(size):
    """Return a document that was encoded twice and cut off, as JSON."""
    model = {"name": "m1", "version": 1, "adapters": []}
    count = size // len(json.dumps(model))
    text = json.dumps(json.dumps([model] * count))[:size]
    assert len(text) == size
    return json.dumps(text)


ENTRIES = {
    "an entry nested 4000 levels deep": _nested(DEEP),
    "an entry nested 200000 levels deep": _nested(50 * DEEP),
    "an entry with a number of 5000 digits": _entry(slots=0).replace(
        '"slots": 0', f'"slots": {NUMBER}'
    ),
    "a text of an entry nested 4000 levels": json.dumps(_nested(DEEP)),
    "an entry with a port of 5000 digits": _entry(addr=f"127.0.0.1:{NUMBER}"),
    "an entry with slots of 400 digits": _entry(slots=10**400),
    "an entry born at a time of 400 digits": _entry(born=10**400),
    "an entry with 400 digits of time left": _entry(remaining_ms=10**400),
    "an entry with its time left as a text": _entry(remaining_ms="nan"),
    "a text of 200000 bytes without an end": _endless_text(200_000),
    "a text of 1000000 bytes without an end": _endless_text(1_000_000),
}


@given("2 instances with services s1 and s2")
def start_two(context):
    start_store(context)
    put(context, "config", "main", config())
    for name in ("s1", "s2"):
        start_target(context, name, "plain", None)
    for number in (1, 2):
        start_instance(context, f"i{number}", number)
    for name in context.instances:
        wait_for(lambda name=name: ready_status(context, name) == 200, f"{name} ready")
    time.sleep(1.0)


@when("{entry} is written among the targets")
def write_odd(context, entry):
    context.store.raw[MARK] = ENTRIES[entry]
    put(context, "servers", "odd", MARK)


@when("{entry} is written among the configurations")
def write_odd_configuration(context, entry):
    context.store.raw[MARK] = ENTRIES[entry]
    put(context, "config", "odd", MARK)


@when("an instance starts")
def start_third(context):
    start_instance(context, "i3", 3)


def _wait_at_most(condition, for_s, what):
    until_s = time.monotonic() + for_s
    while time.monotonic() < until_s:
        try:
            if condition():
                return
        except OSError:
            pass
        time.sleep(0.05)
    raise AssertionError(what)


@then("all 3 instances are ready within {for_s:d} s and serve")
def check_ready(context, for_s):
    for name in context.instances:
        _wait_at_most(
            lambda name=name: ready_status(context, name) == 200, for_s, f"{name} ready"
        )
        answer = send(context, "POST", "/any/x", instance=name)
        assert answer.status == 200, (name, answer.status)


@when("service s3 is added and s1 and s2 are removed")
def replace_services(context):
    start_target(context, "s3", "plain", None)
    for name in ("s1", "s2"):
        context.thread.call(context.store.remove("servers", name))


@then("all 3 instances are served by s3 within {for_s:d} s")
def check_followed(context, for_s):
    def by_s3(name):
        answer = send(context, "POST", "/any/x", instance=name)
        return answer.headers.get("Stamp", "").startswith("s3.")

    for name in context.instances:
        _wait_at_most(
            lambda name=name: all(by_s3(name) for _ in range(5)),
            for_s,
            f"{name}: not by s3 alone",
        )


def _document(text):
    big = {
        "deep array": _nested(DEEP),
        "deep object": '{"a":' * DEEP + "1" + "}" * DEEP,
    }
    big["big number"] = NUMBER
    if text.startswith("brackets"):
        return "[1, " + json.dumps("]" * 9 + '"' + "[" * 9) + "]"
    for name, value in big.items():
        if text.startswith(name):
            return text.removeprefix(f"{name} in ").replace("X", value)
    if text.startswith("unfinished deep"):
        return "[1, " + "[" * DEEP
    if text.startswith("unfinished"):
        return "[1, "
    return "[1]]" if text.startswith("too many") else text


@then("it is read as {value}")
def check_read(context, value):
    text = _document(context.active_outline["text"])
    try:
        found = _json.loads(text.encode())
    except ValueError:
        assert value == "no JSON", text[:50]
        return
    if "deep" in value:
        assert found[0] == 1 and found[2] == 2 and len(found) == 3, value
        assert json.dumps(found[1]).endswith(("null" + "]" * 63, "null" + "}" * 63))
    elif "text" in value:
        assert found[1] == "]" * 9 + '"' + "[" * 9
    else:
        assert found == json.loads(value), found
