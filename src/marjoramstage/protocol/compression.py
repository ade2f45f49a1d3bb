"""Compresses content for peers, and decompresses what they sent within a bound."""

from __future__ import annotations

import zlib


def compress(content: bytes, level: int = zlib.Z_DEFAULT_COMPRESSION) -> bytes:
    """Compress content for a peer."""
    return zlib.compress(content, level)


def decompress(payload: bytes, max_bytes: int) -> bytes:
    """Decompress the content that a peer sent.

    Raises
    ------
    ValueError
        The payload is invalid or truncated, or its content exceeds ``max_bytes``.
    """
    stream = zlib.decompressobj()
    try:
        content = stream.decompress(payload, max_bytes)
    except zlib.error as exc:
        raise ValueError("content cannot be decompressed") from exc
    if not stream.eof:
        raise ValueError("content is truncated or too large")
    return content
