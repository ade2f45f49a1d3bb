"""Keeps in the platform's store which version of targets began which streams.

An instance that starts has seen neither the streams that callers take up nor the
versions that are gone, even if all were killed at once. So each instance stores the
versions that it has seen of late and, while a service has run several, the streams
that each began.
"""

from __future__ import annotations

import asyncio

from result import Err, Ok, Result

from marjoramstage import platform
from marjoramstage._entry.instance_state import InstanceState
from marjoramstage._entry.placement_controller import PlacementController
from marjoramstage.protocol.objects import (
    Platform,
    PlatformError,
    PlatformFault,
    PlatformObject,
)
from marjoramstage.state.origin_record import OriginRecord

# An instance writes this often at most, and with many instances less often.
WRITE_INTERVAL_S = 0.7
WRITE_INTERVAL_PER_INSTANCE_S = 0.02
# The same for new streams while the holder of the lease stores those of all.
KEPT_WRITE_INTERVAL_S = 10.0
# Streams that an instance stores, the newest ones.
MAX_STORED_STREAMS = 2000
RELOAD_INTERVAL_S = 0.5
CLEANUP_INTERVAL_S = 60.0


class OriginStore:
    """Stores the record of one instance, and reads those of all.

    Attributes
    ----------
    is_loaded : bool
        What earlier instances stored is known.
    """

    def __init__(
        self, state: InstanceState, store: Platform, controller: PlacementController
    ):
        self._state = state
        self._store = store
        self._controller = controller
        self._written: OriginRecord | None = None
        self._written_s = 0.0
        self._exists = False
        self._read_began_s = -RELOAD_INTERVAL_S
        # When the last read that succeeded began.
        self._known_s = -RELOAD_INTERVAL_S
        self._cleaned_s = state.clock.now()
        self._silent: set[str] = set()
        self._reading: asyncio.Task[bool] | None = None
        self.is_loaded = False

    async def run(self) -> None:
        """Read what is stored, then write what changes, until cancelled."""
        while True:
            interval_s = max(
                WRITE_INTERVAL_S,
                WRITE_INTERVAL_PER_INSTANCE_S * self._state.instance_count,
            )
            if not self.is_loaded:
                self.is_loaded = await self._read_with_others()
            elif self._state.targets_listed:
                await self._write()
                await self._clean_up()
            await asyncio.sleep(interval_s)

    def on_store_restored(self, era: int) -> None:
        """Write again, as the store may have lost the record."""
        self._written = None
        self._exists = False

    async def reload(self, since_s: float) -> None:
        """Read what other instances have stored, unless that began since a time.

        Waits for a read under way and for the next, as reads have a shortest
        interval. Returns if the store can't be read.
        """
        while self._known_s < since_s:
            if not await self._read_with_others():
                return

    async def _read_with_others(self) -> bool:
        """Read, together with all who want to; return whether it could be read."""
        if self._reading is None or self._reading.done():
            self._reading = asyncio.create_task(self._read_next())
        return await asyncio.shield(self._reading)

    async def _read_next(self) -> bool:
        """Read once the interval since the last read is over."""
        next_s = self._read_began_s + RELOAD_INTERVAL_S
        await asyncio.sleep(max(0.0, next_s - self._state.clock.now()))
        return await self._read()

    async def _read(self) -> bool:
        """Take over all records; return whether they could be read."""
        began_s = self._read_began_s = self._state.clock.now()
        found = await self._store.list(platform.STREAM_ORIGINS)
        if isinstance(found, Err):
            self._state.events.event(
                "stream origins not read", reason=found.err_value.message
            )
            return False
        state = self._state
        self._known_s = began_s
        now_s = state.clock.now()
        is_first = not self.is_loaded
        for obj in found.ok_value.objects:
            self._exists = self._exists or obj.name == state.settings.name
            match platform.decode_origins(obj.spec):
                case Ok(record):
                    is_first = is_first and not record.versions
                    if not self.is_loaded:
                        # Later, what others have seen is known here too.
                        state.software.learn(record.versions, now_s)
                    state.stream_origins.learn(record.origins)
                case Err(reason):
                    is_first = False
                    state.events.event(
                        "invalid stream origins ignored", object=obj.name, reason=reason
                    )
        if is_first:
            # Each instance stores versions before it serves.
            state.software.mark_first()
        return True

    async def _write(self) -> None:
        """Write this instance's record if it has changed."""
        if not self._is_due():
            return
        record = self._record()
        if record == self._written or not record.versions:
            return
        obj = platform.encode_origins(self._state.settings.name, record)
        match await self._put(obj):
            case Ok():
                self._written = record
                self._written_s = self._state.clock.now()
            case Err(error):
                self._written = None
                self._state.events.event(
                    "stream origins not written", reason=error.message
                )

    async def _put(self, obj: PlatformObject) -> Result[PlatformObject, PlatformError]:
        """Write an object that no other instance writes, whatever its version."""
        call = self._store.update if self._exists else self._store.create
        written = await call(obj)
        if isinstance(written, Ok) or written.err_value.fault is PlatformFault.EXISTS:
            self._exists = True
        elif written.err_value.fault is PlatformFault.NOT_FOUND:
            self._exists = False
        return written

    def _is_due(self) -> bool:
        """Whether to write now what has changed.

        While the holder of the lease stores streams, new ones alone can wait.
        """
        state = self._state
        if self._written is None or not state.origins_are_kept():
            return True
        if self._written.versions != state.recent_versions():
            return True
        return state.clock.now() - self._written_s >= KEPT_WRITE_INTERVAL_S

    def _record(self) -> OriginRecord:
        state = self._state
        versions = state.recent_versions()
        if all(len(names) == 1 for names in versions.values()):
            return OriginRecord(versions)
        now_s = state.clock.now()
        return OriginRecord(
            versions, state.stream_origins.newest(MAX_STORED_STREAMS, now_s)
        )

    async def _clean_up(self) -> None:
        """Remove the records of instances that are gone, if this holds the lease."""
        now_s = self._state.clock.now()
        if now_s - self._cleaned_s < CLEANUP_INTERVAL_S:
            return
        self._cleaned_s = now_s
        if not self._controller.may_send_orders:
            return
        found = await self._store.list(platform.STREAM_ORIGINS)
        if isinstance(found, Err):
            return
        live = self._controller.reporting_instances | {self._state.settings.name}
        silent = {obj.name: obj for obj in found.ok_value.objects}
        for name in live:
            silent.pop(name, None)
        for name in self._silent & silent.keys():
            await self._store.delete(
                platform.STREAM_ORIGINS, name, silent[name].version
            )
        self._silent = set(silent)
