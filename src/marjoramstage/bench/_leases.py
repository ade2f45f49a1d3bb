"""Fake leases: one a data centre, renewed while its holder can be reached."""

from __future__ import annotations

from dataclasses import dataclass

from marjoramstage.bench._instances import FakeInstance, Instances
from marjoramstage.bench._links import Links
from marjoramstage.bench._loop import EventLoop
from marjoramstage.bench._platform import FakePlatform
from marjoramstage.protocol.events import LeaseHeld, LeaseLost

TERM_S = 10.0
RENEW_EVERY_S = 3.0


@dataclass
class _Lease:
    holder: FakeInstance | None = None
    fence: int = 0
    until_s: float = 0.0


class Leases:
    """Who may place on the targets of each data centre."""

    def __init__(
        self,
        data_centres: tuple[str, ...],
        instances: Instances,
        links: Links,
        platform: FakePlatform,
        loop: EventLoop,
    ):
        self._instances = instances
        self._links = links
        self._platform = platform
        self._loop = loop
        self._leases = {name: _Lease() for name in data_centres}

    def start(self) -> None:
        """Give every lease out, and go on renewing."""
        for data_centre, lease in self._leases.items():
            self._renew(data_centre, lease)
        self._loop.after(RENEW_EVERY_S, self.start)

    def _renew(self, data_centre: str, lease: _Lease) -> None:
        self._tell_losers(data_centre, lease)
        if self._platform.down:
            return
        holder = lease.holder
        if holder is not None and self._can_hold(holder):
            self._grant(data_centre, lease)
            return
        if self._loop.now_s < lease.until_s:
            return
        for inst in self._instances.hosts(data_centre):
            if not self._can_hold(inst):
                continue
            lease.holder = inst
            lease.fence += 1
            self._grant(data_centre, lease)
            return

    def _can_hold(self, inst: FakeInstance) -> bool:
        return inst.serving and self._links.reaches_platform(inst.name)

    def _grant(self, data_centre: str, lease: _Lease) -> None:
        lease.until_s = self._loop.now_s + TERM_S
        inst = lease.holder
        inst.holds.add(data_centre)
        event = LeaseHeld(data_centre, lease.fence, lease.until_s)
        self._instances.post(inst, inst.placers[data_centre], event)

    def _tell_losers(self, data_centre: str, lease: _Lease) -> None:
        """Tell an earlier holder once it is able to ask for its lease again."""
        for inst in self._instances.hosts(data_centre):
            if inst is lease.holder or data_centre not in inst.holds:
                continue
            if not self._can_hold(inst):
                continue
            inst.holds.discard(data_centre)
            event = LeaseLost(data_centre)
            self._instances.post(inst, inst.placers[data_centre], event)
