"""An instance with customers in the test's process, and targets that it sends to."""

import asyncio
from dataclasses import dataclass, field

from aiohttp import web

from features.entry_caller import ROUTES, SERVICE, EntryInstance
from marjoramstage import platform
from marjoramstage.state.routes import CallerLimits, RouteTable, Service

KEYS = {"good": ["KEY-good-1"], "other": ["KEY-other-1"]}
RUN_S = 0.6


def routes_with(keys, version):
    """Return the routes of `EntryInstance` with customers that hold these keys."""
    tenants = [{"name": name, "api_keys": held} for name, held in keys.items()]
    spec = {"version": version, "routes": [], "services": [], "tenants": tenants}
    customers = platform.decode_table(spec).ok_value.customers
    services = {SERVICE: Service(SERVICE)}
    return RouteTable(version, ROUTES, services, CallerLimits(), customers)


@dataclass
class KeyedTarget:
    """A target whose first answer is given, and that calls back as requests arrive.

    Attributes
    ----------
    first : str
        ``runs``, ``refuses`` (not run), ``breaks`` off or takes ``long``.
    on_request : callable
        Called with each request that arrives.
    """

    first: str = "runs"
    on_request: object = None
    requests: list = field(default_factory=list)

    async def start(self):
        self._server = web.Server(self._answer, access_log=None)
        loop = asyncio.get_running_loop()
        self._listener = await loop.create_server(self._server, "127.0.0.1", 0)
        port = self._listener.sockets[0].getsockname()[1]
        self.address = f"127.0.0.1:{port}"

    async def stop(self):
        self._listener.close()
        await self._server.shutdown(0.1)

    async def _answer(self, req):
        await req.read()
        request_id = req.headers["Request-Id"]
        first = self.first if not self.requests else "runs"
        self.requests.append(req.headers)
        headers = {"Request-Id": request_id}
        if self.on_request is not None:
            self.on_request(req)
        if first == "refuses":
            return web.Response(status=503, headers={**headers, "Not-Run": "1"})
        if first == "breaks":
            req.transport.abort()
            return web.Response()
        if self.first == "long":
            await asyncio.sleep(RUN_S)
        return web.Response(body=b"ran", headers=headers)


class KeyedInstance(EntryInstance):
    """An instance whose configuration has the customers good and other."""

    async def __aenter__(self):
        await super().__aenter__()
        self.set_keys(KEYS)
        return self

    def set_keys(self, keys):
        """Put another version of the customers into force."""
        self.state.apply_routes(routes_with(keys, self.state.table.version + 1))
