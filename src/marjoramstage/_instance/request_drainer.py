"""Drains requests of callers when the instance shuts down."""

from __future__ import annotations

import asyncio
import json

from aiohttp import web

from marjoramstage.clock import Clock
from marjoramstage.coordination.draining import DrainStateMachine
from marjoramstage.exceptions import RequestError, Verdict
from marjoramstage.logs import component_logger
from marjoramstage.transport._errors import error_response

log = component_logger("draining")

POLL_INTERVAL_S = 0.05
ABORT_TIMEOUT_S = 2.0
EVENT_STREAM = "text/event-stream"


class RequestDrainer:
    """Tracks requests in flight and aborts those that exceed the drain timeout.

    Parameters
    ----------
    timeout_s : float
        Time limit for requests in flight, in seconds.
    """

    def __init__(self, timeout_s: float, clock: Clock):
        self.drain = DrainStateMachine(timeout_s)
        self._clock = clock
        self._tasks: dict[asyncio.Task, web.Request] = {}

    @property
    def in_flight(self) -> int:
        """Number of requests being handled."""
        return len(self._tasks)

    def track_requests(self, app: web.Application) -> None:
        """Install the hooks that track an application's requests."""
        app.middlewares.insert(0, self._track)
        app.on_response_prepare.append(self._on_prepare)

    def request_stop(self) -> None:
        """Start the shutdown; a second call aborts what is still in flight."""
        self.drain.request_stop(self._clock.now())
        log.info("shutdown requested", extra={"state": self.drain.state})

    async def wait_while_lingering(self) -> None:
        """Wait until the load balancer has had time to see the failing readiness."""
        await self._wait_while("lingering")

    async def wait_until_drained(self) -> None:
        """Wait until no request is in flight; abort those left after the timeout."""
        await self._wait_while("draining")
        if self.drain.state != "aborting":
            return
        tasks = list(self._tasks)
        log.warning("aborting requests in flight", extra={"count": len(tasks)})
        for task in tasks:
            task.cancel()
        if tasks:
            await asyncio.wait(tasks, timeout=ABORT_TIMEOUT_S)

    async def _wait_while(self, state: str) -> None:
        while self.drain.advance(self.in_flight, self._clock.now()) == state:
            await self._clock.sleep(POLL_INTERVAL_S)

    @web.middleware
    async def _track(self, req: web.Request, handler) -> web.StreamResponse:
        task = asyncio.current_task()
        self._tasks[task] = req
        try:
            return await handler(req)
        except asyncio.CancelledError:
            if self.drain.state != "aborting":
                raise
            task.uncancel()
            return await self._abort_response(req)
        finally:
            del self._tasks[task]

    async def _on_prepare(self, req: web.Request, resp: web.StreamResponse) -> None:
        req["response"] = resp
        if not self.drain.serving:
            resp.force_close()

    async def _abort_response(self, req: web.Request) -> web.StreamResponse:
        """Return the response to an aborted request, with the verdict may-have-run."""
        text = "The instance stopped before the answer was whole."
        error = RequestError(502, "stopping", text, Verdict.MAY_HAVE_RUN)
        answer = error_response(error, req.get("request_id", ""))
        resp = req.get("response")
        if resp is None:
            return answer
        if resp.content_type == EVENT_STREAM:
            data = json.dumps(json.loads(answer.body))
            await resp.write(f"event: error\ndata: {data}\n\n".encode())
        else:
            # A truncated body must not look complete.
            req.transport.abort()
        return resp
