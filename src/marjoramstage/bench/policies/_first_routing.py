"""Routing code of the first version, kept unchanged as a baseline."""

from __future__ import annotations

from dataclasses import dataclass, field, replace

from marjoramstage.protocol.messages import (
    Item,
    Request,
    ResidentState,
    Target,
    TargetKind,
    TargetReport,
)
from marjoramstage.state.inventory import Inventory


@dataclass
class TargetView:
    """Knowledge of one instance about a target.

    Attributes
    ----------
    in_flight : int
        Attempts of this instance that are running at the target.
    ready : frozenset of Item
        Items that the target can serve with, by its latest report.
    """

    target: Target
    report: TargetReport | None = None
    in_flight: int = 0
    ready: frozenset[Item] = field(default_factory=frozenset)

    @property
    def free_slots(self) -> int:
        """Slots that this instance does not use; others may use them."""
        if self.report is None:
            return 0
        return self.report.slots - self.in_flight


class TargetTable:
    """Targets that an instance knows, by name."""

    def __init__(self):
        self.views: dict[str, TargetView] = {}

    def listed(self, target: Target) -> None:
        """Add or update a target; a leaving target stays leaving."""
        view = self.views.get(target.name)
        if view is None:
            self.views[target.name] = TargetView(target)
            return
        leaving = view.target.leaving or target.leaving
        view.target = replace(target, leaving=leaving)

    def gone(self, name: str) -> None:
        """Remove a target."""
        self.views.pop(name, None)

    def leaving(self, name: str) -> None:
        """Mark a target as leaving, so that it gets no new requests."""
        view = self.views.get(name)
        if view is not None:
            view.target = replace(view.target, leaving=True)

    def reported(self, report: TargetReport) -> None:
        """Store a report unless a newer one of its incarnation is known."""
        view = self.views.get(report.target)
        if view is None:
            return
        known = view.report
        same = known is not None and known.incarnation == report.incarnation
        if same and known.sequence >= report.sequence:
            return
        view.report = report
        view.ready = frozenset(
            resident.item
            for resident in report.residents
            if resident.state is ResidentState.READY
        )
        if report.leaving:
            self.leaving(report.target)


def needed_items(request: Request, inventory: Inventory) -> tuple[Item, ...]:
    """Return the items that a target must hold to serve ``request``."""
    if request.kind is TargetKind.SERVICE:
        return ()
    model = inventory.model_by_name[request.model]
    items = [Item(model.name, request.version or model.version)]
    if request.adapter is not None:
        adapter = inventory.adapter_by_name[request.adapter]
        items.append(Item(adapter.name, adapter.version))
    return tuple(items)


def served_as(request: Request, items: tuple[Item, ...]) -> str:
    """Return the model name to send to the target."""
    if not items:
        return request.model
    return ":".join(str(item) for item in items)


def candidates(
    table: TargetTable,
    request: Request,
    items: tuple[Item, ...],
    failed: tuple[str, ...] = (),
) -> list[TargetView]:
    """Return the targets that hold ``items``, with or without a free slot.

    Leaving targets, targets without a report and those in ``failed`` are
    excluded.
    """
    found = []
    for view in table.views.values():
        if view.target.kind is not request.kind or view.target.leaving:
            continue
        if view.target.name in failed or view.report is None:
            continue
        if not all(item in view.ready for item in items):
            continue
        found.append(view)
    return found


def least_loaded(views: list[TargetView]) -> TargetView | None:
    """Return the target with the most free slots; None if all are full."""
    best = None
    for view in views:
        if view.free_slots <= 0:
            continue
        if best is None or view.free_slots > best.free_slots:
            best = view
    return best
