"""Stand-in for a plain service with bookings that may not be repeated."""

from __future__ import annotations

import asyncio
import uuid
from collections import Counter
from dataclasses import dataclass

from aiohttp import web

from marjoramstage.protocol.messages import TargetKind, TargetReport
from marjoramstage.state.targets import report_to_data
from marjoramstage.transport._server import HttpServer


@dataclass(frozen=True)
class ServiceFaults:
    """Faults that the stand-in brings about.

    Attributes
    ----------
    delay_s : float
        Time that each call takes, in seconds.
    lose_answers : int
        Calls that run and then lose their connection.
    refuse : int
        Calls that are refused with 503 before they run.
    """

    delay_s: float = 0.0
    lose_answers: int = 0
    refuse: int = 0


class ServiceStandin:
    """A booking service; counts what it truly ran by request id."""

    def __init__(self, name: str, address: str, slots: int = 32):
        self.name = name
        self.faults = ServiceFaults()
        self.runs: Counter[str] = Counter()
        self._slots = slots
        self._running = 0
        self._sequence = 0
        self._incarnation = uuid.uuid4().hex
        self._bookings: dict[str, dict] = {}
        app = web.Application()
        app.router.add_get("/report", self._report)
        app.router.add_get("/runs", self._list_runs)
        app.router.add_put("/faults", self._set_faults)
        app.router.add_get("/services/{service}/availability", self._availability)
        app.router.add_post("/services/{service}/bookings", self._book)
        self._server = HttpServer(app, address)

    @property
    def address(self) -> str:
        """The address that is listened on."""
        return self._server.address

    async def start(self) -> None:
        """Listen."""
        await self._server.start()

    async def stop(self) -> None:
        """Close every connection."""
        await self._server.stop()

    async def _report(self, req: web.Request) -> web.Response:
        self._sequence += 1
        report = TargetReport(
            target=self.name,
            incarnation=self._incarnation,
            sequence=self._sequence,
            memory_mb=0,
            slots=self._slots,
            running=self._running,
        )
        data = report_to_data(report)
        data["kind"] = TargetKind.SERVICE.value
        return web.json_response(data)

    async def _availability(self, req: web.Request) -> web.Response:
        return web.json_response({"booked": sorted(self._bookings)})

    async def _book(self, req: web.Request) -> web.Response:
        if self.faults.refuse > 0:
            self.faults = ServiceFaults(refuse=self.faults.refuse - 1)
            headers = {"X-Verdict": "not-run"}
            return web.json_response({"error": "busy"}, status=503, headers=headers)
        request_id = req.headers.get("X-Request-Id", "")
        body = await req.json()
        self.runs[request_id] += 1
        self._running += 1
        try:
            await asyncio.sleep(self.faults.delay_s)
        finally:
            self._running -= 1
        booking = {"booking": len(self._bookings) + 1, "hall": body.get("hall")}
        self._bookings[request_id] = booking
        if self.faults.lose_answers > 0:
            self.faults = ServiceFaults(lose_answers=self.faults.lose_answers - 1)
            req.transport.abort()
        return web.json_response(booking, status=201)

    async def _list_runs(self, req: web.Request) -> web.Response:
        return web.json_response(dict(self.runs))

    async def _set_faults(self, req: web.Request) -> web.Response:
        self.faults = ServiceFaults(**await req.json())
        return web.json_response({})
