"""Simulates callers and instances of a service on a virtual clock.

The instances run the product's own decisions; the targets are the engines of
`simulated_engine`.
"""

import itertools
import math
import random
from collections import Counter
from dataclasses import dataclass, field, replace

from features.simulated_engine import (
    SERVICE,
    CacheSizes,
    EngineSpeed,
    SimulatedEngine,
    VirtualLoop,
)
from marjoramstage.coordination.demand_rates import RATE_SCALE, DemandRates
from marjoramstage.coordination.demand_snapshot import DemandSnapshot
from marjoramstage.coordination.dispatcher import (
    Dispatcher,
    RunningRequests,
    ServableItems,
    TargetCriteria,
)
from marjoramstage.coordination.load_rate_limiter import LoadRateLimiter
from marjoramstage.coordination.placement_planner import PlacementPlanner
from marjoramstage.coordination.prefill_backlog import PrefillBacklog
from marjoramstage.coordination.request_cost import RequestWork
from marjoramstage.coordination.request_sizes import RequestSizes
from marjoramstage.coordination.target_backlog import TargetBacklog
from marjoramstage.coordination.target_health import TargetHealth
from marjoramstage.coordination.wait_policy import NoTargetReason, WaitPolicy
from marjoramstage.state.fleet import Item
from marjoramstage.state.prompts import PromptPart
from marjoramstage.state.routes import EngineSpec

WARM_UP_S = 2.0
PACING_FRACTION = 1.0
RETRY_SLACK_S = 0.3
ANNOUNCE_DELAY_S = 0.006


@dataclass
class Traffic:
    """A class of requests with its rate, latency goals, value and sizes.

    Attributes
    ----------
    prefixes : tuple of int
        Tokens of the leading parts that prompts share; the first ones are most usual.
    hint_spread : float
        Spread of the callers' hints of the length of answers.
    one_model_bursts : bool
        All requests of a burst are for the same model.
    """

    name: str
    per_s: float
    latency_goal_s: float
    pause_s: float
    deadline_s: float
    value: float
    late_value: float
    rank: int
    prompt: tuple
    events: tuple
    models: tuple
    adapter_share: float = 0.0
    busy: int = 0
    prefixes: tuple = ()
    hint_spread: float = 0.0
    one_model_bursts: bool = False


@dataclass(frozen=True)
class DemandShift:
    """Demand moves on by some positions in the list of models."""

    at_s: float
    positions: int
    for_s: float


@dataclass(frozen=True)
class Outage:
    """Targets fail for a time and restart with their disks unchanged."""

    at_s: float
    count: int
    for_s: float


@dataclass
class Request:
    """A request of a caller, who may retry it once.

    Attributes
    ----------
    software : str or None
        Version of the engine that began the stream which the caller resumes; None
        for a new stream.
    engines_left : int
        Engines of that version that served when the stream was resumed.
    """

    traffic: Traffic
    item: Item
    prompt: int
    tokens: int
    created_s: float
    instance: int
    arrived_s: float = 0.0
    retried: bool = False
    waited: bool = False
    first_s: float | None = None
    last_s: float = 0.0
    pause_s: float = 0.0
    generated: int = 0
    prefilled: int = 0
    criteria: TargetCriteria | None = None
    target: str = ""
    outcome: str = ""
    software: str | None = None
    engines_left: int = 0
    parts: tuple = ()
    work: RequestWork | None = None

    @property
    def until_s(self):
        return self.created_s + self.traffic.deadline_s

    @property
    def caller_wait_s(self):
        return max(2.0, 4 * self.traffic.latency_goal_s, 8 * self.traffic.pause_s)


class Instance:
    """The parts of one instance that make decisions."""

    def __init__(self, simulation, number, data_centre):
        self.simulation, self.number, self.data_centre = simulation, number, data_centre
        self.servable_items, self.running_requests = ServableItems(), RunningRequests()
        self.health, self.prefill_backlog = TargetHealth(), PrefillBacklog()
        self.rates, self.wait_policy = DemandRates(), WaitPolicy()
        self.request_sizes = RequestSizes()
        self.wait_queue, self.expected_retries = [], []
        self.backlog = TargetBacklog()
        self.dispatcher = Dispatcher(
            data_centre,
            self.servable_items,
            self.running_requests,
            self.health,
            self.prefill_backlog,
            simulation.choice_rng or simulation.rng,
            backlog=self.backlog,
        )
        self.assignment_scheduled = False

    def arrive(self, req):
        now_s = self.simulation.loop.now_s
        latency_critical = self.simulation.spec.is_latency_critical(
            req.item.model, req.traffic.latency_goal_s
        )
        self.rates.note(f"{SERVICE} {req.item.model}", latency_critical, now_s)
        self.request_sizes.record(req.prompt + req.tokens)
        req.criteria = TargetCriteria(
            SERVICE,
            req.item,
            tokens=req.prompt,
            pause_s=req.traffic.pause_s,
            pacing_deadline_s=now_s + PACING_FRACTION * req.traffic.latency_goal_s,
            software=req.software,
            work=req.work,
        )
        if self.try_dispatch(req):
            return
        self.wait_queue.append(req)
        self.decide_wait(req)
        self.schedule_assignment()

    def try_dispatch(self, req):
        now_s = self.simulation.loop.now_s
        targets = self.simulation.listed_targets()
        for _ in range(3):
            target = self.dispatcher.choose(req.criteria, targets, now_s)
            if target is None:
                return False
            if self.simulation.engines[target.name].accept(req):
                break
            self.health.record_unreachable(target.name, now_s)
        else:
            return False
        self.running_requests.begin(target.name, req.item)
        self._record_sent(req, target, now_s)
        self.simulation.schedule_announcement(self)
        req.target = target.name
        return True

    def _record_sent(self, req, target, now_s):
        tokens = req.prompt
        if req.work is not None:
            before_s = self.prefill_backlog.backlog_s(target.name, now_s)
            estimate = self.backlog.record_sent(target, req.work, before_s, now_s)
            tokens = estimate.uncached_tokens
        self.prefill_backlog.record_sent(target.name, tokens, now_s)

    def schedule_assignment(self):
        if self.assignment_scheduled or not self.wait_queue:
            return
        self.assignment_scheduled = True
        self.simulation.loop.after(0.01, self._assign_waiting)

    def _assign_waiting(self):
        self.assignment_scheduled = False
        key = lambda req: (req.traffic.rank, req.until_s)  # noqa: E731
        for req in sorted(self.wait_queue, key=key):
            if req.outcome or self.try_dispatch(req):
                self.wait_queue.remove(req)
        self.schedule_assignment()

    def decide_wait(self, req):
        if req.outcome or req not in self.wait_queue:
            return
        now_s = self.simulation.loop.now_s
        eligible = self.dispatcher.eligible(
            req.criteria, self.simulation.listed_targets(), now_s
        )
        reason = NoTargetReason.FULL if eligible else NoTargetReason.NOT_HELD
        remaining_s = min(req.until_s, req.arrived_s + req.caller_wait_s) - now_s
        waited_s = now_s - req.arrived_s
        eta_s = self.simulation.eta_s(req.criteria.item_version or req.item)
        decision = self.wait_policy.decide(reason, waited_s, remaining_s, eta_s)
        if not decision.refuse:
            req.waited = True
            self.simulation.loop.after(
                max(decision.wait_s, 0.001), self.decide_wait, req
            )
            return
        self.wait_queue.remove(req)
        if reason is NoTargetReason.NOT_HELD:
            until_s = now_s + decision.retry_after_s + RETRY_SLACK_S
            self.expected_retries.append((until_s, req.criteria))
        self.simulation.refused(req, decision.retry_after_s)

    def ended(self, req):
        self.running_requests.end(req.target, req.item)
        if req.work is None:
            return
        if req.outcome in ("in time", "late"):
            events = math.ceil(req.tokens / self.simulation.speed.tokens_per_event)
            first_s = req.created_s + req.first_s
            self.backlog.observe(req.target, req.work, events, first_s, req.last_s)
        self.backlog.record_ended(req.target, req.work)

    def awaited(self):
        """Return the criteria of waiting requests and of retries that are to come."""
        now_s = self.simulation.loop.now_s
        self.expected_retries = [
            pair for pair in self.expected_retries if pair[0] > now_s
        ]
        waiting = [req.criteria for req in self.wait_queue]
        return waiting + [criteria for _, criteria in self.expected_retries]


@dataclass
class LoadSimulation:
    """A simulated load; `run` returns the requests with their outcomes."""

    spec: EngineSpec
    traffic: tuple
    shifts: tuple = ()
    outages: tuple = ()
    seed: int = 1
    length_s: float = 30.0
    data_centres: tuple = ("a", "b", "c")
    targets: int = 6
    instances: int = 7
    burst_size: int = 3
    speed: EngineSpeed = field(default_factory=EngineSpeed)
    hot_shares: tuple = (0.533, 0.197, 0.148, 0.123)
    shift_step: int = 2
    models_per_engine: int = 2
    first_copies: int = 1
    spare_disk_models: int = 4
    caches: CacheSizes = field(default_factory=CacheSizes)
    report_interval_s: float = 0.1
    view_interval_s: float = 0.1
    announces_prompts: bool = True
    versions: tuple = ("",)
    states_work: bool = False
    # Of its own, so that other choices leave the sizes of later requests alone.
    choice_rng: random.Random | None = None

    def __post_init__(self):
        self.rng, self.loop = random.Random(self.seed), VirtualLoop()
        self.engines = {}
        for n in range(self.targets):
            data_centre = self.data_centres[n % len(self.data_centres)]
            name = f"t{n}"
            software = self.versions[n % len(self.versions)]
            self.engines[name] = SimulatedEngine(
                self.loop,
                name,
                data_centre,
                self.spec,
                self.speed,
                self.caches,
                software,
            )
        self._load_initial_models()
        self.delisted = set()
        self.members = [
            Instance(self, n, self.data_centres[n % len(self.data_centres)])
            for n in range(self.instances)
        ]
        self.planner = self._new_planner()
        self.requests = []
        self._load_etas = (0.0, {})
        self._listed_targets = []
        self._demand_due_s, self._demand_found = 0.0, DemandSnapshot()

    def _new_planner(self):
        rate = LoadRateLimiter(self.spec.loads_per_s, 5.0, 1.1)
        return PlacementPlanner(self.spec, rate)

    def _load_initial_models(self):
        """Load busy models at many targets, the others at one, as far as they fit."""
        engines = list(self.engines.values())
        names = [
            name
            for t in self.traffic
            if t.busy
            for name in t.models[: self.first_copies]
        ]
        names += list(self.spec.models)
        for name in itertools.islice(itertools.cycle(names), 4 * len(names)):
            fits = [
                e
                for e in engines
                if Item(name) not in e.items
                and len(e.items) < self.models_per_engine
                and sum(self.spec.models[i.model].memory_mb for i in e.items)
                + self.spec.models[name].memory_mb
                <= self.spec.memory_mb
            ]
            if fits:
                engine = min(fits, key=lambda e: len(e.items))
                engine.items.add(Item(name))
                engine.cache_weights(name)
        for engine in engines:
            others = self.rng.sample(list(self.spec.models), self.spare_disk_models)
            engine.disk = [m for m in others if m not in engine.disk] + engine.disk
            engine.trim_caches()

    # Callers

    def _shares(self, traffic, at_s):
        """Return the models of a request class and their weights at a time."""
        if not traffic.busy:
            weights = [(n + 1) ** -0.4 for n in range(len(traffic.models))]
            return list(traffic.models), weights
        weights = Counter()
        moved = 0.0
        for shift in self.shifts:
            part = min(1.0, max(0.0, (at_s - shift.at_s) / shift.for_s))
            moved += shift.positions * part
        step = self.shift_step
        low = int(moved // step * step)
        part = (moved - low) / step
        for offset, weight in ((low, 1 - part), (low + step, part)):
            for n, share in enumerate(self.hot_shares):
                name = traffic.models[(offset + n) % len(traffic.models)]
                weights[name] += weight * share
        return list(weights), list(weights.values())

    def _arrivals(self):
        for traffic in self.traffic:
            at_s = 0.0
            while at_s < self.length_s:
                rate = traffic.per_s / self.burst_size
                at_s += self.rng.expovariate(rate)
                size = self.rng.randint(1, 2 * self.burst_size - 1)
                instance = self.rng.randrange(self.instances)
                name = None
                if traffic.one_model_bursts:
                    name = self._pick_model(traffic, at_s)
                for _ in range(size):
                    when_s = at_s + self.rng.random() * 0.1
                    self.loop.at(when_s, self._arrive, traffic, instance, name)

    def _pick_model(self, traffic, at_s):
        names, weights = self._shares(traffic, at_s)
        return self.rng.choices(names, weights)[0]

    def _size(self, kind):
        mean, spread, most = kind
        value = self.rng.lognormvariate(math.log(mean) - spread**2 / 2, spread)
        return max(1, int(min(value, most)))

    def _arrive(self, traffic, instance, name=None):
        now_s = self.loop.now_s
        name = name or self._pick_model(traffic, now_s)
        adapters = self.spec.models[name].adapters
        adapter = ""
        if adapters and self.rng.random() < traffic.adapter_share:
            adapter = f"a{self.rng.randint(1, adapters)}"
        shared = 0.3 * traffic.prompt[0]
        req = Request(
            traffic,
            Item(name, adapter),
            int(shared + self._size(traffic.prompt)),
            self._size(traffic.events) * self.speed.tokens_per_event,
            now_s,
            instance,
        )
        req.arrived_s = now_s
        if traffic.prefixes:
            self._state_work(req)
        req.on_event = lambda ended: self._event(req, ended)
        self.requests.append(req)
        self.members[instance].arrive(req)
        self.loop.at(req.until_s, self._deadline, req)

    def _state_work(self, req):
        """Add shared parts to a prompt, and what its caller states of its work."""
        traffic = req.traffic
        weights = [1 / (n + 1) for n in range(len(traffic.prefixes))]
        number = self.rng.choices(range(len(weights)), weights)[0]
        size = traffic.prefixes[number]
        req.parts = ((f"{traffic.name}{number}", size),)
        req.prompt += size
        hint = int(req.tokens * self.rng.lognormvariate(0, traffic.hint_spread))
        if self.states_work:
            req.work = RequestWork(
                SERVICE,
                req.item,
                req.prompt,
                traffic.events[2] * self.speed.tokens_per_event,
                max(1, hint),
                traffic.name,
                parts=tuple(PromptPart(*part) for part in req.parts),
                capacity_tokens=self.spec.context_tokens,
                relative_speed=self.spec.relative_speed(req.item.model),
            )

    def _event(self, req, ended):
        now_s = self.loop.now_s
        if req.first_s is None:
            req.first_s = now_s - req.created_s
        else:
            req.pause_s = max(req.pause_s, now_s - req.last_s)
        req.last_s = now_s
        if ended:
            in_time = req.first_s <= req.traffic.latency_goal_s
            smooth = req.pause_s <= req.traffic.pause_s
            self._end(req, "in time" if in_time and smooth else "late")

    def _end(self, req, outcome):
        if req.outcome:
            return
        req.outcome = outcome
        member = self.members[req.instance]
        if req.target:
            self.engines[req.target].cancel(req)
            member.ended(req)
            member.schedule_assignment()

    def _deadline(self, req):
        self._end(req, "deadline")

    def refused(self, req, after_s):
        """Let a refused caller retry once, after the time it was given."""
        now_s = self.loop.now_s
        remaining_s = req.until_s - now_s
        if req.retried or remaining_s <= 0:
            req.outcome = "refused"
            return
        req.retried = True
        self.loop.after(min(after_s, remaining_s / 3), self._retry, req)

    def _retry(self, req):
        if req.outcome:
            return
        req.instance = self.rng.randrange(self.instances)
        req.arrived_s = self.loop.now_s
        self.members[req.instance].arrive(req)

    # State announced to the instances

    def listed_targets(self):
        return self._listed_targets

    def eta_s(self, item):
        received_s, etas = self._load_etas
        found = etas.get(item)
        return None if found is None else max(0.0, received_s + found - self.loop.now_s)

    def schedule_announcement(self, member):
        if not self.announces_prompts:
            return
        self.loop.after(ANNOUNCE_DELAY_S, self._announce_prompts, member)

    def _announce_prompts(self, member):
        announced = member.prefill_backlog.take_unannounced()
        if not announced:
            return
        work_ms = member.backlog.take_unannounced()
        for other in self.members:
            if other is not member:
                other.prefill_backlog.record_remote(announced, self.loop.now_s)
                other.backlog.record_remote(work_ms, self.loop.now_s)

    # Planner

    def _tick(self):
        now_s = self.loop.now_s
        for engine in self.engines.values():
            if engine.up:
                engine.save_report()
        self._listed_targets = [
            e.listing() for e in self.engines.values() if e.name not in self.delisted
        ]
        self.planner.update_targets(self._listed_targets, now_s)
        for target_state in self.planner.target_states.values():
            if not target_state.needs_report(now_s):
                continue
            report = self.engines[target_state.target.name].report()
            if report is None:
                target_state.record_missing_report(now_s)
                continue
            resend = target_state.record_report(report, now_s)
            if resend is not None:
                self._execute_order(resend)
        self.planner.usable_slots = self.members[0].request_sizes.usable_slots(
            self.spec.slots, self.spec.context_tokens
        )
        for order in self.planner.plan_orders(self._demand(), now_s):
            self._execute_order(order)
        self.loop.after(0.05, self._tick)

    def _execute_order(self, order):
        answer = self.engines[order.target].order(order)
        self.planner.target_states[order.target].record_answer(answer, self.loop.now_s)

    def _demand(self):
        now_s = self.loop.now_s
        if now_s < self._demand_due_s:
            return self._demand_found
        self._demand_due_s = now_s + self.report_interval_s
        self._demand_found = self._sum_demand(now_s)
        return self._demand_found

    def _sum_demand(self, now_s):
        waiting, running, resuming = Counter(), Counter(), Counter()
        sums = {"fast": Counter(), "slow": Counter(), "latency_critical": Counter()}
        for member in self.members:
            awaited = member.awaited()
            waiting.update(c.item for c in awaited)
            resuming.update(c.item_version for c in awaited if c.item_version)
            for key, count in member.running_requests.local.items():
                running[key] += count
            for kind, found in sums.items():
                rates = getattr(member.rates, kind).per_thousand_s(now_s)
                for key, value in rates.items():
                    found[Item(key.split(" ")[1])] += value / RATE_SCALE
        unreached = frozenset(
            e.name
            for e in self.engines.values()
            if not e.up and e.name not in self.delisted
        )
        return DemandSnapshot(
            waiting,
            running,
            sums["fast"],
            sums["slow"],
            sums["latency_critical"],
            unreached,
            resuming=resuming,
        )

    def _announce_view(self):
        now_s = self.loop.now_s
        totals = Counter()
        for member in self.members:
            for (target, _), count in member.running_requests.local.items():
                totals[target] += count
        for member in self.members:
            local = Counter()
            for (target, _), count in member.running_requests.local.items():
                local[target] += count
            member.running_requests.set_running(
                {t: totals[t] - local[t] for t in totals}
            )
            member.backlog.learn(now_s)
            for name, target_state in self.planner.target_states.items():
                if target_state.known:
                    held = frozenset(target_state.servable_items())
                    member.servable_items.update(
                        name, target_state.target.incarnation, held
                    )
            member.schedule_assignment()
        awaited = [criteria for m in self.members for criteria in m.awaited()]
        found = {c.item: self.planner.eta_s(c.item, now_s) for c in awaited}
        found |= {
            c.item_version: self.planner.resume_eta_s(c.item_version, now_s)
            for c in awaited
            if c.item_version
        }
        self._load_etas = (now_s, {i: s for i, s in found.items() if s is not None})
        self.loop.after(self.view_interval_s, self._announce_view)

    # Outages

    def _fail_engines(self, outage):
        names = self.rng.sample(sorted(self.engines), outage.count)
        lost = [req for name in names for req in self.engines[name].crash()]
        for req in lost:
            self._end(req, "broken")
            if req.first_s is not None and self.versions != ("",):
                self._resume(req)
        for name in names:
            self.loop.after(outage.for_s, self._recover, name)
            self.loop.after(3.0, self.delisted.add, name)

    def _resume(self, broken):
        """Let a caller resume a stream at the version that began it."""
        software = self.engines[broken.target].software
        left = [e for e in self.engines.values() if e.up and e.software == software]
        req = replace(
            broken,
            prompt=broken.prompt + broken.generated,
            tokens=max(1, broken.tokens - broken.generated),
            instance=self.rng.randrange(self.instances),
            arrived_s=self.loop.now_s,
            retried=False,
            first_s=None,
            generated=0,
            prefilled=0,
            target="",
            outcome="",
            software=software,
            engines_left=len(left),
        )
        req.on_event = lambda ended: self._event(req, ended)
        self.requests.append(req)
        self.members[req.instance].arrive(req)
        self.loop.at(req.until_s, self._deadline, req)

    def _recover(self, name):
        self.engines[name].restart()
        self.loop.after(0.3, self.delisted.discard, name)

    def run(self):
        self._tick()
        self.loop.run(WARM_UP_S)
        self._demand_due_s = 0.0
        self.planner = self._new_planner()
        self.loop = self._fresh_loop()
        self._tick()
        self._announce_view()
        self._arrivals()
        for outage in self.outages:
            self.loop.at(outage.at_s, self._fail_engines, outage)
        self.loop.run(self.length_s + 25.0)
        return self.requests

    def _fresh_loop(self):
        loop = VirtualLoop()
        for engine in self.engines.values():
            engine.loop = loop
            engine.past_reports.clear()
        return loop


def earned_share(requests, name=None):
    """Return the share of the requests' value that was earned."""
    owed = earned = 0.0
    for req in requests:
        kind = req.traffic
        if name is not None and kind.name != name:
            continue
        size = req.prompt + 10 * req.tokens
        mean = 1.3 * kind.prompt[0] + 50 * kind.events[0]
        part = min(4.0, 0.3 + 0.7 * size / mean)
        owed += kind.value * part
        if req.outcome == "in time":
            earned += kind.value * part
        elif req.outcome == "late":
            earned += kind.late_value * part
    return earned / owed if owed else 1.0
