"""Runs a service until a signal requests its stop."""

from __future__ import annotations

import asyncio
import signal
from collections.abc import Awaitable, Callable
from typing import Protocol


class Runnable(Protocol):
    """Something that can be started and stopped."""

    async def start(self) -> None:
        """Start."""

    async def stop(self) -> None:
        """Stop and release all resources."""


async def run_until_signal(
    runnable: Runnable, after_start: Callable[[], Awaitable[None]] | None = None
) -> None:
    """Start ``runnable``, wait for SIGTERM or SIGINT, then stop it.

    A second signal calls ``end_now``, if the object has it, to stop at once.
    """
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()

    def on_signal() -> None:
        if stop.is_set() and hasattr(runnable, "end_now"):
            runnable.end_now()
        stop.set()

    for signum in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signum, on_signal)
    try:
        await runnable.start()
        if after_start is not None:
            await after_start()
        await stop.wait()
    finally:
        await runnable.stop()
