"""Keeps quarantined parts of prompts in the platform's store."""

from __future__ import annotations

import hashlib
from collections.abc import Mapping

from result import Err

from marjoramstage import platform
from marjoramstage._entry.instance_state import InstanceState
from marjoramstage.coordination.part_quarantine import Quarantine
from marjoramstage.protocol.objects import Platform, PlatformFault, PlatformObject


class QuarantineStore:
    """What of an instance's quarantines is stored; one object for each."""

    def __init__(self, state: InstanceState, store: Platform):
        self._state = state
        self._store = store
        self._stored: set[frozenset[str]] = set()

    def on_store_restored(self, era: int) -> None:
        """Store everything again, as the store may have lost it."""
        self._stored.clear()

    async def load(self) -> bool:
        """Apply what is stored; return whether it could be read."""
        found = await self._store.list(platform.QUARANTINES)
        if isinstance(found, Err):
            self._state.events.event(
                "quarantines not read", reason=found.err_value.message
            )
            return False
        now_s = self._state.clock.now()
        for obj in found.ok_value.objects:
            parts = _decode(obj)
            if not parts:
                self._state.events.event("invalid quarantine ignored", object=obj.name)
                continue
            self._stored.add(parts)
            self._state.quarantine.merge(Quarantine(parts, now_s))
        return True

    async def update(self, removes: bool) -> None:
        """Store the quarantines in force, and perhaps remove those that are over."""
        active = {
            q.parts for q in self._state.quarantine.active(self._state.clock.now())
        }
        for parts in active - self._stored:
            obj = PlatformObject(
                platform.QUARANTINES, _name_of(parts), {"parts": sorted(parts)}
            )
            if _is_settled(await self._store.create(obj), PlatformFault.EXISTS):
                self._stored.add(parts)
        for parts in self._stored - active:
            if not removes or await self._remove(parts):
                self._stored.discard(parts)

    async def _remove(self, parts: frozenset[str]) -> bool:
        """Remove a quarantine from the store; return whether it is gone."""
        found = await self._store.get(platform.QUARANTINES, _name_of(parts))
        if isinstance(found, Err):
            return found.err_value.fault is PlatformFault.NOT_FOUND
        obj = found.ok_value
        removed = await self._store.delete(obj.kind, obj.name, obj.version)
        return _is_settled(removed, PlatformFault.NOT_FOUND)


def _is_settled(result, settled_by: PlatformFault) -> bool:
    """Whether a call succeeded or found that there was nothing to do."""
    return not isinstance(result, Err) or result.err_value.fault is settled_by


def _name_of(parts: frozenset[str]) -> str:
    return hashlib.sha256("\n".join(sorted(parts)).encode()).hexdigest()[:32]


def _decode(obj: PlatformObject) -> frozenset[str]:
    """Return the parts that an object names; none if it is invalid."""
    parts = obj.spec.get("parts") if isinstance(obj.spec, Mapping) else None
    if not isinstance(parts, list) or not all(isinstance(p, str) for p in parts):
        return frozenset()
    return frozenset(parts)
