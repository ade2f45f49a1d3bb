"""Decides which models and adapters are loaded on which targets."""

from __future__ import annotations

from dataclasses import dataclass, replace

from marjoramstage.coordination._desired_state import DesiredState
from marjoramstage.coordination._ledger_writer import LedgerWriter
from marjoramstage.coordination._move_planner import MovePlanner
from marjoramstage.coordination._target_memory import (
    memory_from_ledger,
    memory_from_report,
)
from marjoramstage.coordination.demand import DemandStats
from marjoramstage.coordination.shards import shard_of
from marjoramstage.protocol.events import (
    AdapterLoadRequested,
    Effect,
    Event,
    InstanceGone,
    InstanceLoadReported,
    InventoryAccepted,
    LeaseHeld,
    LeaseLost,
    LedgerRead,
    LedgerWriteFailed,
    OrderEnded,
    ReadLedger,
    SendOrder,
    TargetGone,
    TargetLeaving,
    TargetListed,
    TargetReported,
    Tick,
    WriteLedger,
)
from marjoramstage.protocol.messages import (
    Replica,
    Target,
    TargetKind,
    TargetReport,
)
from marjoramstage.state.inventory import Inventory
from marjoramstage.state.ledger import Ledger
from marjoramstage.state.residency import Residency


@dataclass(frozen=True)
class HeldLease:
    """A shard lease held by this instance, as of its last renewal.

    Attributes
    ----------
    fence : int
        Fencing number of the lease.
    until_s : float
        Monotonic clock reading at which the lease expires.
    """

    fence: int
    until_s: float


class Placer:
    """Places models and adapters on the targets of one data centre.

    It tracks every target of the deployment, but changes only those whose
    shard lease it holds. Each load and unload is written to the target's
    ledger first; the order is sent only after the platform has accepted the
    write.

    Parameters
    ----------
    data_centre : str
        Data centre whose targets are managed; other targets are read-only.
    shards : int, default=1
        Number of shards that the targets of the data centre are split into.
    """

    def __init__(self, data_centre: str, shards: int = 1):
        self._data_centre = data_centre
        self._shards = shards
        self._leases: dict[str, HeldLease] = {}
        self._targets: dict[str, Target] = {}
        self._reports: dict[str, TargetReport] = {}
        self._writers: dict[str, LedgerWriter] = {}
        self._dirty: dict[str, None] = {}
        self._drafted: dict[str, None] = {}
        self._residency = Residency()
        self._demand = DemandStats()
        self._planner = MovePlanner(data_centre, self._residency, self._demand)

    @property
    def ledgers(self) -> dict[str, Ledger]:
        """Ledgers as last read from or written to the platform, by target."""
        return {
            name: writer.ledger
            for name, writer in self._writers.items()
            if writer.ledger is not None
        }

    @property
    def leases(self) -> dict[str, HeldLease]:
        """Leases that this instance last held, by shard; may have expired."""
        return dict(self._leases)

    @property
    def retiring(self) -> tuple[Replica, ...]:
        """Replicas that get no new work because they are about to be unloaded."""
        return self._planner.retiring.copies

    def order_states(self) -> dict[str, list[str]]:
        """Return number and state of each order still in a ledger, by target."""
        return {
            name: [
                f"{tracked.order.number} {tracked.state}" for tracked in writer.orders
            ]
            for name, writer in self._writers.items()
            if writer.orders
        }

    def may_send_orders(self, target: str, now_s: float) -> bool:
        """Return whether the lease of the target's shard is valid at ``now_s``."""
        lease = self._lease_of(target)
        return lease is not None and now_s < lease.until_s

    def handle(self, event: Event, now_s: float) -> list[Effect]:
        """Process one event; return the ledger calls and orders that follow."""
        match event:
            case InventoryAccepted(_, inventory):
                self._on_inventory_accepted(inventory, now_s)
            case TargetListed(target) if target.kind is TargetKind.ENGINE:
                self._on_target_listed(target, now_s)
            case TargetGone(name):
                self._on_target_gone(name)
            case TargetLeaving(name):
                self._on_target_leaving(name)
            case TargetReported(report):
                self._on_target_reported(report, now_s)
            case LeaseHeld(shard, fence, until_s):
                self._on_lease_held(shard, HeldLease(fence, until_s))
            case LeaseLost(shard):
                self._on_lease_lost(shard)
            case LedgerRead(ledger):
                return self._on_ledger_read(ledger, now_s)
            case LedgerWriteFailed(name) if name in self._writers:
                self._writers[name].call_failed(now_s)
                self._dirty[name] = None
            case OrderEnded(answer) if answer.order.target in self._writers:
                self._writers[answer.order.target].order_ended(answer, now_s)
                self._dirty[answer.order.target] = None
            case InstanceLoadReported(load):
                self._planner.demand_changed(self._demand.update(load, now_s))
            case InstanceGone(instance):
                self._demand.remove_instance(instance)
            case AdapterLoadRequested(target, item):
                self._planner.request_adapter(target, item, now_s)
            case Tick():
                return self._on_tick(now_s)
        return []

    def _on_inventory_accepted(self, inventory: Inventory, now_s: float) -> None:
        self._planner.set_desired(DesiredState(inventory), now_s)
        self._dirty.update(dict.fromkeys(self._writers))

    def _on_target_listed(self, target: Target, now_s: float) -> None:
        previous = self._targets.get(target.name)
        if previous is None:
            self._planner.fleet_changed(now_s)
        leaving = target.leaving or (previous is not None and previous.leaving)
        self._targets[target.name] = replace(target, leaving=leaving)
        if self._lease_of(target.name) is not None:
            self._writers.setdefault(target.name, LedgerWriter(target.name))
            self._mark_dirty(target.name)
        self._update_residency(target.name)

    def _on_target_gone(self, name: str) -> None:
        self._targets.pop(name, None)
        self._reports.pop(name, None)
        self._writers.pop(name, None)
        self._dirty.pop(name, None)
        self._planner.residency_changed(self._residency.remove(name))

    def _on_target_leaving(self, name: str) -> None:
        target = self._targets.get(name)
        if target is None or target.leaving:
            return
        self._targets[name] = replace(target, leaving=True)
        self._update_residency(name)

    def _on_target_reported(self, report: TargetReport, now_s: float) -> None:
        target = self._targets.get(report.target)
        if target is None:
            return
        previous = self._reports.get(report.target)
        if previous is not None and not _is_newer(report, previous):
            return
        if previous is None:
            self._planner.fleet_changed(now_s)
        elif previous.incarnation != report.incarnation:
            self._targets[report.target] = replace(target, leaving=False)
        self._reports[report.target] = report
        if report.leaving:
            self._on_target_leaving(report.target)
        if previous is not None and _same_resident_state(report, previous):
            return
        self._update_residency(report.target)
        self._mark_dirty(report.target)

    def _on_lease_held(self, shard: str, lease: HeldLease) -> None:
        previous = self._leases.get(shard)
        if previous is not None and previous.fence > lease.fence:
            return
        self._leases[shard] = lease
        if previous is not None and previous.fence == lease.fence:
            return
        for name in self._targets:
            if self._shard(name) == shard:
                self._writers[name] = LedgerWriter(name)
                self._dirty[name] = None

    def _on_lease_lost(self, shard: str) -> None:
        self._leases.pop(shard, None)
        for name in [name for name in self._writers if self._shard(name) == shard]:
            del self._writers[name]
            self._dirty.pop(name, None)
            self._update_residency(name)

    def _on_ledger_read(self, ledger: Ledger, now_s: float) -> list[Effect]:
        name = ledger.target
        writer = self._writers.get(name)
        if writer is None:
            return []
        effects: list[Effect] = []
        for tracked in writer.ledger_received(ledger, now_s):
            if not self.may_send_orders(name, now_s):
                tracked.withhold()
                continue
            tracked.send()
            effects.append(SendOrder(tracked.order, self._targets[name].address))
        self._dirty[name] = None
        self._update_residency(name)
        return effects

    def _on_tick(self, now_s: float) -> list[Effect]:
        effects = self._due_reads(now_s)
        for name in list(self._dirty):
            self._begin_draft(name, now_s)
        self._draft_moves(now_s)
        for name in self._drafted:
            ledger = self._writers[name].submit_draft()
            if ledger is not None:
                effects.append(WriteLedger(ledger))
            elif not self._writers[name].unsettled:
                self._dirty.pop(name, None)
        self._drafted.clear()
        return effects

    def _due_reads(self, now_s: float) -> list[Effect]:
        effects: list[Effect] = []
        for name in self._dirty:
            if name not in self._writers or name not in self._reports:
                continue
            if not self.may_send_orders(name, now_s):
                continue
            if self._writers[name].read_due(now_s):
                effects.append(ReadLedger(name))
        return effects

    def _begin_draft(self, name: str, now_s: float) -> bool:
        """Start a ledger draft for a target; return whether it can be changed."""
        writer, report = self._writers.get(name), self._reports.get(name)
        if writer is None or report is None or not self.may_send_orders(name, now_s):
            return False
        if writer.editable:
            return True
        if not writer.begin_draft(report, self._lease_of(name).fence, now_s):
            return False
        self._drafted[name] = None
        self._update_residency(name)
        return True

    def _draft_moves(self, now_s: float) -> None:
        """Apply the moves of the planner to the ledger drafts."""
        if not any(now_s < lease.until_s for lease in self._leases.values()):
            return
        writers = [self._writers[n] for n in self._dirty if n in self._writers]
        loading = [item for writer in writers for item in writer.loading()]
        moves = self._planner.plan(loading, self._can_change(now_s), now_s)
        for move in moves:
            name = move.target
            fence = self._lease_of(name).fence
            if move.load is not None:
                desired = move.load
                report = self._reports[name]
                self._writers[name].draft_load(
                    desired.item, desired.memory_mb, fence, report, desired.base
                )
            if move.unload is not None:
                self._writers[name].draft_unload(move.unload, fence)
            self._update_residency(name)

    def _can_change(self, now_s: float):
        """Return a predicate: can the ledger draft of a target be changed now?"""

        def check(name: str) -> bool:
            return self._begin_draft(name, now_s)

        return check

    def _mark_dirty(self, name: str) -> None:
        """Process the target on the next ticks, if its ledger is managed here."""
        if name in self._writers:
            self._dirty[name] = None

    def _update_residency(self, name: str) -> None:
        target, report = self._targets.get(name), self._reports.get(name)
        if target is None or report is None:
            return
        writer = self._writers.get(name)
        ledger = writer and (writer.draft or writer.ledger)
        if ledger:
            memory = memory_from_ledger(target, report, ledger)
        else:
            memory = memory_from_report(target, report)
        self._planner.residency_changed(self._residency.update(memory))

    def _lease_of(self, name: str) -> HeldLease | None:
        target = self._targets.get(name)
        if target is None or target.data_centre != self._data_centre:
            return None
        return self._leases.get(self._shard(name))

    def _shard(self, name: str) -> str:
        target = self._targets.get(name)
        if target is None or target.data_centre != self._data_centre:
            return ""
        return shard_of(name, self._data_centre, self._shards)


def _is_newer(report: TargetReport, previous: TargetReport) -> bool:
    if report.incarnation == previous.incarnation:
        return report.sequence > previous.sequence
    return report.started_s >= previous.started_s


def _same_resident_state(report: TargetReport, previous: TargetReport) -> bool:
    return (
        report.incarnation == previous.incarnation
        and report.residents == previous.residents
        and report.last_orders == previous.last_orders
        and report.highest_fence == previous.highest_fence
        and report.memory_mb == previous.memory_mb
    )
