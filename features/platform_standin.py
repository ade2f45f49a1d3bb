"""Stand-ins for the users' platform: its object store, engines and services.

They run on an event loop in a thread of the test, on loopback addresses.
"""

import asyncio
import json
import threading
import time
from dataclasses import dataclass, field

from aiohttp import web

from marjoramstage.transport.sockets import reset_connection

WATCH_S = 2.0
EVENTS = 5
RUN_S = 0.05
STALL_S = 0.2
HANG_S = 30.0


class LoopThread:
    """An event loop in a thread."""

    def __init__(self):
        self.loop = asyncio.new_event_loop()
        self._thread = threading.Thread(target=self.loop.run_forever, daemon=True)
        self._thread.start()
        self._runners = {}

    def call(self, coro, timeout_s=10):
        return asyncio.run_coroutine_threadsafe(coro, self.loop).result(timeout_s)

    def serve(self, handler, host, port):
        """Serve all requests with ``handler``."""

        async def start():
            runner = web.ServerRunner(
                web.Server(handler, handler_cancellation=True, access_log=None)
            )
            await runner.setup()
            await web.TCPSite(runner, host, port).start()
            self._runners[f"{host}:{port}"] = runner

        self.call(start())

    def stop_serving(self, address):
        """Stop serving at an address; its connections close."""
        self.call(self._runners.pop(address).cleanup())

    def stop(self):
        async def cleanup():
            for runner in self._runners.values():
                await runner.cleanup()

        self.call(cleanup())
        self.loop.call_soon_threadsafe(self.loop.stop)
        self._thread.join(5)


class StandinStore:
    """Object store: objects by kind and name, a single revision and watches.

    Attributes
    ----------
    era : int
        Named in each answer; rises when the store is put back to a copy.
    """

    def __init__(self):
        self.era = 1
        self.objects = {}
        self.events = []
        self.revision = 1
        self.offline = False
        self.raw = {}
        self._changed = asyncio.Condition()

    async def put(self, kind, name, spec):
        """Write an object, as the operator or a target does."""
        self._store(kind, name, spec)
        await self._notify_watches()

    async def remove(self, kind, name):
        self._drop(kind, name)
        await self._notify_watches()

    def copy(self):
        """Return a copy of the contents."""
        return dict(self.objects), list(self.events), self.revision

    async def restore(self, contents):
        """Put the store back to a copy; what was written since is lost."""
        objects, events, self.revision = contents
        self.objects, self.events = dict(objects), list(events)
        self.era += 1
        await self._notify_watches()

    async def handle(self, req):
        resp = await self._answer(req)
        resp.headers["Store-Era"] = str(self.era)
        return resp

    async def _answer(self, req):
        if self.offline:
            req.transport.abort()
            return web.Response(status=503)
        parts = req.path.removeprefix("/api/objects/").split("/")
        kind, name = parts[0], parts[1] if len(parts) > 1 else ""
        if req.method == "GET":
            return await self._read(req, kind, name)
        body = json.loads(await req.read() or b"{}")
        name = name or body["meta"]["name"]
        current = self.objects.get((kind, name))
        if req.method == "POST" and current is not None:
            return web.json_response(current, status=409)
        if req.method == "PUT" and current is None:
            return web.Response(status=404)
        wanted = body.get("meta", {}).get("rev")
        if req.method == "PUT" and wanted and wanted != current["meta"]["rev"]:
            return web.json_response(current, status=409)
        self._store(kind, name, body.get("spec"))
        await self._notify_watches()
        return web.json_response(self.objects[kind, name])

    async def _read(self, req, kind, name):
        if name:
            current = self.objects.get((kind, name))
            return web.json_response(current, status=200 if current else 404)
        if "watch" in req.query:
            return await self._watch(kind, int(req.query["watch"]))
        items = [obj for (k, _), obj in sorted(self.objects.items()) if k == kind]
        return self._json(
            {"items": items, "more": False, "store_revision": self.revision}
        )

    async def _watch(self, kind, since):
        def found():
            return [e for rev, k, e in self.events if k == kind and rev > since]

        if since > self.revision:
            return web.Response(status=410)
        async with self._changed:
            try:
                await asyncio.wait_for(self._changed.wait_for(found), WATCH_S)
            except TimeoutError:
                pass
        return self._json({"events": found(), "store_revision": self.revision})

    def _json(self, data):
        """Answer with data; texts that are keys of ``raw`` become what these hold."""
        text = json.dumps(data)
        for key, raw in self.raw.items():
            text = text.replace(json.dumps(key), raw)
        return web.Response(text=text, content_type="application/json")

    def _store(self, kind, name, spec):
        self.revision += 1
        obj = {"meta": {"name": name, "rev": self.revision}, "spec": spec}
        self.objects[kind, name] = obj
        self.events.append((self.revision, kind, {"object": obj, "deleted": False}))

    def _drop(self, kind, name):
        self.revision += 1
        obj = self.objects.pop((kind, name))
        self.events.append((self.revision, kind, {"object": obj, "deleted": True}))

    async def _notify_watches(self):
        async with self._changed:
            self._changed.notify_all()


@dataclass
class StandinTarget:
    """A target: an engine with models, or a plain service without any."""

    name: str
    host: str
    port: int
    service: str
    models: set | None = None
    on_disk: set = field(default_factory=set)
    runs: list = field(default_factory=list)
    headers: list = field(default_factory=list)
    abandoned: list = field(default_factory=list)
    orders: list = field(default_factory=list)
    order_times_s: list = field(default_factory=list)
    accepted: list = field(default_factory=list)
    seq: int = 0
    born: int = 1
    software: str = "v1"
    fault: str = ""
    pause_s: float = 0.01
    leaving: bool = False
    leaving_only: str = ""
    retry_after: str = ""
    arrivals: list = field(default_factory=list)
    arrival_ids: list = field(default_factory=list)
    limit: str = ""

    def spec(self, state="ready"):
        found = {
            "service": self.service,
            "addr": f"{self.host}:{self.port}",
            "zone": "a",
            "version": self.software,
            "slots": 8,
            "state": state,
            "seq": self.seq,
            "born": self.born,
        }
        if self.models is not None:
            found["models"] = [
                {"name": name, "version": 1, "adapters": []} for name in self.models
            ]
        return found

    async def handle(self, req):
        if req.path == "/api/report":
            return web.json_response(self._report(), headers=self._notices("report"))
        if req.path == "/api/order":
            return await self._order(req)
        self.arrivals.append(time.monotonic())
        request_id = req.headers.get("Request-Id", "")
        self.arrival_ids.append(request_id)
        refusal = {"Not-Run": "1", "Request-Id": request_id}
        if self.retry_after:
            headers = {**refusal, "Retry-After": self.retry_after}
            return web.Response(status=503, headers=headers | self._notices("refusal"))
        body = await req.read()
        headers = {"Request-Id": request_id, "Stamp": f"{self.name}.{request_id}"}
        headers |= self._notices("answer")
        if self.fault == "busy":
            return web.Response(status=503, headers=refusal)
        model = req.headers.get("Model")
        if model and model not in self.models:
            return web.Response(status=421, headers={"Request-Id": request_id})
        if self.fault == "reset-before":
            return self._reset(req)
        self.runs.append(request_id)
        self.headers.append(dict(req.headers))
        if model:
            return await self._stream(req, headers)
        return await self._answer(req, body, headers)

    def _notices(self, kind):
        """Return what the target says of itself in an answer of this kind."""
        told = self.leaving and self.leaving_only in ("", kind)
        notices = {"Server-Leaving": "1"} if told else {}
        if self.limit and kind != "report":
            notices["Server-Limit"] = self.limit
        return notices

    async def _answer(self, req, body, headers):
        if self.fault == "error":
            return web.Response(status=500, body=b"broken", headers=headers)
        if self.fault == "hang":
            await asyncio.sleep(HANG_S)
        if self.fault == "foreign":
            headers["Request-Id"] = "another"
        if self.fault == "reset-while":
            await asyncio.sleep(RUN_S)
            return self._reset(req)
        if self.fault == "reset-after":
            resp = web.StreamResponse(headers={**headers, "Content-Length": "7"})
            await resp.prepare(req)
            return self._reset(req)
        if self.fault == "cut":
            resp = web.StreamResponse(headers={**headers, "Content-Length": "1000"})
            await resp.prepare(req)
            await resp.write(b"half")
            req.transport.close()
            return resp
        return web.Response(body=b"ran " + body, headers=headers)

    def _reset(self, req):
        """Reset the connection of a request, as when the target is killed."""
        reset_connection(req.transport)
        return web.Response(status=500)

    async def _stream(self, req, headers):
        headers["Content-Type"] = "text/event-stream"
        resp = web.StreamResponse(headers=headers)
        resp.enable_chunked_encoding()
        await resp.prepare(req)
        first = int(req.headers.get("Last-Event-Id", 0)) + 1
        try:
            for number in range(first, EVENTS + 1):
                await asyncio.sleep(self.pause_s)
                while self.fault == "stall" and number == 3:
                    await resp.write(b":")
                    await asyncio.sleep(STALL_S)
                if self.fault == "break" and number == 3:
                    await resp.write(b"id: 3\nda")
                    req.transport.close()
                    return resp
                await resp.write(f"id: {number}\ndata: {self.name}\n\n".encode())
        except (asyncio.CancelledError, ConnectionError):
            self.abandoned.append(req.headers["Request-Id"])
            raise
        await resp.write_eof()
        return resp

    async def _order(self, req):
        order = json.loads(await req.read())
        self.orders.append(order)
        self.order_times_s.append(time.monotonic())
        if order["precondition"] != self.seq:
            return web.Response(status=409)
        self.accepted.append(order)
        self.seq += 1
        if order["op"] == "load":
            self.models.add(order["model"])
        else:
            self.models.discard(order["model"])
        return web.Response(status=202)

    def _report(self):
        return {
            "models": self.spec()["models"],
            "busy": False,
            "seq": self.seq,
            "waiting": 0,
            "running": 0,
            "at_hand": {"in_memory": [], "on_disk": sorted(self.on_disk)},
        }
