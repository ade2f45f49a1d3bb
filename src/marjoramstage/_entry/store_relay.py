"""Publishes to all instances what one of them reads in the platform's store.

Each call to the store is paid for, and the calls of instances that all watch the
same objects grow with their number. So the holder of the placement lease watches
closely and sends each change to the others, and with each view how much it knows
and how recently the store confirmed it. An instance that hears nothing recent, or
lacks a change, asks the store itself.

Changes and confirmations are facts about the store's revisions. They hold whoever
sends them, so that a former holder does no harm.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
from typing import Protocol

from result import Err

from marjoramstage._entry.event_log import EventLog
from marjoramstage.clock import seconds_since_boot
from marjoramstage.protocol.objects import Kind
from marjoramstage.protocol.peers import StoreChanges, StoreProgress
from marjoramstage.protocol.store_changes import (
    ChangedObjects,
    decode_changes,
    encode_changes,
)
from marjoramstage.state.node_settings import NodeBounds
from marjoramstage.state.store_era import StoreEra

# Share of the users' bounds for which a confirmation is relied on. The rest is left
# for asking the store after it.
FRESHNESS_SHARE = 0.7


def max_confirmation_age_s(bounds: NodeBounds) -> float:
    """Return for how long a confirmation by the store is relied on, in seconds."""
    return FRESHNESS_SHARE * min(bounds.config_s, bounds.drain_s)


class RelayedWatcher(Protocol):
    """A watcher whose objects are relayed."""

    kind: Kind

    def progress(self, era: int) -> StoreProgress | None:
        """Return how much is known; None before the first list."""

    def apply_changes(self, message: StoreChanges, changes: ChangedObjects) -> None:
        """Apply changes that another instance sent."""

    def apply_progress(self, progress: StoreProgress) -> None:
        """Note how much another instance knows."""


class StoreRelay:
    """Exchanges what the watchers of an instance find with the other instances.

    Parameters
    ----------
    era : StoreEra
        Of the store.
    max_age_s : float
        How long a confirmation is relied on; 0 to rely on none.
    may_publish : callable
        Whether this instance is the one that publishes.
    send : callable
        Sends changes to all other instances.
    now_s : callable
        Clock that counts suspended time too.
    """

    def __init__(
        self,
        era: StoreEra,
        events: EventLog,
        max_age_s: float = 0.0,
        may_publish: Callable[[], bool] = lambda: False,
        send: Callable[[StoreChanges], None] = lambda message: None,
        now_s: Callable[[], float] = seconds_since_boot,
    ):
        self._era = era
        self._events = events
        self.max_age_s = max_age_s
        self.may_publish = may_publish
        self._send = send
        self.now_s = now_s
        self._watchers: dict[str, RelayedWatcher] = {}

    def add(self, watcher: RelayedWatcher) -> None:
        """Relay the objects of a watcher."""
        self._watchers[watcher.kind.plural] = watcher

    def publish(
        self,
        kind: Kind,
        since: int,
        revision: int,
        certain: bool,
        changes: ChangedObjects,
    ) -> None:
        """Send changes to the other instances if this is the one that publishes."""
        if not self.may_publish():
            return
        content = encode_changes(changes)
        era = self._era.current
        self._send(StoreChanges(kind.plural, era, since, revision, certain, content))

    def progress(self) -> tuple[StoreProgress, ...]:
        """Return how much this instance knows of each kind."""
        era = self._era.current
        found = [watcher.progress(era) for watcher in self._watchers.values()]
        return tuple(progress for progress in found if progress is not None)

    def receive_changes(self, message: StoreChanges) -> None:
        """Apply changes that another instance sent."""
        watcher = self._watchers.get(message.kind)
        if watcher is None or message.era != self._era.current:
            return
        changes = decode_changes(watcher.kind, message.content)
        if isinstance(changes, Err):
            self._events.event(
                "invalid store changes", kind=message.kind, reason=changes.err_value
            )
            return
        watcher.apply_changes(message, changes.ok_value)

    def receive_progress(self, entries: Iterable[StoreProgress]) -> None:
        """Note how much another instance knows of each kind.

        One that knows a later era is not relied on: the next call to the store
        shows that era.
        """
        for progress in entries:
            watcher = self._watchers.get(progress.kind)
            if watcher is not None and progress.era == self._era.current:
                watcher.apply_progress(progress)
