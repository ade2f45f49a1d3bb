"""Runs an instance on the users' platform: start-up, servers and shutdown."""

from __future__ import annotations

import asyncio
import gc
import os
import signal

import aiohttp
from aiohttp import web

from marjoramstage import early_hangup, logs, platform
from marjoramstage._commands import exits
from marjoramstage._entry.begun_stream_store import BegunStreamStore
from marjoramstage._entry.caller_handler import CallerHandler
from marjoramstage._entry.client_holdings import ClientHoldings
from marjoramstage._entry.crash_observer import CrashObserver
from marjoramstage._entry.event_log import EventLog
from marjoramstage._entry.explainer import Explainer
from marjoramstage._entry.instance_state import InstanceState
from marjoramstage._entry.limited_targets import SendKind
from marjoramstage._entry.load_monitor import LoadMonitor
from marjoramstage._entry.origin_store import OriginStore
from marjoramstage._entry.peer_link import PeerLink
from marjoramstage._entry.placement_controller import (
    IN_STEP_S,
    PlacementController,
)
from marjoramstage._entry.prometheus_metrics import PrometheusMetrics
from marjoramstage._entry.quarantine_store import QuarantineStore
from marjoramstage._entry.quarantine_sync import QuarantineSync
from marjoramstage._entry.quota_sync import QuotaOutcome
from marjoramstage._entry.resource_monitor import ResourceMonitor
from marjoramstage._entry.store_relay import StoreRelay, max_confirmation_age_s
from marjoramstage._entry.store_watchers import (
    drop_missing_targets,
    watch_routes,
    watch_targets,
)
from marjoramstage._entry.stream_versions import StreamVersions
from marjoramstage._entry.targets_out import OutCause
from marjoramstage.addresses import split_address
from marjoramstage.allocator import return_large_buffers
from marjoramstage.clock import SystemClock
from marjoramstage.exceptions import ConfigError
from marjoramstage.state.node_settings import NodeSettings
from marjoramstage.state.store_era import StoreEra
from marjoramstage.transport.client_connection import client_connector
from marjoramstage.transport.server_connection import BoundedServer
from marjoramstage.transport.sockets import create_client_socket, listening_socket
from marjoramstage.transport.target_client import TargetClient

# Callers may still connect for this long after the stop signal, while the readiness
# probe already fails.
LISTEN_AFTER_STOP_S = 2.6
# The process ends this long before its grace period does.
SHUTDOWN_MARGIN_S = 0.6
# Time to write the answers of requests that are still served then.
FINAL_ANSWERS_S = 0.1
KEEPALIVE_TIMEOUT_S = 75.0
SETTINGS_CHECK_INTERVAL_S = 2.0
MAX_HEAD_BYTES = 32_768
BACKLOG = 1024
# Connections accepted before the first of them is counted.
ACCEPTED_AT_ONCE = 16
METRICS_PORT = 9464
METRICS_PATH = "/metrics"
EXPLAIN_PATH = "/explain"


class EntryServer:
    """One running instance.

    Parameters
    ----------
    settings : NodeSettings
        Settings of the machine.
    path : str
        The settings file, reloaded on SIGHUP and when it changes.
    """

    def __init__(self, settings: NodeSettings, path: str):
        self._settings_path = path
        clock = SystemClock()
        self._events = EventLog(logs.component_logger("entry"), clock)
        self._state = InstanceState(settings, clock, self._events)
        self._metrics = PrometheusMetrics()
        self._holdings = ClientHoldings(settings, clock)
        self._explainer = Explainer(self._state)
        self._stop_requested = asyncio.Event()
        self._failed = False
        self._servers: list[asyncio.Server] = []

    async def run(self) -> int:
        """Serve until a signal asks for a shutdown; return the exit code."""
        await self._start()
        await self._stop_requested.wait()
        await self._shut_down()
        return exits.FAILED if self._failed else exits.OK

    async def _start(self) -> None:
        settings = self._state.settings
        loop = asyncio.get_running_loop()
        for signum in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(signum, self._stop_requested.set)
        loop.add_signal_handler(signal.SIGHUP, self._reload_settings)
        if early_hangup.was_received():
            self._reload_settings()
        background = self._state.background
        background.on_failure = self._on_task_failed
        background.on_fatal = self._on_fatal
        loop.set_exception_handler(background.on_loop_error)
        self._target_client = TargetClient(self._holdings.connections)
        connector = client_connector(socket_factory=create_client_socket)
        self._session = aiohttp.ClientSession(connector=connector)
        era = StoreEra()
        era.on_rise(self._on_store_restored)
        store = platform.ObjectStore(self._session, settings.platform_address, era)
        address = f"{settings.ip}:{settings.peer_ports[0]}"
        self._peer_link = PeerLink(self._state, address)
        self._controller = PlacementController(
            self._state,
            store,
            self._target_client,
            address,
            self._peer_link.send,
            era,
        )
        self._peer_link.set_controller(self._controller)
        origins = OriginStore(self._state, store, self._controller)
        begun = BegunStreamStore(self._state, store, self._controller)
        self._controller.on_streams_begun = begun.record
        self._state.keeps_origins = lambda: begun.is_keeping
        versions = StreamVersions(
            self._state, origins, self._peer_link.ask_stream_origin
        )
        crash_observer = CrashObserver(self._state, self._target_client)
        self._handler = CallerHandler(
            self._state,
            self._target_client,
            self._metrics,
            versions,
            crash_observer,
            self._holdings,
        )
        stored_quarantines = QuarantineStore(self._state, store)
        quarantines = QuarantineSync(
            self._state,
            stored_quarantines,
            self._controller,
            self._metrics,
            address,
            self._peer_link.send_to_others,
        )
        self._peer_link.set_quarantine_sync(quarantines)
        crash_observer.on_crash = quarantines.record_crash
        crash_observer.on_harmless = quarantines.record_harmless
        era.on_rise(stored_quarantines.on_store_restored)
        era.on_rise(origins.on_store_restored)
        era.on_rise(begun.on_store_restored)
        relay = StoreRelay(
            era,
            self._events,
            max_confirmation_age_s(settings.bounds),
            lambda: self._controller.may_send_orders,
            self._peer_link.send_store_changes,
        )
        self._peer_link.set_store_relay(relay)
        self._state.store_progress = relay.progress
        self._state.targets_out.on_out = self._on_target_out
        self._state.limited_targets.on_sent = self._on_sent_to_limited
        self._state.quota_sync.on_outcome = self._on_quota_outcome
        await self._listen(loop)
        await self._peer_link.start()
        routes = watch_routes(store, self._state, relay)
        targets = watch_targets(store, self._state, relay)
        self._state.is_in_step = lambda: (
            targets.is_fresh(IN_STEP_S) or self._controller.is_in_step()
        )
        for watcher in (routes, targets):
            era.on_rise(watcher.on_store_restored)
        load_monitor = LoadMonitor(
            self._state.clock, self._events, self._metrics, self._peer_link.counters
        )
        self._resources = ResourceMonitor(
            self._holdings, self._state.clock, self._events, self._metrics
        )
        for name, run in (
            ("routes", routes.run),
            ("targets", targets.run),
            ("missing targets", lambda: drop_missing_targets(targets, self._state)),
            ("placement", self._controller.run),
            ("peer link", self._peer_link.run),
            ("quarantines", quarantines.run),
            ("stream origins", origins.run),
            ("begun streams", begun.run),
            ("settings", self._watch_settings),
            ("load monitor", load_monitor.run),
            ("resources", self._resources.run),
        ):
            background.keep(name, run)
        self._events.event("started", data_centre=settings.data_centre)

    def _on_store_restored(self, era: int) -> None:
        """Record that the store came back from a copy."""
        self._events.event("store restored", era=era)
        self._metrics.store_restores.inc()

    def _on_target_out(self, cause: OutCause) -> None:
        """Count a target that says that it wants no requests."""
        self._metrics.target_notices.labels(cause.value).inc()

    def _on_sent_to_limited(self, kind: SendKind) -> None:
        """Count what is sent to a target that has named a limit."""
        self._metrics.limited_target_requests.labels(kind.value).inc()

    def _on_task_failed(self, name: str) -> None:
        """Count a background task that failed."""
        self._metrics.task_failures.labels(name).inc()

    def _on_fatal(self) -> None:
        """Shut down, as the process can't go on; the platform starts it again."""
        self._failed = True
        self._stop_requested.set()

    def _on_quota_outcome(self, outcome: QuotaOutcome) -> None:
        """Count a request that its customer's quota did not admit at once."""
        self._metrics.quota_outcomes.labels(outcome.value).inc()

    async def _listen(self, loop: asyncio.AbstractEventLoop) -> None:
        settings = self._state.settings
        self._caller_server = BoundedServer(
            self._handler.handle,
            handler_cancellation=True,
            request_factory=self._make_request,
            keepalive_timeout=KEEPALIVE_TIMEOUT_S,
            max_line_size=MAX_HEAD_BYTES,
            max_field_size=MAX_HEAD_BYTES,
            access_log=None,
            limit=self._holdings.connections,
            budget=self._holdings.budget,
        )
        self._probe_server = BoundedServer(self._handle_probe, access_log=None)
        host, port = split_address(settings.callers_address)
        sock = listening_socket(host, port)
        self._caller_listener = await loop.create_server(
            self._caller_server, sock=sock, backlog=ACCEPTED_AT_ONCE
        )
        # asyncio accepts as many connections at once as it is told to queue.
        sock.listen(BACKLOG)
        host, port = split_address(settings.ready_address)
        self._servers.append(await loop.create_server(self._probe_server, host, port))
        await self._listen_metrics(loop)

    async def _listen_metrics(self, loop: asyncio.AbstractEventLoop) -> None:
        """Serve metrics; callers are served even if this fails to listen."""
        ip = self._state.settings.ip
        try:
            server = await loop.create_server(self._probe_server, ip, METRICS_PORT)
        except OSError as exc:
            self._events.event("metrics listener failed", reason=str(exc))
            return
        self._servers.append(server)

    def _make_request(
        self, message, payload, protocol, writer, task
    ) -> web.BaseRequest:
        """Create a request object that enforces the operator's body limit."""
        table = self._state.table
        max_body_bytes = table.limits.body_bytes if table is not None else 0
        return web.BaseRequest(
            message,
            payload,
            protocol,
            writer,
            task,
            asyncio.get_running_loop(),
            client_max_size=max_body_bytes,
        )

    async def _handle_probe(self, req: web.BaseRequest) -> web.Response:
        if req.path == METRICS_PATH:
            self._update_gauges()
            return web.Response(
                body=self._metrics.exposition(), content_type="text/plain"
            )
        if req.path == EXPLAIN_PATH and self._is_metrics_address(req):
            explanation = self._explainer.explain(req.query)
            return web.json_response(explanation.to_json())
        if req.path != platform.READY_PATH:
            return web.Response(status=404)
        return web.Response(status=200 if self._state.ready else 503)

    def _update_gauges(self) -> None:
        """Set the metrics that are taken when they are asked for."""
        self._resources.update_gauges()
        self._metrics.waiting.set(len(self._state.wait_queue))
        for cause, count in self._state.targets_out.counts().items():
            self._metrics.targets_out.labels(cause.value).set(count)
        backlog = self._state.backlog
        self._metrics.prompt_tokens.labels("sent").set(backlog.sent_tokens)
        self._metrics.prompt_tokens.labels("cached").set(backlog.cached_tokens)
        self._metrics.learned_costs.set(len(backlog.model))
        self._metrics.limited_targets.set(self._state.limited_targets.count())
        age_s = self._state.quota_sync.contact_age_s
        self._metrics.quota_contact_age_seconds.set(age_s)
        self._metrics.holds_lease.set(1 if self._controller.may_send_orders else 0)

    def _is_metrics_address(self, req: web.BaseRequest) -> bool:
        """Whether a request came in on the address for operators."""
        name = req.transport.get_extra_info("sockname") if req.transport else None
        return name is not None and name[1] == METRICS_PORT

    def _reload_settings(self) -> None:
        """Reload the settings; keep the current ones if the file is invalid."""
        try:
            settings = platform.load_node_settings(self._settings_path)
        except ConfigError as exc:
            self._events.event("settings reload failed", reason=str(exc))
            return
        self._state.settings = settings
        self._holdings.apply(settings)
        self._events.event("settings reloaded", path=self._settings_path)

    async def _watch_settings(self) -> None:
        """Reload the settings when the file changes without a signal."""
        known_mtime_ns = self._settings_mtime_ns()
        while True:
            await asyncio.sleep(SETTINGS_CHECK_INTERVAL_S)
            mtime_ns = self._settings_mtime_ns()
            if mtime_ns != known_mtime_ns:
                known_mtime_ns = mtime_ns
                self._reload_settings()

    def _settings_mtime_ns(self) -> int:
        """Return the settings file's modification time in ns; 0 on errors."""
        try:
            return os.stat(self._settings_path).st_mtime_ns
        except OSError as exc:
            self._events.event("settings reload failed", reason=str(exc))
            return 0

    def _close_callers(self) -> None:
        """Accept no more requests; those that arrived are still answered."""
        if self._state.closed:
            return
        self._state.closed = True
        self._caller_listener.close()
        # aiohttp's own close leaves idle connections open.
        for conn in self._caller_server.connections:
            if self._handler.is_busy(conn):
                conn.close()
            else:
                conn.force_close()

    async def _shut_down(self) -> None:
        """Shut down gracefully: finish the requests that are in flight."""
        state = self._state
        began_s = state.clock.now()
        state.stopping, state.stopping_s = True, began_s
        self._events.event("stopping", in_flight=self._handler.in_flight)
        await self._controller.stop()
        end_s = began_s + state.settings.bounds.grace_s - SHUTDOWN_MARGIN_S
        while state.clock.now() < end_s:
            elapsed_s = state.clock.now() - began_s
            if elapsed_s >= LISTEN_AFTER_STOP_S:
                self._close_callers()
                unsent = self._holdings.answers.left_over
                if self._handler.in_flight == 0 and not unsent:
                    break
            await asyncio.sleep(0.05)
        if self._handler.in_flight:
            self._handler.end_all()
            await asyncio.sleep(FINAL_ANSWERS_S)
        self._events.event("stopped", in_flight=self._handler.in_flight)
        self._state.background.stop()
        for server in self._servers:
            server.close()
        await self._caller_server.shutdown(0.1)
        await self._peer_link.stop()
        await self._target_client.stop()
        await self._session.close()


def run(path: str) -> int:
    """Run an instance with a settings file; return the exit code."""
    settings = platform.load_node_settings(path)
    logs.configure_stdout("info", settings.name)
    return_large_buffers()
    gc.freeze()
    return asyncio.run(_run(settings, path))


async def _run(settings: NodeSettings, path: str) -> int:
    return await EntryServer(settings, path).run()
