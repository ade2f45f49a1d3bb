"""Measures processor time, bytes and memory per unit of work.

The production code is measured. Every time is measured `RUNS` times and given
as median, minimum and maximum. Only the relay measurement includes sockets.
"""

from __future__ import annotations

import gc
import importlib
import json
import logging
import os
import platform
import statistics
import time
import tracemalloc
from collections.abc import Callable
from dataclasses import asdict, dataclass
from typing import Any

from marjoramstage.bench._slope_fixtures import (
    engine_reports,
    engine_targets,
    filled_placer,
    filled_scheduler,
    inventory_of_size,
    peer_load,
    request_number,
)
from marjoramstage.coordination.instance_loads import load_to_message
from marjoramstage.coordination.leases import LeaseElector, LeaseRecord
from marjoramstage.exceptions import Verdict
from marjoramstage.protocol.events import (
    AttemptEnded,
    Dispatch,
    InstanceLoadReported,
    RequestSubmitted,
    TargetReported,
    Tick,
)
from marjoramstage.protocol.messages import AttemptEnd, Item
from marjoramstage.protocol.peers import decode, encode
from marjoramstage.state.document_tree import build_tree
from marjoramstage.state.ledger import Ledger, reserve
from marjoramstage.state.ledger_codec import ledger_to_data
from marjoramstage.state.targets import report_to_data
from marjoramstage.transport._sse import EventScanner

RUNS = 5
TARGETS = (10, 40, 160)
MODELS = 880
REPEATS = 2000
MICRO = 1e6
EVENT = b'id: 7\ndata: {"id":"c","choices":[{"index":0,"text":"w7 "}]}\n\n'
PLACEMENT_SCALES = (0.25, 1.0)
RELAY_SETTING = (50, 40)
OTHER_COSTS = {
    "relay": "marjoramstage.bench.relay_cost",
    "gossip": "marjoramstage.bench.gossip_cost",
    "placement": "marjoramstage.bench.placement_cost",
}


@dataclass(frozen=True)
class Spread:
    """Microseconds of processor time over `RUNS` runs."""

    median_us: float
    least_us: float
    greatest_us: float


def measure_slopes() -> dict[str, Any]:
    """Measure everything, and name what is not measured."""
    found: dict[str, Any] = {"machine": _machine(), "runs": RUNS}
    found["message"] = _message()
    found["request"] = {str(n): _request(n) for n in TARGETS}
    found["token_event"] = _token_event()
    found["report"] = {str(n): _report(n) for n in TARGETS}
    found["idle_tick"] = {str(n): _idle_tick(n) for n in TARGETS}
    found["lease"] = _lease()
    found["ledger_write"] = _ledger_write()
    found["config_change"] = _config_change()
    found["memory_bytes"] = _memory()
    found["not_measured"] = []
    for name, module in OTHER_COSTS.items():
        cost = _other(name, module)
        if cost is None:
            found["not_measured"].append(name)
        else:
            found[name] = cost
    found["not_measured"] += ["memory of a stream's sockets", "statsd sending"]
    return found


def _machine() -> dict[str, Any]:
    return {
        "processors": os.cpu_count(),
        "kind": platform.machine(),
        "python": platform.python_version(),
    }


def _spread(run: Callable[[], int]) -> Spread:
    """Time ``run``, which returns its number of units; return times per unit."""
    times = []
    for _ in range(RUNS):
        gc.collect()
        begun_s = time.process_time()
        units = run()
        times.append((time.process_time() - begun_s) * MICRO / units)
    middle = statistics.median(times)
    return Spread(round(middle, 2), round(min(times), 2), round(max(times), 2))


def _repeated(func: Callable[[], Any], count: int = REPEATS) -> dict[str, float]:
    def run() -> int:
        for _ in range(count):
            func()
        return count

    return asdict(_spread(run))


def _message() -> dict[str, Any]:
    message = load_to_message(peer_load(0, 1, 20, 20))
    payload = encode(message)
    return {
        "load_bytes": len(payload),
        "encode": _repeated(lambda: encode(message)),
        "decode": _repeated(lambda: decode(payload)),
    }


def _request(targets: int) -> dict[str, float]:
    """Measure the scheduler's time to submit, dispatch and end a request."""
    scheduler = filled_scheduler(targets, MODELS)
    numbers = iter(range(10**9))
    now_s = 10.0

    def run() -> int:
        for _ in range(REPEATS):
            request = request_number(next(numbers), now_s, MODELS)
            for effect in scheduler.handle(RequestSubmitted(request), now_s):
                if not isinstance(effect, Dispatch):
                    continue
                end = AttemptEnd(request, effect.target, Verdict.RAN, True, 100, 0.1)
                scheduler.handle(AttemptEnded(end), now_s)
        return REPEATS

    return asdict(_spread(run))


def _token_event() -> dict[str, Any]:
    event = EVENT.replace(b"id: 7\n", b"")

    def run() -> int:
        scanner = EventScanner()
        for _ in range(REPEATS):
            scanner.feed(event)
        return REPEATS

    return {"bytes": len(EVENT), "scan": asdict(_spread(run))}


def _report(targets: int) -> dict[str, Any]:
    """Measure handling a report in which only the sequence number changed.

    Times include building the report.
    """
    scheduler = filled_scheduler(targets, MODELS)
    placer = filled_placer(targets, MODELS)
    rounds = iter(range(2, 10**9))

    def run_with(machine) -> Callable[[], int]:
        def run() -> int:
            count = 0
            while count < REPEATS:
                for report in engine_reports(targets, MODELS, next(rounds)):
                    machine.handle(TargetReported(report), 10.0)
                    count += 1
            return count

        return run

    body = json.dumps(report_to_data(engine_reports(targets, MODELS, 1)[0]))
    return {
        "bytes": len(body),
        "scheduler_and_making": asdict(_spread(run_with(scheduler))),
        "placer_and_making": asdict(_spread(run_with(placer))),
    }


def _idle_tick(targets: int) -> dict[str, Any]:
    scheduler = filled_scheduler(targets, MODELS)
    placer = filled_placer(targets, MODELS)
    loads = [InstanceLoadReported(peer_load(n, 1, 20, targets)) for n in range(8)]
    for event in loads:
        scheduler.handle(event, 10.0)
    return {
        "scheduler": _repeated(lambda: scheduler.handle(Tick(), 10.0), 500),
        "placer": _repeated(lambda: placer.handle(Tick(), 10.0), 500),
    }


def _lease() -> dict[str, Any]:
    """Measure a lease renewal: the tick that requests it and the response."""
    elector = LeaseElector("shard", "instance")
    clock = {"s": 0.0}

    def renew() -> None:
        clock["s"] += 3.0
        for effect in elector.tick(0, clock["s"]):
            record = getattr(effect, "record", None)
            if record is not None:
                elector.on_written(record, clock["s"] + 0.004)
                return
        elector.on_read(LeaseRecord("shard", "", 0, version="1"), clock["s"])

    return {"renewal": _repeated(renew), "writes_per_s_per_shard": round(1 / 3, 3)}


def _ledger_write() -> dict[str, Any]:
    ledger = Ledger("engine", "first", 96_000)
    inventory = inventory_of_size(8, 60)
    for entry in (*inventory.models[:4], *inventory.adapters):
        ledger = reserve(ledger, Item(entry.name, entry.version), 100, 1)
    body = json.dumps(ledger_to_data(ledger))
    return {
        "entries": len(ledger.entries),
        "bytes": len(body),
        "encode": _repeated(lambda: json.dumps(ledger_to_data(ledger)), 200),
    }


def _config_change() -> dict[str, Any]:
    inventory = inventory_of_size(MODELS, 0)
    tree = build_tree(inventory)
    changed = build_tree(inventory_of_size(MODELS, 0, changed=7))
    new = {n: c for n, c in changed.documents.items() if n not in tree.documents}
    return {
        "documents": len(tree.documents),
        "new_documents": len(new),
        "new_bytes": sum(len(content) for content in new.values()),
        "build_tree": _repeated(lambda: build_tree(inventory), 5),
    }


def _memory() -> dict[str, float]:
    """Measure the memory of Python objects.

    Costs per model and per target of a scheduler or a placer are the difference
    between two sizes, which leaves out fixed costs.
    """
    few, many = 100, 900
    scheduler_few = _bytes(lambda: filled_scheduler(20, few))
    scheduler_many = _bytes(lambda: filled_scheduler(20, many))
    placer_few = _bytes(lambda: filled_placer(20, few))
    placer_many = _bytes(lambda: filled_placer(20, many))
    targets_few = _bytes(lambda: filled_scheduler(10, few))
    targets_many = _bytes(lambda: filled_scheduler(110, few))
    inventory = _bytes(lambda: inventory_of_size(many, 0))
    scanners = _bytes(lambda: [EventScanner() for _ in range(few)])
    return {
        "scheduler_per_model": round((scheduler_many - scheduler_few) / (many - few)),
        "placer_per_model": round((placer_many - placer_few) / (many - few)),
        "scheduler_per_target": round((targets_many - targets_few) / 100),
        "inventory_per_model": round(inventory / many),
        "scanner_per_stream": round(scanners / few),
        "target_description": round(_bytes(lambda: engine_targets(few)) / few),
    }


def _bytes(make: Callable[[], Any]) -> int:
    gc.collect()
    tracemalloc.start()
    made = make()
    size = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    del made
    return size


def _other(name: str, module_name: str) -> Any:
    try:
        module = importlib.import_module(module_name)
    except ModuleNotFoundError:
        return None
    if name == "gossip":
        settings = [(n, 1, rate) for n in (8, 35) for rate in (0.0, 0.36)]
        return [asdict(module.measure(*each, 10.0, 1)) for each in settings]
    if name == "relay":
        # asyncio logs an error for each stream that is cancelled at the end.
        logging.getLogger("asyncio").setLevel(logging.CRITICAL)
        return [asdict(module.relay_cost(*RELAY_SETTING)) for _ in range(RUNS)]
    return [asdict(module.measure(scale)) for scale in PLACEMENT_SCALES]
