"""Simulated instances of a replay: their state machines and life cycle."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field

from marjoramstage.bench._loop import EventLoop
from marjoramstage.bench.policies import Policy
from marjoramstage.bench.trace import InstanceSpec
from marjoramstage.coordination.leases import LeaseElector
from marjoramstage.protocol.events import Effect, Event, StateMachine

Perform = Callable[["FakeInstance", "StateMachine", Effect], None]


@dataclass
class FakeInstance:
    """A simulated instance.

    Attributes
    ----------
    placers : dict
        Placer by data centre: the instance's own data centre, and every data
        centre without instances.
    electors : dict
        Lease elector of each of these data centres.
    frozen : bool
        Whether the process is paused; calls wait in ``inbox`` meanwhile.
    holds : set of str
        Data centres whose lease the instance holds as far as it knows.
    generation : int
        Generation of the inventory in force at the instance.
    start : int
        Number of the start, 1 for the first. Callbacks of an earlier start are
        dropped.
    inbox : list of tuple
        Functions and arguments to call when the instance is no longer frozen.
    """

    spec: InstanceSpec
    scheduler: StateMachine
    placers: dict[str, StateMachine]
    electors: dict[str, LeaseElector]
    alive: bool = True
    frozen: bool = False
    holds: set[str] = field(default_factory=set)
    generation: int = 0
    start: int = 1
    inbox: list[tuple[Callable, tuple]] = field(default_factory=list)

    @property
    def name(self) -> str:
        """Name of the instance."""
        return self.spec.name

    @property
    def serving(self) -> bool:
        """Whether the instance is running and handles events."""
        return self.alive and not self.frozen


class Instances:
    """Every instance; delivers events to their state machines."""

    def __init__(
        self,
        specs: tuple[InstanceSpec, ...],
        data_centres: tuple[str, ...],
        policy: Policy,
        loop: EventLoop,
        perform: Perform,
    ):
        self._policy = policy
        self._loop = loop
        self._perform = perform
        own = {spec.data_centre for spec in specs}
        self._orphans = [name for name in data_centres if name not in own]
        self.all = [self._build(spec) for spec in specs]
        self.by_name = {instance.name: instance for instance in self.all}

    def hosts(self, data_centre: str) -> list[FakeInstance]:
        """Return the instances that can hold the lease of a data centre."""
        return [inst for inst in self.all if data_centre in inst.placers]

    def post(self, inst: FakeInstance, machine: StateMachine, event: Event) -> None:
        """Deliver an event to a state machine, after a pause if frozen."""
        self.run(inst, self._handle, inst, machine, event)

    def run(self, inst: FakeInstance, func: Callable, *args) -> None:
        """Call a function on behalf of an instance.

        A frozen instance calls it after the pause, a dead one never.
        """
        if not inst.alive:
            return
        if inst.frozen:
            inst.inbox.append((func, args))
            return
        func(*args)

    def post_all(self, inst: FakeInstance, event: Event) -> None:
        """Deliver an event to the scheduler and every placer of an instance."""
        for machine in self._machines(inst):
            self.post(inst, machine, event)

    def thaw(self, inst: FakeInstance) -> None:
        """Resume a frozen instance and make the calls that waited."""
        inst.frozen = False
        waiting, inst.inbox = inst.inbox, []
        for func, args in waiting:
            self.run(inst, func, *args)

    def kill(self, inst: FakeInstance) -> None:
        """Kill an instance; its state is lost."""
        inst.alive = False
        inst.frozen = False
        inst.inbox = []
        inst.holds = set()

    def restart(self, inst: FakeInstance) -> None:
        """Start an instance again under the same name, with empty state."""
        start = inst.start + 1
        fresh = self._build(inst.spec, start)
        inst.scheduler, inst.placers = fresh.scheduler, fresh.placers
        inst.electors = fresh.electors
        inst.alive = True
        inst.generation = 0
        inst.start = start

    def _build(self, spec: InstanceSpec, start: int = 1) -> FakeInstance:
        places = [spec.data_centre, *self._orphans]
        placers = {place: self._policy.placer(spec.name, place) for place in places}
        scheduler = self._policy.scheduler(spec.name, spec.data_centre)
        identity = f"{spec.name}/{start}"
        electors = {place: LeaseElector(place, identity) for place in places}
        return FakeInstance(spec, scheduler, placers, electors, start=start)

    def _handle(self, inst: FakeInstance, machine: StateMachine, event: Event) -> None:
        if machine is not inst.scheduler and machine not in inst.placers.values():
            return
        for effect in machine.handle(event, self._loop.now_s):
            self._perform(inst, machine, effect)

    def _machines(self, inst: FakeInstance) -> list[StateMachine]:
        return [inst.scheduler, *inst.placers.values()]
