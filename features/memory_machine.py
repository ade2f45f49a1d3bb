"""State machine test of two placers, one engine and a platform.

Calls, orders, answers and reports are held in lists until a rule delivers,
drops or repeats them, in any order. The invariant is checked on the memory
that the engine itself counts.
"""

from dataclasses import dataclass

from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from marjoramstage.coordination._move_planner import OBSOLETE_GRACE_S, SETTLE_S
from marjoramstage.coordination.placement import Placer
from marjoramstage.protocol.events import (
    InventoryAccepted,
    LeaseHeld,
    LeaseLost,
    LedgerRead,
    LedgerWriteFailed,
    OrderEnded,
    ReadLedger,
    SendOrder,
    TargetListed,
    TargetReported,
    Tick,
    WriteLedger,
)
from marjoramstage.protocol.messages import (
    Order,
    OrderOutcome,
    OrderResult,
    Target,
    TargetKind,
    TargetReport,
)
from marjoramstage.standins._memory import EngineMemory
from marjoramstage.state.inventory import Adapter, Inventory, Model
from marjoramstage.state.ledger import Ledger
from marjoramstage.state.ledger_codec import ledger_from_data, ledger_to_data

CENTRE = "centre"
ENGINE = "engine"
CAPACITY_MB = 100
LEASE_S = 9.0
PLACERS = ("a", "b")


def _models(**sizes):
    return tuple(Model(name=name, memory_mb=size) for name, size in sizes.items())


INVENTORIES = (
    Inventory(models=_models(left=60)),
    Inventory(models=_models(right=60, small=20)),
    Inventory(models=_models(whole=100)),
    Inventory(
        models=_models(left=40, small=20),
        adapters=(Adapter(name="patch", model="left", memory_mb=30),),
    ),
)


@dataclass(frozen=True)
class Call:
    """A platform call of a placer that has not been executed yet."""

    placer: str
    effect: ReadLedger | WriteLedger


@dataclass(frozen=True)
class Sent:
    """An order in transit to the engine."""

    placer: str
    order: Order


class MemoryMachine(RuleBasedStateMachine):
    """The state machine; subclasses choose which orders the engine refuses."""

    fencing = False
    expiry = False

    def __init__(self):
        super().__init__()
        self.now_s = 100.0
        self.placers = {name: Placer(CENTRE) for name in PLACERS}
        self.fence = 0
        self.generation = 0
        self.stored = None
        self.stored_version = 0
        self.calls = []
        self.answers = []
        self.orders = []
        self.accepted = []
        self.reports = []
        self.engines = []
        self.sequence = 0
        self._start_engine()
        target = Target(ENGINE, CENTRE, TargetKind.ENGINE, "127.0.0.1:1")
        self.held = {}
        for name in PLACERS:
            self._tell(name, TargetListed(target))
            self._tell(name, InventoryAccepted(0, INVENTORIES[0]))

    def _start_engine(self):
        memory = EngineMemory(CAPACITY_MB, self.fencing, self.expiry)
        self.engines.append(memory)
        self.incarnation = f"start-{len(self.engines)}"
        self.started_s = self.now_s
        self.accepted = []

    @property
    def engine(self):
        return self.engines[-1]

    def _tell(self, placer, event):
        for effect in self.placers[placer].handle(event, self.now_s):
            if isinstance(effect, SendOrder):
                self.orders.append(Sent(placer, effect.order))
            else:
                self.calls.append(Call(placer, effect))

    def _report(self):
        self.sequence += 1
        return TargetReport(
            target=ENGINE,
            incarnation=self.incarnation,
            sequence=self.sequence,
            memory_mb=CAPACITY_MB,
            slots=4,
            residents=tuple(self.engine.residents.values()),
            fencing=self.fencing,
            highest_fence=self.engine.highest_fence,
            last_orders=self.engine.last_orders,
            expiry=self.expiry,
            clock_s=self.now_s,
            started_s=self.started_s,
        )

    def _carry_out(self, call):
        """Execute a call on the platform; return the answer as an event."""
        if isinstance(call.effect, ReadLedger):
            if self.stored is None:
                return LedgerRead(Ledger(ENGINE, "", 0))
            return LedgerRead(self._stored_ledger())
        ledger = call.effect.ledger
        current = str(self.stored_version) if self.stored is not None else ""
        if ledger.version != current:
            return LedgerWriteFailed(ENGINE)
        self.stored = ledger_to_data(ledger)
        self.stored_version += 1
        return LedgerRead(self._stored_ledger())

    def _stored_ledger(self):
        return ledger_from_data(ENGINE, str(self.stored_version), self.stored)

    def _deliver(self, sent):
        """Deliver an order to the engine; return whether it was accepted."""
        if sent.order.incarnation != self.incarnation:
            return False
        if not self.engine.accept(sent.order, self.now_s):
            return False
        self.accepted.append(sent)
        return True

    def _finish(self, sent):
        self.accepted.remove(sent)
        self.engine.finish(sent.order)
        return OrderEnded(OrderResult(sent.order, OrderOutcome.DONE))

    def _hold(self, placer):
        """Renew the lease of a placer, or let it take over the lease."""
        if placer not in self.held:
            self.fence += 1
            self.held[placer] = self.fence
        until_s = self.now_s + LEASE_S
        self._tell(placer, LeaseHeld(CENTRE, self.held[placer], until_s))

    def _round(self, placer):
        """Run one lease holder without faults, but keep its orders in transit."""
        self._hold(placer)
        for delay_s in (SETTLE_S, 0.1, 0.1):
            self._tell(placer, TargetReported(self._report()))
            self._tell(placer, Tick())
            while self.calls:
                call = self.calls.pop(0)
                self._tell(call.placer, self._carry_out(call))
            self.now_s += delay_s

    @rule(placer=st.sampled_from(PLACERS))
    def goes_on(self, placer):
        self._round(placer)

    @rule(placer=st.sampled_from(PLACERS))
    def goes_on_with_orders(self, placer):
        """Deliver new orders at once, overtaking those still in transit."""
        for _ in range(3):
            known = len(self.orders)
            self._round(placer)
            while len(self.orders) > known:
                sent = self.orders.pop(known)
                if self._deliver(sent):
                    self._tell(sent.placer, self._finish(sent))
                else:
                    answer = OrderResult(sent.order, OrderOutcome.REFUSED)
                    self._tell(sent.placer, OrderEnded(answer))

    @rule(placer=st.sampled_from(PLACERS))
    def ticks(self, placer):
        self._tell(placer, Tick())

    @rule(delay_s=st.sampled_from([0.5, 3.0, 35.0, 150.0]))
    def time_passes(self, delay_s):
        self.now_s += delay_s

    @rule(placer=st.sampled_from(PLACERS))
    def takes_the_lease(self, placer):
        """A previous holder isn't notified and still considers itself holder."""
        self.held.pop(placer, None)
        self._hold(placer)

    @precondition(lambda self: self.held)
    @rule(data=st.data())
    def loses_the_lease(self, data):
        placer = data.draw(st.sampled_from(sorted(self.held)))
        del self.held[placer]
        self._tell(placer, LeaseLost(CENTRE))

    @rule(
        inventory=st.sampled_from(INVENTORIES),
        placers=st.sampled_from([("a",), ("b",), PLACERS]),
    )
    def accepted_by(self, inventory, placers):
        self.accepts(inventory, placers)

    def accepts(self, inventory, placers):
        self.generation += 1
        for name in placers:
            self._tell(name, InventoryAccepted(self.generation, inventory))
        self.now_s += OBSOLETE_GRACE_S

    @rule(inventory=st.sampled_from(INVENTORIES), placer=st.sampled_from(PLACERS))
    def moves_on(self, inventory, placer):
        """Replace the resident items while old orders are still in transit."""
        self.accepts(inventory, PLACERS)
        self.goes_on_with_orders(placer)

    @precondition(lambda self: self.calls)
    @rule(data=st.data(), lost=st.booleans())
    def platform_takes_a_call(self, data, lost):
        """Execute a call; if the answer is lost, the write still took effect."""
        call = self.calls.pop(_index(data, self.calls))
        answer = self._carry_out(call)
        if lost:
            answer = LedgerWriteFailed(ENGINE)
        self.answers.append((call.placer, answer))

    @precondition(lambda self: self.calls)
    @rule(data=st.data())
    def call_is_given_up(self, data):
        """The call times out, but the platform may still execute it later."""
        call = self.calls[_index(data, self.calls)]
        self._tell(call.placer, LedgerWriteFailed(ENGINE))

    @precondition(lambda self: self.answers)
    @rule(data=st.data())
    def platform_answers(self, data):
        placer, answer = self.answers.pop(_index(data, self.answers))
        self._tell(placer, answer)

    @precondition(lambda self: self.orders)
    @rule(data=st.data())
    def order_arrives(self, data):
        self._deliver(self.orders.pop(_index(data, self.orders)))

    @precondition(lambda self: self.orders)
    @rule(data=st.data())
    def order_is_lost(self, data):
        self.orders.pop(_index(data, self.orders))

    @precondition(lambda self: self.orders and self.fencing)
    @rule(data=st.data())
    def order_is_repeated(self, data):
        self._deliver(self.orders[_index(data, self.orders)])

    @precondition(lambda self: self.orders)
    @rule(data=st.data())
    def order_is_given_up(self, data):
        """The order times out, but it may still arrive."""
        sent = self.orders[_index(data, self.orders)]
        answer = OrderResult(sent.order, OrderOutcome.UNKNOWN)
        self._tell(sent.placer, OrderEnded(answer))

    @precondition(lambda self: self.accepted)
    @rule(data=st.data(), answered=st.booleans())
    def order_ends(self, data, answered):
        sent = self.accepted[_index(data, self.accepted)]
        event = self._finish(sent)
        if answered:
            self.answers.append((sent.placer, event))

    @rule()
    def engine_reports(self):
        self.reports.append(self._report())

    @precondition(lambda self: self.reports)
    @rule(data=st.data(), placer=st.sampled_from(PLACERS))
    def report_arrives(self, data, placer):
        """Reports arrive in any order, at one or both placers, or never."""
        report = self.reports[_index(data, self.reports)]
        self._tell(placer, TargetReported(report))

    @rule()
    def engine_restarts(self):
        self.now_s += 0.1
        self._start_engine()

    @invariant()
    def memory_is_never_overcommitted(self):
        for memory in self.engines:
            assert memory.overcommits == 0, _describe(memory)


def _index(data, waiting):
    return data.draw(st.integers(0, len(waiting) - 1))


def _describe(memory):
    return f"{memory.used_mb} of {memory.capacity_mb} MB: {memory.residents}"


class HonouringMachine(MemoryMachine):
    """The engine refuses orders with old fencing numbers."""

    fencing = True


class ExpiringMachine(MemoryMachine):
    """The engine ignores fencing numbers and refuses expired orders."""

    expiry = True


MACHINES = {
    "honours fencing": HonouringMachine,
    "ignores fencing": MemoryMachine,
    "honours expiry": ExpiringMachine,
}
