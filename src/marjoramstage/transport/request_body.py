"""Reads and sends the bodies of requests within the byte budget."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass

import aiohttp
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

# A body without a length is accounted for in steps, each this much larger.
GROWTH_FACTOR = 4
# What is written to a target at once. The rest stays in the body that is kept, and
# isn't copied into the buffer of the connection.
PIECE_BYTES = 65_536


class BodyTooLargeError(Exception):
    """A body is larger than the configuration allows."""


class NoMemoryError(Exception):
    """A body does not fit into the byte budget, or stalled while others waited."""

    def __init__(self, cause: str):
        super().__init__(cause)
        self.cause = cause


class PiecewiseBody(aiohttp.BytesPayload):
    """A body that is written piece by piece, as the target takes it."""

    async def write_with_length(self, writer, content_length: int | None) -> None:
        """Write the body; called by aiohttp."""
        view = memoryview(self._value)
        if content_length is not None:
            view = view[:content_length]
        for start in range(0, len(view), PIECE_BYTES):
            await writer.write(view[start : start + PIECE_BYTES])


def sent_body(body: bytes | bytearray) -> PiecewiseBody | bytes | None:
    """Return a body in the form in which aiohttp sends it."""
    if len(body) > PIECE_BYTES:
        return PiecewiseBody(body)
    return bytes(body) or None


@dataclass(frozen=True)
class HeldBody:
    """The body of a request, and its part of the budget.

    Attributes
    ----------
    holding : Holding or None
        None for a request without a body.
    """

    data: bytes | bytearray
    holding: Holding | None


class BodyReader:
    """Reads the body of one request; not read any further while others hold too much.

    Parameters
    ----------
    max_bytes : int
        Size above which a body is refused.
    """

    def __init__(
        self,
        req: web.BaseRequest,
        max_bytes: int,
        budget: ByteBudget,
        clock: Clock,
    ):
        self._payload = req.content
        self._length = req.content_length
        self._max_bytes = max_bytes
        self._budget = budget
        self._clock = clock
        self._timeout: asyncio.Timeout | None = None
        self._holding: Holding | None = None
        self._cause: EvictionCause | None = None
        self._granted = asyncio.Event()

    async def read(self, timeout_s: float) -> HeldBody:
        """Return the body.

        Raises
        ------
        BodyTooLargeError
            It is too large.
        NoMemoryError
            The budget is used up.
        TimeoutError
            It did not arrive in time.
        """
        if self._length is not None and self._length > self._max_bytes:
            raise BodyTooLargeError
        if self._payload.at_eof():
            return HeldBody(b"", None)
        first_bytes = self._length or FIRST_BYTES
        if first_bytes > SMALL_BYTES:
            first_bytes = FIRST_BYTES
        holding = self._budget.open(
            HoldingKind.BODY, first_bytes, self._clock.now(), self._evict
        )
        if holding is None:
            raise NoMemoryError("no memory")
        self._holding = holding
        try:
            async with asyncio.timeout(timeout_s) as self._timeout:
                body = await self._read_all()
            holding.evict = None
            return HeldBody(body, holding)
        except BaseException as exc:
            self._budget.close(holding)
            if self._cause is not None and isinstance(exc, TimeoutError):
                raise NoMemoryError(self._cause.value) from None
            raise

    async def _read_all(self) -> bytes | bytearray:
        if self._length is not None and self._length <= SMALL_BYTES:
            return await self._read_small()
        # Large bodies are put together in place, as a join would hold them twice.
        body = bytearray()
        while chunk := await self._payload.readany():
            self._holding.progress_s = self._clock.now()
            size = len(body) + len(chunk)
            if size > self._max_bytes:
                raise BodyTooLargeError
            if size > self._holding.bytes:
                await self._grow(size)
            body += chunk
        return body

    async def _read_small(self) -> bytes:
        chunk = await self._payload.readany()
        if self._payload.at_eof():
            return chunk
        chunks = [chunk]
        while chunk := await self._payload.readany():
            self._holding.progress_s = self._clock.now()
            chunks.append(chunk)
        return b"".join(chunks)

    async def _grow(self, size: int) -> None:
        """Wait until the budget has room for ``size`` bytes of body."""
        holding = self._holding
        wanted_bytes = self._length
        if wanted_bytes is None:
            wanted_bytes = min(self._max_bytes, GROWTH_FACTOR * size)
        more_bytes = max(size, wanted_bytes) - holding.bytes
        if self._budget.try_grow(holding, more_bytes):
            return
        self._granted.clear()
        now_s = self._clock.now()
        self._budget.ask(holding, more_bytes, now_s, self._granted.set)
        await self._granted.wait()
        holding.progress_s = self._clock.now()

    def _evict(self, cause: EvictionCause) -> None:
        """End the reading of the body."""
        if self._timeout is None or self._cause is not None:
            return
        self._cause = cause
        try:
            self._timeout.reschedule(asyncio.get_running_loop().time())
        except RuntimeError:
            # The body has just been read to its end.
            self._cause = None
