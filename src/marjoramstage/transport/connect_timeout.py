"""A timeout of attempts to connect that a late event loop does not set off.

A timeout of the event loop alone also ends an attempt that has succeeded in the kernel
when the loop is late to see it, because it is busy or its process was stopped. The peer
then looks unreachable, although only this process was late.
"""

from __future__ import annotations

import asyncio
import socket
from contextvars import ContextVar


class ConnectTimeoutError(Exception):
    """A peer did not answer an attempt to connect in time."""


class ConnectTimeout:
    """Bounds the attempts to connect a `TimedSocket` that are made within it.

    Parameters
    ----------
    timeout_s : float
        For how long an attempt may take.

    Raises
    ------
    ConnectTimeoutError
        On leaving it, if an attempt took longer.
    """

    def __init__(self, timeout_s: float):
        self._timeout_s = timeout_s
        self._timeout = asyncio.timeout(None)

    async def __aenter__(self) -> ConnectTimeout:
        await self._timeout.__aenter__()
        self._token = _current.set(self)
        return self

    async def __aexit__(self, *exc) -> bool | None:
        _current.reset(self._token)
        try:
            return await self._timeout.__aexit__(*exc)
        except TimeoutError as timeout:
            raise ConnectTimeoutError("timeout of the connect") from timeout

    def start(self, sock: TimedSocket) -> asyncio.TimerHandle:
        """Begin to bound the attempt of a socket; cancelled when it has ended."""
        loop = asyncio.get_running_loop()
        return loop.call_later(self._timeout_s, self._check, sock)

    def _check(self, sock: TimedSocket) -> None:
        """End the attempt if it has not succeeded."""
        if sock.fileno() >= 0 and not sock.is_connected():
            self._timeout.reschedule(asyncio.get_running_loop().time())


_current: ContextVar[ConnectTimeout | None] = ContextVar("_current", default=None)


class TimedSocket(socket.socket):
    """A non-blocking socket whose attempt to connect a `ConnectTimeout` bounds."""

    _timer: asyncio.TimerHandle | None = None

    def connect(self, address) -> None:
        """Begin to connect; asyncio waits until the socket can be written to."""
        try:
            super().connect(address)
        except (BlockingIOError, InterruptedError):
            timeout = _current.get()
            if timeout is not None:
                self._timer = timeout.start(self)
            raise

    def getsockopt(self, level: int, option: int, *args: int) -> int | bytes:
        """Return an option; asyncio asks for the error once an attempt has ended."""
        if self._timer is not None and option == socket.SO_ERROR:
            self._timer.cancel()
            self._timer = None
        return super().getsockopt(level, option, *args)

    def is_connected(self) -> bool:
        """Whether the kernel has a connection."""
        try:
            self.getpeername()
        except OSError:
            return False
        return True
