"""Takes and renews the leases of this data centre's shards on the platform."""

from __future__ import annotations

import uuid
from collections.abc import Callable, Mapping
from datetime import UTC, datetime
from typing import Any

from result import Err, Ok

from marjoramstage._instance.tasks import TaskGroup
from marjoramstage.clock import Clock
from marjoramstage.coordination.leases import (
    TERM_S,
    LeaseEffect,
    LeaseElector,
    LeaseRecord,
    ReadLease,
    WriteLease,
)
from marjoramstage.coordination.shards import rendezvous_order, shard_names, shard_of
from marjoramstage.logs import component_logger
from marjoramstage.protocol.events import (
    Event,
    InstanceGone,
    InstanceLoadReported,
    LeaseLost,
)
from marjoramstage.protocol.messages import Target
from marjoramstage.protocol.objects import (
    LEASE,
    OWN_GROUP,
    Platform,
    PlatformFault,
    PlatformObject,
)

log = component_logger("leasing")

LEASE_TICK_S = 0.25
PEER_TIMEOUT_S = 10.0
LABEL_RENEWALS = f"{OWN_GROUP}/renewals"


class LeaseRunner:
    """Runs the lease state machine of each shard and its calls to the platform.

    Parameters
    ----------
    post : callable
        Receives `LeaseHeld` and `LeaseLost`.
    """

    def __init__(
        self,
        instance: str,
        data_centre: str,
        platform: Platform,
        post: Callable[[Event], None],
        tasks: TaskGroup,
        clock: Clock,
        shards: int = 1,
    ):
        self._instance = instance
        self._data_centre = data_centre
        self._platform = platform
        self._post = post
        self._tasks = tasks
        self._clock = clock
        self._peer_seen_s: dict[str, float] = {}
        identity = f"{instance}/{uuid.uuid4().hex}"
        self._shards = shards
        names = shard_names(data_centre, shards)
        self.electors = {name: LeaseElector(name, identity) for name in names}

    def update_live_peers(self, event: Event) -> None:
        """Update which instances of the data centre are alive."""
        match event:
            case InstanceLoadReported(load) if load.data_centre == self._data_centre:
                self._peer_seen_s[load.instance] = self._clock.now()
            case InstanceGone(name):
                self._peer_seen_s.pop(name, None)

    async def run(self) -> None:
        """Take and renew leases until cancelled."""
        while True:
            for elector in self.electors.values():
                rank = self._rank(elector.shard)
                self._perform(elector, elector.tick(rank, self._clock.now()))
            await self._clock.sleep(LEASE_TICK_S)

    async def stop(self) -> None:
        """Release every lease, so that a peer can take it at once."""
        for elector in self.electors.values():
            for effect in elector.stop(self._clock.now()):
                if isinstance(effect, WriteLease):
                    await self._write(elector, effect.record)
                elif isinstance(effect, LeaseLost):
                    self._post(effect)

    def shard_of(self, target: Target) -> str:
        """Return the shard whose lease covers a target."""
        return shard_of(target.name, target.data_centre, self._shards)

    def held(self) -> tuple[str, ...]:
        """Return the shards whose lease this instance holds now."""
        now_s = self._clock.now()
        electors = self.electors.values()
        return tuple(k.shard for k in electors if now_s < k.valid_until_s)

    def dump(self) -> list[dict[str, Any]]:
        """Return the state of the leases as JSON data."""
        now_s = self._clock.now()
        return [_elector_to_data(k, now_s) for k in self.electors.values()]

    def _rank(self, shard: str) -> int:
        """Return this instance's takeover rank among the live instances."""
        now_s = self._clock.now()
        live = {
            n for n, at_s in self._peer_seen_s.items() if now_s - at_s < PEER_TIMEOUT_S
        }
        order = rendezvous_order(shard, sorted(live | {self._instance}))
        return order.index(self._instance)

    def _perform(self, elector: LeaseElector, effects: list[LeaseEffect]) -> None:
        for effect in effects:
            match effect:
                case ReadLease():
                    self._tasks.spawn(self._read(elector))
                case WriteLease(record):
                    self._tasks.spawn(self._write(elector, record))
                case _:
                    extra = {"shard": elector.shard, "state": elector.state}
                    if isinstance(effect, LeaseLost):
                        log.warning("lease lost", extra=extra)
                    self._post(effect)

    async def _read(self, elector: LeaseElector) -> None:
        found = await self._platform.get(LEASE, elector.shard)
        now_s = self._clock.now()
        match found:
            case Ok(obj):
                effects = elector.on_read(_lease_from_object(obj), now_s)
            case Err(error) if error.fault is PlatformFault.NOT_FOUND:
                effects = elector.on_read(None, now_s)
            case _:
                effects = elector.on_failed(now_s)
        self._perform(elector, effects)

    async def _write(self, elector: LeaseElector, record: LeaseRecord) -> None:
        obj = _lease_to_object(record, self._clock.wall_time())
        call = self._platform.update if record.version else self._platform.create
        written = await call(obj)
        now_s = self._clock.now()
        match written:
            case Ok(found):
                effects = elector.on_written(_lease_from_object(found), now_s)
            case Err(error) if error.fault in (
                PlatformFault.CONFLICT,
                PlatformFault.EXISTS,
            ):
                effects = elector.on_conflict(now_s)
            case _:
                effects = elector.on_failed(now_s)
        self._perform(elector, effects)


def _lease_from_object(obj: PlatformObject) -> LeaseRecord:
    return LeaseRecord(
        shard=obj.name,
        holder=obj.spec.get("holderIdentity") or "",
        fence=int(obj.spec.get("leaseTransitions", 0)),
        renewals=int(obj.labels.get(LABEL_RENEWALS, 0)),
        version=obj.version,
    )


def _lease_to_object(record: LeaseRecord, wall_s: float) -> PlatformObject:
    renewed = datetime.fromtimestamp(wall_s, UTC).isoformat(timespec="microseconds")
    spec = {
        "holderIdentity": record.holder,
        "leaseDurationSeconds": int(TERM_S),
        "leaseTransitions": record.fence,
        "renewTime": renewed,
    }
    labels = {LABEL_RENEWALS: str(record.renewals)}
    return PlatformObject(LEASE, record.shard, spec, record.version, labels)


def _elector_to_data(elector: LeaseElector, now_s: float) -> Mapping[str, Any]:
    return {
        "shard": elector.shard,
        "state": elector.state,
        "holder": elector.record.holder if elector.record else "",
        "fence": elector.fence,
        "valid_for_s": round(max(0.0, elector.valid_until_s - now_s), 3),
        "frozen": elector.valid_until_s <= now_s,
    }
