"""Keeps what is wrong with one entry of the store to that entry, and logs it."""

from __future__ import annotations

from collections.abc import Callable, Iterator
from contextlib import contextmanager

from marjoramstage._entry.event_log import EventLog
from marjoramstage.clock import Clock
from marjoramstage.protocol.objects import PlatformObject

# An entry that holds up the event loop for this long is logged.
SLOW_ENTRY_S = 0.1
# Characters of an exception that are logged.
MAX_REASON_CHARS = 200


class EntryGuard:
    """Handles entries of the store one by one."""

    def __init__(self, clock: Clock, events: EventLog):
        self._clock = clock
        self._events = events

    def apply(
        self, obj: PlatformObject, apply: Callable[[PlatformObject], None]
    ) -> bool:
        """Apply an entry with a function; return whether that went well."""
        try:
            with self.timed("apply", obj):
                apply(obj)
        except Exception as exc:
            # A fault of this program costs the one entry.
            self._events.event(
                "entry not applied",
                kind=obj.kind.plural,
                object=obj.name,
                reason=repr(exc)[:MAX_REASON_CHARS],
            )
            return False
        return True

    @contextmanager
    def timed(self, step: str, obj: PlatformObject) -> Iterator[None]:
        """Log an entry if a step of its handling holds up the event loop for long."""
        began_s = self._clock.now()
        try:
            yield
        finally:
            self._log_if_slow(step, obj, self._clock.now() - began_s)

    def _log_if_slow(self, step: str, obj: PlatformObject, took_s: float) -> None:
        if took_s < SLOW_ENTRY_S:
            return
        self._events.event(
            "slow entry",
            kind=obj.kind.plural,
            object=obj.name,
            step=step,
            took_ms=round(took_s * 1000, 1),
        )
