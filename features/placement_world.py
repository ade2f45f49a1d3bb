"""Simulation of placers and engines of several data centres."""

from marjoramstage.coordination.placement import Placer
from marjoramstage.protocol.events import (
    AdapterLoadRequested,
    InstanceLoadReported,
    InventoryAccepted,
    LeaseHeld,
    LedgerRead,
    OrderEnded,
    ReadLedger,
    SendOrder,
    TargetGone,
    TargetLeaving,
    TargetListed,
    TargetReported,
    Tick,
)
from marjoramstage.protocol.messages import (
    InstanceLoad,
    Item,
    ItemDemand,
    OrderAction,
    OrderOutcome,
    OrderResult,
    Target,
    TargetKind,
    TargetReport,
)
from marjoramstage.standins._memory import EngineMemory
from marjoramstage.state.ledger import Ledger
from marjoramstage.state.ledger_codec import ledger_from_data, ledger_to_data

TICK_S = 0.1
REPORT_LAG_TICKS = 3
LEASE_S = 9.0


class PlacementWorld:
    """Engines, one placer per data centre and a platform, on a virtual clock."""

    def __init__(self, engines, capacity_mb):
        self.now_s = 0.0
        self.engines = {name: EngineMemory(capacity_mb, True) for name in engines}
        self.centres = dict(engines)
        self.placers = {
            centre: Placer(centre) for centre in sorted(set(engines.values()))
        }
        self.stored = {}
        self.reports = []
        self.orders = []
        self.sequence = 0
        self.holding = True
        self.ticks = 0
        for name, centre in engines.items():
            target = Target(name, centre, TargetKind.ENGINE, name)
            self.tell_all(TargetListed(target))

    def tell_all(self, event):
        for centre in self.placers:
            self.tell(centre, event)

    def tell(self, centre, event):
        for effect in self.placers[centre].handle(event, self.now_s):
            self._perform(centre, effect)

    def accept(self, inventory):
        self.tell_all(InventoryAccepted(1, inventory))

    def demand(self, requests, waiting=0):
        """Report request counts since the start, by item name, to all placers."""
        self.sequence += 1
        demand = tuple(
            ItemDemand(Item(name, "1"), count, count * 100, waiting)
            for name, count in requests.items()
        )
        load = InstanceLoad("i1", "south", "1", self.sequence, demand=demand)
        self.tell_all(InstanceLoadReported(load))

    def leave(self, name):
        self.tell_all(TargetLeaving(name))

    def lose(self, name):
        del self.engines[name]
        self.tell_all(TargetGone(name))

    def ask(self, target, adapter):
        self.tell_all(AdapterLoadRequested(target, Item(adapter, "1")))

    def run(self, seconds):
        for _ in range(round(seconds / TICK_S)):
            self._tick()

    def _tick(self):
        self.now_s += TICK_S
        self.ticks += 1
        if self.holding:
            for centre in self.placers:
                self.tell(centre, LeaseHeld(centre, 1, self.now_s + LEASE_S))
        self.reports.append([self._report(name) for name in self.engines])
        if len(self.reports) > REPORT_LAG_TICKS:
            for report in self.reports.pop(0):
                self.tell_all(TargetReported(report))
        self.tell_all(Tick())

    def _report(self, name):
        memory = self.engines[name]
        return TargetReport(
            target=name,
            incarnation="1",
            sequence=self.ticks,
            memory_mb=memory.capacity_mb,
            slots=8,
            residents=tuple(memory.residents.values()),
            fencing=True,
            highest_fence=memory.highest_fence,
            last_orders=memory.last_orders,
        )

    def _perform(self, centre, effect):
        if isinstance(effect, SendOrder):
            self._order(centre, effect.order)
            return
        if isinstance(effect, ReadLedger):
            name = effect.target
        else:
            name = effect.ledger.target
            version = int(self.stored.get(name, (0, None))[0]) + 1
            self.stored[name] = (version, ledger_to_data(effect.ledger))
        if name not in self.stored:
            self.tell(centre, LedgerRead(Ledger(name, "", 0)))
            return
        version, spec = self.stored[name]
        self.tell(centre, LedgerRead(ledger_from_data(name, str(version), spec)))

    def _order(self, centre, order):
        self.orders.append((self.now_s, order))
        memory = self.engines.get(order.target)
        if memory is None or not memory.accept(order):
            answer = OrderResult(order, OrderOutcome.REFUSED)
        else:
            memory.finish(order)
            answer = OrderResult(order, OrderOutcome.DONE)
        self.tell(centre, OrderEnded(answer))

    def held(self, name):
        return {str(item) for item in self.engines[name].residents}

    def copies(self, item):
        return sum(item in self.held(name) for name in self.engines)

    def loads(self, since_s=0.0):
        return [
            order
            for at_s, order in self.orders
            if at_s >= since_s and order.action is OrderAction.LOAD
        ]

    @property
    def overcommits(self):
        return sum(memory.overcommits for memory in self.engines.values())
