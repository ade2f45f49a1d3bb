"""Steps about what the holder of the lease sends and sums up."""

import asyncio
import itertools
import math
from unittest import mock

from behave import given, then, when

from features.virtual_asyncio import VirtualTimeLoop
from marjoramstage import logs
from marjoramstage._entry import placement_controller
from marjoramstage._entry.event_log import EventLog
from marjoramstage._entry.instance_state import InstanceState
from marjoramstage._entry.placement_controller import PlacementController
from marjoramstage.coordination.instance_reports import (
    InstanceReports,
    min_report_interval_s,
)
from marjoramstage.coordination.view_pacing import takeover_rank
from marjoramstage.protocol.peers import (
    EntryReport,
    FleetView,
    HeldItems,
    encode,
)
from marjoramstage.state.fleet import FleetTarget, Item
from marjoramstage.state.node_settings import NodeSettings
from marjoramstage.state.routes import CallerLimits, RouteTable, Service
from marjoramstage.state.store_era import StoreEra

TICK_S = 0.02
VIEW_INTERVAL_S = 0.25
TARGETS = 64
BYTES_PER_S_PER_MBPS = 125_000
FAST_BYTES_PER_S, SLOW_BYTES_PER_S = 25_000_000, 1_250_000


class FakeClock:
    now_s = 0.0

    def now(self):
        return self.now_s


def _settings(mbps):
    return NodeSettings(
        "i0",
        "10.0.0.1",
        "a",
        "10.0.0.1:80",
        "10.0.0.1:81",
        "10.0.0.2:80",
        (7000,),
        link_bytes_per_s=mbps * BYTES_PER_S_PER_MBPS,
    )


def _report(number, sequence):
    running = {f"i-{n:010x} m{n % 20:08x}": 1 for n in range(TARGETS)}
    rates = {f"s m{n:08x}": 500 for n in range(100)}
    return EntryReport(
        f"i{number}",
        f"10.0.1.{number}:7000",
        "x",
        sequence,
        running=running,
        fast_rates=rates,
    )


@given("a holder with a link of {mbps:d} Mbit/s that {count:d} instances report to")
def make_holder(context, mbps, count):
    clock = FakeClock()
    events = EventLog(logs.component_logger("entry"), clock)
    state = InstanceState(_settings(mbps), clock, events)
    state.table = RouteTable(1, (), {"s": Service("s")}, CallerLimits())
    state.targets_listed = True
    context.sent = []

    def send_view(address, view):
        context.sent.append((clock.now_s, view))

    context.clock, context.mbps = clock, mbps
    context.controller = PlacementController(
        state, None, None, "", send_view, StoreEra()
    )
    for number in range(count):
        context.controller.receive_report(_report(number, 1))


@when("orders are answered all the time for {for_s:d} s")
def run_holder(context, for_s):
    context.for_s = for_s
    while context.clock.now_s < for_s:
        context.clock.now_s += TICK_S
        context.controller.views.request()
        context.controller.run_placement(context.clock.now_s)


@then("views took at most {share:g} of the link")
def check_link(context, share):
    sizes = {id(view): len(encode(view)) for _, view in context.sent}
    sent_bytes = sum(sizes[id(view)] for _, view in context.sent)
    one_round = sum(sizes[id(v)] for at_s, v in context.sent if at_s <= TICK_S)
    limit = share * context.for_s * context.mbps * BYTES_PER_S_PER_MBPS
    assert sent_bytes <= limit + one_round, (sent_bytes, limit, one_round)


@then("each round of views was encoded once")
def check_encoded(context):
    rounds = {at_s for at_s, _ in context.sent}
    messages = {id(view) for _, view in context.sent}
    assert len(messages) == len(rounds), (len(messages), len(rounds))


@then("instances waited at most {most_s:g} s for a view")
def check_fresh(context, most_s):
    times = sorted({at_s for at_s, _ in context.sent})
    gaps = [b - a for a, b in zip(times, [*times[1:], context.for_s], strict=True)]
    assert max(gaps) <= most_s + TICK_S, max(gaps)


@when("one of 64 targets changes what it holds every {gap_s:g} s for {for_s:d} s")
def change_targets(context, gap_s, for_s):
    held = {f"t{n}": HeldItems(f"t{n}", 1, ("m0",), n) for n in range(TARGETS)}
    receiver = InstanceState(_settings(10), context.clock, None)
    receiver.events = mock.Mock()
    controller, context.changed_s, context.known_s = context.controller, {}, {}
    context.full_s, step = [], 0
    with mock.patch.object(
        controller.views, "_held_items", lambda: tuple(held.values())
    ):
        while context.clock.now_s < for_s:
            context.clock.now_s += TICK_S
            now_s = context.clock.now_s
            if now_s >= gap_s * (step + 1):
                step += 1
                name, items = f"t{step % TARGETS}", ("m0", f"m{step}")
                held[name] = HeldItems(name, 1, items, step)
                context.changed_s[name, f"m{step}"] = now_s
                controller.views.request()
            controller.run_placement(now_s)
            _receive(context, receiver, now_s)


def _receive(context, receiver, now_s):
    """Apply the views sent just now; note which changes are known by them."""
    for view in {id(v): v for at_s, v in context.sent if at_s == now_s}.values():
        receiver.apply_view(view)
        if not view.partial:
            context.full_s.append(now_s)
    for name, model in context.changed_s.keys() - context.known_s.keys():
        target = FleetTarget(name, 1, "s", "10.0.0.1:80", "a", 4, items=frozenset())
        if receiver.servable_items.holds(target, Item(model)):
            context.known_s[name, model] = now_s


@then("an instance that gets the views knows each change within {most_s:g} s")
def check_changes(context, most_s):
    late = {
        key: context.known_s.get(key)
        for key, at_s in context.changed_s.items()
        if context.known_s.get(key, math.inf) - at_s > most_s + TICK_S
    }
    assert context.changed_s and not late, late


@then("it knows at most {most_s:g} s late how many requests run")
def check_full(context, most_s):
    times = [0.0, *context.full_s]
    gaps = [b - a for a, b in itertools.pairwise(times)]
    assert max(gaps) <= most_s, max(gaps)


@then("views took at most a third of the bytes that full ones would take")
def check_partial(context):
    views = {id(v): v for _, v in context.sent}.values()
    full = max(len(encode(v)) for v in views if not v.partial)
    partial = [len(encode(v)) for v in views if v.partial]
    assert partial and 3 * sum(partial) <= full * len(partial), (sum(partial), full)


@when("200 instances on fast links and 200 on slow ones choose their ranks")
def choose_ranks(context):
    context.fast = {takeover_rank(n, FAST_BYTES_PER_S) for n in range(200)}
    context.slow = {takeover_rank(n, SLOW_BYTES_PER_S) for n in range(200)}


@then("each fast one comes before each slow one")
def check_ranks(context):
    assert max(context.fast) < min(context.slow), (context.fast, context.slow)


@when("{count:d} instances report for {for_s:d} s while requests wait all the time")
def report_often(context, count, for_s):
    context.per_s = count / min_report_interval_s(count)
    reports = InstanceReports()
    for number in range(count):
        reports.add(_report(number, 1), 0.0)
    sums = set()
    for step in range(math.ceil(for_s / TICK_S)):
        sums.add(id(reports.demand(("s",), step * TICK_S * 0.1)["s"]))
    context.sums_per_s = len(sums) / (for_s * 0.1)


@then(
    "the holder gets at most {most:d} reports a second "
    "and sums them up at most {sums:d} times"
)
def check_reports(context, most, sums):
    assert context.per_s <= most, context.per_s
    assert context.sums_per_s <= sums, context.sums_per_s


@given("an instance that gets a view of the holder every 0.25 s")
def make_follower(context):
    make_holder(context, 200, 0)
    context.wakes = []


@when("its part in the lease runs for {for_s:d} s")
def run_follower(context, for_s):
    loop = VirtualTimeLoop()
    context.add_cleanup(loop.close)
    controller, sleep = context.controller, asyncio.sleep
    context.asked_s = []

    async def counted_sleep(delay_s):
        context.wakes.append(loop.time())
        await sleep(delay_s)

    def ask(rank, now_s):
        context.asked_s.append(now_s)
        return []

    async def run():
        task = loop.create_task(controller.run())
        for number in range(int(for_s / VIEW_INTERVAL_S)):
            controller.receive_view(FleetView("other", 1, number, 2))
            await sleep(VIEW_INTERVAL_S)
        context.last_view_s = loop.time() - VIEW_INTERVAL_S
        await sleep(2.0)
        task.cancel()

    with (
        mock.patch.object(placement_controller, "seconds_since_boot", loop.time),
        mock.patch.object(placement_controller.asyncio, "sleep", counted_sleep),
        mock.patch.object(controller.elector, "tick", ask),
    ):
        loop.run_until_complete(run())


@then(
    "it woke at most {most:d} times a second, "
    "and knows within {late:g} s that views stopped"
)
def check_follower(context, most, late):
    wakes = [at_s for at_s in context.wakes if at_s <= context.last_view_s]
    assert len(wakes) <= most * context.last_view_s, len(wakes)
    lapsed_s = context.last_view_s + placement_controller.VIEW_TTL_S
    assert lapsed_s <= context.asked_s[0] <= lapsed_s + late, context.asked_s[0]
