"""Messages between instances: reports, fleet views and announced prompts."""

from __future__ import annotations

import asyncio
import uuid
from collections.abc import Iterable, Mapping

from marjoramstage._entry.instance_state import InstanceState
from marjoramstage._entry.placement_controller import PlacementController
from marjoramstage._entry.quarantine_sync import QuarantineSync
from marjoramstage._entry.store_relay import StoreRelay
from marjoramstage.coordination.instance_reports import (
    min_report_interval_s,
    report_interval_s,
)
from marjoramstage.metrics import LocalMetrics
from marjoramstage.protocol import quota_uses
from marjoramstage.protocol.peers import (
    BegunStreams,
    EntryReport,
    FleetView,
    PartsHarmless,
    PartsQuarantined,
    PeerMessage,
    PermitsIssued,
    PromptsSent,
    QuotaGrants,
    StoreChanges,
    StreamOriginAsked,
    StreamOriginTold,
    TargetCrashed,
)
from marjoramstage.transport.peers import PeerClient, PeerIdentity, PeerServer

# Prompts sent within this time are announced in one message.
PROMPT_BATCH_S = 0.004
# Changes of the platform's store may fill the link for this long.
MAX_RELAY_S = 0.25
# How long an instance waits for the others to tell where a stream began.
ORIGIN_TIMEOUT_S = 0.15
# Each stream is in reports for this many regular intervals, as one may get lost.
REPEATED_REPORTS = 3


class PeerLink:
    """The connections of one instance to its peers."""

    def __init__(self, state: InstanceState, address: str):
        self._state = state
        self._address = address
        settings = state.settings
        identity = PeerIdentity(settings.name, settings.data_centre, None)
        self._metrics = LocalMetrics()
        self._client = PeerClient(identity, self._metrics)
        self._server = PeerServer(address, identity, self._receive, self._metrics)
        self._incarnation = uuid.uuid4().hex[:12]
        self._sequence = 0
        self._report_requested = asyncio.Event()
        self._reports_streams = False
        self._controller: PlacementController | None = None
        self._store_relay: StoreRelay | None = None
        self._quarantine_sync: QuarantineSync | None = None
        self._asked: dict[str, asyncio.Future[str]] = {}
        self._prompt_timer: asyncio.TimerHandle | None = None
        state.on_request_queued = self._report_requested.set
        state.on_stream_begun = self._request_origin_report
        state.on_prompt_sent = self._schedule_prompt_announcement

    @property
    def counters(self) -> Mapping[str, int]:
        """Messages and bytes exchanged with peers so far, by name."""
        return self._metrics.counters

    def set_controller(self, controller: PlacementController) -> None:
        """Set the controller that receives reports and views."""
        self._controller = controller

    def set_store_relay(self, relay: StoreRelay) -> None:
        """Set the relay that receives what others know of the platform's store."""
        self._store_relay = relay

    def set_quarantine_sync(self, sync: QuarantineSync) -> None:
        """Set what receives messages about prompts that crash targets."""
        self._quarantine_sync = sync

    async def start(self) -> None:
        """Listen for peers."""
        await self._server.start()

    async def stop(self) -> None:
        """Close every connection."""
        await self._client.stop()
        await self._server.stop()

    async def run(self) -> None:
        """Send reports until cancelled: periodically and on queued requests."""
        while True:
            self._report_requested.clear()
            self._send_report()
            instances = self._state.instance_count
            await asyncio.sleep(min_report_interval_s(instances))
            try:
                async with asyncio.timeout(report_interval_s(instances)):
                    await self._report_requested.wait()
            except TimeoutError:
                continue

    def send(self, address: str, message: PeerMessage) -> None:
        """Send a message to an instance, or receive it if that is this one."""
        if address == self._address:
            self._receive(message)
        else:
            self._client.send(address, message)

    def send_store_changes(self, message: StoreChanges) -> None:
        """Send changes to all instances that report to this one.

        Changes that would fill the link for long are left to the others to fetch.
        """
        controller = self._controller
        if controller is None:
            return
        addresses = controller.reporting_addresses
        link_bytes_per_s = self._state.settings.link_bytes_per_s
        if len(message.content) * len(addresses) > link_bytes_per_s * MAX_RELAY_S:
            self._state.events.event(
                "store changes not sent", kind=message.kind, size=len(message.content)
            )
            controller.views.request()
            return
        self.send_to_others(addresses, message)

    async def ask_stream_origin(self, request_id: str) -> str:
        """Return the version that began a stream; empty if no instance tells."""
        fut = self._asked.get(request_id)
        if fut is None:
            fut = asyncio.get_running_loop().create_future()
            self._asked[request_id] = fut
            message = StreamOriginAsked(request_id, self._address)
            self.send_to_others(self._state.peers, message)
        try:
            async with asyncio.timeout(ORIGIN_TIMEOUT_S):
                return await asyncio.shield(fut)
        except TimeoutError:
            return ""
        finally:
            self._asked.pop(request_id, None)

    def _tell_stream_origin(self, asked: StreamOriginAsked) -> None:
        state = self._state
        software = state.stream_origins.find(asked.request_id, state.clock.now())
        if software and asked.address in state.peers:
            self._client.send(
                asked.address, StreamOriginTold(asked.request_id, software)
            )

    def _learn_stream_origin(self, told: StreamOriginTold) -> None:
        fut = self._asked.get(told.request_id)
        if fut is not None and not fut.done() and told.software:
            fut.set_result(told.software)

    def _schedule_prompt_announcement(self) -> None:
        """Announce sent prompts to the peers soon, several in one message."""
        if self._prompt_timer is None:
            loop = asyncio.get_running_loop()
            self._prompt_timer = loop.call_later(PROMPT_BATCH_S, self._announce_prompts)

    def _announce_prompts(self) -> None:
        self._prompt_timer = None
        state = self._state
        message = PromptsSent(
            state.settings.name,
            state.prefill_backlog.take_unannounced(),
            state.backlog.take_unannounced(),
        )
        self.send_to_others(state.peers, message)

    def _send_report(self) -> None:
        controller = self._controller
        if controller is None:
            return
        address = (
            self._address if controller.may_send_orders else controller.holder_address
        )
        if not address:
            return
        report = self._build_report()
        if address == self._address:
            controller.receive_report(report)
        else:
            self._client.send(address, report)

    def _build_report(self) -> EntryReport:
        state = self._state
        self._sequence += 1
        now_s = state.clock.now()
        waiting = state.waiting_by_item().items()
        resuming = state.resuming_by_item().items()
        running = state.running_requests.local.items()
        state.running_requests.mark_reported(self._sequence)
        return EntryReport(
            instance=state.settings.name,
            address=self._address,
            incarnation=self._incarnation,
            sequence=self._sequence,
            waiting={f"{service} {item}": n for (service, item), n in waiting},
            running={f"{t} {item or ''}": n for (t, item), n in running},
            fast_rates=state.demand.fast.per_thousand_s(now_s),
            slow_rates=state.demand.slow.per_thousand_s(now_s),
            unreached=state.unreachable_targets(),
            leaving=state.targets_out.leaving(),
            pressing_rates=state.demand.latency_critical.per_thousand_s(now_s),
            resuming={f"{service} {needed}": n for (service, needed), n in resuming},
            begun=self._begun_streams(now_s),
            limited=state.limited_targets.report(state.waiting_by_limited_target()),
            quota_use=quota_uses.pack(state.quota_sync.report(self._sequence)),
            quota_grant=state.quota_sync.quotas.grant_number,
            quota_instances=state.quota_sync.quotas.instances,
            config_version=state.config_versions.newest,
        )

    def _begun_streams(self, now_s: float) -> tuple[BegunStreams, ...]:
        """Return the recently begun streams, if several versions run."""
        self._reports_streams = self._state.runs_several_versions()
        if not self._reports_streams:
            return ()
        repeated_s = REPEATED_REPORTS * report_interval_s(self._state.instance_count)
        return self._state.stream_origins.begun_since(now_s - repeated_s)

    def _request_origin_report(self) -> None:
        """Send a report soon after a stream began, if several versions run."""
        if self._reports_streams:
            self._report_requested.set()

    def send_to_others(self, addresses: Iterable[str], message: PeerMessage) -> None:
        """Send a message to these instances, but not to this one."""
        for address in addresses:
            if address != self._address:
                self._client.send(address, message)

    def _receive(self, message: PeerMessage) -> None:
        match message:
            case EntryReport():
                self._state.note_config_version(message.config_version)
                if self._controller is not None:
                    self._controller.receive_report(message)
            case FleetView():
                if self._controller is not None and message.holder != (
                    self._controller.elector.identity
                ):
                    self._controller.receive_view(message)
                self._state.apply_view(message)
                self._state.quota_sync.apply_totals(message.quota_use)
                if self._store_relay is not None:
                    self._store_relay.receive_progress(message.store)
            case StoreChanges():
                if self._store_relay is not None:
                    self._store_relay.receive_changes(message)
            case StreamOriginAsked():
                self._tell_stream_origin(message)
            case StreamOriginTold():
                self._learn_stream_origin(message)
            case TargetCrashed() | PartsHarmless() | PartsQuarantined():
                if self._quarantine_sync is not None:
                    self._quarantine_sync.receive(message)
            case PermitsIssued():
                self._state.apply_permits(message)
            case QuotaGrants():
                self._state.quota_sync.apply_grants(message)
            case PromptsSent():
                self._state.record_remote_prompts(message)
