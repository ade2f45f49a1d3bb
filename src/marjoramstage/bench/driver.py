"""Replays a trace with the decision code of all instances, on one virtual clock.

Admission, routing and placement are those of a policy: the current code, the first
one or a baseline. Leases and, with ``real_config``, configuration nodes are the
real code. The targets, the platform, the links and the callers are simulated.
"""

from __future__ import annotations

import random
from collections.abc import Callable
from dataclasses import replace

from marjoramstage.bench._calls import Calls
from marjoramstage.bench._config import ConfigSimulation
from marjoramstage.bench._faults import Faults
from marjoramstage.bench._instances import FakeInstance, Instances
from marjoramstage.bench._inventory import inventory_of, with_next_version
from marjoramstage.bench._leases import Leases
from marjoramstage.bench._links import Links
from marjoramstage.bench._loop import EventLoop
from marjoramstage.bench._platform import CallEnd, FakePlatform
from marjoramstage.bench._target import Counts, FakeTarget
from marjoramstage.bench._weights import AdapterLoader, WeightStore
from marjoramstage.bench.policies import POLICIES, Policy
from marjoramstage.bench.trace import FaultLine, RequestLine, Trace
from marjoramstage.protocol.events import (
    AdapterLoadRequested,
    Dispatch,
    Effect,
    InstanceLoadReported,
    InventoryAccepted,
    LedgerRead,
    LedgerWriteFailed,
    OrderEnded,
    Preempt,
    ReadLedger,
    Refuse,
    RequestAdapterLoad,
    SendOrder,
    StateMachine,
    TargetGone,
    TargetLeaving,
    TargetListed,
    TargetReported,
    Tick,
    WriteLedger,
)
from marjoramstage.protocol.messages import (
    Order,
    OrderOutcome,
    OrderResult,
    Replica,
    Target,
    TargetKind,
)
from marjoramstage.state.ledger import Ledger

LEDGER = "ledger"
TICK_INTERVAL_S = 0.1
# Interval of the targets' reports, and the time until the instances have one.
REPORT_INTERVAL_S = 0.25
REPORT_LAG_S = 0.1
# Interval at which instances broadcast their load, and the time until the others in
# the same data centre and in other data centres have it.
LOAD_INTERVAL_S = 0.5
LOAD_LAG_S = 0.2
FAR_LOAD_LAG_S = 0.5
# Time until a change of the platform's list of targets reaches the instances.
LISTING_LAG_S = 1.0
# Time until an accepted inventory reaches an instance (without configuration nodes).
INVENTORY_LAG_S = 0.5
ADAPTER_REQUEST_LAG_S = 0.001
# Time after which the sender of a lost or delayed order takes its outcome as unknown.
ORDER_TIMEOUT_S = 60.0
# Time that the replay continues after the last deadline or fault.
END_MARGIN_S = 5.0


class Replay:
    """A replay of one trace under one policy.

    Parameters
    ----------
    real_config : bool, default=False
        Whether the instances receive the accepted inventory through real
        configuration nodes instead of after a fixed delay.

    Attributes
    ----------
    counts : Counts
        Events counted by the fake targets.
    calls : Calls
        Open requests, and the outcomes that the callers saw.
    """

    def __init__(self, trace: Trace, policy: str, seed: int, real_config: bool = False):
        header = trace.header
        rng = random.Random(f"{seed}:{header.name}")
        self.trace = trace
        self.loop = EventLoop()
        self.counts = Counts()
        self.links = Links(header)
        self.platform = FakePlatform(self.loop)
        self.inventory = inventory_of(trace)
        self.generation = 1
        self.targets = self._build_targets(rng)
        made: Policy = POLICIES[policy](header, self.inventory, rng)
        self.instances = Instances(
            header.instances, header.data_centres, made, self.loop, self._perform
        )
        self.leases = Leases(self.instances, self.links, self.platform, self.loop)
        customers = {customer.name: customer for customer in header.customers}
        self.calls = Calls(
            self.loop, self.links, self.instances, self.targets, customers, self.counts
        )
        self.faults = Faults(self)
        self.config = None
        if real_config:
            self.config = ConfigSimulation(
                self.instances, self.links, self.platform, self.loop, rng
            )
        self._listed: dict[str, Target] = {}
        self._turn = dict.fromkeys(header.data_centres, 0)
        self._lines = iter(trace.lines)
        self._offered = sum(1 for _ in trace.requests)
        self._phases = [rng.uniform(0.0, REPORT_INTERVAL_S) for _ in header.targets]

    def run(self) -> None:
        """Replay the trace to its end."""
        for name, fake in self.targets.items():
            self._listed[name] = self.listing(fake)
        if self.config is not None:
            self.config.start(self.inventory)
        for inst in self.instances.all:
            self.send_initial_state(inst)
        self.leases.tick()
        self._tick()
        self._broadcast_loads()
        for fake, phase_s in zip(self.targets.values(), self._phases, strict=True):
            self.loop.at(phase_s, self._report, fake)
        self._schedule_next_line()
        self.loop.run(self._end_s())
        self.calls.close()

    def listing(self, fake: FakeTarget, leaving: bool = False) -> Target:
        """Return the entry of a target in the platform's list."""
        spec = fake.spec
        return Target(
            spec.name, spec.data_centre, TargetKind(spec.kind), spec.name, leaving
        )

    def send_initial_state(self, inst: FakeInstance) -> None:
        """Send a started instance the inventory in force and the list of targets."""
        if self.config is not None:
            self.config.join(inst)
        else:
            self.deliver_generation(inst, self.generation)
        for target in self._listed.values():
            self.instances.post_all(inst, TargetListed(target))

    def deliver_generation(self, inst: FakeInstance, generation: int) -> None:
        """Deliver a generation to an instance; retried until it can be reached."""
        if not inst.alive or inst.generation >= generation:
            return
        if generation != self.generation:
            return
        if not self._can_receive_generation(inst, generation):
            self.loop.after(INVENTORY_LAG_S, self.deliver_generation, inst, generation)
            return
        inst.generation = generation
        event = InventoryAccepted(generation, self.inventory)
        self.instances.post_all(inst, event)

    def accept(self, document: str) -> None:
        """Accept an edit that gives ``document`` a new version."""
        self.generation += 1
        self.inventory = with_next_version(self.inventory, document)
        if self.config is not None:
            self.config.accept(self.inventory)
            return
        for inst in self.instances.all:
            self.loop.after(
                INVENTORY_LAG_S, self.deliver_generation, inst, self.generation
            )

    def list_target(self, fake: FakeTarget, leaving: bool) -> None:
        """Send the state of a target to every instance, after `LISTING_LAG_S`."""
        self.loop.after(LISTING_LAG_S, self._relist, fake, leaving)

    def _relist(self, fake: FakeTarget, leaving: bool) -> None:
        name = fake.spec.name
        if self.platform.down:
            self.list_target(fake, leaving)
            return
        gone = not fake.alive
        self._listed.pop(name, None)
        if not gone:
            self._listed[name] = self.listing(fake, leaving)
        for inst in self.instances.all:
            if not self.links.reaches_platform(inst.name):
                continue
            if gone:
                self.instances.post_all(inst, TargetGone(name))
                continue
            self.instances.post_all(inst, TargetListed(self._listed[name]))
            if leaving:
                self.instances.post_all(inst, TargetLeaving(name))

    def _can_receive_generation(self, inst: FakeInstance, generation: int) -> bool:
        if generation == 1:
            return True
        if not self.platform.down and self.links.reaches_platform(inst.name):
            return True
        return any(
            other.serving
            and other.generation >= generation
            and self.links.joined(inst.name, other.name)
            for other in self.instances.all
        )

    def _build_targets(self, rng: random.Random) -> dict[str, FakeTarget]:
        header = self.trace.header
        weights = WeightStore(self.loop, header.store)
        adapter_loader = AdapterLoader(self.loop, header, random.Random(rng.random()))
        models = self.inventory.model_by_name
        return {
            spec.name: FakeTarget(
                spec, self.loop, weights, adapter_loader, models, self.counts
            )
            for spec in header.targets
        }

    def _end_s(self) -> float:
        latest_ms = max(
            (line.at_ms + line.deadline_ms for line in self.trace.requests), default=0.0
        )
        last_ms = self.trace.lines[-1].at_ms if self.trace.lines else 0.0
        return max(latest_ms, last_ms) / 1000.0 + END_MARGIN_S

    def _schedule_next_line(self) -> None:
        line = next(self._lines, None)
        if line is not None:
            self.loop.at(line.at_ms / 1000.0, self._process_line, line)

    def _process_line(self, line: RequestLine | FaultLine) -> None:
        if isinstance(line, FaultLine):
            self.faults.begin(line)
        else:
            self.arrive(line)
        self._schedule_next_line()

    def add(self, line: RequestLine, delay_s: float) -> None:
        """Schedule a request that is not part of the trace."""
        self._offered += 1
        self.loop.after(delay_s, self.arrive, line)

    def arrive(self, line: RequestLine) -> None:
        """Submit a request to an instance, as a load balancer would."""
        self.calls.arrive(line, self._choose_instance(line.data_centre))

    def _choose_instance(self, data_centre: str) -> FakeInstance | None:
        """Choose an instance by round robin, preferably in the given data centre."""
        live = [i for i in self.instances.all if i.serving and i.generation]
        near = [inst for inst in live if inst.spec.data_centre == data_centre]
        found = near or live
        if not found:
            return None
        self._turn[data_centre] += 1
        return found[self._turn[data_centre] % len(found)]

    def _tick(self) -> None:
        for inst in self.instances.all:
            if not inst.serving:
                continue
            self.instances.post(inst, inst.scheduler, Tick())
            for data_centre in sorted(inst.holds):
                self.instances.post(inst, inst.placers[data_centre], Tick())
        if self.calls.resolved >= self._offered:
            self.loop.stop()
            return
        self.loop.after(TICK_INTERVAL_S, self._tick)

    def _report(self, fake: FakeTarget) -> None:
        self.loop.after(REPORT_INTERVAL_S, self._report, fake)
        if fake.alive:
            event = TargetReported(fake.report())
            self.loop.after(REPORT_LAG_S, self._deliver_report, event)

    def _deliver_report(self, event: TargetReported) -> None:
        for inst in self.instances.all:
            if inst.serving and self.links.joined(inst.name, event.report.target):
                self.instances.post_all(inst, event)

    def _broadcast_loads(self) -> None:
        self.loop.after(LOAD_INTERVAL_S, self._broadcast_loads)
        for inst in self.instances.all:
            own_load = getattr(inst.scheduler, "own_load", None)
            if own_load is None or not inst.serving:
                continue
            load = own_load(self.loop.now_s)
            if inst.holds:
                shards = tuple(sorted(inst.holds))
                load = replace(load, shards=shards, retiring=self._retiring(inst))
            event = InstanceLoadReported(load)
            self.loop.after(LOAD_LAG_S, self._deliver_load, inst, event, True)
            self.loop.after(FAR_LOAD_LAG_S, self._deliver_load, inst, event, False)

    def _retiring(self, inst: FakeInstance) -> tuple[Replica, ...]:
        placers = [inst.placers[data_centre] for data_centre in sorted(inst.holds)]
        found = [getattr(placer, "retiring", ()) for placer in placers]
        return tuple(copy for copies in found for copy in copies)

    def _deliver_load(
        self, sender: FakeInstance, event: InstanceLoadReported, near: bool
    ) -> None:
        for inst in self.instances.all:
            same = inst.spec.data_centre == sender.spec.data_centre
            if same is not near or not inst.serving:
                continue
            if self.links.joined(inst.name, sender.name):
                self.instances.post_all(inst, event)

    def _perform(
        self, inst: FakeInstance, machine: StateMachine, effect: Effect
    ) -> None:
        match effect:
            case Dispatch():
                self.calls.dispatched(inst, effect)
            case Refuse():
                self.calls.refused(inst, effect)
            case RequestAdapterLoad():
                self.loop.after(ADAPTER_REQUEST_LAG_S, self._ask_adapter, inst, effect)
            case Preempt(request, target):
                self.calls.preempted(inst, request, target)
            case ReadLedger(target):
                self._read_ledger(inst, machine, target)
            case WriteLedger(ledger):
                self._write_ledger(inst, machine, ledger)
            case SendOrder(order, _):
                self._send_order(inst, machine, order)

    def _read_ledger(
        self, inst: FakeInstance, machine: StateMachine, target: str
    ) -> None:
        def done(end: CallEnd, ledger: Ledger | None) -> None:
            event = LedgerWriteFailed(target)
            if end is CallEnd.OK:
                event = LedgerRead(ledger or Ledger(target, "", 0))
            self.instances.post(inst, machine, event)

        self.platform.read(LEDGER, target, self._reachable(inst), done)

    def _write_ledger(
        self, inst: FakeInstance, machine: StateMachine, ledger: Ledger
    ) -> None:
        def done(end: CallEnd, written: Ledger | None) -> None:
            event = LedgerWriteFailed(ledger.target)
            if end is CallEnd.OK:
                event = LedgerRead(written)
            self.instances.post(inst, machine, event)

        reachable = self._reachable(inst)
        self.platform.write(LEDGER, ledger.target, ledger, reachable, done)

    def _reachable(self, inst: FakeInstance) -> Callable[[], bool]:
        return lambda: self.links.reaches_platform(inst.name)

    def _ask_adapter(self, sender: FakeInstance, effect: RequestAdapterLoad) -> None:
        data_centre = self.targets[effect.target].spec.data_centre
        event = AdapterLoadRequested(effect.target, effect.item)
        for inst in self.instances.hosts(data_centre):
            if data_centre not in inst.holds:
                continue
            if self.links.joined(sender.name, inst.name):
                self.instances.post(inst, inst.placers[data_centre], event)

    def _send_order(
        self, inst: FakeInstance, machine: StateMachine, order: Order
    ) -> None:
        def answer(outcome: OrderOutcome) -> None:
            if not self.links.joined(inst.name, order.target):
                outcome = OrderOutcome.UNKNOWN
            delay_s = self.links.delay_s(inst.name, order.target)
            event = OrderEnded(OrderResult(order, outcome))
            self.loop.after(delay_s, self.instances.post, inst, machine, event)

        def ignored(outcome: OrderOutcome) -> None:
            """Discard the answer: the sender gives up at `ORDER_TIMEOUT_S`."""

        fake = self.targets[order.target]
        may_send_orders = getattr(machine, "may_send_orders", None)
        allowed = may_send_orders is None or may_send_orders(
            order.target, self.loop.now_s
        )
        if not allowed or not self.links.joined(inst.name, order.target):
            answer(OrderOutcome.REFUSED)
            return
        delay_s = self.links.delay_s(inst.name, order.target)
        late_s = self.faults.order_delay_s(order.target)
        if late_s is None:
            self.loop.after(delay_s, fake.order, order, answer)
            return
        self.loop.after(ORDER_TIMEOUT_S, answer, OrderOutcome.UNKNOWN)
        if late_s != float("inf"):
            self.loop.after(delay_s + late_s, fake.order, order, ignored)
