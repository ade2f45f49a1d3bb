"""The capacity and models of an engine service in the newest configuration.

A planner and its parts share one of these and read it in each step, so that a new
version reaches all of them at once.
"""

from __future__ import annotations

from dataclasses import fields

from marjoramstage.state.routes import EngineSpec, ModelSpec


class CurrentEngineSpec:
    """The fields of the newest `EngineSpec` of a service; used in its place."""

    slots: int
    memory_mb: float
    adapter_slots: int
    loads_per_s: float
    models: dict[str, ModelSpec]
    context_tokens: int

    def __init__(self, spec: EngineSpec):
        self.version = spec
        self.replace(spec)

    def replace(self, spec: EngineSpec) -> None:
        """Take over the fields of a newer version."""
        self.version = spec
        for field in fields(EngineSpec):
            setattr(self, field.name, getattr(spec, field.name))

    def is_latency_critical(self, model: str, latency_goal_s: float) -> bool:
        """Whether a request is late if its model has to be swapped in first."""
        return self.version.is_latency_critical(model, latency_goal_s)
