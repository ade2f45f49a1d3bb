"""Measures the relay's processor time per request and per token event.

``python -m marjoramstage.bench.relay_cost`` prints one JSON object. A fake
engine, the callers and the relay run in separate threads, and only the
processor time of the relay's thread is counted.
"""

from __future__ import annotations

import argparse
import asyncio
import json
import random
import threading
import time
from collections.abc import Callable, Coroutine
from dataclasses import asdict, dataclass

from marjoramstage._instance.request_router import RequestRouter
from marjoramstage._instance.tasks import TaskGroup
from marjoramstage.clock import SystemClock
from marjoramstage.coordination.admission import Scheduler
from marjoramstage.metrics import LocalMetrics
from marjoramstage.protocol.events import (
    InventoryAccepted,
    TargetListed,
    TargetReported,
)
from marjoramstage.protocol.messages import (
    Item,
    Request,
    Resident,
    ResidentState,
    Target,
    TargetKind,
    TargetReport,
)
from marjoramstage.settings import Limits
from marjoramstage.state.inventory import (
    Customer,
    Inventory,
    Model,
    credential_hash,
)
from marjoramstage.transport._server import HttpServer, ServerLimits
from marjoramstage.transport.callers import CallerApi
from marjoramstage.transport.client_connection import client_session
from marjoramstage.transport.relay import Relay
from marjoramstage.transport.targets import TargetControlClient, UpstreamClient

CREDENTIAL = "relay-cost-credential"
EVENT_EVERY_S = 0.035
SLOTS = 100_000
BODY = json.dumps({"model": "m0", "prompt": "x" * 64, "max_tokens": 8, "stream": True})
HEAD = b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
HEAD += b"Transfer-Encoding: chunked\r\n\r\n"


@dataclass(frozen=True)
class RelayCost:
    """Result of a measurement; processor time in microseconds.

    Attributes
    ----------
    streams : int
        Concurrent requests.
    events : int
        Token events of each stream.
    us_per_event : float
        Time per token event, without the share of the requests.
    us_per_request : float
        Time per request, without the share of its token events.
    """

    streams: int
    events: int
    us_per_event: float
    us_per_request: float


class LoopThread:
    """An event loop in its own thread."""

    def __init__(self):
        self._loop = asyncio.new_event_loop()
        self._thread = threading.Thread(target=self._loop.run_forever, daemon=True)
        self._thread.start()

    def run(self, coro: Coroutine):
        """Run a coroutine in the thread and wait for its result."""
        return asyncio.run_coroutine_threadsafe(coro, self._loop).result()

    def call(self, func: Callable[[], float]) -> float:
        """Call a function in the thread and wait for its result."""

        async def called() -> float:
            return func()

        return self.run(called())

    def stop(self) -> None:
        """Cancel every task and stop the thread."""
        self.run(_cancel_others())
        self._loop.call_soon_threadsafe(self._loop.stop)
        self._thread.join()


async def _cancel_others() -> None:
    tasks = asyncio.all_tasks() - {asyncio.current_task()}
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)


class FakeEngine:
    """Streams ``events`` chunks for each request, one per `EVENT_EVERY_S`."""

    def __init__(self, events: int):
        self._events = events

    async def start(self) -> str:
        """Start listening; return the address."""
        server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        return f"127.0.0.1:{server.sockets[0].getsockname()[1]}"

    async def _serve(self, reader, writer) -> None:
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                length = int(head.lower().partition(b"content-length: ")[2].split()[0])
                await reader.readexactly(length)
                await self._answer(writer)
        except (ConnectionError, asyncio.IncompleteReadError):
            writer.close()

    async def _answer(self, writer) -> None:
        writer.write(HEAD)
        for number in range(self._events):
            await asyncio.sleep(EVENT_EVERY_S)
            chunk = {"id": "c", "choices": [{"index": 0, "text": f"w{number} "}]}
            event = f"id: {number}\ndata: {json.dumps(chunk)}\n\n".encode()
            writer.write(b"%x\r\n%s\r\n" % (len(event), event))
        writer.write(b"e\r\ndata: [DONE]\n\n\r\n0\r\n\r\n")


class NoUsage:
    """Discards usage records."""

    def record(self, request: Request, tokens: int) -> None:
        """Discard a record."""


class RelayInstance:
    """The part of an instance that serves requests, with one engine."""

    async def start(self, engine: str) -> str:
        """Start listening; return the address."""
        clock, metrics, tasks = SystemClock(), LocalMetrics(), TaskGroup()
        inventory = Inventory(
            models=(Model("m0", 1000),),
            customers=(Customer("c0", credential_hash(CREDENTIAL), ("m0",)),),
        )
        scheduler = Scheduler(SLOTS, "i0", "d0", rng=random.Random(1))
        router = RequestRouter(scheduler, clock, metrics, lambda effect: None)
        relay = Relay(
            router,
            UpstreamClient(),
            TargetControlClient(client_session()),
            clock,
            metrics,
            NoUsage(),
            tasks.spawn,
        )
        port = CallerApi(relay, lambda: inventory, Limits(), clock, metrics)
        limits = ServerLimits(cancel_handlers=True)
        server = HttpServer(port.app(), "127.0.0.1:0", limits)
        await server.start()
        tasks.spawn(router.run())
        ready = Resident(Item("m0", "1"), 10, ResidentState.READY)
        router.post(InventoryAccepted(1, inventory))
        router.post(TargetListed(Target("t0", "d0", TargetKind.ENGINE, engine)))
        report = TargetReport("t0", "1", 1, 1000, SLOTS, residents=(ready,))
        router.post(TargetReported(report))
        return server.address


async def send_requests(address: str, streams: int) -> int:
    """Run ``streams`` concurrent requests; return the number of bytes read."""
    return sum(await asyncio.gather(*(_send_request(address) for _ in range(streams))))


async def _send_request(address: str) -> int:
    host, _, port = address.rpartition(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    head = f"POST /v1/completions HTTP/1.1\r\nHost: {address}\r\nConnection: close\r\n"
    head += f"Authorization: Bearer {CREDENTIAL}\r\nContent-Length: {len(BODY)}\r\n\r\n"
    writer.write((head + BODY).encode())
    data = await reader.read(-1)
    writer.close()
    if b"verdict ran" not in data:
        raise RuntimeError(
            f"request did not run to its end; response ends with {data[-200:]!r}"
        )
    return len(data)


def processor_time_us(streams: int, events: int) -> float:
    """Return the relay's processor time for all streams, in microseconds.

    A single request before the measurement opens connections and warms up.
    """
    engine, relay, callers = LoopThread(), LoopThread(), LoopThread()
    try:
        address = relay.run(
            RelayInstance().start(engine.run(FakeEngine(events).start()))
        )
        callers.run(send_requests(address, 1))
        before_s = relay.call(time.thread_time)
        callers.run(send_requests(address, streams))
        return (relay.call(time.thread_time) - before_s) * 1e6
    finally:
        for thread in (engine, relay, callers):
            thread.stop()


def relay_cost(streams: int, events: int) -> RelayCost:
    """Return the cost per event and per request.

    Compares a run with one event per stream with a run with ``events``.
    """
    one_us = processor_time_us(streams, 1)
    all_us = processor_time_us(streams, events)
    per_event_us = (all_us - one_us) / (streams * (events - 1))
    per_request_us = one_us / streams - per_event_us
    return RelayCost(streams, events, round(per_event_us, 1), round(per_request_us, 1))


def main() -> None:
    """Print the cost as JSON."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--streams", type=int, default=200)
    parser.add_argument("--events", type=int, default=120)
    args = parser.parse_args()
    print(json.dumps(asdict(relay_cost(args.streams, args.events))))


if __name__ == "__main__":
    main()
