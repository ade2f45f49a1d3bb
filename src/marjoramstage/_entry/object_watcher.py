"""Watches one kind of objects in the platform's object store.

One instance publishes what it finds to the others; an instance asks the store
itself only while nothing recent was published. See `store_relay`.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from result import Err

from marjoramstage._entry.instance_state import InstanceState
from marjoramstage._entry.store_relay import StoreRelay
from marjoramstage.exceptions import Verdict
from marjoramstage.protocol.objects import (
    Kind,
    Platform,
    PlatformError,
    PlatformFault,
    PlatformObject,
    WatchEvent,
    WatchType,
)
from marjoramstage.protocol.peers import StoreChanges, StoreProgress
from marjoramstage.protocol.store_changes import ChangedObjects
from marjoramstage.state.store_era import StoreEra

# Pause after the first of several failed calls; it doubles up to the longest one.
RETRY_DELAY_S = 0.3
MAX_RETRY_DELAY_S = 1.2
# Pause between two watch calls.
WATCH_INTERVAL_S = 0.9
# The same for the instance that publishes, and how long its calls wait for changes:
# it is to notice soon when the store is silent.
PUBLISH_INTERVAL_S = 0.2
PUBLISH_WAIT_S = 0.3
# After an outage of the store, its list counts as complete after this time.
RECOVERY_SETTLE_S = 2.2
# Characters of an exception that are logged.
MAX_REASON = 200


class ObjectWatcher:
    """Tracks the objects of one kind: lists them, then watches for changes.

    Parameters
    ----------
    on_put, on_remove : callable
        Called with an object that was added or changed, or with the name of one
        that was deleted.
    on_list : callable
        Called with all objects after each list.
    relay : StoreRelay, optional
        Exchanges changes with the other instances.
    newest_only : bool
        Only the newest state of the objects matters. A watch returns every change
        since the one before; when changes come faster than a slow link carries
        them, each answer would be longer than the last. So after a change the
        objects are listed until they stay the same, and only then watched.
    matters : callable
        Whether the other instances need to know of a change, from the object
        before and after it.
    conceal : callable
        Returns an object of the store without what is secret in it. The watcher
        keeps and sends only such objects.
    """

    def __init__(
        self,
        kind: Kind,
        store: Platform,
        state: InstanceState,
        on_put: Callable[[PlatformObject], None],
        on_remove: Callable[[str], None],
        on_list: Callable[[tuple[PlatformObject, ...]], None],
        relay: StoreRelay | None = None,
        newest_only: bool = False,
        matters: Callable[[PlatformObject, PlatformObject], bool] | None = None,
        conceal: Callable[[PlatformObject], PlatformObject] = lambda obj: obj,
    ):
        self.kind = kind
        self.disconnected = False
        self.reconnected_s = 0.0
        self._newest_only = newest_only
        self._changing = False
        self._store = store
        self._state = state
        self._on_put = on_put
        self._on_remove = on_remove
        self._on_list = on_list
        self._relay = relay or StoreRelay(StoreEra(), state.events)
        self._matters = matters or (lambda before, after: True)
        self._conceal = conceal
        self._objects: dict[str, PlatformObject] = {}
        self._version: str | None = None
        # Revision of the last change that matters; None if it is not known.
        self._changed: int | None = None
        self._confirmed_s = 0.0
        self._fresh_until_s = 0.0
        self._failures = 0
        self._relay.add(self)

    async def run(self) -> None:
        """List and watch until cancelled, unless another instance publishes."""
        while True:
            remaining_s = self._fresh_for_s()
            if remaining_s > 0:
                await asyncio.sleep(remaining_s)
                continue
            error = await self._try_sync()
            if error is None:
                publishing = self._relay.may_publish()
                await asyncio.sleep(
                    PUBLISH_INTERVAL_S if publishing else WATCH_INTERVAL_S
                )
                continue
            if error.fault is PlatformFault.EXPIRED:
                self._state.events.event("watch history expired", kind=self.kind.plural)
                self._version = None
                continue
            self._mark_disconnected(error)
            await asyncio.sleep(self._retry_delay_s())

    def is_authoritative(self) -> bool:
        """Whether an object missing from the list may be taken as deleted.

        After an outage of the store the list may be incomplete for a while.
        """
        return (
            not self.disconnected
            and self._state.clock.now() >= self.reconnected_s + RECOVERY_SETTLE_S
        )

    def is_fresh(self, max_age_s: float) -> bool:
        """Whether the store confirmed so recently that nothing has changed."""
        now_s = self._relay.now_s()
        published = now_s < self._fresh_until_s
        confirmed = self._version is not None and now_s - self._confirmed_s <= max_age_s
        return published or confirmed

    def on_store_restored(self, era: int) -> None:
        """List the objects again; what is missing may still be written again."""
        self._version = None
        self._changed = None
        self._fresh_until_s = 0.0
        self.reconnected_s = self._state.clock.now()

    # Exchange with other instances

    def progress(self, era: int) -> StoreProgress | None:
        """Return how much is known; None before the first list."""
        if self._version is None or self._changed is None:
            return None
        age_ms = int((self._relay.now_s() - self._confirmed_s) * 1000)
        return StoreProgress(
            self.kind.plural, era, self._changed, int(self._version), age_ms
        )

    def apply_changes(self, message: StoreChanges, changes: ChangedObjects) -> None:
        """Apply changes that another instance sent, unless one before is missing."""
        if self._version is None:
            return
        if not message.since <= int(self._version) < message.revision:
            return
        if not message.certain:
            self.reconnected_s = self._state.clock.now()
        for obj in changes.written:
            self._put(obj)
        for name in changes.removed:
            self._remove(name)
        self._version = str(message.revision)
        self._changed = message.revision
        self._changing = False

    def apply_progress(self, progress: StoreProgress) -> None:
        """Rely on another instance, unless it knows of changes that are missing here.

        One that knows less than this instance has not asked the store lately.
        """
        if self._version is None:
            return
        if not progress.changed <= int(self._version) <= progress.revision:
            return
        self._version = str(progress.revision)
        self._changed = progress.changed
        now_s = self._relay.now_s()
        fresh_s = self._relay.max_age_s - progress.age_ms / 1000
        self._fresh_until_s = max(self._fresh_until_s, now_s + fresh_s)
        if fresh_s > 0:
            self._mark_connected()

    def _fresh_for_s(self) -> float:
        """Return how long what was published is recent enough."""
        if self._version is None or self._relay.may_publish():
            return 0.0
        return self._fresh_until_s - self._relay.now_s()

    # Calls to the store

    async def _try_sync(self) -> PlatformError | None:
        """Ask the store; a fault of this program doesn't end the watch."""
        try:
            return await self._sync_once()
        except Exception as exc:
            # What was read is not known to be applied, so all is read again.
            self._version = None
            self._state.events.event(
                "watch failed", kind=self.kind.plural, reason=repr(exc)[:MAX_REASON]
            )
            fault, verdict = PlatformFault.UNAVAILABLE, Verdict.NOT_RUN
            return PlatformError(fault, verdict, "answer not applied")

    async def _sync_once(self) -> PlatformError | None:
        if self._version is None or self._changing:
            return await self._list()
        return await self._watch(self._version)

    async def _list(self) -> PlatformError | None:
        asked_s = self._relay.now_s()
        listing = await self._store.list(self.kind)
        if isinstance(listing, Err):
            return listing.err_value
        self._mark_connected()
        version = listing.ok_value.version
        if self._is_outdated(version):
            return None
        self._confirmed_s = asked_s
        objects = tuple(self._conceal(obj) for obj in listing.ok_value.objects)
        before, self._objects = self._objects, {obj.name: obj for obj in objects}
        self._on_list(objects)
        self._changing = self._newest_only and before != self._objects
        self._advance(version, before)
        return None

    async def _watch(self, version: str) -> PlatformError | None:
        asked_s = self._relay.now_s()
        wait_s = PUBLISH_WAIT_S if self._relay.may_publish() else None
        events: list[WatchEvent] = []
        async for found in self._store.watch(self.kind, version, wait_s=wait_s):
            if isinstance(found, Err):
                return found.err_value
            events.append(found.ok_value)
        self._mark_connected()
        if not events or self._is_outdated(events[-1].version):
            return None
        before = dict(self._objects)
        changed = self._apply(events)
        # Nothing tells when during the wait a change was noticed.
        waited_s = wait_s if wait_s is not None and not changed else 0.0
        self._confirmed_s = min(self._relay.now_s(), asked_s + waited_s)
        self._advance(events[-1].version, before)
        return None

    def _apply(self, events: list[WatchEvent]) -> bool:
        """Apply the events of a watch; return whether there are any changes."""
        changed = False
        for event in events:
            if event.type is WatchType.DELETED:
                self._remove(event.obj.name)
                changed = True
            elif event.type is WatchType.MODIFIED:
                self._put(self._conceal(event.obj))
                self._changing = self._newest_only
                changed = True
        return changed

    def _changes_that_matter(self, before: dict[str, PlatformObject]) -> ChangedObjects:
        """Return how the objects differ from before, for the other instances."""
        now = self._objects
        written = tuple(
            obj
            for name, obj in now.items()
            if name not in before
            or (obj != before[name] and self._matters(before[name], obj))
        )
        removed = tuple(name for name in before if name not in now)
        return ChangedObjects(written, removed)

    def _advance(self, version: str, before: dict[str, PlatformObject]) -> None:
        """Move on to a version of the store, and publish what changed."""
        revision = int(version)
        self._version = version
        if self._changed is None:
            self._changed = revision
            return
        changes = self._changes_that_matter(before)
        if not changes.written and not changes.removed:
            return
        since, self._changed = self._changed, revision
        certain = self.is_authoritative()
        self._relay.publish(self.kind, since, revision, certain, changes)

    def _is_outdated(self, version: str) -> bool:
        """Whether an answer of the store is older than what is known."""
        return self._version is not None and int(version) < int(self._version)

    def _put(self, obj: PlatformObject) -> None:
        self._objects[obj.name] = obj
        self._on_put(obj)

    def _remove(self, name: str) -> None:
        self._objects.pop(name, None)
        self._on_remove(name)

    # Connection

    def _retry_delay_s(self) -> float:
        """Return the pause after a failed call.

        The instance that publishes keeps to the shortest one.
        """
        self._failures += 1
        if self._relay.may_publish():
            return RETRY_DELAY_S
        return min(RETRY_DELAY_S * 2 ** (self._failures - 1), MAX_RETRY_DELAY_S)

    def _mark_disconnected(self, error: PlatformError) -> None:
        if not self.disconnected:
            self.disconnected = True
            self._state.events.event(
                "platform unreachable", kind=self.kind.plural, reason=error.message
            )

    def _mark_connected(self) -> None:
        self._failures = 0
        if self.disconnected:
            self.disconnected = False
            self.reconnected_s = self._state.clock.now()
            self._state.events.event("platform reachable again", kind=self.kind.plural)
