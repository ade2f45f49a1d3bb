"""Checks the heads of HTTP responses, which aiohttp parses leniently.

aiohttp accepts status codes that do not exist, other protocols, control characters in
reasons and values, whitespace before the first name and folded lines. Passed on, each
of them is read by the next recipient in its own way.
"""

from __future__ import annotations

import re

import aiohttp

_VERSION = rb"HTTP/1\.[01]"
# 101 is left out: no request asks for another protocol.
_STATUS = rb"(?:10[02-9]|1[1-9][0-9]|[2-5][0-9]{2})"
_TEXT = rb"[\t\x20-\x7e\x80-\xff]*"
_TOKEN = rb"[!#$%&'*+.^_`|~0-9A-Za-z-]+"
_LINE_END = rb"\r?\n"

_STATUS_LINE = _VERSION + rb" " + _STATUS + rb"(?: " + _TEXT + rb")?" + _LINE_END
_HEADER_LINE = _TOKEN + rb":" + _TEXT + _LINE_END

_STATUS_LINE_RE = re.compile(_STATUS_LINE)
_HEAD_RE = re.compile(_STATUS_LINE + rb"(?:" + _HEADER_LINE + rb")*" + _LINE_END)
_HEAD_END_RE = re.compile(rb"\n\r?\n")
# The longest of what `_HEAD_END_RE` matches, without its last byte.
_HEAD_END_OVERLAP_BYTES = 2

# Position of the first digit of the status code, which is 1 in an interim response.
_STATUS_POS = len(b"HTTP/1.1 ")


class InvalidHeadError(aiohttp.ClientError):
    """The head of a response is not valid HTTP."""


class ResponseHeadCheck:
    """Checks the heads that answer one request: interim ones, then the final one.

    aiohttp bounds how long they may be, and `OverheadMeter` how many.
    """

    def __init__(self):
        self.restart()

    def restart(self) -> None:
        """Begin with the responses to another request."""
        self._unchecked = bytearray()
        self._is_done = False

    def feed(self, data: bytes) -> None:
        """Check the heads that received bytes complete.

        Raises
        ------
        InvalidHeadError
            One of them is invalid.
        """
        if self._is_done:
            return
        searched = max(0, len(self._unchecked) - _HEAD_END_OVERLAP_BYTES)
        self._unchecked += data
        while not self._is_done and _HEAD_END_RE.search(self._unchecked, searched):
            self._check_first()
            searched = 0

    def _check_first(self) -> None:
        """Check the first of the heads, which is complete, and drop it."""
        found = _HEAD_RE.match(self._unchecked)
        if found is None:
            raise InvalidHeadError(_reason(self._unchecked))
        is_interim = self._unchecked[_STATUS_POS : _STATUS_POS + 1] == b"1"
        del self._unchecked[: found.end()]
        if not is_interim:
            self._unchecked.clear()
            self._is_done = True


def _reason(head: bytes) -> str:
    """Return why a head is invalid, without anything that it holds."""
    if _STATUS_LINE_RE.match(head) is None:
        return "invalid status line"
    return "invalid header line"
