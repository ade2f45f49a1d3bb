"""Stand-in for a plain HTTP service whose bookings are not idempotent."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass

from aiohttp import web

from marjoramstage.protocol.messages import TargetKind, TargetReport
from marjoramstage.standins._base import (
    TargetStandin,
    abort_connection,
    refuse_request,
)
from marjoramstage.state.targets import report_to_data


@dataclass(frozen=True)
class ServiceFaults:
    """Faults to inject; an integer is the number of times that one occurs.

    Attributes
    ----------
    delay_s : float
        Duration of each booking, in seconds.
    lose_answers : int
        Bookings that run, but whose connection is aborted before the response.
    lose_requests : int
        Bookings whose connection is aborted before they run.
    refuse : int
        Bookings that get a 503 before they run.
    fail : int
        Bookings that run, but get a 500.
    lose_reports : int
        Report reads whose connection is aborted without a response.
    leaving : bool
        Report that the service is leaving, so that it gets no new work.
    """

    delay_s: float = 0.0
    lose_answers: int = 0
    lose_requests: int = 0
    refuse: int = 0
    fail: int = 0
    lose_reports: int = 0
    leaving: bool = False


class ServiceStandin(TargetStandin[ServiceFaults]):
    """Booking service; `runs` shows bookings that were executed twice."""

    def __init__(self, name: str, address: str, slots: int = 32):
        super().__init__(name, address, slots, ServiceFaults())
        self._bookings: dict[str, dict] = {}
        router = self.app.router
        router.add_get("/services/{service}/availability", self._availability)
        router.add_post("/services/{service}/bookings", self._book)

    def report_data(self) -> dict:
        """Return the current report as JSON data."""
        report = TargetReport(
            target=self.name,
            incarnation=self.incarnation,
            sequence=self.next_sequence(),
            memory_mb=0,
            slots=self.slots,
            running=self.running,
            leaving=self.faults.leaving,
        )
        return report_to_data(report) | {"kind": TargetKind.SERVICE.value}

    async def _availability(self, req: web.Request) -> web.Response:
        return web.json_response({"booked": sorted(self._bookings)})

    async def _book(self, req: web.Request) -> web.Response:
        if self.take_fault("refuse"):
            return refuse_request("busy")
        if self.take_fault("lose_requests"):
            return abort_connection(req)
        booking = await self._run(req.headers.get("X-Request-Id", ""), await req.json())
        if self.take_fault("lose_answers"):
            return abort_connection(req)
        if self.take_fault("fail"):
            return web.json_response({"error": "failed"}, status=500)
        return web.json_response(booking, status=201)

    async def _run(self, request_id: str, body: dict) -> dict:
        """Count an execution, wait ``delay_s`` and record the booking."""
        self.runs[request_id] += 1
        self.running += 1
        try:
            await asyncio.sleep(self.faults.delay_s)
        finally:
            self.running -= 1
        booking = {"booking": len(self._bookings) + 1, "hall": body.get("hall")}
        self._bookings[request_id] = booking
        return booking
