"""A target on kept connections that sends an earlier answer once more."""

import asyncio
from collections import Counter
from dataclasses import dataclass, field

from features.framed_answers import read_request

LATER_S = 0.05
STREAM = b"Content-Type: text/event-stream\r\n"


@dataclass(frozen=True)
class Answer:
    """An answer of a target.

    Attributes
    ----------
    kind : str
        ``refusal`` (503 with Not-Run), ``421``, ``400`` or ``200``.
    id : str
        The request id that it carries: ``its own``, ``another`` or ``no id``.
    body : bytes
        Its body; its length is stated.
    """

    kind: str
    id: str = "its own"
    body: bytes = b""

    def encode(self, request_id, stream=False):
        status = {"refusal": b"503 Full\r\nNot-Run: 1"}.get(self.kind)
        head = b"HTTP/1.1 %s\r\n" % (status or self.kind.encode() + b" Answer")
        sent_id = {"its own": request_id, "another": "r0"}.get(self.id, "")
        if sent_id:
            head += b"Request-Id: %s\r\n" % sent_id.encode()
        if stream and self.kind == "200":
            head += STREAM
        return head + b"Content-Length: %d\r\n\r\n%s" % (len(self.body), self.body)


@dataclass
class RepeatingTarget:
    """A target whose answers to requests, in turn, are given.

    Attributes
    ----------
    answers : tuple of Answer
        To the first requests; later ones run and get 200 with their id as body.
    repeated : Answer or None
        Sent once more after the first answer.
    time : str
        When: ``glued to the first``, ``50 ms later``, ``as the next arrives``.
    run_s : float
        How long later requests run.
    runs : Counter
        Runs by request id.
    connections : list of tuple
        Number of the connection and request id, of each request that arrived.
    """

    answers: tuple = ()
    repeated: Answer | None = None
    time: str = ""
    run_s: float = 0.0
    runs: Counter = field(default_factory=Counter)
    connections: list = field(default_factory=list)
    opened: int = 0
    served: int = 0
    tasks: set = field(default_factory=set)

    async def start(self):
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        port = self._server.sockets[0].getsockname()[1]
        self.address = f"127.0.0.1:{port}"

    async def stop(self):
        self._server.close()
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)

    async def _serve(self, reader, writer):
        self.tasks.add(asyncio.current_task())
        self.opened += 1
        number = self.opened
        try:
            while True:
                _, path, headers = await read_request(reader)
                request_id = headers.get("request-id", "")
                self.connections.append((number, request_id))
                kept = number == self.connections[0][0]
                await self._answer(writer, request_id, "stream" in path, kept)
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    async def _answer(self, writer, request_id, stream, kept):
        self.served += 1
        if kept and self.served == 2 and self.time == "as the next arrives":
            writer.write(self.repeated.encode("r1", stream))
        if self.served > len(self.answers):
            self.runs[request_id] += 1
            await asyncio.sleep(self.run_s)
            answer = Answer("200", body=body_of(request_id, stream))
            writer.write(answer.encode(request_id, stream))
            return
        writer.write(self.answers[self.served - 1].encode(request_id, stream))
        if self.time == "glued to the first" and self.served == 1:
            writer.write(self.repeated.encode(request_id, stream))
        if self.time == "50 ms later" and self.served == 1:
            await asyncio.sleep(LATER_S)
            writer.write(self.repeated.encode(request_id, stream))


def body_of(request_id, stream):
    if stream:
        return b"id: 1\ndata: %s\n\n" % request_id.encode()
    return b"ran " + request_id.encode()
