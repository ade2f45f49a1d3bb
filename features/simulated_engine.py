"""Simulates an engine on a virtual clock: batches, chunked prefill and orders.

The engine reads prompts in chunks between the tokens of its running streams, as
the platform's documentation says.
"""

import heapq
import itertools
from collections import deque
from dataclasses import dataclass

from marjoramstage.protocol.control import OrderAnswer
from marjoramstage.state.fleet import FleetTarget, TargetReport

SERVICE = "s"
REPORT_LAG_S = 0.2
KEPT_REPORTS = 40


@dataclass(frozen=True)
class EngineSpeed:
    """Timing and capacity of an engine.

    Attributes
    ----------
    step_s, slot_s, context_s : float
        Time of a decoding step, for each running request, and for each token of
        its context.
    read_s, pair_s : float
        Prefill time for each prompt token, and for each pair of a token and an
        earlier one.
    chunk_tokens : int
        Prompt tokens read in one step at most.
    tokens_per_event : int
        Tokens in each event of a stream.
    context_tokens : int
        Tokens of running requests that fit in the memory for context.
    cached_tokens : int
        Tokens of leading parts of prompts that are kept after they were read.
    slowness : tuple
        Pairs of a model and the factor by which its requests take longer.
    """

    step_s: float = 0.00547
    slot_s: float = 0.0000121
    context_s: float = 0.000000023
    read_s: float = 1 / 38_700
    pair_s: float = 0.737e-9
    chunk_tokens: int = 2048
    tokens_per_event: int = 5
    context_tokens: int = 155_174
    cached_tokens: int = 0
    slowness: tuple = ()


@dataclass(frozen=True)
class CacheSizes:
    """Room for copies of weights at an engine, in MB."""

    memory_mb: float = 130_000
    disk_mb: float = 400_000


class VirtualLoop:
    """Event loop that calls functions at virtual times."""

    def __init__(self):
        self.now_s = 0.0
        self._due = []
        self._number = itertools.count()

    def at(self, at_s, func, *args):
        at_s = max(at_s, self.now_s)
        heapq.heappush(self._due, (at_s, next(self._number), func, args))

    def after(self, delay_s, func, *args):
        self.at(self.now_s + delay_s, func, *args)

    def run(self, until_s):
        while self._due and self._due[0][0] <= until_s:
            self.now_s, _, func, args = heapq.heappop(self._due)
            func(*args)


class SimulatedEngine:
    """A target that batches requests and carries out orders."""

    def __init__(self, loop, name, data_centre, spec, speed, caches, software=""):
        self.loop, self.name, self.data_centre = loop, name, data_centre
        self.software = software
        self.spec, self.speed, self.caches = spec, speed, caches
        self.incarnation = 1
        self.items, self.memory, self.disk = set(), [], []
        self.order_count, self.current_order = 0, None
        self.running, self.queue = [], deque()
        self.up, self.stepping = True, False
        self.past_reports = deque(maxlen=KEPT_REPORTS)
        self.store_loads = self.model_loads = 0
        self.store_loads_s = []
        self.overcommitted = False
        self.prefixes, self.slowness = {}, dict(speed.slowness)
        self.read_tokens, self.running_time_s = 0, 0.0

    def listing(self):
        return FleetTarget(
            self.name,
            self.incarnation,
            SERVICE,
            "10.0.0.1:80",
            self.data_centre,
            self.spec.slots,
            items=frozenset(self.items),
            software=self.software,
        )

    # Requests

    def accept(self, req):
        """Queue a request; return False if it is refused."""
        if not self.up or req.item not in self.items:
            return False
        self.queue.append(req)
        if not self.stepping:
            self.stepping = True
            self.loop.after(0.0005, self._step)
        return True

    def _step(self):
        if not self.up:
            return
        used = sum(req.prompt + req.tokens for req in self.running)
        while self.queue and len(self.running) < self.spec.slots:
            best = min(self.queue, key=lambda r: r.traffic.rank)
            if used + best.prompt + best.tokens > self.speed.context_tokens:
                break
            self.queue.remove(best)
            used += best.prompt + best.tokens
            self.running.append(best)
            self._use_cached(best)
        if not self.running:
            self.stepping = False
            return
        took_s, done = self._work()
        self.loop.after(took_s, self._stepped, done)

    def _use_cached(self, req):
        """Skip the leading parts of a prompt that are kept, and keep all of them."""
        if not self.speed.cached_tokens:
            return
        key, tokens, is_kept = str(req.item), 0, True
        for part, size in req.parts:
            key, tokens = f"{key} {part}", tokens + size
            is_kept = is_kept and key in self.prefixes
            if is_kept:
                req.prefilled = tokens
            self.prefixes.pop(key, None)
            self.prefixes[key] = size
        while sum(self.prefixes.values()) > self.speed.cached_tokens:
            del self.prefixes[next(iter(self.prefixes))]

    def _slow(self, req):
        return self.slowness.get(req.item.model, 1.0)

    def _work(self):
        speed, left = self.speed, self.speed.chunk_tokens
        slowest = max(self._slow(req) for req in self.running)
        took_s = speed.step_s * slowest + speed.slot_s * len(self.running)
        done = []
        for req in self.running:
            if req.prefilled < req.prompt:
                piece = min(left, req.prompt - req.prefilled)
                left -= piece
                self.read_tokens += piece
                took_s += self._slow(req) * (
                    piece * speed.read_s
                    + speed.pair_s * piece * (req.prefilled + piece / 2)
                )
                req.prefilled += piece
                if req.prefilled < req.prompt:
                    continue
            took_s += speed.context_s * (req.prompt + req.generated)
            done.append(req)
        self.running_time_s += took_s * len(self.running)
        return took_s, done

    def _stepped(self, done):
        if not self.up:
            return
        for req in done:
            req.generated += 1
            ended = req.generated >= req.tokens
            if ended or req.generated % self.speed.tokens_per_event == 0:
                req.on_event(ended)
            if ended and req in self.running:
                self.running.remove(req)
        self._step()

    def cancel(self, req):
        """Cancel a request."""
        if req in self.running:
            self.running.remove(req)
        if req in self.queue:
            self.queue.remove(req)

    def crash(self):
        """Fail: lose the requests and all state but the disk."""
        lost = [*self.running, *self.queue]
        self.up, self.stepping, self.current_order = False, False, None
        self.running, self.queue = [], deque()
        self.items, self.memory, self.order_count = set(), [], 0
        self.past_reports.clear()
        return lost

    def restart(self):
        self.up = True
        self.incarnation += 1

    # Orders

    def order(self, order):
        if not self.up:
            return OrderAnswer.NOT_SENT
        item, there = order.item, order.item in self.items
        if self.current_order is not None or order.order_count != self.order_count:
            return OrderAnswer.BUSY
        if there == order.load:
            return OrderAnswer.ALREADY_DONE
        if item.adapter and item.base not in self.items:
            return OrderAnswer.INVALID
        self.order_count += 1
        if item.adapter:
            if order.load:
                self.items.add(item)
                self._check_capacity()
                return OrderAnswer.ACCEPTED
            self.items.discard(item)
            return OrderAnswer.ALREADY_DONE
        self.current_order = order
        if order.load:
            self._check_capacity(item)
            self.loop.after(
                self._load_s(item.model), self._loaded, order, self.incarnation
            )
        else:
            self._unload(order, self.incarnation)
        return OrderAnswer.ACCEPTED

    def _load_s(self, model):
        spec = self.spec.models[model]
        self.model_loads += 1
        if model in self.memory:
            return spec.memory_load_s
        if model in self.disk:
            return spec.disk_load_s
        self.store_loads += 1
        self.store_loads_s.append(self.loop.now_s)
        return spec.load_s

    def cache_weights(self, model):
        """Cache weights in memory and on disk, the most recent last."""
        for kept in (self.memory, self.disk):
            if model in kept:
                kept.remove(model)
            kept.append(model)
        self.trim_caches()

    def trim_caches(self):
        """Drop the oldest copies of weights until the others fit."""
        rooms = (self.memory, self.caches.memory_mb), (self.disk, self.caches.disk_mb)
        for kept, room_mb in rooms:
            while sum(self.spec.models[m].memory_mb for m in kept) > room_mb:
                kept.pop(0)

    def _loaded(self, order, incarnation):
        if not self.up or incarnation != self.incarnation:
            return
        self.items.add(order.item)
        self.cache_weights(order.item.model)
        self.current_order = None

    def _unload(self, order, incarnation):
        if not self.up or incarnation != self.incarnation:
            return
        model = order.item.model
        if any(req.item.model == model for req in [*self.running, *self.queue]):
            self.loop.after(0.05, self._unload, order, incarnation)
            return
        self.items = {item for item in self.items if item.model != model}
        self.current_order = None

    def _check_capacity(self, item=None):
        items = self.items | ({item} if item else set())
        models = self.spec.models
        used = sum(
            models[i.model].adapter_mb if i.adapter else models[i.model].memory_mb
            for i in items
        )
        adapters = sum(1 for i in items if i.adapter)
        if used > self.spec.memory_mb or adapters > self.spec.adapter_slots:
            self.overcommitted = True

    def save_report(self):
        report = TargetReport(
            self.order_count,
            self.current_order is not None,
            0,
            0,
            frozenset(self.items),
            frozenset(),
            frozenset(self.memory),
            frozenset(self.disk),
        )
        self.past_reports.append((self.loop.now_s, report))

    def report(self):
        old = [r for at, r in self.past_reports if at <= self.loop.now_s - REPORT_LAG_S]
        return old[-1] if self.up and old else None
