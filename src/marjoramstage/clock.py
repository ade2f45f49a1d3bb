"""Time as an argument: a running clock and a virtual one for tests."""

from __future__ import annotations

import asyncio
import time
from typing import Protocol


class Clock(Protocol):
    """Source of time for everything that is not pure."""

    def now(self) -> float:
        """Return monotonic seconds; the origin has no meaning."""

    def wall(self) -> float:
        """Return seconds since the Unix epoch, for records people read."""

    async def sleep(self, delay_s: float) -> None:
        """Wait for ``delay_s`` seconds."""


class SystemClock:
    """The clock of the machine."""

    def now(self) -> float:
        """Return monotonic seconds."""
        return time.monotonic()

    def wall(self) -> float:
        """Return seconds since the Unix epoch."""
        return time.time()

    async def sleep(self, delay_s: float) -> None:
        """Wait for ``delay_s`` seconds."""
        await asyncio.sleep(delay_s)


class VirtualClock:
    """A clock that moves only when told to.

    Parameters
    ----------
    start_s : float, default=0.0
        First reading.
    """

    def __init__(self, start_s: float = 0.0):
        self._now_s = start_s

    def now(self) -> float:
        """Return virtual seconds."""
        return self._now_s

    def wall(self) -> float:
        """Return virtual seconds; the epoch is the start."""
        return self._now_s

    async def sleep(self, delay_s: float) -> None:
        """Move the clock by ``delay_s`` and give way once."""
        self.advance(delay_s)
        await asyncio.sleep(0)

    def advance(self, delay_s: float) -> None:
        """Move the clock forward by ``delay_s`` seconds."""
        if delay_s < 0:
            raise ValueError("a clock does not go back")
        self._now_s += delay_s
