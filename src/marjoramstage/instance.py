"""One instance: the tasks behind its ports, wired together."""

from __future__ import annotations

import random
import uuid
from typing import Any

import aiohttp
from result import Result

from marjoramstage._instance.claims import ClaimDesk
from marjoramstage._instance.dump import dump_instance
from marjoramstage._instance.following import Follower
from marjoramstage._instance.leasing import LeaseDesk
from marjoramstage._instance.placing import PlacementDesk
from marjoramstage._instance.reporting import Reporter
from marjoramstage._instance.requests import RequestDesk
from marjoramstage._instance.tasks import TaskGroup
from marjoramstage._instance.usage import UsageDesk
from marjoramstage.addresses import split_address
from marjoramstage.clock import Clock, SystemClock
from marjoramstage.coordination.admission import Scheduler
from marjoramstage.coordination.placement import Placer
from marjoramstage.coordination.releases import Release, accept
from marjoramstage.coordination.usage import UsageCollector
from marjoramstage.logs import part_logger
from marjoramstage.metrics import LocalMetrics, StatsdMetrics
from marjoramstage.protocol.events import AdapterAsked, AskAdapter, Event, Tick
from marjoramstage.protocol.objects import PlatformError
from marjoramstage.settings import Settings
from marjoramstage.state.inventory import Inventory
from marjoramstage.transport._server import HttpServer, ServerLimits
from marjoramstage.transport.callers import CallerPort
from marjoramstage.transport.operators import OperatorPort
from marjoramstage.transport.platform import HttpPlatform
from marjoramstage.transport.relay import Relay
from marjoramstage.transport.targets import CallClient, HttpTargets

log = part_logger("instance")

TICK_EVERY_S = 0.1


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
        self.metrics = _metrics(settings)
        self._clock = clock or SystemClock()
        self._tasks = TaskGroup()
        self._draining = False

    async def start(self) -> None:
        """Listen, and begin to follow the platform and the targets."""
        self._session = aiohttp.ClientSession(connector=aiohttp.TCPConnector(limit=0))
        self._wire()
        for server in self._servers:
            await server.start()
        for part in self._parts():
            self._tasks.spawn(part.run())
        self._tasks.spawn(self.callers.readers.run())
        self._tasks.spawn(self._tick())
        log.info("started", extra={"callers": self.caller_address})

    def _parts(self) -> tuple:
        """Return the parts that run until the instance stops."""
        desks = (self.requests, self.placing, self.leasing)
        return (*desks, self.follower, self.reporter, self.usage)

    def _wire(self) -> None:
        """Build every part."""
        cfg, clock = self.settings, self._clock
        self.platform = HttpPlatform(self._session, cfg.platform, cfg.namespace)
        targets = HttpTargets(self._session)
        incarnation = uuid.uuid4().hex
        scheduler = Scheduler(
            cfg.limits.queue_requests,
            instance=cfg.name,
            data_centre=cfg.data_centre,
            incarnation=incarnation,
            rng=random.Random(),
        )
        self.requests = RequestDesk(scheduler, clock, self.metrics, self._ask_adapter)
        self.placing = PlacementDesk(
            Placer(cfg.data_centre), self.platform, targets, self._tasks, clock
        )
        self.leasing = LeaseDesk(
            cfg.name,
            cfg.data_centre,
            self.platform,
            self.placing.post,
            self._tasks,
            clock,
        )
        self.follower = Follower(self.platform, self._post, clock)
        self.reporter = Reporter(
            targets, lambda: self.follower.targets, self._post, clock
        )
        self.usage = UsageDesk(UsageCollector(incarnation), self.platform, clock)
        claims = ClaimDesk(self.platform, clock, random.Random(), self._tasks.spawn)
        self._calls = CallClient()
        relay = Relay(
            self.requests,
            self._calls,
            targets,
            clock,
            self.metrics,
            self.usage,
            self._tasks.spawn,
        )
        self.callers = CallerPort(
            relay,
            lambda: self.follower.inventory,
            cfg.limits,
            clock,
            self.metrics,
            claims,
        )
        operators = OperatorPort(self, cfg.secret)
        self._servers = (
            HttpServer(
                self.callers.app(),
                cfg.listen.callers,
                ServerLimits(
                    header_bytes=cfg.limits.header_bytes, cancel_handlers=True
                ),
            ),
            HttpServer(operators.app(), cfg.listen.operators),
        )

    async def stop(self) -> None:
        """Finish what is in flight, then end every task."""
        self._draining = True
        await self.leasing.stop()
        for server in self._servers:
            await server.stop()
        await self.usage.write()
        await self._tasks.stop()
        await self._calls.close()
        await self._session.close()
        log.info("stopped")

    @property
    def caller_address(self) -> str:
        """Address of the callers' port, after `start`."""
        return self._servers[0].address

    @property
    def operator_address(self) -> str:
        """Address of the operators' port, after `start`."""
        return self._servers[1].address

    def ready(self) -> str:
        """Return why the instance cannot serve yet; empty if it can."""
        if self._draining:
            return "it is stopping"
        if self.follower.generation == 0:
            return "no accepted inventory was read yet"
        return ""

    def dump(self) -> dict[str, Any]:
        """Return the state of the process as JSON data."""
        return dump_instance(self)

    def inventory(self) -> tuple[int, Inventory]:
        """Return the generation and the inventory in force."""
        return self.follower.generation, self.follower.inventory

    async def apply(self, inventory: Inventory) -> Result[Release, PlatformError]:
        """Submit an inventory."""
        return await accept(self.platform, inventory)

    async def _tick(self) -> None:
        while True:
            self._post(Tick())
            await self._clock.sleep(TICK_EVERY_S)

    def _ask_adapter(self, effect: AskAdapter) -> None:
        """Pass a wish for an adapter on to the placer."""
        self.placing.post(AdapterAsked(effect.target, effect.item))

    def _post(self, event: Event) -> None:
        """Hand an event to every machine."""
        self.requests.post(event)
        self.placing.post(event)
        self.leasing.heard(event)


def _metrics(settings: Settings) -> LocalMetrics:
    if settings.statsd is None:
        return LocalMetrics()
    host, port = split_address(settings.statsd)
    return StatsdMetrics(host, port)
