"""In-memory store of versioned objects with conditional updates and watches."""

from __future__ import annotations

import asyncio
from collections import deque
from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any

KEPT_EVENTS = 1024


@dataclass(frozen=True)
class StoreKey:
    """Identity of an object: API group, plural, namespace and name."""

    group: str
    plural: str
    namespace: str
    name: str


@dataclass(frozen=True)
class StoreEvent:
    """One change of an object, as watches deliver it."""

    version: int
    type: str
    key: StoreKey
    obj: Mapping[str, Any]


class StoreError(Exception):
    """A call that the store rejects; ``status`` is the HTTP status to send."""

    def __init__(self, status: int, reason: str):
        super().__init__(reason)
        self.status = status
        self.reason = reason


class ObjectStore:
    """Object store of the platform stand-in.

    Every write gives the store, and the object, the next version number.

    Parameters
    ----------
    kept_events : int
        Number of latest events that are retained. A watch from an older
        version fails with status 410 and has to list again.
    """

    def __init__(self, kept_events: int = KEPT_EVENTS):
        self.version = 0
        self._objects: dict[StoreKey, dict[str, Any]] = {}
        self._events: deque[StoreEvent] = deque(maxlen=kept_events)
        self._changed = asyncio.Condition()

    def copy(self) -> ObjectStore:
        """Return a copy that later changes of this store do not reach."""
        replica = ObjectStore()
        replica.version = self.version
        replica._objects = dict(self._objects)
        return replica

    def get(self, key: StoreKey) -> dict[str, Any]:
        """Return one object; raise `StoreError` with 404 if there is none."""
        try:
            return self._objects[key]
        except KeyError:
            raise StoreError(404, "NotFound") from None

    def list(
        self, group: str, plural: str, namespace: str, labels: Mapping[str, str]
    ) -> list[dict[str, Any]]:
        """Return the objects of a kind and namespace that carry ``labels``."""
        found = []
        for key, obj in self._objects.items():
            if (key.group, key.plural, key.namespace) != (group, plural, namespace):
                continue
            if not labels_match(obj, labels):
                continue
            found.append(obj)
        return found

    async def create(self, key: StoreKey, obj: dict[str, Any]) -> dict[str, Any]:
        """Create an object; raise `StoreError` with 409 if it exists."""
        if key in self._objects:
            raise StoreError(409, "AlreadyExists")
        return await self._put("ADDED", key, obj)

    async def update(self, key: StoreKey, obj: dict[str, Any]) -> dict[str, Any]:
        """Replace an object.

        If ``obj`` names a resource version, it has to be the present one;
        otherwise `StoreError` with 409 is raised.
        """
        self._check_version(key, obj.get("metadata", {}).get("resourceVersion"))
        return await self._put("MODIFIED", key, obj)

    async def delete(self, key: StoreKey, version: str | None) -> dict[str, Any]:
        """Remove an object.

        A ``version`` that is given has to be the present one; otherwise
        `StoreError` with 409 is raised.
        """
        self._check_version(key, version)
        obj = self._objects.pop(key)
        await self._record("DELETED", key, obj)
        return obj

    def compact(self) -> None:
        """Drop all retained events; older watches have to list again."""
        self._events.clear()

    async def next_events(self, after: int) -> list[StoreEvent]:
        """Wait for changes after version ``after`` and return them.

        Raises `StoreError` with 410 if some of them are no longer retained.
        """
        async with self._changed:
            await self._changed.wait_for(lambda: self.version > after)
            oldest = self._events[0].version if self._events else self.version + 1
            if oldest > after + 1:
                raise StoreError(410, "Expired")
            return [event for event in self._events if event.version > after]

    def _check_version(self, key: StoreKey, version: str | None) -> None:
        current = self.get(key)["metadata"]["resourceVersion"]
        if version is not None and version != current:
            raise StoreError(409, "Conflict")

    async def _put(self, kind: str, key: StoreKey, obj: dict[str, Any]) -> dict:
        metadata = dict(obj.get("metadata") or {})
        metadata["name"] = key.name
        metadata["namespace"] = key.namespace
        metadata["resourceVersion"] = str(self.version + 1)
        stored = {**obj, "metadata": metadata}
        self._objects[key] = stored
        await self._record(kind, key, stored)
        return stored

    async def _record(self, kind: str, key: StoreKey, obj: dict[str, Any]) -> None:
        self.version += 1
        self._events.append(StoreEvent(self.version, kind, key, obj))
        async with self._changed:
            self._changed.notify_all()


def labels_match(obj: Mapping[str, Any], labels: Mapping[str, str]) -> bool:
    """Return whether ``obj`` carries every one of ``labels``."""
    own = (obj.get("metadata") or {}).get("labels") or {}
    return all(own.get(name) == value for name, value in labels.items())
