"""What a request requires of its target."""

from __future__ import annotations

from dataclasses import dataclass

from marjoramstage.coordination.request_cost import RequestWork
from marjoramstage.state.fleet import Item, ItemVersion


@dataclass(frozen=True)
class TargetCriteria:
    """What a request requires of its target.

    Attributes
    ----------
    tried : frozenset of str
        Targets that this request has been sent to before.
    tokens : int
        Size of its prompt, in tokens.
    pause_s : float
        Longest wanted pause between events of an answer; 0 for no limit.
    pacing_deadline_s : float
        Until then, a target that is reading other prompts is passed over if one
        more would pause its streams for too long.
    software : str or None
        Version of the program that has to serve it; None for any. An empty one is
        unknown and matches no target.
    work : RequestWork or None
        What is known of its work; None if targets are chosen without regard to it.
    """

    service: str
    item: Item | None = None
    tried: frozenset[str] = frozenset()
    tokens: int = 0
    pause_s: float = 0.0
    pacing_deadline_s: float = 0.0
    software: str | None = None
    work: RequestWork | None = None

    @property
    def item_version(self) -> ItemVersion | None:
        """Return the item and the version that has to serve it; None if any may."""
        if self.item is None or not self.software:
            return None
        return ItemVersion(self.item, self.software)


@dataclass(frozen=True)
class HolderCounts:
    """Numbers of targets that hold what a request requires and aren't leaving.

    Attributes
    ----------
    same_software, other_software : int
        Those that run the version that the request requires, and the others. If it
        requires none, all run the same.
    """

    same_software: int
    other_software: int
