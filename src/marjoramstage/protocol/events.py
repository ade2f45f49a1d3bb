"""Events that the decision code handles, and the effects that it returns."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Protocol

from marjoramstage.protocol.leases import LeaseHeld, LeaseLost
from marjoramstage.protocol.messages import (
    AttemptEnd,
    InstanceLoad,
    Item,
    Order,
    OrderResult,
    Request,
    Target,
    TargetReport,
)
from marjoramstage.state.inventory import Inventory
from marjoramstage.state.ledger import Ledger


@dataclass(frozen=True)
class InventoryAccepted:
    """This instance applies a newer generation of the inventory."""

    generation: int
    inventory: Inventory


@dataclass(frozen=True)
class TargetListed:
    """The platform, a peer or an operator reports that a target exists."""

    target: Target


@dataclass(frozen=True)
class TargetGone:
    """A target is no longer listed, or its process is known to be dead."""

    target: str


@dataclass(frozen=True)
class TargetLeaving:
    """A target is leaving; its incarnation gets no new work.

    Attributes
    ----------
    incarnation : str
        The incarnation meant; empty for the current one.
    """

    target: str
    incarnation: str = ""


@dataclass(frozen=True)
class TargetReported:
    """A report of a target arrived."""

    report: TargetReport


@dataclass(frozen=True)
class RequestSubmitted:
    """A caller's request needs a target."""

    request: Request


@dataclass(frozen=True)
class RequestCancelled:
    """The caller of a waiting request disconnected."""

    request_id: str


@dataclass(frozen=True)
class AttemptEnded:
    """An attempt ended, with any outcome."""

    end: AttemptEnd


@dataclass(frozen=True)
class RetryRequested:
    """A request needs another target, as its attempt certainly did not run.

    Attributes
    ----------
    failed : tuple of str
        Targets that must not be chosen again.
    """

    request: Request
    failed: tuple[str, ...]


@dataclass(frozen=True)
class Tick:
    """Time has passed; deadlines and timers are checked."""


@dataclass(frozen=True)
class LedgerRead:
    """Current ledger at the platform, after a read or a successful write."""

    ledger: Ledger


@dataclass(frozen=True)
class LedgerWriteFailed:
    """A ledger was not written; its current value has to be read again."""

    target: str


@dataclass(frozen=True)
class OrderEnded:
    """An order was answered, or waiting for its answer was given up."""

    answer: OrderResult


@dataclass(frozen=True)
class InstanceLoadReported:
    """Load of this or another instance; may be late, or missing for a while."""

    load: InstanceLoad


@dataclass(frozen=True)
class InstanceGone:
    """An instance is dead or has left the deployment."""

    instance: str


@dataclass(frozen=True)
class AdapterLoadRequested:
    """An instance needs an adapter on a target that holds its base model."""

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
    | RetryRequested
    | Tick
    | LeaseHeld
    | LeaseLost
    | LedgerRead
    | LedgerWriteFailed
    | OrderEnded
    | InstanceLoadReported
    | InstanceGone
    | AdapterLoadRequested
)


@dataclass(frozen=True)
class Dispatch:
    """Send a request to a target.

    Attributes
    ----------
    served_as : str
        Name under which the target serves it, ``model@version`` with
        ``:adapter@version`` after it for an adapter, or the service's name.
    """

    request: Request
    target: str
    address: str
    served_as: str


@dataclass(frozen=True)
class Refuse:
    """Refuse a request, which has not run.

    Attributes
    ----------
    code : str
        Error code, such as ``queue-full`` or ``deadline``.
    retry_after_s : float
        Time after which the caller should retry, in seconds.
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
    """Write a ledger by conditional update, or create it if it has no version."""

    ledger: Ledger


@dataclass(frozen=True)
class SendOrder:
    """Send an order to its target; the written ledger has an entry for it."""

    order: Order
    address: str


@dataclass(frozen=True)
class Preempt:
    """Preempt an overnight attempt, as more urgent work needs its slot.

    Unless the caller already receives its response, the attempt is cancelled
    at the target and the request needs a target again (`RetryRequested`, with
    no failed target). Only idempotent requests are preempted.
    """

    request: Request
    target: str


@dataclass(frozen=True)
class RequestAdapterLoad:
    """Request that the lease holder of a target loads an adapter there.

    The holder handles it as `AdapterLoadRequested`; repeating it does no harm.
    """

    target: str
    item: Item


Effect = (
    Dispatch
    | Refuse
    | Preempt
    | ReadLedger
    | WriteLedger
    | SendOrder
    | RequestAdapterLoad
)


class StateMachine(Protocol):
    """Decision code that maps events to effects, with the time as an argument.

    A state machine owns its state and is driven by a single task. It uses no
    clock and no source of randomness, so that the running instance, the tests
    and the replays run the same code.
    """

    def handle(self, event: Event, now_s: float) -> list[Effect]:
        """Handle an event; return the effects to perform now, in order."""
