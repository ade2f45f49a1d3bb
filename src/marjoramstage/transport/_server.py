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
        self._site: web.TCPSite | None = None

    @property
    def address(self) -> str:
        """The address that is listened on, after `start`."""
        return self._address

    async def start(self) -> None:
        """Listen."""
        host, port = split_address(self._address)
        self._runner = web.AppRunner(self._app, access_log=None)
        await self._runner.setup()
        self._site = web.TCPSite(self._runner, host, port, shutdown_timeout=1.0)
        await self._site.start()
        bound = self._site._server.sockets[0].getsockname()
        self._address = f"{host}:{bound[1]}"

    async def close_listener(self) -> None:
        """Accept no new connections; those that are open go on."""
        if self._site is not None:
            await self._site.stop()
            self._site = None

    async def stop(self) -> None:
        """Close the listening socket and every connection."""
        if self._runner is not None:
            await self._runner.cleanup()
