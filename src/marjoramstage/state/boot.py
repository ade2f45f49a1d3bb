"""What a process is told at its start by the machine it runs on."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True)
class BootBounds:
    """Bounds that the users set.

    Attributes
    ----------
    drain_s : float
        After a target is said to leave, it may still be sent work for this long.
    config_s : float
        A new version of the routes is in force after this.
    grace_s : float
        Time from a request to stop to the forced end.
    repeat_ratio, repeat_extra, repeat_window_s : float
        Repeats that all instances together may send to a service in a window.
    lease_s : float
        Term of a lease, in seconds.
    load_window_s, load_over : float
        Window and factor for the rate of loads from the weight store.
    checks_fence : bool
        Targets refuse old fencing numbers.
    """

    drain_s: float = 2.0
    config_s: float = 2.0
    grace_s: float = 8.0
    repeat_ratio: float = 0.2
    repeat_extra: float = 50.0
    repeat_window_s: float = 10.0
    lease_s: float = 3.0
    load_window_s: float = 5.0
    load_over: float = 1.1
    checks_fence: bool = True


@dataclass(frozen=True)
class Boot:
    """Identity, addresses and bounds of one process.

    Attributes
    ----------
    first_start : bool
        The whole system starts for the first time.
    ports : tuple of int
        Ports that are free for connections between instances.
    """

    name: str
    ip: str
    data_centre: str
    callers: str
    ready: str
    platform: str
    ports: tuple[int, ...]
    first_start: bool = False
    bounds: BootBounds = BootBounds()
