"""Holds answers for callers that read slowly, within the byte budget.

A target cuts an answer that stays unread for some seconds. So an answer is read from
its target and kept in the write buffer of the caller's connection while the budget
has room, and left unread at the target only after that.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from aiohttp import web

from marjoramstage.clock import Clock
from marjoramstage.transport.byte_budget import (
    FIRST_BYTES,
    SMALL_BYTES,
    ByteBudget,
    EvictionCause,
    Holding,
    HoldingKind,
)

# What may be unsent of an answer without being accounted for: some events of a stream.
FREE_UNSENT_BYTES = 16_384
# The part of an answer in the budget grows by this much.
STEP_BYTES = 262_144
# The transport does not pause its writer below this; the budget decides before.
NO_LIMIT_BYTES = 1 << 40
# How often an answer that waits for its caller or the budget looks again.
MIN_POLL_S = 0.005
MAX_POLL_S = 0.08


class AnswerWriter:
    """Writes the answer to one request to its caller.

    Parameters
    ----------
    on_hold : callable
        Called when the answer gets a part of the budget.
    holding : Holding, optional
        Part of the budget that the answer has already.
    """

    def __init__(
        self,
        transport: asyncio.Transport,
        budget: ByteBudget,
        clock: Clock,
        on_hold: Callable[[AnswerWriter], None],
        holding: Holding | None = None,
    ):
        self._transport = transport
        self._budget = budget
        self._clock = clock
        self._holding = holding
        self._on_hold = on_hold
        self._written_bytes = 0
        self._read_bytes = 0
        self._ended = False

    @property
    def unsent_bytes(self) -> int:
        """What was written and the caller has not taken."""
        return self._transport.get_write_buffer_size()

    @property
    def is_left_over(self) -> bool:
        """Whether the answer has ended and its caller has not taken all of it."""
        return self._ended and self.unsent_bytes > 0

    def start(self) -> None:
        """Let the budget decide how much is written ahead of the caller."""
        self._transport.set_write_buffer_limits(high=NO_LIMIT_BYTES)

    def adopt(self, holding: Holding | None) -> None:
        """Take over the part of the budget of what is written first."""
        if holding is not None:
            holding.evict = self.evict
            self._holding = holding
            self._on_hold(self)

    async def write(self, resp: web.StreamResponse, data: bytes) -> None:
        """Write a block; waits for the caller if the budget has no room for it."""
        pause_s = MIN_POLL_S
        while not self._has_room(len(data)):
            await asyncio.sleep(pause_s)
            pause_s = min(MAX_POLL_S, 2 * pause_s)
        self._written_bytes += len(data)
        await resp.write(data)

    def end(self) -> None:
        """Let later answers on the connection wait for their caller again."""
        self._ended = True
        if not self._transport.is_closing():
            self._transport.set_write_buffer_limits()

    def update(self, now_s: float) -> bool:
        """Account for what the caller read; return whether anything is unsent."""
        unsent_bytes = self.unsent_bytes
        if not unsent_bytes:
            self.close()
            return False
        holding = self._holding
        if holding is None:
            return True
        read_bytes = self._written_bytes - unsent_bytes
        if read_bytes != self._read_bytes:
            self._read_bytes, holding.progress_s = read_bytes, now_s
        spare_bytes = holding.bytes - unsent_bytes - FIRST_BYTES
        if spare_bytes > STEP_BYTES:
            self._budget.shrink(holding, spare_bytes)
        return True

    def close(self) -> None:
        """Give back the part of the budget."""
        if self._holding is not None:
            self._budget.close(self._holding)
            self._holding = None

    def _has_room(self, size: int) -> bool:
        unsent_bytes = self.unsent_bytes
        if not unsent_bytes or unsent_bytes + size <= FREE_UNSENT_BYTES:
            return True
        if self._holding is None:
            self._holding = self._budget.overdraw(
                HoldingKind.ANSWER, FIRST_BYTES, self._clock.now(), self.evict
            )
            self._on_hold(self)
        missing_bytes = unsent_bytes + size + SMALL_BYTES - self._holding.bytes
        if missing_bytes <= 0:
            return True
        return self._budget.try_grow(self._holding, max(missing_bytes, STEP_BYTES))

    def evict(self, cause: EvictionCause) -> None:
        """Close the connection of a caller that does not read."""
        self._transport.abort()


class AnswerBuffers:
    """The answers that are being written, or that callers have not read whole."""

    def __init__(self, budget: ByteBudget, clock: Clock):
        self._budget = budget
        self._clock = clock
        # Those of which something is unsent.
        self._writers: set[AnswerWriter] = set()

    @property
    def left_over(self) -> int:
        """Number of answers that ended and that callers have not taken whole."""
        return sum(1 for writer in self._writers if writer.is_left_over)

    def hold(self, size: int) -> Holding | None:
        """Account for an answer that is read whole; None if there is no room."""
        return self._budget.open(HoldingKind.ANSWER, size, self._clock.now(), None)

    def give_back(self, holding: Holding) -> None:
        """Give back what `hold` accounted for."""
        self._budget.close(holding)

    def leave(self, holding: Holding, transport: asyncio.Transport) -> None:
        """Keep a holding until the answer, written next, was read by its caller."""
        writer = AnswerWriter(
            transport, self._budget, self._clock, self._writers.add, holding
        )
        holding.evict = writer.evict
        writer.end()
        self._writers.add(writer)

    def open(self, transport: asyncio.Transport) -> AnswerWriter:
        """Return the writer of an answer whose head was sent."""
        writer = AnswerWriter(transport, self._budget, self._clock, self._writers.add)
        writer.start()
        return writer

    def end(self, writer: AnswerWriter) -> None:
        """End a writer; its part of the budget is given back when all was read."""
        writer.end()
        if writer.update(self._clock.now()):
            self._writers.add(writer)
        else:
            self._writers.discard(writer)

    def update(self) -> None:
        """Account for what callers have read since the last time."""
        now_s = self._clock.now()
        gone = [writer for writer in self._writers if not writer.update(now_s)]
        self._writers.difference_update(gone)
