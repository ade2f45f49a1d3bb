"""Serves callers: routes and queues requests and relays targets' answers."""

from __future__ import annotations

import asyncio
from dataclasses import replace

from aiohttp import web
from multidict import CIMultiDict

from marjoramstage import platform
from marjoramstage._entry.answer_relay import AnswerRelay, check_answer
from marjoramstage._entry.client_holdings import ClientHoldings
from marjoramstage._entry.crash_observer import CrashObserver
from marjoramstage._entry.instance_state import InstanceState
from marjoramstage._entry.key_check import KeyCheck, route_of
from marjoramstage._entry.limited_targets import SendKind
from marjoramstage._entry.prometheus_metrics import PrometheusMetrics
from marjoramstage._entry.quota_sync import OVER_QUOTA, RequestQuota
from marjoramstage._entry.request_context import (
    NOT_RUN_STATUSES,
    RefusalError,
    RequestContext,
    TruncatedAnswerError,
)
from marjoramstage._entry.request_criteria import (
    NO_MODEL,
    NO_ROUTE,
    criteria_for,
    requested_item,
)
from marjoramstage._entry.request_log import ANSWERED, RequestLog
from marjoramstage._entry.stream_versions import StreamVersions
from marjoramstage.coordination.wait_policy import (
    DEFAULT_LIMITS,
    NoTargetReason,
    WaitDecision,
    WaitPolicy,
    no_target_reason,
)
from marjoramstage.coordination.wait_queue import Waiter
from marjoramstage.exceptions import TargetError, Verdict
from marjoramstage.platform import CallerHeaders
from marjoramstage.state.customers import DEFAULT_PLAIN_TOKENS, Customer
from marjoramstage.state.fleet import FleetTarget, Item
from marjoramstage.state.routes import Route, RouteTable, RunPolicy
from marjoramstage.transport.byte_budget import RETRY_AFTER_S
from marjoramstage.transport.request_body import BodyTooLargeError, NoMemoryError
from marjoramstage.transport.server_connection import BodyStalledError
from marjoramstage.transport.sockets import reset_connection
from marjoramstage.transport.target_client import (
    BROKEN,
    FOREIGN,
    UNREACHED,
    WITHDRAWN,
    TargetClient,
    TargetRequest,
    TargetResponse,
)

CONTINUE_RESPONSE = b"HTTP/1.1 100 Continue\r\n\r\n"
# For callers that state no deadline.
DEFAULT_TIMEOUT_S = 30.0
NOT_READY_RETRY_AFTER_S = 0.5
UNKNOWN_ORIGIN_RETRY_AFTER_S = 0.5
STOPPING_RETRY_AFTER_S = 0.05
NO_BUDGET_RETRY_AFTER_S = 0.2
# Requests may wait for a model that is loaded within this time of a stop.
STOPPING_MAX_WAIT_S = 1.0

# Callers refused for these come back for a model that could be loaded meanwhile.
RETRIED_REASONS = (NoTargetReason.NOT_HELD, NoTargetReason.RATE_LIMITED)

NO_DESCRIPTORS = "no descriptors"
GRACE_OVER = "stopped before the answer"
QUARANTINED = "part of the prompt crashes targets"


class CallerHandler:
    """Handler of callers' requests."""

    def __init__(
        self,
        state: InstanceState,
        target_client: TargetClient,
        metrics: PrometheusMetrics,
        stream_versions: StreamVersions,
        crash_observer: CrashObserver,
        holdings: ClientHoldings,
    ):
        self._state = state
        self._target_client = target_client
        self._stream_versions = stream_versions
        self._log = RequestLog(state, metrics)
        self._metrics = metrics
        self._holdings = holdings
        self._crash_observer = crash_observer
        self._relay = AnswerRelay(state, self._log, crash_observer, holdings.answers)
        self._key_check = KeyCheck(
            lambda: state.table, state.config_is_outdated, state.events
        )
        self._key_check.on_refused = metrics.observe_key_refusal
        self._wait_policy = WaitPolicy()
        # Tasks of the requests that are being served, by connection.
        self._busy_conns: dict[object, asyncio.Task] = {}
        self._grace_is_over = False

    @property
    def in_flight(self) -> int:
        """Return the number of requests being served."""
        return len(self._busy_conns)

    def is_busy(self, conn: object) -> bool:
        """Whether a request on this connection is being served."""
        return conn in self._busy_conns

    def end_all(self) -> None:
        """Give each request that is still served its final answer.

        A stream that has begun is cut, and its caller sees that it isn't complete.
        """
        self._grace_is_over = True
        for task in list(self._busy_conns.values()):
            task.cancel()

    async def handle(self, req: web.BaseRequest) -> web.StreamResponse:
        """Serve one request; cancelled when the caller disconnects."""
        arrived_s = self._state.clock.now()
        conn = req.protocol
        self._busy_conns[conn] = asyncio.current_task()
        ctx: RequestContext | None = None
        outcome = "cancelled"
        try:
            ctx = await self._build_context(req, arrived_s)
            with self._holdings.connections.serve():
                resp = await self._serve(ctx)
            outcome = ANSWERED
        except RefusalError as exc:
            resp = self._refusal(exc)
            outcome = exc.reason
        except TruncatedAnswerError as exc:
            outcome = exc.reason
            resp = self._abort(req, ctx)
        except asyncio.CancelledError:
            if not self._grace_is_over or (ctx is not None and ctx.resp is not None):
                raise
            asyncio.current_task().uncancel()
            outcome = GRACE_OVER
            resp = self._refusal(self._grace_over_error(ctx))
        finally:
            if ctx is not None:
                ctx.quota.release()
            self._busy_conns.pop(conn, None)
            self._release_holdings(conn, ctx)
            self._log.request_ended(req, ctx, arrived_s, outcome)
        if self._state.stopping and not resp.prepared:
            resp.force_close()
        return resp

    async def _serve(self, ctx: RequestContext) -> web.StreamResponse:
        """Serve a request that has been read."""
        self._check_descriptors()
        if ctx.resumes_stream:
            await self._choose_software(ctx)
        return await self._run_attempts(ctx)

    def _check_descriptors(self) -> None:
        """Raise unless a connection to a target may be opened."""
        if not self._holdings.has_descriptors():
            raise self._resource_error(NO_DESCRIPTORS)

    def _release_holdings(self, conn: object, ctx: RequestContext | None) -> None:
        """Give back what was held for a request; an unsent answer stays accounted."""
        self._holdings.release(conn)
        if ctx is not None and ctx.answer_writer is not None:
            self._holdings.answers.end(ctx.answer_writer)

    async def _build_context(
        self, req: web.BaseRequest, arrived_s: float
    ) -> RequestContext:
        """Find the route of a request and read its headers and body."""
        state = self._state
        if state.closed:
            raise RefusalError(503, "stopping", STOPPING_RETRY_AFTER_S)
        table = state.table
        if table is None:
            raise RefusalError(503, "no routes yet", NOT_READY_RETRY_AFTER_S)
        route = route_of(req, table)
        if route is None:
            raise RefusalError(404, NO_ROUTE)
        headers = platform.caller_headers(req.headers)
        customer = self._key_check.admit(table, route, headers)
        if not headers.request_id:
            raise RefusalError(400, "no request id")
        self._check_descriptors()
        wait_s = (
            headers.timeout_s if headers.timeout_s is not None else DEFAULT_TIMEOUT_S
        )
        deadline_s = arrived_s + min(wait_s, route.timeout_s)
        quota = await self._admit(customer, headers, deadline_s)
        try:
            return await self._read_request(
                req, arrived_s, deadline_s, table, route, headers, customer, quota
            )
        except BaseException:
            quota.release()
            raise

    async def _admit(
        self, customer: Customer | None, headers: CallerHeaders, deadline_s: float
    ) -> RequestQuota:
        """Return the part of a request in its customer's quota.

        Raises
        ------
        RefusalError
            It is over the quota.
        """
        remaining_s = deadline_s - self._state.clock.now()
        quota = await self._state.quota_sync.admit(customer, headers, remaining_s)
        if not quota.decision.admitted:
            raise RefusalError(429, OVER_QUOTA, quota.decision.retry_after_s)
        return quota

    async def _read_request(
        self,
        req: web.BaseRequest,
        arrived_s: float,
        deadline_s: float,
        table: RouteTable,
        route: Route,
        headers: CallerHeaders,
        customer: Customer | None,
        quota: RequestQuota,
    ) -> RequestContext:
        """Read the body of an admitted request."""
        state = self._state
        if req.headers.get("Expect", "").lower() == "100-continue":
            await req.writer.write(CONTINUE_RESPONSE)
        body = await self._read_body(req, deadline_s)
        service = route.service_for(headers.request_id)
        item = requested_item(table, service, headers)
        if item is not None and not table.has_model(service, item.model):
            raise RefusalError(404, NO_MODEL)
        state.retry_budget(service).earn(state.clock.now())
        if item is not None:
            engine = table.services[service].engine
            latency_critical = engine.is_latency_critical(
                item.model, route.latency_goal_s
            )
            state.demand.note(f"{service} {item.model}", latency_critical, arrived_s)
            state.record_size(service, headers.prompt_tokens + headers.output_tokens)
        rank = table.ranks.rank(route.rank, customer)
        ctx = RequestContext(
            req=req,
            route=route,
            service=service,
            headers=headers,
            body=body,
            arrived_s=arrived_s,
            deadline_s=deadline_s,
            criteria=criteria_for(
                table,
                route,
                service,
                headers,
                arrived_s,
                customer.name if customer is not None else "",
            ),
            customer=customer,
            rank=rank,
            urgency=table.ranks.urgency(rank),
            checked_table=table,
            share_cost=_share_cost(item, headers),
            quota=quota,
        )
        ctx.last_event_id = headers.last_event_id
        return ctx

    def _resource_error(self, cause: str) -> RefusalError:
        """Count and return the refusal of a request that was not sent."""
        self._metrics.resource_refusals.labels(cause).inc()
        return RefusalError(503, cause, RETRY_AFTER_S)

    async def _read_body(
        self, req: web.BaseRequest, deadline_s: float
    ) -> bytes | bytearray:
        """Return the body of a request.

        Raises
        ------
        RefusalError
            It is too large, badly framed or late, or there is no memory for it.
        """
        table = self._state.table
        max_bytes = table.limits.body_bytes if table is not None else 0
        timeout_s = deadline_s - self._state.clock.now()
        try:
            return await self._holdings.read_body(req, max_bytes, timeout_s)
        except BodyTooLargeError:
            raise RefusalError(413, "body too large") from None
        except NoMemoryError as exc:
            req.protocol.close_unread()
            raise self._resource_error(exc.cause) from None
        except BodyStalledError:
            raise self._resource_error(NO_DESCRIPTORS) from None
        except TimeoutError:
            raise RefusalError(408, "body not read in time") from None
        except (
            web.HTTPException,
            web.RequestPayloadError,
            ValueError,
            OSError,
        ) as exc:
            raise RefusalError(400, f"body not read: {type(exc).__name__}") from exc

    async def _choose_software(self, ctx: RequestContext) -> None:
        """Restrict a resumed stream to the version that began it.

        Raises
        ------
        RefusalError
            It isn't known, so that no target may go on with the stream.
        """
        software, source = await self._stream_versions.find(ctx)
        self._log.resume_requested(ctx, software, source)
        if not software:
            raise RefusalError(
                503, "version of the stream not known", UNKNOWN_ORIGIN_RETRY_AFTER_S
            )
        ctx.criteria = replace(ctx.criteria, software=software)

    async def _run_attempts(self, ctx: RequestContext) -> web.StreamResponse:
        """Send a request to targets until one gives an answer to relay."""
        while True:
            self._key_check.check_again(ctx)
            self._check_quarantine(ctx)
            await self._check_quota(ctx)
            target = await self._acquire_target(ctx)
            if ctx.criteria.work is not None:
                backlog = self._state.backlog
                ctx.estimate = backlog.sent_estimate(target.name, ctx.criteria.work)
            try:
                self._key_check.check_again(ctx)
                self._check_quarantine(ctx)
                # Its key may have become another customer's while it waited.
                await self._check_quota(ctx)
                async with asyncio.timeout(self._remaining_s(ctx)):
                    return await self._attempt(ctx, target)
            except TargetError as exc:
                self._on_attempt_failed(ctx, target, exc)
            except TimeoutError:
                self._log.attempt_timed_out()
                if ctx.resp is not None:
                    raise TruncatedAnswerError("timeout in the answer") from None
                raise RefusalError(504, "timeout at the target") from None
            finally:
                self._state.release_slot(target, ctx.criteria)

    async def _check_quota(self, ctx: RequestContext) -> None:
        """Reserve the cost of the next attempt; raise if that is over the quota."""
        if ctx.quota.decision.admitted:
            await ctx.quota.reserve(ctx.customer, self._remaining_s(ctx))
        decision = ctx.quota.decision
        if decision.admitted:
            return
        if ctx.resp is None and not ctx.possible_runs:
            raise RefusalError(429, OVER_QUOTA, decision.retry_after_s)
        raise self._no_target_error(ctx, OVER_QUOTA, decision.retry_after_s)

    def _check_quarantine(self, ctx: RequestContext) -> None:
        """Raise if requests with such a prompt crash targets."""
        now_s = self._state.clock.now()
        quarantine = self._state.quarantine.find(ctx.shared_parts, now_s)
        if quarantine is not None:
            retry_s = quarantine.until_s - now_s
            raise self._no_target_error(ctx, QUARANTINED, retry_s)

    def _on_attempt_failed(
        self, ctx: RequestContext, target: FleetTarget, exc: TargetError
    ) -> None:
        """Record a failed attempt; return if the request may be sent again.

        Raises
        ------
        RefusalError, TruncatedAnswerError
            No other attempt is allowed.
        """
        now_s = self._state.clock.now()
        not_run = exc.verdict is Verdict.NOT_RUN
        ctx.possible_runs += 0 if not_run else 1
        if not_run:
            ctx.quota.refund()
        ctx.criteria = replace(ctx.criteria, tried=frozenset(ctx.tried))
        if ctx.first_event_s is not None and ctx.criteria.software is None:
            # What two versions of a target's program write doesn't fit together.
            ctx.criteria = replace(ctx.criteria, software=target.software)
        self._log.attempt_failed(ctx, target, exc)
        if exc.reason == BROKEN:
            self._crash_observer.broke_off(ctx, target)
        may_retry = not_run or (
            ctx.route.run_policy is RunPolicy.REPEATABLE
            and ctx.possible_runs < ctx.route.max_attempts
        )
        may_resume = ctx.route.resumable and ctx.resumable and may_retry
        if ctx.resp is not None and not may_resume:
            raise TruncatedAnswerError("the answer broke off")
        reached_target = exc.reason not in (UNREACHED, WITHDRAWN)
        if not reached_target:
            self._state.permits.give_back(target, now_s)
        if may_retry and now_s < ctx.deadline_s:
            # Only attempts that reached a target are charged to the retry budget.
            if not reached_target or self._state.retry_budget(ctx.service).spend(now_s):
                return
            may_retry = False
        if ctx.resp is not None:
            raise TruncatedAnswerError("no budget to go on")
        if ctx.possible_runs:
            raise RefusalError(502, "the target's answer was lost")
        retry_s = self._no_budget_retry_s(ctx)
        raise RefusalError(503, "not run, no budget for a repeat", retry_s)

    def _no_budget_retry_s(self, ctx: RequestContext) -> float:
        """Return when a caller may retry that is refused for lack of retry budget."""
        pause_s = self._state.shortest_pause_s(ctx.criteria)
        if pause_s is None:
            return NO_BUDGET_RETRY_AFTER_S
        retry_s = self._wait_policy.retry_after_pause_s(pause_s)
        return max(NO_BUDGET_RETRY_AFTER_S, retry_s)

    async def _acquire_target(self, ctx: RequestContext) -> FleetTarget:
        """Occupy a slot at a target, waiting for one if need be."""
        state = self._state
        state.note_wanted(ctx.criteria)
        if not state.wait_queue.must_wait(ctx.criteria, ctx.claim):
            target = state.acquire_slot(ctx.criteria)
            if target is not None:
                state.wait_queue.charge(ctx.criteria, ctx.claim)
                return target
        joined_s = state.clock.now()
        waiter = state.wait_queue.add(
            ctx.criteria, ctx.rank, ctx.deadline_s, joined_s, ctx.claim
        )
        state.on_request_queued()
        state.schedule_assignment()
        try:
            return await self._wait_for_slot(ctx, waiter)
        finally:
            ctx.waited_s += state.clock.now() - joined_s
            ctx.share_turn = waiter.turn
            state.wait_queue.remove(waiter)
            self._release_unused(waiter, ctx)

    async def _wait_for_slot(self, ctx: RequestContext, waiter: Waiter) -> FleetTarget:
        """Wait until the queue assigns a target or the wait policy gives up."""
        while True:
            self._key_check.check_again(ctx)
            self._check_quarantine(ctx)
            decision, reason = self._wait_decision(ctx, waiter)
            if decision.refuse:
                if reason in RETRIED_REASONS:
                    self._state.expect_retry(ctx.criteria, decision.retry_after_s)
                raise self._no_target_error(ctx, reason.value, decision.retry_after_s)
            await asyncio.wait((waiter.fut,), timeout=decision.wait_s)
            if waiter.fut.done():
                waiter.used = True
                return waiter.fut.result()

    def _wait_decision(
        self, ctx: RequestContext, waiter: Waiter
    ) -> tuple[WaitDecision, NoTargetReason]:
        state = self._state
        now_s = state.clock.now()
        item = ctx.criteria.item
        pause_s = state.shortest_pause_s(ctx.criteria)
        reason = self._no_target_reason(ctx, pause_s is not None)
        eta_s = state.eta_s(ctx.criteria) if item is not None else None
        waited_s = now_s - ctx.arrived_s
        if state.stopping and not self._loads_before_stop(eta_s, now_s):
            return WaitDecision(
                True, retry_after_s=STOPPING_RETRY_AFTER_S
            ), NoTargetReason.STOPPING
        remaining_s = (
            min(ctx.deadline_s, ctx.arrived_s + ctx.route.first_event_timeout_s) - now_s
        )
        if ctx.resp is not None:
            remaining_s = ctx.deadline_s - now_s
        rate_limited = reason is NoTargetReason.RATE_LIMITED
        turn_s = state.turn_s(waiter) if rate_limited else None
        decision = self._wait_policy.decide(
            reason, waited_s, remaining_s, eta_s, pause_s, turn_s
        )
        return decision, reason

    def _loads_before_stop(self, eta_s: float | None, now_s: float) -> bool:
        """Whether a model is loaded soon enough to be used before shutdown."""
        if eta_s is None:
            return False
        return now_s + eta_s < self._state.stopping_s + STOPPING_MAX_WAIT_S

    def _release_unused(self, waiter: Waiter, ctx: RequestContext) -> None:
        """Release a slot that was assigned just as its waiter gave up."""
        if waiter.used:
            return
        if not waiter.fut.done():
            waiter.fut.cancel()
        elif not waiter.fut.cancelled():
            self._state.release_slot(waiter.fut.result(), ctx.criteria)

    def _no_target_reason(
        self, ctx: RequestContext, any_paused: bool
    ) -> NoTargetReason:
        state = self._state
        targets = state.fleet.of_service(ctx.service)
        any_listed = any(not target.leaving for target in targets)
        eligible = state.eligible(ctx.criteria) if any_listed else []
        rate_limited = state.limits.all_named(eligible)
        return no_target_reason(
            ctx.criteria, any_listed, bool(eligible), any_paused, rate_limited
        )

    def _no_target_error(
        self, ctx: RequestContext, reason: str, retry_after_s: float
    ) -> RefusalError | TruncatedAnswerError:
        if ctx.resp is not None:
            return TruncatedAnswerError(reason)
        if ctx.possible_runs:
            return RefusalError(502, f"the answer was lost, {reason}")
        return RefusalError(503, reason, retry_after_s)

    async def _attempt(
        self, ctx: RequestContext, target: FleetTarget
    ) -> web.StreamResponse:
        """Send a request to one target and relay its answer."""
        state = self._state
        ctx.begin_attempt(target.software, state.clock.now())
        answer = await self._send(ctx, target)
        ok = False
        try:
            check_answer(ctx, answer)
            resp = await self._relay.relay(ctx, answer)
            ok = answer.status < 500
            self._crash_observer.answered(ctx, target, answer)
            return resp
        except TargetError as exc:
            if exc.reason == FOREIGN:
                answer.disconnect()
            raise
        finally:
            answer.close()
            state.health.record_result(target.name, ok, state.clock.now())

    async def _send(self, ctx: RequestContext, target: FleetTarget) -> TargetResponse:
        call = TargetRequest(
            address=target.address,
            method=ctx.req.method,
            path=ctx.req.message.path,
            headers=self._target_headers(ctx, target),
            body=ctx.body,
            new_connection=ctx.route.run_policy is RunPolicy.AT_MOST_ONCE,
        )
        kind = SendKind.REPEAT if ctx.tried else SendKind.FIRST
        self._state.limited_targets.note_sent(target, kind)
        try:
            answer = await self._target_client.send(
                call, may_send=lambda: self._may_send(ctx, target)
            )
        except TargetError as exc:
            now_s = self._state.clock.now()
            if exc.reason == WITHDRAWN:
                raise
            if exc.verdict is Verdict.NOT_RUN:
                self._state.health.record_unreachable(target.name, now_s)
            else:
                self._state.health.record_result(target.name, False, now_s)
                ctx.attempts += 1
                ctx.tried.append(target.name)
            raise

        ctx.attempts += 1
        ctx.tried.append(target.name)
        self._heed_notices(ctx, target, answer)
        return answer

    def _may_send(self, ctx: RequestContext, target: FleetTarget) -> bool:
        """Whether a request may be written to a connection that is up."""
        return (
            self._state.takes_requests(target)
            and self._key_check.still_holds(ctx)
            and ctx.quota.send(self._state.clock.now())
        )

    def _heed_notices(
        self, ctx: RequestContext, target: FleetTarget, answer: TargetResponse
    ) -> None:
        """Heed what a target says of itself in the head of an answer."""
        request_id = ctx.headers.request_id
        notice = platform.target_notice(answer.status, answer.headers)
        self._state.targets_out.record(target, notice, request_id)
        limit = platform.limit_notice(answer.status, answer.headers)
        self._state.limited_targets.record(target, limit, ctx.sent_s, request_id)

    def _target_headers(
        self, ctx: RequestContext, target: FleetTarget
    ) -> CIMultiDict[str]:
        return platform.target_headers(
            ctx.req.headers.items(),
            ctx.req.headers.get("Connection", ""),
            target.name,
            self._remaining_s(ctx),
            ctx.urgency if ctx.criteria.item is not None else None,
            ctx.last_event_id,
            ctx.customer,
            ctx.checked_table.customers is not None,
        )

    def _remaining_s(self, ctx: RequestContext) -> float:
        return max(0.001, ctx.deadline_s - self._state.clock.now())

    def _grace_over_error(self, ctx: RequestContext | None) -> RefusalError:
        if ctx is None or not ctx.sent_s:
            return RefusalError(503, GRACE_OVER, STOPPING_RETRY_AFTER_S)
        return RefusalError(502, GRACE_OVER)

    def _refusal(self, exc: RefusalError) -> web.Response:
        headers = {}
        if exc.status in NOT_RUN_STATUSES:
            after_s = max(exc.retry_after_s or 0.0, DEFAULT_LIMITS.min_retry_s)
            headers["Retry-After"] = f"{after_s:.2f}"
        if exc.status == 401:
            headers["WWW-Authenticate"] = "Bearer"
        return web.Response(status=exc.status, text=exc.reason + "\n", headers=headers)

    def _abort(
        self, req: web.BaseRequest, ctx: RequestContext | None
    ) -> web.StreamResponse:
        """End the connection so that the caller sees a truncated answer."""
        started = ctx.resp if ctx is not None else None
        if req.transport is not None:
            if started is not None and not started.chunked:
                # Nothing but a reset tells such an answer from a complete one.
                reset_connection(req.transport)
            else:
                req.transport.close()
        return started or web.Response(status=502)


def _share_cost(item: Item | None, headers: CallerHeaders) -> float:
    """Return what a request is charged to its customer's share of a service."""
    if item is None:
        return 1.0
    if not headers.states_tokens:
        return DEFAULT_PLAIN_TOKENS
    return float(max(1, headers.prompt_tokens + headers.output_tokens))
