"""The operators' port: inventory, status, state dump and health."""

from __future__ import annotations

import hmac
from typing import Any, Protocol

from aiohttp import web
from result import Err, Result

from marjoramstage.coordination.releases import Release
from marjoramstage.exceptions import ConfigError
from marjoramstage.protocol.objects import PlatformError, PlatformFault
from marjoramstage.state.inventory import (
    Inventory,
    inventory_to_data,
    parse_inventory,
)

_STATUS_OF_FAULT = {PlatformFault.CONFLICT: 409, PlatformFault.EXISTS: 409}


class Operated(Protocol):
    """An instance as its operators' port sees it."""

    def ready(self) -> str:
        """Return why the instance cannot serve yet; empty if it can."""

    def dump(self) -> dict[str, Any]:
        """Return the state of the process as JSON data."""

    def inventory(self) -> tuple[int, Inventory]:
        """Return the generation and the inventory in force."""

    async def apply(self, inventory: Inventory) -> Result[Release, PlatformError]:
        """Submit an inventory."""


class OperatorPort:
    """Handlers of the operators' port.

    Parameters
    ----------
    secret : str or None
        Bearer secret that every call but the health ones must carry.
    """

    def __init__(self, operated: Operated, secret: str | None):
        self._operated = operated
        self._secret = secret

    def app(self) -> web.Application:
        """Return the application with its routes."""
        app = web.Application(client_max_size=1_048_576, middlewares=[self._guard])
        app.router.add_get("/healthz", self._healthz)
        app.router.add_get("/readyz", self._readyz)
        app.router.add_get("/dump", self._dump)
        app.router.add_get("/inventory", self._get)
        app.router.add_post("/inventory", self._apply)
        return app

    @web.middleware
    async def _guard(self, req: web.Request, handler) -> web.StreamResponse:
        if self._secret is not None and req.path not in ("/healthz", "/readyz"):
            given = req.headers.get("Authorization", "").removeprefix("Bearer ")
            data = given.encode("utf-8", "surrogateescape")
            if not hmac.compare_digest(data, self._secret.encode()):
                return web.json_response({"error": "secret"}, status=401)
        return await handler(req)

    async def _healthz(self, req: web.Request) -> web.Response:
        return web.json_response({"ok": True})

    async def _readyz(self, req: web.Request) -> web.Response:
        waits_for = self._operated.ready()
        status = 503 if waits_for else 200
        return web.json_response({"waits_for": waits_for}, status=status)

    async def _dump(self, req: web.Request) -> web.Response:
        return web.json_response(self._operated.dump())

    async def _get(self, req: web.Request) -> web.Response:
        generation, inventory = self._operated.inventory()
        data = {"generation": generation, "inventory": inventory_to_data(inventory)}
        return web.json_response(data)

    async def _apply(self, req: web.Request) -> web.Response:
        try:
            inventory = parse_inventory(await req.read())
        except ConfigError as exc:
            return web.json_response({"problems": list(exc.problems)}, status=400)
        applied = await self._operated.apply(inventory)
        if isinstance(applied, Err):
            error = applied.err_value
            status = _STATUS_OF_FAULT.get(error.fault, 503)
            data = {"fault": error.fault.value, "verdict": error.verdict.value}
            return web.json_response(data, status=status)
        release = applied.ok_value
        return web.json_response(
            {"generation": release.generation, "root": release.root}
        )
