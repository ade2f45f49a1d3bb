"""Event queue and task that drive one state machine."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from marjoramstage.clock import Clock
from marjoramstage.logs import component_logger
from marjoramstage.protocol.events import Effect, Event, StateMachine

log = component_logger("mailbox")


class Mailbox:
    """Event queue and task of one state machine.

    Parameters
    ----------
    perform : callable
        Performs one effect; must not block.
    """

    def __init__(
        self, machine: StateMachine, perform: Callable[[Effect], None], clock: Clock
    ):
        self._machine = machine
        self._perform = perform
        self._clock = clock
        self._events: asyncio.Queue[Event] = asyncio.Queue()

    def post(self, event: Event) -> None:
        """Queue an event for the machine."""
        self._events.put_nowait(event)

    async def run(self) -> None:
        """Handle events until cancelled; an exception does not end the task."""
        while True:
            event = await self._events.get()
            try:
                effects = self._machine.handle(event, self._clock.now())
                for effect in effects:
                    self._perform(effect)
            except Exception:
                log.exception(
                    "event handler failed", extra={"event": type(event).__name__}
                )
