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


# Cause of a refusal for which nothing is left of the budget.
NO_MEMORY = "no memory"


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


async def read_body(
    req: web.BaseRequest,
    max_bytes: int,
    budget: ByteBudget,
    clock: Clock,
    timeout_s: float,
) -> HeldBody:
    """Return the body of a request; raises as `BodyReader.read`."""
    payload = req.content
    if not payload.is_eof() or payload.total_bytes > min(SMALL_BYTES, max_bytes):
        return await BodyReader(req, max_bytes, budget, clock).read(timeout_s)
    # Nearly all bodies arrive with their head.
    if not payload.total_bytes:
        return HeldBody(b"", None)
    holding = budget.open(HoldingKind.BODY, payload.total_bytes, clock.now(), None)
    if holding is None:
        raise NoMemoryError(NO_MEMORY)
    try:
        return HeldBody(payload.read_nowait(), holding)
    except BaseException:
        budget.close(holding)
        raise


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
        first_bytes = self._length or FIRST_BYTES + SMALL_BYTES
        if self._length is not None and self._length > SMALL_BYTES:
            first_bytes = FIRST_BYTES
        holding = self._budget.open(
            HoldingKind.BODY, first_bytes, self._clock.now(), self._evict
        )
        if holding is None:
            raise NoMemoryError(NO_MEMORY)
        self._holding = holding
        try:
            async with asyncio.timeout(timeout_s) as self._timeout:
                body = await self._read_all()
            # A target may run the request from here on.
            holding.evict, holding.evicted = None, False
            return HeldBody(body, holding)
        except BaseException as exc:
            cause = self._cause
            if holding.wanted_bytes:
                cause = cause or EvictionCause.WAITED
            self._budget.close(holding)
            if cause is not None and isinstance(exc, TimeoutError):
                raise NoMemoryError(cause.value) from None
            raise

    async def _read_all(self) -> bytes | bytearray:
        if self._length is not None and self._length <= SMALL_BYTES:
            return await self._read_small()
        # Large bodies are put together in place, as a join would hold them twice.
        # While one waits, nothing more is taken out of its connection's buffer.
        body = bytearray()
        if self._length is not None:
            await self._grow(self._length + FIRST_BYTES)
        while chunk := await self._payload.readany():
            self._holding.progress_s = self._clock.now()
            body += chunk
            del chunk
            if len(body) > self._max_bytes:
                raise BodyTooLargeError
            if len(body) + FIRST_BYTES > self._holding.bytes:
                largest = min(self._max_bytes, GROWTH_FACTOR * len(body))
                await self._grow(largest + FIRST_BYTES)
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
        """Wait until the budget has room for ``size`` bytes in all."""
        holding = self._holding
        more_bytes = size - holding.bytes
        if more_bytes <= 0 or self._budget.try_grow(holding, more_bytes):
            return
        granted = asyncio.Event()
        self._budget.ask(holding, more_bytes, self._clock.now(), granted.set)
        await granted.wait()
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
