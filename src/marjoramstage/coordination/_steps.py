"""Events and effects of the configuration node."""

from __future__ import annotations

from dataclasses import dataclass

from marjoramstage.protocol.events import Event
from marjoramstage.protocol.messages import InstanceLoad, Item
from marjoramstage.protocol.peers import (
    Head,
    LeavingTarget,
    MemberEntry,
    NamedDocument,
    PeerMessage,
)


@dataclass(frozen=True)
class PeerReceived:
    """A message of another instance arrived."""

    message: PeerMessage


@dataclass(frozen=True)
class HeadSeen:
    """The platform gave this head, by a read or by the watch."""

    head: Head


@dataclass(frozen=True)
class HeadMissed:
    """A read of the head failed, or there is none yet."""


@dataclass(frozen=True)
class WatchEnded:
    """The watch of the head ended, for whatever reason."""


@dataclass(frozen=True)
class DocumentsRead:
    """The platform gave documents; some may be missing."""

    documents: tuple[NamedDocument, ...]


@dataclass(frozen=True)
class InstancesListed:
    """The platform's lagging list of instances."""

    entries: tuple[MemberEntry, ...]


@dataclass(frozen=True)
class LeavingLearned:
    """This instance learned by itself that a target leaves."""

    leaving: LeavingTarget


@dataclass(frozen=True)
class LoadTold:
    """The load that this instance has now."""

    load: InstanceLoad


@dataclass(frozen=True)
class AdapterNeeded:
    """This instance wants an adapter on a target of a shard."""

    target: str
    item: Item
    shard: str


@dataclass(frozen=True)
class StopPlanned:
    """This instance begins a planned stop."""


@dataclass(frozen=True)
class NodeTick:
    """Time went on."""


NodeEvent = (
    PeerReceived
    | HeadSeen
    | HeadMissed
    | WatchEnded
    | DocumentsRead
    | InstancesListed
    | LeavingLearned
    | LoadTold
    | AdapterNeeded
    | StopPlanned
    | NodeTick
)


@dataclass(frozen=True)
class SendPeer:
    """Send a message to another instance; it may be lost."""

    address: str
    message: PeerMessage


@dataclass(frozen=True)
class ReadHead:
    """Read the head from the platform."""


@dataclass(frozen=True)
class WatchHead:
    """Follow the head at the platform until it ends by itself or is stopped."""


@dataclass(frozen=True)
class StopWatch:
    """End the watch of the head."""


@dataclass(frozen=True)
class ReadDocuments:
    """Read documents from the platform."""

    names: tuple[str, ...]


@dataclass(frozen=True)
class Emit:
    """Hand an event to the other machines of this instance."""

    event: Event


NodeEffect = SendPeer | ReadHead | WatchHead | StopWatch | ReadDocuments | Emit
