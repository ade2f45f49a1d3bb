"""Sends one request through an instance to a TCP target with scripted faults."""

import asyncio
import contextlib
import json
import random
import socket
from collections import Counter
from dataclasses import dataclass, field

import aiohttp
from result import Err, Ok

from marjoramstage._instance.claims import PlatformClaimStore
from marjoramstage._instance.request_router import RequestRouter
from marjoramstage._instance.tasks import TaskGroup
from marjoramstage._instance.usage import UsageWriter
from marjoramstage.clock import SystemClock
from marjoramstage.coordination.admission import Scheduler
from marjoramstage.coordination.usage import UsageCollector
from marjoramstage.exceptions import Verdict
from marjoramstage.metrics import LocalMetrics
from marjoramstage.protocol.events import (
    InventoryAccepted,
    TargetListed,
    TargetReported,
    Tick,
)
from marjoramstage.protocol.messages import (
    Item,
    Resident,
    ResidentState,
    Target,
    TargetKind,
    TargetReport,
)
from marjoramstage.protocol.objects import PlatformError, PlatformFault, PlatformObject
from marjoramstage.settings import Limits
from marjoramstage.state.inventory import (
    Customer,
    Inventory,
    Model,
    Service,
    ServiceCall,
    credential_hash,
)
from marjoramstage.transport._server import HttpServer, ServerLimits
from marjoramstage.transport.callers import CallerApi
from marjoramstage.transport.client_connection import client_session
from marjoramstage.transport.relay import Relay
from marjoramstage.transport.targets import TargetControlClient, UpstreamClient

DEADLINE_MS = 3000
LATE_ANSWER_DELAY_S = 3.2
DEADLINE_GRACE_S = 15.0
FREEZE_DEADLINE_GRACE_S = 0.1
TIMEOUT_S = 20.0
CHUNKS = 4
COMPLETION_BODY = json.dumps(
    {"text": "w0 w1 w2 w3", "usage": {"completion_tokens": 4}}
).encode()
BOOKING_BODY = b'{"booking": 1}'
DONE = b"data: [DONE]\n\n"
RAN = b": verdict ran\n\n"

STEPS = (
    "before connect",
    "connected",
    "header sent",
    "body half sent",
    "accepted",
    "first chunk",
    "mid-stream",
    "last chunk",
    "answer sent",
)


def chunk(number):
    return b'id: %d\ndata: {"text": "w%d "}\n\n' % (number, number)


def whole_body(kind):
    """Return the complete body that a caller gets of an answer."""
    if kind == "stream":
        chunks = [chunk(number) for number in range(CHUNKS)]
        return b"".join(chunks) + DONE + RAN
    return COMPLETION_BODY if kind == "whole" else BOOKING_BODY


@dataclass
class FaultScript:
    """Fault of a target: ``fault`` occurs ``times`` times at ``step``."""

    step: str = ""
    fault: str = ""
    times: int = 1

    @property
    def deadline_grace_s(self):
        """Time that the relay waits past the deadline; short for a frozen target."""
        return FREEZE_DEADLINE_GRACE_S if self.fault == "freeze" else DEADLINE_GRACE_S


@dataclass
class ScriptedTarget:
    """An HTTP/1.1 target on a raw socket; counts the requests that it ran."""

    kind: TargetKind
    script: FaultScript
    runs: Counter = field(default_factory=Counter)
    cancels: list = field(default_factory=list)
    resumes: int = 0
    connections: int = 0
    reached: asyncio.Event = field(default_factory=asyncio.Event)
    dead: bool = False

    async def start(self):
        self._tasks, self._reserved_socket = set(), None
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        port = self._server.sockets[0].getsockname()[1]
        self.address = f"127.0.0.1:{port}"
        if self.script.step == "before connect" and self.script.fault == "target kill":
            self.script.times -= 1
            self._refuse_connections()

    async def stop(self):
        self._server.close()
        if self._reserved_socket is not None:
            self._reserved_socket.close()
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    def _refuse_connections(self):
        """Stop listening, but keep the port reserved so that no other cell gets it."""
        place = self._server.sockets[0].getsockname()
        self._server.close()
        self._reserved_socket = socket.socket()
        self._reserved_socket.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self._reserved_socket.bind(place)

    async def _serve(self, reader, writer):
        task = asyncio.current_task()
        self._tasks.add(task)
        self.connections += 1
        try:
            await self._connection(reader, writer)
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            self._tasks.discard(task)
            writer.close()

    async def _connection(self, reader, writer):
        await self._at_step("connected", writer)
        while True:
            head = await reader.readuntil(b"\r\n\r\n")
            line, *lines = head.decode().split("\r\n")
            headers = dict(row.lower().split(": ", 1) for row in lines if row)
            method, path, _ = line.split(" ")
            if method == "DELETE" and path.startswith("/v1/requests/"):
                self.cancels.append(path.rsplit("/", 1)[1])
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}")
                continue
            if path.startswith("/v1/streams/"):
                await self._resume(path, writer)
                continue
            await self._at_step("header sent", writer)
            length = int(headers.get("content-length", 0))
            body = await reader.readexactly(length // 2)
            await self._at_step("body half sent", writer)
            body += await reader.readexactly(length - len(body))
            self.runs[headers["x-request-id"].rpartition("-")[0]] += 1
            await self._at_step("accepted", writer)
            await self._answer(path, b'"stream": true' in body, writer)
            await self._at_step("answer sent", writer)

    async def _answer(self, path, streamed, writer):
        if streamed:
            await self._stream(writer, 0, "first chunk", "mid-stream")
            return
        body = BOOKING_BODY if path.startswith("/services") else COMPLETION_BODY
        status = b"201 Created" if path.endswith("/bookings") else b"200 OK"
        head = b"HTTP/1.1 %s\r\nContent-Type: application/json\r\n" % status
        head += b"Content-Length: %d\r\n\r\n" % len(body)
        half = len(body) // 2
        writer.write(head + body[:half])
        await writer.drain()
        await self._at_step("first chunk", writer)
        await self._at_step("mid-stream", writer)
        writer.write(body[half:-1])
        await writer.drain()
        await self._at_step("last chunk", writer)
        writer.write(body[-1:])
        if self._take_fault("answer sent", "duplicate answer"):
            writer.write(head + body)
        await writer.drain()

    async def _stream(self, writer, start, first, middle):
        writer.write(b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n")
        writer.write(b"Transfer-Encoding: chunked\r\n\r\n")
        for number in range(start, CHUNKS):
            await self._write_chunk(writer, chunk(number))
            if number == 0 and first:
                if self._take_fault(first, "duplicate answer"):
                    await self._write_chunk(writer, chunk(0))
                await self._at_step(first, writer)
            if number == 1 and middle:
                if self._take_fault(middle, "duplicate answer"):
                    await self._write_chunk(writer, chunk(0) + chunk(1))
                if self._take_fault(middle, "lost chunk"):
                    continue
                await self._at_step(middle, writer)
        if first:
            await self._at_step("last chunk", writer)
        await self._write_chunk(writer, DONE)
        if first and self._take_fault("answer sent", "duplicate answer"):
            await self._write_chunk(writer, chunk(0) + DONE)
        writer.write(b"0\r\n\r\n")
        await writer.drain()

    async def _write_chunk(self, writer, data):
        writer.write(b"%x\r\n%s\r\n" % (len(data), data))
        await writer.drain()
        await asyncio.sleep(0.001)

    async def _resume(self, path, writer):
        self.resumes += 1
        if self.dead:
            writer.transport.abort()
            raise ConnectionResetError
        after = int(path.partition("after=")[2].partition("&")[0])
        await self._stream(writer, after + 1, "", "")

    def _take_fault(self, step, fault):
        script = self.script
        if script.step != step or script.fault != fault or script.times <= 0:
            return False
        script.times -= 1
        return True

    async def _at_step(self, step, writer):
        """Cause the fault that the script has for this step."""
        if self.script.step == step:
            self.reached.set()
        if self._take_fault(step, "target kill"):
            self.dead = True
            self._refuse_connections()
            writer.transport.abort()
            raise ConnectionResetError
        if self._take_fault(step, "cut"):
            writer.transport.abort()
            raise ConnectionResetError
        if self._take_fault(step, "freeze"):
            self.dead = True
            await asyncio.sleep(TIMEOUT_S)
        if self._take_fault(step, "late answer"):
            await asyncio.sleep(LATE_ANSWER_DELAY_S)
        if self._take_fault(step, "caller gone") or self._take_fault(
            step, "instance kill"
        ):
            await asyncio.sleep(HOLD_S)


class FakePlatform:
    """Platform in memory; `faults` lists what happens to each write in turn."""

    def __init__(self):
        self.objects = {}
        self.faults = []
        self.down = False
        self.writes = 0
        self.after_write = lambda obj: None
        self._version = 0

    def _fault(self):
        if self.down:
            return "down"
        return self.faults.pop(0) if self.faults else ""

    async def get(self, kind, name):
        if self.down:
            return _unavailable(Verdict.NOT_RUN)
        obj = self.objects.get((kind.plural, name))
        if obj is None:
            return Err(PlatformError(PlatformFault.NOT_FOUND, Verdict.NOT_RUN))
        return Ok(obj)

    async def list(self, kind, labels=None):
        raise AssertionError("not used")

    async def create(self, obj):
        return await self._write(obj, expected=None)

    async def update(self, obj):
        return await self._write(obj, expected=obj.version)

    async def _write(self, obj, expected):
        fault = self._fault()
        if fault == "down":
            return _unavailable(Verdict.NOT_RUN)
        if fault == "lost request":
            return _unavailable(Verdict.MAY_HAVE_RUN)
        key = (obj.kind.plural, obj.name)
        present = self.objects.get(key)
        if expected is None and present is not None:
            return Err(PlatformError(PlatformFault.EXISTS, Verdict.NOT_RUN))
        if expected is not None and (present is None or present.version != expected):
            return Err(PlatformError(PlatformFault.CONFLICT, Verdict.NOT_RUN))
        self._version += 1
        self.writes += 1
        stored = PlatformObject(obj.kind, obj.name, obj.spec, str(self._version))
        self.objects[key] = stored
        self.after_write(stored)
        if fault == "lost answer":
            return _unavailable(Verdict.MAY_HAVE_RUN)
        return Ok(stored)

    async def delete(self, kind, name, version):
        if self._fault() == "down":
            return _unavailable(Verdict.NOT_RUN)
        present = self.objects.get((kind.plural, name))
        if present is None or present.version != version:
            return Err(PlatformError(PlatformFault.CONFLICT, Verdict.NOT_RUN))
        del self.objects[kind.plural, name]
        return Ok(None)


def _unavailable(verdict):
    return Err(PlatformError(PlatformFault.UNAVAILABLE, verdict, "unavailable"))


CREDENTIAL = "faults-credential"
INVENTORY = Inventory(
    models=(Model("m0", 1000),),
    services=(Service("booking", (ServiceCall("GET", "/halls", True),)),),
    customers=(
        Customer("school", credential_hash(CREDENTIAL), ("m0", "booking")),
        Customer("rival", credential_hash("rival-credential"), ("m0", "booking")),
    ),
)


class RelayInstance:
    """The request path of an instance, with its real HTTP API for callers."""

    def __init__(self, name, platform, targets, deadline_grace_s):
        self.name = name
        self.platform = platform
        self._deadline_grace_s = deadline_grace_s
        self._known = targets

    async def start(self):
        clock, self.metrics = SystemClock(), LocalMetrics()
        self.tasks = TaskGroup()
        scheduler = Scheduler(64, self.name, "d1", rng=random.Random(1))
        self.router = RequestRouter(scheduler, clock, self.metrics, lambda effect: None)
        self.calls, self.session = UpstreamClient(), client_session()
        self.usage = UsageWriter(UsageCollector(self.name), self.platform, clock)
        claims = PlatformClaimStore(
            self.platform, clock, random.Random(1), self.tasks.spawn
        )
        relay = Relay(
            self.router,
            self.calls,
            TargetControlClient(self.session),
            clock,
            self.metrics,
            self.usage,
            self.tasks.spawn,
            deadline_grace_s=self._deadline_grace_s,
        )
        port = CallerApi(
            relay, lambda: INVENTORY, Limits(), clock, self.metrics, claims
        )
        self.server = HttpServer(
            port.app(), "127.0.0.1:0", ServerLimits(cancel_handlers=True)
        )
        await self.server.start()
        self.tasks.spawn(self.router.run())
        self.tasks.spawn(self._tick())
        self.router.post(InventoryAccepted(1, INVENTORY))
        for number, target in enumerate(self._known):
            self._list(f"t{number}", target)

    async def _tick(self):
        while True:
            self.router.post(Tick())
            await asyncio.sleep(0.02)

    def _list(self, name, target):
        listed = Target(name, "d1", target.kind, target.address)
        resident = Resident(Item("m0", "1"), 10, ResidentState.READY)
        engine = target.kind is TargetKind.ENGINE
        report = TargetReport(
            name, "1", 1, 1000, 8, residents=(resident,) if engine else ()
        )
        self.router.post(TargetListed(listed))
        self.router.post(TargetReported(report))

    @property
    def address(self):
        return self.server.address

    async def kill(self):
        """Stop like a killed process: sockets close, nothing is sent or recorded."""
        for protocol in list(self.server._runner.server.connections):
            if protocol.transport is not None:
                protocol.transport.abort()
        for task in list(self.tasks._tasks):
            task.cancel()
        self.platform = None
        await self.calls.close()

    async def stop(self):
        with contextlib.suppress(Exception):
            await asyncio.wait_for(self.server.stop(), 5)
        await self.tasks.stop()
        await self.calls.close()
        await self.session.close()


@dataclass
class CallerResult:
    """What the caller received; ``whole`` if HTTP shows the body is complete."""

    status: int = 0
    verdict: str = ""
    body: bytes = b""
    whole: bool = False
    headers: dict = field(default_factory=dict)


KINDS = {
    "stream": (TargetKind.ENGINE, "POST", "/v1/completions", True),
    "whole": (TargetKind.ENGINE, "POST", "/v1/completions", False),
    "lookup": (TargetKind.SERVICE, "GET", "/services/booking/halls", None),
    "booking": (TargetKind.SERVICE, "POST", "/services/booking/bookings", None),
    "put": (TargetKind.SERVICE, "PUT", "/services/booking/bookings", None),
    "keyed": (TargetKind.SERVICE, "POST", "/services/booking/bookings", None),
}


async def send_request(
    address, kind, key="", body=None, credential=CREDENTIAL, leave=None
):
    """Send a request as a caller; disconnect once the event ``leave`` is set."""
    _, method, path, stream = KINDS[kind]
    data = body or {"hall": "A1"}
    if stream is not None:
        data = {"model": "m0", "prompt": "x" * 64, "max_tokens": 4, "stream": stream}
    headers = {
        "Authorization": f"Bearer {credential}",
        "X-Deadline-Ms": str(DEADLINE_MS),
        "Content-Type": "application/json",
    }
    if key:
        headers["Idempotency-Key"] = key
    got = CallerResult()
    async with aiohttp.ClientSession() as session:
        work = asyncio.ensure_future(
            _read(session, method, address, path, headers, data, got)
        )
        if leave is None:
            await asyncio.wait_for(work, TIMEOUT_S)
            return got
        await asyncio.wait_for(leave.wait(), TIMEOUT_S)
        work.cancel()
        await asyncio.gather(work, return_exceptions=True)
    return got


async def _read(session, method, address, path, headers, data, got):
    payload = None if method == "GET" else json.dumps(data).encode()
    blocks = []
    try:
        async with session.request(
            method,
            f"http://{address}{path}",
            data=payload,
            headers=headers,
            middlewares=(_send_once,),
        ) as resp:
            got.status, got.headers = resp.status, dict(resp.headers)
            got.verdict = resp.headers.get("X-Verdict", "")
            async for block in resp.content.iter_any():
                blocks.append(block)
            got.whole = True
    except (aiohttp.ClientError, ConnectionResetError):
        pass
    finally:
        got.body = b"".join(blocks)


async def _send_once(req, handler):
    """Client middleware that stops aiohttp from retrying a caller's request."""
    try:
        return await handler(req)
    except (aiohttp.ClientOSError, aiohttp.ServerDisconnectedError) as exc:
        raise ConnectionResetError from exc


HOLD_S = 0.1


class FaultCell:
    """One cell of the fault table: a request with a fault at a step."""

    def __init__(self, kind, script, targets=1):
        self.kind, self.script = kind, script
        self.targets = [ScriptedTarget(KINDS[kind][0], script) for _ in range(targets)]
        self.platform = FakePlatform()
        self.instances = []

    async def __aenter__(self):
        for target in self.targets:
            await target.start()
        for name in ("i1", "i2"):
            instance = RelayInstance(
                name, self.platform, self.targets, self.script.deadline_grace_s
            )
            await instance.start()
            self.instances.append(instance)
        return self

    async def __aexit__(self, *exc):
        for instance in self.instances:
            await instance.stop()
        for target in self.targets:
            await target.stop()

    @property
    def runs(self):
        return sum(sum(target.runs.values()) for target in self.targets)

    def usage(self):
        return sum(instance.usage.collector.unwritten for instance in self.instances)

    async def run(self):
        """Send the request and cause the fault; return what the caller received."""
        instance, script = self.instances[0], self.script
        key = "key-1" if self.kind == "keyed" else ""
        leave = self.targets[0].reached if script.fault == "caller gone" else None
        work = asyncio.ensure_future(
            send_request(instance.address, self.kind, key, leave=leave)
        )
        if script.fault == "instance kill":
            await asyncio.wait_for(self.targets[0].reached.wait(), TIMEOUT_S)
            await instance.kill()
        got = await work
        await asyncio.sleep(2 * HOLD_S if leave else 0.01)
        return got

    async def repeat(self, **kwargs):
        """Send a request with the same key through the other instance."""
        return await send_request(self.instances[1].address, "keyed", "key-1", **kwargs)
