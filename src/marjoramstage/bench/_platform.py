"""A simulated platform API with conditional writes and injected faults."""

from __future__ import annotations

import enum
from collections.abc import Callable
from dataclasses import replace
from typing import Any

from marjoramstage.bench._loop import EventLoop

CALL_S = 0.004
SLOW_CALL_S = 2.0
FAILURE_S = 0.5
LOST_ANSWER_S = 2.0


class CallEnd(enum.Enum):
    """Result of a call to the platform, as its caller sees it."""

    OK = "ok"
    CONFLICT = "conflict"
    UNAVAILABLE = "unavailable"


Reachable = Callable[[], bool]
Done = Callable[[CallEnd, Any], None]


class FakePlatform:
    """Stores immutable objects, each with a ``version``.

    Calls return at once; ``done`` is called with the result later. A call fails
    as unavailable if ``reachable()`` is false when the platform handles it.

    Attributes
    ----------
    down, slow : bool
        Whether calls fail, or take `SLOW_CALL_S`.
    answers_to_lose : int
        Number of coming writes that take effect but report a failure, as when the
        response is lost.
    """

    def __init__(self, loop: EventLoop):
        self.down = False
        self.slow = False
        self.answers_to_lose = 0
        self.writes = 0
        self.reads = 0
        self._loop = loop
        self._objects: dict[tuple[str, str], Any] = {}
        self._version = 0

    def read(self, kind: str, name: str, reachable: Reachable, done: Done) -> None:
        """Read an object; the result is None if it was never written."""
        self._loop.after(self._call_s, self._read, (kind, name), reachable, done)

    def write(
        self, kind: str, name: str, obj: Any, reachable: Reachable, done: Done
    ) -> None:
        """Write an object if its version is that of the stored one."""
        self._loop.after(self._call_s, self._write, (kind, name), obj, reachable, done)

    @property
    def _call_s(self) -> float:
        return SLOW_CALL_S if self.slow else CALL_S

    def _read(self, key: tuple[str, str], reachable: Reachable, done: Done) -> None:
        if self.down or not reachable():
            self._loop.after(FAILURE_S, done, CallEnd.UNAVAILABLE, None)
            return
        self.reads += 1
        done(CallEnd.OK, self._objects.get(key))

    def _write(
        self, key: tuple[str, str], obj: Any, reachable: Reachable, done: Done
    ) -> None:
        if self.down or not reachable():
            self._loop.after(FAILURE_S, done, CallEnd.UNAVAILABLE, None)
            return
        self.writes += 1
        stored = self._objects.get(key)
        if obj.version != (stored.version if stored else ""):
            done(CallEnd.CONFLICT, None)
            return
        self._version += 1
        written = replace(obj, version=str(self._version))
        self._objects[key] = written
        if self.answers_to_lose > 0:
            self.answers_to_lose -= 1
            self._loop.after(LOST_ANSWER_S, done, CallEnd.UNAVAILABLE, None)
            return
        done(CallEnd.OK, written)
