"""Ends holdings when the byte budget is used up, and reports on it."""

from __future__ import annotations

import asyncio

from marjoramstage._entry.client_holdings import ClientHoldings
from marjoramstage._entry.event_log import EventLog
from marjoramstage._entry.prometheus_metrics import PrometheusMetrics
from marjoramstage.clock import Clock
from marjoramstage.transport.byte_budget import HoldingKind
from marjoramstage.transport.request_body import NO_MEMORY

INTERVAL_S = 0.25
# Pressure has ended when nobody has waited for bytes for this time.
CALM_S = 2.0


class ResourceMonitor:
    """Runs the decisions of the byte budget a few times per second."""

    def __init__(
        self,
        holdings: ClientHoldings,
        clock: Clock,
        events: EventLog,
        metrics: PrometheusMetrics,
    ):
        self._budget = holdings.budget
        self._answers = holdings.answers
        self._connections = holdings.connections
        self._clock = clock
        self._events = events
        self._metrics = metrics
        self._pressure_s: float | None = None
        self._began_s = 0.0
        self._closed = 0
        self._stalled = 0
        self._refused = 0

    async def run(self) -> None:
        """Check until cancelled."""
        while True:
            await asyncio.sleep(INTERVAL_S)
            self.check()

    def check(self) -> None:
        """End what has to end; log when pressure begins or ends."""
        self._answers.update()
        now_s = self._clock.now()
        evictions = self._budget.evictions(now_s)
        for eviction in evictions:
            holding = eviction.holding
            self._metrics.evictions.labels(
                holding.kind.value, eviction.cause.value
            ).inc()
            self._events.sampled(
                "holding ended",
                kind=holding.kind.value,
                cause=eviction.cause.value,
                bytes=holding.bytes,
                wanted_bytes=holding.wanted_bytes,
                idle_s=round(now_s - holding.progress_s, 2),
            )
            holding.evict(eviction.cause)
        self._record_refused()
        self._record_closed()
        self._log_pressure(now_s, bool(evictions) or self._budget.is_short)

    def update_gauges(self) -> None:
        """Set the gauges of what is held."""
        for kind in HoldingKind:
            held_bytes = self._budget.bytes_by_kind[kind]
            self._metrics.held_bytes.labels(kind.value).set(held_bytes)
        self._metrics.budget_bytes.set(self._budget.limit_bytes)
        self._metrics.budget_waiting.set(self._budget.waiting)
        self._metrics.caller_connections.set(self._connections.accepted)

    def _record_refused(self) -> None:
        refused = self._budget.refused_unread - self._refused
        self._refused += refused
        self._metrics.resource_refusals.labels(NO_MEMORY).inc(refused)

    def _record_closed(self) -> None:
        closed = self._connections.closed - self._closed
        stalled = self._connections.stalled - self._stalled
        if not closed and not stalled:
            return
        self._closed += closed
        self._stalled += stalled
        self._metrics.connections_closed.inc(closed + stalled)
        self._events.event(
            "connections gave way",
            closed=closed,
            stalled=stalled,
            accepted=self._connections.accepted,
            outgoing=self._connections.outgoing,
            most=self._connections.max_connections,
        )

    def _log_pressure(self, now_s: float, short: bool) -> None:
        if short:
            if self._pressure_s is None:
                self._began_s = now_s
                self._log("byte budget used up")
            self._pressure_s = now_s
            return
        if self._pressure_s is None or now_s - self._pressure_s < CALM_S:
            return
        self._pressure_s = None
        self._log("byte budget has room", lasted_s=round(now_s - self._began_s, 1))

    def _log(self, name: str, **fields: float) -> None:
        budget = self._budget
        held = {
            f"{kind.value}_bytes": budget.bytes_by_kind[kind] for kind in HoldingKind
        }
        self._events.summary(
            name,
            limit_bytes=budget.limit_bytes,
            waiting=budget.waiting,
            **held,
            **fields,
        )
