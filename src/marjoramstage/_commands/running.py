"""Run a part until a signal asks for its end."""

from __future__ import annotations

import asyncio
import signal
from collections.abc import Awaitable, Callable
from typing import Protocol


class Part(Protocol):
    """Something with a start and an end."""

    async def start(self) -> None:
        """Begin."""

    async def stop(self) -> None:
        """End."""


async def run_until_signal(
    part: Part, after_start: Callable[[], Awaitable[None]] | None = None
) -> None:
    """Start ``part``, wait for SIGTERM or SIGINT, then stop it.

    A second signal asks a part that has ``end_now`` to stop waiting.
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
