"""JSON responses for errors."""

from __future__ import annotations

import math

from aiohttp import web

from marjoramstage.exceptions import RequestError, Verdict

HEADER_REQUEST_ID = "X-Request-Id"
HEADER_VERDICT = "X-Verdict"

RETRY_AFTER_STATUSES = (429, 503)
CODE_OF_STATUS = {404: "path", 405: "method", 413: "body-size"}


def error_response(exc: RequestError, request_id: str = "") -> web.Response:
    """Return the response of an error; body and headers hold its verdict."""
    error = {"code": exc.code, "message": exc.message, "verdict": exc.verdict.value}
    headers = {HEADER_VERDICT: exc.verdict.value}
    if request_id:
        error["request_id"] = request_id
        headers[HEADER_REQUEST_ID] = request_id
    if exc.retry_after_s is not None and exc.status in RETRY_AFTER_STATUSES:
        headers["Retry-After"] = str(max(1, math.ceil(exc.retry_after_s)))
        error["retry_after_ms"] = round(exc.retry_after_s * 1000)
    return web.json_response({"error": error}, status=exc.status, headers=headers)


async def handle_expect(req: web.Request) -> web.Response | None:
    """Send ``100 Continue``, or reject any other expectation."""
    if req.headers.get("Expect", "").lower() != "100-continue":
        text = "Expect is 100-continue."
        return error_response(RequestError(417, "expect", text, Verdict.NOT_RUN))
    await req.writer.write(b"HTTP/1.1 100 Continue\r\n\r\n")
    req.writer.output_size = 0  # the final response has not started
    return None


def error_from_http_exception(exc: web.HTTPException) -> RequestError:
    """Return the error for a request that aiohttp rejected."""
    code = CODE_OF_STATUS.get(exc.status, "http")
    return RequestError(exc.status, code, f"{exc.reason}.", Verdict.NOT_RUN)
