"""Limits the loads of a data centre to its share of the deployment's rate."""

from __future__ import annotations

from marjoramstage.state.inventory import Rules


class LoadBudget:
    """Token bucket for model loads and limit on concurrent adapter loads.

    The rules limit the deployment as a whole. Each data centre takes an equal
    share, so the total stays within the limits without coordination.
    """

    def __init__(self):
        self._rate = 0.0
        self._at_once = 1
        self._adapters_at_once = 1
        self._tokens = 1.0
        self._at_s: float | None = None

    def set_share(self, rules: Rules, parts: int) -> None:
        """Set the limits to an equal share of what ``rules`` allow.

        Parameters
        ----------
        parts : int
            Number of data centres that share the limits.
        """
        parts = max(1, parts)
        self._rate = rules.loads_per_s / parts
        self._at_once = max(1, rules.loads_at_once // parts)
        self._adapters_at_once = max(1, rules.adapters_in_transit // parts)

    def advance(self, now_s: float) -> None:
        """Refill the token bucket up to ``now_s``; it holds at most one burst."""
        if self._at_s is None:
            self._at_s = now_s
            self._tokens = float(self._at_once)
        passed_s = max(0.0, now_s - self._at_s)
        self._at_s = max(self._at_s, now_s)
        grown = self._tokens + passed_s * self._rate
        self._tokens = min(float(self._at_once), grown)

    def may_load_model(self, loading: int) -> bool:
        """Return whether a model load may start while ``loading`` are running."""
        return self._tokens >= 1.0 and loading < self._at_once

    def spend_model_load(self) -> None:
        """Take the token of one model load."""
        self._tokens -= 1.0

    def may_load_adapter(self, loading: int) -> bool:
        """Return whether an adapter load may start while ``loading`` are running."""
        return loading < self._adapters_at_once
