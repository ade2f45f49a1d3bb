"""Budget of retries: a share of the fresh requests."""

from __future__ import annotations

RETRY_SHARE = 0.1
BURST = 10.0


class RetryBudget:
    """Tokens that fresh requests earn and retries spend."""

    def __init__(self, share: float = RETRY_SHARE, burst: float = BURST):
        self._share = share
        self._burst = burst
        self._tokens = burst

    def earn(self) -> None:
        """Note a fresh request."""
        self._tokens = min(self._burst, self._tokens + self._share)

    def spend(self) -> bool:
        """Take one retry from the budget; False if it is used up."""
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True
