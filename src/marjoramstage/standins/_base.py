"""What the stand-ins share: a server, faults that are set over HTTP, counts."""

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
    """A server with faults; ``PUT /faults`` replaces them, ``GET`` reads them.

    Parameters
    ----------
    address : str
        ``ip:port``; port 0 lets the kernel choose.
    faults : dataclass
        Faults to begin with; its integers count occurrences that are left.
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

    def set_faults(self, faults: F) -> None:
        """Replace the faults."""
        self.faults = faults

    def take(self, name: str) -> bool:
        """Use up one occurrence of the counted fault ``name``."""
        left = getattr(self.faults, name)
        if left <= 0:
            return False
        self.faults = replace(self.faults, **{name: left - 1})
        return True

    def spawn(self, coro: Coroutine) -> None:
        """Run something until `stop`."""
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
    """A stand-in that requests are sent to.

    Attributes
    ----------
    runs : Counter
        What it truly ran, by request id.
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
        """Return the number of the next report."""
        self._sequence += 1
        return self._sequence

    @abc.abstractmethod
    def report_data(self) -> dict:
        """Return the next report as JSON data."""

    def runs_data(self) -> dict:
        """Return what it truly ran as JSON data."""
        return dict(self.runs)

    async def _report(self, req: web.Request) -> web.Response:
        if self.take("lose_reports"):
            return lose_connection(req)
        return web.json_response(self.report_data())

    async def _list_runs(self, req: web.Request) -> web.Response:
        return web.json_response(self.runs_data())


def lose_connection(req: web.Request) -> web.Response:
    """End the connection of ``req`` without an answer."""
    if req.transport is not None:
        req.transport.abort()
    return web.Response()


def refuse_request(reason: str, status: int = 503) -> web.Response:
    """Refuse a request before it runs, and say that it has not run."""
    headers = {"X-Verdict": "not-run"}
    return web.json_response({"error": reason}, status=status, headers=headers)
