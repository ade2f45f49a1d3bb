"""Runs coroutines on a virtual clock: timers fire at once, in their order."""

import asyncio


class VirtualTimeLoop(asyncio.SelectorEventLoop):
    """Event loop whose clock jumps to the next timer instead of waiting."""

    def __init__(self):
        super().__init__()
        self._now_s = 0.0

    def time(self):
        return self._now_s

    def _run_once(self):
        if not self._ready and self._scheduled:
            self._now_s = max(self._now_s, self._scheduled[0]._when)
        super()._run_once()


def run_virtual(coro):
    """Run a coroutine to its end on a virtual clock; return its result."""
    loop = VirtualTimeLoop()
    try:
        return loop.run_until_complete(coro)
    finally:
        loop.close()
