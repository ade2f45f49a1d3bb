"""Request queues, ordered by class, customer and deadline."""

from __future__ import annotations

import heapq
import itertools
import math
from collections import Counter
from collections.abc import Iterator
from dataclasses import dataclass, field

from marjoramstage.coordination.fairness import FairShareCounters
from marjoramstage.protocol.messages import Item, Request, RequestClass

LEVELS_BY_URGENCY = tuple(RequestClass)


@dataclass
class QueuedRequest:
    """A request in the queue.

    Attributes
    ----------
    items : tuple of Item
        Items a target must hold to serve it: the model, then the adapter if
        any; empty for a service.
    failed : tuple of str
        Targets to avoid because an earlier attempt failed there.
    work_s : float
        Predicted service time in a slot, in seconds.
    latest_start_s : float
        Latest dispatch time that still meets the deadline.
    sort_s : float
        Sort key among the customer's own requests; the lowest goes first.
    level : RequestClass
        Effective class; overnight work is promoted as its deadline approaches.
    promote_at_s : float
        When overnight work is promoted; from then on it is not preempted.
    removed : bool
        Whether it has left the queue; heap entries are deleted lazily.
    """

    request: Request
    items: tuple[Item, ...]
    failed: tuple[str, ...]
    work_s: float
    latest_start_s: float
    sort_s: float
    level: RequestClass
    promote_at_s: float = math.inf
    removed: bool = False


SortKey = tuple[int, float, float]


@dataclass
class SubQueue:
    """Queued requests that need the same items.

    Attributes
    ----------
    name : str
        Name of the model or service.
    items : tuple of Item
        Items a target must hold to serve these requests.
    work_s : Counter
        Predicted service time of the queued requests, by level and customer.
    count, live : int
        Number of queued requests, and of those that are not overnight work.
    heaps : dict
        Queued requests by level and customer, as heaps in sort order.
    """

    name: str
    items: tuple[Item, ...]
    work_s: Counter = field(default_factory=Counter)
    count: int = 0
    live: int = 0
    heaps: dict[RequestClass, dict[str, list]] = field(default_factory=dict)

    def push(self, queued: QueuedRequest, tie_breaker: int) -> None:
        """Add a request; ``tie_breaker`` orders requests of equal sort key."""
        by_customer = self.heaps.setdefault(queued.level, {})
        heap = by_customer.setdefault(queued.request.customer, [])
        heapq.heappush(heap, (queued.sort_s, tie_breaker, queued))
        self.work_s[queued.level, queued.request.customer] += queued.work_s
        self.count += 1
        self.live += queued.level < RequestClass.OVERNIGHT

    def subtract(self, queued: QueuedRequest) -> None:
        """Subtract a request from the counts of its level."""
        self.work_s[queued.level, queued.request.customer] -= queued.work_s
        self.count -= 1
        self.live -= queued.level < RequestClass.OVERNIGHT

    def work_ahead_s(self, queued: QueuedRequest) -> float:
        """Return the predicted service time queued ahead of ``queued``.

        Counts the requests of its own customer at its level; at the urgent
        level, which is ordered by deadline, the requests of every customer.
        """
        by_customer = self.heaps.get(queued.level, {})
        names = [queued.request.customer]
        if queued.level is RequestClass.URGENT:
            names = list(by_customer)
        total_s = 0.0
        for name in names:
            for sort_s, _, other in by_customer.get(name, ()):
                if other.removed or other is queued:
                    continue
                if sort_s <= queued.sort_s:
                    total_s += other.work_s
        return total_s

    def head(
        self,
        counters: FairShareCounters,
        max_level: RequestClass = RequestClass.OVERNIGHT,
    ) -> tuple[SortKey, QueuedRequest] | None:
        """Return the next request to serve and its sort key."""
        for level in LEVELS_BY_URGENCY:
            if level > max_level:
                return None
            best = self._head_of_level(level, counters)
            if best is not None:
                return best
        return None

    def _head_of_level(
        self, level: RequestClass, counters: FairShareCounters
    ) -> tuple[SortKey, QueuedRequest] | None:
        by_customer = self.heaps.get(level)
        if not by_customer:
            return None
        best = None
        for customer, heap in list(by_customer.items()):
            while heap and heap[0][2].removed:
                heapq.heappop(heap)
            if not heap:
                del by_customer[customer]
                continue
            queued = heap[0][2]
            sort_key = _sort_key(level, queued, counters)
            if best is None or sort_key < best[0]:
                best = (sort_key, queued)
        return best


def _sort_key(
    level: RequestClass, queued: QueuedRequest, counters: FairShareCounters
) -> SortKey:
    if level is RequestClass.URGENT:
        return (level, queued.request.deadline_s, 0.0)
    return (level, counters.served(queued.request.customer), queued.sort_s)


class RequestQueues:
    """All queued requests of an instance, with a maximum length per model."""

    def __init__(self, max_length: int, counters: FairShareCounters):
        self.subqueues: dict[tuple, SubQueue] = {}
        self.lengths: Counter[str] = Counter()
        self._max_length = max_length
        self._counters = counters
        self._by_id: dict[str, QueuedRequest] = {}
        self._by_base_model: dict[Item | None, dict[tuple, SubQueue]] = {}
        self._tie_breakers = itertools.count()
        self._by_latest_start: list[tuple[float, int, QueuedRequest]] = []
        self._promotions: list[tuple[float, int, QueuedRequest]] = []

    def full(self, name: str) -> bool:
        """Return whether the queue of a model or service is at its maximum."""
        return self.lengths[name] >= self._max_length

    def subqueues_for(self, base: Item | None) -> list[SubQueue]:
        """Return the subqueues of base model ``base``; of services if None."""
        return list(self._by_base_model.get(base, {}).values())

    def subqueue_of(self, queued: QueuedRequest) -> SubQueue:
        """Return the subqueue of a queued request."""
        return self.subqueues[_key(queued)]

    def push(self, queued: QueuedRequest) -> SubQueue:
        """Add a request; return the subqueue it was added to."""
        key = _key(queued)
        subqueue = self.subqueues.get(key)
        if subqueue is None:
            subqueue = SubQueue(queued.request.model, queued.items)
            self.subqueues[key] = subqueue
            self._by_base_model.setdefault(_base_model(queued), {})[key] = subqueue
        tie_breaker = next(self._tie_breakers)
        subqueue.push(queued, tie_breaker)
        self._by_id[queued.request.id] = queued
        self.lengths[queued.request.model] += 1
        self._counters.enqueued(queued.request.customer)
        heapq.heappush(
            self._by_latest_start, (queued.latest_start_s, tie_breaker, queued)
        )
        if queued.level is RequestClass.OVERNIGHT:
            heapq.heappush(self._promotions, (queued.promote_at_s, tie_breaker, queued))
        return subqueue

    def remove(self, queued: QueuedRequest) -> None:
        """Remove a request from the queue."""
        queued.removed = True
        self._by_id.pop(queued.request.id, None)
        self.lengths[queued.request.model] -= 1
        self._counters.dequeued(queued.request.customer)
        key = _key(queued)
        subqueue = self.subqueues[key]
        subqueue.subtract(queued)
        if subqueue.count == 0:
            del self.subqueues[key]
            del self._by_base_model[_base_model(queued)][key]

    def find(self, request_id: str) -> QueuedRequest | None:
        """Return the queued request with this id, or None."""
        return self._by_id.get(request_id)

    def next_to_recheck(self, count: int) -> list[QueuedRequest]:
        """Return the next requests to recheck, in round-robin order."""
        found = []
        for _ in range(min(count, len(self._by_id))):
            request_id = next(iter(self._by_id))
            queued = self._by_id.pop(request_id)
            self._by_id[request_id] = queued
            found.append(queued)
        return found

    def pop_expired(self, now_s: float) -> Iterator[QueuedRequest]:
        """Remove and yield every request whose latest start has passed."""
        while self._by_latest_start and self._by_latest_start[0][0] < now_s:
            _, _, queued = heapq.heappop(self._by_latest_start)
            if queued.removed:
                continue
            self.remove(queued)
            yield queued

    def promote_due(self, now_s: float) -> list[QueuedRequest]:
        """Promote overnight requests that are due; return those promoted."""
        promoted = []
        while self._promotions and self._promotions[0][0] <= now_s:
            _, tie_breaker, queued = heapq.heappop(self._promotions)
            if queued.removed:
                continue
            subqueue = self.subqueue_of(queued)
            subqueue.subtract(queued)
            _remove_from_heap(subqueue, queued)
            queued.level = RequestClass.INTERACTIVE
            subqueue.push(queued, tie_breaker)
            promoted.append(queued)
        return promoted

    def find_displaceable(self, request: Request) -> QueuedRequest | None:
        """Return the request to displace from a full queue, or None.

        Less urgent requests are displaced first; at the same level, those of
        the customer with the most queued requests relative to its weight.
        """
        counts: Counter[tuple[RequestClass, str]] = Counter()
        for queued in self._queued_for(request.model):
            counts[queued.level, queued.request.customer] += 1
        level = max(level for level, _ in counts)
        if request.request_class > level:
            return None
        shares = {
            customer: count / self._counters.weight(customer)
            for (at, customer), count in counts.items()
            if at is level
        }
        largest = max(sorted(shares), key=shares.__getitem__)
        if request.request_class is level:
            own = counts[level, request.customer] + 1
            if own / self._counters.weight(request.customer) >= shares[largest]:
                return None
        return self._last_queued(request.model, level, largest)

    def _last_queued(
        self, model: str, level: RequestClass, customer: str
    ) -> QueuedRequest:
        last = None
        for queued in self._queued_for(model):
            if queued.level is not level or queued.request.customer != customer:
                continue
            if last is None or queued.sort_s >= last.sort_s:
                last = queued
        return last

    def _queued_for(self, model: str) -> Iterator[QueuedRequest]:
        for queued in self._by_id.values():
            if queued.request.model == model:
                yield queued


def _remove_from_heap(subqueue: SubQueue, queued: QueuedRequest) -> None:
    """Remove a request from its heap but leave the subqueue's counts alone."""
    heap = subqueue.heaps[queued.level][queued.request.customer]
    heap[:] = [entry for entry in heap if entry[2] is not queued]
    heapq.heapify(heap)


def _key(queued: QueuedRequest) -> tuple:
    return (queued.request.model, *queued.items)


def _base_model(queued: QueuedRequest) -> Item | None:
    return queued.items[0] if queued.items else None
