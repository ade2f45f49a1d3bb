"""Settings of one process, from the settings file of its machine."""

from __future__ import annotations

from dataclasses import dataclass

# A machine whose settings state no speed counts as one with 1,000 Mbit/s.
DEFAULT_LINK_BYTES_PER_S = 125_000_000.0

# Generous, for machines whose settings state neither.
DEFAULT_MEMORY_BYTES = 2_000_000_000
DEFAULT_MAX_DESCRIPTORS = 65_536


@dataclass(frozen=True)
class NodeBounds:
    """Time limits and budgets that the users set.

    Attributes
    ----------
    drain_s : float
        How long a target may still be sent work after it announced that it leaves.
    config_s : float
        Time within which a new version of the routes has to be in force.
    grace_s : float
        Time from the stop signal until the process is killed.
    retry_ratio, retry_extra, retry_window_s : float
        Retry budget of a service, shared by all instances: in any window they may
        send ``retry_ratio`` retries for each request, and ``retry_extra`` more.
    lease_s : float
        Term of the placement lease, in seconds.
    load_window_s, load_headroom : float
        Sliding window for the rate of loads from the weight store, and the factor
        by which the rate may be exceeded.
    quota_window_s, quota_over, quota_slack : float
        Quotas of customers: in any window of so many seconds they may exceed their
        rate and burst by the factor ``quota_over`` and, if they count tokens, by
        ``quota_slack`` tokens.
    checks_fence : bool
        Targets reject orders that carry an older fencing number.
    """

    drain_s: float = 2.0
    config_s: float = 2.0
    grace_s: float = 8.0
    retry_ratio: float = 0.2
    retry_extra: float = 50.0
    retry_window_s: float = 10.0
    lease_s: float = 3.0
    load_window_s: float = 5.0
    load_headroom: float = 1.1
    quota_window_s: float = 8.0
    quota_over: float = 0.1
    quota_slack: float = 0.0
    checks_fence: bool = True


@dataclass(frozen=True)
class NodeSettings:
    """Identity, addresses and bounds of one process.

    Attributes
    ----------
    callers_address, ready_address : str
        ``ip:port`` on which callers and readiness probes are served.
    platform_address : str
        ``ip:port`` of the platform's object store.
    first_start : bool
        The whole system starts for the first time.
    link_bytes_per_s : float
        Speed of the machine's network link.
    memory_bytes : int
        Memory of the machine; the process stays below it.
    max_descriptors : int
        Descriptors that the process may have open, files included.
    peer_ports : tuple of int
        Ports reserved for connections between instances.
    """

    name: str
    ip: str
    data_centre: str
    callers_address: str
    ready_address: str
    platform_address: str
    peer_ports: tuple[int, ...]
    first_start: bool = False
    link_bytes_per_s: float = DEFAULT_LINK_BYTES_PER_S
    memory_bytes: int = DEFAULT_MEMORY_BYTES
    max_descriptors: int = DEFAULT_MAX_DESCRIPTORS
    bounds: NodeBounds = NodeBounds()
