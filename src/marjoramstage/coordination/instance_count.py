"""How many instances share a limit, as the holder of the placement lease tells.

A new holder gets the reports of the others one after the other: each notices first
that the former holder is silent, and reads who holds the lease. Until then the number
of reports is too low, and each instance would take too large a part of what all
share. Time is an argument.
"""

from __future__ import annotations

from marjoramstage.coordination.retry_budget import ASSUMED_INSTANCES

# Time in which all instances have found a new holder: 0.7 s without a view, a wait of
# up to 1 s for the next read of the lease, two reads that may time out after 1.5 s.
SETTLE_S = 5.0


class InstanceCount:
    """The number of instances that a holder names in its views."""

    def __init__(self):
        self._known = 0
        self._settled_s = 0.0

    def begin(self, known: int, now_s: float) -> None:
        """Begin as the holder of the lease.

        Parameters
        ----------
        known : int
            The number that the former holder named; 0 if it isn't known.
        """
        self._known = known or ASSUMED_INSTANCES
        self._settled_s = now_s + SETTLE_S

    def count(self, reporting: int, now_s: float) -> int:
        """Return the number of instances, of which so many report now."""
        if now_s >= self._settled_s:
            return reporting
        return max(reporting, self._known)
