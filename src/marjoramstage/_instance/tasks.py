"""Background tasks that end with their owner."""

from __future__ import annotations

import asyncio
from collections.abc import Coroutine

from marjoramstage.logs import part_logger

log = part_logger("tasks")


class TaskGroup:
    """Tasks that are cancelled together; a failed one is logged."""

    def __init__(self):
        self._tasks: set[asyncio.Task] = set()

    def spawn(self, coro: Coroutine) -> asyncio.Task:
        """Start a task."""
        task = asyncio.create_task(coro)
        self._tasks.add(task)
        task.add_done_callback(self._done)
        return task

    async def stop(self) -> None:
        """Cancel every task and wait for its end."""
        tasks = list(self._tasks)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    def _done(self, task: asyncio.Task) -> None:
        self._tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            log.error("task failed", exc_info=task.exception())
