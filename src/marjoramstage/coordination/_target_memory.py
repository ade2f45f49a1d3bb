"""Memory of a target, from its ledger or from its report."""

from __future__ import annotations

from marjoramstage.protocol.messages import ResidentState, Target, TargetReport
from marjoramstage.state.ledger import EntryState, Ledger
from marjoramstage.state.residency import TargetMemory


def memory_from_ledger(
    target: Target, report: TargetReport, ledger: Ledger
) -> TargetMemory:
    """Return the memory of a target whose ledger this instance manages."""
    items = {
        entry.item: entry.memory_mb
        for entry in ledger.entries.values()
        if entry.state is not EntryState.REMOVING
    }
    return TargetMemory(
        target=target.name,
        data_centre=target.data_centre,
        capacity_mb=ledger.capacity_mb,
        free_mb=ledger.free_mb,
        slots=report.slots,
        items=items,
        ready=_ready(report) & items.keys(),
        pending_free_mb=ledger.removing_mb,
        accepts_loads=not target.leaving and ledger.incarnation == report.incarnation,
    )


def memory_from_report(target: Target, report: TargetReport) -> TargetMemory:
    """Return the memory of a target managed by another instance."""
    items = {
        resident.item: resident.memory_mb
        for resident in report.residents
        if resident.state is not ResidentState.UNLOADING
    }
    used_mb = sum(resident.memory_mb for resident in report.residents)
    return TargetMemory(
        target=target.name,
        data_centre=target.data_centre,
        capacity_mb=report.memory_mb,
        free_mb=report.memory_mb - used_mb,
        slots=report.slots,
        items=items,
        ready=_ready(report),
        accepts_loads=not target.leaving,
    )


def _ready(report: TargetReport) -> frozenset:
    return frozenset(
        resident.item
        for resident in report.residents
        if resident.state is ResidentState.READY
    )
