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
        self._max_model_loads = 1
        self._max_adapter_loads = 1
        self._tokens = 1.0
        self._updated_s: float | None = None

    def set_share(self, rules: Rules, data_centres: int) -> None:
        """Set the limits to an equal share of what ``rules`` allow.

        Parameters
        ----------
        data_centres : int
            Number of data centres that share the limits.
        """
        data_centres = max(1, data_centres)
        self._rate = rules.loads_per_s / data_centres
        self._max_model_loads = max(1, rules.loads_at_once // data_centres)
        self._max_adapter_loads = max(1, rules.adapters_in_transit // data_centres)

    def advance(self, now_s: float) -> None:
        """Refill the token bucket up to ``now_s``; it holds at most one burst."""
        if self._updated_s is None:
            self._updated_s = now_s
            self._tokens = float(self._max_model_loads)
        passed_s = max(0.0, now_s - self._updated_s)
        self._updated_s = max(self._updated_s, now_s)
        grown = self._tokens + passed_s * self._rate
        self._tokens = min(float(self._max_model_loads), grown)

    def may_load_model(self, loading: int) -> bool:
        """Return whether a model load may start while ``loading`` are running."""
        return self._tokens >= 1.0 and loading < self._max_model_loads

    def spend_model_load(self) -> None:
        """Take the token of one model load."""
        self._tokens -= 1.0

    def may_load_adapter(self, loading: int) -> bool:
        """Return whether an adapter load may start while ``loading`` are running."""
        return loading < self._max_adapter_loads
