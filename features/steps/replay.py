"""Steps for reading and replaying traces."""

import contextlib
import io
import json
import tempfile
from pathlib import Path

from behave import given, then, when

from marjoramstage.bench._tally import fairness_max_min
from marjoramstage.bench.limit import met_limit
from marjoramstage.bench.replay import replay
from marjoramstage.bench.scenarios import write_scenario
from marjoramstage.bench.trace import parse_trace
from marjoramstage.cli import main
from marjoramstage.exceptions import ConfigError

FIELDS = [
    "policy",
    "trace",
    "seed",
    "offered",
    "met",
    "late",
    "refused",
    "lost",
    "accelerators",
    "attainment_per_accelerator",
    "attainment_limit",
    "moves",
    "model_loads",
    "adapter_loads",
    "overcommit_events",
    "duplicate_runs",
    "fairness_max_min",
    "p95_first_token_ms",
]


def small_header(slots=2, models=("m1", "m2")):
    engine = {"kind": "engine", "slots": slots, "fencing": True}
    engine |= {"memory_mb": 1000, "accelerators": 1, "data_centre": "d1"}
    return {
        "kind": "header",
        "name": "small",
        "data_centres": ["d1"],
        "instances": [{"name": "i1", "data_centre": "d1"}],
        "targets": [{"name": "e1", **engine}],
        "models": [
            {
                "name": name,
                "memory_mb": 400,
                "prefill_tokens_per_s": 1000,
                "decode_tokens_per_s": 10,
            }
            for name in models
        ],
        "adapters": [
            {"name": "a1", "model": models[0], "memory_mb": 10},
            {"name": "a2", "model": models[-1], "memory_mb": 10},
        ],
        "customers": [{"name": "c1", "weight": 1, "paid": [*models, "a1"]}],
        "store": {"loads_per_s": 2, "at_full_speed": 8, "mb_per_s": 1000},
        "adapter_load_ms": [5, 10],
        "adapters_in_transit": 60,
        "expect": {},
    }


def small_request(number, at_ms=10_000, model="m1", deadline_ms=5000, tokens=10):
    return {
        "kind": "request",
        "at_ms": at_ms,
        "id": f"r{number}",
        "data_centre": "d1",
        "customer": "c1",
        "target_kind": "engine",
        "model": model,
        "prompt_tokens": 0,
        "output_tokens": tokens,
        "deadline_ms": deadline_ms,
        "class": "interactive",
        "repeatable": True,
    }


def texts(context):
    return [json.dumps(line) for line in context.trace_lines]


@given("the small trace")
def the_small_trace(context):
    fault = {"kind": "fault", "at_ms": 12_000, "fault": "kill_target"}
    requests = [small_request(number) for number in (1, 2, 3)]
    end = {**fault, "what": "e1", "for_ms": 100}
    context.trace_lines = [small_header(), *requests, end]


@given("the small trace with every model named in capitals and underscores")
def trace_with_capitals(context):
    header = small_header(models=("Model_A/7B", "Model_B/7B"))
    context.trace_lines = [header, small_request(1, model="Model_A/7B")]


@given("a trace file with the text {text}")
def trace_of_text(context, text):
    context.trace_texts = [] if text == "(nothing)" else [text]


@when("line {number:d} of the trace gets {field} as {value}")
def set_field(context, number, field, value):
    place = context.trace_lines[number - 1]
    *path, last = field.split(".")
    for part in path:
        place = place[int(part) if part.isdigit() else part]
    place[int(last) if last.isdigit() else last] = json.loads(value)


@then('reading the trace fails at line {number:d} with "{message}"')
def reading_fails(context, number, message):
    lines = getattr(context, "trace_texts", None)
    if lines is None:
        lines = texts(context)
    try:
        parse_trace(lines, "small.jsonl")
    except ConfigError as exc:
        problems = exc.problems
    else:
        problems = ()
    assert problems, "the trace was accepted"
    found = [text for text in problems if message in text]
    assert found, problems
    # A changed time or id is reported at the next line, which is then out of order
    # or repeats the id.
    line = number + 1 if "earlier" in message or "repeated id" in message else number
    assert found[0].startswith(f"small.jsonl:{line}: "), found


@then('the trace is read with the warning "{text}"')
def read_with_warning(context, text):
    trace = parse_trace(texts(context), "small.jsonl")
    assert trace.warnings == (f"small.jsonl:{text}",), trace.warnings


@when("the trace is replayed with policy {policy} and seed {seed:d}")
def replay_small(context, policy, seed):
    trace = parse_trace(texts(context), "small.jsonl")
    context.replay_result, context.replay_detail = replay(trace, policy, seed)


@then("the replay has met at least {number:d} request")
def replay_met(context, number):
    assert context.replay_result.met >= number, context.replay_result


@given("a trace of scenario {name} of {minutes:d} minute")
def trace_of_scenario(context, name, minutes):
    context.trace_minutes = minutes
    context.scenario_name = name


@when("the replay command runs twice with policy {policy} and seed {seed:d}")
def command_twice(context, policy, seed):
    context.outputs = []
    with tempfile.TemporaryDirectory() as folder:
        path = str(Path(folder) / "trace.jsonl.gz")
        write_scenario(context.scenario_name, path, minutes=context.trace_minutes)
        for _ in range(2):
            args = ["--trace", path, "--policy", policy, "--seed", str(seed)]
            out = io.StringIO()
            with contextlib.redirect_stdout(out):
                assert main(["bench", "replay", "--json", *args]) == 0
            context.outputs.append(out.getvalue())


@then("both outputs are identical and have exactly the documented fields")
def same_bytes(context):
    first, second = context.outputs
    assert first == second
    context.figures = json.loads(first)
    assert list(context.figures) == FIELDS, list(context.figures)


@then("offered is the sum of met, late, refused and lost")
def offered_is_sum(context):
    figures = context.figures
    parts = ("met", "late", "refused", "lost")
    assert figures["offered"] == sum(figures[name] for name in parts), figures
    assert figures["offered"] > 0


@then("met is within the limit")
def within_limit(context):
    figures = context.figures
    attainment = figures["attainment_per_accelerator"]
    assert attainment <= figures["attainment_limit"], figures


@then('replaying the trace with policy {policy} fails with "{message}"')
def replay_fails(context, policy, message):
    trace = parse_trace(texts(context), "small.jsonl")
    try:
        replay(trace, policy)
    except ConfigError as exc:
        assert message in str(exc), exc
        return
    raise AssertionError("the policy was accepted")


@given(
    "a trace of one engine with {slots:d} slots and {requests:d} requests at once "
    "of {work:g} s due in {due:d} s"
)
def trace_of_one_engine(context, slots, requests, work, due):
    lines = [small_header(slots)]
    for number in range(requests):
        lines.append(
            small_request(number, deadline_ms=due * 1000, tokens=int(work * 10))
        )
    context.trace_lines = lines


@then("the limit of the trace is {met:d} met requests")
def limit_is(context, met):
    trace = parse_trace(texts(context), "small.jsonl")
    assert met_limit(trace) == met, met_limit(trace)


@then("offered {offered} and met {met} tokens give a fairness of {ratio:g}")
def fairness_is(context, offered, met, ratio):
    offered = {f"c{i}": int(text) for i, text in enumerate(offered.split(","))}
    met = {f"c{i}": int(text) for i, text in enumerate(met.split(","))}
    found = fairness_max_min(offered, met, {})
    assert found == ratio or abs(found - ratio) < 1e-9, found
