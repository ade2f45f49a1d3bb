"""Placement code of the first version, kept unchanged as a baseline."""

from __future__ import annotations

from marjoramstage.bench.policies._first_ledger import Ledger, load_order, reserve
from marjoramstage.protocol.events import (
    Effect,
    Event,
    InventoryAccepted,
    LedgerRead,
    LedgerWriteFailed,
    OrderEnded,
    ReadLedger,
    SendOrder,
    TargetGone,
    TargetListed,
    TargetReported,
    Tick,
    WriteLedger,
)
from marjoramstage.protocol.messages import (
    Item,
    OrderOutcome,
    OrderResult,
    Target,
    TargetKind,
    TargetReport,
)
from marjoramstage.state.inventory import Inventory


class FirstPlacer:
    """Placement on the targets of one data centre.

    Each model and adapter is loaded on one target and never unloaded. The memory of a
    load is first reserved in the ledger of the target; the order is sent only
    after the platform has accepted the write.

    Parameters
    ----------
    data_centre : str
        Name of the data centre.
    """

    def __init__(self, data_centre: str):
        self._data_centre = data_centre
        self._fence = 0
        self._inventory = Inventory()
        self._targets: dict[str, Target] = {}
        self._reports: dict[str, TargetReport] = {}
        self._ledgers: dict[str, Ledger] = {}
        self._writing: dict[str, Item] = {}
        self._ordered: set[tuple[str, Item]] = set()

    @property
    def ledgers(self) -> dict[str, Ledger]:
        """Ledgers as last read from the platform, by target name."""
        return self._ledgers

    def handle(self, event: Event, now_s: float) -> list[Effect]:
        """Handle one event; return ledger reads, ledger writes and orders."""
        match event:
            case InventoryAccepted(_, inventory):
                self._inventory = inventory
            case TargetListed(target) if target.kind is TargetKind.ENGINE:
                self._targets[target.name] = target
            case TargetGone(name):
                self._targets.pop(name, None)
                self._ledgers.pop(name, None)
            case TargetReported(report) if report.target in self._targets:
                self._reports[report.target] = report
                if report.target not in self._ledgers:
                    return [ReadLedger(report.target)]
            case LedgerRead(ledger):
                return self._ledger_read(ledger)
            case LedgerWriteFailed(name):
                self._writing.pop(name, None)
                return [ReadLedger(name)]
            case OrderEnded(answer):
                self._order_ended(answer)
            case Tick():
                return self._plan()
        return []

    def _ledger_read(self, ledger: Ledger) -> list[Effect]:
        report = self._reports.get(ledger.target)
        if report is None:
            return []
        if ledger.incarnation != report.incarnation:
            ledger = Ledger(
                target=ledger.target,
                incarnation=report.incarnation,
                capacity_mb=report.memory_mb,
                next_order=ledger.next_order,
                version=ledger.version,
            )
            return [WriteLedger(ledger)]
        self._ledgers[ledger.target] = ledger
        item = self._writing.pop(ledger.target, None)
        if item is None or item not in ledger.entries:
            return []
        return self._order(ledger, item)

    def _order(self, ledger: Ledger, item: Item) -> list[Effect]:
        target = self._targets.get(ledger.target)
        if target is None:
            return []
        self._ordered.add((ledger.target, item))
        return [SendOrder(load_order(ledger, item, self._fence), target.address)]

    def _order_ended(self, answer: OrderResult) -> None:
        if answer.outcome is not OrderOutcome.DONE:
            self._ordered.discard((answer.order.target, answer.order.item))

    def _plan(self) -> list[Effect]:
        effects: list[Effect] = []
        wanted = [
            (Item(m.name, m.version), m.memory_mb) for m in self._inventory.models
        ]
        wanted += [
            (Item(a.name, a.version), a.memory_mb) for a in self._inventory.adapters
        ]
        for item, memory_mb in wanted:
            holders = [
                ledger
                for ledger in self._ledgers.values()
                if item in ledger.entries or self._writing.get(ledger.target) == item
            ]
            if holders:
                continue
            effects += self._reserve_somewhere(item, memory_mb)
        return effects + self._repeat_orders()

    def _reserve_somewhere(self, item: Item, memory_mb: int) -> list[Effect]:
        base = self._base_of(item)
        best = None
        for ledger in self._ledgers.values():
            if ledger.target in self._writing or ledger.free_mb < memory_mb:
                continue
            if base is not None and base not in ledger.entries:
                continue
            if best is None or ledger.free_mb > best.free_mb:
                best = ledger
        if best is None:
            return []
        self._writing[best.target] = item
        return [WriteLedger(reserve(best, item, memory_mb))]

    def _base_of(self, item: Item) -> Item | None:
        adapter = self._inventory.adapter_by_name.get(item.name)
        if adapter is None:
            return None
        model = self._inventory.model_by_name[adapter.model]
        return Item(model.name, model.version)

    def _repeat_orders(self) -> list[Effect]:
        """Order reserved items that are neither reported nor ordered yet."""
        effects: list[Effect] = []
        for ledger in self._ledgers.values():
            held = {r.item for r in self._reports[ledger.target].residents}
            for item in ledger.entries:
                if item in held or (ledger.target, item) in self._ordered:
                    continue
                effects += self._order(ledger, item)
        return effects
