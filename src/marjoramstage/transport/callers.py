"""HTTP API for callers: OpenAI-style completions and plain services."""

from __future__ import annotations

import asyncio
import uuid
from collections.abc import Callable
from dataclasses import dataclass, replace

import xxhash
from aiohttp import web

from marjoramstage.clock import Clock
from marjoramstage.coordination.claims import fingerprint
from marjoramstage.exceptions import RequestError, Verdict
from marjoramstage.logs import component_logger
from marjoramstage.metrics import Metrics
from marjoramstage.protocol.events import Dispatch
from marjoramstage.protocol.messages import Request, RequestClass, TargetKind
from marjoramstage.settings import Limits
from marjoramstage.state.inventory import Customer, Inventory, Service
from marjoramstage.transport._bodies import CompletionBody, parse_completion_body
from marjoramstage.transport._errors import (
    HEADER_REQUEST_ID,
    error_from_http_exception,
    error_response,
    handle_expect,
)
from marjoramstage.transport._headers import (
    check_head,
    find_customer,
    idempotency_key,
    request_class,
    request_timeout_s,
    service_path,
)
from marjoramstage.transport._slow_readers import SlowReaderMonitor
from marjoramstage.transport.relay import Claim, ClaimStore, Relay
from marjoramstage.transport.targets import TargetCall

log = component_logger("callers")

CHARS_PER_TOKEN = 4
PREFIX_CHARS = 512


@dataclass(frozen=True)
class OpenRequest:
    """A request in progress, as the state dump shows it.

    Attributes
    ----------
    age_s, left_s : float
        Time since its arrival and time until its deadline, in seconds.
    """

    id: str
    customer: str
    model: str
    adapter: str | None
    request_class: RequestClass
    age_s: float
    left_s: float


class CallerApi:
    """Handlers of the HTTP API for callers.

    Parameters
    ----------
    inventory : callable
        Returns the current inventory.
    claims : ClaimStore, optional
        Makes requests with an idempotency key run at most once.
    """

    def __init__(
        self,
        relay: Relay,
        inventory: Callable[[], Inventory],
        limits: Limits,
        clock: Clock,
        metrics: Metrics,
        claims: ClaimStore | None = None,
    ):
        self._relay = relay
        self._claims = claims
        self._inventory = inventory
        self._limits = limits
        self._clock = clock
        self._metrics = metrics
        self._open: dict[str, Request] = {}
        self.reader_monitor = SlowReaderMonitor(
            limits.stream_buffer_bytes, limits.reader_stall_s, clock, metrics
        )

    def app(self) -> web.Application:
        """Return the application with its routes."""
        app = web.Application(
            client_max_size=self._limits.body_bytes, middlewares=[self._handle_errors]
        )
        app.router.add_get("/v1/models", self._list_models)
        for path in ("/v1/completions", "/v1/chat/completions"):
            app.router.add_post(path, self._completions, expect_handler=handle_expect)
        app.router.add_route(
            "*",
            "/services/{service}/{tail:.*}",
            self._service,
            expect_handler=handle_expect,
        )
        return app

    @property
    def open_requests(self) -> int:
        """Number of requests whose response is not complete."""
        return len(self._open)

    def dump(self) -> list[OpenRequest]:
        """Return the requests whose response is not complete, oldest first."""
        now_s = self._clock.now()
        found = []
        for request in self._open.values():
            found.append(
                OpenRequest(
                    id=request.id,
                    customer=request.customer,
                    model=request.model,
                    adapter=request.adapter,
                    request_class=request.request_class,
                    age_s=round(now_s - request.arrived_s, 3),
                    left_s=round(request.deadline_s - now_s, 3),
                )
            )
        return found

    @web.middleware
    async def _handle_errors(self, req: web.Request, handler) -> web.StreamResponse:
        """Assign an id to the request; turn every error into a typed response."""
        req["request_id"] = uuid.uuid4().hex
        try:
            check_head(req, self._limits.header_bytes)
            resp = await handler(req)
        except RequestError as exc:
            resp = self._refuse(req, exc)
        except web.HTTPException as exc:
            resp = self._refuse(req, error_from_http_exception(exc))
            if "Allow" in exc.headers:
                resp.headers["Allow"] = exc.headers["Allow"]
        except Exception:
            log.exception(
                "request failed with an unexpected error",
                extra={"request": req["request_id"]},
            )
            text = "The instance failed."
            exc = RequestError(500, "internal", text, Verdict.MAY_HAVE_RUN)
            resp = self._refuse(req, exc)
        if not resp.prepared:
            resp.headers[HEADER_REQUEST_ID] = req["request_id"]
        return resp

    def _refuse(self, req: web.Request, exc: RequestError) -> web.Response:
        """Return the response of an error; abort a response that has started."""
        self._metrics.count(f"callers.errors.{exc.code}")
        extra = {
            "request": req["request_id"],
            "code": exc.code,
            "status": exc.status,
            "verdict": exc.verdict.value,
        }
        log.info("request rejected", extra=extra)
        if req.writer.output_size > 0 and req.transport is not None:
            req.transport.abort()
        return error_response(exc, req["request_id"])

    def _authenticate(self, req: web.Request) -> Customer:
        return find_customer(req, self._inventory().customers)

    async def _list_models(self, req: web.Request) -> web.Response:
        customer = self._authenticate(req)
        inventory = self._inventory()
        found = []
        for name in customer.paid:
            if name in inventory.model_by_name:
                found.append({"id": name, "object": "model"})
            adapter = inventory.adapter_by_name.get(name)
            if adapter is not None:
                found.append({"id": f"{adapter.model}:{name}", "object": "model"})
        return web.json_response({"object": "list", "data": found})

    async def _completions(self, req: web.Request) -> web.StreamResponse:
        customer = self._authenticate(req)
        key = idempotency_key(req)
        body = parse_completion_body(await self._read_body(req))
        self._check_access(customer, body)
        request = self._build_request(req, customer, TargetKind.ENGINE, body.model)
        request = replace(
            request,
            version=body.version,
            adapter=body.adapter,
            prompt_tokens=len(body.prompt) // CHARS_PER_TOKEN + 1,
            output_tokens=body.max_tokens,
            repeatable=key is None,
            prefix=xxhash.xxh3_64_intdigest(body.prompt[:PREFIX_CHARS].encode()),
        )

        def make_call(dispatch: Dispatch) -> TargetCall:
            return TargetCall(
                address=dispatch.address,
                method="POST",
                path=req.path,
                request_id=request.id,
                body=body.encode(dispatch.served_as),
                timeout_s=self._remaining_s(request),
            )

        claim = self._open_claim(req, request, key, body.encode(body.model))
        return await self._serve(req, request, make_call, claim)

    async def _service(self, req: web.Request) -> web.StreamResponse:
        customer = self._authenticate(req)
        name = req.match_info["service"]
        service = self._inventory().service_by_name.get(name)
        if service is None or name not in customer.paid:
            raise RequestError(404, "service", "No such service.", Verdict.NOT_RUN)
        path = service_path(req)
        payload = await self._read_body(req)
        request = self._build_request(req, customer, TargetKind.SERVICE, name)
        request = replace(request, repeatable=is_repeatable(service, req.method, path))

        def make_call(dispatch: Dispatch) -> TargetCall:
            return TargetCall(
                address=dispatch.address,
                method=req.method,
                path=req.raw_path,
                request_id=request.id,
                body=payload,
                timeout_s=self._remaining_s(request),
                content_type=req.headers.get("Content-Type", "application/json"),
            )

        claim = self._open_claim(req, request, idempotency_key(req), payload)
        return await self._serve(req, request, make_call, claim)

    def _open_claim(
        self, req: web.Request, request: Request, key: str | None, payload: bytes
    ) -> Claim | None:
        """Return the claim of a request that has a key and is not repeatable."""
        if key is None or request.repeatable or self._claims is None:
            return None
        request_fingerprint = fingerprint(req.method, req.raw_path, payload)
        return self._claims.open(request.customer, key, request_fingerprint, request.id)

    async def _read_body(self, req: web.Request) -> bytes:
        """Return the body; reject one that is too large or arrives too slowly."""
        limits = self._limits
        if (req.content_length or 0) > limits.body_bytes:
            raise web.HTTPRequestEntityTooLarge(limits.body_bytes, req.content_length)
        try:
            async with asyncio.timeout(limits.body_timeout_s):
                return await req.read()
        except TimeoutError:
            text = f"The body took longer than {limits.body_timeout_s} s."
            raise RequestError(408, "body-time", text, Verdict.NOT_RUN) from None
        except web.RequestPayloadError:
            text = "The body is cut short or badly framed."
            raise RequestError(400, "body", text, Verdict.NOT_RUN) from None

    async def _serve(
        self,
        req: web.Request,
        request: Request,
        make_call: Callable[[Dispatch], TargetCall],
        claim: Claim | None,
    ) -> web.StreamResponse:
        """Relay the response; the connection is closed if the caller stops reading."""
        self._open[request.id] = request
        try:
            with self.reader_monitor.monitor(req.transport, request.id):
                resp = await self._relay.serve(req, request, make_call, claim)
        finally:
            del self._open[request.id]
        self._record_completion(request, resp.status)
        return resp

    def _record_completion(self, request: Request, status: int) -> None:
        """Record metrics and a log line for a request with a complete response."""
        now_s = self._clock.now()
        took_ms = (now_s - request.arrived_s) * 1000
        in_time = now_s <= request.deadline_s
        self._metrics.count("callers.met" if in_time else "callers.late")
        self._metrics.timing("callers.answer", took_ms)
        extra = {
            "request": request.id,
            "customer": request.customer,
            "status": status,
            "took_ms": round(took_ms),
        }
        log.debug("request completed", extra=extra)

    def _check_access(self, customer: Customer, body: CompletionBody) -> None:
        inventory = self._inventory()
        model = inventory.model_by_name.get(body.model)
        known = model is not None and body.model in customer.paid
        known = known and body.version in (None, model.version)
        if body.adapter is not None:
            adapter = inventory.adapter_by_name.get(body.adapter)
            fits = adapter is not None and adapter.model == body.model
            known = known and fits and body.adapter in customer.paid
        if not known:
            raise RequestError(404, "model", "No such model.", Verdict.NOT_RUN)

    def _build_request(
        self, req: web.Request, customer: Customer, kind: TargetKind, model: str
    ) -> Request:
        now_s = self._clock.now()
        rules = self._inventory().rules
        found = request_class(req, customer, rules)
        return Request(
            id=req["request_id"],
            customer=customer.name,
            kind=kind,
            model=model,
            arrived_s=now_s,
            deadline_s=now_s + request_timeout_s(req, found, self._limits, rules),
            request_class=found,
        )

    def _remaining_s(self, request: Request) -> float:
        return max(0.001, request.deadline_s - self._clock.now())


def is_repeatable(service: Service, method: str, path: str) -> bool:
    """Return whether a call is declared idempotent; the default is no."""
    for call in service.calls:
        prefix = call.path.rstrip("/")
        below = path == prefix or path.startswith(prefix + "/")
        if call.method == method and below:
            return call.repeatable
    return False
