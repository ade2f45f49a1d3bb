"""HTTP API for operators: inventory, history, status, drain, dump, health."""

from __future__ import annotations

import hmac
import uuid
from dataclasses import asdict
from typing import Any, Protocol

from aiohttp import web
from result import Err, Ok, Result

from marjoramstage.coordination._release_store import Release
from marjoramstage.coordination.releases import (
    Acceptor,
    ApplyError,
    ApplyFault,
    Edit,
)
from marjoramstage.exceptions import ConfigError
from marjoramstage.state.inventory import (
    Inventory,
    inventory_to_data,
    parse_inventory,
)
from marjoramstage.state.inventory_merge import differences

HISTORY_LIMIT = 20
MAX_HISTORY = 1000
UNAUTHENTICATED_PATHS = ("/healthz", "/readyz")

_STATUS_OF_FAULT = {
    ApplyFault.CONFLICT: 409,
    ApplyFault.REFUSED: 422,
    ApplyFault.UNKNOWN: 504,
    ApplyFault.NOT_ACCEPTED: 503,
}


class OperatedInstance(Protocol):
    """The instance, as far as the HTTP API for operators uses it."""

    def ready(self) -> str:
        """Return what the instance waits for before it can serve; empty if it can."""

    def dump(self) -> dict[str, Any]:
        """Return the state of the process as JSON data."""

    def status(self) -> dict[str, Any]:
        """Return an overview of the deployment as JSON data."""

    async def usage_of(self, customer: str) -> dict[str, Any] | None:
        """Return a customer's usage; None if the platform cannot be read."""


class OperatorActions(Protocol):
    """Actions that operators can request."""

    acceptor: Acceptor

    def inventory(self) -> tuple[int, Inventory]:
        """Return the current generation and inventory."""

    async def apply(self, edit: Edit) -> Result[Release, ApplyError]:
        """Submit an edit of the inventory."""

    async def roll_back(
        self, generation: int, edit_id: str, who: str, why: str
    ) -> Result[Release, ApplyError]:
        """Make the inventory of an earlier generation current again."""

    async def drain_target(self, target: str, incarnation: str = "") -> str:
        """Stop new work for a target at every instance; return what failed."""

    def drain_instance(self) -> None:
        """Start the graceful shutdown of this process."""


class OperatorApi:
    """Handlers of the HTTP API for operators.

    Parameters
    ----------
    secret : str or None
        Bearer secret that is required for every call except health checks.
    """

    def __init__(
        self,
        instance: OperatedInstance,
        operations: OperatorActions,
        secret: str | None,
    ):
        self._instance = instance
        self._operations = operations
        self._secret = secret

    def app(self) -> web.Application:
        """Return the application with its routes."""
        app = web.Application(
            client_max_size=1_048_576, middlewares=[self._check_secret]
        )
        app.router.add_get("/healthz", self._healthz)
        app.router.add_get("/readyz", self._readyz)
        app.router.add_get("/dump", self._dump)
        app.router.add_get("/status", self._status)
        app.router.add_get("/inventory", self._get_inventory)
        app.router.add_post("/inventory", self._apply)
        app.router.add_post("/plan", self._plan)
        app.router.add_get("/history", self._history)
        app.router.add_post("/rollback", self._roll_back)
        app.router.add_get("/edits/{edit}", self._get_edit)
        app.router.add_post("/drain", self._drain)
        app.router.add_get("/usage", self._usage)
        return app

    @web.middleware
    async def _check_secret(self, req: web.Request, handler) -> web.StreamResponse:
        if self._secret is not None and req.path not in UNAUTHENTICATED_PATHS:
            given = req.headers.get("Authorization", "").removeprefix("Bearer ")
            data = given.encode("utf-8", "surrogateescape")
            if not hmac.compare_digest(data, self._secret.encode()):
                return web.json_response({"error": "secret"}, status=401)
        try:
            return await handler(req)
        except ConfigError as exc:
            return web.json_response({"problems": list(exc.problems)}, status=400)
        except web.HTTPException as exc:
            return web.json_response({"error": exc.reason}, status=exc.status)

    async def _healthz(self, req: web.Request) -> web.Response:
        return web.json_response({"ok": True})

    async def _readyz(self, req: web.Request) -> web.Response:
        waits_for = self._instance.ready()
        status = 503 if waits_for else 200
        return web.json_response({"waits_for": waits_for}, status=status)

    async def _dump(self, req: web.Request) -> web.Response:
        return web.json_response(self._instance.dump())

    async def _status(self, req: web.Request) -> web.Response:
        return web.json_response(self._instance.status())

    async def _usage(self, req: web.Request) -> web.Response:
        customer = req.query.get("customer", "")
        _, inventory = self._operations.inventory()
        if customer not in inventory.customer_by_name:
            text = f"no customer {customer!r} in the accepted inventory"
            return web.json_response({"problems": [text]}, status=404)
        found = await self._instance.usage_of(customer)
        if found is None:
            text = "the platform cannot be read"
            return web.json_response({"problems": [text]}, status=503)
        return web.json_response(found)

    async def _get_inventory(self, req: web.Request) -> web.Response:
        generation, inventory = self._operations.inventory()
        data = {"generation": generation, "inventory": inventory_to_data(inventory)}
        return web.json_response(data)

    async def _apply(self, req: web.Request) -> web.Response:
        edit = Edit(
            id=_edit_id(req),
            inventory=parse_inventory(await req.read()),
            base=_int_param(req, "base"),
            who=req.query.get("who", ""),
            why=req.query.get("why", ""),
        )
        return _outcome_response(await self._operations.apply(edit))

    async def _plan(self, req: web.Request) -> web.Response:
        wanted = parse_inventory(await req.read())
        generation, present = self._operations.inventory()
        changes = [asdict(change) for change in differences(present, wanted)]
        refusals = self._operations.acceptor.refusals(wanted)
        return web.json_response(
            {"generation": generation, "changes": changes, "refusals": refusals}
        )

    async def _history(self, req: web.Request) -> web.Response:
        limit = min(_int_param(req, "limit") or HISTORY_LIMIT, MAX_HISTORY)
        found = await self._operations.acceptor.store.history(1, limit)
        if isinstance(found, Err):
            data = {"problems": [f"the platform: {found.err_value.message}"]}
            return web.json_response(data, status=503)
        return web.json_response([asdict(release) for release in found.ok_value])

    async def _roll_back(self, req: web.Request) -> web.Response:
        generation = _int_param(req, "to")
        if generation is None:
            raise ConfigError(("to: a generation is needed",))
        edit_id = _edit_id(req)
        who, why = req.query.get("who", ""), req.query.get("why", "")
        result = await self._operations.roll_back(generation, edit_id, who, why)
        return _outcome_response(result)

    async def _get_edit(self, req: web.Request) -> web.Response:
        found = await self._operations.acceptor.look_up(req.match_info["edit"])
        match found:
            case Ok(None):
                return web.json_response({"accepted": False}, status=404)
            case Ok(release):
                return web.json_response({"accepted": True, **asdict(release)})
            case Err(error):
                return web.json_response({"problems": [error.message]}, status=503)

    async def _drain(self, req: web.Request) -> web.Response:
        target = req.query.get("target")
        if target:
            incarnation = req.query.get("incarnation", "")
            not_kept = await self._operations.drain_target(target, incarnation)
            return web.json_response({"draining": target, "not_kept": not_kept})
        self._operations.drain_instance()
        return web.json_response({"draining": "this instance"})


def _outcome_response(result: Result[Release, ApplyError]) -> web.Response:
    match result:
        case Ok(release):
            return web.json_response({"outcome": "accepted", **asdict(release)})
        case Err(error):
            data = {
                "outcome": error.fault.value,
                "problems": list(error.problems),
                "clashes": [asdict(clash) for clash in error.clashes],
            }
            return web.json_response(data, status=_STATUS_OF_FAULT[error.fault])


def _edit_id(req: web.Request) -> str:
    """Return the id that the submitter gave the edit, or a new one."""
    value = req.query.get("edit")
    if value is None:
        return uuid.uuid4().hex
    if not 8 <= len(value) <= 64 or not value.isalnum():
        raise ConfigError(("edit: 8 to 64 letters and digits are needed",))
    return value


def _int_param(req: web.Request, name: str) -> int | None:
    text = req.query.get(name)
    if text is None:
        return None
    if not text.isascii() or not text.isdigit() or len(text) > 18:
        raise ConfigError((f"{name}: a whole number is needed",))
    return int(text)
