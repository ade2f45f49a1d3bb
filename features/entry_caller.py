"""The callers' side of an instance on the users' platform, in the test's process."""

import asyncio
from dataclasses import dataclass, field, replace

import aiohttp

from marjoramstage._entry.caller_handler import CallerHandler
from marjoramstage._entry.client_holdings import ClientHoldings
from marjoramstage._entry.crash_observer import CrashObserver
from marjoramstage._entry.event_log import EventLog
from marjoramstage._entry.instance_state import InstanceState
from marjoramstage._entry.prometheus_metrics import PrometheusMetrics
from marjoramstage._entry.stream_versions import StreamVersions
from marjoramstage.clock import SystemClock
from marjoramstage.logs import component_logger
from marjoramstage.state.fleet import FleetTarget
from marjoramstage.state.node_settings import NodeSettings
from marjoramstage.state.routes import (
    CallerLimits,
    Route,
    RouteTable,
    RunPolicy,
    Service,
    ServiceWeight,
)
from marjoramstage.transport.server_connection import BoundedServer
from marjoramstage.transport.target_client import TargetClient

HOST = "h.example"
SERVICE = "plain"
SPLIT = (ServiceWeight(SERVICE, 1.0),)
TIMEOUT_S = 5.0
PART_PAUSE_S = 0.1

ROUTES = (
    Route("once", HOST, "/once/", SPLIT, timeout_s=TIMEOUT_S),
    Route("any", HOST, "/any/", SPLIT, RunPolicy.REPEATABLE, max_attempts=2),
    Route("stream", HOST, "/stream/", SPLIT, is_stream=True, timeout_s=TIMEOUT_S),
    Route(
        "resumable",
        HOST,
        "/resumable-stream/",
        SPLIT,
        RunPolicy.REPEATABLE,
        is_stream=True,
        resumable=True,
        max_attempts=2,
        timeout_s=TIMEOUT_S,
    ),
)
# Their requests may use a connection that was used before.
REPEATABLE_ROUTES = tuple(r for r in ROUTES if r.run_policy is RunPolicy.REPEATABLE)


class KnownOrigins:
    """Stored origins that have been read already; there are no others."""

    is_loaded = True

    async def reload(self, since_s):
        """Read nothing new."""


@dataclass
class Received:
    """What a caller received; ``whole`` if HTTP shows that the body is complete."""

    status: int = 0
    body: bytes = b""
    whole: bool = False
    headers: dict = field(default_factory=dict)


def old_http_request(path):
    """Return a request over HTTP/1.0, whose answer ends with its connection."""
    head = f"POST {path}x HTTP/1.0\r\nHost: {HOST}\r\nRequest-Id: r1\r\n"
    return [head.encode() + b"Content-Length: 3\r\n\r\nabc"]


class EntryInstance:
    """Serves callers with real sockets; routes and targets are given.

    Parameters
    ----------
    software : tuple of str
        Version of the program that each target runs.
    origins : dict
        What the other instances know: versions that began streams, by request.
    """

    def __init__(self, targets, software=("v1", "v1"), origins=None):
        self._targets = targets
        self._software = software
        self._origins = origins or {}

    async def __aenter__(self):
        settings = NodeSettings(
            name="i1",
            data_centre="a",
            ip="127.0.0.1",
            callers_address="127.0.0.1:0",
            ready_address="127.0.0.1:0",
            peer_ports=(0,),
            platform_address="127.0.0.1:1",
        )
        clock = SystemClock()
        events = EventLog(component_logger("entry"), clock)
        self.state = InstanceState(settings, clock, events)
        self.state.apply_routes(
            RouteTable(1, ROUTES, {SERVICE: Service(SERVICE)}, CallerLimits())
        )
        for number, target in enumerate(self._targets):
            await target.start()
            listed = FleetTarget(f"t{number}", 1, SERVICE, target.address, "a", slots=8)
            self.state.put_target(replace(listed, software=self._software[number]))
        self.metrics = PrometheusMetrics()
        self._client = TargetClient()
        self.asked = []
        handler = CallerHandler(
            self.state,
            self._client,
            self.metrics,
            StreamVersions(self.state, KnownOrigins(), self._tell_origin),
            CrashObserver(self.state, self._client),
            ClientHoldings(settings, clock),
        )
        self._server = BoundedServer(
            handler.handle, handler_cancellation=True, access_log=None
        )
        loop = asyncio.get_running_loop()
        self._listener = await loop.create_server(self._server, "127.0.0.1", 0)
        port = self._listener.sockets[0].getsockname()[1]
        self._base = f"http://127.0.0.1:{port}"
        timeout = aiohttp.ClientTimeout(total=2 * TIMEOUT_S)
        self._session = aiohttp.ClientSession(timeout=timeout)
        return self

    async def __aexit__(self, *exc):
        await self._session.close()
        self._listener.close()
        await self._server.shutdown(0.1)
        await self._client.stop()
        for target in self._targets:
            await target.stop()

    async def _tell_origin(self, request_id):
        self.asked.append(request_id)
        return self._origins.get(request_id, "")

    async def send(self, path, request_id="r1", **more):
        """Send a request as a caller, with further headers."""
        received = Received()
        headers = {"Host": HOST, "Request-Id": request_id, "Deadline-Ms": "4000"}
        headers |= {name.replace("_", "-"): text for name, text in more.items()}
        try:
            async with self._session.post(
                self._base + path, headers=headers, data=b"abc"
            ) as resp:
                received.status, received.headers = resp.status, resp.headers
                async for block in resp.content.iter_any():
                    received.body += block
                received.whole = True
        except (aiohttp.ClientError, TimeoutError):
            pass
        return received

    async def send_raw(self, parts):
        """Send bytes as a caller, with a pause between parts."""
        host, port = self._base.removeprefix("http://").split(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        for part in parts:
            writer.write(part)
            await asyncio.sleep(PART_PAUSE_S)
        received, data = Received(whole=True), b""
        try:
            async with asyncio.timeout(2 * TIMEOUT_S):
                while block := await reader.read(65_536):
                    data += block
                    if data.startswith(b"HTTP/1.1 4"):
                        break
        except (ConnectionResetError, TimeoutError):
            received.whole = False
        writer.close()
        head, _, received.body = data.partition(b"\r\n\r\n")
        if head:
            received.status = int(head.split(b" ")[1])
        return received
