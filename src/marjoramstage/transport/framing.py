"""How the end of an HTTP response's body is marked."""

from __future__ import annotations

import enum
from collections.abc import Mapping

from multidict import MultiMapping

_STATUSES_WITHOUT_BODY = frozenset((204, 304))
# `identity` stands for a body that isn't coded.
_KNOWN_CODINGS = frozenset(("", "chunked", "identity"))


class Framing(enum.Enum):
    """How a response marks the end of its body.

    Attributes
    ----------
    NO_BODY
        The method or the status excludes a body.
    LENGTH
        The head states the length.
    CHUNKED
        The last chunk is empty.
    CONNECTION
        The body ends with the connection, so that HTTP alone does not tell a
        complete body from a truncated one.
    """

    NO_BODY = "no body"
    LENGTH = "length"
    CHUNKED = "chunked"
    CONNECTION = "connection"


def has_foreign_coding(headers: MultiMapping[str]) -> bool:
    """Whether a body is coded in a way that this client does not decode.

    No request allows for another coding than a single ``chunked``.
    """
    codings = ",".join(headers.getall("Transfer-Encoding", ())).lower()
    return codings.strip() not in _KNOWN_CODINGS


def response_framing(method: str, status: int, headers: Mapping[str, str]) -> Framing:
    """Return how a response without a foreign coding marks the end of its body."""
    if method == "HEAD" or status in _STATUSES_WITHOUT_BODY:
        return Framing.NO_BODY
    coding = headers.get("Transfer-Encoding")
    if coding is not None:
        is_chunked = coding.strip().lower() == "chunked"
        return Framing.CHUNKED if is_chunked else Framing.CONNECTION
    return Framing.LENGTH if "Content-Length" in headers else Framing.CONNECTION
