"""A small deployment on loopback: a store, workers, and instances as processes.

Standard library only. The store and the workers speak what PROTOCOL.md says, as far
as a case needs it; instances are started with the command of the deploy file.
"""

import asyncio
import contextlib
import json
import os
import resource
import shlex
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]
HOST = "ficu95.example"
# A case ends by itself after this time.
LIMIT_S = 110


def free_port(ip):
    """Return a port of an address that is free now."""
    with socket.socket() as sock:
        sock.bind((ip, 0))
        return sock.getsockname()[1]


def need_descriptors(count):
    """Raise unless this process may open so many; a case can't run then."""
    limit, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    if limit != resource.RLIM_INFINITY and limit < count:
        raise RuntimeError(f"{count} descriptors needed, the limit is {limit}")


def free_ip(base):
    """Return a loopback address on which the metrics port is free."""
    for last in range(2, 250):
        ip = f"127.{base}.{os.getpid() % 250 + 1}.{last}"
        with contextlib.suppress(OSError), socket.socket() as sock:
            sock.bind((ip, 9464))
            return ip
    raise RuntimeError("no free loopback address")


class Record:
    """What was sent, answered and run, line by line."""

    def __init__(self, path):
        self._file = Path(path).open("w", buffering=1)  # noqa: SIM115
        self._began = time.monotonic()

    def __call__(self, *words):
        """Write a line."""
        now = time.monotonic() - self._began
        self._file.write(f"{now:8.3f} " + " ".join(str(w) for w in words) + "\n")


async def read_head(reader):
    """Return the start line and the headers of a message, or None at its end."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError, asyncio.LimitOverrunError):
        return None
    first, *lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines:
        if line:
            name, _, value = line.partition(":")
            headers[name.strip().lower()] = value.strip()
    return first, headers


async def read_body(reader, headers):
    """Return the body of a message with these headers."""
    if "chunked" in headers.get("transfer-encoding", ""):
        found = b""
        while True:
            size = int((await reader.readline()).split(b";")[0], 16)
            if not size:
                await reader.readuntil(b"\r\n")
                return found
            found += await reader.readexactly(size)
            await reader.readexactly(2)
    return await reader.readexactly(int(headers.get("content-length") or 0))


def answer(status, body=b"", **headers):
    """Return the bytes of an answer with a length."""
    lines = [f"HTTP/1.1 {status} X", f"Content-Length: {len(body)}"]
    lines += [f"{name.replace('_', '-')}: {value}" for name, value in headers.items()]
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + body


class HttpServer:
    """Serves connections; `handle` gets reader, writer, start line and headers."""

    def __init__(self, ip="127.0.0.1", rcvbuf=0):
        self.ip, self.port, self._rcvbuf = ip, 0, rcvbuf

    @property
    def address(self):
        """Return the address that it listens on."""
        return f"{self.ip}:{self.port}"

    async def start(self):
        """Listen."""
        sock = socket.socket()
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        if self._rcvbuf:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, self._rcvbuf)
        sock.bind((self.ip, self.port))
        self.port = sock.getsockname()[1]
        self._server = await asyncio.start_server(self._serve, sock=sock, backlog=1024)

    def stop(self):
        """End it."""
        self._server.close()

    async def _serve(self, reader, writer):
        try:
            while True:
                found = await read_head(reader)
                if found is None or not await self.handle(reader, writer, *found):
                    return
        except (ConnectionError, asyncio.IncompleteReadError, ValueError):
            pass
        finally:
            writer.close()


class Store(HttpServer):
    """The platform's store."""

    def __init__(self, record, **kwargs):
        super().__init__(**kwargs)
        self.record = record
        self.objects, self.events, self.revision = {}, [], 1
        self.changed = asyncio.Event()

    def put(self, kind, name, spec):
        """Write an object, as the operator or a worker does."""
        self.revision += 1
        old = self.objects.get((kind, name))
        created = old["meta"]["created_rev"] if old else self.revision
        meta = {
            "name": name,
            "rev": self.revision,
            "created_rev": created,
            "finalizers": [],
            "deleting": False,
        }
        obj = {"meta": meta, "spec": spec, "status": None}
        self.objects[kind, name] = obj
        self._tell(kind, obj, False)
        return obj

    def drop(self, kind, name):
        """Remove an object."""
        self.revision += 1
        self._tell(kind, self.objects.pop((kind, name)), True)

    def _tell(self, kind, obj, deleted):
        self.events.append((self.revision, kind, {"object": obj, "deleted": deleted}))
        self.changed.set()
        self.changed = asyncio.Event()

    async def handle(self, reader, writer, first, headers):
        """Answer one request; return whether the connection stays up."""
        method, target, _ = first.split(" ")
        body = await read_body(reader, headers)
        path, _, query = target.partition("?")
        query = dict(part.split("=", 1) for part in query.split("&") if part)
        status, data = await self.reply(method, path, query, body)
        text = json.dumps(data).encode()
        writer.write(answer(status, text, Content_Type="application/json"))
        await writer.drain()
        return True

    async def reply(self, method, path, query, body):
        """Return status and data of the answer to a call."""
        kind, _, name = path.removeprefix("/api/objects/").partition("/")
        if method == "GET" and not name:
            if "watch" in query:
                return await self._watch(kind, query)
            items = [o for (k, _), o in sorted(self.objects.items()) if k == kind]
            return 200, {"items": items, "more": False, "store_revision": self.revision}
        current = self.objects.get((kind, name))
        if method == "GET":
            return (200, current) if current else (404, {})
        data = json.loads(body or b"{}")
        meta = data.get("meta") or {}
        rev = meta.get("rev") or query.get("rev")
        if method == "POST":
            name = meta["name"]
            if (kind, name) in self.objects:
                return 409, self.objects[kind, name]
            return 200, self.put(kind, name, data.get("spec"))
        if current is None:
            return 404, {}
        if rev and int(rev) != current["meta"]["rev"]:
            return 409, current
        if method == "DELETE":
            self.drop(kind, name)
            return 200, {}
        if current["spec"] == data.get("spec"):
            return 200, current
        return 200, self.put(kind, name, data.get("spec"))

    async def _watch(self, kind, query):
        since = int(query["watch"])
        until = time.monotonic() + int(query.get("wait_ms", 0)) / 1000
        while True:
            changed = self.changed
            found = [e for rev, k, e in self.events if k == kind and rev > since]
            left = until - time.monotonic()
            if found or left <= 0:
                return 200, {"events": found, "store_revision": self.revision}
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(changed.wait(), left)


class Worker(HttpServer):
    """A plain service; `work_s_of` and `answer_bytes_of` tell of single paths."""

    def __init__(self, store, record, name, service="booking-core", **more):
        super().__init__()
        self.store, self.record = store, record
        self.name, self.service, self.more = name, service, more
        self.work_s, self.work_s_of, self.runs = 0.01, {}, []
        self.answer_bytes_of = {}

    def register(self, state="ready"):
        """Write its entry in the store."""
        spec = {
            "service": self.service,
            "addr": self.address,
            "zone": "hcm-a",
            "version": "v1",
            "slots": 64,
            "state": state,
            "cold_left_ms": 0,
            "seq": 0,
            "born": 1_700_000_000_000,
            **self.more,
        }
        self.store.put("servers", self.name, spec)

    async def handle(self, reader, writer, first, headers):
        """Answer one request; return whether the connection stays up."""
        body = await read_body(reader, headers)
        rid = headers.get("request-id", "")
        if headers.get("expect-instance", self.name) != self.name:
            writer.write(answer(421, Request_Id=rid, Not_Run="1"))
            return True
        self.record(self.name, "runs", first, "id", rid, "bytes", len(body))
        self.runs.append((rid, first, headers, body))
        path = first.split(" ")[1]
        await asyncio.sleep(self.work_s_of.get(path, self.work_s))
        text = b"ok".ljust(self.answer_bytes_of.get(path, 2), b".")
        writer.write(answer(200, text, Request_Id=rid, Stamp=f"{self.name}.{rid}"))
        await writer.drain()
        return True


def route(name, prefix, kind, service, **more):
    """Return a route as the operator writes it."""
    return {
        "name": name,
        "host": HOST,
        "path_prefix": prefix,
        "kind": kind,
        "timeout_ms": 20000,
        "target_latency_ms": 400,
        "priority": 1,
        "service": service,
        "attempts": 2 if kind == "safe" else 1,
        **more,
    }


def config(routes, services, version=7):
    """Return a configuration with the limits of the sheets."""
    limits = {
        "max_header_bytes": 16384,
        "max_body_bytes": 4194304,
        "header_timeout_ms": 3000,
        "idle_timeout_ms": 15000,
    }
    return {
        "version": version,
        "routes": routes,
        "services": services,
        "limits": limits,
    }


class Instance:
    """One instance as a process, started with the command of the deploy file."""

    def __init__(self, store, number, folder, **settings):
        self.name = f"front-hcm-a-{number}"
        self.ip = free_ip(40 + number)
        self.front, self.ready = (free_port(self.ip) for _ in range(2))
        first = free_port(self.ip)
        lines = {
            "node_name": self.name,
            "role": "entry",
            "machine_class": "front",
            "serves": "front",
            "ip": self.ip,
            "zone": "hcm-a",
            "region": "vn-south",
            "zones.hcm-a": "vn-south",
            "listen.front": f"{self.ip}:{self.front}",
            "listen.ready": f"{self.ip}:{self.ready}",
            "port_range": f"{first},{first + 3}",
            "bootstrap": "true",
            "limits.memory_mb": 300,
            "limits.max_fds": 4100,
            "limits.link_mbps": 1000.0,
            "discovery": "platform",
            "entry": "vip",
            "beat_ms": 1200,
            "bounds.drain_ms": 2000,
            "bounds.grace_s": 8,
            "bounds.config_ms": 2000,
            "bounds.budget_ratio": 0.2,
            "bounds.budget_window_s": 10,
            "bounds.budget_extra": 58,
            "bounds.lease_ms": 3000,
            "bounds.checks_fence": "true",
            "bounds.ceiling_window_s": 5,
            "bounds.ceiling_over": 1.1,
            "platform.addr": store.address,
            "platform.form": "objects",
            **settings,
        }
        self.settings = Path(folder) / f"node-{number}.conf"
        self.settings.write_text("".join(f"{k}={v}\n" for k, v in lines.items()))
        self.log = Path(folder) / f"node-{number}.log"
        self.process = None

    def start(self):
        """Start the process."""
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        role = deploy["roles"]["entry"]
        env = {k: v for k, v in os.environ.items() if k in ("PATH", "HOME", "LANG")}
        env |= role.get("env", {})
        env["MARJORAMSTAGE_NODE_FILE"] = str(self.settings)
        env["PYTHONPATH"] = str(ROOT / "target/deps")
        log = self.log.open("ab")
        self.process = subprocess.Popen(
            shlex.split(role["run"]),
            cwd=ROOT,
            env=env,
            stdin=subprocess.DEVNULL,
            stdout=log,
            stderr=log,
        )

    async def is_ready(self):
        """Whether it says that it is ready, as the platform asks."""
        try:
            reader, writer = await asyncio.open_connection(self.ip, self.ready)
            writer.write(
                b"GET /api/ready HTTP/1.1\r\nHost: r\r\nConnection: close\r\n\r\n"
            )
            line = await asyncio.wait_for(reader.readline(), 1)
            writer.close()
            return b" 200 " in line
        except (OSError, TimeoutError):
            return False

    async def wait_ready(self):
        """Wait until it is ready."""
        for _ in range(300):
            if await self.is_ready():
                return
            await asyncio.sleep(0.1)
        raise RuntimeError("an instance did not become ready")

    def status(self, field):
        """Return a figure of its process, in KiB."""
        with open(f"/proc/{self.process.pid}/status") as file:
            rows = dict(line.split(":", 1) for line in file)
        return int(rows[field].split()[0])

    def fds(self):
        """Return how many descriptors it has open."""
        return len(os.listdir(f"/proc/{self.process.pid}/fd"))

    def stop(self):
        """End it."""
        if self.process is not None and self.process.poll() is None:
            self.process.kill()
            self.process.wait()


async def call(ip, port, path, rid, method="GET", body=b"", headers=(), timeout=10):
    """Send one request on a new connection; return its status, headers and body."""
    writer = None
    try:
        async with asyncio.timeout(timeout):
            reader, writer = await asyncio.open_connection(ip, port)
            lines = [
                f"{method} {path} HTTP/1.1",
                f"Host: {HOST}",
                f"Request-Id: {rid}",
                f"Content-Length: {len(body)}",
                *headers,
            ]
            writer.write(("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body)
            found = await read_head(reader)
            if found is None:
                return "closed", {}, b""
            got = await read_body(reader, found[1])
            return int(found[0].split(" ")[1]), found[1], got
    except TimeoutError:
        return "timeout", {}, b""
    except (OSError, asyncio.IncompleteReadError, ValueError) as exc:
        return f"closed ({type(exc).__name__})", {}, b""
    finally:
        if writer is not None:
            writer.close()


class Machine:
    """Ends a process that exceeds the memory of its machine, as the platform does.

    Resident memory counts; what the kernel received for the process, which counts
    too, is left out.
    """

    def __init__(self, instance, memory_mb, record):
        self._instance, self._memory_mb = instance, memory_mb
        self._record = record
        self.most_kib, self.ended = 0, False

    async def run(self):
        """Look at the memory until cancelled, or until it is exceeded."""
        while True:
            kib = self._instance.status("VmRSS")
            self.most_kib = max(self.most_kib, kib)
            if kib > self._memory_mb * 1024:
                self._record("the process has", kib, "KiB of", self._memory_mb * 1024)
                self._record("the machine ends the process")
                self.ended = True
                self._instance.stop()
                return
            await asyncio.sleep(0.05)


async def book(instance, number):
    """Send a booking on a kept connection; return what came of it."""
    reader, writer = await asyncio.open_connection(instance.ip, instance.front)
    try:
        for part in ("first", "booking"):
            rid = f"{part}{number}"
            lines = [
                f"POST /once/{part} HTTP/1.1",
                f"Host: {HOST}",
                f"Request-Id: {rid}",
                "Content-Length: 6",
            ]
            writer.write(("\r\n".join(lines) + "\r\n\r\nhall 7").encode())
            found = await read_head(reader)
            if found is None:
                return f"closed without an answer to {rid}"
            await read_body(reader, found[1])
        return found[0]
    except ConnectionError:
        return f"reset without an answer to {rid}"
    finally:
        writer.close()


async def until(condition):
    """Wait until a condition holds."""
    while True:
        if condition():
            return
        await asyncio.sleep(0.05)


async def _limited(case, *args):
    # What is still open at the end is cancelled; that is no failure.
    asyncio.get_running_loop().set_exception_handler(lambda loop, context: None)
    async with asyncio.timeout(LIMIT_S):
        return await case(*args)


def run_case(case):
    """Run `case(trouble, record, folder, keep)`; exit as a case does."""
    here = Path(sys.argv[0]).resolve().parent
    record = Record(here / "record.txt")
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record("case", here.name, "with" if trouble else "without", "the disruption")
    kept = []
    try:
        with tempfile.TemporaryDirectory(prefix="case-") as folder:
            try:
                broken = asyncio.run(
                    _limited(case, trouble, record, folder, kept.append)
                )
            finally:
                for instance in kept:
                    instance.stop()
                    if os.environ.get("KEEP_LOGS"):
                        record(instance.log.read_text()[-8000:])
    except Exception as exc:
        record("the case could not run:", repr(exc))
        sys.exit(2)
    record("the rule was", "BROKEN" if broken else "kept")
    sys.exit(1 if broken else 0)


class Engine(Worker):
    """A model worker of one version of its software.

    It carries out orders, and answers a request with a stream of `events` events,
    one each `gap_s`. The data of each event names the version that wrote it.
    """

    def __init__(self, store, record, name, version, models=(), **more):
        super().__init__(store, record, name, "assist-llm", **more)
        self.version, self.models = version, set(models)
        self.seq, self.fence, self.busy = 0, 0, False
        self.events, self.gap_s, self.load_s, self.slots = 40, 0.1, 4.2, 4
        self.running, self.writers, self.crashed = 0, set(), False

    def register(self, state="ready"):
        """Write its entry in the store."""
        if self.crashed:
            return
        models = [
            {"name": m, "version": 1, "adapters": []} for m in sorted(self.models)
        ]
        spec = {
            "service": self.service,
            "addr": self.address,
            "zone": "hcm-a",
            "version": self.version,
            "slots": self.slots,
            "state": state,
            "cold_left_ms": 0,
            "stage": "both",
            "models": models,
            "seq": self.seq,
            "born": 1_700_000_000_000,
            **self.more,
        }
        found = self.store.objects.get(("servers", self.name))
        if found is None or found["spec"] != spec:
            self.store.put("servers", self.name, spec)

    async def beat(self):
        """Write the entry again when it has changed, each 1.2 s."""
        while True:
            if self.crashed:
                return
            self.register()
            await asyncio.sleep(1.2)

    def crash(self):
        """End at once: the listener and all connections close."""
        self.crashed = True
        self.stop()
        for writer in self.writers:
            writer.transport.abort()

    async def lapse(self, after_s):
        """The store removes the entry after three beats of silence."""
        await asyncio.sleep(after_s)
        if ("servers", self.name) in self.store.objects:
            self.store.drop("servers", self.name)

    async def _serve(self, reader, writer):
        self.writers.add(writer)
        try:
            await super()._serve(reader, writer)
        finally:
            self.writers.discard(writer)

    async def handle(self, reader, writer, first, headers):
        """Answer one request; return whether the connection stays up."""
        body = await read_body(reader, headers)
        path = first.split(" ")[1]
        if headers.get("expect-instance", self.name) != self.name:
            writer.write(answer(421, Not_Run="1"))
        elif path == "/api/report":
            writer.write(
                answer(
                    200,
                    json.dumps(self._report()).encode(),
                    Content_Type="application/json",
                )
            )
        elif path == "/api/order":
            writer.write(answer(self._order(json.loads(body))))
        else:
            return await self._stream(writer, headers)
        await writer.drain()
        return True

    def _report(self):
        models = [
            {"name": m, "version": 1, "adapters": []} for m in sorted(self.models)
        ]
        return {
            "stage": "both",
            "models": models,
            "busy": self.busy,
            "seq": self.seq,
            "waiting": 0,
            "running": self.running,
            "kv_used": 0,
            "kv_total": 100000,
            "handles": 0,
            "coming": [],
            "at_hand": {"in_memory": [], "on_disk": []},
        }

    def _order(self, order):
        status = 202
        if order["fence"] < self.fence:
            status = 412
        elif self.busy or order.get("precondition", self.seq) != self.seq:
            status = 409
        else:
            self.fence = order["fence"]
            self.seq += 1
            self.busy = True
            asyncio.get_running_loop().create_task(self._carry_out(order))
        self.record(self.name, "order", order, "->", status)
        return status

    async def _carry_out(self, order):
        if order["op"] == "load":
            await asyncio.sleep(self.load_s)
            self.models.add(order["model"])
        else:
            self.models.discard(order["model"])
        self.busy = False
        self.register()

    async def _stream(self, writer, headers):
        rid, model = headers.get("request-id", ""), headers.get("model", "")
        if model not in self.models:
            writer.write(answer(421, Request_Id=rid, Not_Run="1"))
            return True
        first = int(headers.get("last-event-id") or 0) + 1
        self.record(self.name, self.version, "runs", rid, "from event", first)
        self.runs.append((rid, first))
        self.running += 1
        try:
            writer.write(
                f"HTTP/1.1 200 OK\r\nRequest-Id: {rid}\r\nStamp: {self.name}.{rid}\r\n"
                "Weight-Versions: 1\r\nContent-Type: text/event-stream\r\n"
                "Transfer-Encoding: chunked\r\n\r\n".encode()
            )
            for number in range(first, self.events + 1):
                await asyncio.sleep(self.gap_s)
                data = f"id: {number}\ndata: {self.version}\n\n".encode()
                writer.write(b"%x\r\n%s\r\n" % (len(data), data))
                await writer.drain()
            writer.write(b"0\r\n\r\n")
            await writer.drain()
        finally:
            self.running -= 1
        return True


async def call_stream(ip, port, path, rid, headers=(), timeout=20):
    """Send a request for a stream; return status, the events, and whether it ended."""
    events, status, writer = [], "closed", None
    try:
        async with asyncio.timeout(timeout):
            reader, writer = await asyncio.open_connection(ip, port)
            lines = [
                f"POST {path} HTTP/1.1",
                f"Host: {HOST}",
                f"Request-Id: {rid}",
                "Content-Length: 0",
                *headers,
            ]
            writer.write(("\r\n".join(lines) + "\r\n\r\n").encode())
            found = await read_head(reader)
            if found is None:
                return status, events, False
            status = int(found[0].split(" ")[1])
            if "chunked" not in found[1].get("transfer-encoding", ""):
                await read_body(reader, found[1])
                return status, events, True
            pending = b""
            while True:
                size = int((await reader.readline()).split(b";")[0], 16)
                if not size:
                    return status, events, True
                pending += await reader.readexactly(size)
                await reader.readexactly(2)
                *whole, pending = pending.split(b"\n\n")
                for text in whole:
                    fields = dict(
                        line.split(": ", 1) for line in text.decode().split("\n")
                    )
                    events.append((int(fields["id"]), fields["data"]))
    except (TimeoutError, OSError, asyncio.IncompleteReadError, ValueError):
        return status, events, False
    finally:
        if writer is not None:
            writer.close()


class Link(HttpServer):
    """The path of one instance to the store; it can be cut, in silence, and heal."""

    def __init__(self, store):
        super().__init__()
        self._store, self._whole = store, asyncio.Event()
        self._whole.set()

    def cut(self):
        """Let nothing through any more; connections stay up and go silent."""
        self._whole.clear()

    def heal(self):
        """Let new connections through; those from before the cut are reset."""
        self._whole.set()

    async def _serve(self, reader, writer):
        other_reader, other_writer = await asyncio.open_connection(
            self._store.ip, self._store.port
        )

        async def copy(source, to):
            with contextlib.suppress(ConnectionError):
                while data := await source.read(65536):
                    if not self._whole.is_set():
                        await self._whole.wait()
                        writer.transport.abort()
                        return
                    to.write(data)
                    await to.drain()
            to.close()

        await asyncio.gather(copy(reader, other_writer), copy(other_reader, writer))
