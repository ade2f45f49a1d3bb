"""TCP sockets that detect an unresponsive peer, and resets of connections."""

from __future__ import annotations

import asyncio
import socket
import struct

from marjoramstage.transport.overhead import REQUEST_RECEIVE_BUFFER_BYTES

USER_TIMEOUT_MS = 2_000
KEEPALIVE_IDLE_S = 1
KEEPALIVE_INTERVAL_S = 1
KEEPALIVE_PROBES = 2


def detect_dead_peer(sock: socket.socket) -> None:
    """Fail the connection a few seconds after its peer stops responding.

    The user timeout bounds unacknowledged data; keepalive probes find a peer
    that is gone while the connection is idle.
    """
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEPALIVE_PROBES)


def address_family(host: str) -> socket.AddressFamily:
    """Return the family of an IP address."""
    return socket.AF_INET6 if ":" in host else socket.AF_INET


def listening_socket(host: str, port: int) -> socket.socket:
    """Return a bound socket; the kernel holds little for its connections."""
    sock = socket.socket(address_family(host), socket.SOCK_STREAM)
    try:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        # Accepted connections inherit it.
        sock.setsockopt(
            socket.SOL_SOCKET, socket.SO_RCVBUF, REQUEST_RECEIVE_BUFFER_BYTES
        )
        sock.setblocking(False)
        sock.bind((host, port))
    except OSError:
        sock.close()
        raise
    return sock


def create_client_socket(
    addr_info, socket_class: type[socket.socket] = socket.socket
) -> socket.socket:
    """Create a socket for an aiohttp connector (its ``socket_factory``)."""
    family, type_, proto, _, _ = addr_info
    sock = socket_class(family, type_, proto)
    sock.setblocking(False)
    detect_dead_peer(sock)
    return sock


def reset_connection(transport: asyncio.BaseTransport) -> None:
    """Reset a connection, so that its peer does not take it for an orderly end."""
    sock = transport.get_extra_info("socket")
    if sock is not None:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    transport.abort()
