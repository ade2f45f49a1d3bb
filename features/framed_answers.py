"""Targets on raw sockets that frame and end their answers as a test asks for."""

import asyncio
import socket
import struct
from collections import Counter
from dataclasses import dataclass, field

FRAMINGS = ("length", "chunks", "neither")
# Time for sent bytes to be read before a reset, which discards what is unread.
SETTLE_S = 0.05
RESET_ON_CLOSE = struct.pack("ii", 1, 0)


@dataclass(frozen=True)
class AnswerScript:
    """How an answer is framed and how it ends.

    Attributes
    ----------
    framing : str
        One of `FRAMINGS`.
    end : str
        ``complete``, ``complete, then reset``, ``empty``; ``closed`` or ``reset``
        after half of the blocks, ``closed inside`` or ``reset inside`` a block
        after them; ``ended inside``, framed as complete there.
    content : str
        ``sound``; of a stream also ``no ids``, ``from the start`` even if it is to
        go on after an event, ``text`` in place of events, or one of `RESTS`.
    """

    framing: str
    end: str
    content: str = "sound"

    @property
    def resets(self):
        return "reset" in self.end

    def sent(self, blocks):
        """Return the blocks that are sent, the last of them perhaps in part."""
        if self.end == "empty":
            return []
        if self.end.startswith("complete"):
            return list(blocks)
        half = len(blocks) // 2
        if not self.end.endswith("inside"):
            return list(blocks[:half])
        part = blocks[half]
        return [*blocks[:half], part[: len(part) // 2]]

    @property
    def closes_framing(self):
        """Whether the framing marks the body as complete."""
        return self.end.startswith(("complete", "ended"))


async def write_answer(writer, head, blocks, script):
    """Send an answer; ``head`` is the status line and headers but for the framing."""
    sent = script.sent(blocks)
    framed = sent if script.end == "ended inside" else blocks
    fields = {
        "length": b"Content-Length: %d\r\n" % sum(map(len, framed)),
        "chunks": b"Transfer-Encoding: chunked\r\n",
        "neither": b"",
    }
    writer.write(head + fields[script.framing] + b"\r\n")
    for block in sent:
        writer.write(_chunk(block) if script.framing == "chunks" else block)
        await writer.drain()
        await asyncio.sleep(0.001)
    if script.framing == "chunks" and script.closes_framing:
        writer.write(b"0\r\n\r\n")
    await writer.drain()
    await end_connection(writer, script.resets)


def _chunk(block):
    return b"%x\r\n%s\r\n" % (len(block), block)


async def end_connection(writer, reset):
    """Close a connection, or reset it once the peer has read what was sent."""
    if reset:
        await asyncio.sleep(SETTLE_S)
        sock = writer.get_extra_info("socket")
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
    writer.close()


async def read_request(reader):
    """Read a request; return its method, path and headers with lower-case names."""
    head = await reader.readuntil(b"\r\n\r\n")
    line, *lines = head.decode().split("\r\n")
    headers = dict(row.lower().split(": ", 1) for row in lines if row)
    await reader.readexactly(int(headers.get("content-length", 0)))
    method, path, _ = line.split(" ")
    return method, path, headers


EVENTS = 6
EVENT_BLOCKS = [
    b"id: %d\ndata: words of event %d\n\n" % (n, n) for n in range(1, EVENTS + 1)
]
EVENT_BLOCKS_WITHOUT_IDS = [block.partition(b"\n")[2] for block in EVENT_BLOCKS]
BODY_BLOCKS = [b"part %d of the body, " % n for n in range(1, 7)]


@dataclass
class Runs:
    """The runs of requests at all targets of a test.

    Attributes
    ----------
    scripts : tuple of AnswerScript
        For the first runs of each request, in turn; later ones are sound.
    counts : Counter
        Runs by request id.
    """

    scripts: tuple = ()
    counts: Counter = field(default_factory=Counter)

    def next_script(self, request_id):
        number = self.counts[request_id]
        self.counts[request_id] += 1
        return self.scripts[number] if number < len(self.scripts) else SOUND


SOUND = AnswerScript("chunks", "complete")
ERROR_EVENT = b"event: error\ndata: engine failed\n\n"
KEEP_ALIVE = b": still working\n\n"
RESTS = {
    "nothing": lambda rest: [],
    "an error": lambda rest: [ERROR_EVENT],
    "an event, then an error": lambda rest: [rest[0], ERROR_EVENT],
    "events, then an error": lambda rest: [*rest, ERROR_EVENT],
    "an event twice": lambda rest: [rest[0], *rest],
    "an earlier event": lambda rest: [rest[0], EVENT_BLOCKS[1]],
    "an id of letters": lambda rest: [b"id: x\ndata: words\n\n"],
    "keep-alives": lambda rest: [KEEP_ALIVE, rest[0], KEEP_ALIVE, *rest[1:]],
}


def event_blocks(script, after):
    """Return the events of a stream that is asked to go on after an event."""
    if after and script.content in RESTS:
        return RESTS[script.content](EVENT_BLOCKS[after:])
    if script.content == "a keep-alive":
        return [*EVENT_BLOCKS[:3], KEEP_ALIVE, *EVENT_BLOCKS[3:], KEEP_ALIVE]
    if script.content == "no ids":
        return EVENT_BLOCKS_WITHOUT_IDS
    return EVENT_BLOCKS if script.content == "from the start" else EVENT_BLOCKS[after:]


class SocketTarget:
    """A target on a raw socket; ``_serve`` answers on a connection."""

    async def start(self):
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        port = self._server.sockets[0].getsockname()[1]
        self.address = f"127.0.0.1:{port}"

    async def stop(self):
        self._server.close()


class FramedTarget(SocketTarget):
    """A target that answers by the scripts of `Runs`."""

    def __init__(self, runs):
        self.runs = runs

    async def _serve(self, reader, writer):
        try:
            _, path, headers = await read_request(reader)
            request_id = headers["request-id"]
            script = self.runs.next_script(request_id)
            head = b"HTTP/1.1 200 OK\r\nRequest-Id: %s\r\n" % request_id.encode()
            blocks = BODY_BLOCKS
            if "stream" in path and script.content != "text":
                head += b"Content-Type: text/event-stream\r\n"
                blocks = event_blocks(script, int(headers.get("last-event-id", 0)))
            await write_answer(writer, head, blocks, script)
        except (ConnectionError, asyncio.IncompleteReadError):
            writer.close()


@dataclass
class PartialHeadTarget(SocketTarget):
    """A target that ends its connection within the head of each answer.

    Attributes
    ----------
    part : str
        The last thing that it writes, one of `HEAD_PARTS`.
    end : str
        ``close`` or ``reset``.
    """

    part: str
    end: str

    async def _serve(self, reader, writer):
        try:
            _, _, headers = await read_request(reader)
            head = HEAD % headers["request-id"].encode()
            writer.write(head[: head.rindex(HEAD_PARTS[self.part])])
            await writer.drain()
            await end_connection(writer, self.end == "reset")
        except (ConnectionError, asyncio.IncompleteReadError):
            writer.close()


HEAD = (
    b"HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nContent-Type: text/event-stream\r\n"
    b"Content-Length: 0\r\n\r\n"
)
# What comes next in the head, and is not written.
HEAD_PARTS = {
    "nothing": b"HTTP",
    "the version": b" 200",
    "the status": b" OK",
    "the status line": b"Request-Id",
    "half of a name": b"quest-Id",
    "a whole header": b"Content-Type",
    "half of a value": b"event-stream",
    "all but the length": b"0\r\n",
    "all but the last line": b"\r\n",
}
