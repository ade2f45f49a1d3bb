"""Whether the configuration of an instance is older than that of the others.

An instance may lack a version that others have: it restarted while the store was
back at an older copy, or the store turns it away and what others told it was lost.
It must not go on to accept keys that the missing version removed.
"""

from __future__ import annotations


class ConfigVersions:
    """Compares the version in force here with those in force elsewhere.

    Attributes
    ----------
    newest : int
        The highest version that is known to be in force anywhere; 0 if none.
    """

    def __init__(self):
        self.newest = 0
        self._own = 0
        self._was_newest = False
        self._behind_since_s: float | None = None

    def applied(self, version: int, has_customers: bool) -> None:
        """Record the version that is in force here.

        The others are told of it only if it has customers.
        """
        self._own = version
        if has_customers:
            self.newest = max(self.newest, version)
        if version >= self.newest:
            self._behind_since_s = None

    def told(self, version: int, now_s: float) -> None:
        """Record a version that is in force at another instance."""
        self.newest = max(self.newest, version)
        if self.newest <= self._own:
            # Others without a version of their own prove nothing.
            self._was_newest = self._was_newest or version > 0
        elif self._behind_since_s is None:
            self._behind_since_s = now_s

    def is_outdated(self, now_s: float, max_behind_s: float) -> bool:
        """Whether the version in force here may no longer be used.

        Parameters
        ----------
        max_behind_s : float
            How long a newer version may be on its way. An instance that has had no
            version of the others yet has just started, and gets no such time.
        """
        if self._behind_since_s is None:
            return False
        return not self._was_newest or now_s - self._behind_since_s > max_behind_s
