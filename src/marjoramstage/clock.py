"""The system clock, and a virtual clock for tests."""

from __future__ import annotations

import asyncio
import time
from typing import Protocol


def seconds_since_boot() -> float:
    """Return the seconds since the machine booted, suspended time included."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


class Clock(Protocol):
    """Source of time for code that is not given the time as an argument."""

    def now(self) -> float:
        """Return monotonic seconds since an arbitrary origin."""

    def wall_time(self) -> float:
        """Return seconds since the Unix epoch, for records that people read."""

    async def sleep(self, delay_s: float) -> None:
        """Wait for ``delay_s`` seconds."""


class SystemClock:
    """The clock of the operating system."""

    def now(self) -> float:
        """Return monotonic seconds."""
        return time.monotonic()

    def wall_time(self) -> float:
        """Return seconds since the Unix epoch."""
        return time.time()

    async def sleep(self, delay_s: float) -> None:
        """Wait for ``delay_s`` seconds."""
        await asyncio.sleep(delay_s)


class VirtualClock:
    """A clock that advances only when told to.

    Parameters
    ----------
    start_s : float, default=0.0
        Initial reading, in seconds.
    """

    def __init__(self, start_s: float = 0.0):
        self._now_s = start_s

    def now(self) -> float:
        """Return virtual seconds."""
        return self._now_s

    def wall_time(self) -> float:
        """Return virtual seconds, as `now` does."""
        return self._now_s

    async def sleep(self, delay_s: float) -> None:
        """Advance the clock by ``delay_s`` and yield to the event loop once."""
        self.advance(delay_s)
        await asyncio.sleep(0)

    def advance(self, delay_s: float) -> None:
        """Advance the clock by ``delay_s`` seconds."""
        if delay_s < 0:
            raise ValueError("cannot move the clock backwards")
        self._now_s += delay_s
