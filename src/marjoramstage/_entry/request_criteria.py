"""What a request requires of its target, from its route and headers."""

from __future__ import annotations

from marjoramstage.coordination.request_cost import RequestWork
from marjoramstage.coordination.target_criteria import TargetCriteria
from marjoramstage.platform import CallerHeaders
from marjoramstage.state.fleet import Item
from marjoramstage.state.routes import EngineSpec, Route, RouteTable

NO_ROUTE = "no route"
NO_MODEL = "no such model"

# Part of the latency goal for which a prompt may be held back to pace prefill.
PACING_FRACTION = 1.0


def requested_item(
    table: RouteTable, service: str, headers: CallerHeaders
) -> Item | None:
    """Return the model or adapter of a request; None if its targets hold none."""
    spec = table.services.get(service)
    return headers.item if spec is not None and spec.engine is not None else None


def criteria_for(
    table: RouteTable,
    route: Route,
    service: str,
    headers: CallerHeaders,
    arrived_s: float,
    customer: str = "",
) -> TargetCriteria:
    """Return what a request for a model that the service has requires.

    Parameters
    ----------
    customer : str
        Name of the customer; empty if there is none.
    """
    item = requested_item(table, service, headers)
    if item is None:
        return TargetCriteria(service)
    engine = table.services[service].engine
    return TargetCriteria(
        service,
        item,
        tokens=headers.prompt_tokens,
        pause_s=route.event_gap_goal_s,
        pacing_deadline_s=arrived_s + PACING_FRACTION * route.latency_goal_s,
        work=_work(engine, route, service, item, headers, customer),
    )


def _work(
    engine: EngineSpec,
    route: Route,
    service: str,
    item: Item,
    headers: CallerHeaders,
    customer: str,
) -> RequestWork | None:
    """Return the work of a request that states its tokens.

    Without the capacity of the targets' memory in the configuration, and for requests
    without `Tokens`, targets are chosen by the number of running requests.
    """
    capacity = engine.context_tokens
    if capacity <= 0 or headers.prompt_tokens <= 0:
        return None
    # No request that runs is larger than the memory for context.
    return RequestWork(
        service,
        item,
        min(headers.prompt_tokens, capacity),
        min(max(0, headers.output_tokens), capacity),
        min(headers.length_hint, capacity),
        route.name,
        customer,
        headers.leading_parts,
        capacity,
        engine.relative_speed(item.model),
    )
