"""Demand for the models of a service, summed over the reports of all instances."""

from __future__ import annotations

from collections import Counter
from collections.abc import Mapping
from dataclasses import dataclass, field
from functools import cached_property

from marjoramstage.state.fleet import Item, ItemVersion

# Request rates from which a model counts as active, and as latency-critical:
# requested by callers for whom an answer after a load would be late.
ACTIVE_PER_S = 0.7
LATENCY_CRITICAL_PER_S = 0.003


@dataclass(frozen=True)
class DemandSnapshot:
    """Demand for the items of a service at one time.

    Attributes
    ----------
    waiting : Mapping
        Number of requests that wait for each item.
    running : Mapping
        Number of requests at targets, by target and item.
    fast_rates, slow_rates : Mapping
        Requests a second for each model, averaged over a short and a long time.
    latency_critical_rates : Mapping
        Rate of the requests that a load would make late, averaged over a very
        long time.
    unreachable : frozenset of str
        Targets that several instances recently failed to connect to.
    leaving : frozenset of tuple
        Names and incarnations of targets that told an instance that they leave.
    resuming : Mapping
        Number of the waiting requests that resume a stream, by item and by the
        version of a target's program that has to serve them.
    """

    waiting: Mapping[Item, int] = field(default_factory=dict)
    running: Mapping[tuple[str, Item], int] = field(default_factory=dict)
    fast_rates: Mapping[Item, float] = field(default_factory=dict)
    slow_rates: Mapping[Item, float] = field(default_factory=dict)
    latency_critical_rates: Mapping[Item, float] = field(default_factory=dict)
    unreachable: frozenset[str] = frozenset()
    leaving: frozenset[tuple[str, int]] = frozenset()
    resuming: Mapping[ItemVersion, int] = field(default_factory=dict)

    def rate(self, item: Item) -> float:
        """Return the current requests a second for a model."""
        return self.fast_rates.get(item, 0.0)

    def slow_rate(self, item: Item) -> float:
        """Return the requests a second for a model, averaged over a longer time."""
        return self.slow_rates.get(item, 0.0)

    def is_latency_critical(self, item: Item) -> bool:
        """Whether a load makes callers' answers late; assumed for unseen models."""
        return item.model not in self._deferrable_models

    def is_active(self, item: Item) -> bool:
        """Whether a latency-critical model is in steady demand."""
        return self.rate(item) >= ACTIVE_PER_S and self.is_latency_critical(item)

    def running_at(self, target: str) -> int:
        """Return the number of requests at a target."""
        return self._by_target[target]

    def running_for_model(self, model: str) -> int:
        """Return the number of running requests for a model and its adapters."""
        return self._by_model[model]

    def running_for_model_at(self, target: str, model: str) -> int:
        """Return the number of a target's requests for a model and its adapters."""
        return self._by_target_and_model[target, model]

    def is_resumed(self, item: Item) -> bool:
        """Whether streams of a model wait to be resumed."""
        return item.model in self._resumed_by_model

    def resumed_count(self, item: Item) -> int:
        """Return how many streams of a model wait to be resumed."""
        return self._resumed_by_model[item.model]

    @cached_property
    def resumed_models(self) -> tuple[ItemVersion, ...]:
        """Models that streams wait for to be resumed, most awaited first."""
        found: Counter[ItemVersion] = Counter()
        for needed, count in self.resuming.items():
            found[needed.base] += count
        return tuple(needed for needed, count in found.most_common() if count)

    @cached_property
    def _resumed_by_model(self) -> Counter[str]:
        found: Counter[str] = Counter()
        for needed, count in self.resuming.items():
            if count:
                found[needed.item.model] += count
        return found

    @cached_property
    def _deferrable_models(self) -> frozenset[str]:
        """Models that were asked for lately, but not by callers in a hurry."""
        pressing = self.latency_critical_rates
        return frozenset(
            item.model
            for item in self.slow_rates
            if pressing.get(item, 0.0) < LATENCY_CRITICAL_PER_S
        )

    @cached_property
    def _by_target(self) -> Counter[str]:
        found: Counter[str] = Counter()
        for (target, _), count in self.running.items():
            found[target] += count
        return found

    @cached_property
    def _by_model(self) -> Counter[str]:
        found: Counter[str] = Counter()
        for (_, item), count in self.running.items():
            found[item.model] += count
        return found

    @cached_property
    def _by_target_and_model(self) -> Counter[tuple[str, str]]:
        found: Counter[tuple[str, str]] = Counter()
        for (target, item), count in self.running.items():
            found[target, item.model] += count
        return found

    @cached_property
    def waiting_by_model(self) -> Counter[str]:
        """Return the number of waiting requests for each model and its adapters."""
        found: Counter[str] = Counter()
        for item, count in self.waiting.items():
            found[item.model] += count
        return found
