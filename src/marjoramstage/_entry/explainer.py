"""Explains where a request would go now and why; nothing is sent or counted."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import asdict, dataclass, replace
from typing import Any

from marjoramstage import platform
from marjoramstage._entry.instance_state import InstanceState
from marjoramstage._entry.request_criteria import (
    NO_MODEL,
    NO_ROUTE,
    criteria_for,
    requested_item,
)
from marjoramstage.coordination.dispatcher import COST_JITTER
from marjoramstage.coordination.target_assessment import Assessment
from marjoramstage.coordination.target_criteria import TargetCriteria
from marjoramstage.platform import CallerHeaders
from marjoramstage.state.customers import Customer
from marjoramstage.state.routes import Route

NO_ROUTES_YET = "no routes yet"
QUARANTINED = "part of the prompt crashes targets"
ALL_EXCLUDED = "no target takes it now"
# Stands for a request that isn't sent; it also picks one of a route's services.
REQUEST_ID = "explain"
# Targets in an answer, so that it stays small in a large service.
MAX_CANDIDATES = 200


@dataclass(frozen=True)
class QuotaState:
    """Use of a customer's quota, as an instance knows it.

    Attributes
    ----------
    admitted : bool
        Whether a request of the cost would be admitted now.
    used, limit : float
        What this instance sent in the window and may send, in the unit of the quota.
    age_s : float
        Time since the lease holder last answered a report, in seconds.
    """

    admitted: bool
    used: float
    limit: float
    age_s: float


@dataclass(frozen=True)
class Place:
    """Place that a request would have in the wait queue.

    Attributes
    ----------
    ahead, waiting : int
        Requests with the same needs before it, and in all.
    total : int
        Requests that wait for any target.
    """

    ahead: int
    waiting: int
    total: int


@dataclass(frozen=True)
class Explanation:
    """Where a request would go now.

    Attributes
    ----------
    target : str
        The target with the lowest cost; empty if the request isn't sent now.
    reason : str
        Why it isn't; empty if it is.
    known_work : bool
        Whether targets are chosen by the work of the request.
    jitter : float
        Random cost that may decide between targets of similar cost.
    view_age_s : float or None
        Age of the counts of other instances' requests, in seconds; None if no view
        came yet.
    load_eta_s : float or None
        Expected time until a target holds the model or adapter, if one is being loaded.
    quota : QuotaState or None
        None if the customer has no quota.
    queue : Place or None
        None if the request isn't queued.
    """

    target: str = ""
    reason: str = ""
    route: str = ""
    service: str = ""
    customer: str = ""
    version: int | None = None
    known_work: bool = False
    jitter: float = COST_JITTER
    view_age_s: float | None = None
    load_eta_s: float | None = None
    quota: QuotaState | None = None
    queue: Place | None = None
    candidates: tuple[dict[str, Any], ...] = ()

    def to_json(self) -> dict[str, Any]:
        """Return it as JSON data."""
        return asdict(self)


class Explainer:
    """Explains how this instance would treat a request."""

    def __init__(self, state: InstanceState):
        self._state = state

    def explain(self, query: Mapping[str, str]) -> Explanation:
        """Explain a request that is described by the parameters of a query.

        Unknown parameters are ignored and not shown.
        """
        state = self._state
        table = state.table
        if table is None:
            return Explanation(reason=NO_ROUTES_YET)
        host = query.get("host", "").partition(":")[0].lower()
        route = table.match(host, query.get("path", "").partition("?")[0])
        if route is None:
            return Explanation(reason=NO_ROUTE, version=table.version)
        headers = platform.described_headers(query, REQUEST_ID)
        service = route.service_for(headers.request_id)
        customer = query.get("customer", "")
        base = Explanation(
            route=route.name, service=service, customer=customer, version=table.version
        )
        item = requested_item(table, service, headers)
        if item is not None and not table.has_model(service, item.model):
            return replace(base, reason=NO_MODEL)
        now_s = state.clock.now()
        if state.quarantine.find(headers.parts[:-1], now_s) is not None:
            return replace(base, reason=QUARANTINED)
        criteria = criteria_for(table, route, service, headers, now_s, customer)
        if "software" in query:
            criteria = replace(criteria, software=query["software"])
        quota = self._quota(customer, headers, now_s)
        return self._explain(replace(base, quota=quota), route, criteria)

    def _explain(
        self, base: Explanation, route: Route, criteria: TargetCriteria
    ) -> Explanation:
        state = self._state
        found = state.assess(criteria)
        best = found[0] if found and found[0].exclusion is None else None
        queue, eta_s = None, None
        if best is None:
            deadline_s = state.clock.now() + route.timeout_s
            rank = self._rank(route, base.customer)
            ahead, waiting = state.wait_queue.place(criteria, rank, deadline_s)
            queue = Place(ahead, waiting, len(state.wait_queue))
            eta_s = state.eta_s(criteria) if criteria.item is not None else None
        return replace(
            base,
            target=best.target.name if best is not None else "",
            reason="" if best is not None else ALL_EXCLUDED,
            known_work=criteria.work is not None,
            view_age_s=state.backlog.age_s(state.clock.now()),
            load_eta_s=eta_s,
            queue=queue,
            candidates=tuple(_candidate(entry) for entry in found[:MAX_CANDIDATES]),
        )

    def _customer(self, name: str) -> Customer | None:
        table = self._state.table
        return (
            table.customers.by_name.get(name) if table.customers is not None else None
        )

    def _rank(self, route: Route, customer: str) -> int:
        """Return the rank of a customer's requests on a route."""
        return self._state.table.ranks.rank(route.rank, self._customer(customer))

    def _quota(
        self, name: str, headers: CallerHeaders, now_s: float
    ) -> QuotaState | None:
        customer = self._customer(name)
        if customer is None or customer.quota is None:
            return None
        cost = customer.quota.cost_of(
            headers.prompt_tokens, headers.output_tokens, headers.states_tokens
        )
        found = self._state.quota_sync.quotas.assess(customer, cost, now_s)
        return QuotaState(found.admitted, found.used, found.limit, found.age_s)


def _candidate(found: Assessment) -> dict[str, Any]:
    """Return an assessment as JSON data."""
    target, cost = found.target, found.cost
    return {
        "target": target.name,
        "data_centre": target.data_centre,
        "excluded": found.exclusion.value if found.exclusion is not None else "",
        "running": found.running,
        "slots": target.slots,
        "cost": round(cost.total, 4),
        "cost_parts": {name: round(value, 4) for name, value in asdict(cost).items()},
        "prefill_backlog_s": round(found.backlog_s, 4),
        "own_work_s": None if found.work_s is None else round(found.work_s, 3),
        "cached_tokens": found.cached_tokens,
        "pause_left_s": round(found.pause_left_s, 3),
    }
