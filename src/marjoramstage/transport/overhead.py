"""Bounds what a peer may send in one message: its body, and all else."""

from __future__ import annotations

import asyncio

# What is read of one body, also of one that was refused as too large: the peer may
# read its answer only after it has sent all of the body.
MAX_BODY_BYTES = 67_108_864
# Heads, interim responses, chunk lines and trailers of one message.
MAX_OVERHEAD_BYTES = 65_536
# Further bytes allowed for each byte of the body, for bodies of small chunks.
OVERHEAD_BYTES_PER_BODY_BYTE = 2
# What is received at once, so that one peer does not hold up the event loop.
RECEIVE_BYTES = 32_768
# Half of what is read ahead of the reader of a body; then the connection isn't read.
REQUEST_AHEAD_BYTES = 16_384
ANSWER_AHEAD_BYTES = 32_768
# Receive buffers of the kernel, which count as memory of the machine. They allow 32 and
# 64 MB per second over a round trip of 1 ms.
REQUEST_RECEIVE_BUFFER_BYTES = 32_768
ANSWER_RECEIVE_BUFFER_BYTES = 65_536


def limit_receive_size(transport: asyncio.BaseTransport) -> None:
    """Receive at most `RECEIVE_BYTES` at once over a connection."""
    # asyncio has no option for it; its transports read the size from here.
    transport.max_size = RECEIVE_BYTES


class OverheadMeter:
    """Counts what a peer sends of one message, body and all else."""

    def __init__(self):
        self._received_bytes = 0

    def restart(self) -> None:
        """Begin to count another message."""
        self._received_bytes = 0

    def add(self, size: int) -> None:
        """Count received bytes."""
        self._received_bytes += size

    def exceeded(self, body_bytes: int) -> bool:
        """Whether too many of the bytes so far are no part of the body."""
        allowed = MAX_OVERHEAD_BYTES + OVERHEAD_BYTES_PER_BODY_BYTE * body_bytes
        return self._received_bytes - body_bytes > allowed
