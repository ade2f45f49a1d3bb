"""Steps about quotas of customers, on the whole path."""

import json
import time
from concurrent.futures import ThreadPoolExecutor

from behave import given, then, when

from features.entry_deployment import (
    config,
    put,
    ready_status,
    start_instance,
    start_store,
    start_target,
)
from features.open_load import OpenLoad
from features.processes import wait_for
from marjoramstage.coordination.customer_quotas import WINDOW_MARGIN_S

WINDOW_S = 8.0
PER_S = BURST = 10.0
ALLOWED = (PER_S * WINDOW_S + BURST) * 1.1
NAMES = ("hot", "calm")


def _start(context, instances, quota):
    start_store(context)
    document = config()
    document["tenants"] = [
        {"name": name, "api_keys": [f"KEY-{name}"], **quota} for name in NAMES
    ]
    put(context, "config", "main", document)
    for number in (1, 2, 3):
        start_target(context, f"s{number}", "plain", None)
    for number in range(1, instances + 1):
        start_instance(context, f"i{number}", number)
    for name in context.instances:
        wait_for(lambda name=name: ready_status(context, name) == 200, f"{name} ready")
    time.sleep(1.0)


@given(
    "{instances:d} instances and customers with 10 requests a second and 10 more at "
    "once"
)
def start(context, instances):
    quota = {"unit": "requests", "rate_per_s": PER_S, "burst": BURST}
    _start(context, instances, quota)


@given("{instances:d} instances and customers without quotas")
def start_without(context, instances):
    _start(context, instances, {})


@when(
    "one sends {hot:g} requests a second and one sends {calm:g} for {for_s:g} s, "
    "{event}"
)
def send(context, hot, calm, for_s, event):
    share = 0.9 if event == "i1 gets nine of ten" else 0.0
    events, context.killed = [], ""
    match event.split():
        case [name, "is", "killed", "at", at_s, "s"]:
            context.killed = name
            kill = context.deployment.processes[name].kill
            events = [(float(at_s), kill)]
    loads = (
        OpenLoad("/any/x", hot, favourite_share=share, seed=1, key="KEY-hot"),
        OpenLoad("/any/x", calm, seed=2, key="KEY-calm"),
    )
    context.began_s, context.for_s = time.monotonic(), for_s
    with ThreadPoolExecutor(len(loads)) as pool:
        futures = [
            pool.submit(load.send_for, context.instances, for_s, events * (n == 0))
            for n, load in enumerate(loads)
        ]
        context.sent = dict(zip(NAMES, [f.result() for f in futures], strict=True))


def _arrivals(context, name):
    """Return when requests of a customer reached a target, sorted."""
    ids = {sent.request_id for sent in context.sent[name]}
    return sorted(
        at_s
        for target in context.targets.values()
        for at_s, request_id in zip(target.arrivals, target.arrival_ids, strict=True)
        if request_id in ids
    )


@then("neither is sent more than its quota allows in any window")
def check_bound(context):
    for name in NAMES:
        times = _arrivals(context, name)
        most = max(
            sum(begin <= at_s < begin + WINDOW_S for at_s in times) for begin in times
        )
        print(f"{name}: {most} in {WINDOW_S:g} s, {ALLOWED:g} allowed")
        assert most <= ALLOWED, f"{name}: {most}, {ALLOWED:g} allowed"


@then("the first gets at least {share:g} of its quota from {from_s:g} s on")
def check_used(context, share, from_s):
    begin_s, end_s = context.began_s + from_s, context.began_s + context.for_s
    count = sum(begin_s <= at_s < end_s for at_s in _arrivals(context, "hot"))
    wanted = share * PER_S * (context.for_s - from_s)
    print(f"hot: {count} from {from_s:g} s on, {wanted:g} wanted")
    assert count >= wanted, (count, wanted)


@then("of the other's requests at most {share:g} are refused because of its quota")
def check_calm(context, share):
    sent = [s for s in context.sent["calm"] if s.instance != context.killed]
    refused = sum(s.status == 429 for s in sent)
    print(f"calm: {refused} of {len(sent)} refused")
    assert refused <= share * len(sent), (refused, len(sent))


@then("refusals tell when to come back, and the log tells why")
def check_refusals(context):
    refused = [s for s in context.sent["hot"] if s.status == 429]
    assert refused
    for sent in refused:
        assert 0 < float(sent.retry_after) <= WINDOW_S + WINDOW_MARGIN_S, sent
        assert sent.took_s < 1.0, sent
    text = (context.deployment.folder / "i1.log").read_text()
    lines = [json.loads(line) for line in text.splitlines()]
    logged = [line for line in lines if line["event"] == "over the quota"]
    assert logged
    for line in logged:
        assert line["customer"] == "hot" and line["limit"] == int(ALLOWED), line
        assert line["used"] >= 0 and line["age_s"] >= 0, line


@then("nobody is refused")
def check_all_served(context):
    sent = context.sent["hot"] + context.sent["calm"]
    assert {s.status for s in sent} == {200}, {s.status for s in sent}
