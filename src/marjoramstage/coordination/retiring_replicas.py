"""Replicas that get no new requests because they are about to be unloaded.

The holder of the lease announces with its load which replicas it is about to
unload. Instances that receive this send no new requests there, so that no
request runs on a replica when its unload is ordered.
"""

from __future__ import annotations

from collections.abc import Callable, Iterator

from marjoramstage.protocol.messages import Item, Replica

# Time from the announcement to the unload.
RETIRE_S = 2.0
# How long an instance heeds an announcement that is not repeated.
ANNOUNCEMENT_TTL_S = 5.0


class RetiringReplicas:
    """Replicas that are about to be unloaded, and since when."""

    def __init__(self):
        self._since_s: dict[Replica, float] = {}

    @property
    def copies(self) -> tuple[Replica, ...]:
        """Replicas that get no new requests."""
        return tuple(self._since_s)

    def begin(self, target: str, item: Item, now_s: float) -> None:
        """Retire a replica; one that is retiring keeps its start time."""
        self._since_s.setdefault(Replica(target, item), now_s)

    def end(self, target: str, item: Item) -> None:
        """Forget a replica: its unload was ordered, or it is kept."""
        self._since_s.pop(Replica(target, item), None)

    def due(
        self, now_s: float, can_unload: Callable[[Replica], bool]
    ) -> Iterator[Replica]:
        """Yield the replicas to unload now; forget those that are needed again.

        Parameters
        ----------
        can_unload : callable
            Whether a replica is unused and not the last one.
        """
        for copy, since_s in list(self._since_s.items()):
            if not can_unload(copy):
                del self._since_s[copy]
                continue
            if now_s - since_s >= RETIRE_S:
                yield copy
