"""Writes usage records to the platform, batched by customer."""

from __future__ import annotations

import functools
from dataclasses import asdict
from typing import Any

from result import Err, Ok

from marjoramstage.clock import Clock
from marjoramstage.coordination.usage import UsageCollector
from marjoramstage.logs import component_logger
from marjoramstage.protocol.messages import Request
from marjoramstage.protocol.objects import (
    OWN_GROUP,
    USAGE,
    Platform,
    PlatformFault,
    PlatformObject,
)
from marjoramstage.state.usage import (
    Usage,
    UsageBatch,
    batch_from_data,
    batch_to_data,
    totals,
)

log = component_logger("usage")

WRITE_EVERY_S = 10.0
LABEL_CUSTOMER = f"{OWN_GROUP}/customer"


class UsageWriter:
    """Collects usage and periodically writes it to the platform."""

    def __init__(self, collector: UsageCollector, platform: Platform, clock: Clock):
        self.collector = collector
        self._platform = platform
        self._clock = clock

    def record(self, request: Request, tokens: int) -> None:
        """Record a request that ran to completion."""
        self.collector.record(request, tokens)

    async def run(self) -> None:
        """Write batches until cancelled."""
        while True:
            await self._clock.sleep(WRITE_EVERY_S)
            await self.write()

    async def write(self) -> None:
        """Write all pending batches; those that fail are retried on the next call."""
        for batch in self.collector.close_batches():
            if await self._write(batch):
                self.collector.mark_written(batch.name)

    async def totals(self, customer: str) -> dict[str, Any] | None:
        """Return a customer's usage on the platform; None if it cannot be read."""
        listed = await self._platform.list(USAGE, {LABEL_CUSTOMER: customer})
        if isinstance(listed, Err):
            return None
        batches = [batch_from_data(obj.spec) for obj in listed.ok_value.objects]
        by_model = totals(batches, customer)
        whole = functools.reduce(Usage.plus, by_model.values(), Usage())
        models = {name: asdict(usage) for name, usage in sorted(by_model.items())}
        return {"customer": customer, "total": asdict(whole), "by_model": models}

    async def _write(self, batch: UsageBatch) -> bool:
        """Create the object of a batch; if it exists, an earlier write succeeded."""
        labels = {LABEL_CUSTOMER: batch.customer}
        obj = PlatformObject(USAGE, batch.name, batch_to_data(batch), labels=labels)
        result = await self._platform.create(obj)
        if isinstance(result, Ok):
            return True
        if result.err_value.fault is PlatformFault.EXISTS:
            return True
        extra = {"batch": batch.name, "fault": result.err_value.fault.value}
        log.warning("could not write usage batch", extra=extra)
        return False
