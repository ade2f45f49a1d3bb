"""Counters of the requests offered to one instance, for its load messages."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable, Mapping

from marjoramstage.coordination.queues import SubQueue
from marjoramstage.protocol.messages import Item, ItemDemand, Request


class OfferedDemand:
    """Monotonic request and token counters by item, with the queue lengths.

    A service is counted as an item with an empty version.
    """

    def __init__(self):
        self._requests: Counter[Item] = Counter()
        self._tokens: Counter[Item] = Counter()
        self._last: dict[Item, ItemDemand] = {}

    def record(self, request: Request, items: tuple[Item, ...]) -> None:
        """Count a new request; retries are not counted."""
        tokens = request.prompt_tokens + request.output_tokens
        for item in items or (service_item(request.model),):
            self._requests[item] += 1
            self._tokens[item] += tokens

    def snapshot(
        self, subqueues: Iterable[SubQueue], running: Mapping[Item, int]
    ) -> tuple[ItemDemand, ...]:
        """Return the demand for every item requested since the start.

        Parameters
        ----------
        subqueues : Iterable of SubQueue
            Queued requests.
        running : Mapping
            Attempts in flight by item.
        """
        waiting: Counter[Item] = Counter()
        live: Counter[Item] = Counter()
        for subqueue in subqueues:
            for item in subqueue.items or (service_item(subqueue.name),):
                waiting[item] += subqueue.count
                live[item] += subqueue.live
        for item, count in self._requests.items():
            counts = (
                count,
                self._tokens[item],
                waiting[item],
                live[item],
                running.get(item, 0),
            )
            previous = self._last.get(item)
            if previous is None or counts != previous.counts:
                self._last[item] = ItemDemand(item, *counts)
        return tuple(self._last.values())


def service_item(name: str) -> Item:
    """Return the item under which a service is counted."""
    return Item(name, "")
