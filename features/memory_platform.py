"""An in-memory fake of the platform's object API with injected faults."""

import asyncio

from result import Err, Ok

from marjoramstage.exceptions import Verdict
from marjoramstage.protocol.objects import (
    HEAD,
    ObjectList,
    PlatformError,
    PlatformFault,
    PlatformObject,
)

DOWN = Err(PlatformError(PlatformFault.UNAVAILABLE, Verdict.NOT_RUN, "down"))
LOST = Err(PlatformError(PlatformFault.UNAVAILABLE, Verdict.MAY_HAVE_RUN, "lost"))


class MemoryPlatform:
    """Objects by kind and name.

    ``fault`` is called with the object before each write and returns "" (no
    fault), "lost" (takes effect, response lost), "dropped" (no effect, response
    lost) or "late" (takes effect after ``late_calls`` more calls, response
    lost).
    """

    def __init__(self, rng=None):
        self.objects = {}
        self.version = 0
        self.down = False
        self.stale_heads = 0
        self.late_calls = 4
        self.fault = lambda obj: ""
        self.head_versions = []
        self._late = []
        self._rng = rng

    async def _enter(self):
        for _ in range(self._rng.randrange(4) if self._rng else 1):
            await asyncio.sleep(0)
        for entry in list(self._late):
            entry[0] -= 1
            if entry[0] <= 0:
                self._late.remove(entry)
                self._write(entry[1])

    async def get(self, kind, name):
        await self._enter()
        if self.down:
            return DOWN
        if kind is HEAD and self.stale_heads > 0 and len(self.head_versions) > 1:
            self.stale_heads -= 1
            return Ok(self.head_versions[-2])
        obj = self.objects.get((kind, name))
        if obj is None:
            return Err(PlatformError(PlatformFault.NOT_FOUND, Verdict.NOT_RUN))
        return Ok(obj)

    async def list(self, kind):
        await self._enter()
        if self.down:
            return DOWN
        found = [obj for (k, _), obj in self.objects.items() if k == kind]
        return Ok(ObjectList(tuple(found), str(self.version)))

    async def delete(self, kind, name, version):
        await self._enter()
        if self.down:
            return DOWN
        known = self.objects.get((kind, name))
        if known is None:
            return Err(PlatformError(PlatformFault.NOT_FOUND, Verdict.NOT_RUN))
        if known.version != version:
            return Err(PlatformError(PlatformFault.CONFLICT, Verdict.NOT_RUN))
        del self.objects[kind, name]
        return Ok(None)

    async def create(self, obj):
        return await self._put(obj)

    async def update(self, obj):
        return await self._put(obj)

    async def _put(self, obj):
        await self._enter()
        if self.down:
            return DOWN
        fault = self.fault(obj)
        if fault == "late":
            self._late.append([self.late_calls, obj])
            return LOST
        if fault == "dropped":
            return LOST
        written = self._write(obj)
        return LOST if fault == "lost" else written

    def _write(self, obj):
        known = self.objects.get((obj.kind, obj.name))
        if not obj.version and known is not None:
            return Err(PlatformError(PlatformFault.EXISTS, Verdict.NOT_RUN))
        if obj.version and (known is None or known.version != obj.version):
            return Err(PlatformError(PlatformFault.CONFLICT, Verdict.NOT_RUN))
        self.version += 1
        stored = PlatformObject(obj.kind, obj.name, obj.spec, str(self.version))
        self.objects[obj.kind, obj.name] = stored
        if obj.kind is HEAD:
            self.head_versions.append(stored)
        return Ok(stored)
