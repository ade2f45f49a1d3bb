"""Budget for loads: a data centre's share of what the deployment may do."""

from __future__ import annotations

from marjoramstage.state.inventory import Rules


class LoadBudget:
    """Share of the weight store and of the adapter transfers.

    The rates of the rules are for the deployment. Each data centre takes an
    even part of them, so that all together stay inside without a message.
    """

    def __init__(self):
        self._rate = 0.0
        self._at_once = 1
        self._adapters_at_once = 1
        self._tokens = 1.0
        self._at_s: float | None = None

    def share(self, rules: Rules, parts: int) -> None:
        """Take one of ``parts`` even parts of what ``rules`` allow."""
        parts = max(1, parts)
        self._rate = rules.loads_per_s / parts
        self._at_once = max(1, rules.loads_at_once // parts)
        self._adapters_at_once = max(1, rules.adapters_in_transit // parts)

    def advance(self, now_s: float) -> None:
        """Let tokens grow up to ``now_s``; at most one burst is saved up."""
        if self._at_s is None:
            self._at_s = now_s
            self._tokens = float(self._at_once)
        passed_s = max(0.0, now_s - self._at_s)
        self._at_s = max(self._at_s, now_s)
        grown = self._tokens + passed_s * self._rate
        self._tokens = min(float(self._at_once), grown)

    def may_load(self, loading: int) -> bool:
        """Return whether a model load may begin while ``loading`` run."""
        return self._tokens >= 1.0 and loading < self._at_once

    def model_load_begun(self) -> None:
        """Use up one model load."""
        self._tokens -= 1.0

    def may_load_adapter(self, loading: int) -> bool:
        """Return whether an adapter load may begin while ``loading`` run."""
        return loading < self._adapters_at_once
