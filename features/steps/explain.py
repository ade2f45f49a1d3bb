"""Steps about the explanation of where a request would go."""

import contextlib
import io
from dataclasses import replace

from behave import given, then, when

from features.entry_deployment import config, get, put, send
from features.processes import free_address, wait_for
from marjoramstage.cli import main
from marjoramstage.coordination.named_limits import NamedLimits
from marjoramstage.coordination.request_permits import RequestPermits
from marjoramstage.coordination.target_criteria import TargetCriteria
from marjoramstage.coordination.target_notices import TargetNotices
from marjoramstage.entry import EXPLAIN_PATH, METRICS_PORT
from marjoramstage.state.fleet import Item

HOST = "h.example"
KEY = "asnm-secret-key"


def _explain(instance, **options):
    out = io.StringIO()
    argv = ["explain", "--instance", instance, "--host", HOST]
    for name, value in options.items():
        if value:
            argv += [f"--{name}", value]
    with contextlib.redirect_stdout(out), contextlib.redirect_stderr(out):
        code = main(argv)
    return code, out.getvalue()


@given("the engines have memory for {tokens:d} tokens and s2 is leaving")
def change_config(context, tokens):
    document = config(version=2)
    document["services"][1]["engine"]["kv_capacity"] = tokens
    put(context, "config", "main", document)
    put(context, "servers", "s2", context.targets["s2"].spec("draining"))
    ip = context.instances["i1"]

    def is_known():
        work = _explain(ip, path="/chat/x", model="m1", tokens="9,9")[1]
        return "chosen by  work" in work and "leaving" in _explain(ip, path="/once/")[1]

    wait_for(is_known, "the new version is in force")
    context.runs = {name: len(t.runs) for name, t in context.targets.items()}


@then("these requests are explained")
def check_explained(context):
    for row in context.table:
        options = {name: row[name] for name in ("path", "model", "tokens")}
        code, text = _explain(context.instances["i1"], **options)
        assert code == 0, (code, text)
        assert text.splitlines()[0].split()[2] == row["goes to"], (row, text)
        assert row["contains"] in text, (row, text)


@then("no target was sent anything")
def check_nothing_sent(context):
    runs = {name: len(t.runs) for name, t in context.targets.items()}
    assert runs == context.runs, runs


@then("a key that is sent along is shown nowhere")
def check_no_key(context):
    query = f"host={HOST}&path=/chat/x&model=m1&customer=c1&key={KEY}"
    query += f"&Authorization=Bearer+{KEY}"
    answer = get(context.instances["i1"], METRICS_PORT, f"{EXPLAIN_PATH}?{query}")
    assert answer.status == 200, answer.status
    assert KEY.encode() not in answer.body and b'"c1"' in answer.body, answer.body


@then("a request for m1 is served by e1 and its tokens are counted")
def check_served(context):
    headers = {"Tokens": "800,200", "Prompt-Prefix": "a1:500,b2:300"}
    for _ in range(2):
        answer = send(context, "POST", "/chat/x", "m1", headers=headers)
        assert answer.status == 200, answer.status
    series = get(context.instances["i1"], METRICS_PORT, "/metrics").body.decode()
    for line in (
        'marjoramstage_prompt_tokens{kind="sent"} 1600.0',
        'marjoramstage_prompt_tokens{kind="cached"} 950.0',
        "marjoramstage_learned_costs 4.0",
    ):
        assert line in series, [s for s in series.splitlines() if line[:20] in s]


@then("the readiness address explains nothing")
def check_other_address(context):
    ip = context.instances["i1"]
    path = f"{EXPLAIN_PATH}?host={HOST}&path=/chat/x&model=m1"
    assert get(ip, 8141, path).status == 404


@when("t2 {change}")
def change_target(context, change):
    chooser = context.chooser
    target, now_s = chooser.targets["t2"], chooser.now_s
    notices, limits = TargetNotices(), NamedLimits()
    dispatcher = chooser.dispatcher
    dispatcher._notices = notices
    dispatcher._permits = RequestPermits(limits, dispatcher._rng, now_s)
    context.criteria = TargetCriteria(
        "s", Item("m"), tokens=2500, pause_s=0.25, pacing_deadline_s=now_s + 1
    )
    match change:
        case "leaves":
            chooser.targets["t2"] = replace(target, leaving=True)
        case "lacks m":
            chooser.targets["t2"] = replace(target, items=frozenset())
        case "was tried":
            context.criteria = replace(context.criteria, tried=frozenset(("t2",)))
        case "could not be reached":
            dispatcher._health.record_unreachable("t2", now_s)
        case "asked for a pause":
            notices.record_pause(target, 2.0, now_s)
        case "runs 60 requests":
            chooser.running.set_running({"t2": 60})
        case "has a long prompt to read":
            chooser.prefill.record_sent("t2", 8000, now_s)
        case "named a limit":
            limits.record(target, 2.0, now_s)
        case _:
            raise AssertionError(change)


@when("the stream began at version v1")
def change_version(context):
    change_target(context, "leaves")
    first = context.chooser.targets["t1"]
    second = replace(context.chooser.targets["t2"], leaving=False, software="v2")
    context.chooser.targets |= {"t1": replace(first, software="v1"), "t2": second}
    context.criteria = replace(context.criteria, software="v1")


@then('t2 is excluded as "{exclusion}" and not chosen')
def check_excluded(context, exclusion):
    chooser = context.chooser
    targets = chooser.targets.values()
    first, last = chooser.dispatcher.assess(context.criteria, targets, chooser.now_s)
    assert first.target.name == "t1" and first.exclusion is None, first
    assert last.target.name == "t2" and last.exclusion.value == exclusion, last
    for _ in range(20):
        found = chooser.dispatcher.choose(context.criteria, targets, chooser.now_s)
        assert found.name == "t1", found


@then("explaining at an address where nothing listens ends with exit code 1")
def check_unreachable(context):
    code, text = _explain(free_address(), path="/x")
    assert code == 1 and "not explained" in text, (code, text)
