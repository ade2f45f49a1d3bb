"""Weighted fair sharing between customers, by tokens served."""

from __future__ import annotations

from collections import Counter
from collections.abc import Mapping

OUTPUT_TOKEN_WEIGHT = 2.0
DEFAULT_WEIGHT = 1.0


def request_cost(prompt_tokens: int, output_tokens: int) -> float:
    """Return the charge for a request, in weighted tokens; at least 1."""
    return max(1.0, prompt_tokens + OUTPUT_TOKEN_WEIGHT * output_tokens)


class FairShareCounters:
    """A virtual token counter per customer; the lowest is served next.

    The counter of a customer that returns after an idle period is raised to
    the lowest counter among customers with queued requests, so that idle time
    earns no credit.
    """

    def __init__(self):
        self._served: dict[str, float] = {}
        self._weights: Mapping[str, float] = {}
        self._waiting: Counter[str] = Counter()
        self._idle_floor = 0.0

    def set_weights(self, weights: Mapping[str, float]) -> None:
        """Set the customer weights of a new inventory."""
        self._weights = weights

    def weight(self, customer: str) -> float:
        """Return the weight of a customer."""
        return self._weights.get(customer, DEFAULT_WEIGHT)

    def served(self, customer: str) -> float:
        """Return the counter of a customer, in tokens divided by weight."""
        return self._served.get(customer, 0.0)

    def enqueued(self, customer: str) -> None:
        """Record one more queued request of a customer."""
        if self._waiting[customer] == 0:
            floor = self._floor()
            self._served[customer] = max(self.served(customer), floor)
        self._waiting[customer] += 1

    def dequeued(self, customer: str) -> None:
        """Record that a request of a customer left the queue."""
        self._waiting[customer] -= 1
        if self._waiting[customer] <= 0:
            del self._waiting[customer]
            self._idle_floor = max(self._idle_floor, self.served(customer))

    def charge(self, customer: str, cost: float) -> None:
        """Add ``cost`` weighted tokens; a negative cost is a refund."""
        share = cost / self.weight(customer)
        self._served[customer] = self.served(customer) + share

    def _floor(self) -> float:
        if not self._waiting:
            return self._idle_floor
        return min(self.served(customer) for customer in self._waiting)
