"""Lease check for placers that know nothing of leases themselves."""

from __future__ import annotations

from marjoramstage.protocol.events import (
    Effect,
    Event,
    LeaseHeld,
    LeaseLost,
    StateMachine,
)
from marjoramstage.protocol.events import Tick as TickEvent


class LeaseGate:
    """Passes all events on to a placer, but ticks only under a valid lease.

    The placers that it wraps plan on ticks, so only the lease holder plans.
    """

    def __init__(self, placer: StateMachine):
        self._placer = placer
        self._until_s = float("-inf")

    def handle(self, event: Event, now_s: float) -> list[Effect]:
        """Handle one event; return the effects of the placer."""
        match event:
            case LeaseHeld():
                self._until_s = event.until_s
            case LeaseLost():
                self._until_s = float("-inf")
            case TickEvent() if now_s >= self._until_s:
                return []
        return self._placer.handle(event, now_s)
