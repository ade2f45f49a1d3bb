"""Keeps a SIGHUP that comes while an instance starts.

The default action ends the process, and an instance takes some tenths of a second
until its event loop handles the signal. So this module imports nothing slow.
"""

from __future__ import annotations

import signal

_received: list[int] = []


def hold() -> None:
    """Take note of SIGHUP from now on, until another handler is set."""
    signal.signal(signal.SIGHUP, _note)


def was_received() -> bool:
    """Whether a SIGHUP came since `hold`."""
    return bool(_received)


def _note(signum: int, frame: object) -> None:
    _received.append(signum)
