"""Runs the real configuration nodes of the instances on the virtual clock."""

from __future__ import annotations

import random

from marjoramstage.bench._instances import FakeInstance, Instances
from marjoramstage.bench._links import Links
from marjoramstage.bench._loop import EventLoop
from marjoramstage.bench._platform import CALL_S, SLOW_CALL_S, FakePlatform
from marjoramstage.coordination import config_events as events
from marjoramstage.coordination.config_node import ConfigNode
from marjoramstage.protocol.events import InventoryAccepted
from marjoramstage.protocol.peers import Head, MemberEntry, NamedDocument, PeerMessage
from marjoramstage.state.document_tree import build_tree
from marjoramstage.state.inventory import Inventory

TICK_S = 0.1


class ConfigSimulation:
    """Simulated store of heads and documents, with a real node per instance.

    Attributes
    ----------
    reverted : int
        How often an instance replaced its generation in force by a lower one.
    accepted_s : dict
        Time at which each generation was accepted.
    in_force_s : dict
        Time at which each generation came into force, by generation and then by
        ``NAME/START`` of the instance.
    joined_s : dict
        Time at which each instance started, by ``NAME/START``.
    """

    def __init__(
        self,
        instances: Instances,
        links: Links,
        platform: FakePlatform,
        loop: EventLoop,
        rng: random.Random,
    ):
        self.reverted = 0
        self.accepted_s: dict[int, float] = {}
        self.in_force_s: dict[int, dict[str, float]] = {}
        self.joined_s: dict[str, float] = {}
        self._instances = instances
        self._links = links
        self._platform = platform
        self._loop = loop
        self._rng = rng
        self._heads: list[Head] = []
        self._documents: dict[str, bytes] = {}
        self._nodes: dict[str, ConfigNode] = {}
        self._watching: set[str] = set()

    def start(self, inventory: Inventory) -> None:
        """Accept the first generation and start the ticks of the nodes."""
        self.accept(inventory)
        self._loop.after(TICK_S, self._tick)

    def accept(self, inventory: Inventory) -> None:
        """Store an inventory as the next generation, even if the platform is down."""
        generation = len(self._heads) + 1
        tree = build_tree(inventory)
        self._documents.update(tree.documents)
        self._heads.append(Head(generation, tree.root, f"edit-{generation}"))
        self.accepted_s[generation] = self._loop.now_s
        self.in_force_s[generation] = {}
        for name in sorted(self._watching):
            self._loop.after(self._call_s, self._watch_event, name)

    def join(self, inst: FakeInstance) -> None:
        """Create the configuration node of an instance that starts."""
        spec = inst.spec
        own = MemberEntry(
            spec.name, inst.start, 0, address=spec.name, data_centre=spec.data_centre
        )
        seeds = tuple(sorted(self._instances.by_name))
        rng = random.Random(self._rng.random())
        self._nodes[spec.name] = ConfigNode(own, seeds, rng, self._loop.now_s)
        self._watching.discard(spec.name)
        self.joined_s[f"{inst.name}/{inst.start}"] = self._loop.now_s

    @property
    def _call_s(self) -> float:
        return SLOW_CALL_S if self._platform.slow else CALL_S

    def _tick(self) -> None:
        self._loop.after(TICK_S, self._tick)
        for inst in self._instances.all:
            if inst.serving:
                self._handle(inst, inst.start, events.NodeTick())
                self._check_watch(inst)

    def _check_watch(self, inst: FakeInstance) -> None:
        if inst.name in self._watching and not self._platform_reachable(inst):
            self._watching.discard(inst.name)
            self._handle(inst, inst.start, events.WatchEnded())

    def _platform_reachable(self, inst: FakeInstance) -> bool:
        return not self._platform.down and self._links.reaches_platform(inst.name)

    def _watch_event(self, name: str) -> None:
        inst = self._instances.by_name[name]
        if name in self._watching and self._platform_reachable(inst):
            self._post(inst, inst.start, events.HeadSeen(self._heads[-1]))

    def _post(self, inst: FakeInstance, start: int, event: events.NodeEvent) -> None:
        self._instances.run(inst, self._handle, inst, start, event)

    def _handle(self, inst: FakeInstance, start: int, event: events.NodeEvent) -> None:
        if inst.start != start or not inst.alive:
            return
        node = self._nodes[inst.name]
        for effect in node.handle(event, self._loop.now_s):
            self._perform(inst, effect)

    def _perform(self, inst: FakeInstance, effect: events.NodeEffect) -> None:
        match effect:
            case events.SendPeer(address, message):
                self._send(inst, address, message)
            case events.ReadHead():
                self._loop.after(self._call_s, self._read_head, inst, inst.start)
            case events.WatchHead():
                self._watching.add(inst.name)
                self._loop.after(self._call_s, self._watch_event, inst.name)
            case events.StopWatch():
                self._watching.discard(inst.name)
            case events.ReadDocuments(names):
                self._loop.after(
                    self._call_s, self._read_documents, inst, inst.start, names
                )
            case events.Emit(event) if isinstance(event, InventoryAccepted):
                self._in_force(inst, event)

    def _send(self, inst: FakeInstance, address: str, message: PeerMessage) -> None:
        other = self._instances.by_name[address]
        if self._links.joined(inst.name, address):
            delay_s = self._links.delay_s(inst.name, address)
            event = events.PeerReceived(message)
            self._loop.after(delay_s, self._post, other, other.start, event)

    def _read_head(self, inst: FakeInstance, start: int) -> None:
        event = events.HeadReadFailed()
        if self._platform_reachable(inst):
            event = events.HeadSeen(self._heads[-1])
        self._post(inst, start, event)

    def _read_documents(
        self, inst: FakeInstance, start: int, names: tuple[str, ...]
    ) -> None:
        found: tuple[NamedDocument, ...] = ()
        if self._platform_reachable(inst):
            found = tuple(NamedDocument(n, self._documents[n]) for n in names)
        self._post(inst, start, events.DocumentsRead(found))

    def _in_force(self, inst: FakeInstance, event: InventoryAccepted) -> None:
        if event.generation < inst.generation:
            self.reverted += 1
        inst.generation = event.generation
        for generation in range(1, event.generation + 1):
            seen = self.in_force_s[generation]
            seen.setdefault(f"{inst.name}/{inst.start}", self._loop.now_s)
        self._instances.post_all(inst, event)
