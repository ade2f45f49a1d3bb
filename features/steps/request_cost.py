"""Steps about the work of requests and the targets that are chosen by it."""

import random
import statistics
from dataclasses import replace

from behave import given, then, when
from multidict import CIMultiDict

from features.load_simulation import LoadSimulation, Traffic
from features.simulated_engine import EngineSpeed
from marjoramstage import platform
from marjoramstage._entry.request_criteria import criteria_for
from marjoramstage.coordination.dispatcher import (
    Dispatcher,
    RunningRequests,
    ServableItems,
    TargetCriteria,
)
from marjoramstage.coordination.prefill_backlog import PrefillBacklog
from marjoramstage.coordination.request_cost import (
    MAX_LEARNED,
    CostModel,
    RequestWork,
    StreamObserved,
)
from marjoramstage.coordination.target_backlog import TargetBacklog
from marjoramstage.coordination.target_health import TargetHealth
from marjoramstage.state.fleet import FleetTarget, Item
from marjoramstage.state.prompts import PromptPart
from marjoramstage.state.routes import (
    CallerLimits,
    EngineSpec,
    ModelSpec,
    Route,
    RouteTable,
    Service,
    ServiceWeight,
)

NOW_S = 100.0
ENDED = ("in time", "late")
MODELS = {"m0": 20_000.0, "m1": 30_000.0, "m2": 60_000.0}
SPEED = EngineSpeed(
    0.00443,
    0.00004,
    cached_tokens=60_000,
    context_tokens=100_000,
    slowness=(("m1", 1.5), ("m2", 2.5)),
)
PARTS = tuple(400 + n * 37 % 12 * 250 for n in range(24))
CAPACITY = 100_000


def _spec(capacity=CAPACITY):
    models = {name: ModelSpec(name, mb, 5.0, 1.0, 0.4) for name, mb in MODELS.items()}
    return EngineSpec(48, 200_000.0, 8, 1.9, models, context_tokens=capacity)


@given("8 engines, 3 models of unlike speed and unlike requests {parts}")
def make_load(context, parts):
    names = tuple(MODELS)
    chat = Traffic(
        "chat", 60, 0.4, 0.25, 15, 1, 0.5, 0, (250, 1.0, 4000), (24, 1, 150), names
    )
    document = Traffic(
        "document", 5, 1, 0.25, 15, 1, 0.5, 1, (2500, 1.2, 9000), (10, 1.2, 60), names
    )
    for traffic in (chat, document):
        traffic.busy, traffic.hint_spread = 3, 0.8
        traffic.prefixes = PARTS if parts == "that share parts" else (0,)
    context.traffic = chat, document


@when(
    "16 s are simulated at {instances:d} instances with and without known work, "
    "seeds 1 to {most:d}, {told}"
)
def simulate(context, instances, most, told):
    announced = told == "prompts announced"
    context.runs = {known: [] for known in (True, False)}
    for known, runs in context.runs.items():
        for seed in range(1, most + 1):
            simulation = LoadSimulation(
                _spec(),
                context.traffic,
                seed=seed,
                length_s=16,
                targets=8,
                instances=instances,
                speed=SPEED,
                hot_shares=(0.5, 0.3, 0.2),
                models_per_engine=3,
                first_copies=3,
                spare_disk_models=0,
                announces_prompts=announced,
                view_interval_s=0.1 if announced else 0.5,
                states_work=known,
                choice_rng=random.Random(seed),
            )
            simulation.run()
            runs.append(simulation)


def _ratio(context, figure):
    """Return a figure of the runs with known work over that of those without."""
    values = {known: figure(runs) for known, runs in context.runs.items()}
    print(figure.__name__, {known: round(v, 3) for known, v in values.items()})
    return values[True] / values[False]


def _percentile(values):
    return statistics.quantiles(values, n=20)[-1]


def _begun(runs):
    return [req for run in runs for req in run.requests if req.first_s is not None]


def first_event(runs):
    return _percentile([req.first_s for req in _begun(runs)])


def pause(runs):
    return _percentile([req.pause_s for req in _begun(runs)])


def read_tokens(runs):
    return sum(engine.read_tokens for run in runs for engine in run.engines.values())


def busiest(runs):
    """Return the busiest engine's running requests over the mean of all."""
    found = []
    for run in runs:
        times = [engine.running_time_s for engine in run.engines.values()]
        found.append(max(times) / statistics.mean(times))
    return statistics.mean(found)


def lost_share(runs):
    requests = [req for run in runs for req in run.requests]
    return sum(req.outcome not in ENDED for req in requests) / len(requests)


@then("the first event comes at most {most:g} times as late, at the 95th percentile")
def check_first(context, most):
    assert _ratio(context, first_event) <= most


@then("pauses are at most {most:g} times as long, at the 95th percentile")
def check_pauses(context, most):
    assert _ratio(context, pause) <= most


@then("at most 1 in 100 more requests is lost")
def check_lost(context):
    lost = {known: lost_share(runs) for known, runs in context.runs.items()}
    assert lost[True] <= lost[False] + 0.01, lost


@then("the busiest engine has at most {most:g} more of the mean than without")
def check_busiest(context, most):
    assert _ratio(context, busiest) <= 1 + most


@then("engines read at most {most:g} times as many tokens")
def check_read(context, most):
    assert _ratio(context, read_tokens) <= most


def _work(item="m", parts=("a", "b"), **fields):
    shared = tuple(PromptPart(part, 1000) for part in parts)
    values = {"prompt_tokens": 2500, "output_tokens": 400, "parts": shared}
    values |= {"capacity_tokens": CAPACITY, **fields}
    return RequestWork("s", Item(item), **values)


class Chooser:
    """The parts of an instance that choose a target."""

    def __init__(self, names=("t1", "t2")):
        items = frozenset((Item("m"), Item("m2")))
        self.targets = {
            name: FleetTarget(name, 1, "s", "10.0.0.1:80", "a", 48, items=items)
            for name in names
        }
        self.running, self.prefill = RunningRequests(), PrefillBacklog()
        self.backlog, self.now_s = TargetBacklog(), NOW_S
        self.dispatcher = Dispatcher(
            "a",
            ServableItems(),
            self.running,
            TargetHealth(),
            self.prefill,
            random.Random(1),
            backlog=self.backlog,
        )

    def send(self, name, work):
        self.running.begin(name, work.item)
        self.backlog.record_sent(self.targets[name], work, 0.0, self.now_s)

    def choose(self, work):
        criteria = TargetCriteria("s", work.item, tokens=2500, work=work)
        found = self.dispatcher.choose(criteria, self.targets.values(), self.now_s)
        first = self.dispatcher.assess(criteria, self.targets.values(), self.now_s)[0]
        assert first.exclusion is None and first.target == found, (first, found)
        return found.name


@given("targets t1 and t2 that hold m, and a request with shared parts of 2000 tokens")
def make_chooser(context):
    context.chooser, context.wanted = Chooser(), _work()


@when("one with the same parts was sent to t2 and {change}")
def change_second(context, change):
    chooser = context.chooser
    # Parts whose preferred target is t1, so that only what was sent leads to t2.
    number = 0
    while chooser.choose(context.wanted) != "t1":
        number += 1
        context.wanted = _work(parts=(f"a{number}", "b"))
    parts = tuple(part.id for part in context.wanted.parts)
    sent = _work(parts=parts)
    chooser.send("t2", sent)
    chooser.running.end("t2", sent.item)
    chooser.backlog.record_ended("t2", sent)
    match change:
        case "t2 has 30 requests more":
            chooser.running.set_running({"t2": 30})
        case "t2 has 8000 prompt tokens to read":
            chooser.prefill.record_sent("t2", 8000, chooser.now_s)
        case "t2 has restarted":
            chooser.targets["t2"] = replace(chooser.targets["t2"], incarnation=2)
        case "61 s have passed":
            chooser.now_s += 61
        case "t2 was sent 60000 other tokens":
            other = _work(parts=(), prompt_tokens=60_000)
            chooser.send("t2", other)
            chooser.running.end("t2", other.item)
            chooser.backlog.record_ended("t2", other)
        case "t2 is full":
            chooser.running.set_running({"t2": 60})
        case "the model is another":
            context.wanted = _work("m2", parts)
            while chooser.choose(context.wanted) != "t1":
                parts = (f"{parts[0]}0", "b")
                chooser.send("t2", _work(parts=parts))
                context.wanted = _work("m2", parts)
        case _:
            assert change == "it has ended", change


@then("it {goes} to t2 for its parts")
def check_goes(context, goes):
    name = context.chooser.choose(context.wanted)
    assert (name == "t2") == (goes == "goes"), name


@given("{count:d} other instances with targets in another order")
def make_others(context, count):
    names = [f"t{number}" for number in range(8)]
    context.choosers = []
    for seed in range(count):
        random.Random(seed).shuffle(names)
        context.choosers.append(Chooser(tuple(names)))


@then("10 requests with unlike parts each go to the same target from all of them")
def check_homes(context):
    context.homes = set()
    for number in range(10):
        wanted = _work(parts=(f"p{number}", "b"))
        chosen = {chooser.choose(wanted) for chooser in context.choosers}
        assert len(chosen) == 1, chosen
        context.homes |= chosen


@then("not all of them to one target")
def check_spread(context):
    assert len(context.homes) > 2, context.homes


@given("a request with {stated} and observed streams of {events} events each")
def observe_streams(context, stated, events):
    fields = {"output_tokens": 0, "route": "r", "customer": "own"}
    for term in stated.split(" and "):
        name, value = term.removeprefix("a ").split(" of ")
        fields["length_hint" if name == "hint" else "output_tokens"] = int(value)
    context.model, context.wanted = CostModel(), _work(**fields)
    if events == "none":
        return
    counts = [int(term.split(" by ")[0]) for term in events.split(", ")]
    for number in range(2000):
        is_own = len(counts) > 1 and number % 20 == 0
        count = counts[1] if is_own else counts[0]
        customer = "own" if is_own else f"other{number % 50}"
        seen = StreamObserved("t1", count, 0.1, 0.01 * (count - 1), 100)
        context.model.observe(_work(**{**fields, "customer": customer}), seen)


@then("it is expected to take {tokens:d} tokens and {seconds:g} s to write")
def check_estimate(context, tokens, seconds):
    target = FleetTarget("t1", 1, "s", "10.0.0.1:80", "a", 48)
    found = context.model.estimate(context.wanted, target)
    got = found.context_tokens - 2500, found.decode_s
    assert abs(got[0] - tokens) <= 0.1 * tokens, got
    assert abs(got[1] - seconds) <= 0.1 * seconds, got


@when("streams of 300 targets, 20 models and 9000 customers are observed")
def observe_many(context):
    context.model = CostModel()
    for number in range(9000):
        work = _work(f"m{number % 20}", length_hint=50, customer=f"c{number}")
        seen = StreamObserved(f"t{number % 300}", 9, 0.1, 0.1, 800)
        context.model.observe(work, seen)


@then("at most {tables:d} tables of {values:d} values are kept")
def check_bounded(context, tables, values):
    assert values == MAX_LEARNED
    assert 0 < len(context.model) <= tables * values, len(context.model)


@then("no speed of a removed target is kept")
def check_forgotten(context):
    wanted = _work("m0", relative_speed=1.0)
    assert "t0" in context.model.token_s(wanted)
    context.model.forget_target("t0")
    assert "t0" not in context.model.token_s(wanted)


@given("a view counts 10 requests at t1 and 8 at t2, and 1 of ours runs at t2")
def count_others(context):
    context.chooser = Chooser()
    context.chooser.send("t2", _work(parts=()))
    context.chooser.running.set_running({"t1": 16, "t2": 9})
    context.chooser.backlog.learn(NOW_S)


@when("{age:g} s have passed since")
def pass_time(context, age):
    context.chooser.now_s += age


@then("a request with known work goes to {target}")
def check_aged(context, target):
    name = context.chooser.choose(_work(parts=()))
    assert name == target, name


@when('a caller sends "{headers}" to engines with memory for {capacity:d} tokens')
def parse_work(context, headers, capacity):
    route = Route("r", "h", "/", (ServiceWeight("s", 1),))
    services = {"s": Service("s", engine=_spec(capacity))}
    table = RouteTable(1, (route,), services, CallerLimits())
    sent = dict(term.split(": ") for term in headers.split("; "))
    parsed = platform.caller_headers(CIMultiDict({"Model": "m1", **sent}))
    context.work = criteria_for(table, route, "s", parsed, NOW_S).work


@then("its work is {known}")
def check_parsed(context, known):
    work = context.work
    if known == "not known":
        assert work is None, work
        return
    parts = " ".join(f"{part.id}:{part.tokens}" for part in work.parts)
    sizes = f"{work.prompt_tokens} + {work.output_tokens}, hint {work.length_hint}"
    assert f"{sizes}, {parts or 'no parts'}" == known, work
    assert work.relative_speed == 20 / 30, work
