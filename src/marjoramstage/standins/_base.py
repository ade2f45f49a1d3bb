"""Base classes of the stand-ins: HTTP server, fault injection, run counts."""

from __future__ import annotations

import abc
import asyncio
import uuid
from collections import Counter
from collections.abc import Coroutine
from dataclasses import asdict, replace
from typing import Generic, TypeVar

from aiohttp import web
from pydantic import TypeAdapter, ValidationError

from marjoramstage.transport._server import HttpServer

F = TypeVar("F")

MAX_BODY_BYTES = 1_000_000


class Standin(Generic[F]):
    """HTTP server with injected faults, read and replaced at ``/faults``.

    ``GET /faults`` returns the faults as JSON. ``PUT /faults`` replaces all of
    them; a fault that is left out goes back to its default.

    Parameters
    ----------
    address : str
        ``ip:port`` to listen on; with port 0 the kernel picks a free port.
    faults : dataclass
        Initial faults. An integer field is the number of times that the fault
        is still to occur.
    """

    def __init__(self, address: str, faults: F):
        self.faults = faults
        self.app = web.Application(client_max_size=MAX_BODY_BYTES)
        self.app.router.add_get("/faults", self._get_faults)
        self.app.router.add_put("/faults", self._put_faults)
        self._server = HttpServer(self.app, address)
        self._tasks: set[asyncio.Task] = set()

    @property
    def address(self) -> str:
        """Address that the server listens on, as ``ip:port``."""
        return self._server.address

    async def start(self) -> None:
        """Start listening."""
        await self._server.start()

    async def stop(self) -> None:
        """Cancel the background tasks and close all connections."""
        for task in list(self._tasks):
            task.cancel()
        await self._server.stop()

    def set_faults(self, faults: F) -> None:
        """Replace the faults."""
        self.faults = faults

    def take_fault(self, name: str) -> bool:
        """Consume one occurrence of a fault; return False if none is left."""
        left = getattr(self.faults, name)
        if left <= 0:
            return False
        self.faults = replace(self.faults, **{name: left - 1})
        return True

    def spawn(self, coro: Coroutine) -> None:
        """Run a coroutine in the background; `stop` cancels it."""
        task = asyncio.create_task(coro)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _get_faults(self, req: web.Request) -> web.Response:
        return web.json_response(asdict(self.faults))

    async def _put_faults(self, req: web.Request) -> web.Response:
        adapter = TypeAdapter(type(self.faults))
        try:
            data = adapter.validate_json(await req.read(), extra="forbid")
        except ValidationError as exc:
            problems = [f"{error['loc']}: {error['msg']}" for error in exc.errors()]
            return web.json_response({"problems": problems}, status=400)
        self.set_faults(data)
        return web.json_response({})


class TargetStandin(Standin[F], abc.ABC):
    """Stand-in for a target: it reports its state and counts what it runs.

    Attributes
    ----------
    runs : Counter
        Number of times that each request was executed, by request id. A
        request that is refused, or lost before it runs, is not counted.
    """

    def __init__(self, name: str, address: str, slots: int, faults: F):
        super().__init__(address, faults)
        self.name = name
        self.runs: Counter[str] = Counter()
        self.slots = slots
        self.running = 0
        self.incarnation = uuid.uuid4().hex
        self._sequence = 0
        self.app.router.add_get("/report", self._report)
        self.app.router.add_get("/runs", self._list_runs)

    def next_sequence(self) -> int:
        """Return the sequence number of the next report."""
        self._sequence += 1
        return self._sequence

    @abc.abstractmethod
    def report_data(self) -> dict:
        """Return the next report as JSON data."""

    def runs_data(self) -> dict:
        """Return the execution counts as JSON data."""
        return dict(self.runs)

    async def _report(self, req: web.Request) -> web.Response:
        if self.take_fault("lose_reports"):
            return abort_connection(req)
        return web.json_response(self.report_data())

    async def _list_runs(self, req: web.Request) -> web.Response:
        return web.json_response(self.runs_data())


def abort_connection(req: web.Request) -> web.Response:
    """Abort the connection of ``req`` without sending a response."""
    if req.transport is not None:
        req.transport.abort()
    return web.Response()


def refuse_request(reason: str, status: int = 503) -> web.Response:
    """Return a refusal with the verdict that the request has not run."""
    headers = {"X-Verdict": "not-run"}
    return web.json_response({"error": reason}, status=status, headers=headers)
