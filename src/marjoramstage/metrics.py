"""Counters, gauges and timings, sent to a statsd server over UDP."""

from __future__ import annotations

from collections import Counter
from typing import Protocol

PREFIX = "marjoramstage"


class Metrics(Protocol):
    """Interface through which the components of an instance report metrics."""

    def count(self, name: str, value: int = 1) -> None:
        """Add ``value`` to the counter ``name``."""

    def gauge(self, name: str, value: float) -> None:
        """Set the gauge ``name``."""

    def timing(self, name: str, value_ms: float) -> None:
        """Record a duration in milliseconds."""


class LocalMetrics:
    """Metrics kept in memory, for the state dump."""

    def __init__(self):
        self.counters: Counter[str] = Counter()
        self.gauges: dict[str, float] = {}

    def count(self, name: str, value: int = 1) -> None:
        """Add ``value`` to the counter ``name``."""
        self.counters[name] += value

    def gauge(self, name: str, value: float) -> None:
        """Set the gauge ``name``."""
        self.gauges[name] = value

    def timing(self, name: str, value_ms: float) -> None:
        """Do nothing: durations are aggregated by a statsd server only."""


class StatsdMetrics(LocalMetrics):
    """Metrics kept in memory and sent to a statsd server.

    Parameters
    ----------
    host, port : str, int
        Address of the server; while it is down, metrics are lost and nothing
        else is affected.
    """

    def __init__(self, host: str, port: int):
        import statsd

        super().__init__()
        self._client = statsd.StatsClient(host, port, PREFIX, ipv6=":" in host)
        self._client._sock.setblocking(False)

    def count(self, name: str, value: int = 1) -> None:
        """Add ``value`` to the counter ``name``."""
        super().count(name, value)
        self._client.incr(name, value)

    def gauge(self, name: str, value: float) -> None:
        """Set the gauge ``name``."""
        super().gauge(name, value)
        self._client.gauge(name, value)

    def timing(self, name: str, value_ms: float) -> None:
        """Record a duration in milliseconds."""
        self._client.timing(name, value_ms)
