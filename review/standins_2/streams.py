"""Workers that write streams with their version, and clients that read them."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, field

from world import HOST, Instance, Request, Worker, World, read_head

EVENTS = 60
EVENT_S = 0.2
TIMEOUT_S = 20.0


class Streamer(Worker):
    """A worker that writes an event five times a second, with its version in it."""

    async def run(self, req: Request, request_id: str) -> bytes | None:
        """Write a stream, from after the event that the request names."""
        self.runs.append(request_id)
        first = int(req.headers.get("last-event-id", "0")) + 1
        told = "".join(f"{name}: {text}\r\n" for name, text in self.notices.items())
        req.writer.write(
            f"HTTP/1.1 200 OK\r\nRequest-Id: {request_id}\r\n{told}"
            f"Stamp: {self.name}.{request_id}\r\nContent-Type: text/event-stream\r\n"
            "Transfer-Encoding: chunked\r\n\r\n".encode()
        )
        for number in range(first, EVENTS + 1):
            event = f"id: {number}\ndata: {self.version}\n\n".encode()
            req.writer.write(b"%x\r\n%s\r\n" % (len(event), event))
            await req.writer.drain()
            await asyncio.sleep(EVENT_S)
        return b"0\r\n\r\n"


@dataclass
class Stream:
    """A stream that a client reads, over its tries.

    Attributes
    ----------
    versions : list of str
        The version that wrote each event.
    """

    request_id: str
    last_id: str = ""
    versions: list[str] = field(default_factory=list)
    complete: bool = False
    statuses: list[int] = field(default_factory=list)


async def read(world: World, instance: Instance, stream: Stream) -> None:
    """Read a stream from its start, or from after its last event."""
    request_id = world.next_id() if stream.request_id else ""
    stream.request_id = stream.request_id or world.next_id()
    request_id = request_id or stream.request_id
    lines = [
        "POST /live/ HTTP/1.1",
        f"Host: {HOST}",
        f"Request-Id: {request_id}",
        f"Deadline-Ms: {int(TIMEOUT_S * 1000)}",
        "Content-Length: 5",
    ]
    if stream.last_id:
        lines += [f"Last-Event-Id: {stream.last_id}", f"Resumes: {stream.request_id}"]
    writer = None
    try:
        async with asyncio.timeout(TIMEOUT_S):
            reader, writer = await asyncio.open_connection(instance.ip, 8149)
            writer.write("\r\n".join([*lines, "", ""]).encode() + b"hello")
            first, headers = await read_head(reader)
            stream.statuses.append(int(first.split(" ")[1]))
            if stream.statuses[-1] == 200:
                await read_events(reader, stream)
            stamp = headers.get("stamp", "-")
    except (TimeoutError, asyncio.IncompleteReadError, OSError):
        stamp = "broken off"
    finally:
        if writer is not None:
            writer.close()
    world.record.write(
        f"{instance.name} {request_id} of {stream.request_id}: "
        f"{stream.statuses[-1:]} {stamp}, last event {stream.last_id}"
    )


async def read_events(reader: asyncio.StreamReader, stream: Stream) -> None:
    """Read events to the end of an answer."""
    text = ""
    while size := int(await reader.readuntil(b"\r\n"), 16):
        text += (await reader.readexactly(size)).decode()
        await reader.readexactly(2)
        *events, text = text.split("\n\n")
        for event in events:
            lines = dict(line.split(": ", 1) for line in event.split("\n"))
            stream.last_id = lines["id"]
            stream.versions.append(lines["data"])
    stream.complete = True


async def resume(world: World, instance: Instance, stream: Stream) -> None:
    """Take a stream up at an instance, again twice if it is refused."""
    for _ in range(3):
        await read(world, instance, stream)
        if stream.statuses[-1] != 503:
            return
        await asyncio.sleep(0.5)
