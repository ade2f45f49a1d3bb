"""Whether this instance still hears from the others. Time is an argument."""

from __future__ import annotations

# An instance that was heard from within this time is live, and one that was
# silent for the second time may be forgotten; in seconds.
LIVE_S = 1.5
FORGET_AFTER_S = 10.0


class PeerLiveness:
    """When each other instance was last heard from.

    Instances that left fall silent, too. They are forgotten only on evidence that it
    is not this instance that is cut off, however long they are silent.
    """

    def __init__(self):
        self._last_heard_s: dict[str, float] = {}

    def heard(self, instance: str, now_s: float) -> None:
        """Record a message from an instance."""
        self._last_heard_s[instance] = now_s

    def is_isolated(self, now_s: float) -> bool:
        """Whether most of the known instances have fallen silent."""
        ages_s = [now_s - at_s for at_s in self._last_heard_s.values()]
        live = [age_s for age_s in ages_s if age_s < LIVE_S]
        if 2 * len(live) < len(ages_s):
            return True
        self.forget_silent(now_s)
        return False

    def forget_silent(self, now_s: float) -> None:
        """Forget instances that left; called on evidence of contact with the rest."""
        self._last_heard_s = {
            instance: at_s
            for instance, at_s in self._last_heard_s.items()
            if now_s - at_s < FORGET_AFTER_S
        }
