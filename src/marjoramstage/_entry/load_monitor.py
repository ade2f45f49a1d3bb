"""Measures how late the event loop runs and what is sent to other instances."""

from __future__ import annotations

import asyncio
from collections import Counter
from collections.abc import Mapping

from marjoramstage._entry.event_log import EventLog
from marjoramstage._entry.prometheus_metrics import PrometheusMetrics
from marjoramstage.clock import Clock

INTERVAL_S = 0.1
SUMMARY_INTERVAL_S = 5.0


class LoadMonitor:
    """Logs a summary of an instance's own load every few seconds.

    Parameters
    ----------
    peer_counters : Mapping
        Messages and bytes sent to other instances so far, by name of the counter.
    """

    def __init__(
        self,
        clock: Clock,
        events: EventLog,
        metrics: PrometheusMetrics,
        peer_counters: Mapping[str, int],
    ):
        self._clock = clock
        self._events = events
        self._metrics = metrics
        self._peer_counters = peer_counters
        self._logged_counters: Counter[str] = Counter()

    async def run(self) -> None:
        """Measure until cancelled."""
        max_delay_s = 0.0
        next_summary_s = self._clock.now() + SUMMARY_INTERVAL_S
        while True:
            due_s = self._clock.now() + INTERVAL_S
            await asyncio.sleep(INTERVAL_S)
            now_s = self._clock.now()
            delay_s = max(0.0, now_s - due_s)
            self._metrics.loop_delay_seconds.observe(delay_s)
            max_delay_s = max(max_delay_s, delay_s)
            if now_s < next_summary_s:
                continue
            next_summary_s = now_s + SUMMARY_INTERVAL_S
            self._log(max_delay_s)
            max_delay_s = 0.0

    def _log(self, max_delay_s: float) -> None:
        counters = Counter(self._peer_counters)
        added = counters - self._logged_counters
        self._logged_counters = counters
        self._events.summary(
            "instance load", max_delay_ms=round(max_delay_s * 1000, 1), **added
        )
