"""Start and stop one aiohttp server."""

from __future__ import annotations

from aiohttp import web

from marjoramstage.settings import split_address


class HttpServer:
    """An aiohttp application on one address.

    Parameters
    ----------
    app : aiohttp.web.Application
        What to serve.
    address : str
        ``ip:port``; port 0 lets the kernel choose.
    """

    def __init__(self, app: web.Application, address: str):
        self._app = app
        self._address = address
        self._runner: web.AppRunner | None = None

    @property
    def address(self) -> str:
        """The address that is listened on, after `start`."""
        return self._address

    async def start(self) -> None:
        """Listen."""
        host, port = split_address(self._address)
        self._runner = web.AppRunner(self._app, access_log=None)
        await self._runner.setup()
        site = web.TCPSite(self._runner, host, port, shutdown_timeout=1.0)
        await site.start()
        bound = site._server.sockets[0].getsockname()
        self._address = f"{host}:{bound[1]}"

    async def stop(self) -> None:
        """Close the listening socket and every connection."""
        if self._runner is not None:
            await self._runner.cleanup()
