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
    """A message from another instance arrived."""

    message: PeerMessage


@dataclass(frozen=True)
class HeadSeen:
    """A read or the watch of the platform returned this head."""

    head: Head


@dataclass(frozen=True)
class HeadReadFailed:
    """A read of the head failed or found no head."""


@dataclass(frozen=True)
class WatchEnded:
    """The watch of the head ended for any reason."""


@dataclass(frozen=True)
class DocumentsRead:
    """A read of documents returned; some documents may be missing."""

    documents: tuple[NamedDocument, ...]


@dataclass(frozen=True)
class InstancesListed:
    """The platform's list of instances, which may be outdated."""

    entries: tuple[MemberEntry, ...]


@dataclass(frozen=True)
class LeavingDetected:
    """This instance detected that a target is leaving."""

    leaving: LeavingTarget


@dataclass(frozen=True)
class OwnLoadChanged:
    """The current load of this instance."""

    load: InstanceLoad


@dataclass(frozen=True)
class AdapterNeeded:
    """This instance needs an adapter loaded on a target of a shard."""

    target: str
    item: Item
    shard: str


@dataclass(frozen=True)
class StopRequested:
    """This instance begins a planned stop."""


@dataclass(frozen=True)
class NodeTick:
    """Periodic timer event."""


NodeEvent = (
    PeerReceived
    | HeadSeen
    | HeadReadFailed
    | WatchEnded
    | DocumentsRead
    | InstancesListed
    | LeavingDetected
    | OwnLoadChanged
    | AdapterNeeded
    | StopRequested
    | NodeTick
)


@dataclass(frozen=True)
class SendPeer:
    """Send a message to another instance; delivery is not guaranteed."""

    address: str
    message: PeerMessage


@dataclass(frozen=True)
class ReadHead:
    """Read the head from the platform."""


@dataclass(frozen=True)
class WatchHead:
    """Watch the head on the platform until the watch ends or is stopped."""


@dataclass(frozen=True)
class StopWatch:
    """Stop the watch of the head."""


@dataclass(frozen=True)
class ReadDocuments:
    """Read documents from the platform."""

    names: tuple[str, ...]


@dataclass(frozen=True)
class Emit:
    """Pass an event to the other state machines of this instance."""

    event: Event


NodeEffect = SendPeer | ReadHead | WatchHead | StopWatch | ReadDocuments | Emit
