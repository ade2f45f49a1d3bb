"""Runs a service until a signal requests its stop."""

from __future__ import annotations

import asyncio
import signal
from collections.abc import Awaitable, Callable
from typing import Protocol


class Part(Protocol):
    """Something that can be started and stopped."""

    async def start(self) -> None:
        """Start."""

    async def stop(self) -> None:
        """Stop and release all resources."""


async def run_until_signal(
    part: Part, after_start: Callable[[], Awaitable[None]] | None = None
) -> None:
    """Start ``part``, wait for SIGTERM or SIGINT, then stop it.

    A second signal calls ``end_now``, if the object has it, to stop at once.
    """
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()

    def signalled() -> None:
        if stop.is_set() and hasattr(part, "end_now"):
            part.end_now()
        stop.set()

    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, signalled)
    try:
        await part.start()
        if after_start is not None:
            await after_start()
        await stop.wait()
    finally:
        await part.stop()
