"""Decodes the operator's configuration into a `RouteTable`."""

from __future__ import annotations

from typing import Any

from result import Err, Ok, Result

from marjoramstage.platform import _json
from marjoramstage.platform._customers import SALT, ConfigSealer, decode_customers
from marjoramstage.state.customers import CustomerTable
from marjoramstage.state.routes import (
    CallerLimits,
    EngineSpec,
    ModelSpec,
    Route,
    RouteTable,
    RunPolicy,
    Service,
    ServiceWeight,
)

MS = 0.001


def decode_table(
    spec: Any, previous: CustomerTable | None = None
) -> Result[RouteTable, str]:
    """Return the route table of a configuration, or why it cannot be decoded.

    Routes to unknown services and invalid customers are left out; the others are
    kept.

    Parameters
    ----------
    spec : object
        As it is in the store, or as a `ConfigSealer` returned it.
    previous : CustomerTable, optional
        The customers of the version before.
    """
    try:
        data = _json.loads(spec) if isinstance(spec, str | bytes) else spec
        services = {item["name"]: _service(item) for item in data["services"]}
        routes = [_route(item) for item in data["routes"]]
        known = [r for r in routes if all(s.service in services for s in r.split)]
        limits = _limits(data.get("limits") or {})
        sealed = data if SALT in data else ConfigSealer().seal(data)
        customers = decode_customers(sealed, previous)
        return Ok(
            RouteTable(int(data["version"]), tuple(known), services, limits, customers)
        )
    except (KeyError, TypeError, ValueError, AttributeError, OverflowError) as exc:
        return Err(f"{type(exc).__name__}: {exc}")


def _route(data: dict[str, Any]) -> Route:
    kind = data.get("kind")
    is_stream = kind == "stream"
    resumable = bool(data.get("resumable"))
    repeatable = kind == "safe" or (is_stream and resumable)
    split = data.get("split") or [{"service": data.get("service"), "weight": 1}]
    return Route(
        name=str(data["name"]),
        host=str(data["host"]).lower(),
        prefix=str(data["path_prefix"]),
        split=tuple(ServiceWeight(s["service"], float(s["weight"])) for s in split),
        run_policy=RunPolicy.REPEATABLE if repeatable else RunPolicy.AT_MOST_ONCE,
        is_stream=is_stream,
        resumable=resumable,
        max_attempts=max(1, int(data.get("attempts") or 1)),
        timeout_s=float(data.get("timeout_ms") or 30_000) * MS,
        latency_goal_s=float(data.get("target_latency_ms") or 1_000) * MS,
        event_gap_goal_s=float(data.get("gap_aim_ms") or 0) * MS,
        rank=int(data.get("priority") or 0),
        # Any other value is a mistake, and opens nothing.
        public=data.get("public") is True,
    )


def _service(data: dict[str, Any]) -> Service:
    engine = data.get("engine")
    return Service(
        name=data["name"],
        health_path=data.get("health_path") or "/health",
        max_conns=int(data.get("max_conns") or 100),
        engine=_engine(engine) if engine and engine.get("models") else None,
    )


def _engine(data: dict[str, Any]) -> EngineSpec:
    models = [_model(item) for item in data["models"]]
    return EngineSpec(
        slots=int(data["slots"]),
        memory_mb=float(data["weights_mb"]),
        adapter_slots=int(data.get("adapter_slots") or 0),
        loads_per_s=float(data.get("loads_per_s") or 1),
        models={model.name: model for model in models},
        context_tokens=max(0, int(data.get("kv_capacity") or 0)),
    )


def _model(data: dict[str, Any]) -> ModelSpec:
    load_s = float(data.get("load_s") or 1.0)
    return ModelSpec(
        name=data["name"],
        memory_mb=float(data["weights_mb"]),
        load_s=load_s,
        disk_load_s=float(data.get("disk_s") or load_s),
        memory_load_s=float(data.get("warm_s") or load_s),
        adapters=int(data.get("adapters") or 0),
        adapter_mb=float(data.get("adapter_mb") or 0.0),
    )


def _limits(data: dict[str, Any]) -> CallerLimits:
    default = CallerLimits()
    return CallerLimits(
        header_bytes=int(data.get("max_header_bytes") or default.header_bytes),
        body_bytes=int(data.get("max_body_bytes") or default.body_bytes),
        header_timeout_s=_seconds(data, "header_timeout_ms", default.header_timeout_s),
        idle_timeout_s=_seconds(data, "idle_timeout_ms", default.idle_timeout_s),
    )


def _seconds(data: dict[str, Any], key: str, fallback: float) -> float:
    value = data.get(key)
    return float(value) * MS if value else fallback
