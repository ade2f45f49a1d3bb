"""Requests, orders, reports and loads that the components exchange."""

from __future__ import annotations

import enum
from collections.abc import Mapping
from dataclasses import dataclass, field

from marjoramstage.exceptions import Verdict


class TargetKind(enum.Enum):
    """What a target runs: a model engine or plain services."""

    ENGINE = "engine"
    SERVICE = "service"


class RequestClass(enum.IntEnum):
    """Urgency of a request; lower values are served first."""

    URGENT = 0
    INTERACTIVE = 1
    OVERNIGHT = 2


@dataclass(frozen=True, order=True)
class Item:
    """A model or an adapter that a target can load.

    Attributes
    ----------
    name : str
        Name of the model or adapter.
    version : str
        Its version.
    """

    name: str
    version: str

    def __str__(self) -> str:
        """Return ``name@version``."""
        return f"{self.name}@{self.version}"


@dataclass(frozen=True)
class Request:
    """A caller's request, as admission and routing see it.

    Attributes
    ----------
    id : str
        Unique in the deployment.
    kind : TargetKind
        Kind of target that has to answer it.
    model : str
        Name of the model, or of the service.
    version : str or None
        Version that the caller requires, if any.
    adapter : str or None
        Name of the adapter, if any.
    prompt_tokens, output_tokens : int
        Estimated from the length of the text and the limit set by the caller.
    arrived_s, deadline_s : float
        Readings of the instance's monotonic clock.
    repeatable : bool
        Whether the request is idempotent.
    prefix : int
        Hash of the beginning of the prompt, for prefix affinity; 0 for none.
    """

    id: str
    customer: str
    kind: TargetKind
    model: str
    arrived_s: float
    deadline_s: float
    version: str | None = None
    adapter: str | None = None
    prompt_tokens: int = 0
    output_tokens: int = 0
    request_class: RequestClass = RequestClass.INTERACTIVE
    repeatable: bool = False
    prefix: int = 0

    @property
    def is_preemptible(self) -> bool:
        """Whether an attempt may be preempted by more urgent work."""
        return self.repeatable and self.request_class is RequestClass.OVERNIGHT


@dataclass(frozen=True)
class Target:
    """A target, as the platform lists it.

    Attributes
    ----------
    address : str
        ``ip:port`` of its HTTP server.
    leaving : bool
        Whether it is to get no new work.
    """

    name: str
    data_centre: str
    kind: TargetKind
    address: str
    leaving: bool = False


class ResidentState(enum.Enum):
    """State of an item in the memory of a target."""

    LOADING = "loading"
    READY = "ready"
    UNLOADING = "unloading"


@dataclass(frozen=True)
class Resident:
    """An item in a target's memory, as the target reports it."""

    item: Item
    memory_mb: int
    state: ResidentState


@dataclass(frozen=True)
class TargetReport:
    """A target's report of its state; it may arrive late and out of order.

    Attributes
    ----------
    incarnation : str
        Identifies a run of the target's process.
    sequence : int
        Rises with each report of an incarnation.
    memory_mb : int
        Capacity of the accelerators' memory, in MB.
    slots : int
        Number of requests that it can run at once.
    running, waiting : int
        Requests at the target.
    fencing : bool
        Whether it refuses orders with a fencing number below the highest seen.
    highest_fence : int
        Highest fencing number that it has seen.
    last_orders : tuple of int
        Numbers of the latest orders that it has finished.
    expiry : bool
        Whether it refuses orders that are past their ``expires_s``.
    clock_s : float
        Reading of the target's clock at the report, in seconds.
    started_s : float
        Start of the incarnation, in seconds; rises with each start.
    """

    target: str
    incarnation: str
    sequence: int
    memory_mb: int
    slots: int
    running: int = 0
    waiting: int = 0
    residents: tuple[Resident, ...] = ()
    fencing: bool = False
    leaving: bool = False
    highest_fence: int = 0
    last_orders: tuple[int, ...] = ()
    expiry: bool = False
    clock_s: float = 0.0
    started_s: float = 0.0


class OrderAction(enum.Enum):
    """What an order tells a target to do."""

    LOAD = "load"
    UNLOAD = "unload"


@dataclass(frozen=True)
class Order:
    """An order to load or unload an item at a target.

    Attributes
    ----------
    number : int
        Order number, unique and rising for each target.
    fence : int
        Fencing number of the lease under which the order was given.
    incarnation : str
        Incarnation of the target for which the order is meant.
    base : Item or None
        Base model of an adapter.
    expires_s : float
        Reading of the target's clock after which it must refuse the order;
        0 for none.
    """

    target: str
    incarnation: str
    number: int
    fence: int
    action: OrderAction
    item: Item
    memory_mb: int
    base: Item | None = None
    expires_s: float = 0.0


class OrderOutcome(enum.Enum):
    """Outcome of an order, as far as its sender knows."""

    DONE = "done"
    REFUSED = "refused"
    UNKNOWN = "unknown"


@dataclass(frozen=True)
class OrderResult:
    """Result of an order, as far as its sender knows."""

    order: Order
    outcome: OrderOutcome
    reason: str = ""


class AttemptReason(enum.StrEnum):
    """Why an attempt ended without a response."""

    BUSY = "busy"
    NOT_RESIDENT = "not-resident"
    REFUSED = "refused"
    CONNECT = "connect"
    BROKEN = "broken"
    DEADLINE = "deadline"
    CANCELLED = "cancelled"


@dataclass(frozen=True)
class AttemptEnd:
    """Result of an attempt at a target.

    Attributes
    ----------
    tokens : int
        Output tokens delivered by the attempt.
    first_token_s : float or None
        Time from dispatch to the first token, in seconds.
    reason : str
        An `AttemptReason` if the attempt failed, else empty.
    """

    request: Request
    target: str
    verdict: Verdict
    ok: bool
    tokens: int = 0
    first_token_s: float | None = None
    reason: str = field(default="", compare=False)


@dataclass(frozen=True)
class ItemDemand:
    """Demand for an item at one instance.

    Attributes
    ----------
    requests, tokens : int
        Totals since the start of the instance. They only rise, so a lost message
        does no harm.
    waiting : int
        Requests in the queue now.
    live : int
        Requests among them that are not overnight work.
    running : int
        Attempts in progress now, at any target.
    """

    item: Item
    requests: int
    tokens: int
    waiting: int = 0
    live: int = 0
    running: int = 0

    @property
    def counts(self) -> tuple[int, int, int, int, int]:
        """All counts, in the order of the fields."""
        return self.requests, self.tokens, self.waiting, self.live, self.running


@dataclass(frozen=True)
class Replica:
    """An item in the memory of a target."""

    target: str
    item: Item


@dataclass(frozen=True)
class InstanceLoad:
    """Load of an instance, as it reports it to its peers.

    Attributes
    ----------
    incarnation : str
        Identifies a run of the instance's process.
    sequence : int
        Rises with each message of an incarnation.
    in_flight : Mapping
        Attempts of the instance in progress, by target.
    shards : tuple of str
        Shards of targets whose leases it holds.
    retiring : tuple of Replica
        Replicas that it is about to unload; they get no new requests.
    """

    instance: str
    data_centre: str
    incarnation: str
    sequence: int
    in_flight: Mapping[str, int] = field(default_factory=dict)
    demand: tuple[ItemDemand, ...] = ()
    shards: tuple[str, ...] = ()
    retiring: tuple[Replica, ...] = ()
