"""Lets a placer without leases act only under a lease."""

from __future__ import annotations

from marjoramstage.protocol.events import Effect, Event, LeaseHeld, LeaseLost, Machine
from marjoramstage.protocol.events import Tick as TickEvent


class LeaseGate:
    """Passes events on, but ticks only while the lease is valid."""

    def __init__(self, placer: Machine):
        self._placer = placer
        self._until_s = float("-inf")

    def handle(self, event: Event, now_s: float) -> list[Effect]:
        """Take one event in; return the placer's effects."""
        match event:
            case LeaseHeld():
                self._until_s = event.until_s
            case LeaseLost():
                self._until_s = float("-inf")
            case TickEvent() if now_s >= self._until_s:
                return []
        return self._placer.handle(event, now_s)
