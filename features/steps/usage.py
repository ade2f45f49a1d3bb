"""Steps for usage records."""

import asyncio
import contextlib
import io
import json
import logging

from behave import given, then, when

from features.processes import call, wait_for
from features.request_faults import FakePlatform
from features.scheduling import LoadGenerator, SchedulerWorld, inventory_of
from features.steps.end_to_end import CREDENTIAL, REQUESTS
from marjoramstage._instance.usage import UsageWriter
from marjoramstage.cli import main
from marjoramstage.clock import VirtualClock
from marjoramstage.coordination.usage import UsageCollector
from marjoramstage.state.usage import batch_from_data, totals

WRITES = 4


@given(
    "a usage collector that recorded {school:d} requests of school and "
    "{rival:d} of rival"
)
def collect(context, school, rival):
    load = LoadGenerator(SchedulerWorld(inventory_of(["m0"], [])))
    collector = UsageCollector("i1-incarnation")
    for customer, count in (("school", school), ("rival", rival)):
        for _ in range(count):
            collector.record(load.request(0.0, customer, "m0", 1.0), 50)
    context.platform = FakePlatform()
    context.usage_writer = UsageWriter(collector, context.platform, VirtualClock())


@when("its usage is written while the platform has {text}")
def write(context, text):
    platform, writes = context.platform, WRITES
    if text == "the instance crashes before the first write":
        return
    if text == "the instance crashes after the first batch":
        platform.faults, writes = ["", "lost request"], 1
    elif text == "down for the first write":
        platform.faults = ["down", "down"]
    elif text != "no fault":
        platform.faults = text.split(", ")

    async def write_often():
        for _ in range(writes):
            await context.usage_writer.write()

    logging.disable(logging.CRITICAL)
    try:
        asyncio.run(write_often())
    finally:
        logging.disable(logging.NOTSET)


@when("its usage is written and each record listed twice")
def write_twice(context):
    write(context, "no fault")
    for (plural, name), obj in list(context.platform.objects.items()):
        context.platform.objects[plural, f"{name}-again"] = obj


@then("the usage totals are {school:d} for school and {rival:d} for rival")
def check_totals(context, school, rival):
    specs = [obj.spec for obj in context.platform.objects.values()]
    batches = [batch_from_data(spec) for spec in specs]
    for customer, count in (("school", school), ("rival", rival)):
        found = totals(batches, customer)
        counted = sum(usage.requests for usage in found.values())
        assert counted == count, (customer, found)
        assert sum(usage.output_tokens for usage in found.values()) == 50 * count


@when("i1 serves 2 bookings and 1 completion of 4 tokens, one refused, and stops")
def serve_and_stop(context):
    address = context.deployment.addresses["i1"]
    for kind in ("booking", "booking", "whole", "unpaid"):
        method, path, body, headers = REQUESTS[kind]
        call(address, path, method, body, {**CREDENTIAL, **headers})
    assert context.deployment.terminate("i1") == 0


@then(
    "the usage command of i2 shows {requests:d} requests and {tokens:d} output tokens"
)
def check_command(context, requests, tokens):
    operators = context.deployment.operators["i2"]

    def shown():
        out = io.StringIO()
        args = ["usage", "--instance", operators, "--customer", "university", "--json"]
        with contextlib.redirect_stdout(out):
            code = main(args)
        return json.loads(out.getvalue()) if code == 0 else {}

    wait_for(lambda: shown().get("total"), "usage shown")
    total = shown()["total"]
    assert (total["requests"], total["output_tokens"]) == (requests, tokens), total
