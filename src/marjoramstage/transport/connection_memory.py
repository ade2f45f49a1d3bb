"""Accounts for what a caller's connection makes an instance hold, beside bodies.

The readers of bodies and the buffers of answers account for theirs themselves.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass

from aiohttp import StreamReader
from aiohttp.http import RawRequestMessage

from marjoramstage.transport.byte_budget import (
    FIRST_BYTES,
    SMALL_BYTES,
    ByteBudget,
    EvictionCause,
    Holding,
    HoldingKind,
)
from marjoramstage.transport.request_cost import request_bytes

# What a connection may send of a head, or ahead of the answer to its last request,
# without being accounted for: a few heads of 1 to 2 KB.
FREE_AHEAD_BYTES = 8_192


@dataclass
class _RequestHolding:
    """What is held for a request until its answer was sent.

    Attributes
    ----------
    body_bytes : int
        The part of it that is held for the body, until the body's reader begins.
    """

    holding: Holding
    body_bytes: int


class ConnectionMemory:
    """The part of one connection in the byte budget.

    Parameters
    ----------
    evict : callable
        Called when the connection has to close.
    """

    def __init__(self, budget: ByteBudget, evict: Callable[[EvictionCause], None]):
        self._budget = budget
        self._evict = evict
        self._ahead_bytes = 0
        self._ahead: Holding | None = None
        # Of the requests that were received and not yet answered, oldest first.
        self._requests: deque[_RequestHolding] = deque()

    @property
    def has_ahead(self) -> bool:
        """Whether a part of a head was received, or a request ahead of an answer."""
        return self._ahead_bytes > 0

    @property
    def is_full(self) -> bool:
        """Whether there is no memory for another request."""
        return self._budget.is_full

    def note_refused(self) -> None:
        """Count a request that was refused before it was read."""
        self._budget.refused_unread += 1

    def hold_ahead(self, size: int, now_s: float) -> bool:
        """Account for bytes of a head that isn't complete, or of later requests.

        Returns
        -------
        bool
            Whether the budget allows for them.
        """
        self._ahead_bytes += size
        if self._ahead_bytes <= FREE_AHEAD_BYTES:
            return True
        if not self._grow_ahead(now_s):
            return False
        self._ahead.progress_s = now_s
        return True

    def release_ahead(self) -> None:
        """Give back what was held for bytes that were parsed meanwhile."""
        self._ahead_bytes = 0
        if self._ahead is not None:
            self._budget.close(self._ahead)
            self._ahead = None

    def hold_request(
        self, message: RawRequestMessage, body: StreamReader, now_s: float
    ) -> None:
        """Account for a request whose head is complete, and for a small body."""
        size, body_bytes = 0, 0
        # In place of a request that could not be parsed, aiohttp has an error.
        if isinstance(message, RawRequestMessage):
            size = request_bytes(message.raw_headers)
            body_bytes = _first_body_bytes(message, body)
        holding = self._budget.overdraw(
            HoldingKind.HEAD, size + body_bytes, now_s, None
        )
        self._requests.append(_RequestHolding(holding, body_bytes))

    def release_body(self) -> None:
        """Give back what was held for the body of the oldest request.

        Its reader accounts for it from here on.
        """
        if not self._requests:
            return
        request = self._requests[0]
        self._budget.shrink(request.holding, request.body_bytes)
        request.body_bytes = 0

    def release_request(self) -> None:
        """Give back what is held for the oldest request, which was answered."""
        if self._requests:
            self._budget.close(self._requests.popleft().holding)

    def release_all(self) -> None:
        """Give back everything, as the connection has ended."""
        self.release_ahead()
        while self._requests:
            self.release_request()

    def _grow_ahead(self, now_s: float) -> bool:
        if self._ahead is None:
            self._ahead = self._budget.open(
                HoldingKind.HEAD, FIRST_BYTES, now_s, self._evict
            )
            return self._ahead is not None
        if self._ahead_bytes <= self._ahead.bytes:
            return True
        return self._budget.try_grow(self._ahead, FIRST_BYTES)


def _first_body_bytes(message: RawRequestMessage, body: StreamReader) -> int:
    """Return how much of a body to account for when its head has arrived."""
    length = int(message.headers.get("Content-Length", 0))
    small_bytes = length if length <= SMALL_BYTES else 0
    return max(small_bytes, body.total_bytes)
