"""Runs the placer: ledger reads and writes, and orders to targets."""

from __future__ import annotations

from result import Err, Ok

from marjoramstage._instance.tasks import TaskGroup
from marjoramstage.clock import Clock
from marjoramstage.coordination.mailbox import Mailbox
from marjoramstage.coordination.placement import Placer
from marjoramstage.logs import component_logger
from marjoramstage.metrics import Metrics
from marjoramstage.protocol.events import (
    Effect,
    Event,
    LedgerRead,
    LedgerWriteFailed,
    OrderEnded,
    ReadLedger,
    SendOrder,
    WriteLedger,
)
from marjoramstage.protocol.messages import Order, OrderOutcome, OrderResult
from marjoramstage.protocol.objects import (
    LEDGER,
    Platform,
    PlatformFault,
    PlatformObject,
)
from marjoramstage.state.ledger import Ledger
from marjoramstage.state.ledger_codec import ledger_from_data, ledger_to_data
from marjoramstage.transport.targets import TargetControlClient

log = component_logger("placing")

ORDER_TIMEOUT_S = 60.0


class PlacementRunner:
    """Passes events to the placer and carries out its effects."""

    def __init__(
        self,
        placer: Placer,
        platform: Platform,
        targets: TargetControlClient,
        tasks: TaskGroup,
        clock: Clock,
        metrics: Metrics,
    ):
        self.placer = placer
        self._metrics = metrics
        self._platform = platform
        self._targets = targets
        self._tasks = tasks
        self._clock = clock
        self._mailbox = Mailbox(placer, self._perform, clock)

    def post(self, event: Event) -> None:
        """Post an event to the placer."""
        self._mailbox.post(event)

    async def run(self) -> None:
        """Run the placer until cancelled."""
        await self._mailbox.run()

    def _perform(self, effect: Effect) -> None:
        match effect:
            case ReadLedger(target):
                self._tasks.spawn(self._read_ledger(target))
            case WriteLedger(ledger):
                self._tasks.spawn(self._write_ledger(ledger))
            case SendOrder(order, address):
                self._tasks.spawn(self._send_order(order, address))

    async def _read_ledger(self, target: str) -> None:
        match await self._platform.get(LEDGER, target):
            case Ok(obj):
                ledger = ledger_from_data(target, obj.version, obj.spec)
                self.post(LedgerRead(ledger))
            case Err(error) if error.fault is PlatformFault.NOT_FOUND:
                self.post(LedgerRead(Ledger(target, "", 0)))
            case Err(_):
                log.warning("could not read ledger", extra={"target": target})
                self.post(LedgerWriteFailed(target))

    async def _write_ledger(self, ledger: Ledger) -> None:
        obj = PlatformObject(
            LEDGER, ledger.target, ledger_to_data(ledger), version=ledger.version
        )
        call = self._platform.update if ledger.version else self._platform.create
        match await call(obj):
            case Ok(obj):
                ledger = ledger_from_data(ledger.target, obj.version, obj.spec)
                self.post(LedgerRead(ledger))
            case Err(error):
                extra = {"target": ledger.target, "fault": error.fault.value}
                log.warning("could not write ledger", extra=extra)
                self.post(LedgerWriteFailed(ledger.target))

    async def _send_order(self, order: Order, address: str) -> None:
        if not self.placer.may_send_orders(order.target, self._clock.now()):
            answer = OrderResult(order, OrderOutcome.REFUSED, "lease ended")
            self.post(OrderEnded(answer))
            return
        answer = await self._targets.send_order(address, order, ORDER_TIMEOUT_S)
        extra = {
            "target": order.target,
            "item": str(order.item),
            "outcome": answer.outcome.value,
        }
        log.info("order completed", extra=extra)
        self._metrics.count(f"orders.{order.action.value}.{answer.outcome.value}")
        self.post(OrderEnded(answer))
