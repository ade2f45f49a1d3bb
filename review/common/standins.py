"""Stand-ins of the platform, of plain workers and of clients, and the instances.

The store, the workers and the clients run in the process of a script; each instance
is a process of its own, started with the command of the deploy file.
"""

from __future__ import annotations

import asyncio
import json
import os
import random
import shlex
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]
sys.path.insert(0, str(ROOT / "target" / "deps"))

import aiohttp  # noqa: E402
from aiohttp import web  # noqa: E402

HOST = "halls.example"
ZONE = "hcm-a"
BEAT_S = 1.2
DRAIN_S = 2.0


class CannotRunError(Exception):
    """The case could not run."""


def free_ports(ip: str, count: int) -> list[int]:
    """Return ports that are free at an address."""
    socks = []
    for _ in range(count):
        sock = socket.socket()
        sock.bind((ip, 0))
        socks.append(sock)
    ports = [sock.getsockname()[1] for sock in socks]
    for sock in socks:
        sock.close()
    return ports


class Record:
    """Lines of what was sent, answered and run, with seconds since the start."""

    def __init__(self, path: Path):
        self._path = path
        self._lines: list[str] = []
        self._began_s = time.monotonic()

    def now(self) -> float:
        """Return the seconds since the start."""
        return time.monotonic() - self._began_s

    def line(self, text: str) -> None:
        """Add a line."""
        self._lines.append(f"{self.now():8.3f} {text}")

    def say(self, text: str) -> None:
        """Add a line and print it."""
        self.line(text)
        print(f"{self.now():8.3f} {text}", flush=True)

    def write(self) -> None:
        """Write the file."""
        self._path.write_text("\n".join(self._lines) + "\n")


class Store:
    """The platform's store, as PROTOCOL.md describes it.

    Parameters
    ----------
    bytes_per_s : float or None
        Speed of the link over which each answer goes; None for no limit.

    Attributes
    ----------
    raw : dict
        Bytes that stand in answers in place of a text of `spec`.
    """

    PAGE_OBJECTS = 500
    PAGE_BYTES = 1_000_000
    ANSWER_S = 0.004

    def __init__(self, record: Record, bytes_per_s: float | None = None):
        self.record = record
        self.kinds: dict[str, dict[str, dict]] = {}
        self.raw: dict[str, bytes] = {}
        self._bytes_per_s = bytes_per_s
        self._rev = 100
        self._events: list[tuple[int, str, dict, bool]] = []
        self._changed = asyncio.Event()
        self._runner: web.ServerRunner | None = None
        self.address = ""

    async def start(self, ip: str) -> None:
        """Listen."""
        port = free_ports(ip, 1)[0]
        server = web.Server(self._handle, access_log=None)
        self._runner = web.ServerRunner(server)
        await self._runner.setup()
        await web.TCPSite(self._runner, ip, port, shutdown_timeout=0.1).start()
        self.address = f"{ip}:{port}"

    async def stop(self) -> None:
        """Close all connections."""
        if self._runner is not None:
            await self._runner.cleanup()

    # Calls of the operator and of the workers

    def put(self, kind: str, name: str, spec) -> int:
        """Write an object; return the revision."""
        known = self.kinds.setdefault(kind, {}).get(name)
        if known is not None and known["spec"] == spec:
            return self._rev
        self._rev += 1
        meta = {
            "name": name,
            "rev": self._rev,
            "created_rev": known["meta"]["created_rev"] if known else self._rev,
            "finalizers": [],
            "deleting": False,
        }
        obj = {"meta": meta, "spec": spec, "status": None}
        self.kinds[kind][name] = obj
        self._note(kind, obj, False)
        return self._rev

    def remove(self, kind: str, name: str) -> None:
        """Remove an object."""
        obj = self.kinds.get(kind, {}).pop(name, None)
        if obj is not None:
            self._rev += 1
            meta = {**obj["meta"], "rev": self._rev}
            self._note(kind, {**obj, "meta": meta}, True)

    def _note(self, kind: str, obj: dict, deleted: bool) -> None:
        self._events.append((self._rev, kind, obj, deleted))
        changed, self._changed = self._changed, asyncio.Event()
        changed.set()

    # Calls of the system

    async def _handle(self, req: web.BaseRequest) -> web.StreamResponse:
        await asyncio.sleep(self.ANSWER_S)
        parts = req.path.split("/")[3:]
        kind, name = parts[0], parts[1] if len(parts) > 1 else ""
        if req.method == "GET" and not name:
            if "watch" in req.query:
                return await self._watch(req, kind)
            return await self._list(req, kind)
        if req.method == "GET":
            obj = self.kinds.get(kind, {}).get(name)
            if obj is None:
                return await self._answer(req, 404, {})
            return await self._answer(req, 200, obj)
        return await self._write(req, kind, name)

    async def _write(
        self, req: web.BaseRequest, kind: str, name: str
    ) -> web.StreamResponse:
        try:
            body = json.loads(await req.read() or b"{}")
        except ConnectionError:
            return web.Response(status=503)  # the caller has gone; nothing was done
        meta = body.get("meta", {})
        name = name or meta["name"]
        known = self.kinds.get(kind, {}).get(name)
        rev = meta.get("rev", req.query.get("rev"))
        if req.method == "POST" and known is not None:
            return await self._answer(req, 409, known)
        if req.method != "POST" and known is None:
            return await self._answer(req, 404, {})
        if rev is not None and int(rev) != known["meta"]["rev"]:
            return await self._answer(req, 409, known)
        if req.method == "DELETE":
            self.remove(kind, name)
            return await self._answer(req, 200, known)
        self.put(kind, name, body.get("spec"))
        return await self._answer(req, 200, self.kinds[kind][name])

    async def _list(self, req: web.BaseRequest, kind: str) -> web.StreamResponse:
        after = req.query.get("after", "")
        names = sorted(n for n in self.kinds.get(kind, {}) if n > after)
        items, size = [], 0
        for name in names:
            obj = self.kinds[kind][name]
            size += len(json.dumps(obj))
            if items and (len(items) >= self.PAGE_OBJECTS or size > self.PAGE_BYTES):
                break
            items.append(obj)
        more = len(items) < len(names)
        data = {"items": items, "more": more, "store_revision": self._rev}
        return await self._answer(req, 200, data)

    async def _watch(self, req: web.BaseRequest, kind: str) -> web.StreamResponse:
        since = int(req.query["watch"])
        until_s = time.monotonic() + min(30.0, int(req.query["wait_ms"]) / 1000)
        while True:
            found = [e for e in self._events if e[0] > since and e[1] == kind]
            left_s = until_s - time.monotonic()
            if found or left_s <= 0:
                break
            try:
                await asyncio.wait_for(self._changed.wait(), left_s)
            except TimeoutError:
                continue
        events = [{"object": obj, "deleted": gone} for _, _, obj, gone in found]
        data = {"events": events, "store_revision": self._rev}
        return await self._answer(req, 200, data)

    async def _answer(
        self, req: web.BaseRequest, status: int, data: dict
    ) -> web.StreamResponse:
        payload = json.dumps(data).encode()
        for text, raw in self.raw.items():
            payload = payload.replace(text.encode(), raw)
        resp = web.StreamResponse(status=status)
        resp.content_length = len(payload)
        resp.content_type = "application/json"
        try:
            await resp.prepare(req)
            await self._send(resp, payload)
        except (ConnectionError, aiohttp.ClientError):
            pass  # the caller has closed the connection
        return resp

    async def _send(self, resp: web.StreamResponse, payload: bytes) -> None:
        """Send a body as fast as the link of the caller's machine carries it."""
        rate = self._bytes_per_s
        step = len(payload) if rate is None else max(1, int(rate * 0.01))
        for begin in range(0, len(payload), max(1, step)):
            await resp.write(payload[begin : begin + step])
            if rate is not None:
                await asyncio.sleep(0.01)
        await resp.write_eof()


class Worker:
    """A worker of a plain service, as PROTOCOL.md describes it.

    Attributes
    ----------
    runs : list of tuple
        Time, request id, method, path, headers and body of what it ran.
    """

    def __init__(
        self, store: Store, record: Record, name: str, service: str, work_s: float
    ):
        self.store = store
        self.record = record
        self.name = name
        self.service = service
        self.work_s = work_s
        self.state = "ready"
        self.slots = 6
        self.queue = 24
        self.runs: list[tuple] = []
        self.arrivals: list[tuple[float, str]] = []
        self._born = int(time.time() * 1000)
        self._runner: web.ServerRunner | None = None
        self._free = asyncio.Semaphore(self.slots)
        self._in = 0
        self.address = ""

    def entry(self) -> dict:
        """Return what it registers."""
        return {
            "service": self.service,
            "addr": self.address,
            "zone": ZONE,
            "version": "v1",
            "slots": self.slots,
            "state": self.state,
            "cold_left_ms": 0,
            "seq": 0,
            "born": self._born,
        }

    async def start(self, ip: str) -> None:
        """Listen and register."""
        port = free_ports(ip, 1)[0]
        server = web.Server(self._handle, access_log=None, auto_decompress=False)
        self._runner = web.ServerRunner(server)
        await self._runner.setup()
        await web.TCPSite(self._runner, ip, port, shutdown_timeout=0.05).start()
        self.address = f"{ip}:{port}"
        self.register()

    def register(self) -> None:
        """Write the entry."""
        self.store.put("servers", self.name, self.entry())

    def drain(self) -> float:
        """Report that it leaves; return when the store has accepted that."""
        self.state = "draining"
        self.register()
        at_s = self.record.now()
        self.record.say(f"worker {self.name} reports draining, accepted")
        return at_s

    async def leave(self) -> None:
        """End, and remove the entry."""
        self.store.remove("servers", self.name)
        await self.stop()
        self.record.say(f"worker {self.name} has left")

    async def stop(self) -> None:
        """Close all connections."""
        if self._runner is not None:
            runner, self._runner = self._runner, None
            await runner.cleanup()

    def reject(self, request_id: str) -> bool:
        """Whether to turn a request away that could run."""
        return False

    async def _handle(self, req: web.BaseRequest) -> web.Response:
        request_id = req.headers.get("Request-Id", "")
        not_run = {"Not-Run": "1", "Request-Id": request_id}
        if req.headers.get("Expect-Instance", self.name) != self.name:
            return web.Response(status=421, headers=not_run)
        body = await req.read()
        self.arrivals.append((self.record.now(), request_id))
        if self._in >= self.slots + self.queue or self.reject(request_id):
            return web.Response(status=503, headers=not_run)
        self._in += 1
        try:
            async with self._free:
                self.runs.append(
                    (
                        self.record.now(),
                        request_id,
                        req.method,
                        req.message.path,
                        req.headers.copy(),
                        body,
                    )
                )
                self.record.line(f"run {request_id} at {self.name}, {len(body)} bytes")
                await asyncio.sleep(self.work_s)
        finally:
            self._in -= 1
        headers = {"Request-Id": request_id, "Stamp": f"{self.name}.{request_id}"}
        return web.Response(status=200, body=b"x" * 800, headers=headers)


class Engine(Worker):
    """A model worker: what a plain one does, models, reports and orders.

    Attributes
    ----------
    orders : list of tuple
        When an order came, and its body.
    """

    LOAD_S = 2.6
    MEMORY_MODELS = 3

    def __init__(self, *args, models: tuple[str, ...] = (), **kwargs):
        super().__init__(*args, **kwargs)
        self.models = list(models)
        self.slots = 64
        self.orders: list[tuple[float, dict]] = []
        self._seq = 0
        self._busy = False
        self._fence = 0

    def entry(self) -> dict:
        """Return what it registers."""
        return {
            **super().entry(),
            "stage": "both",
            "models": self._held(),
            "seq": self._seq,
        }

    def _held(self) -> list[dict]:
        return [{"name": name, "version": 1, "adapters": []} for name in self.models]

    async def _handle(self, req: web.BaseRequest) -> web.Response:
        if req.headers.get("Expect-Instance", self.name) != self.name:
            return web.Response(status=421)
        if req.path == "/api/report":
            return web.json_response(
                {
                    "stage": "both",
                    "models": self._held(),
                    "busy": self._busy,
                    "seq": self._seq,
                    "waiting": 0,
                    "running": 0,
                    "kv_used": 0,
                    "kv_total": 174569,
                    "handles": 0,
                }
            )
        if req.path == "/api/order":
            return web.Response(status=self._order(json.loads(await req.read())))
        if req.headers.get("Model", "").partition("/")[0] not in self.models:
            headers = {"Not-Run": "1", "Request-Id": req.headers["Request-Id"]}
            return web.Response(status=421, headers=headers)
        return await super()._handle(req)

    def _order(self, order: dict) -> int:
        """Take an order; return the status of the answer."""
        self.orders.append((self.record.now(), order))
        self.record.line(f"order to {self.name}: {json.dumps(order)}")
        if order["fence"] < self._fence:
            return 412
        self._fence = order["fence"]
        loads = order["op"] == "load"
        if loads == (order["model"] in self.models):
            return 200
        if self._busy or order.get("precondition", self._seq) != self._seq:
            return 409
        self._seq += 1
        self._busy = True
        delay_s = self.LOAD_S if loads else 0.1
        asyncio.get_running_loop().call_later(delay_s, self._carry_out, order)
        return 202

    def _carry_out(self, order: dict) -> None:
        self._busy = False
        if order["op"] == "load":
            self.models.append(order["model"])
        else:
            self.models.remove(order["model"])
        self.register()


def engine_spec(models: list[str]) -> dict:
    """Return the `engine` of a service with these models."""
    return {
        "slots": 64,
        "kv_capacity": 174569,
        "weights_mb": 220000,
        "adapter_slots": 8,
        "loads_per_s": 2,
        "models": [
            {
                "name": name,
                "weights_mb": 70000,
                "load_s": Engine.LOAD_S,
                "adapters": 0,
                "adapter_mb": 100,
            }
            for name in models
        ],
    }


def config(services: list[str], routes: list[dict]) -> dict:
    """Return a configuration."""
    return {
        "version": 7,
        "services": [
            {"name": name, "health_path": "/health", "max_conns": 110}
            for name in services
        ],
        "routes": routes,
        "limits": {
            "max_header_bytes": 16384,
            "max_body_bytes": 1048576,
            "header_timeout_ms": 3000,
            "idle_timeout_ms": 15000,
        },
    }


def route(name: str, service: str, kind: str, attempts: int = 1) -> dict:
    """Return a route for paths that begin with its name."""
    return {
        "name": name,
        "host": HOST,
        "path_prefix": f"/{name}/",
        "service": service,
        "kind": kind,
        "attempts": attempts,
        "timeout_ms": 1000,
        "target_latency_ms": 125,
        "priority": 0,
    }


class Instance:
    """One process of the system."""

    def __init__(self, deployment: Deployment, number: int, link_mbps: float):
        self.name = f"front-{ZONE}-{number}"
        self.ip = deployment.ip(number)
        self.deployment = deployment
        front, ready, control, peer = free_ports(self.ip, 4)
        self.front = f"{self.ip}:{front}"
        self.ready_address = f"{self.ip}:{ready}"
        self.process: subprocess.Popen | None = None
        self.starts = 0
        self.settings = deployment.folder / f"{self.name}.conf"
        lines = {
            "node_name": self.name,
            "role": "entry",
            "machine_class": "front",
            "serves": "front",
            "ip": self.ip,
            "zone": ZONE,
            "region": "vn-south",
            f"zones.{ZONE}": "vn-south",
            "listen.front": self.front,
            "listen.ready": self.ready_address,
            "listen.control": f"{self.ip}:{control}",
            "port_range": f"{peer},{peer}",
            "bootstrap": "false",
            "limits.cpu_share": "0.537",
            "limits.cores": "2",
            "limits.memory_mb": "300",
            "limits.max_fds": "4100",
            "limits.link_mbps": str(link_mbps),
            "limits.disk_mb": "0",
            "discovery": "platform",
            "entry": "vip",
            "beat_ms": "1200",
            "contracts": "base,drain,config,cost,retry,recover,fleet,stream,engine,"
            "platform",
            "tolerate.machines": "1",
            "tolerate.zones": "1",
            "bounds.stable_window_ms": "3000",
            "bounds.drain_ms": "2000",
            "bounds.grace_s": "8",
            "bounds.config_ms": "2000",
            "bounds.budget_ratio": "0.2",
            "bounds.budget_window_s": "10",
            "bounds.budget_extra": "58",
            "bounds.recover_s": "12",
            "bounds.checks_fence": "true",
            "bounds.lease_ms": "3000",
            "bounds.ceiling_window_s": "5",
            "bounds.ceiling_over": "1.1",
            "platform.addr": deployment.store.address,
            "platform.form": "objects",
            "platform.writes_per_s": "400",
            "platform.reads_per_s": "2000",
            "platform.history_s": "20",
            "platform.value_bytes": "1048576",
        }
        self.lines = lines
        self.write_settings()

    def write_settings(self) -> None:
        """Write the settings file."""
        text = "".join(f"{key}={value}\n" for key, value in self.lines.items())
        part = self.settings.with_suffix(".new")
        part.write_text(text)
        part.rename(self.settings)

    def start(self) -> None:
        """Start the process with the command of the deploy file."""
        role = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())["roles"]
        role = role["entry"]
        env = {k: os.environ[k] for k in ("PATH", "HOME", "LANG") if k in os.environ}
        env |= role.get("env", {})
        env["MARJORAMSTAGE_NODE_FILE"] = str(self.settings)
        env["PYTHONPATH"] = str(ROOT / "target" / "deps")
        log = (self.deployment.folder / f"{self.name}.log").open("ab")
        self.process = subprocess.Popen(
            shlex.split(role["run"]), cwd=ROOT, env=env, stdout=log, stderr=log
        )
        log.close()
        self.starts += 1
        self.deployment.record.say(f"instance {self.name} started")

    def signal(self, signum: int) -> None:
        """Send a signal to the process."""
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(signum)

    def kill(self) -> None:
        """End the process."""
        if self.process is not None:
            if self.process.poll() is None:
                self.process.kill()
            self.process.wait()

    async def is_ready(self, session: aiohttp.ClientSession) -> bool:
        """Whether it says that it is ready."""
        url = f"http://{self.ready_address}/api/ready"
        try:
            timeout = aiohttp.ClientTimeout(total=1.0)
            async with session.get(url, timeout=timeout) as resp:
                return resp.status == 200
        except (aiohttp.ClientError, TimeoutError, OSError):
            return False


class Deployment:
    """The store, the workers, the instances and the clients of one case."""

    def __init__(self, record: Record, bytes_per_s: float | None = None):
        self.record = record
        self.folder = Path(tempfile.mkdtemp(prefix="review-"))
        self._net = f"127.{random.randint(20, 250)}.{random.randint(1, 250)}"
        self.store = Store(record, bytes_per_s)
        self.workers: dict[str, Worker] = {}
        self.instances: list[Instance] = []
        self.session: aiohttp.ClientSession | None = None
        self._sent = 0

    def ip(self, number: int) -> str:
        """Return a loopback address."""
        return f"{self._net}.{number}"

    async def start(self) -> None:
        """Start the store and the clients."""
        if not (ROOT / "target" / "deps" / "ready").exists():
            raise CannotRunError("the build of the deploy file has not run")
        connector = aiohttp.TCPConnector(limit=0, force_close=True)
        self.session = aiohttp.ClientSession(connector=connector)
        await self.store.start(self.ip(200))

    async def add_worker(
        self,
        name: str,
        service: str,
        work_s: float = 0.02,
        cls: type = Worker,
        **kwargs,
    ) -> Worker:
        """Start a worker."""
        worker = cls(self.store, self.record, name, service, work_s, **kwargs)
        self.workers[name] = worker
        await worker.start(self.ip(100 + len(self.workers)))
        return worker

    def add_instance(self, link_mbps: float = 1000.0) -> Instance:
        """Start an instance."""
        instance = Instance(self, len(self.instances) + 1, link_mbps)
        self.instances.append(instance)
        instance.start()
        return instance

    async def wait_ready(self, instances=None, for_s: float = 20.0) -> None:
        """Wait until instances are ready."""
        until_s = time.monotonic() + for_s
        for instance in instances or self.instances:
            while not await instance.is_ready(self.session):
                if time.monotonic() > until_s:
                    raise CannotRunError(f"{instance.name} is not ready")
                await asyncio.sleep(0.1)
            self.record.say(f"instance {instance.name} is ready")

    async def request(
        self,
        instance: Instance,
        path: str,
        body: bytes = b"",
        headers: dict[str, str] | None = None,
    ) -> tuple[str, float, int]:
        """Send a request; return its id, when it was sent, and the status or 0."""
        self._sent += 1
        request_id = f"{random.getrandbits(32):08x}{self._sent:08x}"
        sent_s = self.record.now()
        all_headers = {
            "Host": HOST,
            "Request-Id": request_id,
            "Deadline-Ms": "1000",
            **(headers or {}),
        }
        wait_s = int(all_headers["Deadline-Ms"]) / 1000 + 1.0
        self.record.line(f"sent {request_id} {path} to {instance.name}")
        try:
            async with self.session.post(
                f"http://{instance.front}{path}",
                data=body,
                headers=all_headers,
                timeout=aiohttp.ClientTimeout(total=wait_s),
                skip_auto_headers=("Content-Type", "Accept-Encoding", "User-Agent"),
            ) as resp:
                await resp.read()
                status = resp.status
                text = f"{status} {resp.headers.get('Stamp', 'no stamp')}"
        except (aiohttp.ClientError, TimeoutError, OSError) as exc:
            status, text = 0, type(exc).__name__
        self.record.line(f"answered {request_id} {text}")
        return request_id, sent_s, status

    async def stop(self) -> None:
        """End all that was started."""
        for instance in self.instances:
            instance.kill()
        for worker in self.workers.values():
            await worker.stop()
        if self.session is not None:
            await self.session.close()
        await self.store.stop()
        for instance in self.instances:
            path = self.folder / f"{instance.name}.log"
            for line in path.read_text(errors="replace").splitlines()[-20:]:
                self.record.line(f"log {instance.name} {line[:300]}")
        shutil.rmtree(self.folder, ignore_errors=True)


def run_case(case, trouble: bool, path: Path, limit_s: float = 110.0) -> None:
    """Run a case and exit with its outcome.

    Parameters
    ----------
    case : callable
        Coroutine that gets a record and whether to disrupt, and returns whether the
        rule held.
    trouble : bool
        Whether to disrupt.
    path : Path
        Of the record that is written.
    """
    record = Record(path)
    record.say(f"disruption: {'yes' if trouble else 'no'}")

    async def bounded() -> bool:
        async with asyncio.timeout(limit_s):
            return await case(record, trouble)

    signal.signal(signal.SIGTERM, lambda *args: sys.exit(2))
    code = 2
    try:
        held = asyncio.run(bounded())
        record.say("the rule held" if held else "the rule is broken")
        code = 0 if held else 1
    except Exception as exc:
        # Whatever went wrong here says nothing about the rule.
        record.say(f"could not run: {exc!r}")
    finally:
        record.write()
    sys.exit(code)
