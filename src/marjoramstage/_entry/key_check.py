"""Finds the customer of a request by its key, and refuses requests without one."""

from __future__ import annotations

import enum
from collections.abc import Callable
from typing import NoReturn

from aiohttp import web

from marjoramstage._entry.event_log import EventLog
from marjoramstage._entry.request_context import (
    RefusalError,
    RequestContext,
    TruncatedAnswerError,
)
from marjoramstage.platform import CallerHeaders
from marjoramstage.state.customers import Customer
from marjoramstage.state.routes import Route, RouteTable

# When an instance is likely to have a newer version that it lacks.
OUTDATED_RETRY_AFTER_S = 0.5


class KeyRefusal(enum.Enum):
    """Why a request is refused for its key; also the body of the answer.

    Attributes
    ----------
    WITHDRAWN
        A customer held the key when the request arrived.
    OUTDATED
        Others have a newer version of the configuration, which may have removed it.
    """

    MISSING = "no key"
    MALFORMED = "malformed key"
    UNKNOWN = "unknown key"
    WITHDRAWN = "key withdrawn"
    OUTDATED = "configuration outdated"


def route_of(req: web.BaseRequest, table: RouteTable) -> Route | None:
    """Return the route of a request."""
    host = req.headers.get("Host", "").partition(":")[0].lower()
    return table.match(host, req.message.path.partition("?")[0])


class KeyCheck:
    """Checks keys when a request arrives, and again before each attempt.

    Parameters
    ----------
    table : callable
        Returns the routes in force; None before the first version.
    is_outdated : callable
        Whether others have had a newer version for too long.
    """

    def __init__(
        self,
        table: Callable[[], RouteTable | None],
        is_outdated: Callable[[], bool],
        events: EventLog,
    ):
        self._table = table
        self._is_outdated = is_outdated
        self._events = events
        self.on_refused: Callable[[KeyRefusal], None] = lambda cause: None

    def admit(
        self, table: RouteTable, route: Route, headers: CallerHeaders
    ) -> Customer | None:
        """Return the customer of a request that arrived.

        Raises
        ------
        RefusalError
            The route requires a key, and no customer holds the request's, or it
            isn't known whether one does.
        """
        if not route.public and self._is_outdated():
            self._record(KeyRefusal.OUTDATED, headers, route, None, table)
            raise _refusal(KeyRefusal.OUTDATED)
        customer = _holder(table, headers.key)
        if customer is None and table.customers is not None and not route.public:
            cause = _cause(headers)
            self._record(cause, headers, route, None, table)
            raise _refusal(cause)
        return customer

    def still_holds(self, ctx: RequestContext) -> bool:
        """Whether the request may be sent under its customer's name."""
        table = self._table()
        if table is None or table is ctx.checked_table:
            return True
        customer = _holder(table, ctx.headers.key)
        if customer is None and ctx.customer is None:
            return not self._needs_key(ctx, table)
        return customer is not None and customer.name == _name(ctx.customer)

    def check_again(self, ctx: RequestContext) -> None:
        """Take note of a new version of the customers, if there is one.

        Raises
        ------
        RefusalError, TruncatedAnswerError
            No customer holds the key any more, or it isn't known whether one does.
        """
        table = self._table()
        if table is None:
            return
        if not ctx.route.public and self._is_outdated():
            self._refuse(ctx, KeyRefusal.OUTDATED, table)
        if table is ctx.checked_table:
            return
        customer = _holder(table, ctx.headers.key)
        if customer is None and self._needs_key(ctx, table):
            cause = KeyRefusal.WITHDRAWN if ctx.customer else _cause(ctx.headers)
            self._refuse(ctx, cause, table)
        ctx.customer, ctx.checked_table = customer, table
        route = route_of(ctx.req, table)
        if route is not None:
            ctx.rank = table.ranks.rank(route.rank, customer)
            ctx.urgency = table.ranks.urgency(ctx.rank)

    def _refuse(
        self, ctx: RequestContext, cause: KeyRefusal, table: RouteTable
    ) -> NoReturn:
        self._record(cause, ctx.headers, ctx.route, ctx.customer, table)
        if ctx.resp is not None:
            raise TruncatedAnswerError(cause.value)
        if ctx.possible_runs:
            raise RefusalError(502, f"the answer was lost, {cause.value}")
        raise _refusal(cause)

    def _needs_key(self, ctx: RequestContext, table: RouteTable) -> bool:
        """Whether a version requires a key for a request that arrived before it."""
        if table.customers is None:
            return False
        return not (route_of(ctx.req, table) or ctx.route).public

    def _record(
        self,
        cause: KeyRefusal,
        headers: CallerHeaders,
        route: Route,
        customer: Customer | None,
        table: RouteTable,
    ) -> None:
        self.on_refused(cause)
        self._events.event(
            "key refused",
            request=headers.request_id,
            route=route.name,
            cause=cause.value,
            key_headers=headers.key_headers,
            customer=_name(customer),
            table=table.version,
            customers=len(table.customers.by_name)
            if table.customers is not None
            else 0,
        )


def _refusal(cause: KeyRefusal) -> RefusalError:
    if cause is KeyRefusal.OUTDATED:
        return RefusalError(503, cause.value, OUTDATED_RETRY_AFTER_S)
    return RefusalError(401, cause.value)


def _holder(table: RouteTable, key: str) -> Customer | None:
    if table.customers is None or not key:
        return None
    return table.customers.find(key)


def _name(customer: Customer | None) -> str | None:
    return customer.name if customer is not None else None


def _cause(headers: CallerHeaders) -> KeyRefusal:
    if headers.key:
        return KeyRefusal.UNKNOWN
    return KeyRefusal.MALFORMED if headers.key_headers else KeyRefusal.MISSING
