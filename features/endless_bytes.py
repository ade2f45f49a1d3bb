"""Peers that send bytes without end, and count how many were taken from them."""

import asyncio
import contextlib
import json
from collections import Counter
from dataclasses import dataclass

from features.framed_answers import read_request
from features.request_faults import FaultScript, ScriptedTarget

# Ends a run in which nothing stops the sender.
MAX_SENT_BYTES = 400_000_000
HEAD = b"HTTP/1.1 200 OK\r\n"
STREAM = HEAD + b"Content-Type: text/event-stream\r\n"
CHUNKED = b"Transfer-Encoding: chunked\r\n\r\n"
FILLER = b"a" * 65_536
REQUEST = b"POST /once/x HTTP/1.1\r\nHost: h.example\r\nRequest-Id: r1\r\n"


@dataclass(frozen=True)
class Endless:
    """Bytes without end: a start, then a block again and again."""

    start: bytes
    block: bytes


ANSWERS = {
    "status line": Endless(b"HTTP/1.1 200 ", FILLER),
    "header": Endless(HEAD + b"X-A: ", FILLER),
    "header lines": Endless(HEAD, b"X-A: b\r\n" * 8_000),
    "interim responses": Endless(b"", b"HTTP/1.1 100 Continue\r\n\r\n" * 2_600),
    "body": Endless(HEAD + b"\r\n", FILLER),
    "body with a length": Endless(
        HEAD + b"Content-Length: 999999999999\r\n\r\n", FILLER
    ),
    "chunks": Endless(HEAD + CHUNKED, b"10000\r\n" + FILLER + b"\r\n"),
    "small chunks": Endless(HEAD + CHUNKED, b"1\r\na\r\n" * 11_000),
    "chunk size": Endless(HEAD + CHUNKED, b"0" * 65_536),
    "chunk extension": Endless(HEAD + CHUNKED + b"1;", FILLER),
    "trailers": Endless(HEAD + CHUNKED + b"0\r\n", b"X-A: b\r\n" * 8_000),
    "answers": Endless(b"", (HEAD + b"Content-Length: 2\r\n\r\nok") * 1_600),
    "bytes after the answer": Endless(HEAD + b"Content-Length: 2\r\n\r\nok", FILLER),
    "event": Endless(STREAM + b"\r\ndata: ", FILLER),
    "lines of an event": Endless(STREAM + b"\r\n", b"data: x\n" * 8_000),
    "events": Endless(STREAM + b"\r\n", b"data: x\n\n" * 7_000),
    "chunks of an event": Endless(STREAM + CHUNKED, b"10000\r\n" + FILLER + b"\r\n"),
}

REQUESTS = {
    "request line": Endless(b"GET /", FILLER),
    "header": Endless(REQUEST + b"X-A: ", FILLER),
    "header lines": Endless(REQUEST, b"X-A: b\r\n" * 8_000),
    "body": Endless(REQUEST + b"Content-Length: 999999999999\r\n\r\n", FILLER),
    "chunks": Endless(REQUEST + CHUNKED, b"10000\r\n" + FILLER + b"\r\n"),
    "chunk size": Endless(REQUEST + CHUNKED, b"0" * 65_536),
    "chunk extension": Endless(REQUEST + CHUNKED + b"1;", FILLER),
    "trailers": Endless(REQUEST + CHUNKED + b"0\r\n", b"X-A: b\r\n" * 8_000),
    "no request": Endless(b"", b"\0" * 65_536),
}


async def send_endless(writer, endless):
    """Send until the peer closes; return how many bytes were taken."""
    sent = 0
    with contextlib.suppress(ConnectionError):
        writer.write(endless.start)
        while sent < MAX_SENT_BYTES:
            writer.write(endless.block)
            await writer.drain()
            sent += len(endless.block)
    writer.transport.abort()
    return sent


class EndlessTarget:
    """A target whose answers have no end; a header of the request says how.

    Attributes
    ----------
    sent : Counter
        Bytes that were taken of the answers that ended, by kind.
    open : int
        Connections that are open.
    begun : int
        Answers without end that were begun.
    """

    def __init__(self):
        self.sent = Counter()
        self.open = 0
        self.begun = 0

    async def start(self, host="127.0.0.1", port=0):
        self._server = await asyncio.start_server(self._serve, host, port)
        port = self._server.sockets[0].getsockname()[1]
        self.address = f"{host}:{port}"

    async def _serve(self, reader, writer):
        self.open += 1
        try:
            _, path, headers = await read_request(reader)
            await self._answer(writer, path, headers)
        except (ConnectionError, asyncio.IncompleteReadError):
            writer.close()
        finally:
            self.open -= 1

    async def _answer(self, writer, path, headers):
        self.begun += 1
        kind = self._kind_of(path, headers)
        sent = await send_endless(writer, ANSWERS.get(kind, ANSWERS["body"]))
        self.sent[kind] += sent

    def _kind_of(self, path, headers):
        return headers.get("x-endless") or path


class EndlessEngine(EndlessTarget):
    """An engine whose answers to one control call have no end.

    Parameters
    ----------
    path : str
        Path of that call.
    kind : str
        What its answers are made of.
    report : dict
        The answer to the other calls.
    """

    def __init__(self, path, kind, report):
        super().__init__()
        self._path = path
        self._kind = kind
        self._report = json.dumps(report).encode()

    async def _answer(self, writer, path, headers):
        if path == self._path:
            await super()._answer(writer, path, headers)
            return
        length = f"Content-Length: {len(self._report)}\r\nConnection: close\r\n\r\n"
        writer.write(HEAD + length.encode() + self._report)
        writer.close()

    def _kind_of(self, path, headers):
        return self._kind


class EndlessProductTarget(ScriptedTarget):
    """A target of the product's own interface whose answers have no end."""

    def __init__(self, kind, endless):
        super().__init__(kind, FaultScript())
        self._endless = endless
        self.sent = 0

    async def _connection(self, reader, writer):
        await read_request(reader)
        sent = await send_endless(writer, self._endless)
        self.sent += sent


async def call_with_endless_request(address, kind):
    """Send a request without end; return how many bytes were taken."""
    host, port = address.split(":")
    _, writer = await asyncio.open_connection(host, int(port))
    return await send_endless(writer, REQUESTS[kind])


class EndlessStore(EndlessTarget):
    """A store whose answers have no end."""

    def __init__(self, kind):
        super().__init__()
        self._kind = kind

    def _kind_of(self, path, headers):
        return self._kind
