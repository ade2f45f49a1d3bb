"""Stand-in for a model engine: OpenAI-style API, load and unload orders."""

from __future__ import annotations

import asyncio
import json
import time
import uuid
from collections import deque
from dataclasses import dataclass

from aiohttp import web

from marjoramstage.protocol.messages import (
    Item,
    Order,
    OrderAction,
    TargetReport,
)
from marjoramstage.standins._base import (
    TargetStandin,
    abort_connection,
    refuse_request,
)
from marjoramstage.standins._memory import EngineMemory
from marjoramstage.standins._streams import (
    Stream,
    StreamCache,
    chunk_data,
    completion_data,
)
from marjoramstage.standins._weights import WeightStore
from marjoramstage.state.targets import report_to_data

DEFAULT_TOKENS = 8
KEPT_REPORTS = 64


@dataclass(frozen=True)
class EngineFaults:
    """Faults to inject; an integer is the number of times that one occurs.

    Attributes
    ----------
    load_s, token_s : float
        Duration of a load, and time between tokens, in seconds.
    lose_orders, delay_orders, repeat_orders : int
        Orders that are dropped, executed ``delay_s`` late, or executed again
        ``delay_s`` later. Dropped and delayed orders lose their connection.
    delay_s : float
        Delay of delayed and repeated orders, in seconds.
    lose_order_answers : int
        Orders that are executed, but whose connection is aborted before the
        response.
    break_streams, stall_streams : int
        Responses with streaming whose connection is aborted, or that stop
        sending, after ``break_after`` chunks.
    break_after : int
        Chunks that are sent before a stream breaks or stalls.
    skip_chunks, repeat_chunks : int
        Chunks that are omitted from a stream, or sent twice.
    refuse_resumes : int
        Attempts to resume a stream that get a 404.
    ignore_cancels : bool
        Go on generating after a request is cancelled.
    lose_answers : int
        Responses without streaming whose connection is aborted after the
        request ran.
    stale_reports : int
        Report reads that get the previous report again.
    lose_reports : int
        Report reads whose connection is aborted without a response.
    report_lag : int
        How many reports behind the latest one each answer is.
    refuse : int
        Requests that get a 503 before they run.
    leaving : bool
        Report that the engine is leaving, so that it gets no new work.
    """

    load_s: float = 0.0
    token_s: float = 0.0
    lose_orders: int = 0
    delay_orders: int = 0
    repeat_orders: int = 0
    delay_s: float = 0.5
    lose_order_answers: int = 0
    break_streams: int = 0
    stall_streams: int = 0
    break_after: int = 2
    skip_chunks: int = 0
    repeat_chunks: int = 0
    refuse_resumes: int = 0
    ignore_cancels: bool = False
    lose_answers: int = 0
    stale_reports: int = 0
    lose_reports: int = 0
    report_lag: int = 0
    refuse: int = 0
    leaving: bool = False


class EngineStandin(TargetStandin[EngineFaults]):
    """Model engine that generates a fixed text, a token at a time.

    Parameters
    ----------
    weights : WeightStore, optional
        Weight store that determines how long loads take; without limits by
        default.
    fencing, expiry : bool
        Whether orders with an old fencing number, or past their expiry on
        the engine's clock, are refused.
    """

    def __init__(
        self,
        name: str,
        address: str,
        memory_mb: int = 48_000,
        slots: int = 16,
        fencing: bool = True,
        faults: EngineFaults | None = None,
        weights: WeightStore | None = None,
        expiry: bool = False,
    ):
        super().__init__(name, address, slots, faults or EngineFaults())
        self.memory = EngineMemory(memory_mb, fencing, expiry)
        self.cancelled = 0
        self._started_s = time.time()
        self._weights = weights or WeightStore()
        self._streams = StreamCache()
        self._reports: deque[dict] = deque(maxlen=KEPT_REPORTS)
        router = self.app.router
        router.add_post("/orders", self._order)
        router.add_post("/v1/completions", self._complete)
        router.add_post("/v1/chat/completions", self._complete)
        router.add_get("/v1/streams/{id}", self._resume)
        router.add_delete("/v1/requests/{id}", self._cancel)

    def report_data(self) -> dict:
        """Return a report as JSON data, outdated if the faults say so."""
        if not self._reports or not self.take_fault("stale_reports"):
            self._reports.append(self._current_report())
        lag = min(self.faults.report_lag, len(self._reports) - 1)
        return self._reports[-1 - lag]

    def _current_report(self) -> dict:
        report = TargetReport(
            target=self.name,
            incarnation=self.incarnation,
            sequence=self.next_sequence(),
            memory_mb=self.memory.capacity_mb,
            slots=self.slots,
            running=self.running,
            residents=tuple(self.memory.residents.values()),
            fencing=self.memory.fencing,
            leaving=self.faults.leaving,
            highest_fence=self.memory.highest_fence,
            last_orders=self.memory.last_orders,
            expiry=self.memory.expiry,
            clock_s=time.monotonic(),
            started_s=self._started_s,
        )
        return report_to_data(report)

    def runs_data(self) -> dict:
        """Return the counts of executions, cancels and overcommitting loads."""
        return {
            "runs": dict(self.runs),
            "cancelled": self.cancelled,
            "overcommits": self.memory.overcommits,
        }

    async def _order(self, req: web.Request) -> web.Response:
        order = _order_from_data(self.name, await req.json())
        if order.incarnation != self.incarnation:
            return web.json_response({"outcome": "refused"}, status=409)
        if self.take_fault("lose_orders"):
            return abort_connection(req)
        if self.take_fault("delay_orders"):
            self.spawn(self._execute_late(order, self.faults.delay_s))
            return abort_connection(req)
        if self.take_fault("repeat_orders"):
            self.spawn(self._execute_late(order, self.faults.delay_s))
        if not self.memory.accept(order, time.monotonic()):
            return web.json_response({"outcome": "refused"}, status=409)
        if order.action is OrderAction.LOAD:
            now_s = asyncio.get_running_loop().time()
            await asyncio.sleep(self._weights.load(now_s, self.faults.load_s))
        self.memory.finish(order)
        if self.take_fault("lose_order_answers"):
            return abort_connection(req)
        return web.json_response({"outcome": "done"})

    async def _execute_late(self, order: Order, delay_s: float) -> None:
        await asyncio.sleep(delay_s)
        if self.memory.accept(order, time.monotonic()):
            self.memory.finish(order)

    async def _complete(self, req: web.Request) -> web.StreamResponse:
        request_id = req.headers.get("X-Request-Id") or uuid.uuid4().hex
        body = await req.json()
        missing = self._missing_items(str(body.get("model", "")))
        if missing:
            return refuse_request(f"no {missing}", 404)
        if self.take_fault("refuse") or self.running >= self.slots:
            return refuse_request("busy")
        self.runs[request_id] += 1
        stream = self._streams.open(request_id)
        self.running += 1
        self.spawn(self._generate(stream, int(body.get("max_tokens", DEFAULT_TOKENS))))
        chat = req.path.endswith("/chat/completions")
        if body.get("stream"):
            return await self._send_stream(req, request_id, stream, 0, chat)
        await stream.ended.wait()
        if self.take_fault("lose_answers"):
            return abort_connection(req)
        return web.json_response(completion_data(request_id, stream.chunks, chat))

    def _missing_items(self, names: str) -> str:
        """Return the first item of ``names`` that is not ready, else "".

        ``names`` has the form ``model@version`` or
        ``model@version:adapter@version``.
        """
        for name in names.split(":"):
            item_name, _, version = name.partition("@")
            if not self.memory.ready(Item(item_name, version)):
                return name
        return ""

    async def _generate(self, stream: Stream, tokens: int) -> None:
        try:
            for index in range(tokens):
                await asyncio.sleep(self.faults.token_s)
                if stream.cancelled:
                    break
                stream.chunks.append(f"w{index} ")
        finally:
            stream.ended.set()
            self.running -= 1

    async def _send_stream(
        self, req: web.Request, request_id: str, stream: Stream, start: int, chat: bool
    ) -> web.StreamResponse:
        """Stream the chunks from ``start`` on and inject stream faults."""
        breaks, stalls = (
            self.take_fault("break_streams"),
            self.take_fault("stall_streams"),
        )
        resp = web.StreamResponse(headers={"Content-Type": "text/event-stream"})
        await resp.prepare(req)
        sent = start
        while not stream.done or sent < len(stream.chunks):
            for text in stream.chunks[sent:]:
                if breaks and sent - start >= self.faults.break_after:
                    return abort_connection(req)
                if stalls and sent - start >= self.faults.break_after:
                    await stream.ended.wait()
                    return abort_connection(req)
                data = json.dumps(chunk_data(request_id, sent, text, chat))
                await self._send_chunk(resp, f"id: {sent}\ndata: {data}\n\n".encode())
                sent += 1
            await asyncio.sleep(self.faults.token_s)
        if not stream.cancelled:
            await resp.write(b"data: [DONE]\n\n")
        return resp

    async def _send_chunk(self, resp: web.StreamResponse, data: bytes) -> None:
        if self.take_fault("skip_chunks"):
            return
        await resp.write(data)
        if self.take_fault("repeat_chunks"):
            await resp.write(data)

    async def _resume(self, req: web.Request) -> web.StreamResponse:
        request_id = req.match_info["id"]
        stream = self._streams.get(request_id)
        if stream is None or self.take_fault("refuse_resumes"):
            return web.json_response({"error": "no such stream"}, status=404)
        start = int(req.query.get("after", "-1")) + 1
        chat = req.query.get("chat") == "true"
        return await self._send_stream(req, request_id, stream, start, chat)

    async def _cancel(self, req: web.Request) -> web.Response:
        stream = self._streams.get(req.match_info["id"])
        if stream is not None and not stream.done and not self.faults.ignore_cancels:
            stream.cancelled = True
            self.cancelled += 1
        return web.json_response({"cancelled": stream is not None})


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
