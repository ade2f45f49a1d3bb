"""Stand-ins for the scripts of the third review: store, workers and clients.

They follow PROTOCOL.md; nothing but Python's standard library is used. All run in the
process of the script; the instances are separate processes.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
from pathlib import Path
from urllib.parse import parse_qs, unquote, urlsplit

ROOT = Path(__file__).resolve().parents[2]
HOST = "127.0.0.1"
BEAT_S = 1.2


def free_ports(count: int) -> list[int]:
    """Return ports that nothing listens on now."""
    socks = [socket.socket() for _ in range(count)]
    try:
        for sock in socks:
            sock.bind((HOST, 0))
        return [sock.getsockname()[1] for sock in socks]
    finally:
        for sock in socks:
            sock.close()


class Record:
    """Lines of what was sent, answered and run, with the time since the start."""

    def __init__(self, path: Path):
        self._file = path.open("w")
        self._began_s = time.monotonic()

    def __call__(self, text: str) -> None:
        """Write one line."""
        self._file.write(f"{time.monotonic() - self._began_s:8.3f} {text}\n")
        self._file.flush()


class Head:
    """The head of a message."""

    def __init__(self, raw: bytes):
        first, *lines = raw.decode("latin-1").split("\r\n")
        self.first = first
        self.pairs = []
        for line in lines:
            name, found, value = line.partition(":")
            if found:
                self.pairs.append((name.strip().lower(), value.strip()))

    def get(self, name: str, default: str = "") -> str:
        """Return the first value of a header."""
        return next((v for n, v in self.pairs if n == name.lower()), default)


async def read_head(reader: asyncio.StreamReader) -> Head:
    """Read the head of a message."""
    return Head((await reader.readuntil(b"\r\n\r\n"))[:-4])


async def read_body(reader: asyncio.StreamReader, head: Head) -> bytes:
    """Read the body of a request."""
    if head.get("transfer-encoding").lower() == "chunked":
        parts = []
        while size := int((await reader.readline()).split(b";")[0], 16):
            parts.append(await reader.readexactly(size))
            await reader.readline()
        await reader.readline()
        return b"".join(parts)
    return await reader.readexactly(int(head.get("content-length") or 0))


def answer(status: int, body: bytes = b"", headers: dict | None = None) -> bytes:
    """Return a whole answer with a length."""
    lines = [f"HTTP/1.1 {status} X", f"Content-Length: {len(body)}"]
    lines += [f"{name}: {value}" for name, value in (headers or {}).items()]
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


def as_json(status: int, data: object, headers: dict | None = None) -> bytes:
    """Return an answer with a JSON body."""
    kind = {"Content-Type": "application/json"}
    return answer(status, json.dumps(data).encode(), kind | (headers or {}))


class Server:
    """A server whose connections can all be reset at once."""

    def __init__(self, port: int):
        self.port = port
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()
        self._tasks: set[asyncio.Task] = set()

    @property
    def address(self) -> str:
        """Return its address."""
        return f"{HOST}:{self.port}"

    async def listen(self) -> None:
        """Begin to accept connections."""
        self._server = await asyncio.start_server(
            self._accept, HOST, self.port, backlog=512, limit=1 << 20
        )

    def cut(self) -> None:
        """Stop listening and reset all connections, as a crash does."""
        if self._server is not None:
            self._server.close()
            self._server = None
        for writer in list(self._writers):
            writer.transport.abort()
        for task in list(self._tasks):
            task.cancel()

    async def _accept(self, reader, writer) -> None:
        task = asyncio.current_task()
        self._writers.add(writer)
        self._tasks.add(task)
        try:
            while await self.serve(reader, writer):
                pass
        except (OSError, asyncio.IncompleteReadError, ValueError):
            pass
        except asyncio.LimitOverrunError:
            pass
        except asyncio.CancelledError:
            pass
        finally:
            self._writers.discard(writer)
            self._tasks.discard(task)
            writer.close()

    async def serve(self, reader, writer) -> bool:
        """Serve one request; return whether the connection stays open."""
        raise NotImplementedError


class Store(Server):
    """The platform's store; ``mode`` is up, silent or busy."""

    def __init__(self, port: int, record: Record):
        super().__init__(port)
        self.mode = "up"
        self.era = 1
        self.rev = 10
        self.kinds: dict[str, dict[str, dict]] = {}
        self.history: list[tuple[int, str, dict, bool]] = []
        self._changed = asyncio.Event()
        self._record = record

    def set_mode(self, mode: str) -> None:
        """Change how it answers."""
        self._record(f"store {mode}")
        self.mode = mode

    def put(self, kind: str, name: str, spec: object) -> dict:
        """Write an object, as the operator and workers do."""
        of_kind = self.kinds.setdefault(kind, {})
        before = of_kind.get(name)
        if before is not None and before["spec"] == spec:
            return before
        self.rev += 1
        created = before["meta"]["created_rev"] if before else self.rev
        meta = {"name": name, "rev": self.rev, "created_rev": created}
        meta |= {"finalizers": [], "deleting": False}
        of_kind[name] = obj = {"meta": meta, "spec": spec, "status": None}
        self._note(kind, obj, False)
        return obj

    def remove(self, kind: str, name: str) -> None:
        """Remove an object."""
        obj = self.kinds.get(kind, {}).pop(name, None)
        if obj is not None:
            self.rev += 1
            self._note(kind, obj, True)

    def copy(self) -> tuple[int, dict]:
        """Return a copy of all that it holds."""
        kinds = {kind: dict(objects) for kind, objects in self.kinds.items()}
        return self.rev, kinds

    def restore(self, copied: tuple[int, dict]) -> None:
        """Come back from a copy; revisions after it are given out again."""
        self.rev, kinds = copied
        self.kinds = {kind: dict(objects) for kind, objects in kinds.items()}
        self.history.clear()
        self.era += 1
        self._record(f"store restored, era {self.era}, revision {self.rev}")

    def _note(self, kind: str, obj: dict, deleted: bool) -> None:
        self.history.append((self.rev, kind, obj, deleted))
        self._changed.set()
        self._changed = asyncio.Event()

    async def serve(self, reader, writer) -> bool:
        """Serve one call."""
        head = await read_head(reader)
        body = await read_body(reader, head)
        method, target, _ = head.first.split(" ")
        if self.mode == "silent":
            await asyncio.sleep(3600)
        if self.mode == "busy":
            writer.write(as_json(503, {}, {"Store-Era": self.era}))
            return True
        await asyncio.sleep(0.002)
        status, data = await self._call(method, target, body)
        if self.mode == "silent":
            await asyncio.sleep(3600)
        writer.write(as_json(status, data, {"Store-Era": self.era}))
        return True

    async def _call(self, method: str, target: str, body: bytes) -> tuple[int, object]:
        url = urlsplit(target)
        query = {k: v[0] for k, v in parse_qs(url.query).items()}
        kind, _, name = url.path.removeprefix("/api/objects/").partition("/")
        name = unquote(name)
        of_kind = self.kinds.setdefault(kind, {})
        if method == "GET" and "watch" in query:
            return await self._watch(kind, query)
        if method == "GET" and not name:
            items = [of_kind[n] for n in sorted(of_kind)]
            return 200, {"items": items, "more": False, "store_revision": self.rev}
        found = of_kind.get(name)
        if method == "GET":
            return (200, found) if found else (404, {})
        sent = json.loads(body) if body else {}
        if method == "POST":
            name = sent["meta"]["name"]
            if name in of_kind:
                return 409, of_kind[name]
            return 200, self.put(kind, name, sent.get("spec"))
        if found is None:
            return 404, {}
        wanted = sent.get("meta", {}).get("rev") or query.get("rev")
        if wanted is not None and int(wanted) != found["meta"]["rev"]:
            return 409, found
        if method == "DELETE":
            self.remove(kind, name)
            return 200, found
        return 200, self.put(kind, name, sent.get("spec"))

    async def _watch(self, kind: str, query: dict) -> tuple[int, object]:
        since = int(query["watch"])
        if since > self.rev:
            return 410, {}
        until_s = time.monotonic() + int(query.get("wait_ms") or 0) / 1000
        era = self.era
        while True:
            if self.era != era:
                return 410, {}
            events = [
                {"deleted": deleted, "object": obj}
                for rev, of, obj, deleted in self.history
                if rev > since and of == kind
            ]
            left_s = until_s - time.monotonic()
            if events or left_s <= 0 or self.mode != "up":
                return 200, {"events": events, "store_revision": self.rev}
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self._changed.wait(), left_s)


class Worker(Server):
    """A model worker, or a plain one if it has no models.

    It writes to the store every ``BEAT_S`` while the store answers, and once when
    it starts.
    """

    def __init__(self, port: int, store: Store, record: Record, name: str, **spec):
        super().__init__(port)
        self.name = name
        self.store = store
        self.service = spec.get("service", "engines")
        self.version = spec.get("version", "v1")
        self.models: dict[str, set[str]] | None = (
            {name: set() for name in spec["models"]} if "models" in spec else None
        )
        self.load_s = spec.get("load_s", 0.8)
        self.gap_s = spec.get("gap_s", 0.1)
        self.slots = spec.get("slots", 16)
        self.born = 0
        self.beaten_s = 0.0
        self.seq = 0
        self.fence = 0
        self.busy = False
        self.running = 0
        self.runs: list[tuple[str, str, int, int]] = []
        self.disk: set[str] = set(self.models or ())
        self.state = "ready"
        self._record = record
        self._beat: asyncio.Task | None = None

    async def start(self, version: str | None = None) -> None:
        """Start; a restart holds and knows nothing of before."""
        if self.born:
            self.models = None if self.models is None else {}
            self.seq, self.fence, self.busy, self.running = 0, 0, False, 0
        self.version = version or self.version
        self.born = int(time.time() * 1000)
        await self.listen()
        self._record(f"worker {self.name} starts, version {self.version}")
        self._beat = asyncio.create_task(self._beats())

    def crash(self) -> None:
        """End at once."""
        self._record(f"worker {self.name} ends")
        if self._beat is not None:
            self._beat.cancel()
        self.cut()
        self._lapse = asyncio.create_task(self.lapse())

    async def lapse(self) -> None:
        """Have its entry removed after three beats, unless it has started again."""
        born = self.born
        await asyncio.sleep(3 * BEAT_S)
        if self.born == born and self.store.mode == "up":
            self._record(f"the entry of {self.name} lapses")
            self.store.remove("servers", self.name)

    def entry(self) -> dict:
        """Return what it writes to the store."""
        spec = {"service": self.service, "addr": self.address, "zone": "z1"}
        spec |= {"version": self.version, "slots": self.slots, "state": self.state}
        spec |= {"cold_left_ms": 0, "seq": self.seq, "born": self.born}
        if self.models is not None:
            spec |= {
                "stage": "both",
                "models": self._held(),
                "at_hand": self._at_hand(),
            }
        return spec

    async def _beats(self) -> None:
        while True:
            if self.store.mode == "up":
                self.store.put("servers", self.name, self.entry())
                self.beaten_s = asyncio.get_running_loop().time()
            await asyncio.sleep(BEAT_S)

    def _held(self) -> list[dict]:
        return [
            {"name": m, "version": 1, "adapters": sorted(a)}
            for m, a in sorted((self.models or {}).items())
        ]

    def _at_hand(self) -> dict:
        return {"in_memory": [], "on_disk": sorted(self.disk)}

    async def serve(self, reader, writer) -> bool:
        """Serve one request."""
        head = await read_head(reader)
        body = await read_body(reader, head)
        method, target, _ = head.first.split(" ")
        expected = head.get("expect-instance")
        if expected and expected != self.name:
            writer.write(answer(421, b"", {"Instance": self.name}))
            return True
        if target == "/health":
            writer.write(answer(200, b"", {"Instance": self.name}))
            return True
        if target == "/api/report":
            writer.write(as_json(200, self._report()))
            return True
        if target == "/api/order":
            writer.write(as_json(self._order(json.loads(body)), {}))
            return True
        return await self.run(head, method, target, body, writer)

    def _report(self) -> dict:
        data = {"stage": "both", "models": self._held(), "busy": self.busy}
        data |= {"seq": self.seq, "waiting": 0, "running": self.running}
        data |= {"kv_used": 0, "kv_total": 100000, "handles": 0, "born": self.born}
        return data | {"at_hand": self._at_hand(), "coming": []}

    def _order(self, order: dict) -> int:
        status = self._accept_order(order)
        self._record(f"order at {self.name}: {json.dumps(order)} -> {status}")
        return status

    def _accept_order(self, order: dict) -> int:
        if not order.get("holder") or not order.get("fence"):
            return 400
        if order["fence"] < self.fence:
            return 412
        model, adapter = order["model"], order.get("adapter")
        if self.busy or order.get("precondition", self.seq) != self.seq:
            return 409
        held = self.models.get(model)
        there = held is not None and (not adapter or adapter in held)
        if there == (order["op"] == "load"):
            return 200
        if adapter and held is None:
            return 409
        self.fence = order["fence"]
        self.seq += 1
        if adapter:
            (held.add if order["op"] == "load" else held.discard)(adapter)
            return 202 if order["op"] == "load" else 200
        self.busy = True
        task = asyncio.create_task(self._carry_out(order["op"], model))
        self._tasks.add(task)
        return 202

    async def _carry_out(self, op: str, model: str) -> None:
        if op == "load":
            await asyncio.sleep(self.load_s)
            self.models[model] = set()
            self.disk.add(model)
        else:
            await asyncio.sleep(0.05)
            self.models.pop(model, None)
        self.busy = False

    async def run(self, head, method, target, body, writer) -> bool:
        """Run a client's request: a stream if it names a model."""
        request_id = head.get("request-id")
        echo = {"Request-Id": request_id}
        if not request_id:
            writer.write(answer(400, b"", {"Not-Run": "1"}))
            return True
        model, _, adapter = head.get("model").partition("/")
        if model and (
            model not in (self.models or {})
            or (adapter and adapter not in self.models[model])
        ):
            writer.write(answer(421, b"", {"Instance": self.name, **echo}))
            return True
        echo["Stamp"] = f"{self.name}.{self.born % 100000}.{request_id}"
        if not model:
            self._note_run(request_id, 0)
            await asyncio.sleep(self.gap_s)
            writer.write(answer(200, f"{self.name} {request_id}".encode(), echo))
            return True
        count = int(head.get("tokens").partition(",")[2])
        first = int(head.get("last-event-id") or 0) + 1
        self._note_run(request_id, first)
        lines = "".join(f"{n}: {v}\r\n" for n, v in echo.items())
        writer.write(
            f"HTTP/1.1 200 OK\r\n{lines}Content-Type: text/event-stream\r\n"
            "Transfer-Encoding: chunked\r\n\r\n".encode()
        )
        self.running += 1
        try:
            for number in range(first, count + 1):
                await asyncio.sleep(self.gap_s)
                event = f"id: {number}\ndata: {self.version} {number}\n\n".encode()
                writer.write(b"%x\r\n%s\r\n" % (len(event), event))
                await writer.drain()
            writer.write(b"0\r\n\r\n")
        finally:
            self.running -= 1
        return True

    def _note_run(self, request_id: str, first: int) -> None:
        self.runs.append((request_id, self.version, self.born, first))
        self._record(
            f"run at {self.name} ({self.version}): {request_id} from event {first}"
        )


class Instance:
    """One process of the system, started as the deploy file says."""

    def __init__(self, folder: Path, name: str, store: str, **settings):
        front, ready, peers, control = free_ports(4)
        self.name = name
        self.front, self.ready = front, ready
        self._folder = folder
        self.path = folder / f"{name}.conf"
        fields = {
            "node_name": name,
            "role": "entry",
            "machine_class": "front",
            "serves": "front",
            "ip": HOST,
            "zone": "z1",
            "region": "r1",
            "zones.z1": "r1",
            "listen.front": f"{HOST}:{front}",
            "listen.ready": f"{HOST}:{ready}",
            "listen.control": f"{HOST}:{control}",
            "port_range": f"{peers},{peers}",
            "seeds": f"{HOST}:{control}",
            "bootstrap": "true",
            "limits.memory_mb": "300",
            "limits.max_fds": "4100",
            "limits.link_mbps": "1000.0",
            "beat_ms": "1200",
            "platform.addr": store,
            "bounds.drain_ms": "2000",
            "bounds.grace_s": "8",
            "bounds.config_ms": "2000",
            "bounds.budget_ratio": "0.2",
            "bounds.budget_window_s": "10",
            "bounds.budget_extra": "58",
            "bounds.checks_fence": "true",
            "bounds.lease_ms": "3000",
            "bounds.ceiling_window_s": "5",
            "bounds.ceiling_over": "1.1",
        } | {key: str(value) for key, value in settings.items()}
        self.path.write_text("".join(f"{k}={v}\n" for k, v in fields.items()))
        self.process: subprocess.Popen | None = None

    def start(self) -> None:
        """Start the process."""
        env = {
            "PATH": os.environ.get("PATH", ""),
            "HOME": str(self._folder),
            "PYTHONPATH": str(ROOT / "target" / "deps"),
            "PYTHONDONTWRITEBYTECODE": "1",
            "SSL_CERT_FILE": "/dev/null",
            "MARJORAMSTAGE_NODE_FILE": str(self.path),
        }
        log = (self._folder / f"{self.name}.log").open("ab")
        command = ["python3", "deploy/start.py", "entry"]
        self.process = subprocess.Popen(
            command, cwd=ROOT, env=env, stdout=log, stderr=log
        )
        log.close()

    def signal(self, number: int) -> None:
        """Send a signal to the process."""
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(number)

    async def wait_ready(self, timeout_s: float = 20.0) -> bool:
        """Wait until it says that it is ready."""
        until_s = time.monotonic() + timeout_s
        while time.monotonic() < until_s:
            with contextlib.suppress(OSError, asyncio.IncompleteReadError):
                reader, writer = await asyncio.open_connection(HOST, self.ready)
                try:
                    writer.write(b"GET /api/ready HTTP/1.1\r\nHost: x\r\n\r\n")
                    if " 200 " in (await read_head(reader)).first:
                        return True
                finally:
                    writer.close()
            await asyncio.sleep(0.1)
        return False

    async def stop(self) -> None:
        """End the process, by force if need be."""
        process = self.process
        if process is None or process.poll() is not None:
            return
        process.send_signal(signal.SIGCONT)
        process.terminate()
        with contextlib.suppress(subprocess.TimeoutExpired):
            await asyncio.to_thread(process.wait, 9.0)
        if process.poll() is None:
            process.kill()
        process.wait()


class Answer:
    """What a client got for one attempt."""

    def __init__(self):
        self.status = 0
        self.stamp = ""
        self.events: list[tuple[int, str]] = []
        self.body = b""
        self.complete = False
        self.headers: Head | None = None


async def request(
    port: int, method: str, path: str, headers: dict, timeout_s: float = 12.0
) -> Answer:
    """Send one request on a new connection and read its answer."""
    found = Answer()
    errors = (OSError, asyncio.IncompleteReadError, TimeoutError, ValueError)
    with contextlib.suppress(*errors):
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection(HOST, port, limit=1 << 20)
            try:
                lines = "".join(f"{k}: {v}\r\n" for k, v in headers.items())
                writer.write(f"{method} {path} HTTP/1.1\r\n{lines}\r\n".encode())
                await _read_answer(reader, found)
            finally:
                writer.close()
    return found


async def _read_answer(reader: asyncio.StreamReader, found: Answer) -> None:
    head = found.headers = await read_head(reader)
    found.status = int(head.first.split(" ")[1])
    found.stamp = head.get("stamp")
    if head.get("transfer-encoding").lower() != "chunked":
        found.body = await reader.readexactly(int(head.get("content-length") or 0))
        found.complete = True
        return
    while size := int((await reader.readline()).split(b";")[0] or b"x", 16):
        found.body += await reader.readexactly(size)
        await reader.readline()
        *whole, _ = found.body.split(b"\n\n")
        found.events = [_event(text) for text in whole]
    await reader.readline()
    found.complete = True


def _event(text: bytes) -> tuple[int, str]:
    fields = dict(line.split(": ", 1) for line in text.decode().split("\n"))
    return int(fields["id"]), fields["data"]


@contextlib.contextmanager
def workspace():
    """Give a temporary folder that is removed afterwards."""
    folder = Path(tempfile.mkdtemp(prefix="review-"))
    try:
        yield folder
    finally:
        shutil.rmtree(folder, ignore_errors=True)


def has_trouble() -> bool:
    """Whether the disruption is to be brought about."""
    return sys.argv[1] != "0"


def main(run) -> None:
    """Run a case; exit with 1 if the rule was broken, 2 if it couldn't run."""
    record = Record(Path(sys.argv[2]))
    try:
        with workspace() as temporary:
            code = asyncio.run(asyncio.wait_for(run(record, temporary), 110))
            if os.environ.get("KEEP_LOGS"):
                shutil.copytree(temporary, os.environ["KEEP_LOGS"], dirs_exist_ok=True)
    except Exception as exc:
        record(f"the case could not run: {exc!r}")
        code = 2
    record(f"exit code {code}")
    sys.exit(code)
