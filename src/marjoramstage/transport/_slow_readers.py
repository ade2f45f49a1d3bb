"""Closes the connections of callers that stop reading their response."""

from __future__ import annotations

import asyncio
from collections.abc import Iterator
from contextlib import contextmanager
from dataclasses import dataclass

from marjoramstage.clock import Clock
from marjoramstage.logs import component_logger
from marjoramstage.metrics import Metrics

log = component_logger("callers")

CHECKS_PER_STALL_TIMEOUT = 4


@dataclass
class ReaderState:
    """State of a caller whose response is being written.

    Attributes
    ----------
    unsent_bytes : int
        Size of the write buffer at the last check.
    last_change_s : float
        Time at which that size was last seen to change.
    """

    request_id: str
    unsent_bytes: int
    last_change_s: float


class SlowReaderMonitor:
    """Limits how much is buffered for slow readers, and for how long.

    Parameters
    ----------
    buffer_bytes : int
        Size of the write buffer above which writing waits for the reader.
    stall_timeout_s : float
        Time without progress after which a connection is aborted, in seconds.
    """

    def __init__(
        self, buffer_bytes: int, stall_timeout_s: float, clock: Clock, metrics: Metrics
    ):
        self._buffer_bytes = buffer_bytes
        self._stall_timeout_s = stall_timeout_s
        self._clock = clock
        self._metrics = metrics
        self._readers: dict[asyncio.Transport, ReaderState] = {}

    @contextmanager
    def monitor(
        self, transport: asyncio.Transport | None, request_id: str
    ) -> Iterator[None]:
        """Monitor a connection while its response is written."""
        if transport is None:
            yield
            return
        transport.set_write_buffer_limits(high=self._buffer_bytes)
        self._readers[transport] = ReaderState(request_id, 0, self._clock.now())
        try:
            yield
        finally:
            self._readers.pop(transport, None)

    async def run(self) -> None:
        """Check all connections periodically until cancelled."""
        while True:
            await self._clock.sleep(self._stall_timeout_s / CHECKS_PER_STALL_TIMEOUT)
            self.check()

    def check(self) -> None:
        """Abort the connections that made no progress within the timeout."""
        now_s = self._clock.now()
        for transport, state in list(self._readers.items()):
            unsent_bytes = transport.get_write_buffer_size()
            if unsent_bytes == 0 or unsent_bytes != state.unsent_bytes:
                state.unsent_bytes = unsent_bytes
                state.last_change_s = now_s
                continue
            if now_s - state.last_change_s < self._stall_timeout_s:
                continue
            self._metrics.count("callers.stalled")
            extra = {"request": state.request_id, "unsent_bytes": unsent_bytes}
            log.warning("caller stopped reading; connection aborted", extra=extra)
            transport.abort()
