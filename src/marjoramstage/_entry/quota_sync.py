"""Applies the quotas of customers to requests, in step with the lease holder."""

from __future__ import annotations

import asyncio
import enum
import math
from collections.abc import Callable, Mapping

from marjoramstage._entry.event_log import EventLog
from marjoramstage.clock import Clock
from marjoramstage.coordination.customer_quotas import (
    ADMITTED,
    CustomerQuotas,
    QuotaDecision,
)
from marjoramstage.coordination.instance_reports import min_report_interval_s
from marjoramstage.platform import CallerHeaders
from marjoramstage.protocol.peers import QuotaGrants, QuotaTotal, QuotaUse
from marjoramstage.state.customers import Customer, Quota
from marjoramstage.state.node_settings import NodeBounds
from marjoramstage.state.routes import RouteTable

OVER_QUOTA = "over the quota"

# How long a request waits for a larger allowance, beyond the time until the next
# report; and the most of the caller's time. An exchange takes 0.04 s in the median, two
# if the holder has to lower the allowance of another instance first.
MAX_WAIT_S = 0.8
MAX_WAIT_SHARE = 0.25

# Refusals that are logged each second, as a customer far above its quota would fill
# the log.
REFUSALS_LOGGED_PER_S = 10


class QuotaOutcome(enum.Enum):
    """How a request fared that was not admitted at once."""

    REFUSED = "refused"
    WAITED = "admitted after a wait"
    WAITED_IN_VAIN = "refused after a wait"


class QuotaSync:
    """Admits requests by the quotas of their customers.

    Parameters
    ----------
    table : callable
        Returns the routes in force; None before the first version.
    request_report : callable
        Called when the holder should hear soon what is needed.

    Attributes
    ----------
    on_outcome : callable
        Called with the outcome of each request that was not admitted at once.
    """

    def __init__(
        self,
        bounds: NodeBounds,
        clock: Clock,
        events: EventLog,
        table: Callable[[], RouteTable | None],
        request_report: Callable[[], None],
    ):
        self.quotas = CustomerQuotas(bounds, clock.now())
        self.on_outcome: Callable[[QuotaOutcome], None] = lambda outcome: None
        self._clock = clock
        self._events = events
        self._table = table
        self._applied: RouteTable | None = None
        self._request_report = request_report
        self._waiting: dict[str, set[asyncio.Future[None]]] = {}
        self._second = 0
        self._logged = 0
        self._not_logged = 0

    async def admit(
        self, customer: Customer | None, headers: CallerHeaders, remaining_s: float
    ) -> RequestQuota:
        """Return the part of a request in its customer's quota, if it is admitted.

        Parameters
        ----------
        remaining_s : float
            Time until the caller gives up, in seconds.

        Returns
        -------
        RequestQuota
            Its ``decision`` tells whether it was admitted.
        """
        quota = RequestQuota(self, headers)
        await quota.reserve(customer, remaining_s)
        return quota

    async def decide(
        self, customer: Customer, cost: float, remaining_s: float
    ) -> QuotaDecision:
        """Reserve what a request costs; wait a short time if that may help."""
        self._apply_table()
        decision = self.quotas.admit(customer, cost, self._clock.now())
        if decision.admitted:
            return decision
        if not decision.may_wait:
            self.on_outcome(QuotaOutcome.REFUSED)
            return decision
        wait_s = MAX_WAIT_S + min_report_interval_s(self.quotas.instances)
        decision = await self._wait(
            customer, cost, min(wait_s, MAX_WAIT_SHARE * remaining_s)
        )
        self.on_outcome(
            QuotaOutcome.WAITED if decision.admitted else QuotaOutcome.WAITED_IN_VAIN
        )
        return decision

    def log_refusal(
        self, customer: Customer | None, headers: CallerHeaders, decision: QuotaDecision
    ) -> None:
        """Log why a request was refused, up to some each second."""
        second = int(self._clock.now())
        if second != self._second:
            self._second, self._logged = second, 0
        if self._logged >= REFUSALS_LOGGED_PER_S:
            self._not_logged += 1
            return
        self._logged += 1
        not_logged, self._not_logged = self._not_logged, 0
        self._events.event(
            OVER_QUOTA,
            request=headers.request_id,
            customer=customer.name if customer is not None else None,
            used=round(decision.used, 1),
            allowance=round(decision.limit, 1),
            limit=round(decision.window_limit, 1),
            age_s=round(decision.age_s, 2),
            retry_after_s=round(decision.retry_after_s, 2),
            instances=self.quotas.instances,
            not_logged=not_logged,
        )

    @property
    def contact_age_s(self) -> float:
        """Time since the last report that a holder answered."""
        return self.quotas.contact_age_s(self._clock.now())

    def report(self, sequence: int) -> tuple[QuotaUse, ...]:
        """Return what to tell the holder with a report."""
        self._apply_table()
        return self.quotas.report(sequence, self._clock.now())

    def apply_grants(self, grants: QuotaGrants) -> None:
        """Take new allowances, and wake the requests that wait for them."""
        self._apply_table()
        if not self.quotas.apply_grants(grants, self._customers(), self._clock.now()):
            return
        for entry in grants.allowances:
            for fut in self._waiting.get(entry.customer, ()):
                if not fut.done():
                    fut.set_result(None)

    def apply_totals(self, totals: tuple[QuotaTotal, ...]) -> None:
        """Take note of the use of all instances."""
        self.quotas.apply_totals(totals, self._clock.now())

    def _customers(self) -> Mapping[str, Customer]:
        table = self._applied
        if table is None or table.customers is None:
            return {}
        return table.customers.by_name

    def _apply_table(self) -> None:
        table = self._table()
        if table is not self._applied:
            self._applied = table
            self.quotas.keep_customers(self._customers())

    async def _wait(
        self, customer: Customer, cost: float, wait_s: float
    ) -> QuotaDecision:
        """Ask the holder for a larger allowance; return the decision after that."""
        until_s = self._clock.now() + wait_s
        self.quotas.ask(customer, cost)
        self._request_report()
        futures = self._waiting.setdefault(customer.name, set())
        fut = asyncio.get_running_loop().create_future()
        try:
            while True:
                futures.add(fut)
                left_s = max(0.0, until_s - self._clock.now())
                await asyncio.wait((fut,), timeout=left_s)
                now_s = self._clock.now()
                decision = self.quotas.admit_waiting(customer, cost, now_s)
                if decision.admitted or not decision.may_wait or now_s >= until_s:
                    return decision
                futures.discard(fut)
                fut = asyncio.get_running_loop().create_future()
        finally:
            futures.discard(fut)
            if not futures and self._waiting.get(customer.name) is futures:
                del self._waiting[customer.name]
            self.quotas.stop_asking(customer, cost)


class RequestQuota:
    """What one request takes of its customer's quota, for each time it is sent.

    Attributes
    ----------
    decision : QuotaDecision
        The last one.
    """

    def __init__(self, sync: QuotaSync, headers: CallerHeaders):
        self._sync = sync
        self._headers = headers
        self._customer: Customer | None = None
        self._cost = 0.0
        self._is_reserved = False
        self._is_sent = False
        self.decision = ADMITTED

    async def reserve(self, customer: Customer | None, remaining_s: float) -> None:
        """Reserve the cost of sending it, unless that is done already.

        The key of a request that waits may have become another customer's.
        """
        name = customer.name if customer is not None else None
        if self._is_reserved and self._customer.name == name:
            return
        self.release()
        if customer is None or customer.quota is None:
            self.decision = ADMITTED
            return
        headers = self._headers
        cost = _cost(customer.quota, headers)
        self._customer, self._cost = customer, cost
        self.decision = await self._sync.decide(customer, cost, remaining_s)
        self._is_reserved = self.decision.admitted
        self._is_sent = False
        if not self.decision.admitted:
            self._sync.log_refusal(customer, headers, self.decision)

    def send(self, now_s: float) -> bool:
        """Whether it may be sent now; it then counts as sent."""
        if not self._is_reserved:
            return True
        decision = self._sync.quotas.send(self._customer, self._cost, now_s)
        if not decision.admitted:
            self.release()
            self.decision = decision
            self._sync.log_refusal(self._customer, self._headers, decision)
            return False
        self._is_reserved, self._is_sent = False, True
        return True

    def refund(self) -> None:
        """Take back that it was sent: it surely did not run."""
        if self._is_sent:
            self._sync.quotas.refund(self._customer, self._cost)
            self._is_reserved, self._is_sent = True, False

    def release(self) -> None:
        """Give back what is reserved: it will not be sent."""
        if self._is_reserved:
            self._sync.quotas.give_back(self._customer, self._cost)
            self._is_reserved = False


def _cost(quota: Quota, headers: CallerHeaders) -> float:
    """Return what a request costs; infinity for numbers beyond a float's range."""
    try:
        return quota.cost_of(
            headers.prompt_tokens, headers.output_tokens, headers.states_tokens
        )
    except OverflowError:
        return math.inf
