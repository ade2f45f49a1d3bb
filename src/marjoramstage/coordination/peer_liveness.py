"""Whether this instance still hears from the others. Time is an argument."""

from __future__ import annotations

# An instance that was heard from within this time is live, and one that was
# silent for the second time is forgotten; in seconds.
LIVE_S = 1.5
FORGET_AFTER_S = 10.0


class PeerLiveness:
    """When each other instance was last heard from."""

    def __init__(self):
        self._last_heard_s: dict[str, float] = {}

    def heard(self, instance: str, now_s: float) -> None:
        """Record a message from an instance."""
        self._last_heard_s[instance] = now_s

    def is_isolated(self, now_s: float) -> bool:
        """Whether most of the known instances have fallen silent."""
        ages_s = [now_s - at_s for at_s in self._last_heard_s.values()]
        known = [age_s for age_s in ages_s if age_s < FORGET_AFTER_S]
        live = [age_s for age_s in known if age_s < LIVE_S]
        return 2 * len(live) < len(known)
