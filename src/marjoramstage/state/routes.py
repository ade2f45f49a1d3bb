"""Routes by host and path prefix, and the services that they lead to."""

from __future__ import annotations

import enum
import zlib
from collections.abc import Mapping
from dataclasses import dataclass, field

from marjoramstage.state.customers import CustomerTable
from marjoramstage.state.request_ranks import RequestRanks

# Callers of streams wait at least this long for an event.
MIN_FIRST_EVENT_TIMEOUT_S = 2.0
# A swap is an unload and a load; together they take as long as this many loads.
SWAP_DURATION_LOADS = 2.0


class RunPolicy(enum.Enum):
    """How often one request may run at targets."""

    REPEATABLE = "any"
    AT_MOST_ONCE = "once"


@dataclass(frozen=True)
class ServiceWeight:
    """A service and its weight in a route; weights need not add up to 1."""

    service: str
    weight: float


@dataclass(frozen=True)
class Route:
    """Where requests of a host and path prefix go.

    Attributes
    ----------
    split : tuple of ServiceWeight
        Services among which requests are split by weight.
    run_policy : RunPolicy
        Whether a request may be sent again after it may have run.
    is_stream : bool
        Answers are event streams.
    resumable : bool
        A broken stream may be resumed at another target after its last event.
    max_attempts : int
        Maximum number of times that one request may run.
    timeout_s : float
        Time after which an unfinished request gets its final answer, in seconds.
    latency_goal_s : float
        Intended time to the answer or to its first event, in seconds.
    event_gap_goal_s : float
        Longest pause between events of an answer that counts as on time, in
        seconds; 0 if any will do.
    rank : int
        Urgency; 0 is the most urgent.
    public : bool
        Requests need no customer's key.
    """

    name: str
    host: str
    prefix: str
    split: tuple[ServiceWeight, ...]
    run_policy: RunPolicy = RunPolicy.AT_MOST_ONCE
    is_stream: bool = False
    resumable: bool = False
    max_attempts: int = 1
    timeout_s: float = 30.0
    latency_goal_s: float = 1.0
    event_gap_goal_s: float = 0.0
    rank: int = 0
    public: bool = False

    @property
    def first_event_timeout_s(self) -> float:
        """Return how long callers wait for an answer or its first event."""
        if not self.is_stream:
            return self.timeout_s
        wait_s = max(
            MIN_FIRST_EVENT_TIMEOUT_S,
            4 * self.latency_goal_s,
            8 * self.event_gap_goal_s,
        )
        return min(self.timeout_s, wait_s)

    def service_for(self, request_id: str) -> str:
        """Return the service of a request; always the same for the same id."""
        total = sum(share.weight for share in self.split)
        if total <= 0:
            return self.split[0].service
        point = zlib.crc32(request_id.encode()) / 2**32 * total
        for share in self.split:
            point -= share.weight
            if point < 0:
                return share.service
        return self.split[-1].service


@dataclass(frozen=True)
class ModelSpec:
    """A model that the targets of a service may hold.

    Attributes
    ----------
    memory_mb, adapter_mb : float
        Memory taken by the weights and by each adapter.
    load_s, disk_load_s, memory_load_s : float
        Load time from the weight store, from the target's disk and from its memory.
    """

    name: str
    memory_mb: float
    load_s: float
    disk_load_s: float
    memory_load_s: float
    adapters: int = 0
    adapter_mb: float = 0.0


@dataclass(frozen=True)
class EngineSpec:
    """Capacity of each target of an engine service, and the models for it.

    Attributes
    ----------
    context_tokens : int
        Tokens of running requests that fit in a target's memory; 0 if unknown.
    """

    slots: int
    memory_mb: float
    adapter_slots: int
    loads_per_s: float
    models: Mapping[str, ModelSpec] = field(default_factory=dict)
    context_tokens: int = 0

    def is_latency_critical(self, model: str, latency_goal_s: float) -> bool:
        """Whether a request is late if its model has to be swapped in first."""
        return latency_goal_s < SWAP_DURATION_LOADS * self.models[model].disk_load_s


@dataclass(frozen=True)
class Service:
    """A group of targets that serve the same requests."""

    name: str
    health_path: str = "/health"
    max_conns: int = 100
    engine: EngineSpec | None = None


@dataclass(frozen=True)
class CallerLimits:
    """Bounds on the size of requests and on idle connections."""

    header_bytes: int = 16_384
    body_bytes: int = 4_194_304
    header_timeout_s: float = 3.0
    idle_timeout_s: float = 15.0


class RouteTable:
    """One version of the routes; immutable.

    Parameters
    ----------
    version : int
        Versions increase; a table never replaces one of a higher version.
    customers : CustomerTable or None
        Whose keys give access to routes that aren't public; None if no keys are
        required.

    Attributes
    ----------
    ranks : RequestRanks
        Order of the requests of these routes and customers.
    """

    def __init__(
        self,
        version: int,
        routes: tuple[Route, ...],
        services: Mapping[str, Service],
        limits: CallerLimits,
        customers: CustomerTable | None = None,
    ):
        self.version = version
        self.customers = customers
        holders = customers.by_name.values() if customers is not None else ()
        self.ranks = RequestRanks((route.rank for route in routes), holders)
        self.services = services
        self.limits = limits
        self.routes = routes
        by_host: dict[str, list[Route]] = {}
        for route in routes:
            by_host.setdefault(route.host, []).append(route)
        for found in by_host.values():
            found.sort(key=lambda route: -len(route.prefix))
        self._by_host = by_host

    def resumable_services(self) -> list[str]:
        """Return the services of routes whose streams may be taken up, sorted."""
        routes = (route for route in self.routes if route.resumable)
        return sorted({share.service for route in routes for share in route.split})

    def match(self, host: str, path: str) -> Route | None:
        """Return the route with the longest prefix of ``path``."""
        for route in self._by_host.get(host, ()):
            if path.startswith(route.prefix):
                return route
        return None
