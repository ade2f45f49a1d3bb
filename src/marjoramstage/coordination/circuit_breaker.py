"""Circuit breaker of one target."""

from __future__ import annotations

import random
from dataclasses import dataclass

FAILURES_TO_OPEN = 3
INITIAL_OPEN_S = 0.5
MAX_OPEN_S = 15.0


@dataclass
class CircuitBreaker:
    """Stops new work for a target after repeated failures.

    Once the breaker has been open for its duration, one probe attempt is
    allowed; its outcome closes the breaker or opens it for twice as long.
    """

    failures: int = 0
    open_until_s: float = 0.0
    open_duration_s: float = 0.0
    probing: bool = False

    def allows_attempt(self, now_s: float) -> bool:
        """Return whether an attempt is allowed now."""
        if self.open_duration_s == 0.0:
            return True
        return now_s >= self.open_until_s and not self.probing

    def record_dispatch(self) -> None:
        """Record an attempt; if the breaker is open, it is the probe."""
        if self.open_duration_s > 0.0:
            self.probing = True

    def record_success(self) -> None:
        """Record that the target answered; close the breaker."""
        self.failures = 0
        self.open_duration_s = 0.0
        self.probing = False

    def record_failure(self, now_s: float, rng: random.Random) -> None:
        """Record a failure to connect or a broken response."""
        self.failures += 1
        if self.failures < FAILURES_TO_OPEN and not self.probing:
            return
        self.probing = False
        duration_s = (
            self.open_duration_s * 2 if self.open_duration_s else INITIAL_OPEN_S
        )
        self.open_duration_s = min(duration_s, MAX_OPEN_S)
        self.open_until_s = now_s + self.open_duration_s * rng.uniform(0.8, 1.2)
