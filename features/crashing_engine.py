"""An engine that ends when it begins to write an answer on a certain part of a prompt.

It breaks off all its answers, refuses connections for a while and then serves again
in a new incarnation.
"""

import asyncio
import enum
import itertools
import random

from aiohttp import web

from features.platform_standin import StandinTarget
from marjoramstage.transport.sockets import reset_connection

EVENTS = 12
EVENT_S = 0.05
PREFILL_S = 0.03
DOWN_S = 2.5


class CrashKind(enum.Enum):
    """What is seen of the answer under which an engine crashes."""

    HEAD = "the head, then a reset"
    SECOND_EVENT = "a part of the second event"
    UNFRAMED = "no framing, a close inside an event"
    SILENT = "nothing, then a reset"


class CrashingEngine(StandinTarget):
    """One engine; `serve` has to run on the event loop of the stand-ins.

    Parameters
    ----------
    crash_part : str
        Part that ends it; empty for none.
    crash_share : float
        Share of all requests that end it for another reason.
    on_start : callable
        Called with the engine at each start but the first.
    """

    def __init__(self, name, address, models, crash_part, kind, on_start, **more):
        host, port = address.split(":")
        super().__init__(name, host, int(port), "engine", set(models))
        self.crash_part = crash_part
        self.crash_share = more.get("crash_share", 0.0)
        self.software = more.get("software", "v1")
        self.kind = kind
        self.crashes_s = []
        self.sent_s = []
        self._on_start = on_start
        self._rng = random.Random(name)
        self._connections = set()
        self._listener = None
        self._incarnations = itertools.count(2)
        self._tasks = set()

    async def serve(self):
        """Accept connections."""
        loop = asyncio.get_running_loop()
        self._server = web.Server(
            self._track, handler_cancellation=True, access_log=None
        )
        self._listener = await loop.create_server(self._server, self.host, self.port)

    async def stop(self):
        """Stop for good."""
        for task in self._tasks:
            task.cancel()
        self._listener.close()

    async def _track(self, req):
        self._connections.add(req.transport)
        try:
            return await self.handle(req)
        except ConnectionError:
            return web.Response(status=500)
        finally:
            self._connections.discard(req.transport)

    async def _stream(self, req, headers):
        prefix = req.headers.get("Prompt-Prefix", "")
        parts = [part.partition(":")[0] for part in prefix.split(",")]
        fatal = self.crash_part in parts[:-1]
        if fatal:
            self.sent_s.append(asyncio.get_running_loop().time())
        by_chance = self._rng.random() < self.crash_share
        await asyncio.sleep(PREFILL_S)
        resp = web.StreamResponse(headers=headers)
        resp.headers["Content-Type"] = "text/event-stream"
        if self.kind is CrashKind.UNFRAMED:
            resp.headers["Connection"] = "close"
        else:
            resp.enable_chunked_encoding()
        if fatal and self.kind is CrashKind.SILENT:
            return self._crash(resp)
        await resp.prepare(req)
        if fatal and self.kind is CrashKind.HEAD:
            return self._crash(resp)
        first = int(req.headers.get("Last-Event-Id", 0)) + 1
        for number in range(first, EVENTS + 1):
            if number > first and (fatal or (by_chance and number == EVENTS // 2)):
                await resp.write(f"id: {number}\nda".encode())
                return self._crash(resp, closed=self.kind is CrashKind.UNFRAMED)
            await resp.write(f"id: {number}\ndata: {self.software}\n\n".encode())
            await asyncio.sleep(EVENT_S)
        await resp.write_eof()
        if self.kind is CrashKind.UNFRAMED:
            req.transport.close()
        return resp

    def _crash(self, resp, closed=False):
        """End all answers and stop listening; start again later."""
        self.crashes_s.append(asyncio.get_running_loop().time())
        self._listener.close()
        for transport in list(self._connections):
            if closed or transport.is_closing():
                transport.close()
            else:
                reset_connection(transport)
        for conn in list(self._server.connections):
            conn.force_close()
        task = asyncio.ensure_future(self._start_again())
        self._tasks.add(task)
        return resp

    async def _start_again(self):
        await asyncio.sleep(DOWN_S)
        self.born = next(self._incarnations)
        self.seq = 0
        await self.serve()
        await self._on_start(self)
