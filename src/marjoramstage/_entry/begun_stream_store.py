"""Stores the streams that all instances began, at the holder of the placement lease.

If all instances are killed at once, only what is stored is known of their streams. So
the holder stores the streams of all instances together, soon after they were reported.
"""

from __future__ import annotations

import asyncio
import uuid

from result import Err, Ok, Result

from marjoramstage import platform
from marjoramstage._entry.instance_state import InstanceState
from marjoramstage._entry.placement_controller import PlacementController
from marjoramstage.coordination.begun_slices import BegunSlice, BegunSlices
from marjoramstage.protocol.objects import (
    Platform,
    PlatformError,
    PlatformFault,
    PlatformObject,
)
from marjoramstage.protocol.peers import BegunStreams
from marjoramstage.state.origin_record import OriginRecord

# The holder writes this often at most, and with few instances less often.
WRITE_INTERVAL_S = 0.1
WRITE_INTERVAL_OF_ONE_S = 0.9
IDLE_INTERVAL_S = 1.0


class BegunStreamStore:
    """Stores slices of the streams that reports name."""

    def __init__(
        self, state: InstanceState, store: Platform, controller: PlacementController
    ):
        self._state = state
        self._store = store
        self._controller = controller
        self._slices = BegunSlices()
        self._reported = asyncio.Event()
        self._failing = False
        self._prefix = f"{state.settings.name}.begun.{uuid.uuid4().hex[:8]}"

    @property
    def is_keeping(self) -> bool:
        """Whether what instances report is stored soon."""
        return self._controller.may_send_orders and not self._failing

    def record(self, begun: tuple[BegunStreams, ...]) -> None:
        """Record the streams that a report names."""
        if self._slices.record(begun, self._state.clock.now()):
            self._reported.set()

    def on_store_restored(self, era: int) -> None:
        """Write again, as the store may have lost the slices."""
        self._slices.mark_unstored()
        self._reported.set()

    async def run(self) -> None:
        """Write and remove slices until cancelled."""
        while True:
            await self._wait_for_reports()
            written = [await self._write(found) for found in self._slices.changed()]
            self._failing = not all(written)
            for expired in self._slices.expired(self._state.clock.now()):
                await self._remove(expired)
            instances = max(1, self._state.instance_count)
            await asyncio.sleep(
                max(WRITE_INTERVAL_S, WRITE_INTERVAL_OF_ONE_S / instances)
            )

    async def _wait_for_reports(self) -> None:
        try:
            async with asyncio.timeout(IDLE_INTERVAL_S):
                await self._reported.wait()
        except TimeoutError:
            return
        self._reported.clear()

    async def _write(self, changed: BegunSlice) -> bool:
        """Write a slice; return whether it is stored. Otherwise it is tried again."""
        changed.changed = False
        written = await self._put(changed)
        if isinstance(written, Ok):
            changed.stored = True
            changed.version = written.ok_value.version
            return True
        changed.changed = True
        self._reported.set()
        self._state.events.event(
            "begun streams not written", reason=written.err_value.message
        )
        return False

    async def _put(self, changed: BegunSlice) -> Result[PlatformObject, PlatformError]:
        """Write an object that no other instance writes, whatever its version."""
        call = self._store.update if changed.stored else self._store.create
        written = await call(self._encode(changed))
        if isinstance(written, Err):
            fault = written.err_value.fault
            changed.stored = changed.stored and fault is not PlatformFault.NOT_FOUND
            changed.stored = changed.stored or fault is PlatformFault.EXISTS
        return written

    async def _remove(self, expired: BegunSlice) -> None:
        """Remove a slice; what can't be removed is left to the clean-up."""
        self._slices.remove(expired)
        removed = await self._store.delete(
            platform.STREAM_ORIGINS, self._name(expired), expired.version
        )
        if isinstance(removed, Err):
            self._state.events.event(
                "begun streams not removed", reason=removed.err_value.message
            )

    def _encode(self, begun: BegunSlice) -> PlatformObject:
        origins = {name: tuple(found) for name, found in begun.origins.items()}
        record = OriginRecord(self._state.recent_versions(), origins)
        return platform.encode_origins(self._name(begun), record)

    def _name(self, begun: BegunSlice) -> str:
        return f"{self._prefix}.{begun.number}"
