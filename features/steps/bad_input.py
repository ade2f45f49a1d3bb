"""Steps for invalid settings, inventories and requests."""

import contextlib
import io
import tempfile
from pathlib import Path

from behave import given, then, when

from features.bad_requests import (
    BAD_OPERATOR_REQUESTS,
    BAD_REQUESTS,
    BODY_BYTES,
    GOOD_OPERATOR_REQUEST,
    GOOD_REQUEST,
    HEADER_BYTES,
)
from features.processes import Deployment, call, wait_for
from features.raw_http import send_raw
from marjoramstage.cli import main
from marjoramstage.state.inventory import credential_hash

GOOD_SETTINGS = ["name: i1", "data_centre: d1", "platform: 127.0.0.1:9000"]

INVENTORY = f"""
models:
  - {{name: assistant, memory_mb: 16000}}
  - {{name: summaries, memory_mb: 14000}}
  - {{name: scores, memory_mb: 1000}}
adapters:
  - {{name: rooms, model: assistant, memory_mb: 200}}
  - {{name: parts, model: assistant, memory_mb: 200}}
services:
  - name: booking
    calls: [{{method: GET, path: /availability, repeatable: true}}]
  - {{name: exchange}}
customers:
  - name: university
    credential_sha256: {credential_hash("demo-credential")}
    paid: [assistant, summaries, rooms, booking]
  - name: publisher
    credential_sha256: {credential_hash("other-credential")}
    paid: [scores, assistant, parts, exchange]
rules:
  max_class: {{university: interactive}}
"""

LIMITS = (
    f"limits: {{header_bytes: {HEADER_BYTES}, body_bytes: {BODY_BYTES}, "
    "body_timeout_s: 0.5}\n"
)


def check_file(option, content):
    """Run ``check`` on a file with ``content``; return its exit code and lines."""
    with tempfile.TemporaryDirectory() as folder:
        path = Path(folder) / "file.yaml"
        if content is not None:
            path.write_bytes(content)
        stderr = io.StringIO()
        with contextlib.redirect_stderr(stderr):
            code = main(["check", option, str(path)])
    lines = stderr.getvalue().splitlines()
    return code, [line.removeprefix(str(path)) for line in lines]


def settings_text(rows):
    """Return valid settings with their lines replaced by ``rows``."""
    keys = {row.partition(":")[0] for row in rows}
    kept = [row for row in GOOD_SETTINGS if row.partition(":")[0] not in keys]
    return "\n".join([*kept, *rows]).encode()


@when('the settings "{rows}" are checked')
def check_settings(context, rows):
    rows = rows.replace("DEEP", "[" * 5000 + "]" * 5000)
    context.checked = check_file("--settings", settings_text(rows.split(";")))


@when('the inventory "{rows}" is checked')
def check_an_inventory(context, rows):
    text = rows.replace(";", "\n").encode()
    context.checked = check_file("--inventory", text)


@when('the inventory "" is checked')
def check_an_empty_inventory(context):
    context.checked = check_file("--inventory", b"")


@then('the check ends with exit code 2 and "{line:d}: {says}"')
def check_says(context, line, says):
    code, lines = context.checked
    assert code == 2, context.checked
    assert [found for found in lines if found.startswith(f":{line}: {says}")], lines


@then("the check ends with exit code 2 and these {count:d} lines")
def check_says_all(context, count):
    code, lines = context.checked
    assert (code, len(lines)) == (2, count), context.checked
    for row, line in zip(context.table, lines, strict=True):
        assert line.startswith(f":{row['line']}: {row['starts']}"), lines


@when("unreadable inventories are checked")
def check_unreadable(context):
    contents = {"binary": b"\x80\x81\x00", "missing": None, "large": b"#" * 1_000_001}
    context.unreadable = []
    for row in context.table:
        checked = check_file("--inventory", contents[row["case"]])
        context.unreadable.append((row["says"], checked))


@then("each unreadable inventory is refused with exit code 2")
def check_refused(context):
    for says, (code, lines) in context.unreadable:
        assert code == 2 and len(lines) == 1, lines
        assert lines[0].startswith(says), lines


@when('the command line "{args}" is run')
def run_command(context, args):
    stderr = io.StringIO()
    with contextlib.redirect_stderr(stderr):
        try:
            code = main(args.split())
        except SystemExit as exc:
            code = exc.code
    context.command = (code, stderr.getvalue().splitlines())


@when('the command line "" is run')
def run_no_command(context):
    run_command(context, "")


@then('the command line ends with exit code {code:d} and one error "{says}"')
def check_command(context, code, says):
    found, lines = context.command
    assert found == code, context.command
    assert len(lines) == 1 and says in lines[0], lines


@given("an instance for bad caller requests")
def start_instance(context):
    context.deployment = deployment = Deployment()
    deployment.start_platform()
    deployment.start_target("service", "s1")
    deployment.start_instance("i1", extra=LIMITS)
    operators = deployment.operators["i1"]
    wait_for(lambda: call(operators, "/healthz").status == 200, "instance listens")
    assert call(operators, "/inventory", "POST", INVENTORY.encode()).status == 200
    wait_for(lambda: _send(context, GOOD_REQUEST).status == 200, "serves")


def _send(context, payload):
    return send_raw(context.deployment.addresses["i1"], payload)


@when("each bad caller request is sent, a good one after it")
def send_bad_requests(context):
    context.bad_answers = {}
    for name, payload in BAD_REQUESTS.items():
        bad = _send(context, payload)
        context.bad_answers[name] = (bad, _send(context, GOOD_REQUEST))


@then("each bad caller request gets its status and code, and each good one 200")
def check_bad_answers(context):
    wrong = []
    for row in context.table:
        bad, good = context.bad_answers.pop(row["request"])
        wanted = (int(row["status"]), row["code"], "not-run", "not-run", 200)
        error = bad.error()
        verdicts = (bad.headers["X-Verdict"], error["verdict"])
        seen = (bad.status, error["code"], *verdicts, good.status)
        if seen != wanted:
            wrong.append((row["request"], seen, error["message"]))
    assert not wrong, wrong
    assert not context.bad_answers, f"no row for {list(context.bad_answers)}"


@when("each bad operator request is sent, a good one after it")
def send_bad_operator_requests(context):
    address = context.deployment.operators["i1"]
    context.operator_answers = {}
    for name, payload in BAD_OPERATOR_REQUESTS.items():
        bad, good = send_raw(address, payload), send_raw(address, GOOD_OPERATOR_REQUEST)
        context.operator_answers[name] = (bad, good)


@then("each bad operator request gets its status and says why, and each good one 200")
def check_operator_answers(context):
    wrong = []
    for row in context.table:
        bad, good = context.operator_answers.pop(row["request"])
        body = bad.body.decode()
        whole = body.startswith("{") and row["says"] in body
        if (bad.status, good.status, whole) != (int(row["status"]), 200, True):
            wrong.append((row["request"], bad.status, good.status, body))
    assert not wrong, wrong
    assert not context.operator_answers, f"no row for {list(context.operator_answers)}"
