"""Events that the decision code handles, and the effects it asks for."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Protocol

from marjoramstage.protocol.leases import LeaseHeld, LeaseLost
from marjoramstage.protocol.messages import (
    AttemptEnd,
    InstanceLoad,
    Item,
    Order,
    OrderAnswer,
    Request,
    Target,
    TargetReport,
)
from marjoramstage.state.inventory import Inventory
from marjoramstage.state.ledger import Ledger


@dataclass(frozen=True)
class InventoryAccepted:
    """A newer generation of the inventory is in force here."""

    generation: int
    inventory: Inventory


@dataclass(frozen=True)
class TargetListed:
    """The platform, a peer or an operator says that a target is there."""

    target: Target


@dataclass(frozen=True)
class TargetGone:
    """A target is no longer listed, or its process is known to be dead."""

    target: str


@dataclass(frozen=True)
class TargetLeaving:
    """A target leaves; it gets no new work in this incarnation.

    Attributes
    ----------
    incarnation : str
        Which one it is; empty for the present one.
    """

    target: str
    incarnation: str = ""


@dataclass(frozen=True)
class TargetReported:
    """A report of a target arrived."""

    report: TargetReport


@dataclass(frozen=True)
class RequestSubmitted:
    """A caller's request asks for a target."""

    request: Request


@dataclass(frozen=True)
class RequestCancelled:
    """The caller of a waiting request left."""

    request_id: str


@dataclass(frozen=True)
class AttemptEnded:
    """An attempt ended, whatever its outcome."""

    end: AttemptEnd


@dataclass(frozen=True)
class RetryAsked:
    """A request whose attempt is proved not to have run wants another target.

    Attributes
    ----------
    failed : tuple of str
        Targets that are not to be taken again.
    """

    request: Request
    failed: tuple[str, ...]


@dataclass(frozen=True)
class Tick:
    """Time went on."""


@dataclass(frozen=True)
class LedgerRead:
    """The platform holds this ledger, after a read or a successful write."""

    ledger: Ledger


@dataclass(frozen=True)
class LedgerWriteFailed:
    """A ledger could not be written; its true value has to be read again."""

    target: str


@dataclass(frozen=True)
class OrderEnded:
    """An order was answered, or its answer is given up."""

    answer: OrderAnswer


@dataclass(frozen=True)
class InstanceLoaded:
    """What this or another instance tells of its load; late and with gaps."""

    load: InstanceLoad


@dataclass(frozen=True)
class InstanceGone:
    """An instance is dead or has left."""

    instance: str


@dataclass(frozen=True)
class AdapterAsked:
    """An instance wants an adapter on a target that holds its model."""

    target: str
    item: Item


Event = (
    InventoryAccepted
    | TargetListed
    | TargetGone
    | TargetLeaving
    | TargetReported
    | RequestSubmitted
    | RequestCancelled
    | AttemptEnded
    | RetryAsked
    | Tick
    | LeaseHeld
    | LeaseLost
    | LedgerRead
    | LedgerWriteFailed
    | OrderEnded
    | InstanceLoaded
    | InstanceGone
    | AdapterAsked
)


@dataclass(frozen=True)
class Dispatch:
    """Send the request to this target.

    Attributes
    ----------
    served_as : str
        Name that the target knows: ``model@version[:adapter@version]``, or
        the name of the service.
    """

    request: Request
    target: str
    address: str
    served_as: str


@dataclass(frozen=True)
class Refuse:
    """Answer the request at once: it was given up and has not run.

    Attributes
    ----------
    code : str
        Reason, such as ``queue-full`` or ``deadline``.
    retry_after_s : float
        When the caller should come back, in seconds.
    """

    request: Request
    status: int
    code: str
    message: str
    retry_after_s: float


@dataclass(frozen=True)
class ReadLedger:
    """Read the ledger of a target from the platform."""

    target: str


@dataclass(frozen=True)
class WriteLedger:
    """Write a ledger by conditional update (or creation, without version)."""

    ledger: Ledger


@dataclass(frozen=True)
class SendOrder:
    """Send an order to its target; its entry is in the written ledger."""

    order: Order
    address: str


@dataclass(frozen=True)
class Withdraw:
    """Stop an overnight attempt, as more urgent work needs its slot.

    Unless its answer has begun to reach the caller, the attempt is cancelled
    at the target and the request asks for a target again (`RetryAsked`,
    without a failed one). Only idempotent requests are withdrawn.
    """

    request: Request
    target: str


@dataclass(frozen=True)
class AskAdapter:
    """Ask the lease holder of a target to load an adapter there.

    The holder takes it in as `AdapterAsked`; asking again does no harm.
    """

    target: str
    item: Item


Effect = (
    Dispatch | Refuse | Withdraw | ReadLedger | WriteLedger | SendOrder | AskAdapter
)


class Machine(Protocol):
    """Decision code: events in, effects out, time as an argument.

    A machine owns its state and is driven by one task only. It reads neither
    clocks nor random sources, so the running instance, the tests and the
    replays drive the same code.
    """

    def handle(self, event: Event, now_s: float) -> list[Effect]:
        """Take one event in; return what has to be done now, in order."""
