"""A simulated target: memory, slots and orders on the virtual clock."""

from __future__ import annotations

import heapq
import itertools
import math
from collections import Counter
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field

from marjoramstage.bench._loop import EventLoop
from marjoramstage.bench._weights import AdapterLoader, WeightStore
from marjoramstage.bench.trace import TargetSpec
from marjoramstage.exceptions import Verdict
from marjoramstage.protocol.messages import (
    AttemptReason,
    Item,
    Order,
    OrderAction,
    OrderOutcome,
    Request,
    TargetKind,
    TargetReport,
)
from marjoramstage.standins._memory import EngineMemory
from marjoramstage.state.inventory import Model
from marjoramstage.transport.relay import DEADLINE_GRACE_S

SERVICE_CALL_S = 0.02
UNLOADED = "unloaded"


@dataclass
class Counts:
    """Counts taken at the fake targets.

    Unlike the instances, the targets know for certain what ran.

    Attributes
    ----------
    starts : Counter
        Executions started, by request id.
    duplicate_runs : int
        Further executions of requests that must not run twice.
    overcommit_events : int
        Loads that took a target above its memory when they began.
    served_after_leaving : list of float
        For each request sent to a leaving target, the seconds since it announced
        that it was leaving.
    cut_off : int
        Requests ended because an item they use was unloaded.
    """

    starts: Counter[str] = field(default_factory=Counter)
    duplicate_runs: int = 0
    overcommit_events: int = 0
    model_loads: int = 0
    adapter_loads: int = 0
    unloads: int = 0
    served_after_leaving: list[float] = field(default_factory=list)
    cut_off: int = 0


@dataclass(frozen=True)
class RunEnd:
    """How a request ended at a target; times are on the virtual clock."""

    verdict: Verdict
    ok: bool
    first_token_at_s: float | None = None
    reason: str = ""


@dataclass
class Run:
    """A request at a target, running or waiting for a slot."""

    request: Request
    items: tuple[Item, ...]
    done: Callable[[RunEnd], None]
    ended: bool = False
    running: bool = False
    first_token_at_s: float = math.inf


class FakeTarget:
    """A simulated target.

    A request runs at the prefill speed of its model until its first token and
    at the decode speed afterwards; concurrent requests don't slow it down. It
    ends `DEADLINE_GRACE_S` after its deadline at the latest, since its instance
    cancels it then.

    Attributes
    ----------
    left_at_s : float or None
        When the target announced that it is leaving; None if it has not.
    generation : int
        Number of restarts.
    """

    def __init__(
        self,
        spec: TargetSpec,
        loop: EventLoop,
        weights: WeightStore,
        adapters: AdapterLoader,
        models: Mapping[str, Model],
        counts: Counts,
    ):
        self.spec = spec
        self.kind = TargetKind(spec.kind)
        self.alive = True
        self.left_at_s: float | None = None
        self.generation = 0
        self._loop = loop
        self._weights = weights
        self._adapters = adapters
        self._models = models
        self._counts = counts
        self._sequence = 0
        self._order = itertools.count()
        self._restart_memory()

    @property
    def incarnation(self) -> str:
        """Name that changes with every restart of the target."""
        return f"{self.spec.name}-{self.generation}"

    @property
    def idle(self) -> bool:
        """Whether no request is running or waiting."""
        return not self._runs

    def report(self) -> TargetReport:
        """Return the next report of the target's state."""
        self._sequence += 1
        return TargetReport(
            target=self.spec.name,
            incarnation=self.incarnation,
            sequence=self._sequence,
            memory_mb=self.spec.memory_mb,
            slots=self.spec.slots,
            running=self._running,
            waiting=len(self._runs) - self._running,
            residents=tuple(self.memory.residents.values()),
            fencing=self.spec.fencing,
            leaving=self.left_at_s is not None,
            highest_fence=self.memory.highest_fence,
            last_orders=self.memory.last_orders,
            clock_s=self._loop.now_s,
            started_s=self._started_s,
        )

    def submit(
        self, request: Request, items: tuple[Item, ...], done: Callable[[RunEnd], None]
    ) -> None:
        """Start or queue a request; ``done`` is called when it ends."""
        if not self.alive:
            done(RunEnd(Verdict.NOT_RUN, False, reason=AttemptReason.CONNECT))
            return
        if self.left_at_s is not None:
            late_s = self._loop.now_s - self.left_at_s
            self._counts.served_after_leaving.append(late_s)
        if not all(self.memory.ready(item) for item in items):
            done(RunEnd(Verdict.NOT_RUN, False, reason=AttemptReason.NOT_RESIDENT))
            return
        run = Run(request, items, done)
        self._runs[request.id] = run
        if self._running < self.spec.slots:
            self._start(run)
            return
        entry = (request.request_class, next(self._order), run)
        heapq.heappush(self._waiting, entry)
        self._loop.at(request.deadline_s + DEADLINE_GRACE_S, self._end_at_deadline, run)

    def first_token_at_s(self, request_id: str) -> float:
        """Return when the first token is due; infinity if not running."""
        run = self._runs.get(request_id)
        return math.inf if run is None else run.first_token_at_s

    def cancel(self, request_id: str) -> None:
        """End a request that its instance has cancelled."""
        run = self._runs.get(request_id)
        if run is not None:
            self._end(
                run, RunEnd(Verdict.MAY_HAVE_RUN, False, reason=AttemptReason.CANCELLED)
            )

    def order(self, order: Order, answer: Callable[[OrderOutcome], None]) -> None:
        """Carry out an order; ``answer`` is called with its outcome."""
        if not self.alive or order.incarnation != self.incarnation:
            answer(OrderOutcome.REFUSED)
            return
        held = order.item in self.memory.residents
        before = self.memory.overcommits
        accepted = self.memory.accept(order, self._loop.now_s)
        self._counts.overcommit_events += self.memory.overcommits - before
        if not accepted:
            answer(OrderOutcome.REFUSED)
            return
        if order.action is OrderAction.UNLOAD:
            self._unload(order, held)
            answer(OrderOutcome.DONE)
            return
        if held and self.memory.ready(order.item):
            self.memory.finish(order)
            answer(OrderOutcome.DONE)
            return
        waiting = self._loading.setdefault(order.item, [])
        waiting.append((order, answer))
        if len(waiting) == 1:
            self._begin_load(order)

    def kill(self) -> None:
        """Stop the process at once; its requests may have run."""
        self.alive = False
        for run in list(self._runs.values()):
            self._end(
                run, RunEnd(Verdict.MAY_HAVE_RUN, False, reason=AttemptReason.BROKEN)
            )
        for waiting in list(self._loading.values()):
            for _, answer in waiting:
                answer(OrderOutcome.UNKNOWN)
        self._loading = {}

    def restart(self) -> None:
        """Start a new process with empty memory."""
        self.alive = True
        self.left_at_s = None
        self.generation += 1
        self._restart_memory()

    def leave(self) -> None:
        """Announce that the target is leaving and wants no new requests."""
        if self.left_at_s is None:
            self.left_at_s = self._loop.now_s

    def _restart_memory(self) -> None:
        self._started_s = self._loop.now_s
        self.memory = EngineMemory(self.spec.memory_mb, self.spec.fencing)
        self._runs: dict[str, Run] = {}
        self._waiting: list[tuple[int, int, Run]] = []
        self._running = 0
        self._loading: dict[
            Item, list[tuple[Order, Callable[[OrderOutcome], None]]]
        ] = {}

    def _begin_load(self, order: Order) -> None:
        generation = self.generation
        if order.item.name in self._models:
            self._counts.model_loads += 1
            self._weights.load(
                order.memory_mb, lambda: self._loaded(order.item, generation)
            )
            return
        self._counts.adapter_loads += 1
        self._adapters.load(lambda: self._loaded(order.item, generation))

    def _loaded(self, item: Item, generation: int) -> None:
        if not self.alive or generation != self.generation:
            return
        for order, answer in self._loading.pop(item, ()):
            self.memory.finish(order)
            answer(OrderOutcome.DONE)

    def _unload(self, order: Order, held: bool) -> None:
        for run in list(self._runs.values()):
            if order.item not in run.items:
                continue
            self._counts.cut_off += 1
            self._end(run, RunEnd(Verdict.MAY_HAVE_RUN, False, reason=UNLOADED))
        self.memory.finish(order)
        if held:
            self._counts.unloads += 1

    def _start(self, run: Run) -> None:
        request = run.request
        run.running = True
        self._running += 1
        self._counts.starts[request.id] += 1
        if self._counts.starts[request.id] > 1 and not request.repeatable:
            self._counts.duplicate_runs += 1
        now_s = self._loop.now_s
        first_token_at_s = now_s + SERVICE_CALL_S
        end_s = first_token_at_s
        if self.kind is TargetKind.ENGINE:
            model = self._models[request.model]
            prompt_s = request.prompt_tokens / model.prefill_tokens_per_s
            first_token_at_s = now_s + prompt_s
            end_s = first_token_at_s
            end_s += request.output_tokens / model.decode_tokens_per_s
        run.first_token_at_s = first_token_at_s
        latest_s = request.deadline_s + DEADLINE_GRACE_S
        if end_s > latest_s:
            self._loop.at(latest_s, self._end_at_deadline, run)
            return
        end = RunEnd(Verdict.RAN, True, first_token_at_s)
        self._loop.at(end_s, self._end, run, end)

    def _end_at_deadline(self, run: Run) -> None:
        self._end(
            run, RunEnd(Verdict.MAY_HAVE_RUN, False, reason=AttemptReason.DEADLINE)
        )

    def _end(self, run: Run, end: RunEnd) -> None:
        if run.ended:
            return
        run.ended = True
        self._runs.pop(run.request.id, None)
        if run.running:
            self._running -= 1
        run.done(end)
        self._start_waiting()

    def _start_waiting(self) -> None:
        while self.alive and self._waiting and self._running < self.spec.slots:
            run = heapq.heappop(self._waiting)[2]
            if not run.ended:
                self._start(run)
