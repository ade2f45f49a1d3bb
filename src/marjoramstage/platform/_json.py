"""Reads JSON in which single values may be more than a parser takes.

Any writer of the store may leave an entry that is nested too deeply or has a number of
too many digits. Such a value becomes null, so that the rest of an answer can be read.
"""

from __future__ import annotations

import json
import re
from typing import Any

# Arrays and objects inside each other. What the platform's pages describe has less.
MAX_DEPTH = 64
# Digits of an integer; larger ones than 64 bits mean nothing here.
MAX_DIGITS = 40

_TOKEN = re.compile(rb'"(?:[^"\\]|\\.)*"|[\[{]|[\]}]', re.DOTALL)


def loads(payload: str | bytes) -> Any:
    """Decode a document.

    Raises
    ------
    ValueError
        It is no JSON.
    """
    if isinstance(payload, str):
        payload = payload.encode()
    try:
        return json.loads(payload)
    except (ValueError, RecursionError):
        return json.loads(_flatten(payload), parse_int=_parse_int)


def _parse_int(text: str) -> int | None:
    return int(text) if len(text) <= MAX_DIGITS else None


def _flatten(payload: bytes) -> bytes:
    """Replace the arrays and objects that are nested too deeply by null."""
    kept, depth, begin = [], 0, 0
    for token in _TOKEN.finditer(payload):
        match token.group()[:1]:
            case b"[" | b"{":
                depth += 1
                if depth == MAX_DEPTH + 1:
                    kept += [payload[begin : token.start()], b"null"]
            case b"]" | b"}":
                depth -= 1
                if depth == MAX_DEPTH:
                    begin = token.end()
    # An unfinished array or object stays out, so that the rest is no JSON either.
    return b"".join([*kept, payload[begin:] if depth <= MAX_DEPTH else b""])
