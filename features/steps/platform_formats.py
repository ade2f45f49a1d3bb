"""Steps about the data formats of the users' platform."""

import copy
import json

from behave import given, then, when
from result import Err, Ok

from marjoramstage import platform
from marjoramstage.exceptions import ConfigError
from marjoramstage.platform._settings import parse_node_settings
from marjoramstage.protocol.control import Order
from marjoramstage.state.fleet import Item

SETTINGS = """\
node_name=front-a-1
ip=10.1.0.38
zone=a
listen.front=10.1.0.38:8149
listen.ready=10.1.0.38:8141
platform.addr=10.200.1.7:8142
port_range=7380,7395
bootstrap=true
bounds.grace_s=8
bounds.lease_ms=3000
bounds.checks_fence=true
"""

ENTRY = {
    "service": "s1",
    "addr": "10.1.1.1:8080",
    "zone": "a",
    "version": "v1",
    "slots": 64,
    "state": "ready",
    "cold_left_ms": 0,
    "models": [{"name": "m1", "version": 1, "adapters": ["a1@2"]}],
    "seq": 4,
    "born": 1700000000000,
}

CONFIG = {
    "version": 7,
    "routes": [
        {
            "name": "a",
            "host": "h.example",
            "path_prefix": "/a/",
            "kind": "stream",
            "timeout_ms": 12000,
            "target_latency_ms": 400,
            "priority": 0,
            "service": "s1",
            "attempts": 1,
            "gap_aim_ms": 300,
        },
        {
            "name": "b",
            "host": "h.example",
            "path_prefix": "/b/",
            "kind": "safe",
            "timeout_ms": 1000,
            "split": [{"service": "s1", "weight": 90}],
            "attempts": 2,
        },
    ],
    "services": [{"name": "s1", "health_path": "/health", "max_conns": 10}],
    "limits": {"max_body_bytes": 1000},
}


@given("the settings file of a machine")
def settings_file(context):
    context.lines = SETTINGS


@when('its line "{key}" becomes "{value}"')
def change_line(context, key, value):
    lines = [x for x in context.lines.splitlines() if not x.startswith(f"{key}=")]
    context.key = key
    context.lines = "\n".join([*lines, f"{key}={value}"])


@when('its line "" becomes ""')
def change_nothing(context):
    context.key = ""


@when('its line "{key}" becomes ""')
def drop_line(context, key):
    change_line(context, key, "")


@then("reading it gives the machine's settings")
def reads_settings(context):
    settings = parse_node_settings(context.lines)
    assert settings.name == "front-a-1" and settings.data_centre == "a", settings
    assert settings.peer_ports == tuple(range(7380, 7396)), settings.peer_ports
    assert settings.bounds.lease_s == 3.0 and settings.bounds.grace_s == 8.0, (
        settings.bounds
    )


@then("reading it gives an error that names it")
def reads_named_error(context):
    assert context.key in _settings_error(context)


@then("reading it gives an error")
def reads_error(context):
    assert _settings_error(context)


def _settings_error(context):
    try:
        parse_node_settings(context.lines)
    except ConfigError as exc:
        return str(exc)
    raise AssertionError("the file was accepted")


@when('a target\'s object has "{field}" set to {value}')
def change_entry(context, field, value):
    context.entry = {**ENTRY, field: json.loads(value)}


@when('a target\'s object has "" set to {value}')
def replace_entry(context, value):
    try:
        context.entry = json.loads(value)
    except ValueError:
        context.entry = value


@then("it describes {result}")
def check_entry(context, result):
    found = platform.decode_target("i-1", context.entry)
    if result == "no target":
        assert isinstance(found, Err) and found.err_value, found
        return
    target = found.ok_value
    if " of software " in result:
        software = json.loads(result.partition(" of software ")[2])
        assert target.software == software, target
    assert target.leaving == (result == "a leaving target"), target
    assert target.name == "i-1" and target.order_count == 4, target


@when("a configuration has {change}")
def change_config(context, change):
    config = copy.deepcopy(CONFIG)
    match change:
        case "route b on service nowhere":
            config["routes"][1]["split"][0]["service"] = "nowhere"
        case "its bytes as text":
            config = json.dumps(config)
        case "no version":
            del config["version"]
        case "no services":
            del config["services"]
        case "an invalid timeout":
            config["routes"][0]["timeout_ms"] = "soon"
        case _:
            assert change == "nothing changed", change
    context.spec = config


@then("it gives routes {names}")
def check_routes(context, names):
    table = platform.decode_table(context.spec).ok_value
    assert [route.name for route in table.routes] == names.split(", "), table.routes
    assert table.version == 7 and table.limits.body_bytes == 1000


@then("it gives a reason, no routes")
def check_no_routes(context):
    found = platform.decode_table(context.spec)
    assert isinstance(found, Err) and found.err_value, found


@when('a caller sends "{name}: {value}" to a target')
def send_header(context, name, value):
    sent = [(name, value)]
    named = value if name == "Connection" else "X-Private"
    context.name = name
    context.headers = platform.target_headers(sent, named, "i-1", 1.5, 2)


@then("the target is sent {result}")
def check_header(context, result):
    found = context.headers.getall(context.name, [])
    assert found == ([] if result == "nothing" else [result]), found


@then("it is {proof} that the request did not run")
def check_proof(context, proof):
    row = context.active_outline
    name, _, value = row["header"].partition(": ")
    headers = {name: value} if name else {}
    found = platform.proves_not_run(int(row["status"]), headers)
    assert found == (proof == "proof"), (row, found)


@then("an order to load m1/a3 is encoded with its count, holder and fencing number")
def check_order(context):
    order = Order("i-1", Item("m1", "a3"), True, "n/1", 41, 2)
    assert json.loads(platform.encode_order(order)) == {
        "op": "load",
        "model": "m1",
        "adapter": "a3",
        "precondition": 2,
        "holder": "n/1",
        "fence": 41,
    }


@then("a report with models, adapters in transit and cached weights is decoded")
def check_report(context):
    body = {
        "models": ENTRY["models"],
        "busy": True,
        "seq": 2,
        "waiting": 1,
        "running": 12,
        "coming": ["m1/a3@1"],
        "at_hand": {"in_memory": ["m1"], "on_disk": ["m1", "m2"]},
    }
    found = platform.decode_report(json.dumps(body).encode())
    assert isinstance(found, Ok), found
    report = found.ok_value
    assert report.items == {Item("m1"), Item("m1", "a1")}, report
    assert report.coming == {Item("m1", "a3")}, report
    assert report.busy and report.order_count == 2, report
    assert report.in_memory == {"m1"} and report.on_disk == {"m1", "m2"}, report


@then("a malformed report is rejected with a reason")
def check_bad_report(context):
    for body in (b"[]", b"{", b'{"seq": "x", "busy": 1}'):
        found = platform.decode_report(body)
        assert isinstance(found, Err) and found.err_value, (body, found)
