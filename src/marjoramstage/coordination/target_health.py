"""Health of targets as this instance saw it: failures and lost connections."""

from __future__ import annotations

import math
from dataclasses import dataclass

HALF_LIFE_S = 3.0
# Successful requests assumed in addition to the recorded ones.
PRIOR_REQUESTS = 4.0
# A target counts as unreachable for this time after a failed connection.
UNREACHABLE_S = 1.0


@dataclass
class _RecentResults:
    updated_s: float = 0.0
    finished: float = 0.0
    failed: float = 0.0
    unreachable_until_s: float = 0.0


class TargetHealth:
    """Recent failure rate and reachability of each target."""

    def __init__(self):
        self._results: dict[str, _RecentResults] = {}

    def record_result(self, target: str, ok: bool, now_s: float) -> None:
        """Record the result of a request at a target."""
        results = self._decayed(target, now_s)
        results.finished += 1
        results.failed += 0 if ok else 1
        if ok:
            results.unreachable_until_s = 0.0

    def record_unreachable(self, target: str, now_s: float) -> None:
        """Record that a connection to a target could not be made."""
        self._decayed(target, now_s).unreachable_until_s = now_s + UNREACHABLE_S

    def failure_rate(self, target: str, now_s: float) -> float:
        """Return the share of failed requests.

        `PRIOR_REQUESTS` keep the rate low for a target with few requests.
        """
        results = self._results.get(target)
        if results is None or results.failed == 0:
            return 0.0
        results = self._decayed(target, now_s)
        return results.failed / (results.finished + PRIOR_REQUESTS)

    def is_reachable(self, target: str, now_s: float) -> bool:
        """Whether no connection to the target has failed of late."""
        results = self._results.get(target)
        return results is None or now_s >= results.unreachable_until_s

    def forget(self, target: str) -> None:
        """Forget a target that is gone."""
        self._results.pop(target, None)

    def _decayed(self, target: str, now_s: float) -> _RecentResults:
        results = self._results.setdefault(target, _RecentResults(updated_s=now_s))
        factor = math.exp(
            -math.log(2) / HALF_LIFE_S * max(0.0, now_s - results.updated_s)
        )
        results.finished *= factor
        results.failed *= factor
        results.updated_s = now_s
        return results
