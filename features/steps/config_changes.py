"""Steps about versions of the configuration and what is built from them."""

import asyncio
from dataclasses import replace
from unittest import mock

from behave import given, then, when

from features.notice_machine import make_state
from features.planned_engines import BEFORE, Engines, LeaseStore, engine, models, table
from features.virtual_asyncio import VirtualTimeLoop
from marjoramstage._entry import placement_controller
from marjoramstage._entry.placement_controller import PlacementController
from marjoramstage.coordination.load_rate_limiter import LoadRateLimiter
from marjoramstage.protocol.peers import EntryReport
from marjoramstage.state.store_era import StoreEra

HELD = {"1": ("m1", "m2", "m3"), "2": ("m4", "m5")}
# Requests in 1000 s for models whose callers can wait for a load.
IDLE_RATES = {f"{service} m{n}": 20 for service in "ab" for n in range(1, 10)}


# The versions of each change, one after the other, 1 s apart.
VERSIONS = {
    "changes nothing": [BEFORE],
    "adds m7 and m8 to a": [BEFORE | {"a": engine(models(*range(1, 9)))}],
    "lets the models of a take 110 GB": [
        BEFORE | {"a": engine(models(*range(1, 7)), 110.0)}
    ],
    "lets the models of a take 105 GB, then 70": [
        BEFORE | {"a": engine(models(*range(1, 7)), 105.0)},
        BEFORE,
    ],
    "drops m1 to m3 from a": [BEFORE | {"a": engine(models(4, 5, 6))}],
    "drops m6 of a, which is being loaded": [
        BEFORE | {"a": engine(models(*range(1, 6)))}
    ],
    "lets the targets of a hold 1 adapter": [
        BEFORE | {"a": engine(models(*range(1, 7)), adapter_slots=1)}
    ],
    "drops b": [{"a": BEFORE["a"]}],
    "drops b and adds it again": [{"a": BEFORE["a"]}, BEFORE],
    "gives b no models, then others": [
        BEFORE | {"b": None},
        BEFORE | {"b": engine(models(8, 9))},
    ],
}


@given("an instance that gives orders, with services a and b of 2 targets each")
def plan_instance(context):
    context.loop = VirtualTimeLoop()
    context.state = make_state(context.loop)
    context.state.settings = replace(context.state.settings, first_start=True)
    context.state.targets_listed = True


@given("each target has 220 GB, and models of 70 GB: m1 to m6, of which m6 isn't held")
def plan_targets(context):
    state = context.state
    state.apply_routes(table(1, BEFORE))
    context.engines = Engines(state)
    for service in ("a", "b"):
        for number, held in HELD.items():
            context.engines.add(f"{service}{number}", service, held)


@when("a version {change}, and requests wait for {wanted}")
def change_version(context, change, wanted):
    service, _, names = wanted.partition(" ")
    waiting = {f"{service} {name}": 3 for name in names.split(", ")}
    versions = [table(n, v) for n, v in enumerate(VERSIONS[change], start=2)]
    loop = context.loop
    with mock.patch.object(placement_controller, "seconds_since_boot", loop.time):
        loop.run_until_complete(run_changes(context, versions, waiting))


async def run_changes(context, versions, waiting):
    state, engines = context.state, context.engines
    controller = PlacementController(
        state, LeaseStore(), None, "me", lambda address, view: None, StoreEra()
    )
    controller._target_control = engines
    state.background.keep("placement", controller.run)
    await asyncio.sleep(6.0)  # it holds the lease by then
    assert controller.may_send_orders
    for version in versions:
        state.apply_routes(version)
        await asyncio.sleep(1.0)
    engines.loaded.clear()
    for number in range(120):
        report = EntryReport(
            "i1", "me", "x", number + 1, waiting=waiting, slow_rates=IDLE_RATES
        )
        controller.receive_report(report)
        await asyncio.sleep(0.1)
    state.background.stop()


@then("{loaded} are loaded within 12 s")
def check_loaded(context, loaded):
    service, _, names = loaded.partition(" ")
    wanted = {f"{service} {name}" for name in names.split()}
    assert wanted <= context.engines.loaded, context.engines.loaded
    if loaded == "nothing":
        assert not context.engines.loaded, context.engines.loaded


@then("no target is ordered over its places, or its memory by any size since the load")
def check_memory(context):
    assert not context.engines.over, context.engines.over


@given("a limit of 1 load a second from the weight store, in windows of 5 s")
def make_limiter(context):
    context.limiter = LoadRateLimiter(1.0, 5.0, 1.0)


def start_loads(limiter, now_s):
    count = 0
    while limiter.allows(now_s):
        limiter.record_load(now_s)
        count += 1
    return count


@when("a version allows 4 a second, and a later one 1 again")
def change_rates(context):
    limiter, found = context.limiter, []
    for now_s, per_s in enumerate((1.0, 4.0, 1.0)):
        limiter.replace_rate(per_s)
        found.append(start_loads(limiter, float(now_s)))
    context.found = found


@then("{first:d}, {most:d} and no further loads may start in a window")
def check_rates(context, first, most):
    assert context.found == [first, most - first, 0], context.found


@given("an instance that served {count:d} services, each of a version of its own")
def serve_services(context, count):
    context.loop = VirtualTimeLoop()
    context.state = state = make_state(context.loop)
    for number in range(count):
        state.apply_routes(table(number + 1, {f"s{number}": engine(["m1"])}))
        state.demand.note(f"s{number} m1", True, 0.0)
        state.retry_budget(f"s{number}").earn(0.0)
    context.last = table(count + 1, {f"s{count - 1}": engine(["m1"])})


@when("their retries are over and a version with one service comes into force")
def end_retries(context):
    window_s = context.state.settings.bounds.retry_window_s
    context.loop.run_until_complete(asyncio.sleep(window_s + 1.0))
    context.state.apply_routes(context.last)


@then("it reports the demand for the models of that service alone")
def check_demand(context):
    found = context.state.demand.slow.per_thousand_s(context.loop.time())
    assert list(found) == ["s39 m1"], found


@then("it keeps one retry budget")
def check_budgets(context):
    assert list(context.state._budgets) == ["s39"], context.state._budgets


@given("a holder that knows of {known:d} instances and gets reports of {reporting:d}")
def make_new_holder(context, known, reporting):
    context.loop, context.views = VirtualTimeLoop(), []
    state = make_state(context.loop)
    state.settings = replace(state.settings, first_start=True)
    state.instance_count = known
    context.controller = PlacementController(
        state,
        None,
        None,
        "me",
        lambda address, view: context.views.append(view),
        StoreEra(),
    )
    for number in range(reporting):
        report = EntryReport(f"i{number}", f"10.0.0.{number}:1", "x", 1)
        context.controller.receive_report(report)


@when("it sends a view {after_s:g} s after it took the lease")
def send_view(context, after_s):
    with mock.patch.object(placement_controller, "seconds_since_boot", lambda: 50.0):
        context.controller._on_lease_held(3)
    context.controller.views.send(50.0 + after_s, 3, False)


@then("the view names {named:d} instances")
def check_named(context, named):
    assert context.views[-1].instances == named, context.views[-1].instances
