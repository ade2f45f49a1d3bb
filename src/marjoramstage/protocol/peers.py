"""Messages between instances and their Thrift encoding."""

from __future__ import annotations

import enum
from collections.abc import Mapping
from dataclasses import dataclass, field

from marjoramstage.protocol import _peers_structs
from marjoramstage.protocol._thrift import StructCodec

PROTOCOL_VERSION = 1
MAX_FRAME_BYTES = 1_200_000


class MemberState(enum.IntEnum):
    """State of an instance; of equal incarnations, the higher value applies."""

    ALIVE = 0
    LEAVING = 1
    LEFT = 2


@dataclass(frozen=True)
class Hello:
    """A message of the handshake.

    Attributes
    ----------
    nonce : bytes
        Random bytes, new for each handshake.
    proof : bytes
        Proof that the sender knows the shared secret; empty in the first message.
    """

    version: int
    instance: str
    data_centre: str
    nonce: bytes
    proof: bytes = b""


@dataclass(frozen=True)
class Head:
    """The latest accepted generation of the inventory.

    Attributes
    ----------
    root : str
        Name of the root document.
    edit : str
        ID of the edit that was accepted.
    """

    generation: int
    root: str
    edit: str = ""


@dataclass(frozen=True)
class MemberEntry:
    """State of an instance, as gossip carries it.

    Attributes
    ----------
    incarnation : int
        Start of the instance, in milliseconds since the epoch.
    heartbeat : int
        Counter that rises while the instance runs.
    generation : int
        Inventory generation that the instance applies.
    address : str
        Peer address; empty if the receiver is expected to know it.
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
    """Summary of a data centre, sent by a bridge to other data centres.

    Attributes
    ----------
    author : str
        The bridge; its `incarnation` and `heartbeat` order its summaries.
    live : int
        Number of instances that are alive.
    generation : int
        Lowest generation that a live instance applies.
    behind : tuple of str
        Some live instances that apply less than the highest known generation.
    bridges : tuple of MemberEntry
        Instances that exchange gossip with other data centres.
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
    """A target that gets no new work, in every incarnation if none is given."""

    target: str
    incarnation: str = ""


@dataclass(frozen=True)
class Gossip:
    """The message of a gossip round.

    Attributes
    ----------
    members : tuple of MemberEntry
        Instances of the sender's data centre.
    head : Head or None
        Generation that the sender applies; it has all documents of it.
    wants_answer : bool
        Whether the receiver is to reply with gossip of its own.
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
    """A replica on a target; fields as in `messages.Replica`."""

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
    """An update that is forwarded at once, before the next gossip round."""

    sender: MemberEntry
    head: Head | None = None
    leaving: tuple[LeavingTarget, ...] = ()
    members: tuple[MemberEntry, ...] = ()


@dataclass(frozen=True)
class DocumentsAsked:
    """Request for documents by name."""

    sender: MemberEntry
    names: tuple[str, ...]


@dataclass(frozen=True)
class NamedDocument:
    """A document; its name is the SHA-256 of its content.

    The content is compressed with zlib between peers, but not at the platform.
    """

    name: str
    content: bytes


@dataclass(frozen=True)
class DocumentsSent:
    """The requested documents, and the names of those that the sender lacks."""

    sender: MemberEntry
    documents: tuple[NamedDocument, ...] = ()
    missing: tuple[str, ...] = ()


@dataclass(frozen=True)
class AdapterWanted:
    """Request to load an adapter on a target.

    Attributes
    ----------
    shard : str
        Shard of the target.
    hops : int
        Number of instances that forwarded the message.
    """

    target: str
    name: str
    version: str
    shard: str = ""
    hops: int = 0


@dataclass(frozen=True)
class BegunStreams:
    """Streams that one version of a target's program began.

    Attributes
    ----------
    digests : tuple of str
        Digests of the ids of the streams.
    """

    software: str
    digests: tuple[str, ...] = ()


@dataclass(frozen=True)
class LimitedTarget:
    """What the sender knows of a target that names or named a limit.

    Attributes
    ----------
    limit_per_1000_s : int
        Requests that it takes in a thousand seconds from all instances together.
    ended : bool
        It names a limit no more.
    age_ms : int
        Time since the answer that said so, in milliseconds.
    waiting : int
        Requests that wait for it: of the sender in a report, of all in a view.
    oldest_ms : int
        How long the oldest of the sender's waiting requests has waited, in
        milliseconds.
    wanted, used, expired : int
        Since the sender's last report: requests that it could have served, and
        permits that were used or not used in time.
    """

    target: str
    incarnation: int
    limit_per_1000_s: int = 0
    ended: bool = False
    age_ms: int = 0
    waiting: int = 0
    wanted: int = 0
    used: int = 0
    expired: int = 0
    oldest_ms: int = 0

    @property
    def limit_per_s(self) -> float | None:
        """Return requests a second; None if the limit has ended."""
        return None if self.ended else self.limit_per_1000_s * 0.001


@dataclass(frozen=True)
class TargetPermits:
    """Permits for requests to one target; each is for one request."""

    target: str
    incarnation: int
    count: int


@dataclass(frozen=True)
class PermitsIssued:
    """Permits that the holder of the placement lease issues to the receiver."""

    holder: str
    fence: int
    permits: tuple[TargetPermits, ...] = ()


@dataclass(frozen=True)
class QuotaUse:
    """An instance's part in the quota of one customer, in units of the quota.

    Attributes
    ----------
    held : int
        What it may have sent in any window, by its allowance or its use.
    used : int
        What it sent in the window that ends now, or is about to send.
    wanted : int
        What its requests in that window cost, refused ones too.
    asked : int
        What its requests cost that wait for a larger allowance.
    largest : int
        What the largest of its requests of late cost.
    """

    customer: str
    held: int = 0
    used: int = 0
    wanted: int = 0
    asked: int = 0
    largest: int = 0


@dataclass(frozen=True)
class QuotaTotal:
    """Use of one customer's quota by all instances, in units of the quota.

    Attributes
    ----------
    used : int
        What was sent in the last window.
    free : int
        What no instance holds.
    """

    customer: str
    used: int = 0
    free: int = 0


@dataclass(frozen=True)
class QuotaAllowance:
    """What the receiver may send for one customer in any window.

    Attributes
    ----------
    free : int
        What no instance holds.
    """

    customer: str
    units: int = 0
    free: int = 0


@dataclass(frozen=True)
class QuotaGrants:
    """Allowances of the receiver, from the holder of the placement lease.

    Attributes
    ----------
    number : int
        Increases with each such message of a holder.
    sequence : int
        Of the report that it answers.
    instances : int
        Number of instances that may have allowances.
    """

    holder: str
    fence: int
    number: int
    sequence: int
    instances: int
    allowances: tuple[QuotaAllowance, ...] = ()


@dataclass(frozen=True)
class EntryReport:
    """Report of an instance to the holder of the placement lease.

    Attributes
    ----------
    waiting : Mapping
        Requests waiting now, by service and item, joined by a space.
    running : Mapping
        Requests running at targets now, by target and item.
    fast_rates, slow_rates : Mapping
        Requests per thousand seconds, by service and model, averaged over a
        short and a long time.
    pressing_rates : Mapping
        Rates of latency-critical requests, which cannot wait for a model load,
        averaged over a very long time.
    unreached : tuple of str
        Targets to which the sender recently failed to connect.
    leaving : tuple of LeavingTarget
        Targets that told the sender that they leave.
    resuming : Mapping
        Those of ``waiting`` that resume a stream, by service, item and version of
        the target's program, joined by spaces.
    begun : tuple of BegunStreams
        Streams that the sender relayed recently, while several versions run.
    limited : tuple of LimitedTarget
        Targets that name a limit or did so recently.
    quota_use : bytes
        Its part in the quotas of customers with use, packed by `quota_uses`.
    quota_grant : int
        Number of the last grants that it received of the current holder.
    quota_instances : int
        Number of instances as grants told last; 0 if none did.
    config_version : int
        Newest version of a configuration with customers that is known to be in
        force anywhere; 0 if none.
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
    leaving: tuple[LeavingTarget, ...] = ()
    resuming: Mapping[str, int] = field(default_factory=dict)
    begun: tuple[BegunStreams, ...] = ()
    limited: tuple[LimitedTarget, ...] = ()
    quota_use: bytes = b""
    quota_grant: int = 0
    quota_instances: int = 0
    config_version: int = 0


@dataclass(frozen=True)
class HeldItems:
    """Items for which a target can be sent requests now.

    Attributes
    ----------
    items : tuple of str
        Models and adapters that it has loaded and that are not being retired.
    running : int
        Requests running there, as all instances together reported last.
    """

    target: str
    incarnation: int
    items: tuple[str, ...] = ()
    running: int = 0


@dataclass(frozen=True)
class StoreProgress:
    """How much the sender knows of one kind of objects in the platform's store.

    Attributes
    ----------
    kind : str
        Plural of the kind.
    era : int
        Era of the store that the revisions belong to.
    changed : int
        Revision of the last change that matters to other instances.
    revision : int
        Revision up to which nothing has changed since.
    age_ms : int
        Time since the store confirmed that, in milliseconds.
    """

    kind: str
    era: int
    changed: int
    revision: int
    age_ms: int


@dataclass(frozen=True)
class StoreChanges:
    """Changes of one kind of objects in the platform's store.

    They are the same whoever sends them: all that changed after ``since`` and up
    to ``revision`` in one era.

    Attributes
    ----------
    kind : str
        Plural of the kind.
    certain : bool
        Whether removed objects are gone for good; after an outage of the store
        they may be written again.
    content : bytes
        Objects, encoded by `store_changes`.
    """

    kind: str
    era: int
    since: int
    revision: int
    certain: bool = True
    content: bytes = b""


@dataclass(frozen=True)
class FleetView:
    """View of the fleet, sent by the holder of the placement lease.

    Attributes
    ----------
    coming_ms : Mapping
        Estimated time until requested items are loaded, in milliseconds, by
        service and item.
    ended : bool
        Whether the sender has stopped giving orders, so that another instance
        may take the lease.
    peers : tuple of str
        Addresses of the instances that reported recently; empty if there are many.
    reported : Mapping
        Number of the report of each instance that `held` counts; empty if there
        are many.
    store : tuple of StoreProgress
        What the sender knows of the platform's store.
    partial : bool
        Only ``held`` counts, without numbers of requests, and for the targets that
        it lists: what they hold has changed since the view before.
    keeps_origins : bool
        Whether the sender stores the streams that reports name.
    limited : tuple of LimitedTarget
        Targets that name a limit or did so recently.
    quota_use : tuple of QuotaTotal
        Use of the quotas of customers with use.
    config_version : int
        As in reports.
    """

    holder: str
    fence: int
    sequence: int
    instances: int
    held: tuple[HeldItems, ...] = ()
    coming_ms: Mapping[str, int] = field(default_factory=dict)
    ended: bool = False
    peers: tuple[str, ...] = ()
    reported: Mapping[str, int] = field(default_factory=dict)
    store: tuple[StoreProgress, ...] = ()
    partial: bool = False
    keeps_origins: bool = False
    limited: tuple[LimitedTarget, ...] = ()
    quota_use: tuple[QuotaTotal, ...] = ()
    config_version: int = 0


@dataclass(frozen=True)
class PromptsSent:
    """Prompts that the sender sent to targets since its last such message.

    Attributes
    ----------
    tokens : Mapping
        Prompt tokens that targets have to read, by target.
    work_ms : Mapping
        Likely decode time of those requests whose work is known, by target.
    """

    instance: str
    tokens: Mapping[str, int] = field(default_factory=dict)
    work_ms: Mapping[str, int] = field(default_factory=dict)


@dataclass(frozen=True)
class StreamOriginAsked:
    """Asks which version of a target's program began a stream.

    Attributes
    ----------
    request_id : str
        Of the request that got the first event of the stream.
    address : str
        Where the sender takes the answer.
    """

    request_id: str
    address: str


@dataclass(frozen=True)
class StreamOriginTold:
    """Tells which version of a target's program began a stream."""

    request_id: str
    software: str


@dataclass(frozen=True)
class CrashedRequest:
    """A request that may have crashed its target.

    Attributes
    ----------
    parts : tuple of str
        Parts of its prompt, without the last.
    sent_ago_ms : int
        Time from its sending to the crash, in milliseconds.
    """

    request_id: str
    parts: tuple[str, ...]
    sent_ago_ms: int


@dataclass(frozen=True)
class TargetCrashed:
    """A crash of a target, with requests of the sender that it broke off.

    Attributes
    ----------
    age_ms : int
        Time since the crash, in milliseconds.
    """

    target: str
    incarnation: int
    age_ms: int
    requests: tuple[CrashedRequest, ...] = ()


@dataclass(frozen=True)
class PartsHarmless:
    """Parts of prompts on which targets wrote answers without a crash.

    Attributes
    ----------
    ages_ms : Mapping
        Time since a target began to write, in milliseconds, by part.
    """

    ages_ms: Mapping[str, int] = field(default_factory=dict)


@dataclass(frozen=True)
class QuarantinedParts:
    """Parts of prompts; requests that have all of them crash targets.

    Attributes
    ----------
    age_ms : int
        Time since the last such crash, in milliseconds.
    """

    parts: tuple[str, ...]
    age_ms: int


@dataclass(frozen=True)
class PartsQuarantined:
    """The quarantines that the sender knows.

    Attributes
    ----------
    address : str
        Of the sender, which is told if they are out of date.
    """

    quarantines: tuple[QuarantinedParts, ...]
    address: str = ""


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
    | StreamOriginAsked
    | StreamOriginTold
    | StoreChanges
    | TargetCrashed
    | PartsHarmless
    | PartsQuarantined
    | PermitsIssued
    | QuotaGrants
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
    "stream_origin_asked": StreamOriginAsked,
    "stream_origin_told": StreamOriginTold,
    "store_changes": StoreChanges,
    "target_crashed": TargetCrashed,
    "parts_harmless": PartsHarmless,
    "parts_quarantined": PartsQuarantined,
    "permits_issued": PermitsIssued,
    "quota_grants": QuotaGrants,
}
_STRUCT_NAMES = {DemandEntry: "ItemDemand"}
_CODEC = StructCodec(_peers_structs, _MESSAGES, _STRUCT_NAMES)


def encode(message: PeerMessage) -> bytes:
    """Return the payload of a frame."""
    return _CODEC.encode(message)


def decode(payload: bytes) -> PeerMessage:
    """Decode the payload of a frame.

    Raises
    ------
    PeerError
        The payload is not a single message of this protocol.
    """
    return _CODEC.decode(payload)
