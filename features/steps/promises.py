"""Steps for the expected results of generated traces."""

import json
from dataclasses import replace

from behave import given, then, when

from marjoramstage.bench.expectations import unmet_expectations
from marjoramstage.bench.replay import replay
from marjoramstage.bench.scenarios import scenario_lines
from marjoramstage.bench.trace import parse_trace


@given("the generated trace {name} of {minutes:d} minute")
def generated_trace(context, name, minutes):
    context.generated = parse_trace(scenario_lines(name, minutes=minutes), name)


@when("the generated trace is replayed with the current policy")
def replay_generated(context):
    context.replay_results = replay(context.generated, "current", 1)


@then("every expectation of the generated trace is met")
def outcomes_met(context):
    assert context.generated.header.expect, "the header states no expectations"
    unmet = unmet_expectations(context.generated, *context.replay_results)
    assert not unmet, unmet


@given("a generated trace that expects {name} to be {wanted}")
def trace_that_states(context, name, wanted):
    lines = scenario_lines("tran-gia-usual", minutes=0.05)
    trace = parse_trace(lines, "short")
    header = replace(trace.header, expect={name: json.loads(wanted)})
    context.generated = replace(trace, header=header)


@then('its replay by policy {policy} misses "{message}"')
def misses(context, policy, message):
    result = replay(context.generated, policy, 1)
    unmet = unmet_expectations(context.generated, *result)
    assert any(message in text for text in unmet), unmet
