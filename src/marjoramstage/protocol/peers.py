"""Messages between instances and their Thrift encoding."""

from __future__ import annotations

import enum
from collections.abc import Mapping
from dataclasses import dataclass, field

from marjoramstage.protocol._thrift import StructCodec, load_idl

PROTOCOL_VERSION = 1
MAX_FRAME_BYTES = 1_200_000


class MemberState(enum.IntEnum):
    """State of an instance; at equal incarnations a higher value wins."""

    ALIVE = 0
    LEAVING = 1
    LEFT = 2


@dataclass(frozen=True)
class Hello:
    """A step of the handshake.

    Attributes
    ----------
    nonce : bytes
        Fresh random bytes of the sender.
    proof : bytes
        Proof that the sender knows the shared secret; empty in the first step.
    """

    version: int
    instance: str
    data_centre: str
    nonce: bytes
    proof: bytes = b""


@dataclass(frozen=True)
class Head:
    """What was accepted last.

    Attributes
    ----------
    root : str
        Name of the root document.
    edit : str
        Id of the edit that was accepted.
    """

    generation: int
    root: str
    edit: str = ""


@dataclass(frozen=True)
class MemberEntry:
    """What is told of an instance.

    Attributes
    ----------
    incarnation : int
        Start of the instance, in milliseconds since the epoch.
    heartbeat : int
        Rises while the instance runs.
    generation : int
        Generation in force at the instance.
    address : str
        Peer address, or empty when the receiver is taken to know it.
    data_centre : str
        Empty for the data centre of the sender.
    """

    name: str
    incarnation: int
    heartbeat: int
    state: MemberState = MemberState.ALIVE
    generation: int = 0
    address: str = ""
    data_centre: str = ""


@dataclass(frozen=True)
class DataCentreSummary:
    """What a bridge tells other data centres of its own.

    Attributes
    ----------
    author : str
        The bridge; `incarnation` and `heartbeat` are its own and order its
        summaries.
    live : int
        Instances that are alive.
    generation : int
        Lowest generation in force at a live instance.
    behind : tuple of str
        Some live instances below the highest generation that is known.
    bridges : tuple of MemberEntry
        Instances that talk to other data centres.
    """

    data_centre: str
    author: str
    incarnation: int
    heartbeat: int
    live: int = 0
    generation: int = 0
    behind: tuple[str, ...] = ()
    bridges: tuple[MemberEntry, ...] = ()


@dataclass(frozen=True)
class LeavingTarget:
    """A target that gets no new work; any incarnation when that is empty."""

    target: str
    incarnation: str = ""


@dataclass(frozen=True)
class Gossip:
    """A round of gossip.

    Attributes
    ----------
    members : tuple of MemberEntry
        Instances of the sender's data centre.
    head : Head or None
        In force at the sender, which holds its documents.
    wants_answer : bool
        Whether the receiver is asked for a round of its own.
    """

    sender: MemberEntry
    members: tuple[MemberEntry, ...] = ()
    summaries: tuple[DataCentreSummary, ...] = ()
    leaving: tuple[LeavingTarget, ...] = ()
    head: Head | None = None
    wants_answer: bool = False


@dataclass(frozen=True)
class DemandEntry:
    """Demand for an item; fields as in `messages.ItemDemand`."""

    name: str
    version: str
    requests: int = 0
    tokens: int = 0
    waiting: int = 0
    live: int = 0
    running: int = 0


@dataclass(frozen=True)
class CopyEntry:
    """A copy on a target; fields as in `messages.CopyOnTarget`."""

    target: str
    name: str
    version: str


@dataclass(frozen=True)
class Load:
    """Load of the sender; fields as in `messages.InstanceLoad`."""

    instance: str
    data_centre: str
    incarnation: str
    sequence: int
    in_flight: Mapping[str, int] = field(default_factory=dict)
    demand: tuple[DemandEntry, ...] = ()
    shards: tuple[str, ...] = ()
    retiring: tuple[CopyEntry, ...] = ()


@dataclass(frozen=True)
class Rumour:
    """News that is passed on at once, before the next round of gossip."""

    sender: MemberEntry
    head: Head | None = None
    leaving: tuple[LeavingTarget, ...] = ()
    members: tuple[MemberEntry, ...] = ()


@dataclass(frozen=True)
class DocumentsAsked:
    """The sender needs documents, by name."""

    sender: MemberEntry
    names: tuple[str, ...]


@dataclass(frozen=True)
class NamedDocument:
    """A document; its name is the SHA-256 of its content.

    Between peers the content is compressed by zlib, at the platform it is not.
    """

    name: str
    content: bytes


@dataclass(frozen=True)
class DocumentsSent:
    """Documents that were asked for, and names that the sender lacks."""

    sender: MemberEntry
    documents: tuple[NamedDocument, ...] = ()
    missing: tuple[str, ...] = ()


@dataclass(frozen=True)
class AdapterWanted:
    """An adapter is wanted on a target.

    Attributes
    ----------
    shard : str
        Shard of the target.
    hops : int
        Instances that passed the message on.
    """

    target: str
    name: str
    version: str
    shard: str = ""
    hops: int = 0


@dataclass(frozen=True)
class EntryReport:
    """What an instance tells the holder of the placement lease.

    Attributes
    ----------
    waiting : Mapping
        Requests that wait now, by service and item, joined by a space.
    running : Mapping
        Requests at targets now, by target and item.
    fast_rates, slow_rates : Mapping
        Requests for each model in a thousand seconds, by service and model,
        over a short and a long time.
    pressing_rates : Mapping
        Those that can't wait for a load, over a very long time.
    unreached : tuple of str
        Targets that the sender could not connect to lately.
    """

    instance: str
    address: str
    incarnation: str
    sequence: int
    waiting: Mapping[str, int] = field(default_factory=dict)
    running: Mapping[str, int] = field(default_factory=dict)
    fast_rates: Mapping[str, int] = field(default_factory=dict)
    slow_rates: Mapping[str, int] = field(default_factory=dict)
    pressing_rates: Mapping[str, int] = field(default_factory=dict)
    unreached: tuple[str, ...] = ()


@dataclass(frozen=True)
class HeldItems:
    """What a target can be sent now.

    Attributes
    ----------
    items : tuple of str
        Models and adapters that it holds and that are not on their way out.
    running_elsewhere : int
        Requests that other instances than the receiver have there.
    """

    target: str
    incarnation: int
    items: tuple[str, ...] = ()
    running_elsewhere: int = 0


@dataclass(frozen=True)
class FleetView:
    """What the holder of the placement lease tells an instance.

    Attributes
    ----------
    coming_ms : Mapping
        When items that are wanted are likely to come, in milliseconds, by
        service and item.
    ended : bool
        The sender gives no more orders, another may take the lease.
    peers : tuple of str
        Addresses of the instances that reported lately.
    """

    holder: str
    fence: int
    sequence: int
    instances: int
    held: tuple[HeldItems, ...] = ()
    coming_ms: Mapping[str, int] = field(default_factory=dict)
    ended: bool = False
    peers: tuple[str, ...] = ()


@dataclass(frozen=True)
class PromptsSent:
    """Prompts that the sender sent to targets since it told last.

    Attributes
    ----------
    tokens : Mapping
        Tokens for each target.
    """

    instance: str
    tokens: Mapping[str, int] = field(default_factory=dict)


PeerMessage = (
    Hello
    | Gossip
    | Load
    | Rumour
    | DocumentsAsked
    | DocumentsSent
    | AdapterWanted
    | EntryReport
    | FleetView
    | PromptsSent
)

_MESSAGES = {
    "hello": Hello,
    "gossip": Gossip,
    "load": Load,
    "rumour": Rumour,
    "documents_asked": DocumentsAsked,
    "documents_sent": DocumentsSent,
    "adapter_wanted": AdapterWanted,
    "entry_report": EntryReport,
    "fleet_view": FleetView,
    "prompts_sent": PromptsSent,
}
_STRUCT_NAMES = {DemandEntry: "ItemDemand"}
_CODEC = StructCodec(load_idl("peers.thrift"), _MESSAGES, _STRUCT_NAMES)


def encode(message: PeerMessage) -> bytes:
    """Return the payload of a frame."""
    return _CODEC.encode(message)


def decode(payload: bytes) -> PeerMessage:
    """Read the payload of a frame.

    Raises
    ------
    PeerError
        The payload is not one message of this protocol.
    """
    return _CODEC.decode(payload)
