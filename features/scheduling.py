"""Simulation of schedulers, targets and load gossip on a virtual clock."""

import heapq
import itertools
import random
from collections import Counter
from dataclasses import dataclass, field

from marjoramstage.coordination.admission import Scheduler
from marjoramstage.exceptions import Verdict
from marjoramstage.protocol.events import (
    AttemptEnded,
    Dispatch,
    InstanceLoadReported,
    InventoryAccepted,
    Preempt,
    Refuse,
    RequestAdapterLoad,
    RequestSubmitted,
    RetryRequested,
    TargetListed,
    TargetReported,
    Tick,
)
from marjoramstage.protocol.messages import (
    AttemptEnd,
    AttemptReason,
    Item,
    Request,
    RequestClass,
    Resident,
    ResidentState,
    Target,
    TargetKind,
    TargetReport,
)
from marjoramstage.state.inventory import Adapter, Customer, Inventory, Model

TICK_S = 0.1
HASH = "{:064x}"


def inventory_of(models, customers, adapters=()):
    """Models that decode 100 and prefill 10,000 tokens per second."""
    return Inventory(
        models=tuple(
            Model(
                name,
                1000,
                prefill_tokens_per_s=10_000.0,
                decode_tokens_per_s=100.0,
            )
            for name in models
        ),
        adapters=tuple(Adapter(name, model, 10) for name, model in adapters),
        customers=tuple(
            Customer(name, HASH.format(number), weight=float(weight))
            for number, (name, weight) in enumerate(customers)
        ),
    )


@dataclass
class FakeTarget:
    """A target with slots that refuses requests when full."""

    name: str
    slots: int
    items: tuple
    running: int = 0
    runs: Counter = field(default_factory=Counter)
    sequence: int = 0
    peak_running: int = 0
    refused: int = 0
    busy_s: float = 0.0

    def report(self):
        self.sequence += 1
        return TargetReport(
            target=self.name,
            incarnation=f"{self.name}-1",
            sequence=self.sequence,
            memory_mb=100_000,
            slots=self.slots,
            running=self.running,
            residents=tuple(
                Resident(item, 10, ResidentState.READY) for item in self.items
            ),
        )


class SchedulerWorld:
    """Schedulers and targets; counts the outcome of each request."""

    def __init__(self, inventory, instances=1, queue=512, seed=1, gossip=(0.2, 0.05)):
        self.now_s = 0.0
        self.rng = random.Random(seed)
        self.inventory = inventory
        self.targets = {}
        self.met, self.late = Counter(), Counter()
        self.refusals = []
        self.refused_at_s = {}
        self.ended_at_s = {}
        self.asked = []
        self.preempted = 0
        self.cancelled = set()
        self.overnight = set()
        self.gossip_every_s, self.gossip_lag_s = gossip
        self.report_every_s, self.report_lag_s = 0.25, 0.25
        self.gossip_until_s = float("inf")
        self._due, self._order = [], itertools.count()
        self.schedulers = {}
        for number in range(instances):
            name = f"i{number}"
            self.schedulers[name] = Scheduler(
                queue,
                instance=name,
                data_centre="d1",
                rng=random.Random(seed + number),
            )
        for name in self.schedulers:
            self.post(name, InventoryAccepted(1, inventory))

    def add_target(self, name, slots, *items, data_centre="d1"):
        found = tuple(Item(item, "1") for item in items)
        self.targets[name] = FakeTarget(name, slots, found)
        target = Target(name, data_centre, TargetKind.ENGINE, "127.0.0.1:1")
        report = self.targets[name].report()
        for instance in self.schedulers:
            self.post(instance, TargetListed(target))
            self.post(instance, TargetReported(report))

    def at(self, time_s, func, *args):
        heapq.heappush(self._due, (time_s, next(self._order), func, args))

    def run(self, until_s):
        self.at(self.now_s, self._tick, until_s)
        self.at(self.now_s, self._gossip, until_s)
        self.at(self.now_s, self._report, until_s)
        while self._due and self._due[0][0] <= until_s:
            self.now_s, _, func, args = heapq.heappop(self._due)
            func(*args)

    def submit(self, instance, request):
        self.post(instance, RequestSubmitted(request))

    def post(self, instance, event):
        for effect in self.schedulers[instance].handle(event, self.now_s):
            self._perform(instance, effect)

    def _perform(self, instance, effect):
        match effect:
            case Refuse():
                self.refusals.append(effect)
                self.refused_at_s[effect.request.id] = self.now_s
            case Dispatch():
                self._dispatch(instance, effect)
            case RequestAdapterLoad():
                self.asked.append(effect)
            case Preempt(request, target):
                self.preempted += 1
                self._preempt(instance, request, target)

    def _dispatch(self, instance, effect):
        target, request = self.targets[effect.target], effect.request
        if target.running >= target.slots:
            target.refused += 1
            end = AttemptEnd(
                request, target.name, Verdict.NOT_RUN, False, reason=AttemptReason.BUSY
            )
            self.at(self.now_s + 0.002, self._refused, instance, end, (target.name,))
            return
        target.running += 1
        target.peak_running = max(target.peak_running, target.running)
        target.runs[request.id] += 1
        took_s = request.prompt_tokens / 10_000 + request.output_tokens / 100
        target.busy_s += took_s
        run = target.runs[request.id]
        self.at(self.now_s + took_s, self._finished, instance, target, request, run)

    def _refused(self, instance, end, failed):
        self.post(instance, AttemptEnded(end))
        self.post(instance, RetryRequested(end.request, failed))

    def _preempt(self, instance, request, name):
        self.cancelled.add((request.id, self.targets[name].runs[request.id]))
        self.targets[name].running -= 1
        end = AttemptEnd(
            request, name, Verdict.MAY_HAVE_RUN, False, reason=AttemptReason.CANCELLED
        )
        self.at(self.now_s + 0.002, self._refused, instance, end, ())

    def _finished(self, instance, target, request, run):
        if (request.id, run) in self.cancelled:
            return
        target.running -= 1
        in_time = self.now_s <= request.deadline_s + 1e-6
        (self.met if in_time else self.late)[request.customer] += 1
        self.ended_at_s[request.id] = self.now_s
        end = AttemptEnd(
            request, target.name, Verdict.RAN, True, tokens=request.output_tokens
        )
        self.post(instance, AttemptEnded(end))

    def _tick(self, until_s):
        for name in self.schedulers:
            self.post(name, Tick())
        if self.now_s + TICK_S <= until_s:
            self.at(self.now_s + TICK_S, self._tick, until_s)

    def _gossip(self, until_s):
        if self.now_s < self.gossip_until_s:
            for name, scheduler in self.schedulers.items():
                load = scheduler.own_load(self.now_s)
                for other in self.schedulers:
                    if other != name:
                        event = InstanceLoadReported(load)
                        arrives_s = self.now_s + self.gossip_lag_s
                        self.at(arrives_s, self.post, other, event)
        if self.now_s + self.gossip_every_s <= until_s:
            self.at(self.now_s + self.gossip_every_s, self._gossip, until_s)

    def _report(self, until_s):
        for target in self.targets.values():
            report = target.report()
            for name in self.schedulers:
                event = TargetReported(report)
                self.at(self.now_s + self.report_lag_s, self.post, name, event)
        if self.now_s + self.report_every_s <= until_s:
            self.at(self.now_s + self.report_every_s, self._report, until_s)


class LoadGenerator:
    """Generates Poisson arrivals, spread randomly over the instances."""

    def __init__(self, world, seed=7):
        self.world = world
        self.rng = random.Random(seed)
        self.offered = Counter()
        self._ids = itertools.count()

    def request(self, now_s, customer, model, deadline_s, **fields):
        return Request(
            id=f"r{next(self._ids)}",
            customer=customer,
            kind=TargetKind.ENGINE,
            model=model,
            arrived_s=now_s,
            deadline_s=now_s + deadline_s,
            **{"prompt_tokens": 100, "output_tokens": 50, "repeatable": True} | fields,
        )

    def add(self, rate, until_s, customer, models, deadline_s, start_s=0.0, **fields):
        """Add ``rate`` requests per second from ``start_s`` to ``until_s``."""
        names = list(self.world.schedulers)
        now_s = start_s
        while True:
            now_s += self.rng.expovariate(rate)
            if now_s >= until_s:
                return
            model = self.rng.choice(models)
            own = dict(fields)
            if "output_tokens" in own and isinstance(own["output_tokens"], tuple):
                own["output_tokens"] = self.rng.randint(*own["output_tokens"])
            request = self.request(now_s, customer, model, deadline_s, **own)
            self.offered[customer] += 1
            if request.request_class is RequestClass.OVERNIGHT:
                self.world.overnight.add(request.id)
            self.world.at(now_s, self.world.submit, self.rng.choice(names), request)


CLASSES = {item.name.lower(): item for item in RequestClass}
