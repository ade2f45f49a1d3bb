"""Has the C library return the memory of large buffers to the system."""

from __future__ import annotations

import ctypes

# Parameters of glibc's mallopt.
_M_TRIM_THRESHOLD = -1
_M_MMAP_THRESHOLD = -3
# Buffers of this size are mapped one by one and unmapped when they are freed. glibc
# raises its own threshold up to 32 MB, and the memory of bodies then stays resident.
LARGE_BUFFER_BYTES = 131_072
# Free memory at the end of the heap above which it is returned.
TRIM_BYTES = 1_048_576


def return_large_buffers() -> bool:
    """Set the thresholds; return whether the C library knows them."""
    try:
        mallopt = ctypes.CDLL(None).mallopt
    except (OSError, AttributeError):
        return False
    mapped = mallopt(_M_MMAP_THRESHOLD, LARGE_BUFFER_BYTES)
    trimmed = mallopt(_M_TRIM_THRESHOLD, TRIM_BYTES)
    return bool(mapped and trimmed)
