"""One entry instance: builds its parts and runs its background tasks.

The decisions are made by state machines in `marjoramstage.coordination` that do no
I/O; the modules of `marjoramstage._instance` feed them events and carry out their
effects on the network and the platform.
"""

from __future__ import annotations

import asyncio
import random
import uuid
from dataclasses import replace
from typing import Any

from aiohttp import web
from result import Result

from marjoramstage._instance.claims import PlatformClaimStore
from marjoramstage._instance.dump import dump_instance
from marjoramstage._instance.lease_runner import LeaseRunner
from marjoramstage._instance.leaving_targets import LeavingTargets
from marjoramstage._instance.node_runner import ConfigNodeRunner
from marjoramstage._instance.operations import Operations, new_edit_id
from marjoramstage._instance.placement_runner import PlacementRunner
from marjoramstage._instance.platform_poller import PlatformPoller
from marjoramstage._instance.report_poller import ReportPoller
from marjoramstage._instance.request_drainer import RequestDrainer
from marjoramstage._instance.request_router import RequestRouter
from marjoramstage._instance.status import engine_capacities, instance_status
from marjoramstage._instance.tasks import TaskGroup
from marjoramstage._instance.usage import UsageWriter
from marjoramstage.addresses import split_address
from marjoramstage.clock import Clock, SystemClock
from marjoramstage.coordination._release_store import Release
from marjoramstage.coordination.admission import Scheduler
from marjoramstage.coordination.capacity import infeasibility_reasons
from marjoramstage.coordination.config_events import (
    AdapterNeeded,
    OwnLoadChanged,
    StopRequested,
)
from marjoramstage.coordination.instance_loads import LOAD_INTERVAL_S
from marjoramstage.coordination.placement import Placer
from marjoramstage.coordination.releases import ApplyError, Edit
from marjoramstage.coordination.usage import UsageCollector
from marjoramstage.logs import component_logger
from marjoramstage.metrics import LocalMetrics, StatsdMetrics
from marjoramstage.protocol.events import (
    Event,
    InstanceLoadReported,
    RequestAdapterLoad,
    Tick,
)
from marjoramstage.settings import Settings
from marjoramstage.state.inventory import Inventory
from marjoramstage.transport._server import HttpServer, ServerLimits
from marjoramstage.transport.callers import CallerApi
from marjoramstage.transport.client_connection import client_session
from marjoramstage.transport.operators import OperatorApi
from marjoramstage.transport.platform import PlatformClient
from marjoramstage.transport.relay import Relay
from marjoramstage.transport.targets import TargetControlClient, UpstreamClient

log = component_logger("instance")

TICK_INTERVAL_S = 0.1
HANDOVER_TIMEOUT_S = 2.0
USAGE_WRITE_TIMEOUT_S = 5.0


class Instance:
    """An entry instance: accepts requests of callers and routes them to targets.

    Parameters
    ----------
    settings : Settings
        Addresses, data centre and limits.
    clock : Clock, optional
        Source of time.
    """

    def __init__(self, settings: Settings, clock: Clock | None = None):
        self.settings = settings
        self.metrics = _metrics(settings)
        self._clock = clock or SystemClock()
        self._tasks = TaskGroup()

    async def start(self) -> None:
        """Open the ports and start the background tasks."""
        self._session = client_session()
        self._wire()
        await self.node_runner.start()
        for server in self._servers:
            await server.start()
        for part in self._background_parts():
            self._tasks.spawn(part.run())
        self._tasks.spawn(self.callers.reader_monitor.run())
        self._tasks.spawn(self._post_ticks())
        self._tasks.spawn(self._publish_load())
        log.info("started", extra={"callers": self.caller_address})

    def _background_parts(self) -> tuple:
        """Return the parts whose `run` loops until the instance stops."""
        runners = (self.router, self.placement_runner, self.lease_runner)
        return (
            *runners,
            self.platform_poller,
            self.report_poller,
            self.usage,
            self.node_runner,
        )

    def _wire(self) -> None:
        """Build all parts and connect them."""
        cfg = self.settings
        self.platform = PlatformClient(self._session, cfg.platform, cfg.namespace)
        targets = TargetControlClient(self._session)
        incarnation = uuid.uuid4().hex
        self._wire_requests(incarnation)
        self._wire_placement(targets)
        self._wire_peers(targets)
        callers = self._wire_callers(targets, incarnation)
        operators = OperatorApi(self, self.operations, cfg.secret).app()
        limits = ServerLimits(
            header_bytes=cfg.limits.header_bytes, cancel_handlers=True
        )
        self._servers = (
            HttpServer(callers, cfg.listen.callers, limits, cfg.tls),
            HttpServer(operators, cfg.listen.operators, tls=cfg.tls),
        )

    def _wire_requests(self, incarnation: str) -> None:
        """Build request admission and routing."""
        cfg, clock = self.settings, self._clock
        scheduler = Scheduler(
            cfg.limits.queue_requests,
            instance=cfg.name,
            data_centre=cfg.data_centre,
            incarnation=incarnation,
            rng=random.Random(),
        )
        self.router = RequestRouter(
            scheduler, clock, self.metrics, self._request_adapter
        )

    def _wire_placement(self, targets: TargetControlClient) -> None:
        """Build model placement and the leases that allow it."""
        cfg, clock = self.settings, self._clock
        self.placement_runner = PlacementRunner(
            Placer(cfg.data_centre),
            self.platform,
            targets,
            self._tasks,
            clock,
            self.metrics,
        )
        self.lease_runner = LeaseRunner(
            cfg.name,
            cfg.data_centre,
            self.platform,
            self.placement_runner.post,
            self._tasks,
            clock,
        )

    def _wire_peers(self, targets: TargetControlClient) -> None:
        """Build the parts that track peers, the platform and the targets."""
        cfg, clock = self.settings, self._clock
        self.node_runner = ConfigNodeRunner(
            cfg, self.platform, self._post, self._tasks, clock, self.metrics
        )
        self.leaving = LeavingTargets(
            self.node_runner.knows_leaving, self.node_runner.post
        )
        self.operations = Operations(
            self.node_runner,
            self.platform,
            clock,
            self.leaving.incarnation,
            self.shortfalls,
        )
        self.platform_poller = PlatformPoller(
            self.platform,
            self._post,
            self.node_runner.post,
            self.node_runner.serving_count,
            clock,
        )
        self.report_poller = ReportPoller(
            targets, lambda: self.platform_poller.targets, self._post, clock
        )

    def _wire_callers(
        self, targets: TargetControlClient, incarnation: str
    ) -> web.Application:
        """Build the HTTP API for callers; return its application."""
        cfg, clock = self.settings, self._clock
        self.usage = UsageWriter(UsageCollector(incarnation), self.platform, clock)
        claims = PlatformClaimStore(
            self.platform, clock, random.Random(), self._tasks.spawn
        )
        self._calls = UpstreamClient()
        relay = Relay(
            self.router,
            self._calls,
            targets,
            clock,
            self.metrics,
            self.usage,
            self._tasks.spawn,
        )
        self.callers = CallerApi(
            relay,
            lambda: self.node_runner.inventory,
            cfg.limits,
            clock,
            self.metrics,
            claims,
        )
        self.drainer = RequestDrainer(cfg.limits.drain_s, clock)
        app = self.callers.app()
        self.drainer.track_requests(app)
        return app

    async def stop(self) -> None:
        """Shut down gracefully: drain requests up to ``limits.drain_s``, then stop.

        The leases are released meanwhile, and remaining usage is written last.
        """
        self.drainer.request_stop()
        self.node_runner.post(StopRequested())
        handover = asyncio.create_task(self.lease_runner.stop())
        await self.drainer.wait_while_lingering()
        await self._servers[0].close_listener()
        await self.drainer.wait_until_drained()
        await asyncio.wait({handover}, timeout=HANDOVER_TIMEOUT_S)
        handover.cancel()
        for server in self._servers:
            await server.stop()
        await asyncio.wait(
            {asyncio.create_task(self.usage.write())}, timeout=USAGE_WRITE_TIMEOUT_S
        )
        await self._tasks.stop()
        await self._calls.close()
        await self.node_runner.stop()
        await self._session.close()
        log.info("stopped")

    @property
    def caller_address(self) -> str:
        """Listening address of the HTTP API for callers; valid after `start`."""
        return self._servers[0].address

    @property
    def operator_address(self) -> str:
        """Listening address of the HTTP API for operators; valid after `start`."""
        return self._servers[1].address

    def ready(self) -> str:
        """Return why the instance is not ready to serve; empty if it is."""
        if not self.drainer.drain.serving:
            return "it is stopping"
        return self.node_runner.waits_for()

    def dump(self) -> dict[str, Any]:
        """Return the internal state of the instance as JSON data."""
        return dump_instance(self)

    def status(self) -> dict[str, Any]:
        """Return an overview of the deployment for operators as JSON data."""
        return instance_status(self)

    async def usage_of(self, customer: str) -> dict[str, Any] | None:
        """Return a customer's usage totals; None if the platform cannot be read."""
        return await self.usage.totals(customer)

    async def apply(self, inventory: Inventory) -> Result[Release, ApplyError]:
        """Submit an inventory as a change of the current one."""
        return await self.operations.apply(Edit(new_edit_id(), inventory))

    def end_now(self) -> None:
        """Abort requests still in flight; no effect before `stop` is called.

        Each of them is answered with an error that states its verdict.
        """
        if not self.drainer.drain.serving:
            self.drainer.request_stop()

    def shortfalls(self, inventory: Inventory) -> list[str]:
        """Return why an inventory does not fit the memory of the present engines."""
        views = self.router.scheduler.table.views.values()
        return infeasibility_reasons(inventory, engine_capacities(views))

    def now(self) -> float:
        """Return the reading of the monotonic clock."""
        return self._clock.now()

    async def _post_ticks(self) -> None:
        while True:
            self._post(Tick())
            await self._clock.sleep(TICK_INTERVAL_S)

    def _request_adapter(self, effect: RequestAdapterLoad) -> None:
        """Request an adapter from the lease holder of its target's shard."""
        target = self.platform_poller.targets.get(effect.target)
        if target is None:
            return
        shard = self.lease_runner.shard_of(target)
        self.node_runner.post(AdapterNeeded(effect.target, effect.item, shard))

    async def _publish_load(self) -> None:
        """Publish this instance's load to its peers and its own state machines."""
        while True:
            load = self.router.scheduler.own_load(self._clock.now())
            shards, retiring = (
                self.lease_runner.held(),
                self.placement_runner.placer.retiring,
            )
            load = replace(load, shards=shards, retiring=retiring)
            self.node_runner.post(OwnLoadChanged(load))
            self.metrics.gauge("callers.open", self.callers.open_requests)
            self._post(InstanceLoadReported(load))
            await self._clock.sleep(LOAD_INTERVAL_S)

    def _post(self, event: Event) -> None:
        """Pass an event, and those derived from it, to every state machine."""
        for derived in self.leaving.expand(event):
            self.router.post(derived)
            self.placement_runner.post(derived)
            self.lease_runner.update_live_peers(derived)


def _metrics(settings: Settings) -> LocalMetrics:
    if settings.statsd is None:
        return LocalMetrics()
    host, port = split_address(settings.statsd)
    return StatsdMetrics(host, port)
