"""Validation of the headers and paths of caller requests."""

from __future__ import annotations

import hashlib
import hmac
from collections.abc import Iterable
from urllib.parse import unquote

from aiohttp import web

from marjoramstage.exceptions import RequestError, Verdict
from marjoramstage.protocol.messages import RequestClass
from marjoramstage.settings import Limits
from marjoramstage.state.inventory import Customer, Rules

HEADER_CREDENTIAL = "Authorization"
HEADER_CLASS = "X-Request-Class"
HEADER_DEADLINE = "X-Deadline-Ms"
HEADER_KEY = "Idempotency-Key"
SINGLE_HEADERS = (HEADER_CREDENTIAL, HEADER_CLASS, HEADER_DEADLINE, HEADER_KEY)
MAX_KEY_CHARS = 255
MAX_DEADLINE_DIGITS = 12


def check_head(req: web.Request, header_bytes: int) -> None:
    """Reject a request head that is too large or not valid.

    A header of this API must not be repeated, and a body must not be compressed.

    Raises
    ------
    RequestError
        Status 400, 415 or 431.
    """
    size = sum(len(name) + len(value) + 4 for name, value in req.raw_headers)
    if size + len(req.raw_path) > header_bytes:
        text = f"The request head is longer than {header_bytes} bytes."
        raise _refusal(431, "header-size", text)
    if not req.raw_path.startswith("/") or "#" in req.raw_path:
        text = "The request target is a path that begins with a slash."
        raise _refusal(400, "path", text)
    for name in SINGLE_HEADERS:
        if len(req.headers.getall(name, ())) > 1:
            raise _refusal(400, "header", f"{name} is given more than once.")
    if req.headers.get("Content-Encoding", "identity") != "identity":
        raise _refusal(415, "encoding", "A compressed body is not taken.")


def find_customer(req: web.Request, customers: Iterable[Customer]) -> Customer:
    """Return the customer of the credential.

    All customers are compared, each in constant time, so that the response
    time tells nothing about the credentials.

    Raises
    ------
    RequestError
        Status 401.
    """
    scheme, _, credential = req.headers.get(HEADER_CREDENTIAL, "").partition(" ")
    token = credential.strip().encode("utf-8", "surrogateescape")
    digest = hashlib.sha256(token).hexdigest()
    found = None
    for customer in customers:
        if hmac.compare_digest(customer.credential_sha256, digest):
            found = customer
    if scheme.lower() != "bearer" or found is None:
        raise _refusal(401, "credential", "The credential is missing or unknown.")
    return found


def request_class(req: web.Request, customer: Customer, rules: Rules) -> RequestClass:
    """Return the request class that the caller asks for.

    Without the header it is interactive, or the most urgent class that the
    customer may use if that is lower.

    Raises
    ------
    RequestError
        Status 400 for an unknown class, 403 for one above the customer's.
    """
    text = req.headers.get(HEADER_CLASS, RequestClass.INTERACTIVE.name.lower())
    found = RequestClass.__members__.get(text.upper())
    if found is None:
        text = f"{HEADER_CLASS} is urgent, interactive or overnight."
        raise _refusal(400, "class-header", text)
    max_class = rules.max_class.get(customer.name)
    if max_class is None or found >= RequestClass[max_class.upper()]:
        return found
    if HEADER_CLASS not in req.headers:
        return RequestClass[max_class.upper()]
    raise _refusal(
        403, "class", f"The most urgent class of the customer is {max_class}."
    )


def request_timeout_s(
    req: web.Request, requested_class: RequestClass, limits: Limits, rules: Rules
) -> float:
    """Return the time allowed for the request, in seconds.

    Raises
    ------
    RequestError
        Status 400.
    """
    text = req.headers.get(HEADER_DEADLINE)
    if text is None and requested_class is RequestClass.OVERNIGHT:
        return min(rules.overnight_deadline_s, limits.max_deadline_s)
    if text is None:
        return limits.default_deadline_s
    longest_ms = round(limits.max_deadline_s * 1000)
    number = text.isascii() and text.isdigit() and len(text) <= MAX_DEADLINE_DIGITS
    if not number or not 0 < int(text) <= longest_ms:
        text = f"{HEADER_DEADLINE} is a whole number from 1 to {longest_ms}."
        raise _refusal(400, "deadline-header", text)
    return int(text) / 1000


def idempotency_key(req: web.Request) -> str | None:
    """Return the idempotency key of a request, or None if it has none.

    Raises
    ------
    RequestError
        Status 400.
    """
    key = req.headers.get(HEADER_KEY)
    if key is None:
        return None
    printable = key.isascii() and key.isprintable()
    if not printable or not 0 < len(key) <= MAX_KEY_CHARS:
        text = f"{HEADER_KEY} is 1 to {MAX_KEY_CHARS} printable ASCII characters."
        raise _refusal(400, "key", text)
    return key


def service_path(req: web.Request) -> str:
    """Return the decoded path that follows the service's name.

    Raises
    ------
    RequestError
        Status 400 for a path that could resolve to another service's call.
    """
    raw = req.rel_url.raw_path.split("/", 3)[3:]
    path = "/" + unquote(raw[0] if raw else "")
    for segment in path.split("/"):
        if segment in (".", "..") or "\\" in segment:
            raise _refusal(400, "path", "The path holds a dot segment.")
    if "%2f" in req.raw_path.lower() or "%5c" in req.raw_path.lower():
        raise _refusal(400, "path", "The path holds an encoded slash.")
    return path


def _refusal(status: int, code: str, message: str) -> RequestError:
    return RequestError(status, code, message, Verdict.NOT_RUN)
