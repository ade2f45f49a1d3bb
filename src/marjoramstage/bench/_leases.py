"""Runs the lease electors of the instances against the fake platform."""

from __future__ import annotations

from marjoramstage.bench._instances import FakeInstance, Instances
from marjoramstage.bench._links import Links
from marjoramstage.bench._loop import EventLoop
from marjoramstage.bench._platform import CallEnd, FakePlatform
from marjoramstage.coordination.leases import (
    LeaseEffect,
    LeaseElector,
    ReadLease,
    WriteLease,
)
from marjoramstage.coordination.shards import rendezvous_order
from marjoramstage.protocol.events import LeaseHeld

LEASE_TICK_S = 0.25
LEASE = "lease"


class Leases:
    """Acquires and renews the lease of each data centre for the instances."""

    def __init__(
        self,
        instances: Instances,
        links: Links,
        platform: FakePlatform,
        loop: EventLoop,
    ):
        self._instances = instances
        self._links = links
        self._platform = platform
        self._loop = loop

    def tick(self) -> None:
        """Run the electors of every serving instance; repeats itself."""
        self._loop.after(LEASE_TICK_S, self.tick)
        for inst in self._instances.all:
            if not inst.serving:
                continue
            for data_centre, elector in inst.electors.items():
                rank = self._rank(inst, data_centre)
                self._perform(inst, elector, elector.tick(rank, self._loop.now_s))

    def _rank(self, inst: FakeInstance, data_centre: str) -> int:
        hosts = self._instances.hosts(data_centre)
        live = {host.name for host in hosts if host.alive} | {inst.name}
        return rendezvous_order(data_centre, sorted(live)).index(inst.name)

    def _perform(
        self, inst: FakeInstance, elector: LeaseElector, effects: list[LeaseEffect]
    ) -> None:
        for effect in effects:
            match effect:
                case ReadLease():
                    self._read(inst, elector)
                case WriteLease():
                    self._write(inst, elector, effect)
                case _:
                    self._apply_lease_change(inst, elector.shard, effect)

    def _apply_lease_change(
        self, inst: FakeInstance, data_centre: str, effect: LeaseEffect
    ) -> None:
        if isinstance(effect, LeaseHeld):
            inst.holds.add(data_centre)
        else:
            inst.holds.discard(data_centre)
        self._instances.post(inst, inst.placers[data_centre], effect)

    def _read(self, inst: FakeInstance, elector: LeaseElector) -> None:
        def done(end: CallEnd, record) -> None:
            now_s = self._loop.now_s
            if end is CallEnd.OK:
                self._perform(inst, elector, elector.on_read(record, now_s))
                return
            self._perform(inst, elector, elector.on_failed(now_s))

        self._platform.read(
            LEASE, elector.shard, self._reachable(inst), self._later(inst, done)
        )

    def _write(self, inst: FakeInstance, elector: LeaseElector, effect: WriteLease):
        def done(end: CallEnd, record) -> None:
            now_s = self._loop.now_s
            if end is CallEnd.OK:
                self._perform(inst, elector, elector.on_written(record, now_s))
            elif end is CallEnd.CONFLICT:
                self._perform(inst, elector, elector.on_conflict(now_s))
            else:
                self._perform(inst, elector, elector.on_failed(now_s))

        self._platform.write(
            LEASE,
            elector.shard,
            effect.record,
            self._reachable(inst),
            self._later(inst, done),
        )

    def _reachable(self, inst: FakeInstance):
        return lambda: self._links.reaches_platform(inst.name)

    def _later(self, inst: FakeInstance, func):
        """Return ``func`` as a callback that is dropped after a restart."""
        start = inst.start

        def run(*args) -> None:
            if inst.start == start:
                self._instances.run(inst, func, *args)

        return run
