"""The callers' port: OpenAI-style requests and plain services over HTTP."""

from __future__ import annotations

import hashlib
import hmac
import json
import uuid
from collections.abc import Callable
from dataclasses import dataclass, replace

import xxhash
from aiohttp import web

from marjoramstage.clock import Clock
from marjoramstage.exceptions import RequestError, Verdict
from marjoramstage.logs import part_logger
from marjoramstage.metrics import Metrics
from marjoramstage.protocol.events import Dispatch
from marjoramstage.protocol.messages import (
    Request,
    RequestClass,
    TargetKind,
)
from marjoramstage.settings import Limits
from marjoramstage.state.inventory import Customer, Inventory, Service
from marjoramstage.transport.relay import HEADER_REQUEST_ID, HEADER_VERDICT, Relay
from marjoramstage.transport.targets import TargetCall

log = part_logger("callers")

HEADER_CLASS = "X-Request-Class"
HEADER_DEADLINE = "X-Deadline-Ms"
CHARS_PER_TOKEN = 4
DEFAULT_OUTPUT_TOKENS = 128
PREFIX_CHARS = 512


@dataclass(frozen=True)
class EngineBody:
    """The checked body of a completion request.

    Attributes
    ----------
    data : dict
        The caller's JSON object.
    """

    data: dict
    model: str
    version: str | None
    adapter: str | None
    stream: bool
    prompt: str
    max_tokens: int


class CallerPort:
    """Handlers of the callers' port.

    Parameters
    ----------
    inventory : callable
        Gives the inventory in force.
    """

    def __init__(
        self,
        relay: Relay,
        inventory: Callable[[], Inventory],
        limits: Limits,
        clock: Clock,
        metrics: Metrics,
    ):
        self._relay = relay
        self._inventory = inventory
        self._limits = limits
        self._clock = clock
        self._metrics = metrics

    def app(self) -> web.Application:
        """Return the application with its routes."""
        app = web.Application(
            client_max_size=self._limits.body_bytes, middlewares=[self._errors]
        )
        app.router.add_get("/v1/models", self._models)
        app.router.add_post("/v1/completions", self._completions)
        app.router.add_post("/v1/chat/completions", self._completions)
        app.router.add_route("*", "/services/{service}/{tail:.*}", self._service)
        return app

    @web.middleware
    async def _errors(self, req: web.Request, handler) -> web.StreamResponse:
        """Give every request an id, and every error a verdict."""
        request_id = uuid.uuid4().hex
        req["request_id"] = request_id
        try:
            resp = await handler(req)
        except RequestError as exc:
            self._metrics.count(f"callers.errors.{exc.code}")
            resp = error_response(exc)
        except web.HTTPException as exc:
            error = RequestError(exc.status, "http", exc.reason, Verdict.NOT_RUN)
            resp = error_response(error)
        except Exception:
            log.exception("request failed", extra={"request": request_id})
            text = "The instance failed."
            error = RequestError(500, "internal", text, Verdict.MAY_HAVE_RUN)
            resp = error_response(error)
        if not resp.prepared:
            resp.headers[HEADER_REQUEST_ID] = request_id
        return resp

    def _customer(self, req: web.Request) -> Customer:
        scheme, _, credential = req.headers.get("Authorization", "").partition(" ")
        digest = hashlib.sha256(credential.encode()).hexdigest()
        found = None
        for customer in self._inventory().customers:
            if hmac.compare_digest(customer.credential_sha256, digest):
                found = customer
        if scheme.lower() != "bearer" or found is None:
            text = "The credential is missing or unknown."
            raise RequestError(401, "credential", text, Verdict.NOT_RUN)
        return found

    async def _models(self, req: web.Request) -> web.Response:
        customer = self._customer(req)
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
        customer = self._customer(req)
        body = parse_engine_body(await req.read())
        self._check_paid(customer, body)
        request = self._request(req, customer, TargetKind.ENGINE, body.model)
        request = replace(
            request,
            version=body.version,
            adapter=body.adapter,
            prompt_tokens=len(body.prompt) // CHARS_PER_TOKEN + 1,
            output_tokens=body.max_tokens,
            repeatable="Idempotency-Key" not in req.headers,
            prefix=xxhash.xxh3_64_intdigest(body.prompt[:PREFIX_CHARS].encode()),
        )
        return await self._relay.serve(
            req,
            request,
            lambda dispatch: _engine_call(
                req, request, dispatch, body, self._time_left(request)
            ),
        )

    async def _service(self, req: web.Request) -> web.StreamResponse:
        customer = self._customer(req)
        name = req.match_info["service"]
        service = self._inventory().service_by_name.get(name)
        if service is None or name not in customer.paid:
            raise RequestError(404, "service", "No such service.", Verdict.NOT_RUN)
        payload = await req.read()
        request = self._request(req, customer, TargetKind.SERVICE, name)
        path = "/" + req.match_info["tail"]
        request = replace(request, repeatable=is_repeatable(service, req.method, path))
        return await self._relay.serve(
            req,
            request,
            lambda dispatch: TargetCall(
                address=dispatch.address,
                method=req.method,
                path=req.raw_path,
                request_id=request.id,
                body=payload,
                timeout_s=self._time_left(request),
                content_type=req.headers.get("Content-Type", "application/json"),
            ),
        )

    def _check_paid(self, customer: Customer, body: EngineBody) -> None:
        inventory = self._inventory()
        known = body.model in inventory.model_by_name and body.model in customer.paid
        if body.adapter is not None:
            adapter = inventory.adapter_by_name.get(body.adapter)
            fits = adapter is not None and adapter.model == body.model
            known = known and fits and body.adapter in customer.paid
        if not known:
            raise RequestError(404, "model", "No such model.", Verdict.NOT_RUN)

    def _request(
        self, req: web.Request, customer: Customer, kind: TargetKind, model: str
    ) -> Request:
        now_s = self._clock.now()
        return Request(
            id=req["request_id"],
            customer=customer.name,
            kind=kind,
            model=model,
            arrived_s=now_s,
            deadline_s=now_s + self._deadline_s(req),
            request_class=_request_class(req),
        )

    def _deadline_s(self, req: web.Request) -> float:
        text = req.headers.get(HEADER_DEADLINE)
        if text is None:
            return self._limits.default_deadline_s
        longest_ms = self._limits.max_deadline_s * 1000
        if not text.isascii() or not text.isdigit() or not 0 < int(text) <= longest_ms:
            text = f"{HEADER_DEADLINE} is a whole number from 1 to {longest_ms:.0f}."
            raise RequestError(400, "deadline-header", text, Verdict.NOT_RUN)
        return int(text) / 1000

    def _time_left(self, request: Request) -> float:
        return max(0.001, request.deadline_s - self._clock.now())


def _engine_call(
    req: web.Request,
    request: Request,
    dispatch: Dispatch,
    body: EngineBody,
    timeout_s: float,
) -> TargetCall:
    data = {**body.data, "model": dispatch.served_as}
    return TargetCall(
        address=dispatch.address,
        method="POST",
        path=req.path,
        request_id=request.id,
        body=json.dumps(data).encode(),
        timeout_s=timeout_s,
    )


def is_repeatable(service: Service, method: str, path: str) -> bool:
    """Return whether a call is idempotent; one not declared is not."""
    for call in service.calls:
        if call.method == method and path.startswith(call.path):
            return call.repeatable
    return False


def parse_engine_body(payload: bytes) -> EngineBody:
    """Check the body of a completion request.

    Raises
    ------
    RequestError
        Status 400, naming what is wrong.
    """
    try:
        data = json.loads(payload)
    except (ValueError, RecursionError) as exc:
        raise _bad_body("The body is not JSON.") from exc
    if not isinstance(data, dict):
        raise _bad_body("The body is not a JSON object.")
    name = data.get("model")
    if not isinstance(name, str) or not name:
        raise _bad_body("model is a string such as name@version:adapter.")
    model, _, adapter = name.partition(":")
    model, _, version = model.partition("@")
    max_tokens = data.get("max_tokens", DEFAULT_OUTPUT_TOKENS)
    if type(max_tokens) is not int or max_tokens < 1:
        raise _bad_body("max_tokens is a whole number above 0.")
    stream = data.get("stream", False)
    if not isinstance(stream, bool):
        raise _bad_body("stream is true or false.")
    return EngineBody(
        data={**data, "max_tokens": max_tokens},
        model=model,
        version=version or None,
        adapter=adapter or None,
        stream=stream,
        prompt=_prompt(data),
        max_tokens=max_tokens,
    )


def _prompt(data: dict) -> str:
    """Return the text of the prompt or of all messages."""
    messages = data.get("messages")
    if messages is None:
        prompt = data.get("prompt")
        if not isinstance(prompt, str):
            raise _bad_body("prompt is a string.")
        return prompt
    if not isinstance(messages, list) or not messages:
        raise _bad_body("messages is a list that is not empty.")
    texts = []
    for message in messages:
        content = message.get("content") if isinstance(message, dict) else None
        if not isinstance(content, str):
            raise _bad_body("Each message has a content string.")
        texts.append(content)
    return "\n".join(texts)


def _bad_body(message: str) -> RequestError:
    return RequestError(400, "body", message, Verdict.NOT_RUN)


def _request_class(req: web.Request) -> RequestClass:
    text = req.headers.get(HEADER_CLASS, "interactive")
    try:
        return RequestClass[text.upper()]
    except KeyError:
        text = f"{HEADER_CLASS} is urgent, interactive or overnight."
        raise RequestError(400, "class-header", text, Verdict.NOT_RUN) from None


def error_response(exc: RequestError) -> web.Response:
    """Return the JSON answer of an error, its verdict in body and header."""
    error = {"code": exc.code, "message": exc.message, "verdict": exc.verdict.value}
    headers = {HEADER_VERDICT: exc.verdict.value}
    if exc.retry_after_s is not None:
        headers["Retry-After"] = str(max(1, round(exc.retry_after_s)))
        error["retry_after_ms"] = round(exc.retry_after_s * 1000)
    return web.json_response({"error": error}, status=exc.status, headers=headers)
