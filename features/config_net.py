"""Simulation of configuration nodes with a fake network and platform.

A small discrete-event simulation: a queue of timed calls, network delays and
cuts, and platform faults. After every call each node is checked.
"""

import heapq
import random
from dataclasses import dataclass, field, replace

from marjoramstage.coordination import config_events as events
from marjoramstage.coordination.config_node import ConfigNode
from marjoramstage.protocol.compression import compress, decompress
from marjoramstage.protocol.events import InventoryAccepted
from marjoramstage.protocol.peers import (
    DocumentsSent,
    Head,
    MemberEntry,
    NamedDocument,
    encode,
)
from marjoramstage.state.document_tree import (
    MAX_DOCUMENT_BYTES,
    build_tree,
    inventory_from_tree,
)
from marjoramstage.state.inventory import inventory_from_data

TICK_S = 0.2
LOCAL_S = 0.001
REMOTE_S = 0.0015
PLATFORM_S = 0.005
BOOKMARK_TIMEOUT_S = 15.0


def inventory_of(generation, models=40):
    """An inventory in which one model's version is the generation."""
    entries = [{"name": f"m{i}", "memory_mb": 10} for i in range(models)]
    entries[generation % models] = {
        "name": f"m{generation % models}",
        "memory_mb": 10,
        "version": str(generation),
    }
    return inventory_from_data({"models": entries})


@dataclass
class FakePlatform:
    """Holds the head and documents; injects faults into reads and watches."""

    heads: list = field(default_factory=list)
    documents: dict = field(default_factory=dict)
    inventories: dict = field(default_factory=dict)
    down: bool = False
    delay_s: float = PLATFORM_S
    stale: int = 0
    watch: str = "ok"
    reads: int = 0
    watches: int = 0

    def accept(self):
        generation = len(self.heads) + 1
        tree = build_tree(inventory_of(generation))
        self.documents.update(tree.documents)
        head = Head(generation, tree.root, f"edit-{generation}")
        self.heads.append(head)
        self.inventories[generation] = inventory_from_tree(tree.root, tree.documents)
        return head

    def read_head(self):
        shown = len(self.heads) - self.stale
        return self.heads[shown - 1] if shown > 0 else None


@dataclass
class Process:
    """One incarnation of a simulated instance."""

    name: str
    data_centre: str
    node: ConfigNode
    running: bool = True
    frozen: bool = False
    watching: int = 0
    generation: int = 0
    held: list = field(default_factory=list)
    emitted: list = field(default_factory=list)


class ConfigNet:
    """The simulated nodes, the virtual clock and the network cuts."""

    def __init__(self, data_centres, each, seed=1):
        self.now_s = 0.0
        self.platform = FakePlatform()
        self.rng = random.Random(seed)
        self.processes = {}
        self.cuts = set()
        self.platform_cuts = set()
        self.alter_message = None
        self.violations = []
        self.measured = False
        self.sent = 0
        self.sent_bytes = 0
        self._queue = []
        self._order = 0
        self._incarnation = 1000
        for dc in range(1, data_centres + 1):
            for i in range(1, each + 1):
                self.start(f"d{dc}-i{i}", f"d{dc}")

    @property
    def names(self):
        return list(self.processes)

    def start(self, name, data_centre):
        self._incarnation += 1000
        own = MemberEntry(
            name, self._incarnation, 0, address=name, data_centre=data_centre
        )
        seeds = ("d1-i1", f"{data_centre}-i1", f"{data_centre}-i2")
        rng = random.Random(self.rng.random())
        node = ConfigNode(own, seeds, rng, self.now_s)
        process = Process(name, data_centre, node)
        self.processes[name] = process
        self._later(self.rng.uniform(0, TICK_S), lambda: self._tick(process))

    def kill(self, name):
        self.processes[name].running = False

    def restart(self, name):
        data_centre = self.processes[name].data_centre
        self.kill(name)
        self.start(name, data_centre)

    def freeze(self, name, frozen=True):
        process = self.processes[name]
        process.frozen = frozen
        if frozen:
            return
        held, process.held = process.held, []
        for event in held:
            self._handle(process, event)
        self._later(0, lambda: self._tick(process))

    def watcher(self, data_centre):
        for process in self.running(data_centre):
            if process.node.is_watcher(self.now_s):
                return process.name
        return None

    def running(self, data_centre=None):
        return [
            p
            for p in self.processes.values()
            if p.running and data_centre in (None, p.data_centre)
        ]

    def accept(self):
        """Accept the next generation; the working watches deliver it."""
        head = self.platform.accept()
        for process in self.running():
            if process.watching and self.platform.watch == "ok":
                self._watch_event(process, process.watching, head)

    def break_watches(self):
        for process in self.running():
            if process.watching:
                process.watching = 0
                self._later(0, lambda p=process: self._handle(p, events.WatchEnded()))

    def run(self, for_s, until=None):
        """Run for ``for_s`` or until a condition; return the time taken."""
        start_s = self.now_s
        end_s = start_s + for_s
        while self._queue and self._queue[0][0] <= end_s:
            self.now_s, _, call = heapq.heappop(self._queue)
            call()
            self.check()
            if until is not None and until():
                return self.now_s - start_s
        self.now_s = end_s
        return for_s

    def in_force(self, generation=None, names=None):
        wanted = generation or len(self.platform.heads)
        chosen = [p for p in self.running() if names is None or p.name in names]
        return all(p.node.distributor.generation >= wanted for p in chosen)

    def check(self):
        """Record each node that reverts or differs from what was accepted."""
        for process in self.processes.values():
            held = process.node.distributor
            if held.generation < process.generation:
                self.violations.append((self.now_s, process.name, "reverted"))
            if held.generation == process.generation:
                continue
            process.generation = held.generation
            if held.head not in self.platform.heads:
                self.violations.append((self.now_s, process.name, "never accepted"))
            elif held.inventory != self.platform.inventories[held.generation]:
                self.violations.append((self.now_s, process.name, "other content"))

    def post(self, name, event):
        self._handle(self.processes[name], event)

    def _later(self, delay_s, call):
        self._order += 1
        heapq.heappush(self._queue, (self.now_s + delay_s, self._order, call))

    def _tick(self, process):
        if not process.running or process.frozen:
            return
        self._handle(process, events.NodeTick())
        self._later(TICK_S, lambda: self._tick(process))

    def _handle(self, process, event):
        if not process.running:
            return
        if process.frozen:
            process.held.append(event)
            return
        for effect in process.node.handle(event, self.now_s):
            self._perform(process, effect)

    def _perform(self, process, effect):
        match effect:
            case events.SendPeer(address, message):
                self._send(process, address, message)
            case events.ReadHead():
                self._platform_call(process, self._read_head)
            case events.WatchHead():
                process.watching = self._order
                self._platform_call(process, self._begin_watch)
            case events.StopWatch():
                process.watching = 0
            case events.ReadDocuments(names):
                self._platform_call(
                    process, lambda reached: self._read_documents(reached, names)
                )
            case events.Emit(event):
                process.emitted.append((self.now_s, event))

    def _send(self, process, address, message):
        if self.measured:
            self.sent += 1
            self.sent_bytes += len(encode(message)) + 4
        if self.alter_message is not None:
            message = self.alter_message(process.name, message)
        if message is None or (process.name, address) in self.cuts:
            return
        target = self.processes.get(address)
        if target is None:
            return
        same = target.data_centre == process.data_centre
        event = events.PeerReceived(message)
        self._later(
            LOCAL_S if same else REMOTE_S,
            lambda: self._handle(self.processes[address], event),
        )

    def _platform_call(self, process, answer):
        """Call the platform; the response reflects its state on arrival."""
        self.platform.reads += 1
        reached = not self.platform.down and process.name not in self.platform_cuts

        def arrive():
            event = answer(reached)
            if event is not None:
                self._later(0, lambda: self._handle(process, event))

        self._later(self.platform.delay_s, arrive)

    def _read_head(self, reached):
        head = self.platform.read_head() if reached else None
        return events.HeadSeen(head) if head else events.HeadReadFailed()

    def _read_documents(self, reached, names):
        if not reached:
            return events.DocumentsRead(())
        found = [n for n in names if n in self.platform.documents]
        documents = [NamedDocument(n, self.platform.documents[n]) for n in found]
        return events.DocumentsRead(tuple(documents))

    def _begin_watch(self, reached):
        self.platform.watches += 1
        if not reached or self.platform.watch == "broken":
            return events.WatchEnded()
        head = self.platform.read_head()
        return events.HeadSeen(head) if head else None

    def _watch_event(self, process, watch, head):
        def arrive():
            reached = not self.platform.down and process.name not in self.platform_cuts
            if reached and process.watching == watch:
                self._handle(process, events.HeadSeen(head))

        self._later(self.platform.delay_s, arrive)


def forged(message):
    """Return the message with one byte of each document changed."""
    if not isinstance(message, DocumentsSent):
        return message
    documents = tuple(
        NamedDocument(
            d.name, compress(decompress(d.content, MAX_DOCUMENT_BYTES)[:-1] + b" ")
        )
        for d in message.documents
    )
    return replace(message, documents=documents)


def halved(message):
    """Return the message with each document truncated to half."""
    if not isinstance(message, DocumentsSent):
        return message
    documents = tuple(
        NamedDocument(d.name, d.content[: len(d.content) // 2])
        for d in message.documents
    )
    return replace(message, documents=documents)


def accepted_generations(process):
    return [
        event.generation
        for _, event in process.emitted
        if isinstance(event, InventoryAccepted)
    ]
