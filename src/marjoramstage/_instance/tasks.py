"""Background tasks that are cancelled with their owner."""

from __future__ import annotations

import asyncio
from collections.abc import Coroutine

from marjoramstage.logs import component_logger

log = component_logger("tasks")


class TaskGroup:
    """Background tasks that are cancelled together; failures are logged."""

    def __init__(self):
        self._tasks: set[asyncio.Task] = set()

    def spawn(self, coro: Coroutine) -> asyncio.Task:
        """Start a task."""
        task = asyncio.create_task(coro)
        self._tasks.add(task)
        task.add_done_callback(self._on_done)
        return task

    async def stop(self) -> None:
        """Cancel all tasks and wait for them to finish."""
        tasks = list(self._tasks)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    def _on_done(self, task: asyncio.Task) -> None:
        self._tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            log.error("background task failed", exc_info=task.exception())
