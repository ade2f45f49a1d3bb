"""Runs the configuration node: peer messages, platform reads and watch."""

from __future__ import annotations

import asyncio
import ipaddress
import random
from collections.abc import Callable
from typing import Any

from result import Err, Ok

from marjoramstage._instance.node_dump import dump_node
from marjoramstage._instance.tasks import TaskGroup
from marjoramstage.addresses import split_address
from marjoramstage.clock import Clock
from marjoramstage.coordination._release_store import (
    HEAD_NAME,
    document_content,
    head_from_object,
)
from marjoramstage.coordination.config_events import (
    DocumentsRead,
    Emit,
    HeadReadFailed,
    HeadSeen,
    NodeEffect,
    NodeEvent,
    NodeTick,
    PeerReceived,
    ReadDocuments,
    ReadHead,
    SendPeer,
    StopWatch,
    WatchEnded,
    WatchHead,
)
from marjoramstage.coordination.config_node import ConfigNode
from marjoramstage.coordination.mailbox import Mailbox
from marjoramstage.logs import component_logger
from marjoramstage.metrics import Metrics
from marjoramstage.protocol.events import Event, InventoryAccepted
from marjoramstage.protocol.objects import (
    DOCUMENT,
    HEAD,
    Platform,
    PlatformFault,
    PlatformObject,
)
from marjoramstage.protocol.peers import (
    LeavingTarget,
    MemberEntry,
    NamedDocument,
    PeerMessage,
)
from marjoramstage.settings import Settings
from marjoramstage.state.inventory import Inventory
from marjoramstage.transport.peers import PeerClient, PeerIdentity, PeerServer

log = component_logger("peering")

TICK_INTERVAL_S = 0.2
MAX_CONCURRENT_READS = 8


class ConfigNodeRunner:
    """Passes events to the configuration node and carries out its effects.

    Parameters
    ----------
    post : callable
        Receives the events for the other state machines of the instance.
    """

    def __init__(
        self,
        settings: Settings,
        platform: Platform,
        post: Callable[[Event], None],
        tasks: TaskGroup,
        clock: Clock,
        metrics: Metrics,
    ):
        self._settings = settings
        self._platform = platform
        self._post = post
        self._tasks = tasks
        self._clock = clock
        self._identity = PeerIdentity(
            settings.name, settings.data_centre, settings.secret
        )
        self._server = PeerServer(
            settings.listen.peers, self._identity, self._on_message, metrics
        )
        self._client = PeerClient(self._identity, metrics)
        self._watch_task: asyncio.Task | None = None
        self._read_slots = asyncio.Semaphore(MAX_CONCURRENT_READS)
        self.platform_fault = ""
        self.incarnation = round(clock.wall_time() * 1000)
        self.node: ConfigNode | None = None
        self._mailbox: Mailbox | None = None

    @property
    def address(self) -> str:
        """Listening address for peers; valid after `start`."""
        return self._server.address

    async def start(self) -> None:
        """Open the port for peers and build the node, which needs its address."""
        await self._server.start()
        cfg = self._settings
        if ipaddress.ip_address(split_address(self.address)[0]).is_unspecified:
            log.warning(
                "peers cannot connect to the wildcard address",
                extra={"told": self.address},
            )
        own = MemberEntry(
            name=cfg.name,
            incarnation=self.incarnation,
            heartbeat=0,
            address=self._server.address,
            data_centre=cfg.data_centre,
        )
        rng = random.Random()
        self.node = ConfigNode(own, cfg.peers, rng, self._clock.now())
        self._mailbox = Mailbox(self.node, self._perform, self._clock)

    @property
    def generation(self) -> int:
        """Generation in force at this instance; 0 if none is yet."""
        return self.node.distributor.generation

    @property
    def inventory(self) -> Inventory:
        """Inventory in force at this instance; empty if none is yet."""
        return self.node.distributor.inventory

    def serving_count(self) -> int:
        """Return the number of serving instances in the data centre."""
        return len(self.node.gossiper.membership.serving(self._clock.now()))

    def knows_leaving(self, leaving: LeavingTarget) -> bool:
        """Return whether an incarnation of a target is known to be leaving."""
        known = self.node.gossiper.leaving
        return leaving in known or LeavingTarget(leaving.target) in known

    def waits_for(self) -> str:
        """Return what is missing before requests can be served; empty if nothing."""
        if self.generation > 0:
            return ""
        fetching = self.node.distributor.fetching
        if fetching is not None:
            return f"the documents of generation {fetching.generation}"
        platform = self.platform_fault or "reached"
        peers = self.serving_count() - 1
        return f"an accepted inventory (platform: {platform}, peers: {peers})"

    async def stop(self) -> None:
        """Close all connections to peers."""
        await self._client.stop()
        await self._server.stop()

    def post(self, event: NodeEvent) -> None:
        """Post an event to the node; dropped before `start`."""
        if self._mailbox is not None:
            self._mailbox.post(event)

    async def run(self) -> None:
        """Run the node until cancelled."""
        self._tasks.spawn(self._mailbox.run())
        while True:
            self.post(NodeTick())
            await self._clock.sleep(TICK_INTERVAL_S)

    def dump(self) -> dict[str, Any]:
        """Return the state of the configuration node as JSON data."""
        return dump_node(self.node, self._clock.now())

    def _on_message(self, message: PeerMessage) -> None:
        self.post(PeerReceived(message))

    def _perform(self, effect: NodeEffect) -> None:
        match effect:
            case SendPeer(address, message):
                self._client.send(address, message)
            case ReadHead():
                self._tasks.spawn(self._read_head())
            case WatchHead():
                self._watch_task = self._tasks.spawn(self._watch_head())
            case StopWatch():
                self._watch_task.cancel()
            case ReadDocuments(names):
                self._tasks.spawn(self._read_documents(names))
            case Emit(event):
                self._emit(event)

    def _emit(self, event: Event) -> None:
        match event:
            case InventoryAccepted(generation):
                log.info("inventory in force", extra={"generation": generation})
        self._post(event)

    async def _read_head(self) -> None:
        match await self._platform.get(HEAD, HEAD_NAME):
            case Ok(obj):
                self.platform_fault = ""
                self._post_head(obj)
            case Err(error) if error.fault is PlatformFault.NOT_FOUND:
                self.platform_fault = ""
                self.post(HeadReadFailed())
            case Err(error):
                self.platform_fault = error.fault.value
                self.post(HeadReadFailed())

    def _post_head(self, obj: PlatformObject) -> None:
        try:
            self.post(HeadSeen(head_from_object(obj).head))
        except (KeyError, TypeError, ValueError):
            log.error("cannot decode the head object")
            self.post(HeadReadFailed())

    async def _watch_head(self) -> None:
        """List the head, then watch it until the watch ends or is cancelled."""
        try:
            listed = await self._platform.list(HEAD)
            if isinstance(listed, Err):
                return
            for obj in listed.ok_value.objects:
                self._post_head(obj)
            version = listed.ok_value.version
            async for event in self._platform.watch(HEAD, version):
                if isinstance(event, Err):
                    log.info(
                        "head watch ended", extra={"fault": event.err_value.fault.value}
                    )
                    return
                if event.ok_value.obj is not None:
                    self._post_head(event.ok_value.obj)
        finally:
            self.post(WatchEnded())

    async def _read_documents(self, names: tuple[str, ...]) -> None:
        found = await asyncio.gather(*(self._read_document(name) for name in names))
        self.post(DocumentsRead(tuple(doc for doc in found if doc is not None)))

    async def _read_document(self, name: str) -> NamedDocument | None:
        async with self._read_slots:
            read = await self._platform.get(DOCUMENT, name)
        if isinstance(read, Err):
            return None
        return NamedDocument(name, document_content(read.ok_value))
