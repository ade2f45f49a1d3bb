"""One instance: the tasks behind its ports, wired together."""

from __future__ import annotations

import asyncio
from collections.abc import Coroutine
from typing import Any

import aiohttp
from result import Err, Ok, Result

from marjoramstage.clock import Clock, SystemClock
from marjoramstage.coordination.admission import Scheduler
from marjoramstage.coordination.mailbox import Mailbox
from marjoramstage.coordination.placement import Placer
from marjoramstage.coordination.releases import Release, accept, read_release
from marjoramstage.exceptions import RequestError, Verdict
from marjoramstage.logs import part_logger
from marjoramstage.metrics import LocalMetrics, StatsdMetrics
from marjoramstage.protocol.events import (
    AttemptEnded,
    Dispatch,
    Effect,
    InventoryAccepted,
    LedgerRead,
    LedgerWriteFailed,
    OrderEnded,
    ReadLedger,
    Refuse,
    RequestCancelled,
    RequestSubmitted,
    RetryAsked,
    SendOrder,
    TargetGone,
    TargetListed,
    TargetReported,
    Tick,
    WriteLedger,
)
from marjoramstage.protocol.messages import AttemptEnd, Order, Request, Target
from marjoramstage.protocol.objects import (
    ENDPOINT_SLICE,
    LABEL_DATA_CENTRE,
    LEDGER,
    PlatformError,
    PlatformFault,
    PlatformObject,
)
from marjoramstage.settings import Settings, split_address
from marjoramstage.state.inventory import Inventory
from marjoramstage.state.ledger import Ledger, ledger_from_data, ledger_to_data
from marjoramstage.state.targets import targets_from_slice
from marjoramstage.transport._server import HttpServer
from marjoramstage.transport.callers import CallerPort
from marjoramstage.transport.operators import OperatorPort
from marjoramstage.transport.platform import HttpPlatform
from marjoramstage.transport.targets import HttpTargets

log = part_logger("instance")

POLL_S = 0.5
REPORT_EVERY_S = 0.25
TICK_EVERY_S = 0.25
ORDER_TIMEOUT_S = 60.0


class Instance:
    """An entry instance.

    Parameters
    ----------
    settings : Settings
        Addresses, data centre and limits.
    clock : Clock, optional
        Source of time.
    """

    def __init__(self, settings: Settings, clock: Clock | None = None):
        self.settings = settings
        self._clock = clock or SystemClock()
        self._metrics = _metrics(settings)
        self._generation = 0
        self._inventory = Inventory()
        self._targets: dict[str, Target] = {}
        self._scheduler = Scheduler(settings.limits.queue_requests)
        self._placer = Placer()
        self._scheduling = Mailbox(self._scheduler, self._perform, self._clock)
        self._placing = Mailbox(self._placer, self._perform, self._clock)
        self._waiting: dict[str, asyncio.Future[Dispatch]] = {}
        self._tasks: set[asyncio.Task] = set()
        self._session: aiohttp.ClientSession | None = None
        self._servers: list[HttpServer] = []
        self._draining = False

    @property
    def caller_address(self) -> str:
        """Address of the callers' port, after `start`."""
        return self._servers[0].address

    @property
    def operator_address(self) -> str:
        """Address of the operators' port, after `start`."""
        return self._servers[1].address

    async def start(self) -> None:
        """Listen, and begin to follow the platform and the targets."""
        connector = aiohttp.TCPConnector(limit=0)
        self._session = aiohttp.ClientSession(connector=connector)
        cfg = self.settings
        self._platform = HttpPlatform(self._session, cfg.platform, cfg.namespace)
        self._http_targets = HttpTargets(self._session)
        callers = CallerPort(
            self,
            self._http_targets,
            lambda: self._inventory,
            cfg.limits,
            self._clock,
            self._metrics,
        )
        operators = OperatorPort(self, cfg.secret)
        self._servers = [
            HttpServer(callers.app(), cfg.listen.callers),
            HttpServer(operators.app(), cfg.listen.operators),
        ]
        for server in self._servers:
            await server.start()
        for coro in (
            self._scheduling.run(),
            self._placing.run(),
            self._follow_platform(),
            self._follow_reports(),
            self._tick(),
        ):
            self._spawn(coro)
        log.info("started", extra={"callers": self.caller_address})

    async def stop(self) -> None:
        """Finish what is in flight, then end every task."""
        self._draining = True
        for server in self._servers:
            await server.stop()
        for task in list(self._tasks):
            task.cancel()
        if self._session is not None:
            await self._session.close()
        log.info("stopped")

    def ready(self) -> str:
        """Return why the instance cannot serve yet; empty if it can."""
        if self._draining:
            return "it is stopping"
        if self._generation == 0:
            return "no accepted inventory was read yet"
        return ""

    def dump(self) -> dict[str, Any]:
        """Return the state of the process as JSON data."""
        views = self._scheduler.table.views.values()
        return {
            "instance": self.settings.name,
            "data_centre": self.settings.data_centre,
            "generation": self._generation,
            "waits_for": self.ready(),
            "targets": [
                {
                    "name": view.target.name,
                    "kind": view.target.kind.value,
                    "address": view.target.address,
                    "leaving": view.target.leaving,
                    "in_flight": view.in_flight,
                    "ready": sorted(str(item) for item in view.ready),
                }
                for view in views
            ],
            "queues": self._scheduler.queue_lengths(),
            "ledgers": {
                name: ledger_to_data(ledger)
                for name, ledger in self._placer.ledgers.items()
            },
            "counters": dict(self._metrics.counters),
        }

    def inventory(self) -> tuple[int, Inventory]:
        """Return the generation and the inventory in force."""
        return self._generation, self._inventory

    async def apply(self, inventory: Inventory) -> Result[Release, PlatformError]:
        """Submit an inventory."""
        return await accept(self._platform, inventory)

    async def submit(self, request: Request) -> Dispatch:
        """Wait for a target; raise `RequestError` if the request is refused."""
        self._metrics.count("callers.requests")
        return await self._ask(RequestSubmitted(request), request)

    async def retry(self, request: Request, failed: tuple[str, ...]) -> Dispatch:
        """Wait for another target after an attempt that has not run."""
        self._metrics.count("routing.retries")
        return await self._ask(RetryAsked(request, failed), request)

    def ended(self, end: AttemptEnd) -> None:
        """Note the end of an attempt."""
        self._metrics.count(f"attempts.{end.verdict.value}")
        self._scheduling.post(AttemptEnded(end))

    async def _ask(
        self, event: RequestSubmitted | RetryAsked, request: Request
    ) -> Dispatch:
        fut = asyncio.get_running_loop().create_future()
        self._waiting[request.id] = fut
        self._scheduling.post(event)
        try:
            return await fut
        except asyncio.CancelledError:
            self._scheduling.post(RequestCancelled(request.id))
            raise
        finally:
            self._waiting.pop(request.id, None)

    def _perform(self, effect: Effect) -> None:
        """Carry out an effect of either machine."""
        match effect:
            case Dispatch():
                self._dispatched(effect)
            case Refuse():
                self._refused(effect)
            case ReadLedger(target):
                self._spawn(self._read_ledger(target))
            case WriteLedger(ledger):
                self._spawn(self._write_ledger(ledger))
            case SendOrder(order, address):
                self._spawn(self._send_order(order, address))

    def _dispatched(self, effect: Dispatch) -> None:
        fut = self._waiting.get(effect.request.id)
        if fut is None or fut.done():
            end = AttemptEnd(effect.request, effect.target, Verdict.NOT_RUN, False)
            self.ended(end)
            return
        fut.set_result(effect)

    def _refused(self, effect: Refuse) -> None:
        fut = self._waiting.get(effect.request.id)
        if fut is None or fut.done():
            return
        error = RequestError(
            effect.status,
            effect.code,
            effect.message,
            Verdict.NOT_RUN,
            effect.retry_after_s,
        )
        fut.set_exception(error)

    async def _read_ledger(self, target: str) -> None:
        found = await self._platform.get(LEDGER, target)
        match found:
            case Ok(obj):
                ledger = ledger_from_data(target, obj.version, obj.spec)
                self._placing.post(LedgerRead(ledger))
            case Err(error) if error.fault is PlatformFault.NOT_FOUND:
                self._placing.post(LedgerRead(Ledger(target, "", 0)))
            case Err(error):
                log.warning("ledger not read", extra={"target": target})

    async def _write_ledger(self, ledger: Ledger) -> None:
        obj = PlatformObject(
            LEDGER, ledger.target, ledger_to_data(ledger), version=ledger.version
        )
        if ledger.version:
            written = await self._platform.update(obj)
        else:
            written = await self._platform.create(obj)
        match written:
            case Ok(obj):
                ledger = ledger_from_data(ledger.target, obj.version, obj.spec)
                self._placing.post(LedgerRead(ledger))
            case Err(error):
                log.warning(
                    "ledger not written",
                    extra={"target": ledger.target, "fault": error.fault.value},
                )
                self._placing.post(LedgerWriteFailed(ledger.target))

    async def _send_order(self, order: Order, address: str) -> None:
        answer = await self._http_targets.send_order(address, order, ORDER_TIMEOUT_S)
        log.info(
            "order ended",
            extra={
                "target": order.target,
                "item": str(order.item),
                "outcome": answer.outcome.value,
            },
        )
        self._placing.post(OrderEnded(answer))

    async def _follow_platform(self) -> None:
        while True:
            await self._poll_targets()
            await self._poll_release()
            await self._clock.sleep(POLL_S)

    async def _poll_targets(self) -> None:
        labels = {LABEL_DATA_CENTRE: self.settings.data_centre}
        listed = await self._platform.list(ENDPOINT_SLICE, labels)
        if isinstance(listed, Err):
            return
        found = {}
        for obj in listed.ok_value.objects:
            for target in targets_from_slice(obj):
                found[target.name] = target
        for name in self._targets.keys() - found.keys():
            self._post_all(TargetGone(name))
        for target in found.values():
            if self._targets.get(target.name) != target:
                self._post_all(TargetListed(target))
        self._targets = found

    async def _poll_release(self) -> None:
        read = await read_release(self._platform)
        if isinstance(read, Err):
            return
        release = read.ok_value
        if release.generation <= self._generation:
            return
        self._generation = release.generation
        self._inventory = release.inventory
        self._post_all(InventoryAccepted(release.generation, release.inventory))
        log.info("inventory in force", extra={"generation": release.generation})

    async def _follow_reports(self) -> None:
        while True:
            targets = list(self._targets.values())
            await asyncio.gather(*(self._read_report(target) for target in targets))
            await self._clock.sleep(REPORT_EVERY_S)

    async def _read_report(self, target: Target) -> None:
        report = await self._http_targets.report(target.address)
        if report is not None:
            self._post_all(TargetReported(report))

    async def _tick(self) -> None:
        while True:
            self._post_all(Tick())
            await self._clock.sleep(TICK_EVERY_S)

    def _post_all(self, event) -> None:
        self._scheduling.post(event)
        self._placing.post(event)

    def _spawn(self, coro: Coroutine) -> None:
        task = asyncio.create_task(coro)
        self._tasks.add(task)
        task.add_done_callback(self._task_done)

    def _task_done(self, task: asyncio.Task) -> None:
        self._tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            log.error("task failed", exc_info=task.exception())


def _metrics(settings: Settings) -> LocalMetrics:
    if settings.statsd is None:
        return LocalMetrics()
    host, port = split_address(settings.statsd)
    return StatsdMetrics(host, port)
