"""Copies of models that get no new work before they are unloaded.

The holder of the lease tells with its load which copies it is about to
unload. Instances that hear it send no new requests there, so that by the time
of the order nothing runs on the copy.
"""

from __future__ import annotations

from collections.abc import Callable, Iterator

from marjoramstage.protocol.messages import CopyOnTarget, Item

RETIRE_S = 2.0
HEARD_S = 5.0


class Retiring:
    """Copies that wait for their unload, by the time they began to."""

    def __init__(self):
        self._since_s: dict[CopyOnTarget, float] = {}

    @property
    def copies(self) -> tuple[CopyOnTarget, ...]:
        """Copies that are to get no new work."""
        return tuple(self._since_s)

    def begin(self, target: str, item: Item, now_s: float) -> None:
        """Let a copy retire; one that does already goes on as before."""
        self._since_s.setdefault(CopyOnTarget(target, item), now_s)

    def end(self, target: str, item: Item) -> None:
        """Forget a copy: it was ordered away, or it stays."""
        self._since_s.pop(CopyOnTarget(target, item), None)

    def due(
        self, now_s: float, may_go: Callable[[CopyOnTarget], bool]
    ) -> Iterator[CopyOnTarget]:
        """Give the copies whose time has come; drop those that are needed.

        Parameters
        ----------
        may_go : callable
            Whether a copy is unused and not the last one.
        """
        for copy, since_s in list(self._since_s.items()):
            if not may_go(copy):
                del self._since_s[copy]
                continue
            if now_s - since_s >= RETIRE_S:
                yield copy
