"""State of one caller's request, and the errors that end it."""

from __future__ import annotations

from dataclasses import dataclass, field

from aiohttp import web

from marjoramstage._entry.quota_sync import RequestQuota
from marjoramstage.coordination.dispatcher import TargetCriteria
from marjoramstage.coordination.fair_shares import ShareClaim
from marjoramstage.coordination.request_cost import WorkEstimate
from marjoramstage.platform import CallerHeaders
from marjoramstage.state.customers import Customer
from marjoramstage.state.routes import Route, RouteTable
from marjoramstage.transport.answer_buffers import AnswerWriter
from marjoramstage.transport.event_stream import StreamEvent

# An answer with one of these statuses promises that the request did not run.
NOT_RUN_STATUSES = frozenset((408, 421, 429, 503))


@dataclass
class RequestContext:
    """State of one request of a caller.

    Attributes
    ----------
    arrived_s, deadline_s : float
        When it arrived and when its final answer is due, on the monotonic clock.
    possible_runs : int
        Attempts that may have run at a target.
    attempts : int
        Attempts that were sent, whether they ran or not.
    last_event_id : str
        Id of the last event that the caller has; empty if none.
    resp : web.StreamResponse or None
        The answer to the caller, once its head has been sent.
    resumable : bool
        What was relayed is a stream, and its last event, if any, had an id.
    first_event_s : float or None
        Time from arrival to the first event that was relayed.
    waited_s : float
        Time spent in the wait queue.
    last_event_s, pause_s : float
        When the last event was relayed, and the longest pause between two events.
    tried : list of str
        Targets to which it was sent.
    origin_kept_s : float or None
        When the version that began the stream was recorded last, if it was.
    target_software : str
        Version of the program of the last one.
    sent_s : float
        When the last attempt was begun.
    answer_began_s : float or None
        When the last attempt's target began to write the body of its answer.
    answer_writer : AnswerWriter or None
        Writes the answer, once its head has been sent.
    harmless : bool
        That target is known not to have crashed under it.
    customer : Customer or None
        Whose request it is.
    rank, urgency : int
        Its place among requests of other customers and routes, and what engines are
        told of it; 0 is the most urgent.
    checked_table : RouteTable or None
        The routes under which its key was checked last.
    estimate : WorkEstimate or None
        Its likely work there, if known.
    share_cost : float
        What it is charged to its customer's share; see `ShareClaim`.
    share_turn : int
        Turn of its customer in which it was when it last waited.
    quota : RequestQuota or None
        What it takes of its customer's quota.
    """

    req: web.BaseRequest
    route: Route
    service: str
    headers: CallerHeaders
    body: bytes | bytearray
    arrived_s: float
    deadline_s: float
    criteria: TargetCriteria
    possible_runs: int = 0
    attempts: int = 0
    last_event_id: str = ""
    resp: web.StreamResponse | None = None
    resumable: bool = False
    first_event_s: float | None = None
    waited_s: float = 0.0
    last_event_s: float = 0.0
    pause_s: float = 0.0
    tried: list[str] = field(default_factory=list)
    target_software: str = ""
    sent_s: float = 0.0
    answer_began_s: float | None = None
    harmless: bool = False
    answer_writer: AnswerWriter | None = None
    origin_kept_s: float | None = None
    customer: Customer | None = None
    rank: int = 0
    urgency: int = 0
    checked_table: RouteTable | None = None
    quota: RequestQuota | None = None
    estimate: WorkEstimate | None = None
    share_cost: float = 1.0
    share_turn: int = 0

    @property
    def claim(self) -> ShareClaim | None:
        """Return whose share it is charged to; None without customers."""
        table = self.checked_table
        if table is None or table.customers is None:
            return None
        name = self.customer.name if self.customer is not None else ""
        return ShareClaim(name, table.ranks.level(self.rank), self.share_cost)

    @property
    def resumes_stream(self) -> bool:
        """Whether its caller has a part of the stream from an earlier request."""
        return self.route.resumable and bool(self.headers.last_event_id)

    @property
    def stream_id(self) -> str:
        """Id of the request that got the first event of the stream."""
        return self.headers.resumes or self.headers.request_id

    @property
    def shared_parts(self) -> tuple[str, ...]:
        """Parts of the prompt that other requests may have; the last is its own."""
        return self.headers.parts[:-1]

    def begin_attempt(self, software: str, now_s: float) -> None:
        """Record that it is about to be sent to a target with this program."""
        self.target_software = software
        self.sent_s = now_s
        self.answer_began_s = None
        self.harmless = False

    def record_event(self, event: StreamEvent, now_s: float) -> None:
        """Record that events up to this one were relayed to the caller."""
        event_id = event.id
        self.last_event_id = event_id or self.last_event_id
        self.resumable = bool(event_id)
        if self.first_event_s is None:
            self.first_event_s = now_s - self.arrived_s
        else:
            self.pause_s = max(self.pause_s, now_s - self.last_event_s)
        self.last_event_s = now_s


class RefusalError(Exception):
    """This instance itself answers a request, with an error status.

    Parameters
    ----------
    status : int
        HTTP status; one of `NOT_RUN_STATUSES` only if the request has not run.
    reason : str
        Fixed name of the cause; also the body of the answer, a log field and a
        metric label.
    retry_after_s : float or None
        When the caller may retry, in seconds.
    """

    def __init__(self, status: int, reason: str, retry_after_s: float | None = None):
        super().__init__(reason)
        self.status = status
        self.reason = reason
        self.retry_after_s = retry_after_s


class TruncatedAnswerError(Exception):
    """An answer of which a part was sent cannot be completed."""

    def __init__(self, reason: str):
        super().__init__(reason)
        self.reason = reason
