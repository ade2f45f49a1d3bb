"""Packs what instances use of quotas, as a binary field of their reports.

As a list of Thrift structs, 16 customers take 0.75 ms to decode; with 200 reports a
second that is 0.15 cores at the holder of the lease.
"""

from __future__ import annotations

import struct
from collections.abc import Iterable

from marjoramstage.exceptions import PeerError
from marjoramstage.protocol.peers import QuotaUse

# Length of the name, then held, used, wanted, asked and largest.
_ENTRY = struct.Struct("<H5Q")
_MAX_UNITS = 2**63 - 1


def pack(uses: Iterable[QuotaUse]) -> bytes:
    """Return the field for some uses; empty for none."""
    parts = []
    for use in uses:
        name = use.customer.encode()
        units = (use.held, use.used, use.wanted, use.asked, use.largest)
        parts.append(_ENTRY.pack(len(name), *(min(n, _MAX_UNITS) for n in units)))
        parts.append(name)
    return b"".join(parts)


def unpack(content: bytes) -> tuple[QuotaUse, ...]:
    """Return the uses in a field.

    Raises
    ------
    PeerError
        It was not made by `pack`.
    """
    found, at = [], 0
    try:
        while at < len(content):
            length, *units = _ENTRY.unpack_from(content, at)
            at += _ENTRY.size
            if at + length > len(content):
                raise PeerError("quota use: truncated")
            found.append(QuotaUse(content[at : at + length].decode(), *units))
            at += length
    except (struct.error, UnicodeDecodeError) as exc:
        raise PeerError(f"quota use: {exc}") from exc
    return tuple(found)
