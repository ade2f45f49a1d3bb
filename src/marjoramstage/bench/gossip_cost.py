"""Measures what gossip and configuration cost a node.

Varies the number of nodes and the rate of changes. Runs the production
configuration nodes and codec on a virtual clock; processor time covers
decisions, encoding and decoding, but not sockets.
"""

from __future__ import annotations

import argparse
import heapq
import json
import random
import time
from collections.abc import Callable
from dataclasses import asdict, dataclass

from marjoramstage.coordination import config_events as events
from marjoramstage.coordination.config_node import ConfigNode
from marjoramstage.coordination.instance_loads import LOAD_INTERVAL_S
from marjoramstage.protocol.messages import InstanceLoad
from marjoramstage.protocol.peers import (
    Head,
    MemberEntry,
    NamedDocument,
    decode,
    encode,
)
from marjoramstage.state.document_tree import build_tree
from marjoramstage.state.inventory import Inventory, inventory_from_data

TICK_S = 0.2
DELAY_S = 0.001
SETTLE_S = 8.0
FRAME_BYTES = 4
MODELS = 880
TARGETS = 10
NODES = (8, 16, 35, 70)
DATA_CENTRES = (1, 2, 4, 8)
CHANGES_PER_S = (0.0, 0.36, 1.0)


@dataclass(frozen=True)
class Cost:
    """Cost of one setting.

    Attributes
    ----------
    nodes : int
        Nodes in each data centre.
    sent_bytes_per_s, messages_per_s : float
        Sent by a node on average.
    most_bytes_per_s : float
        Sent by the busiest node.
    core_share : float
        Processor time of a node, as a share of one core.
    platform_calls_per_s : float
        Calls of all nodes together; an open watch counts as one call a second.
    slowest_s : float
        Longest time from the acceptance of an inventory until the last node has
        applied it.
    """

    nodes: int
    data_centres: int
    changes_per_s: float
    sent_bytes_per_s: float
    most_bytes_per_s: float
    messages_per_s: float
    core_share: float
    platform_calls_per_s: float
    slowest_s: float


class ClusterSimulation:
    """Nodes of several data centres on one virtual clock."""

    def __init__(self, nodes: int, data_centres: int, seed: int):
        self._rng = random.Random(seed)
        self._now_s = 0.0
        self._order = 0
        self._queue: list[tuple[float, int, Callable[[], None]]] = []
        self._heads: list[tuple[Head, float]] = []
        self._documents: dict[str, bytes] = {}
        self._watching: set[str] = set()
        self._sent: dict[str, int] = {}
        self._messages = 0
        self._calls = 0
        self._cpu_s = 0.0
        self._slowest_s = 0.0
        self._nodes: dict[str, ConfigNode] = {}
        for index in range(nodes * data_centres):
            self._start(f"entry-{index:04}", f"dc-{index % data_centres}")

    def run(self, changes_per_s: float, for_s: float) -> dict[str, float]:
        """Let the nodes settle, then measure; return totals."""
        self.accept()
        self._until(SETTLE_S)
        self._sent, self._messages, self._calls = dict.fromkeys(self._sent, 0), 0, 0
        self._cpu_s = self._slowest_s = 0.0
        if changes_per_s:
            self._later(1 / changes_per_s, lambda: self._change(1 / changes_per_s))
        self._until(self._now_s + for_s)
        return {
            "sent_bytes": sum(self._sent.values()),
            "most_bytes": max(self._sent.values()),
            "messages": self._messages,
            "calls": self._calls + len(self._watching) * for_s,
            "cpu_s": self._cpu_s,
            "slowest_s": self._slowest_s,
        }

    def accept(self) -> None:
        """Accept an inventory in which one model has a new version."""
        generation = len(self._heads) + 1
        tree = build_tree(_inventory(generation))
        self._documents.update(tree.documents)
        head = Head(generation, tree.root, f"edit{generation:028}")
        self._heads.append((head, self._now_s))
        for name in list(self._watching):
            self._later(DELAY_S, lambda n=name: self._handle(n, events.HeadSeen(head)))

    def _start(self, name: str, data_centre: str) -> None:
        own = MemberEntry(
            name, 1_790_000_000_000, 0, address=name, data_centre=data_centre
        )
        rng = random.Random(self._rng.random())
        self._nodes[name] = ConfigNode(own, ("entry-0000", "entry-0001"), rng, 0.0)
        self._sent[name] = 0
        self._later(self._rng.uniform(0, TICK_S), lambda: self._tick(name))
        self._later(self._rng.uniform(0, 1), lambda: self._load(name, data_centre, 1))

    def _change(self, every_s: float) -> None:
        self.accept()
        self._later(every_s, lambda: self._change(every_s))

    def _until(self, end_s: float) -> None:
        while self._queue and self._queue[0][0] <= end_s:
            self._now_s, _, call = heapq.heappop(self._queue)
            call()
        self._now_s = end_s

    def _later(self, delay_s: float, call: Callable[[], None]) -> None:
        self._order += 1
        heapq.heappush(self._queue, (self._now_s + delay_s, self._order, call))

    def _tick(self, name: str) -> None:
        self._handle(name, events.NodeTick())
        self._later(TICK_S, lambda: self._tick(name))

    def _load(self, name: str, data_centre: str, sequence: int) -> None:
        in_flight = {f"target-{i:05}": i + 1 for i in range(TARGETS)}
        load = InstanceLoad(name, data_centre, "i" * 32, sequence, in_flight)
        self._handle(name, events.OwnLoadChanged(load))
        self._later(
            LOAD_INTERVAL_S, lambda: self._load(name, data_centre, sequence + 1)
        )

    def _handle(self, name: str, event: events.NodeEvent) -> None:
        begun_s = time.process_time()
        node = self._nodes[name]
        before = node.distributor.generation
        effects = node.handle(event, self._now_s)
        for effect in effects:
            self._perform(name, effect)
        self._cpu_s += time.process_time() - begun_s
        if node.distributor.generation > before:
            accepted_s = self._heads[node.distributor.generation - 1][1]
            self._slowest_s = max(self._slowest_s, self._now_s - accepted_s)

    def _perform(self, name: str, effect: events.NodeEffect) -> None:
        match effect:
            case events.SendPeer(address, message):
                payload = encode(message)
                self._sent[name] += len(payload) + FRAME_BYTES
                self._messages += 1
                self._later(DELAY_S, lambda: self._deliver(address, payload))
            case events.ReadHead():
                self._calls += 1
                head = self._heads[-1][0]
                self._later(DELAY_S, lambda: self._handle(name, events.HeadSeen(head)))
            case events.WatchHead():
                self._calls += 1
                self._watching.add(name)
            case events.StopWatch():
                self._watching.discard(name)
            case events.ReadDocuments(names):
                self._calls += len(names)
                found = tuple(NamedDocument(n, self._documents[n]) for n in names)
                event = events.DocumentsRead(found)
                self._later(DELAY_S, lambda: self._handle(name, event))

    def _deliver(self, address: str, payload: bytes) -> None:
        begun_s = time.process_time()
        message = decode(payload)
        self._cpu_s += time.process_time() - begun_s
        self._handle(address, events.PeerReceived(message))


def measure(
    nodes: int, data_centres: int, changes_per_s: float, for_s: float, seed: int
) -> Cost:
    """Measure one setting."""
    found = ClusterSimulation(nodes, data_centres, seed).run(changes_per_s, for_s)
    total = nodes * data_centres * for_s
    return Cost(
        nodes=nodes,
        data_centres=data_centres,
        changes_per_s=changes_per_s,
        sent_bytes_per_s=round(found["sent_bytes"] / total),
        most_bytes_per_s=round(found["most_bytes"] / for_s),
        messages_per_s=round(found["messages"] / total, 2),
        core_share=round(found["cpu_s"] / total, 5),
        platform_calls_per_s=round(found["calls"] / for_s, 2),
        slowest_s=round(found["slowest_s"], 3),
    )


def _inventory(generation: int) -> Inventory:
    models = [{"name": f"model-{i:04}", "memory_mb": 10_000} for i in range(MODELS)]
    models[generation % MODELS]["version"] = str(generation)
    return inventory_from_data({"models": models})


def main() -> None:
    """Measure every setting and print one JSON object per line."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--for-s", type=float, default=12.0)
    parser.add_argument("--seed", type=int, default=1)
    args = parser.parse_args()
    rows = [(nodes, 1, CHANGES_PER_S[1]) for nodes in NODES]
    rows += [(NODES[0], count, CHANGES_PER_S[1]) for count in DATA_CENTRES[1:]]
    rows += [(NODES[2], 1, rate) for rate in CHANGES_PER_S if rate != CHANGES_PER_S[1]]
    for nodes, data_centres, rate in rows:
        cost = measure(nodes, data_centres, rate, args.for_s, args.seed)
        print(json.dumps(asdict(cost)), flush=True)


if __name__ == "__main__":
    main()
