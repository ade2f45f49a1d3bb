"""Decides when the holder of the lease sends views, by what its link can carry.

Each view goes to every instance. With many instances, views sent after each
change would fill the link of a small machine, and its other traffic would be
late. So full views are sent regularly, and between them only what targets hold
where that has changed. Time is an argument.
"""

from __future__ import annotations

VIEW_INTERVAL_S = 0.25

# Share of the link that views may take up.
MAX_LINK_SHARE = 0.25

# Machines with at least this link speed are preferred as holders; bytes a second.
FAST_LINK_BYTES_PER_S = 12_500_000

# Instances are spread over this many ranks; each rank waits longer than the one
# before it until it takes the lease.
TAKEOVER_RANKS = 3


class ViewPacer:
    """When the next view is due.

    Parameters
    ----------
    link_bytes_per_s : float
        Speed of the machine's link.
    """

    def __init__(self, link_bytes_per_s: float):
        self._link_bytes_per_s = link_bytes_per_s
        self._earliest_s = 0.0
        self._full_due_s = 0.0
        self._requested = False

    def request(self) -> None:
        """Ask for a view as soon as the link allows."""
        self._requested = True

    def is_due(self, now_s: float) -> bool:
        """Whether to send a view now."""
        wanted = self._requested or self.is_full_due(now_s)
        return wanted and now_s >= self._earliest_s

    def is_full_due(self, now_s: float) -> bool:
        """Whether the next view has to be a full one."""
        return now_s >= self._full_due_s

    def record_sent(
        self, view_bytes: int, recipients: int, now_s: float, full: bool = True
    ) -> None:
        """Record that a view was sent."""
        budget_bytes_per_s = self._link_bytes_per_s * MAX_LINK_SHARE
        self._earliest_s = now_s + view_bytes * recipients / budget_bytes_per_s
        if full:
            self._full_due_s = now_s + VIEW_INTERVAL_S
        self._requested = False


def takeover_rank(number: int, link_bytes_per_s: float) -> int:
    """Return the rank in which an instance takes a free lease; 0 is the first.

    Parameters
    ----------
    number : int
        Spreads instances with equal links over several ranks.
    """
    rank = number % TAKEOVER_RANKS
    is_fast = link_bytes_per_s >= FAST_LINK_BYTES_PER_S
    return rank if is_fast else TAKEOVER_RANKS + rank
