"""Order of requests by the priority of their customers and routes."""

from __future__ import annotations

from collections.abc import Iterable

from marjoramstage.state.customers import Customer

MAX_URGENCY = 9


class RequestRanks:
    """Ranks requests by their customer's priority, then by their route's.

    A customer without a priority, and a request of no customer, takes the priority
    of the route in its place. Without any customer that has a priority, the rank is
    the route's own.

    Parameters
    ----------
    route_ranks : iterable of int
        Priorities of the routes.
    customers : iterable of Customer
        All customers of the configuration.
    """

    def __init__(self, route_ranks: Iterable[int], customers: Iterable[Customer]):
        first = {c.priority for c in customers if c.priority is not None}
        self._by_route_alone = not first
        routes = sorted(set(route_ranks))
        self._route_places = {rank: place for place, rank in enumerate(routes)}
        both = sorted(first | set(routes))
        self._first_places = {rank: place for place, rank in enumerate(both)}
        self._count = len(routes) * len(both)

    def rank(self, route_rank: int, customer: Customer | None) -> int:
        """Return the rank of a request; 0 is the most urgent."""
        if self._by_route_alone:
            return route_rank
        first = customer.priority if customer is not None else None
        if first is None:
            first = route_rank
        place = self._first_places[first] * len(self._route_places)
        return place + self._route_places[route_rank]

    def urgency(self, rank: int) -> int:
        """Return the urgency that engines are told, from 0 to `MAX_URGENCY`.

        Ranks share an urgency if there are more of them, and keep their order.
        """
        levels = MAX_URGENCY + 1
        if self._by_route_alone or self._count <= levels:
            return min(max(rank, 0), MAX_URGENCY)
        return rank * levels // self._count
