"""Whether an inventory can fit the engines that are there at all."""

from __future__ import annotations

from collections.abc import Iterable

from marjoramstage.coordination.routing import TargetView
from marjoramstage.protocol.messages import TargetKind
from marjoramstage.state.inventory import Inventory


def shortfalls(inventory: Inventory, views: Iterable[TargetView]) -> list[str]:
    """Return why no placement of the inventory can exist; empty if one may.

    Only what is certain counts: with an engine that has not reported yet, or
    with none listed, nothing is said.
    """
    engines = [v for v in views if v.target.kind is TargetKind.ENGINE]
    engines = [view for view in engines if not view.target.leaving]
    if not engines or any(view.report is None for view in engines):
        return []
    sizes = [view.report.memory_mb for view in engines]
    largest_mb, total_mb = max(sizes), sum(sizes)
    found = []
    for model in inventory.models:
        if model.memory_mb > largest_mb:
            size = f"{model.memory_mb} MB"
            found.append(
                f"model {model.name!r} needs {size}; no engine has more than "
                f"{largest_mb} MB"
            )
    needed_mb = sum(model.memory_mb for model in inventory.models)
    if needed_mb > total_mb:
        found.append(
            f"one copy of each model needs {needed_mb} MB; all engines together "
            f"have {total_mb} MB"
        )
    return found
