"""Crowds of clients that make an instance hold as much as they can."""

import asyncio
import contextlib
import os
import socket
import threading
import time
from dataclasses import dataclass

from features.processes import wait_for

BODY_LIMIT = 4_194_304
SMALL_BODY = 60_000
# Some 15.6 KB, within the limit of 16 KB.
LONG_FIELDS = tuple(f"X-Field-{number}: {'v' * 120}" for number in range(116))
PIECE_BYTES = 65_536
LARGE_ANSWER_BYTES = 24_000_000
# A target cuts an answer of which nothing was read for this time.
CUT_AFTER_S = 2.0
# Ends the sending of a client whose connection isn't read any longer.
SEND_TIMEOUT_S = 5.0
SAMPLE_INTERVAL_S = 0.02
KB, MB = 1_000, 1_000_000


def request_head(path, request_id, *fields):
    lines = [
        f"POST {path} HTTP/1.1",
        "Host: h.example",
        f"Request-Id: {request_id}",
        "Deadline-Ms: 30000",
        *fields,
    ]
    return ("\r\n".join(lines) + "\r\n\r\n").encode()


def chunked(size, chunk_bytes):
    """Return blocks of about 64 KB with chunks, ``size`` bytes of body in all."""
    chunk = b"%x\r\n%s\r\n" % (chunk_bytes, b"a" * chunk_bytes)
    per_block = max(1, PIECE_BYTES // len(chunk))
    count, rest = divmod(size // chunk_bytes, per_block)
    return [chunk * per_block] * count + [chunk * rest]


def pieces(size):
    count, rest = divmod(size, PIECE_BYTES)
    return [b"a" * PIECE_BYTES] * count + [b"a" * rest]


@dataclass(frozen=True)
class Flood:
    """What one client sends: fields of its head, then blocks.

    Attributes
    ----------
    pause_s : float
        Pause between two blocks, in seconds.
    end : bytes
        Ends the message; not sent by clients that stop before their end.
    reads_bytes : int
        What each client reads of the answer.
    """

    fields: tuple[str, ...]
    blocks: list[bytes]
    end: bytes = b""
    path: str = "/any/x"
    pause_s: float = 0.0
    ends: bool = False
    reads_bytes: int = 0


CHUNKED = ("Transfer-Encoding: chunked",)
LENGTH = (f"Content-Length: {BODY_LIMIT}",)
SHORT = pieces(BODY_LIMIT - 1)
SMALL_LENGTH = (f"Content-Length: {SMALL_BODY}",)
SHORT_SMALL = pieces(SMALL_BODY - 1)
FLOODS = {
    "bodies without the last byte": Flood(LENGTH, [b"".join(SHORT)], b"a"),
    "small bodies without the last byte": Flood(SMALL_LENGTH, SHORT_SMALL, b"a"),
    "long heads and small bodies without the last byte": Flood(
        (*LONG_FIELDS, *SMALL_LENGTH), SHORT_SMALL, b"a"
    ),
    "small answers": Flood(
        SMALL_LENGTH, SHORT_SMALL, b"a", ends=True, reads_bytes=SMALL_BODY
    ),
    "long heads that are answered": Flood(LONG_FIELDS, [], ends=True, reads_bytes=1),
    "bodies in pieces": Flood(LENGTH, SHORT, b"a", pause_s=0.005),
    "whole bodies": Flood(LENGTH, SHORT, b"a", ends=True),
    "large chunks": Flood(CHUNKED, chunked(BODY_LIMIT, PIECE_BYTES), b"0\r\n\r\n"),
    "chunks of one byte": Flood(CHUNKED, chunked(BODY_LIMIT, 1), b"0\r\n\r\n"),
    "chunks of four bytes": Flood(CHUNKED, chunked(BODY_LIMIT, 4), b"0\r\n\r\n"),
    "50 times the limit announced": Flood(
        (f"Content-Length: {50 * BODY_LIMIT}",), pieces(50 * BODY_LIMIT)
    ),
    "20 times the limit in chunks": Flood(
        CHUNKED, chunked(20 * BODY_LIMIT, PIECE_BYTES)
    ),
    "slow readers": Flood((), [], path="/large/x"),
}
BOTH = ("slow readers", "bodies without the last byte")


class Crowd:
    """Clients that stay connected until they are told to leave.

    Attributes
    ----------
    sampled_kb : int
        Most memory seen of the instance with what the kernel received for it.
    most_fds : int
        Most descriptors seen of the instance.
    """

    def __init__(self, ip, pid):
        self._ip, self._pid = ip, pid
        self._writers = []
        self.sampled_kb = 0
        self.most_fds = 0
        self._watches = True
        self._thread = threading.Thread(target=self._watch, daemon=True)
        self._thread.start()

    async def send(self, floods):
        """Send a flood by each client, all at once."""
        calls = [self._client(number, flood) for number, flood in enumerate(floods)]
        await asyncio.gather(*calls)

    async def connect(self, count):
        """Make connections on which nothing is sent."""
        for _ in range(count):
            with contextlib.suppress(OSError):
                _, writer = await asyncio.open_connection(self._ip, 8149)
                self._writers.append(writer)

    async def _client(self, number, flood):
        with contextlib.suppress(OSError, TimeoutError, EOFError):
            async with asyncio.timeout(SEND_TIMEOUT_S):
                reader, writer = await open_slow_connection(self._ip)
                self._writers.append(writer)
                writer.write(request_head(flood.path, f"f{number}", *flood.fields))
                for block in flood.blocks:
                    writer.write(block)
                    await writer.drain()
                    await asyncio.sleep(flood.pause_s)
                if flood.ends:
                    writer.write(flood.end)
                    await writer.drain()
                await reader.readexactly(flood.reads_bytes)

    async def leave(self):
        """Close all connections."""
        for writer in self._writers:
            writer.transport.abort()

    def stop(self):
        self._watches = False
        self._thread.join()

    def _watch(self):
        while self._watches:
            with contextlib.suppress(OSError, KeyError):
                self.sample()
            time.sleep(SAMPLE_INTERVAL_S)

    def sample(self):
        """Take the figures of the instance as they are now."""
        memory_kb = status_kb(self._pid, "VmRSS") + unread_kb(self._ip)
        self.sampled_kb = max(self.sampled_kb, memory_kb)
        fds = len(os.listdir(f"/proc/{self._pid}/fd"))
        self.most_fds = max(self.most_fds, fds)


def status_kb(pid, field):
    with open(f"/proc/{pid}/status") as file:
        rows = dict(line.split(":", 1) for line in file)
    return int(rows[field].split()[0]) * 1024 // KB


def unread_kb(ip):
    """Return what the kernel received for an address and nobody has read, in KB."""
    numbers = bytes(int(part) for part in reversed(ip.split(".")))
    address = f"{numbers.hex().upper()}:{8149:04X}"
    with open("/proc/net/tcp") as file:
        rows = [line.split() for line in file]
    # The queue of a listening socket counts connections, not bytes.
    found = [row[4] for row in rows if row[1] == address and row[3] != "0A"]
    return sum(int(queues.partition(":")[2], 16) for queues in found) // KB


def read_head(head):
    """Return the path of a request and its headers with lower-case names."""
    line, *rows = head.decode().split("\r\n")
    fields = dict(row.split(": ", 1) for row in rows if row)
    return line.split(" ")[1], {name.lower(): text for name, text in fields.items()}


class SizedAnswers:
    """A target that answers with the body, or with 24 MB below ``/large/``.

    It cuts answers that stay unread, and takes bodies of any size.
    """

    def __init__(self):
        self.cut = 0

    async def start(self):
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        host, port = self._server.sockets[0].getsockname()
        return f"{host}:{port}"

    async def _serve(self, reader, writer):
        try:
            path, fields = read_head(await reader.readuntil(b"\r\n\r\n"))
            body = await reader.readexactly(int(fields.get("content-length", 0)))
            blocks = [body]
            if path.startswith("/large/"):
                blocks = [b"b" * 8_000] * (LARGE_ANSWER_BYTES // 8_000)
            head = (
                "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nConnection: close\r\n"
                f"Request-Id: {fields['request-id']}\r\n"
                f"Content-Length: {sum(map(len, blocks))}\r\n\r\n"
            )
            writer.write(head.encode())
            for block in blocks:
                writer.write(block)
                async with asyncio.timeout(CUT_AFTER_S):
                    await writer.drain()
            writer.close()
        except (TimeoutError, ConnectionError, asyncio.IncompleteReadError):
            self.cut += 1
            writer.transport.abort()


async def open_slow_connection(ip):
    """Open a connection whose client holds little of what it does not read."""
    sock = socket.socket()
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 16_384)
    sock.setblocking(False)
    await asyncio.get_running_loop().sock_connect(sock, (ip, 8149))
    return await asyncio.open_connection(sock=sock, limit=4_096)


async def call_slowly(ip, wait_s):
    """Ask for a large answer; begin to read it after ``wait_s``."""
    reader, writer = await open_slow_connection(ip)
    writer.write(request_head("/large/x", "s1", "Connection: close"))
    await asyncio.sleep(wait_s)
    found = bytearray()
    with contextlib.suppress(ConnectionError):
        while block := await reader.read(1_000_000):
            found += block
    writer.close()
    return bytes(found)


async def call_whole(ip, flood):
    """Send a whole request; return the status and the size of the answer."""
    reader, writer = await asyncio.open_connection(ip, 8149)
    writer.write(request_head(flood.path, "w1", "Connection: close", *flood.fields))
    for block in [*flood.blocks, flood.end]:
        writer.write(block)
        await writer.drain()
    answer = await reader.read(-1)
    writer.close()
    return int(answer.split(b" ", 2)[1]), answer.count(b"a")


def wait_until_answered(send):
    """Send ordinary requests, as a client that retries, until one is answered."""
    wait_for(lambda: send().status == 200, "an ordinary request is answered")
