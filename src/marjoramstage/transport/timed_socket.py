"""A socket whose attempt to connect ends after a while, unless it has succeeded.

A timeout of the event loop also ends an attempt that has succeeded in the kernel when
the loop is late to see it, because it is busy or its process was stopped. The peer
then looks unreachable, although only this process was late.
"""

from __future__ import annotations

import asyncio
import errno
import socket
from contextlib import suppress


class TimedSocket(socket.socket):
    """A non-blocking socket; `asyncio` reports its timeout as an `OSError`.

    Parameters
    ----------
    connect_timeout_s : float
        For how long it may connect.
    args
        Family, type and protocol, as for `socket.socket`.
    """

    def __init__(self, connect_timeout_s: float, *args: int):
        super().__init__(*args)
        self.setblocking(False)
        self._connect_timeout_s = connect_timeout_s
        self._timed_out = False

    def connect(self, address) -> None:
        """Begin to connect; `asyncio` waits until the socket can be written to."""
        try:
            super().connect(address)
        except BlockingIOError:
            loop = asyncio.get_running_loop()
            loop.call_later(self._connect_timeout_s, self._check_connected)
            raise

    def getsockopt(self, level: int, option: int, *args: int) -> int | bytes:
        """Return an option; the pending error is the timeout, if there was one."""
        if self._timed_out and (level, option) == (socket.SOL_SOCKET, socket.SO_ERROR):
            return errno.ETIMEDOUT
        return super().getsockopt(level, option, *args)

    def _check_connected(self) -> None:
        """End the attempt to connect if it has not succeeded."""
        is_closed = self.fileno() < 0
        if is_closed or self._is_connected():
            return
        self._timed_out = True
        # Wakes up the event loop, which then asks for the pending error.
        with suppress(OSError):
            self.shutdown(socket.SHUT_RDWR)

    def _is_connected(self) -> bool:
        try:
            self.getpeername()
        except OSError:
            return False
        return True
