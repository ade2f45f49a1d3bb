"""An event loop and a target whose connections are opened late, when a test says so."""

import asyncio
import socket
import time
from contextlib import suppress

from aiohttp import web


class SlowConnectLoop(asyncio.SelectorEventLoop):
    """Event loop in which connections to one port wait until ``gate`` is set."""

    def __init__(self):
        super().__init__()
        self.slow_port = None
        self.gate = asyncio.Event()
        self.connecting = 0

    async def sock_connect(self, sock, address):
        """Connect a socket, once the gate is set if it is to the slow port."""
        if address[1] == self.slow_port:
            self.connecting += 1
            await self.gate.wait()
        return await super().sock_connect(sock, address)


class BusyLoop(asyncio.SelectorEventLoop):
    """Event loop that is busy for a while just after each connect call to a port.

    Parameters
    ----------
    busy_s : float
        For how long.

    Attributes
    ----------
    port : int or None
        The port, once it is known.
    connects : int
        Number of these calls.
    """

    def __init__(self, busy_s):
        super().__init__()
        self._busy_s = busy_s
        self.port = None
        self.connects = 0

    async def sock_connect(self, sock, address):
        """Connect a socket; run nothing else for a while if it is to the port."""
        if address[1] == self.port:
            self.connects += 1
            # Runs when this call has begun to connect.
            self.call_soon(time.sleep, self._busy_s)
        return await super().sock_connect(sock, address)


class SilentTarget:
    """A target whose machine answers no attempt to connect."""

    async def start(self):
        self._listener = socket.socket()
        self._listener.bind(("127.0.0.1", 0))
        self._listener.listen(0)
        self.port = self._listener.getsockname()[1]
        # The kernel drops what comes after the one that may wait to be accepted.
        self._first = socket.create_connection(self._listener.getsockname())

    async def stop(self):
        self._first.close()
        self._listener.close()

    @property
    def address(self):
        return f"127.0.0.1:{self.port}"


class GatedTarget:
    """A target that counts requests; it answers the first ones when it is let.

    Like all targets, it echoes the id of a request.

    Parameters
    ----------
    status, headers
        Of those first answers; all others are 200.
    gated : int
        Number of the first answers.
    """

    def __init__(self, status=200, headers=None, gated=1):
        self._status, self._headers = status, headers or {}
        self._gated = gated
        self.received = 0
        self.may_answer = asyncio.Event()
        self._server = web.Server(self._answer, access_log=None)
        self._listener = None
        self.port = None

    @property
    def address(self):
        return f"127.0.0.1:{self.port}"

    async def start(self):
        loop = asyncio.get_running_loop()
        self._listener = await loop.create_server(self._server, "127.0.0.1", 0)
        self.port = self._listener.sockets[0].getsockname()[1]

    async def stop(self):
        self._listener.close()
        with suppress(TimeoutError):
            await self._server.shutdown(0.1)

    async def _answer(self, req):
        self.received += 1
        await req.read()
        if self.received > self._gated:
            return self._reply(req, 200, {})
        await self.may_answer.wait()
        return self._reply(req, self._status, self._headers)

    def _reply(self, req, status, headers):
        request_id = req.headers.get("Request-Id")
        if request_id is not None:
            headers = {**headers, "Request-Id": request_id}
        if status == 200 and "stream" in req.path:
            text, kind = "id: 1\ndata: x\n\n", "text/event-stream"
            return web.Response(text=text, content_type=kind, headers=headers)
        return web.Response(status=status, text="ok", headers=headers)
