"""Targets on raw sockets whose answers have a given, perhaps broken head."""

import asyncio
from dataclasses import dataclass

from features.framed_answers import SocketTarget, read_request

BODY = b"{}"
EVENT = b"id: 1\ndata: ok\n\n"
STATUS_LINE = b"HTTP/1.1 200 OK"
EARLY_HINTS = b"HTTP/1.1 103 Early Hints\r\nLink: </x>\r\n\r\n"
# How an answer is sent.
WAYS = ("at once", "in pieces", "after early hints")
BODY_LATER = "body later"
PIECE_BYTES = 7
# Time for the head of an answer to be read before its body comes.
BODY_PAUSE_S = 0.05

# Escapes in the tables of the features.
ESCAPES = {
    "<TAB>": b"\t",
    "<NUL>": b"\x00",
    "<SOH>": b"\x01",
    "<LF>": b"\n",
    "<VT>": b"\x0b",
    "<CR>": b"\r",
    "<ESC>": b"\x1b",
    "<SP>": b" ",
    "<DEL>": b"\x7f",
    "<80>": b"\x80",
    "<E9>": b"\xe9",
}


def decode(text):
    """Return the bytes that a cell of a table stands for."""
    data = text.encode()
    for name, value in ESCAPES.items():
        data = data.replace(name.encode(), value)
    return data


@dataclass(frozen=True)
class Head:
    """The head of an answer, as a row of a table gives it.

    Attributes
    ----------
    status_line : bytes
        Without its line break.
    first, last : bytes
        Lines before and after the other headers; empty for none.
    line_break : bytes
        The end of each line.
    has_body : bool
        Whether the answer has a body.
    coding : bytes
        Value of ``Transfer-Encoding``, in place of a length; empty for none.
    extra : bytes
        What is sent with the end of the answer and is no part of it.
    """

    status_line: bytes = STATUS_LINE
    first: bytes = b""
    last: bytes = b""
    line_break: bytes = b"\r\n"
    has_body: bool = True
    coding: bytes = b""
    extra: bytes = b""

    def encode(self, request_id, stream):
        """Return an answer with this head and a sound body."""
        body = (EVENT if stream else BODY) if self.has_body else b""
        kind = b"text/event-stream" if stream else b"text/plain"
        lines = [
            self.status_line,
            self.first,
            b"Request-Id: " + request_id,
            b"Content-Type: " + kind,
            self._framing(len(body)),
            self.last,
        ]
        lines = [line for line in lines if line]
        if self.is_chunked:
            body = b"%x\r\n%s\r\n0\r\n\r\n" % (len(body), body)
        return self.line_break.join([*lines, b"", body]) + self.extra

    @property
    def is_chunked(self):
        return self.coding.lower().split(b", ")[-1] == b"chunked"

    @property
    def closes(self):
        """Whether the body ends with the connection."""
        return bool(self.coding) and not self.is_chunked

    def _framing(self, size):
        if self.coding:
            return b"Transfer-Encoding: " + self.coding
        return b"Content-Length: %d" % size


def head_of(part, text):
    """Return a head of which one part is as given, and all else is sound."""
    data = decode(text)
    if part == "status line":
        return Head(status_line=data)
    if part == "first line":
        return Head(first=data)
    if part == "coding":
        return Head(coding=data)
    return Head(last=data)


class HeadTarget(SocketTarget):
    """A target whose answers have a given head.

    Parameters
    ----------
    heads : list of Head
        Of the next answers, which several targets may share; later ones have a sound
        head.
    way : str
        How it sends them, one of `WAYS` or `BODY_LATER`.

    Attributes
    ----------
    used : list of int
        Number of the connection of each request that it ran.
    """

    def __init__(self, heads, way="at once"):
        self._heads = heads
        self._way = way
        self.used = []
        self._opened = 0

    @property
    def runs(self):
        return len(self.used)

    async def _serve(self, reader, writer):
        self._opened += 1
        number = self._opened
        try:
            while True:
                await self._answer(reader, writer, number)
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    async def _answer(self, reader, writer, number):
        _, path, headers = await read_request(reader)
        self.used.append(number)
        head = self._heads.pop(0) if self._heads else Head()
        request_id = headers.get("request-id", "r1").encode()
        answer = head.encode(request_id, "stream" in path)
        if self._way == "after early hints":
            answer = EARLY_HINTS + answer
        if self._way == BODY_LATER:
            await self._send_body_later(writer, answer)
        else:
            await self._send(writer, answer)
        if head.closes:
            raise ConnectionAbortedError

    async def _send(self, writer, answer):
        size = PIECE_BYTES if self._way == "in pieces" else len(answer)
        for start in range(0, len(answer), size):
            writer.write(answer[start : start + size])
            await writer.drain()
            await asyncio.sleep(0)

    async def _send_body_later(self, writer, answer):
        head, _, rest = answer.partition(b"\r\n\r\n")
        writer.write(head + b"\r\n\r\n")
        await writer.drain()
        await asyncio.sleep(BODY_PAUSE_S)
        writer.write(rest)
        await writer.drain()
