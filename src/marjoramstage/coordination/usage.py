"""Collects usage into batches and holds each until it is written."""

from __future__ import annotations

from marjoramstage.protocol.messages import Request
from marjoramstage.state.usage import Usage, UsageBatch

MAX_BATCHES_PER_WRITE = 16


class UsageCollector:
    """Usage of one instance that is not yet stored on the platform.

    A batch is closed once, with a unique sequence number, and written under
    that name until the platform has stored it, so that a lost response or a
    repeated write counts nothing twice. Usage still held here when the instance
    dies is not charged.
    """

    def __init__(self, incarnation: str):
        self._incarnation = incarnation
        self._sequence = 0
        self._open: dict[str, dict[str, Usage]] = {}
        self._closed: dict[str, UsageBatch] = {}

    def record(self, request: Request, tokens: int) -> None:
        """Add a completed request."""
        by_model = self._open.setdefault(request.customer, {})
        usage = Usage(1, request.prompt_tokens, tokens)
        by_model[request.model] = by_model.get(request.model, Usage()).plus(usage)

    def close_batches(self) -> list[UsageBatch]:
        """Close the open batches; return batches that have to be written."""
        for customer, by_model in self._open.items():
            self._sequence += 1
            batch = UsageBatch(customer, self._incarnation, self._sequence, by_model)
            self._closed[batch.name] = batch
        self._open = {}
        return list(self._closed.values())[:MAX_BATCHES_PER_WRITE]

    def mark_written(self, name: str) -> None:
        """Discard a batch that is stored on the platform."""
        self._closed.pop(name, None)

    @property
    def unwritten(self) -> int:
        """Number of requests whose usage is not yet stored on the platform."""
        batches = [batch.by_model for batch in self._closed.values()]
        found = 0
        for by_model in (*batches, *self._open.values()):
            found += sum(usage.requests for usage in by_model.values())
        return found
