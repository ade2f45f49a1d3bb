"""What callers ask of the models of a service, as the giver of orders sums it up."""

from __future__ import annotations

from collections import Counter
from collections.abc import Mapping
from dataclasses import dataclass, field
from functools import cached_property

from marjoramstage.state.fleet import Item

# Requests a second from which a model counts as asked for all the time, and
# from which one is known to be asked for by callers who can't wait for a load.
ACTIVE_PER_S = 0.7
PRESSING_PER_S = 0.003


@dataclass(frozen=True)
class Need:
    """What is known of the demand for the items of a service.

    Attributes
    ----------
    waiting : Mapping
        Requests that wait for an item now.
    running : Mapping
        Requests at targets now, by target and item.
    fast_rates, slow_rates : Mapping
        Requests a second for each model, over a short and a long time.
    pressing_rates : Mapping
        Those that a load would make late, over a very long time.
    unreached : frozenset of str
        Targets that several instances could not connect to lately.
    """

    waiting: Mapping[Item, int] = field(default_factory=dict)
    running: Mapping[tuple[str, Item], int] = field(default_factory=dict)
    fast_rates: Mapping[Item, float] = field(default_factory=dict)
    slow_rates: Mapping[Item, float] = field(default_factory=dict)
    pressing_rates: Mapping[Item, float] = field(default_factory=dict)
    unreached: frozenset[str] = frozenset()

    def rate(self, item: Item) -> float:
        """Return the requests a second for a model just now."""
        return self.fast_rates.get(item, 0.0)

    def slow_rate(self, item: Item) -> float:
        """Return the requests a second for a model over a longer time."""
        return self.slow_rates.get(item, 0.0)

    def is_pressing(self, item: Item) -> bool:
        """Whether a miss costs more than a wait; taken for so until seen."""
        if item not in self.slow_rates:
            return True
        return self.pressing_rates.get(item, 0.0) >= PRESSING_PER_S

    def is_active(self, item: Item) -> bool:
        """Whether a model that can't wait is asked for all the time."""
        return self.rate(item) >= ACTIVE_PER_S and self.is_pressing(item)

    def at(self, target: str) -> int:
        """Return all requests at a target."""
        return self._by_target[target]

    def of_model(self, model: str) -> int:
        """Return all requests for a model and its adapters."""
        return self._by_model[model]

    def of_model_at(self, target: str, model: str) -> int:
        """Return the requests for a model and its adapters at a target."""
        return self._by_both[target, model]

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
    def _by_both(self) -> Counter[tuple[str, str]]:
        found: Counter[tuple[str, str]] = Counter()
        for (target, item), count in self.running.items():
            found[target, item.model] += count
        return found

    @cached_property
    def waiting_by_model(self) -> Counter[str]:
        """Return the requests that wait for a model or its adapters."""
        found: Counter[str] = Counter()
        for item, count in self.waiting.items():
            found[item.model] += count
        return found
