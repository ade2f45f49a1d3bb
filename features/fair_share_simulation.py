"""A played load of customers that share the targets of one service, without a network.

The order is that of `WaitQueue`; targets are slots whose requests take as long as their
tokens. Requests that have not begun within their patience leave.
"""

import asyncio
import heapq
import random
from collections import Counter
from dataclasses import dataclass, field

from marjoramstage.coordination.dispatcher import TargetCriteria
from marjoramstage.coordination.fair_shares import ShareClaim
from marjoramstage.coordination.wait_queue import WaitQueue
from marjoramstage.state.fleet import Item

SLOTS = 48
TOKENS_PER_S = 700.0
ASSIGNMENT_DELAY_S = 0.01
MEAN_TOKENS = 600.0
# Targets of half of the slots hold the second model too.
MODELS = ("m1", "m1", "m1", "m2")
# Patience by rank: half of what callers of live streams (0.4 s to the first event) and
# of those that may wait (3 s) wait at most.
PATIENCE_S = (1.0, 6.0)


@dataclass
class Load:
    """What is sent.

    Attributes
    ----------
    share : float
        Usual demand of all customers as a share of what the targets run.
    hot : str or None
        Customer that sends ``factor`` times its usual.
    instances : int
        Between which the slots are divided.
    fair : bool
        Whether the queue knows the customers.
    """

    seed: int
    hot: str | None = None
    factor: float = 10.0
    share: float = 0.55
    instances: int = 1
    fair: bool = True
    customers: int = 16
    duration_s: float = 60.0
    priorities: dict = field(default_factory=dict)


@dataclass
class Result:
    """Requests sent and served, by customer and rank."""

    sent: Counter = field(default_factory=Counter)
    served: Counter = field(default_factory=Counter)

    def served_share(self, customer=None, rank=None):
        def total(counter):
            return sum(
                n
                for (name, r), n in counter.items()
                if customer in (None, name) and rank in (None, r)
            )

        return total(self.served) / max(1, total(self.sent))


class Instance:
    """One queue and its part of the slots."""

    def __init__(self, slots, result):
        # The second half of the slots holds both models.
        self.free = [slots - slots // 2, slots // 2]
        self.queue = WaitQueue(self.take)
        self.result = result
        self.scheduled = False

    def take(self, criteria):
        for half in (0, 1) if criteria.item.model == "m1" else (1,):
            if self.free[half] > 0:
                self.free[half] -= 1
                return half
        return None


def play(load):
    """Play a load; return what was served."""
    return asyncio.run(_Play(load).run())


class _Play:
    def __init__(self, load):
        self.load, self.result = load, Result()
        self.instances = [
            Instance(SLOTS // load.instances, self.result)
            for _ in range(load.instances)
        ]
        self.events, self.number = [], 0

    def push(self, at_s, action, *args):
        self.number += 1
        heapq.heappush(self.events, (at_s, self.number, action, args))

    async def run(self):
        for at_s, request in arrivals(self.load):
            self.push(at_s, self.arrive, request)
        while self.events:
            self.now_s, _, action, args = heapq.heappop(self.events)
            action(*args)
        return self.result

    def arrive(self, request):
        inst = self.instances[request.instance]
        self.result.sent[request.customer, request.rank] += 1
        claim = None
        if self.load.fair:
            level = self.load.priorities.get(request.customer, 0)
            claim = ShareClaim(request.customer, level, request.tokens)
        criteria = TargetCriteria("s", Item(request.model))
        if not inst.queue.must_wait(criteria, claim):
            half = inst.take(criteria)
            if half is not None:
                inst.queue.charge(criteria, claim)
                self.begin(inst, request, half)
                return
        until_s = self.now_s + PATIENCE_S[request.rank]
        waiter = inst.queue.add(criteria, request.rank, until_s, self.now_s, claim)
        waiter.fut.add_done_callback(lambda fut: None)
        waiter.request = request
        self.push(until_s, self.leave, inst, waiter)
        self.schedule(inst)

    def begin(self, inst, request, half):
        self.result.served[request.customer, request.rank] += 1
        self.push(self.now_s + request.tokens / TOKENS_PER_S, self.end, inst, half)

    def end(self, inst, half):
        inst.free[half] += 1
        self.schedule(inst)

    def leave(self, inst, waiter):
        if not waiter.fut.done():
            inst.queue.remove(waiter)

    def schedule(self, inst):
        if not inst.scheduled and len(inst.queue):
            inst.scheduled = True
            self.push(self.now_s + ASSIGNMENT_DELAY_S, self.assign, inst)

    def assign(self, inst):
        inst.scheduled = False
        waiting = list(inst.queue._waiters)
        inst.queue.assign_targets()
        for waiter in waiting:
            if waiter.fut.done():
                self.begin(inst, waiter.request, waiter.fut.result())


@dataclass(frozen=True)
class Request:
    customer: str
    rank: int
    model: str
    tokens: float
    instance: int


def arrivals(load):
    """Yield times and requests; a customer's are the same whoever is hot."""
    weights = [1.0 / (n + 2) for n in range(load.customers)]
    per_s = load.share * SLOTS * TOKENS_PER_S / MEAN_TOKENS / sum(weights)
    for number, weight in enumerate(weights):
        name = f"c{number}"
        rng = random.Random(f"{load.seed} {name}")
        rate = weight * per_s * (load.factor if name == load.hot else 1.0)
        # Clients are hashed to instances, unevenly.
        places = [rng.random() ** 2 for _ in range(load.instances)]
        at_s = rng.expovariate(rate)
        while at_s < load.duration_s:
            yield (
                at_s,
                Request(
                    name,
                    0 if rng.random() < 0.6 else 1,
                    rng.choice(MODELS),
                    rng.expovariate(1 / MEAN_TOKENS) + 1.0,
                    rng.choices(range(load.instances), places)[0],
                ),
            )
            at_s += rng.expovariate(rate)
