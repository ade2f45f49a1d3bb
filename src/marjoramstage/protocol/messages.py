"""Requests, orders and reports as the parts pass them to each other."""

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
    """How urgent a request is; a lower value goes first."""

    URGENT = 0
    INTERACTIVE = 1
    OVERNIGHT = 2


@dataclass(frozen=True, order=True)
class Item:
    """Something that a target's memory can hold.

    Attributes
    ----------
    name : str
        Name of a model or an adapter.
    version : str
        Version of it.
    """

    name: str
    version: str

    def __str__(self) -> str:
        """Return ``name@version``."""
        return f"{self.name}@{self.version}"


@dataclass(frozen=True)
class Request:
    """One request of a caller, as admission and routing see it.

    Attributes
    ----------
    id : str
        Unique in the deployment.
    kind : TargetKind
        What has to answer it.
    model : str
        Name of the model, or of the service.
    version : str or None
        Version that the caller insists on.
    adapter : str or None
        Name of the adapter.
    prompt_tokens, output_tokens : int
        Estimates, from the text's length and the caller's own limit.
    arrived_s, deadline_s : float
        Readings of the instance's monotonic clock.
    repeatable : bool
        Whether the request is idempotent.
    prefix : int
        Hash of the start of the prompt, for prefix affinity; 0 for none.
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
    def yields(self) -> bool:
        """Whether an attempt may be stopped for more urgent work."""
        return self.repeatable and self.request_class is RequestClass.OVERNIGHT


@dataclass(frozen=True)
class Target:
    """A target as the platform lists it.

    Attributes
    ----------
    address : str
        ``ip:port`` of its HTTP server.
    leaving : bool
        Whether it may get no new work.
    """

    name: str
    data_centre: str
    kind: TargetKind
    address: str
    leaving: bool = False


class ResidentState(enum.Enum):
    """State of an item in a target's memory."""

    LOADING = "loading"
    READY = "ready"
    UNLOADING = "unloading"


@dataclass(frozen=True)
class Resident:
    """An item in a target's memory, as the target reports it; MB."""

    item: Item
    memory_mb: int
    state: ResidentState


@dataclass(frozen=True)
class TargetReport:
    """What a target says about itself; it may be late and out of order.

    Attributes
    ----------
    incarnation : str
        New at each start of the target.
    sequence : int
        Rises with each report of one incarnation.
    memory_mb : int
        Accelerator memory in MB.
    slots : int
        Requests that it runs at once.
    running, waiting : int
        Requests inside it.
    fencing : bool
        Whether it refuses orders with an old fencing number.
    highest_fence : int
        Highest fencing number that it has seen.
    last_orders : tuple of int
        Numbers of the latest orders that it finished.
    expiry : bool
        Whether it refuses orders that are past their ``expires_s``.
    clock_s : float
        Reading of its own clock at the report, in seconds.
    started_s : float
        When the incarnation started; rises with each start.
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
    """What an order asks of a target."""

    LOAD = "load"
    UNLOAD = "unload"


@dataclass(frozen=True)
class Order:
    """An order to a target.

    Attributes
    ----------
    number : int
        Unique for the target, rising.
    fence : int
        Fencing number of the lease that the order was given under.
    incarnation : str
        Incarnation of the target that the order is meant for.
    base : Item or None
        The model under an adapter.
    expires_s : float
        Reading of the target's clock after which it is to refuse the order;
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
    """What the sender of an order learned."""

    DONE = "done"
    REFUSED = "refused"
    UNKNOWN = "unknown"


@dataclass(frozen=True)
class OrderAnswer:
    """The end of an order as its sender saw it."""

    order: Order
    outcome: OrderOutcome
    reason: str = ""


class AttemptReason(enum.StrEnum):
    """Why an attempt ended without its answer."""

    BUSY = "busy"
    NOT_RESIDENT = "not-resident"
    REFUSED = "refused"
    CONNECT = "connect"
    BROKEN = "broken"
    DEADLINE = "deadline"
    CANCELLED = "cancelled"


@dataclass(frozen=True)
class AttemptEnd:
    """The end of one attempt at a target.

    Attributes
    ----------
    tokens : int
        Output tokens that the attempt delivered.
    first_token_s : float or None
        Time from dispatch to the first token, in seconds.
    reason : str
        An `AttemptReason` when the attempt failed, else empty.
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
        Arrived since the instance started; only rise, so that a lost message
        loses nothing.
    waiting : int
        Requests in the queue now.
    live : int
        Those of them that are not overnight work.
    running : int
        Attempts under way now, at whatever target.
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
class CopyOnTarget:
    """An item in the memory of one target."""

    target: str
    item: Item


@dataclass(frozen=True)
class InstanceLoad:
    """What an instance tells its peers of its load.

    Attributes
    ----------
    incarnation : str
        New at each start of the instance.
    sequence : int
        Rises with each message of one incarnation.
    in_flight : Mapping
        Attempts of the instance by target.
    shards : tuple of str
        Shards of targets whose lease it holds.
    retiring : tuple of CopyOnTarget
        Copies that it is about to unload; they get no new work.
    """

    instance: str
    data_centre: str
    incarnation: str
    sequence: int
    in_flight: Mapping[str, int] = field(default_factory=dict)
    demand: tuple[ItemDemand, ...] = ()
    shards: tuple[str, ...] = ()
    retiring: tuple[CopyOnTarget, ...] = ()
