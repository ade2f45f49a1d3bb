"""Messages between instances: frames over TCP after a mutual handshake.

A frame is a big-endian length of four bytes followed by one Thrift message. In the
handshake each side proves with an HMAC over both nonces that it knows the secret.

Time limits use `asyncio.timeout`: `asyncio.wait_for` loses a cancellation that
comes just as its result does, and a stop would wait for the next limit.
"""

from __future__ import annotations

import asyncio
import hashlib
import hmac
import os
from collections.abc import Callable
from dataclasses import dataclass

from marjoramstage.addresses import join_address, split_address
from marjoramstage.exceptions import PeerError
from marjoramstage.logs import component_logger
from marjoramstage.metrics import Metrics
from marjoramstage.protocol.peers import (
    MAX_FRAME_BYTES,
    PROTOCOL_VERSION,
    Hello,
    PeerMessage,
    decode,
    encode,
)
from marjoramstage.transport.sockets import detect_dead_peer

log = component_logger("peers")

LENGTH_BYTES = 4
MAX_HELLO_BYTES = 1024
NONCE_BYTES = 16
CONNECT_TIMEOUT_S = 2.0
FRAME_TIMEOUT_S = 5.0
IDLE_TIMEOUT_S = 60.0
MAX_QUEUED_MESSAGES = 256
MAX_CONNECTIONS = 512


@dataclass(frozen=True)
class PeerIdentity:
    """How this instance identifies itself to its peers.

    Attributes
    ----------
    secret : str or None
        Secret shared by all instances; None counts as an empty one, which the
        settings allow on loopback only.
    """

    instance: str
    data_centre: str
    secret: str | None

    def proof(self, role: str, verifier_nonce: bytes, prover_nonce: bytes) -> bytes:
        """Return the HMAC that proves that ``role`` knows the secret."""
        key = (self.secret or "").encode()
        text = role.encode() + b"\0" + verifier_nonce + prover_nonce
        return hmac.digest(key, text, hashlib.sha256)

    def hello(self, nonce: bytes, proof: bytes = b"") -> Hello:
        """Return a handshake message of this instance."""
        return Hello(PROTOCOL_VERSION, self.instance, self.data_centre, nonce, proof)


async def read_frame(
    reader: asyncio.StreamReader,
    max_bytes: int = MAX_FRAME_BYTES,
    idle_timeout_s: float = IDLE_TIMEOUT_S,
) -> PeerMessage:
    """Read one message.

    Raises
    ------
    PeerError
        The frame is oversized, malformed or incomplete.
    """
    try:
        async with asyncio.timeout(idle_timeout_s):
            head = await reader.readexactly(LENGTH_BYTES)
        size = int.from_bytes(head, "big")
        if not 0 < size <= max_bytes:
            raise PeerError(f"frame length {size} is outside the limits")
        async with asyncio.timeout(FRAME_TIMEOUT_S):
            payload = await reader.readexactly(size)
    except (asyncio.IncompleteReadError, TimeoutError, OSError) as exc:
        raise PeerError(f"incomplete frame: {type(exc).__name__}") from exc
    return decode(payload)


async def write_frame(writer: asyncio.StreamWriter, message: PeerMessage) -> int:
    """Send one message; return the size of its frame in bytes."""
    payload = encode(message)
    writer.write(len(payload).to_bytes(LENGTH_BYTES, "big") + payload)
    async with asyncio.timeout(FRAME_TIMEOUT_S):
        await writer.drain()
    return LENGTH_BYTES + len(payload)


async def connect_handshake(
    reader: asyncio.StreamReader, writer: asyncio.StreamWriter, identity: PeerIdentity
) -> Hello:
    """Run the connecting side of the handshake; return the peer's hello."""
    own_nonce = os.urandom(NONCE_BYTES)
    await write_frame(writer, identity.hello(own_nonce))
    reply = await _read_hello(reader)
    expected = identity.proof("acceptor", own_nonce, reply.nonce)
    if not hmac.compare_digest(expected, reply.proof):
        raise PeerError("the peer failed to prove that it knows the secret")
    proof = identity.proof("connector", reply.nonce, own_nonce)
    await write_frame(writer, identity.hello(own_nonce, proof))
    return reply


async def accept_handshake(
    reader: asyncio.StreamReader, writer: asyncio.StreamWriter, identity: PeerIdentity
) -> Hello:
    """Run the accepting side of the handshake; return the peer's hello."""
    hello = await _read_hello(reader)
    own_nonce = os.urandom(NONCE_BYTES)
    proof = identity.proof("acceptor", hello.nonce, own_nonce)
    await write_frame(writer, identity.hello(own_nonce, proof))
    confirmation = await _read_hello(reader)
    expected = identity.proof("connector", own_nonce, hello.nonce)
    if not hmac.compare_digest(expected, confirmation.proof):
        raise PeerError("the peer failed to prove that it knows the secret")
    return confirmation


async def _read_hello(reader: asyncio.StreamReader) -> Hello:
    message = await read_frame(reader, MAX_HELLO_BYTES, FRAME_TIMEOUT_S)
    if not isinstance(message, Hello):
        raise PeerError("message received before the handshake")
    if message.version < 1 or len(message.nonce) != NONCE_BYTES:
        raise PeerError("hello with an unsupported version or a nonce of wrong length")
    return message


class PeerServer:
    """Accepts connections of other instances.

    Parameters
    ----------
    on_message : callable
        Called with each received message.
    """

    def __init__(
        self,
        address: str,
        identity: PeerIdentity,
        on_message: Callable[[PeerMessage], None],
        metrics: Metrics,
    ):
        self._address = address
        self._identity = identity
        self._on_message = on_message
        self._metrics = metrics
        self._server: asyncio.Server | None = None
        self._conns: set[asyncio.Task] = set()

    @property
    def address(self) -> str:
        """Address that the server listens on; known after `start`."""
        return self._address

    async def start(self) -> None:
        """Start to listen."""
        host, port = split_address(self._address)
        self._server = await asyncio.start_server(self._serve, host, port)
        bound = self._server.sockets[0].getsockname()
        self._address = join_address(host, bound[1])

    async def stop(self) -> None:
        """Close the listener and every connection."""
        if self._server is not None:
            self._server.close()
        conns = list(self._conns)
        for task in conns:
            task.cancel()
        await asyncio.gather(*conns, return_exceptions=True)

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        task = asyncio.current_task()
        self._conns.add(task)
        try:
            if len(self._conns) > MAX_CONNECTIONS:
                raise PeerError("too many connections")
            await accept_handshake(reader, writer, self._identity)
            while True:
                message = await read_frame(reader)
                self._metrics.count("peers.received")
                self._on_message(message)
        except (PeerError, TimeoutError, OSError) as exc:
            self._metrics.count("peers.closed")
            log.info("peer connection closed", extra={"reason": str(exc)})
        except asyncio.CancelledError:
            pass
        finally:
            self._conns.discard(task)
            writer.close()


class PeerClient:
    """Sends messages to other instances without blocking; delivery is not assured.

    There is one connection and one bounded queue for each address. When the
    connection breaks, the messages still queued for it are lost.
    """

    def __init__(self, identity: PeerIdentity, metrics: Metrics):
        self._identity = identity
        self._metrics = metrics
        self._queues: dict[str, asyncio.Queue[PeerMessage]] = {}
        self._tasks: dict[str, asyncio.Task] = {}

    def send(self, address: str, message: PeerMessage) -> None:
        """Queue a message; a full queue drops its oldest message."""
        queue = self._queues.get(address)
        if queue is None:
            queue = self._queues[address] = asyncio.Queue(MAX_QUEUED_MESSAGES)
        if queue.full():
            queue.get_nowait()
            self._metrics.count("peers.dropped")
        queue.put_nowait(message)
        if address not in self._tasks:
            task = asyncio.create_task(self._run(address, queue))
            self._tasks[address] = task

    async def stop(self) -> None:
        """Close every connection."""
        tasks = list(self._tasks.values())
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    async def _run(self, address: str, queue: asyncio.Queue[PeerMessage]) -> None:
        """Send queued messages over one connection until it breaks or is idle."""
        writer = None
        try:
            host, port = split_address(address)
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                reader, writer = await asyncio.open_connection(host, port)
            detect_dead_peer(writer.get_extra_info("socket"))
            await connect_handshake(reader, writer, self._identity)
            while True:
                # Half of the server's idle timeout, so that this side closes first.
                async with asyncio.timeout(IDLE_TIMEOUT_S / 2):
                    message = await queue.get()
                size = await write_frame(writer, message)
                self._metrics.count("peers.sent")
                self._metrics.count("peers.sent_bytes", size)
                if reader.at_eof():
                    break
        except (PeerError, TimeoutError, OSError, ValueError) as exc:
            self._metrics.count("peers.lost", queue.qsize())
            log.debug(
                "connection to peer lost", extra={"peer": address, "reason": str(exc)}
            )
        finally:
            del self._tasks[address]
            del self._queues[address]
            if writer is not None:
                writer.close()
