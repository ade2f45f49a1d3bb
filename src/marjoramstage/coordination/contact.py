"""Whether the other instances are still heard from. Pure: time comes in."""

from __future__ import annotations

# An instance that was heard from so lately is there, and one that was silent
# for so long is forgotten; in seconds.
LIVE_S = 1.5
KNOWN_S = 10.0


class Contact:
    """When each other instance was heard from last."""

    def __init__(self):
        self._heard_s: dict[str, float] = {}

    def heard(self, instance: str, now_s: float) -> None:
        """Note a sign of life."""
        self._heard_s[instance] = now_s

    def is_lost(self, now_s: float) -> bool:
        """Whether most of the instances have fallen silent of late."""
        ages_s = [now_s - at_s for at_s in self._heard_s.values()]
        known = [age_s for age_s in ages_s if age_s < KNOWN_S]
        live = [age_s for age_s in known if age_s < LIVE_S]
        return 2 * len(live) < len(known)
