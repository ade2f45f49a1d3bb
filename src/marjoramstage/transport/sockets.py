"""Sockets that notice a silent other end."""

from __future__ import annotations

import socket

USER_TIMEOUT_MS = 2_000
KEEPALIVE_IDLE_S = 1
KEEPALIVE_EVERY_S = 1
KEEPALIVE_PROBES = 2


def watch_peer(sock: socket.socket) -> None:
    """Let a connection break when its other end is silent for some seconds."""
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_EVERY_S)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEPALIVE_PROBES)


def client_socket(addr_info) -> socket.socket:
    """Create a socket for the HTTP client's connector."""
    family, type_, proto, _, _ = addr_info
    sock = socket.socket(family, type_, proto)
    sock.setblocking(False)
    watch_peer(sock)
    return sock
