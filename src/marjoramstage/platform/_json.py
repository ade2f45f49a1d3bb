"""Reads JSON in which single values may be more than a parser takes.

Any writer of the store may leave an entry that is nested too deeply, has a number of
too many digits, or a text that is not UTF-8. Such a value becomes null, so that the
rest of an answer can be read.

All of it runs on the event loop, so its time has to grow no faster than the document,
whatever the document is.
"""

from __future__ import annotations

import json
import re
from typing import Any

# Arrays and objects inside each other. What the platform's pages describe has less.
MAX_DEPTH = 64
# Digits of an integer; larger ones than 64 bits mean nothing here.
MAX_DIGITS = 40

# Texts and runs of brackets, in a document without escapes. A text that isn't closed
# goes to the end: if it were no token, each of its quotes would be searched for one.
_TOKEN = re.compile(rb'"[^"]*"?|[\[{]+|[\]}]+')
# An escaped half of a surrogate pair; a text with a single one can't be encoded.
_SURROGATE = re.compile(rb"\\u[dD][89a-fA-F]")

# Not strict: control characters may stand in texts as they are.
_DECODER = json.JSONDecoder(strict=False)


def loads(payload: str | bytes) -> Any:
    """Decode a document.

    Raises
    ------
    ValueError
        It is no JSON.
    """
    if isinstance(payload, str):
        payload = payload.encode(errors="surrogatepass")
    try:
        text, odd = payload.decode(), _SURROGATE.search(payload) is not None
    except UnicodeDecodeError:
        text, odd = payload.decode(errors="surrogateescape"), True
    try:
        found = _DECODER.decode(text)
        return _without_odd_texts(found) if odd else found
    except json.JSONDecodeError:
        # It is no JSON, whatever its values are.
        raise
    except (ValueError, RecursionError):
        return _loads_odd(payload)


def _loads_odd(payload: bytes) -> Any:
    """Decode a document that has values which a parser doesn't take; slower."""
    text = _flatten(payload).decode(errors="surrogateescape")
    return _without_odd_texts(json.loads(text, strict=False, parse_int=_parse_int))


def _parse_int(text: str) -> int | None:
    return int(text) if len(text) <= MAX_DIGITS else None


def _without_odd_texts(value: Any) -> Any:
    """Replace texts that can't be encoded by null; leave out members named by one."""
    if isinstance(value, str):
        return value if _is_encodable(value) else None
    if isinstance(value, list):
        return [_without_odd_texts(item) for item in value]
    if isinstance(value, dict):
        return {
            name: _without_odd_texts(item)
            for name, item in value.items()
            if _is_encodable(name)
        }
    return value


def _is_encodable(text: str) -> bool:
    try:
        text.encode()
    except UnicodeEncodeError:
        return False
    return True


def _flatten(payload: bytes) -> bytes:
    """Replace the arrays and objects that are nested too deeply by null."""
    kept, depth, begin = [], 0, 0
    for token in _TOKEN.finditer(_without_escapes(payload)):
        first, start, count = token.group()[:1], token.start(), len(token.group())
        if first == b'"':
            continue
        if first in b"[{":
            if depth <= MAX_DEPTH < depth + count:
                kept += [payload[begin : start + MAX_DEPTH - depth], b"null"]
            depth += count
            continue
        if depth - count <= MAX_DEPTH < depth:
            begin = start + depth - MAX_DEPTH
        depth -= count
    # An unfinished array or object stays out, so that the rest is no JSON either.
    return b"".join([*kept, payload[begin:] if depth <= MAX_DEPTH else b""])


def _without_escapes(payload: bytes) -> bytes:
    """Return a document of the same length whose texts have no escaped quotes."""
    return payload.replace(rb"\\", b"__").replace(rb"\"", b"__")
