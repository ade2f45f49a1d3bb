"""A fake object API: ledgers with conditional updates, and its faults."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import replace

from marjoramstage.bench._loop import EventLoop
from marjoramstage.protocol.events import Event, LedgerRead, LedgerWriteFailed
from marjoramstage.state.ledger import Ledger

CALL_S = 0.004
SLOW_CALL_S = 2.0
FAILURE_S = 0.5
LOST_ANSWER_S = 2.0


class FakePlatform:
    """Keeps ledgers; every answer comes later, as an event.

    Attributes
    ----------
    down, slow : bool
        Whether calls fail, or take `SLOW_CALL_S`.
    answers_to_lose : int
        Writes that take effect but whose answer is lost.
    """

    def __init__(self, loop: EventLoop):
        self.down = False
        self.slow = False
        self.answers_to_lose = 0
        self.writes = 0
        self.reads = 0
        self._loop = loop
        self._ledgers: dict[str, Ledger] = {}
        self._version = 0

    @property
    def call_s(self) -> float:
        """Time of a call now, in seconds."""
        return SLOW_CALL_S if self.slow else CALL_S

    def read(
        self, target: str, reachable: Callable[[], bool], post: Callable[[Event], None]
    ) -> None:
        """Read a ledger; an empty one stands for none."""
        self._loop.after(self.call_s, self._read, target, reachable, post)

    def write(
        self,
        ledger: Ledger,
        reachable: Callable[[], bool],
        post: Callable[[Event], None],
    ) -> None:
        """Write a ledger if its version is still the stored one."""
        self._loop.after(self.call_s, self._write, ledger, reachable, post)

    def _read(self, target, reachable, post) -> None:
        if self.down or not reachable():
            self._loop.after(FAILURE_S, post, LedgerWriteFailed(target))
            return
        self.reads += 1
        post(LedgerRead(self._ledgers.get(target, Ledger(target, "", 0))))

    def _write(self, ledger, reachable, post) -> None:
        failed = LedgerWriteFailed(ledger.target)
        if self.down or not reachable():
            self._loop.after(FAILURE_S, post, failed)
            return
        self.writes += 1
        stored = self._ledgers.get(ledger.target)
        if ledger.version != (stored.version if stored else ""):
            post(failed)
            return
        self._version += 1
        written = replace(ledger, version=str(self._version))
        self._ledgers[ledger.target] = written
        if self.answers_to_lose > 0:
            self.answers_to_lose -= 1
            self._loop.after(LOST_ANSWER_S, post, failed)
            return
        post(LedgerRead(written))
