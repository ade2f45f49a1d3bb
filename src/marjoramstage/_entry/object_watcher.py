"""Watches the routes and targets in the platform's object store."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from result import Err

from marjoramstage import platform
from marjoramstage._entry.instance_state import InstanceState
from marjoramstage.protocol.objects import (
    Kind,
    Platform,
    PlatformError,
    PlatformFault,
    PlatformObject,
    WatchType,
)

RETRY_DELAY_S = 0.3
# Pause between two watch calls.
WATCH_INTERVAL_S = 0.9
# After an outage of the store, its list counts as complete after this time.
RECOVERY_SETTLE_S = 2.2


class ObjectWatcher:
    """Tracks the objects of one kind: lists them, then watches for changes.

    Parameters
    ----------
    on_put, on_remove : callable
        Called with an object that was added or changed, or with the name of one
        that was deleted.
    on_list : callable
        Called with all objects after each list.
    newest_only : bool
        Only the newest state of the objects matters. A watch returns every change
        since the one before; when changes come faster than a slow link carries
        them, each answer would be longer than the last. So after a change the
        objects are listed until they stay the same, and only then watched.
    """

    def __init__(
        self,
        kind: Kind,
        store: Platform,
        state: InstanceState,
        on_put: Callable[[PlatformObject], None],
        on_remove: Callable[[str], None],
        on_list: Callable[[tuple[PlatformObject, ...]], None],
        newest_only: bool = False,
    ):
        self._newest_only = newest_only
        self._changing = False
        self._listed: tuple[PlatformObject, ...] = ()
        self._kind = kind
        self._store = store
        self._state = state
        self._on_put = on_put
        self._on_remove = on_remove
        self._on_list = on_list
        self._version: str | None = None
        self.disconnected = False
        self.reconnected_s = 0.0

    async def run(self) -> None:
        """List and watch until cancelled."""
        while True:
            error = await self._sync_once()
            if error is None:
                self._mark_connected()
                await asyncio.sleep(WATCH_INTERVAL_S)
                continue
            if error.fault is PlatformFault.EXPIRED:
                self._state.events.event(
                    "watch history expired", kind=self._kind.plural
                )
                self._version = None
                continue
            self._mark_disconnected(error)
            await asyncio.sleep(RETRY_DELAY_S)

    def is_authoritative(self) -> bool:
        """Whether an object missing from the list may be taken as deleted.

        After an outage of the store the list may be incomplete for a while.
        """
        return (
            not self.disconnected
            and self._state.clock.now() >= self.reconnected_s + RECOVERY_SETTLE_S
        )

    def on_store_restored(self, era: int) -> None:
        """List the objects again; what is missing may still be written again."""
        self._version = None
        self.reconnected_s = self._state.clock.now()

    async def _sync_once(self) -> PlatformError | None:
        if self._version is None or self._changing:
            return await self._list()
        return await self._watch(self._version)

    async def _list(self) -> PlatformError | None:
        listing = await self._store.list(self._kind)
        if isinstance(listing, Err):
            return listing.err_value
        self._mark_connected()
        self._version = listing.ok_value.version
        objects = listing.ok_value.objects
        self._changing = self._newest_only and objects != self._listed
        self._listed = objects if self._newest_only else ()
        self._on_list(objects)
        return None

    async def _watch(self, version: str) -> PlatformError | None:
        async for found in self._store.watch(self._kind, version):
            if isinstance(found, Err):
                return found.err_value
            self._mark_connected()
            event = found.ok_value
            if event.type is WatchType.DELETED:
                self._on_remove(event.obj.name)
            elif event.type is WatchType.MODIFIED:
                self._on_put(event.obj)
                self._changing = self._newest_only
            else:
                self._version = event.version
        return None

    def _mark_disconnected(self, error: PlatformError) -> None:
        if not self.disconnected:
            self.disconnected = True
            self._state.events.event(
                "platform unreachable", kind=self._kind.plural, reason=error.message
            )

    def _mark_connected(self) -> None:
        if self.disconnected:
            self.disconnected = False
            self.reconnected_s = self._state.clock.now()
            self._state.events.event("platform reachable again", kind=self._kind.plural)


def watch_routes(store: Platform, state: InstanceState) -> ObjectWatcher:
    """Return the watcher of the operator's configuration."""

    def on_put(obj: PlatformObject) -> None:
        if obj.name != platform.CONFIG_NAME:
            return
        table = platform.decode_table(obj.spec)
        if isinstance(table, Err):
            state.events.event("invalid routes ignored", reason=table.err_value)
            return
        state.apply_routes(table.ok_value)

    def on_list(objects: tuple[PlatformObject, ...]) -> None:
        for obj in objects:
            on_put(obj)

    def on_remove(name: str) -> None:
        state.events.event("routes object deleted", object=name)

    return ObjectWatcher(
        platform.CONFIG, store, state, on_put, on_remove, on_list, newest_only=True
    )


def watch_targets(store: Platform, state: InstanceState) -> ObjectWatcher:
    """Return the watcher of the objects with which targets register."""

    def on_put(obj: PlatformObject) -> None:
        target = platform.decode_target(obj.name, obj.spec)
        if isinstance(target, Err):
            state.events.event(
                "invalid target removed", target=obj.name, reason=target.err_value
            )
            on_remove(obj.name)
            return
        state.put_target(target.ok_value)

    def on_remove(name: str) -> None:
        if name in state.fleet.targets:
            state.remove_target(name, watcher.is_authoritative())

    def on_list(objects: tuple[PlatformObject, ...]) -> None:
        names = {obj.name for obj in objects}
        for name in [name for name in state.fleet.targets if name not in names]:
            on_remove(name)
        for obj in objects:
            on_put(obj)
        state.targets_listed = True

    watcher = ObjectWatcher(platform.TARGETS, store, state, on_put, on_remove, on_list)
    return watcher


async def drop_missing_targets(watcher: ObjectWatcher, state: InstanceState) -> None:
    """Remove targets that are still missing some time after an outage."""
    while True:
        await asyncio.sleep(RETRY_DELAY_S)
        if state.fleet.missing and watcher.is_authoritative():
            names = sorted(state.fleet.missing)
            state.events.event("missing targets dropped", targets=names)
            for name in names:
                state.remove_target(name, confirmed=True)
