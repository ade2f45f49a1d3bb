"""Keeps the number of connections below the descriptors of the machine."""

from __future__ import annotations

from collections import OrderedDict
from typing import Protocol

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

    def force_close(self) -> None:
        """Close the connection."""


def max_connections(max_descriptors: int) -> int:
    """Return how many connections a process with these descriptors may have."""
    return max(MIN_CONNECTIONS, max_descriptors - RESERVED_DESCRIPTORS - HEADROOM)


class ConnectionLimit:
    """Decides which connections of callers close when descriptors run short.

    Connections that have been idle for longest close first.

    Parameters
    ----------
    max_descriptors : int
        Descriptors that the process may have open.

    Attributes
    ----------
    outgoing : int
        Open connections to targets.
    serving : int
        Requests that are being served; each may need a connection to a target.
    closed : int
        Connections that were closed so far because descriptors ran short.
    """

    def __init__(self, max_descriptors: int):
        self.max_connections = max_connections(max_descriptors)
        self.outgoing = 0
        self.serving = 0
        self.closed = 0
        # Oldest activity first; the values are not used.
        self._accepted: OrderedDict[CallerConnection, None] = OrderedDict()

    @property
    def accepted(self) -> int:
        """Number of open connections of callers."""
        return len(self._accepted)

    @property
    def exceeded(self) -> bool:
        """Whether there are too many connections."""
        outgoing = max(self.outgoing, self.serving)
        return len(self._accepted) + outgoing > self.max_connections

    def add(self, conn: CallerConnection) -> None:
        """Record a connection that was accepted."""
        self._accepted[conn] = None

    def touch(self, conn: CallerConnection) -> None:
        """Record that a request arrived on a connection."""
        if conn in self._accepted:
            self._accepted.move_to_end(conn)

    def remove(self, conn: CallerConnection) -> None:
        """Record that a connection closed."""
        self._accepted.pop(conn, None)

    def close_idle(self) -> None:
        """Close the connections idle for longest, until there are few enough."""
        while self.exceeded:
            conn = self._find_idle()
            if conn is None:
                return
            self.remove(conn)
            self.closed += 1
            conn.force_close()

    def _find_idle(self) -> CallerConnection | None:
        for _ in range(min(MAX_LOOKED_AT, len(self._accepted))):
            conn = next(iter(self._accepted))
            if conn.is_idle:
                return conn
            self._accepted.move_to_end(conn)
        return None
