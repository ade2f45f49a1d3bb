"""How much memory a request takes that is being read or served, without its body."""

from __future__ import annotations

from collections.abc import Sequence

# Objects of the connection, the request and the tasks that serve it.
REQUEST_BYTES = 16_384
# Objects of one header; its bytes are held as received and as text.
HEADER_BYTES = 320
HEADER_COPIES = 2


def head_bytes(raw_headers: Sequence[tuple[bytes, bytes]]) -> int:
    """Return the memory that the headers of a request take once they are parsed."""
    received_bytes = sum(len(name) + len(value) for name, value in raw_headers)
    return HEADER_BYTES * len(raw_headers) + HEADER_COPIES * received_bytes


def request_bytes(raw_headers: Sequence[tuple[bytes, bytes]]) -> int:
    """Return the memory that a request takes beside its body."""
    return REQUEST_BYTES + head_bytes(raw_headers)
