"""Targets as the platform lists them, and what they hold."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field


@dataclass(frozen=True, order=True)
class Item:
    """A model, or an adapter of a model when ``adapter`` is set."""

    model: str
    adapter: str = ""

    def __post_init__(self):
        # Items are keys of most tables, and a tuple of texts is slow to hash.
        object.__setattr__(self, "_hash", hash((self.model, self.adapter)))

    def __hash__(self) -> int:
        return self._hash

    @property
    def base(self) -> Item:
        """Return the model; for an adapter, its base model."""
        return Item(self.model) if self.adapter else self

    def __str__(self) -> str:
        return f"{self.model}/{self.adapter}" if self.adapter else self.model


@dataclass(frozen=True)
class ItemVersion:
    """An item as served by targets that run one version of their program.

    A resumed stream goes on at the version that began it, or not at all.

    Attributes
    ----------
    software : str
        That version.
    """

    item: Item
    software: str

    @property
    def base(self) -> ItemVersion:
        """Return the same for the model of an adapter."""
        return ItemVersion(self.item.base, self.software)

    def __str__(self) -> str:
        return f"{self.item} {self.software}"


@dataclass(frozen=True)
class FleetTarget:
    """One target in one incarnation.

    Attributes
    ----------
    name, incarnation : str, int
        Identity; a target that restarts keeps its name.
    slots : int
        Requests that it runs concurrently.
    leaving : bool
        It is draining and is sent no new requests.
    leaves_in_s : float or None
        Time until it terminates, counted from when it registered this.
    order_count : int
        Orders that it had accepted when it registered this.
    items : frozenset of Item or None
        Models and adapters that it holds; None for a target without models.
    software : str
        Version of the program that it runs, not of its weights; empty if unknown.
    """

    name: str
    incarnation: int
    service: str
    address: str
    data_centre: str
    slots: int
    leaving: bool = False
    leaves_in_s: float | None = None
    order_count: int = 0
    items: frozenset[Item] | None = None
    software: str = ""


@dataclass(frozen=True)
class TargetReport:
    """State of a target, as it reports it on request.

    Attributes
    ----------
    order_count : int
        Orders that it has accepted.
    busy : bool
        An order is being executed.
    coming : frozenset of Item
        Adapters that are being transferred to the target.
    in_memory, on_disk : frozenset of str
        Models whose weights the target caches in main memory or on its disk.
    """

    order_count: int
    busy: bool
    running: int
    waiting: int
    items: frozenset[Item] = frozenset()
    coming: frozenset[Item] = frozenset()
    in_memory: frozenset[str] = frozenset()
    on_disk: frozenset[str] = frozenset()


@dataclass(frozen=True)
class TargetNotice:
    """What a target says of itself in the headers of an answer.

    Attributes
    ----------
    leaving : bool
        It is about to terminate and wants no further requests.
    pause_s : float
        Time for which it wants no requests from the instance that it answers, from
        the arrival of the answer; 0 if it asks for no pause.
    """

    leaving: bool = False
    pause_s: float = 0.0


@dataclass(frozen=True)
class LimitNotice:
    """What the headers of an answer say of the rate of requests that a target takes.

    Attributes
    ----------
    per_s : float or None
        Requests a second that it takes from all instances together; None if it
        names no valid limit.
    lifts : bool
        It served the request and named no limit, so none applies any more.
    """

    per_s: float | None = None
    lifts: bool = False


@dataclass
class Fleet:
    """The targets that are known now.

    A target that disappears from the list while the list may be incomplete is kept,
    and marked in ``missing``, until its removal is confirmed.
    """

    targets: dict[str, FleetTarget] = field(default_factory=dict)
    missing: set[str] = field(default_factory=set)

    def put(self, target: FleetTarget) -> None:
        """Add or update a target."""
        self.targets[target.name] = target
        self.missing.discard(target.name)

    def remove(self, name: str, confirmed: bool = True) -> None:
        """Remove a target; mark it missing if removal isn't confirmed."""
        if not confirmed and name in self.targets:
            self.missing.add(name)
            return
        self.targets.pop(name, None)
        self.missing.discard(name)

    def of_service(self, service: str) -> Iterable[FleetTarget]:
        """Return the targets of a service."""
        return [t for t in self.targets.values() if t.service == service]
