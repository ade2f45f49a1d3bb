"""Admission code of the first version, kept unchanged as a baseline."""

from __future__ import annotations

from collections import deque

from marjoramstage.bench.policies._first_routing import (
    TargetTable,
    candidates,
    least_loaded,
    needed_items,
    served_as,
)
from marjoramstage.protocol.events import (
    AttemptEnded,
    Dispatch,
    Effect,
    Event,
    InventoryAccepted,
    Refuse,
    RequestCancelled,
    RequestSubmitted,
    RetryRequested,
    TargetGone,
    TargetLeaving,
    TargetListed,
    TargetReported,
    Tick,
)
from marjoramstage.protocol.messages import Request
from marjoramstage.state.inventory import Inventory

RETRY_AFTER_S = 1.0


class FirstScheduler:
    """Admission and routing of one instance.

    Parameters
    ----------
    queue_requests : int
        Maximum number of queued requests of one model or service.
    """

    def __init__(self, queue_requests: int):
        self._queue_requests = queue_requests
        self._inventory = Inventory()
        self._table = TargetTable()
        self._queues: dict[str, deque[tuple[Request, tuple[str, ...]]]] = {}

    @property
    def table(self) -> TargetTable:
        """Targets that this instance knows, with their latest reports."""
        return self._table

    def queue_lengths(self) -> dict[str, int]:
        """Return the number of queued requests by model or service."""
        return {name: len(queue) for name, queue in self._queues.items() if queue}

    def handle(self, event: Event, now_s: float) -> list[Effect]:
        """Handle one event; return dispatches and refusals."""
        match event:
            case RequestSubmitted(request):
                return self._submit(request, (), now_s)
            case RetryRequested(request, failed):
                return self._submit(request, failed, now_s)
            case RequestCancelled(request_id):
                self._forget(request_id)
                return []
            case AttemptEnded(end):
                view = self._table.views.get(end.target)
                if view is not None:
                    view.in_flight -= 1
            case InventoryAccepted(_, inventory):
                self._inventory = inventory
            case TargetListed(target):
                self._table.listed(target)
            case TargetGone(name):
                self._table.gone(name)
            case TargetLeaving(name):
                self._table.leaving(name)
            case TargetReported(report):
                self._table.reported(report)
            case Tick():
                pass
            case _:
                return []
        return self._drain_queues(now_s)

    def _submit(
        self, request: Request, failed: tuple[str, ...], now_s: float
    ) -> list[Effect]:
        effect = self._dispatch(request, failed)
        if effect is not None:
            return [effect]
        queue = self._queues.setdefault(request.model, deque())
        if len(queue) >= self._queue_requests:
            return [_refusal(request, 429, "queue-full", "The queue is full.")]
        queue.append((request, failed))
        return []

    def _dispatch(self, request: Request, failed: tuple[str, ...]) -> Dispatch | None:
        items = needed_items(request, self._inventory)
        view = least_loaded(candidates(self._table, request, items, failed))
        if view is None:
            return None
        view.in_flight += 1
        name, address = view.target.name, view.target.address
        return Dispatch(request, name, address, served_as(request, items))

    def _drain_queues(self, now_s: float) -> list[Effect]:
        effects: list[Effect] = []
        for queue in self._queues.values():
            for _ in range(len(queue)):
                request, failed = queue.popleft()
                if request.deadline_s <= now_s:
                    text = "The deadline passed in the queue."
                    effects.append(_refusal(request, 503, "deadline", text))
                    continue
                effect = self._dispatch(request, failed)
                if effect is None:
                    queue.append((request, failed))
                    continue
                effects.append(effect)
        return effects

    def _forget(self, request_id: str) -> None:
        for queue in self._queues.values():
            for entry in queue:
                if entry[0].id == request_id:
                    queue.remove(entry)
                    return


def _refusal(request: Request, status: int, code: str, message: str) -> Refuse:
    return Refuse(request, status, code, message, RETRY_AFTER_S)
