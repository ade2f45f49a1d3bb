"""Records how requests and attempts ended, in the log and in the metrics."""

from __future__ import annotations

import enum

from aiohttp import web

from marjoramstage import platform
from marjoramstage._entry.instance_state import InstanceState
from marjoramstage._entry.prometheus_metrics import PrometheusMetrics
from marjoramstage._entry.request_context import RequestContext
from marjoramstage.exceptions import TargetError
from marjoramstage.state.fleet import FleetTarget
from marjoramstage.transport.event_stream import EventSplitter
from marjoramstage.transport.framing import Framing
from marjoramstage.transport.target_client import TargetResponse

ANSWERED = "answered"
MAX_LOGGED_PARTS = 16


class OriginSource(enum.Enum):
    """How the version that began a stream became known.

    Attributes
    ----------
    OWN
        This instance relayed the stream.
    SOLE
        All targets have run one version of late.
    TOLD
        Another instance told it.
    STORED
        An instance had stored it, perhaps before it was killed.
    UNKNOWN
        It did not.
    """

    OWN = "own"
    SOLE = "sole"
    TOLD = "told"
    STORED = "stored"
    UNKNOWN = "unknown"


class RequestLog:
    """Writes the log lines and counts of requests."""

    def __init__(self, state: InstanceState, metrics: PrometheusMetrics):
        self._state = state
        self._metrics = metrics

    def answer_ended(
        self, ctx: RequestContext, answer: TargetResponse, splitter: EventSplitter
    ) -> None:
        """Record how a target's answer ended, if only its connection marks that.

        Parameters
        ----------
        splitter : EventSplitter
            The events of the answer; unused if it is no event stream.
        """
        inside_event = splitter.inside_event
        self._metrics.answers.labels(
            answer.framing.value,
            answer.connection_end.value,
            "yes" if inside_event else "no",
        ).inc()
        if answer.framing is not Framing.CONNECTION and not inside_event:
            return
        self._state.events.event(
            "answer ended",
            request=ctx.headers.request_id,
            target=ctx.tried[-1],
            framing=answer.framing.value,
            connection=answer.connection_end.value,
            bytes=answer.body_bytes,
            events=splitter.count,
            last_event=splitter.last_event.id if splitter.last_event else "",
            incomplete_bytes=len(splitter.incomplete),
        )

    def resume_requested(
        self, ctx: RequestContext, software: str, source: OriginSource
    ) -> None:
        """Record that a caller resumes a stream."""
        self._metrics.resume_requests.labels(source.value).inc()
        self._state.events.event(
            "resume requested",
            request=ctx.headers.request_id,
            resumes=ctx.headers.resumes,
            after=ctx.headers.last_event_id,
            software=software,
            source=source.value,
        )

    def attempt_failed(
        self, ctx: RequestContext, target: FleetTarget, exc: TargetError
    ) -> None:
        """Record an attempt that failed."""
        self._metrics.failed_attempts.labels(exc.reason or "failed").inc()
        began_s = ctx.answer_began_s
        writing_s = None if began_s is None else self._state.clock.now() - began_s
        self._state.events.event(
            "attempt failed",
            request=ctx.headers.request_id,
            target=target.name,
            reason=str(exc),
            verdict=exc.verdict.value,
            attempt=ctx.attempts,
            writing_ms=None if writing_s is None else round(writing_s * 1000, 1),
            parts=ctx.shared_parts[:MAX_LOGGED_PARTS],
        )

    def attempt_timed_out(self) -> None:
        """Record an attempt that did not end in time."""
        self._metrics.failed_attempts.labels("timeout").inc()

    def request_ended(
        self,
        req: web.BaseRequest,
        ctx: RequestContext | None,
        arrived_s: float,
        outcome: str,
    ) -> None:
        """Record the end of a request."""
        took_s = self._state.clock.now() - arrived_s
        self._metrics.observe_request(ctx.route if ctx else None, outcome, took_s)
        customer = ctx.customer if ctx is not None else None
        self._metrics.observe_customer(customer, outcome == ANSWERED)
        if ctx is not None and ctx.route.resumable:
            self._resumable_stream_ended(ctx, outcome, took_s)
        first_event_s = took_s
        if ctx is not None and ctx.first_event_s is not None:
            first_event_s = ctx.first_event_s
        fields = {
            "request": platform.request_id_of(req.headers),
            "route": ctx.route.name if ctx else None,
            "customer": customer.name if customer is not None else None,
            "item": str(ctx.criteria.item) if ctx and ctx.criteria.item else None,
            "tried": ctx.tried if ctx else [],
            "outcome": outcome,
            "took_ms": round(took_s * 1000, 1),
            "waited_ms": round(ctx.waited_s * 1000, 1) if ctx else None,
            "first_ms": round(first_event_s * 1000, 1),
            "pause_ms": round(ctx.pause_s * 1000, 1) if ctx else None,
            "table": self._state.table.version if self._state.table else None,
        }
        late = ctx is not None and (
            first_event_s > ctx.route.latency_goal_s
            or ctx.pause_s > ctx.route.event_gap_goal_s > 0
        )
        if outcome == ANSWERED and late:
            self._state.events.event("request late", **fields)
        elif outcome == ANSWERED:
            self._state.events.sampled("request answered", **fields)
        else:
            self._state.events.event("request ended", **fields)

    def _resumable_stream_ended(
        self, ctx: RequestContext, outcome: str, took_s: float
    ) -> None:
        """Record whether a new or a resumed stream began.

        How a resumed one ended is never left out of the log, so that the share that
        goes on can be told from it.
        """
        began = ctx.first_event_s is not None
        kind = "resumed" if ctx.resumes_stream else "new"
        self._metrics.resumable_streams.labels(kind, "yes" if began else "no").inc()
        if not ctx.resumes_stream:
            return
        holders = self._state.count_holders(ctx.criteria)
        self._state.events.event(
            "resume ended",
            request=ctx.headers.request_id,
            resumes=ctx.headers.resumes,
            software=ctx.criteria.software,
            outcome=outcome,
            began=began,
            last_event=ctx.last_event_id,
            took_ms=round(took_s * 1000, 1),
            holders=holders.same_software,
            other_holders=holders.other_software,
        )
