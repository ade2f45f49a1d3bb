"""Decides which connections may make an instance hold more bytes, and which end.

The load it addresses is a crowd of clients that send large bodies, or read large
answers slowly, so that all of them together exceed the memory of the machine.
"""

from __future__ import annotations

import enum
from collections import Counter, deque
from collections.abc import Callable
from dataclasses import dataclass, field

# What a process needs itself: 46 MB at rest, and what the allocator keeps.
PROCESS_BYTES = 56_000_000
# Part of the rest that may be held for others. Buffers that grow are copied, and
# what the kernel received for connections that are not read is not counted.
BUDGET_FRACTION = 0.75
MIN_BUDGET_BYTES = 8_000_000
# Large holdings leave the rest to small ones, so that ordinary requests are served.
LARGE_BODY_FRACTION = 0.75
# Answers leave room to bodies, also if their callers read them byte by byte.
LARGE_ANSWER_FRACTION = 0.5
# Size of a body or an answer that never waits for others.
SMALL_BYTES = 65_536
# What is held for a connection that isn't read: what was read ahead of its handler,
# and what the kernel received.
FIRST_BYTES = 2 * SMALL_BYTES
# A holding without progress for this time ends if others wait for its bytes, or if
# connections are short.
STALL_S = 2.0
# A body that waits this long for others is refused.
MAX_WAIT_S = 5.0
# A client that is refused may come back when stalled holdings have ended.
RETRY_AFTER_S = 2.0


class HoldingKind(enum.Enum):
    """What bytes are held for."""

    BODY = "body"
    HEAD = "head"
    ANSWER = "answer"


class EvictionCause(enum.Enum):
    """Why a holding was ended."""

    STALLED = "stalled"
    WAITED = "waited"


# Part of the budget up to which holdings larger than `SMALL_BYTES` may begin, so that
# those that wait leave room for the ones that are read.
OPEN_FRACTIONS = {
    HoldingKind.BODY: 0.6,
    HoldingKind.HEAD: 0.6,
    HoldingKind.ANSWER: 0.75,
}


@dataclass(eq=False, slots=True)
class Holding:
    """Bytes that are held for one connection.

    Attributes
    ----------
    bytes : int
        What is accounted for.
    progress_s : float
        When the peer last sent or read something.
    evict : callable or None
        Called when the holding has to end; its owner closes it afterwards. None
        once it can't be ended, as a target may be running the request.
    wanted_bytes : int
        Further bytes that it waits for; 0 if it doesn't wait.
    on_grant : callable or None
        Called when these are granted.
    asked_s : float
        When they were asked for.
    """

    kind: HoldingKind
    progress_s: float
    evict: Callable[[EvictionCause], None] | None
    bytes: int = 0
    wanted_bytes: int = 0
    on_grant: Callable[[], None] | None = field(default=None, repr=False)
    asked_s: float = 0.0
    evicted: bool = False


@dataclass(frozen=True)
class Eviction:
    """A holding that has to end."""

    holding: Holding
    cause: EvictionCause


def budget_bytes(memory_bytes: float) -> int:
    """Return how much may be held for others on a machine with this memory."""
    return int(max(MIN_BUDGET_BYTES, BUDGET_FRACTION * (memory_bytes - PROCESS_BYTES)))


class ByteBudget:
    """Accounts for all bytes that an instance holds for others.

    Holdings up to `SMALL_BYTES` may use all of the budget. Larger ones use a part
    of it, in the order in which they asked. A body that asks while no other large
    holding exists gets what it wants, so that a single request is always served.

    Parameters
    ----------
    limit_bytes : int
        Size of the budget.

    Attributes
    ----------
    refused_unread : int
        Requests that were refused so far before they were read.
    """

    def __init__(self, limit_bytes: int):
        self.limit_bytes = limit_bytes
        self.used_bytes = 0
        self.refused_unread = 0
        self.bytes_by_kind: Counter[HoldingKind] = Counter()
        self._holdings: set[Holding] = set()
        self._large: set[Holding] = set()
        self._queue: deque[Holding] = deque()

    @property
    def is_short(self) -> bool:
        """Whether somebody waits for bytes, or nothing is left for small holdings."""
        return bool(self._queue) or self.is_full

    @property
    def is_full(self) -> bool:
        """Whether nothing is left for a small holding."""
        return self._missing_for_small() > 0

    @property
    def waiting(self) -> int:
        """Number of holdings that wait for bytes."""
        return len(self._queue)

    def open(
        self,
        kind: HoldingKind,
        size: int,
        now_s: float,
        evict: Callable[[EvictionCause], None] | None,
    ) -> Holding | None:
        """Return a new holding; None if nothing is left for it."""
        fraction = OPEN_FRACTIONS[kind] if size > SMALL_BYTES else 1.0
        if self.used_bytes + size > self.limit_bytes * fraction:
            return None
        return self.overdraw(kind, size, now_s, evict)

    def overdraw(
        self,
        kind: HoldingKind,
        size: int,
        now_s: float,
        evict: Callable[[EvictionCause], None] | None,
    ) -> Holding:
        """Return a new holding of bytes that are held already.

        If that exceeds the budget, holdings without progress end.
        """
        holding = Holding(kind, now_s, evict)
        self._holdings.add(holding)
        if size > FIRST_BYTES:
            self._large.add(holding)
        self._add(holding, size)
        return holding

    def try_grow(self, holding: Holding, size: int) -> bool:
        """Account for ``size`` more bytes if they are left and nobody waits."""
        if self._queue or not self._fits(holding, size):
            return False
        self._large.add(holding)
        self._add(holding, size)
        return True

    def ask(
        self, holding: Holding, size: int, now_s: float, on_grant: Callable[[], None]
    ) -> None:
        """Wait for ``size`` more bytes; ``on_grant`` is called when there is room."""
        holding.wanted_bytes, holding.asked_s = size, now_s
        holding.on_grant = on_grant
        self._queue.append(holding)

    def shrink(self, holding: Holding, size: int) -> None:
        """Give back ``size`` bytes of a holding."""
        self._add(holding, -size)
        self._grant()

    def close(self, holding: Holding) -> None:
        """End a holding; may be called again."""
        if holding not in self._holdings:
            return
        self._holdings.remove(holding)
        self._large.discard(holding)
        if holding.wanted_bytes:
            holding.wanted_bytes = 0
            self._queue.remove(holding)
        self._add(holding, -holding.bytes)
        self._grant()

    def evictions(self, now_s: float) -> list[Eviction]:
        """Return the holdings that have to end, as others wait for their bytes.

        These are the ones that hold most for longest without progress, until the
        first in the queue fits, and those that have waited too long.
        """
        found = []
        missing_bytes = 0
        for holding in self._queue:
            if now_s - holding.asked_s < MAX_WAIT_S:
                room = self.limit_bytes * LARGE_BODY_FRACTION - self.used_bytes
                missing_bytes = holding.wanted_bytes - room
                break
            if not holding.evicted:
                found.append(Eviction(holding, EvictionCause.WAITED))
        # Small requests are refused when nothing is left.
        missing_bytes = max(missing_bytes, self._missing_for_small())
        stalled = []
        if missing_bytes > 0:
            missing_bytes -= sum(h.bytes for h in self._holdings if h.evicted)
            stalled = [h for h in self._holdings if self._is_stalled(h, now_s)]
        stalled.sort(key=lambda h: h.bytes * (now_s - h.progress_s), reverse=True)
        for holding in stalled:
            if missing_bytes <= 0:
                break
            missing_bytes -= holding.bytes
            found.append(Eviction(holding, EvictionCause.STALLED))
        for eviction in found:
            eviction.holding.evicted = True
        return found

    def _missing_for_small(self) -> int:
        """Return how many bytes a small holding lacks now."""
        return max(0, self.used_bytes + SMALL_BYTES - self.limit_bytes)

    def _is_stalled(self, holding: Holding, now_s: float) -> bool:
        if holding.evicted or holding.evict is None:
            return False
        if now_s - holding.progress_s < STALL_S:
            return False
        # One that waits makes no progress because it isn't read.
        return not holding.wanted_bytes or holding in self._large

    def _fits(self, holding: Holding, size: int) -> bool:
        if holding.kind is HoldingKind.ANSWER:
            return self.used_bytes + size <= self.limit_bytes * LARGE_ANSWER_FRACTION
        if self.used_bytes + size <= self.limit_bytes * LARGE_BODY_FRACTION:
            return True
        return not self._large or self._large == {holding}

    def _grant(self) -> None:
        while self._queue and self._fits(self._queue[0], self._queue[0].wanted_bytes):
            holding = self._queue.popleft()
            size, holding.wanted_bytes = holding.wanted_bytes, 0
            self._large.add(holding)
            self._add(holding, size)
            holding.on_grant()

    def _add(self, holding: Holding, size: int) -> None:
        holding.bytes += size
        self.used_bytes += size
        self.bytes_by_kind[holding.kind] += size
