"""Keeps the number of connections below the descriptors of the machine."""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Iterator
from contextlib import contextmanager
from typing import Protocol

from marjoramstage.transport.byte_budget import STALL_S

# Descriptors that are kept for files and other sockets.
RESERVED_DESCRIPTORS = 200
# A caller's request may need a connection to a target, and connections are accepted
# in batches.
HEADROOM = 32
MIN_CONNECTIONS = 16
# Connections that are looked at to find an idle one.
MAX_LOOKED_AT = 64


class CallerConnection(Protocol):
    """A connection of a caller."""

    @property
    def is_idle(self) -> bool:
        """Whether no request is being read or served."""

    @property
    def is_paused(self) -> bool:
        """Whether this process does not read what the caller sends."""

    def force_close(self) -> None:
        """Close the connection."""

    def end_stalled(self) -> None:
        """Refuse the request whose body has stalled."""


def max_connections(max_descriptors: int) -> int:
    """Return how many connections a process with these descriptors may have."""
    return max(MIN_CONNECTIONS, max_descriptors - RESERVED_DESCRIPTORS - HEADROOM)


class ConnectionLimit:
    """Decides which connections of callers close when descriptors run short.

    Connections that have been idle for longest close first. Then requests end whose
    body has stalled, the ones that stopped first before the others.

    Parameters
    ----------
    max_descriptors : int
        Descriptors that the process may have open.

    Attributes
    ----------
    outgoing : int
        Open connections to targets.
    serving : int
        Requests whose body is complete; each may need a connection to a target.
    closed : int
        Idle connections that were closed so far because descriptors ran short.
    stalled : int
        Requests that ended so far for the same reason, as their body had stalled.
    """

    def __init__(self, max_descriptors: int):
        self.max_connections = max_connections(max_descriptors)
        self.outgoing = 0
        self.serving = 0
        self.closed = 0
        self.stalled = 0
        # Oldest activity first; the values are not used.
        self._accepted: OrderedDict[CallerConnection, None] = OrderedDict()
        # When a body last made progress, of connections whose body isn't complete.
        self._bodies: OrderedDict[CallerConnection, float] = OrderedDict()

    @property
    def accepted(self) -> int:
        """Number of open connections of callers."""
        return len(self._accepted)

    @property
    def exceeded(self) -> bool:
        """Whether there are too many connections."""
        outgoing = max(self.outgoing, self.serving)
        return len(self._accepted) + outgoing > self.max_connections

    @contextmanager
    def serve(self) -> Iterator[None]:
        """Count a request that is being served meanwhile."""
        self.serving += 1
        try:
            yield
        finally:
            self.serving -= 1

    def add(self, conn: CallerConnection) -> None:
        """Record a connection that was accepted."""
        self._accepted[conn] = None

    def touch(self, conn: CallerConnection) -> None:
        """Record that a request arrived on a connection."""
        if conn in self._accepted:
            self._accepted.move_to_end(conn)

    def note_body(self, conn: CallerConnection, now_s: float) -> None:
        """Record progress of a body that isn't complete yet."""
        self._bodies[conn] = now_s
        self._bodies.move_to_end(conn)

    def end_body(self, conn: CallerConnection) -> None:
        """Record that no body of a connection is incomplete; may be called again."""
        self._bodies.pop(conn, None)

    def remove(self, conn: CallerConnection) -> None:
        """Record that a connection closed."""
        self._accepted.pop(conn, None)
        self._bodies.pop(conn, None)

    def close_excess(self, now_s: float) -> None:
        """Close or end what gives way, until there are few enough connections."""
        while self.exceeded:
            conn = self._find_idle()
            if conn is not None:
                self.remove(conn)
                self.closed += 1
                conn.force_close()
                continue
            conn = self._find_stalled(now_s)
            if conn is None:
                return
            self.remove(conn)
            self.stalled += 1
            conn.end_stalled()

    def _find_idle(self) -> CallerConnection | None:
        for _ in range(min(MAX_LOOKED_AT, len(self._accepted))):
            conn = next(iter(self._accepted))
            if conn.is_idle:
                return conn
            self._accepted.move_to_end(conn)
        return None

    def _find_stalled(self, now_s: float) -> CallerConnection | None:
        while self._bodies:
            conn, progress_s = next(iter(self._bodies.items()))
            if now_s - progress_s < STALL_S:
                return None
            if not conn.is_paused:
                return conn
            # It makes no progress while it isn't read.
            self.note_body(conn, now_s)
        return None
