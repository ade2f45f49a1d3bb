"""Stand-in for a model engine with an OpenAI-style API and load orders."""

from __future__ import annotations

import asyncio
import json
import time
import uuid
from collections import Counter, OrderedDict
from dataclasses import dataclass, field, replace

from aiohttp import web

from marjoramstage.protocol.messages import (
    Item,
    Order,
    OrderAction,
    TargetReport,
)
from marjoramstage.standins._memory import EngineMemory
from marjoramstage.state.targets import report_to_data
from marjoramstage.transport._server import HttpServer

KEPT_STREAMS = 256
DEFAULT_TOKENS = 8


@dataclass(frozen=True)
class EngineFaults:
    """Faults that the stand-in brings about.

    Attributes
    ----------
    load_s, token_s : float
        Time of a load and between tokens, in seconds.
    lose_orders, delay_orders : int
        Orders that are dropped, or carried out ``delay_s`` late.
    delay_s : float
        Delay of delayed orders, in seconds.
    lose_order_answers : int
        Orders that are carried out but answered by a lost connection.
    break_streams : int
        Streams that break after ``break_after`` chunks.
    break_after : int
        Chunks before a broken stream breaks.
    stale_reports : int
        Reports that repeat the previous one.
    refuse : int
        Requests that are refused with 503 before they run.
    """

    load_s: float = 0.0
    token_s: float = 0.0
    lose_orders: int = 0
    delay_orders: int = 0
    delay_s: float = 0.5
    lose_order_answers: int = 0
    break_streams: int = 0
    break_after: int = 2
    stale_reports: int = 0
    refuse: int = 0


@dataclass
class Stream:
    """One running request: its chunks so far, and whether it ended."""

    chunks: list[str] = field(default_factory=list)
    ended: asyncio.Event = field(default_factory=asyncio.Event)
    cancelled: bool = False

    @property
    def done(self) -> bool:
        """Whether no chunk follows."""
        return self.ended.is_set()


class EngineStandin:
    """A model engine; counts what it truly ran by request id."""

    def __init__(
        self,
        name: str,
        address: str,
        memory_mb: int = 48_000,
        slots: int = 16,
        fencing: bool = True,
        faults: EngineFaults | None = None,
    ):
        self.name = name
        self.faults = faults or EngineFaults()
        self.memory = EngineMemory(memory_mb, fencing)
        self.runs: Counter[str] = Counter()
        self.cancelled = 0
        self._slots = slots
        self._running = 0
        self._sequence = 0
        self._incarnation = uuid.uuid4().hex
        self._started_s = time.time()
        self._streams: OrderedDict[str, Stream] = OrderedDict()
        self._last_report: dict = {}
        self._tasks: set[asyncio.Task] = set()
        app = web.Application()
        app.router.add_get("/report", self._report)
        app.router.add_post("/orders", self._order)
        app.router.add_post("/v1/completions", self._complete)
        app.router.add_post("/v1/chat/completions", self._complete)
        app.router.add_get("/v1/streams/{id}", self._resume)
        app.router.add_delete("/v1/requests/{id}", self._cancel)
        app.router.add_get("/runs", self._list_runs)
        app.router.add_put("/faults", self._set_faults)
        self._server = HttpServer(app, address)

    @property
    def address(self) -> str:
        """The address that is listened on."""
        return self._server.address

    async def start(self) -> None:
        """Listen."""
        await self._server.start()

    async def stop(self) -> None:
        """Close every connection and stop what runs."""
        for task in list(self._tasks):
            task.cancel()
        await self._server.stop()

    def _take_fault(self, name: str) -> bool:
        """Use up one occurrence of the counted fault ``name``."""
        left = getattr(self.faults, name)
        if left <= 0:
            return False
        self.faults = replace(self.faults, **{name: left - 1})
        return True

    def _spawn(self, coro) -> None:
        task = asyncio.create_task(coro)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _report(self, req: web.Request) -> web.Response:
        if self._last_report and self._take_fault("stale_reports"):
            return web.json_response(self._last_report)
        self._sequence += 1
        report = TargetReport(
            target=self.name,
            incarnation=self._incarnation,
            sequence=self._sequence,
            memory_mb=self.memory.capacity_mb,
            slots=self._slots,
            running=self._running,
            residents=tuple(self.memory.residents.values()),
            fencing=self.memory.fencing,
            highest_fence=self.memory.highest_fence,
            last_orders=self.memory.last_orders,
            started_s=self._started_s,
        )
        self._last_report = report_to_data(report)
        return web.json_response(self._last_report)

    async def _order(self, req: web.Request) -> web.Response:
        order = _order_from_data(self.name, await req.json())
        if order.incarnation != self._incarnation:
            return web.json_response({"outcome": "refused"}, status=409)
        if self._take_fault("lose_orders"):
            req.transport.abort()
            return web.Response()
        if self._take_fault("delay_orders"):
            self._spawn(self._carry_out_late(order, self.faults.delay_s))
            req.transport.abort()
            return web.Response()
        if not self.memory.accept(order):
            return web.json_response({"outcome": "refused"}, status=409)
        if order.action is OrderAction.LOAD:
            await asyncio.sleep(self.faults.load_s)
        self.memory.finish(order)
        if self._take_fault("lose_order_answers"):
            req.transport.abort()
        return web.json_response({"outcome": "done"})

    async def _carry_out_late(self, order: Order, delay_s: float) -> None:
        await asyncio.sleep(delay_s)
        if self.memory.accept(order):
            self.memory.finish(order)

    async def _complete(self, req: web.Request) -> web.StreamResponse:
        request_id = req.headers.get("X-Request-Id") or uuid.uuid4().hex
        body = await req.json()
        missing = self._missing_items(str(body.get("model", "")))
        if missing:
            return web.json_response({"error": f"no {missing}"}, status=404)
        if self._take_fault("refuse") or self._running >= self._slots:
            return web.json_response({"error": "busy"}, status=503)
        self.runs[request_id] += 1
        stream = self._open_stream(request_id)
        self._spawn(self._generate(stream, int(body.get("max_tokens", DEFAULT_TOKENS))))
        chat = req.path.endswith("/chat/completions")
        if body.get("stream"):
            return await self._relay(req, request_id, stream, 0, chat)
        await stream.ended.wait()
        return web.json_response(_whole(request_id, stream.chunks, chat))

    def _missing_items(self, names: str) -> str:
        """Return the first of ``model@version:adapter@version`` not ready."""
        for name in names.split(":"):
            item_name, _, version = name.partition("@")
            if not self.memory.ready(Item(item_name, version)):
                return name
        return ""

    def _open_stream(self, request_id: str) -> Stream:
        stream = Stream()
        self._streams[request_id] = stream
        while len(self._streams) > KEPT_STREAMS:
            self._streams.popitem(last=False)
        return stream

    async def _generate(self, stream: Stream, tokens: int) -> None:
        self._running += 1
        try:
            for index in range(tokens):
                await asyncio.sleep(self.faults.token_s)
                if stream.cancelled:
                    break
                stream.chunks.append(f"w{index} ")
        finally:
            stream.ended.set()
            self._running -= 1

    async def _relay(
        self, req: web.Request, request_id: str, stream: Stream, start: int, chat: bool
    ) -> web.StreamResponse:
        breaks = self._take_fault("break_streams")
        resp = web.StreamResponse(headers={"Content-Type": "text/event-stream"})
        await resp.prepare(req)
        sent = start
        while True:
            for text in stream.chunks[sent:]:
                if breaks and sent - start >= self.faults.break_after:
                    req.transport.abort()
                    return resp
                data = json.dumps(_chunk(request_id, sent, text, chat))
                await resp.write(f"id: {sent}\ndata: {data}\n\n".encode())
                sent += 1
            if stream.done and sent == len(stream.chunks):
                break
            await asyncio.sleep(self.faults.token_s or 0)
        if not stream.cancelled:
            await resp.write(b"data: [DONE]\n\n")
        return resp

    async def _resume(self, req: web.Request) -> web.StreamResponse:
        request_id = req.match_info["id"]
        stream = self._streams.get(request_id)
        if stream is None:
            return web.json_response({"error": "no such stream"}, status=404)
        start = int(req.query.get("after", "-1")) + 1
        chat = req.query.get("chat") == "true"
        return await self._relay(req, request_id, stream, start, chat)

    async def _cancel(self, req: web.Request) -> web.Response:
        stream = self._streams.get(req.match_info["id"])
        if stream is not None and not stream.done:
            stream.cancelled = True
            self.cancelled += 1
        return web.json_response({"cancelled": stream is not None})

    async def _list_runs(self, req: web.Request) -> web.Response:
        return web.json_response(
            {
                "runs": dict(self.runs),
                "cancelled": self.cancelled,
                "overcommits": self.memory.overcommits,
            }
        )

    async def _set_faults(self, req: web.Request) -> web.Response:
        self.faults = EngineFaults(**await req.json())
        return web.json_response({})


def _order_from_data(target: str, data: dict) -> Order:
    return Order(
        target=target,
        incarnation=data["incarnation"],
        number=data["number"],
        fence=data["fence"],
        action=OrderAction(data["action"]),
        item=Item(data["name"], data["version"]),
        memory_mb=data["memory_mb"],
        expires_s=data.get("expires_s", 0.0),
    )


def _chunk(request_id: str, index: int, text: str, chat: bool) -> dict:
    choice = {"index": 0, "finish_reason": None}
    choice |= {"delta": {"content": text}} if chat else {"text": text}
    return {"id": request_id, "sequence": index, "choices": [choice]}


def _whole(request_id: str, chunks: list[str], chat: bool) -> dict:
    text = "".join(chunks)
    choice = {"index": 0, "finish_reason": "stop"}
    if chat:
        choice |= {"message": {"role": "assistant", "content": text}}
    else:
        choice |= {"text": text}
    usage = {"completion_tokens": len(chunks)}
    return {"id": request_id, "choices": [choice], "usage": usage}
