"""Runs the background tasks of an instance, and restarts those that fail.

A task that ended for good would leave the instance serving without what it does, for
example without ever giving orders again, while it says that it is ready.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Coroutine
from typing import Any

from marjoramstage._entry.event_log import EventLog
from marjoramstage.clock import Clock

# Pause before the first restart; it doubles with each failure up to the longest one.
RESTART_DELAY_S = 0.2
MAX_RESTART_DELAY_S = 5.0
# After a run of this length a failure counts as the first again.
STEADY_RUN_S = 30.0
# Characters of an exception that are logged.
MAX_REASON = 300
# Name under which failures of timers and of tasks that nobody awaits are counted.
CALLBACK = "callback"


class BackgroundTasks:
    """The background tasks of one instance.

    Attributes
    ----------
    on_failure : callable
        Called with the name of each task that failed. Names are constants of the
        program.
    on_fatal : callable
        Called when the process can't go on: memory ran out, and what the task
        maintains may be incomplete anywhere.
    """

    def __init__(self, clock: Clock, events: EventLog):
        self._clock = clock
        self._events = events
        self._kept: list[asyncio.Task] = []
        self._jobs: set[asyncio.Task] = set()
        self.on_failure: Callable[[str], None] = lambda name: None
        self.on_fatal: Callable[[], None] = lambda: None

    def keep(self, name: str, run: Callable[[], Coroutine[Any, Any, None]]) -> None:
        """Run a task until `stop`; start it again each time that it ends."""
        self._kept.append(asyncio.create_task(self._keep(name, run)))

    def start(
        self, name: str, run: Callable[..., Coroutine[Any, Any, None]], *args: Any
    ) -> asyncio.Task:
        """Run a job once; a failure is logged and counted."""
        task = asyncio.create_task(self._run_job(name, run, args))
        self._jobs.add(task)
        task.add_done_callback(self._jobs.discard)
        return task

    def stop(self) -> None:
        """Cancel all tasks."""
        for task in (*self._kept, *self._jobs):
            task.cancel()

    def on_loop_error(
        self, loop: asyncio.AbstractEventLoop, context: dict[str, Any]
    ) -> None:
        """Log and count what failed in a callback; a handler of the event loop."""
        exc = context.get("exception")
        message = str(context.get("message", ""))
        if exc is None:
            self._events.event("event loop warning", reason=message[:MAX_REASON])
            return
        self.note_failure(CALLBACK, exc, context=message[:MAX_REASON])

    def note_failure(self, name: str, exc: Exception | None, **fields: Any) -> None:
        """Log and count a failure; None for a task that returned."""
        reason = "it returned" if exc is None else repr(exc)[:MAX_REASON]
        self._events.event(
            "background task failed",
            task=name,
            reason=reason,
            at=_place_of(exc),
            **fields,
        )
        self.on_failure(name)
        if isinstance(exc, MemoryError):
            self.on_fatal()

    async def _keep(
        self, name: str, run: Callable[[], Coroutine[Any, Any, None]]
    ) -> None:
        delay_s = RESTART_DELAY_S
        while True:
            began_s = self._clock.now()
            failure: Exception | None = None
            try:
                await run()
            except Exception as exc:
                failure = exc
            if self._clock.now() - began_s >= STEADY_RUN_S:
                delay_s = RESTART_DELAY_S
            self.note_failure(name, failure, restart_in_s=delay_s)
            await asyncio.sleep(delay_s)
            delay_s = min(2 * delay_s, MAX_RESTART_DELAY_S)

    async def _run_job(
        self,
        name: str,
        run: Callable[..., Coroutine[Any, Any, None]],
        args: tuple[Any, ...],
    ) -> None:
        try:
            await run(*args)
        except Exception as exc:
            self.note_failure(name, exc)


def _place_of(exc: BaseException | None) -> str:
    """Return the file and line that raised an exception; empty if unknown."""
    traceback = None if exc is None else exc.__traceback__
    if traceback is None:
        return ""
    while traceback.tb_next is not None:
        traceback = traceback.tb_next
    file = traceback.tb_frame.f_code.co_filename.rpartition("/")[2]
    return f"{file}:{traceback.tb_lineno}"
