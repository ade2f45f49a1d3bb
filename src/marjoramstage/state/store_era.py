"""The era of the platform's store, which rises when the store is restored.

A store that comes back from a copy has lost what was written since the copy was
made, and gives out the revisions of those writes again. What rests on a revision,
or on a write that the store has acknowledged, holds for one era only.
"""

from __future__ import annotations

import enum
from collections.abc import Callable

# A larger rise at once is taken for a garbled value.
MAX_RISE = 1_000


class EraChange(enum.Enum):
    """What an answer tells about the era of the store.

    Attributes
    ----------
    NONE
        It is the era that is known, or the answer names none.
    RISEN
        The store was restored.
    STALE
        The answer is from before the store was restored.
    """

    NONE = "none"
    RISEN = "risen"
    STALE = "stale"


class StoreEra:
    """The highest era that an answer of the store has named.

    Attributes
    ----------
    current : int
        0 before any answer named one.
    known : bool
        Whether an answer has named one.
    """

    def __init__(self):
        self.current = 0
        self.known = False
        self._listeners: list[Callable[[int], None]] = []

    def on_rise(self, func: Callable[[int], None]) -> None:
        """Call ``func`` with the new era each time that the store was restored."""
        self._listeners.append(func)

    def observe(self, era: int | None) -> EraChange:
        """Process the era that an answer names; None if it names none."""
        if era is None or (self.known and era > self.current + MAX_RISE):
            return EraChange.NONE
        if not self.known:
            self.known, self.current = True, era
            return EraChange.NONE
        if era == self.current:
            return EraChange.NONE
        if era < self.current:
            return EraChange.STALE
        self.current = era
        for func in self._listeners:
            func(era)
        return EraChange.RISEN
