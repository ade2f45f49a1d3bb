"""Learns how many requests fit in a target's memory for context.

A target batches as many requests as it has slots, if their prompts and answers fit
in its memory. With long prompts memory runs out first, so that a model needs more
replicas than its share of the slots tells.
"""

from __future__ import annotations

# Weight of a new request in the mean, and requests before the mean is used.
SMOOTHING_FACTOR = 0.02
MIN_REQUESTS = 20


class RequestSizes:
    """Mean size of the requests of one service, in tokens."""

    def __init__(self):
        self._mean_tokens = 0.0
        self._requests = 0

    def record(self, tokens: int) -> None:
        """Record the prompt and the longest answer of a request."""
        if tokens <= 0:
            return
        self._requests += 1
        weight = max(SMOOTHING_FACTOR, 1 / self._requests)
        self._mean_tokens += weight * (tokens - self._mean_tokens)

    def usable_slots(self, slots: int, context_tokens: int) -> int:
        """Return how many requests a target can run at once.

        Parameters
        ----------
        slots : int
            Requests that the target batches at most.
        context_tokens : int
            Tokens that fit in its memory for context; 0 if unknown.
        """
        if self._requests < MIN_REQUESTS or context_tokens <= 0:
            return slots
        fitting = int(context_tokens / self._mean_tokens)
        return max(1, min(slots, fitting))
