"""The weight store that engines of one process load from."""

from __future__ import annotations

import asyncio


class WeightStore:
    """A rate-limited store.

    Parameters
    ----------
    loads_per_s : float
        Loads that may begin each second; 0 for no limit.
    at_once : int
        Loads that run at full speed; more of them take longer in proportion.
    """

    def __init__(self, loads_per_s: float = 0.0, at_once: int = 8):
        self._gap_s = 1 / loads_per_s if loads_per_s > 0 else 0.0
        self._at_once = at_once
        self._next_s = 0.0
        self.in_transit = 0

    async def load(self, full_speed_s: float) -> None:
        """Load something that takes ``full_speed_s`` seconds at full speed."""
        now_s = asyncio.get_running_loop().time()
        begin_s = max(now_s, self._next_s)
        self._next_s = begin_s + self._gap_s
        self.in_transit += 1
        try:
            await asyncio.sleep(begin_s - now_s)
            slowdown = max(1.0, self.in_transit / self._at_once)
            await asyncio.sleep(full_speed_s * slowdown)
        finally:
            self.in_transit -= 1
