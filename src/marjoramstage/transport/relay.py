"""Sends a request to targets and relays the answer to its caller."""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol

from aiohttp import web

from marjoramstage.clock import Clock
from marjoramstage.exceptions import RequestError, TargetError, Verdict
from marjoramstage.logs import part_logger
from marjoramstage.protocol.events import Dispatch
from marjoramstage.protocol.messages import AttemptEnd, Request
from marjoramstage.transport._errors import HEADER_REQUEST_ID, HEADER_VERDICT
from marjoramstage.transport.targets import HttpTargets, TargetCall

log = part_logger("relay")


class Router(Protocol):
    """Admission and routing as the relay uses it."""

    async def submit(self, request: Request) -> Dispatch:
        """Wait for a target; raise `RequestError` if the request is refused."""

    async def retry(self, request: Request, failed: tuple[str, ...]) -> Dispatch:
        """Wait for another target after an attempt that has not run."""

    def ended(self, end: AttemptEnd) -> None:
        """Note the end of an attempt."""


class Relay:
    """Attempts of requests at targets."""

    def __init__(self, router: Router, targets: HttpTargets, clock: Clock):
        self._router = router
        self._targets = targets
        self._clock = clock

    async def serve(
        self,
        req: web.Request,
        request: Request,
        call_for: Callable[[Dispatch], TargetCall],
    ) -> web.StreamResponse:
        """Dispatch a request and relay its answer; try again only if not run."""
        failed: tuple[str, ...] = ()
        dispatch = await self._router.submit(request)
        while True:
            try:
                return await self._attempt(req, request, dispatch, call_for(dispatch))
            except TargetError as exc:
                log.warning(
                    "attempt failed",
                    extra={
                        "request": request.id,
                        "target": dispatch.target,
                        "reason": str(exc),
                        "verdict": exc.verdict.value,
                    },
                )
                if exc.verdict is not Verdict.NOT_RUN:
                    text = "The target's answer was lost."
                    raise RequestError(502, "target", text, exc.verdict) from exc
                failed = (*failed, dispatch.target)
                dispatch = await self._router.retry(request, failed)

    async def _attempt(
        self, req: web.Request, request: Request, dispatch: Dispatch, call: TargetCall
    ) -> web.StreamResponse:
        verdict, ok = Verdict.MAY_HAVE_RUN, False
        try:
            async with self._targets.open(call) as upstream:
                resp = web.StreamResponse(status=upstream.status)
                resp.content_type = upstream.content_type
                resp.headers[HEADER_REQUEST_ID] = request.id
                resp.headers[HEADER_VERDICT] = Verdict.RAN.value
                await resp.prepare(req)
                async for block in upstream.content.iter_any():
                    await resp.write(block)
                await resp.write_eof()
                verdict, ok = Verdict.RAN, True
                return resp
        except TargetError as exc:
            verdict = exc.verdict
            raise
        finally:
            end = AttemptEnd(request, dispatch.target, verdict, ok)
            self._router.ended(end)
