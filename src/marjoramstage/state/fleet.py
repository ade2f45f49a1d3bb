"""Targets as the platform lists them and what they hold."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field


@dataclass(frozen=True, order=True)
class Item:
    """A model, or an adapter of a model when ``adapter`` is set."""

    model: str
    adapter: str = ""

    @property
    def base(self) -> Item:
        """Return the model itself."""
        return Item(self.model) if self.adapter else self

    def __str__(self) -> str:
        return f"{self.model}/{self.adapter}" if self.adapter else self.model


@dataclass(frozen=True)
class FleetTarget:
    """One target in one incarnation.

    Attributes
    ----------
    name, incarnation : str, int
        Identity; a target may start again under its name.
    slots : int
        Requests that it works on at once.
    leaving : bool
        It gets no new work.
    leaves_in_s : float or None
        Time until it is gone, counted from when this was written.
    order_count : int
        Orders that it had accepted when this was written.
    items : frozenset of Item or None
        What it says it holds; None for a target without models.
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


@dataclass(frozen=True)
class TargetReport:
    """What a target says of itself when asked.

    Attributes
    ----------
    busy : bool
        An order is being carried out.
    coming : frozenset of Item
        Adapters that are on their way.
    in_memory, on_disk : frozenset of str
        Models whose weights the target keeps at hand.
    """

    order_count: int
    busy: bool
    running: int
    waiting: int
    items: frozenset[Item] = frozenset()
    coming: frozenset[Item] = frozenset()
    in_memory: frozenset[str] = frozenset()
    on_disk: frozenset[str] = frozenset()


@dataclass
class Fleet:
    """The targets that are known now.

    A target that left the list while the list could not be trusted stays among
    ``missing`` until it is removed as settled.
    """

    targets: dict[str, FleetTarget] = field(default_factory=dict)
    missing: set[str] = field(default_factory=set)

    def put(self, target: FleetTarget) -> None:
        """Take in a target or a change of it."""
        self.targets[target.name] = target
        self.missing.discard(target.name)

    def remove(self, name: str, settled: bool = True) -> None:
        """Take out a target, or note that it is missing."""
        if not settled and name in self.targets:
            self.missing.add(name)
            return
        self.targets.pop(name, None)
        self.missing.discard(name)

    def of_service(self, service: str) -> Iterable[FleetTarget]:
        """Return the targets of a service."""
        return [t for t in self.targets.values() if t.service == service]
