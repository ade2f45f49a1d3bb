"""Placement control: competes for the lease and sends orders to targets."""

from __future__ import annotations

import asyncio
import uuid
import zlib
from collections.abc import Callable, Coroutine, Mapping
from dataclasses import replace

from result import Err, Ok

from marjoramstage import platform
from marjoramstage._entry.instance_state import InstanceState
from marjoramstage._entry.permit_sender import PermitSender
from marjoramstage._entry.quota_sender import QuotaSender
from marjoramstage._entry.target_control import TargetControl
from marjoramstage._entry.view_sender import ViewSender
from marjoramstage.clock import seconds_since_boot
from marjoramstage.coordination.demand_snapshot import DemandSnapshot
from marjoramstage.coordination.instance_reports import InstanceReports
from marjoramstage.coordination.leases import (
    HOLDING,
    LeaseEffect,
    LeaseElector,
    LeaseRecord,
    LeaseTiming,
    ReadLease,
    WriteLease,
)
from marjoramstage.coordination.load_rate_limiter import LoadRateLimiter
from marjoramstage.coordination.peer_liveness import PeerLiveness
from marjoramstage.coordination.placement_planner import PlacementPlanner
from marjoramstage.coordination.target_state import TargetState
from marjoramstage.coordination.view_pacing import takeover_rank
from marjoramstage.protocol.control import Order, OrderAnswer
from marjoramstage.protocol.leases import LeaseHeld, LeaseLost
from marjoramstage.protocol.objects import Platform, PlatformFault, PlatformObject
from marjoramstage.protocol.peers import (
    BegunStreams,
    EntryReport,
    FleetView,
    PermitsIssued,
    QuotaGrants,
)
from marjoramstage.state.routes import RouteTable, Service
from marjoramstage.state.store_era import StoreEra
from marjoramstage.transport.target_client import TargetClient

LEASE_NAME = "placement"
TICK_S = 0.02
# The same while this instance gives no orders.
IDLE_TICK_S = 0.1
SUMMARY_INTERVAL_S = 2.0
# A new holder requests reports after this time, when they show the last orders
# of its predecessor.
TAKEOVER_REPORT_DELAY_S = 0.5
# How long a holder may send orders after its lease expired without a renewal.
UNRENEWED_GRACE_S = 30.0
# A holder that did nothing for this long was suspended: another may hold the lease.
MAX_STEP_GAP_S = 1.0
# A holder counts as alive for this time after its last view.
VIEW_TTL_S = 0.7
# An instance that heard from no other for this long may not know what they know.
IN_STEP_S = 1.0
CLOCK_MARGIN_S = 0.4
STAGGER_S = 0.3
# Part of the lease term that others wait before they take the lease, where
# targets reject old fencing numbers.
FENCED_TAKEOVER_FRACTION = 0.6


class PlacementController:
    """One instance's part in deciding which models and adapters targets hold.

    Every instance runs one and competes for the placement lease. The holder
    collects the reports of all instances, sends load and unload orders to targets,
    and broadcasts views of what targets hold.

    Parameters
    ----------
    send : callable
        Sends a message to the instance at an address.
    era : StoreEra
        Of ``store``.

    Attributes
    ----------
    views : ViewSender
        Sends views while this instance holds the lease.
    on_streams_begun : callable
        Called with the streams that a report names, while this holds the lease.
    """

    def __init__(
        self,
        state: InstanceState,
        store: Platform,
        target_client: TargetClient,
        address: str,
        send: Callable[[str, FleetView | PermitsIssued | QuotaGrants], None],
        era: StoreEra,
    ):
        self._state = state
        self._era = era
        era.on_rise(self._on_store_restored)
        self._store = store
        self._target_control = TargetControl(state, target_client)
        identity = f"{state.settings.name}/{uuid.uuid4().hex[:12]}"
        lease_s = state.settings.bounds.lease_s
        fenced = state.settings.bounds.checks_fence
        timing = LeaseTiming(
            term_s=lease_s,
            renew_s=lease_s / 3,
            margin_s=CLOCK_MARGIN_S,
            stagger_s=STAGGER_S,
            wait_s=lease_s * FENCED_TAKEOVER_FRACTION if fenced else None,
        )
        self.elector = LeaseElector(
            LEASE_NAME, identity, address, timing, state.settings.first_start
        )
        self._takeover_rank = takeover_rank(
            zlib.crc32(identity.encode()), state.settings.link_bytes_per_s
        )
        self._planners: dict[str, PlacementPlanner] = {}
        # Kept longer than the planners: the loads count whoever planned them.
        self._load_limiters: dict[str, LoadRateLimiter] = {}
        state.on_table(self._on_table)
        self._reports = InstanceReports()
        self._peer_liveness = PeerLiveness()
        self._isolated = False
        self._permits = PermitSender(state, identity, send)
        self._quotas = QuotaSender(state, identity, send)
        self.views = ViewSender(
            state,
            identity,
            self._reports,
            self._planners,
            send,
            self._permits.count_waiting,
            self._quotas.totals,
        )
        self._next_summary_s = 0.0
        self._view_received_s = -VIEW_TTL_S
        self._heard_holder_s = -IN_STEP_S
        self._orders_start_s = 0.0
        self._tasks: set[asyncio.Task] = set()
        self._polled_targets: set[str] = set()
        self._rejected_fence = 0
        self._fence = 0
        self._unrenewed_until_s = 0.0
        self._suspended = False
        self._last_step_s = seconds_since_boot()
        self._stopping = False
        self.on_streams_begun: Callable[[tuple[BegunStreams, ...]], None] = (
            lambda begun: None
        )

    @property
    def holder_address(self) -> str:
        """Return the address of the lease holder; empty if unknown."""
        record = self.elector.record
        return record.address if record is not None and record.holder else ""

    @property
    def reporting_addresses(self) -> tuple[str, ...]:
        """Return the addresses of the instances that report to this one."""
        return self._reports.addresses

    @property
    def reporting_instances(self) -> set[str]:
        """Return the names of the instances that report to this one."""
        return set(self._reports.sequences)

    @property
    def may_send_orders(self) -> bool:
        """Whether this instance may send orders now.

        Where targets reject old fencing numbers, a holder that can't renew its
        lease continues until another instance has taken it: the store may be
        unreachable for all instances, and once a successor has sent its first
        order to a target, that target rejects the former holder.

        One that was suspended meanwhile sends none before its lease is renewed.
        """
        if self._suspended:
            return False
        now_s = seconds_since_boot()
        return now_s < self.elector.valid_until_s or now_s < self._unrenewed_until_s

    async def run(self) -> None:
        """Acquire and renew the lease, and send orders, until cancelled."""
        # After a failure what a planner knows may be incomplete; it starts anew.
        self._planners.clear()
        while True:
            now_s = seconds_since_boot()
            self._note_step(now_s)
            if not self._holder_is_live(now_s) or self.elector.state == HOLDING:
                self._apply_effects(self.elector.tick(self._takeover_rank, now_s))
            if self.may_send_orders and not self._is_isolated(now_s):
                self.run_placement(now_s)
            await asyncio.sleep(TICK_S if self.may_send_orders else IDLE_TICK_S)

    def _note_step(self, now_s: float) -> None:
        """Pause orders if this process was suspended since the step before."""
        gap_s, self._last_step_s = now_s - self._last_step_s, now_s
        gives_orders = self._orders_start_s > 0
        if gap_s <= MAX_STEP_GAP_S or not gives_orders:
            return
        self._suspended = True
        self._state.events.event(
            "suspended while holding the lease",
            fence=self._fence,
            gap_s=round(gap_s, 1),
        )

    async def stop(self) -> None:
        """Release the lease."""
        held = self.may_send_orders
        self._stopping = True
        effects = self.elector.stop(seconds_since_boot())
        if held:
            self._stop_orders()
        for effect in effects:
            if isinstance(effect, WriteLease):
                await self._write_lease(effect.record)
        for task in list(self._tasks):
            task.cancel()

    def receive_report(self, report: EntryReport) -> None:
        """Store the report of an instance."""
        if report.begun and self.may_send_orders:
            self.on_streams_begun(report.begun)
        now_s = seconds_since_boot()
        if not self._reports.add(report, now_s):
            return
        self._permits.receive_report(report)
        if self.may_send_orders:
            self._quotas.receive_report(report)
        if report.instance != self._state.settings.name:
            self._peer_liveness.heard(report.instance, now_s)

    def is_in_step(self) -> bool:
        """Whether this instance hears from the holder, or holds and hears the others.

        What the others know of the targets is then known here too, even while the
        store is away.
        """
        now_s = seconds_since_boot()
        if now_s - self._heard_holder_s <= IN_STEP_S:
            return True
        return self.may_send_orders and not self._peer_liveness.is_isolated(now_s)

    def receive_view(self, view: FleetView) -> None:
        """Note that another instance holds the lease, or that it ended."""
        self._heard_holder_s = seconds_since_boot()
        if view.fence > self._fence:
            self._on_displaced("received a view with a higher fencing number")
        if view.ended:
            self._view_received_s = -VIEW_TTL_S
            self.elector.on_holder_ended(view.holder, view.fence)
            return
        self._view_received_s = seconds_since_boot()

    def _holder_is_live(self, now_s: float) -> bool:
        """Whether a holder sent a view lately; the lease need not be read."""
        return now_s - self._view_received_s < VIEW_TTL_S

    def _is_isolated(self, now_s: float) -> bool:
        """Whether a holder that can't renew has also lost most other instances.

        It is then itself partitioned from them, and another instance can take the
        lease and send orders that this one doesn't know of.
        """
        isolated = self._unrenewed_until_s > 0 and self._peer_liveness.is_isolated(
            now_s
        )
        if isolated != self._isolated:
            self._isolated = isolated
            name = "orders paused" if isolated else "orders resumed"
            self._state.events.event(name, fence=self._fence)
        return isolated

    # Lease

    def _apply_effects(self, effects: list[LeaseEffect]) -> None:
        for effect in effects:
            match effect:
                case ReadLease():
                    self._spawn("lease call", self._call_store, self._read_lease)
                case WriteLease(record):
                    self._spawn(
                        "lease call", self._call_store, self._write_lease, record
                    )
                case LeaseHeld(fence=fence):
                    self._on_lease_held(fence)
                case LeaseLost():
                    self._on_lease_lost()

    def _on_lease_held(self, fence: int) -> None:
        self._fence = fence
        self._suspended = False
        # The store shows that this instance isn't the one that is cut off.
        self._peer_liveness.forget_silent(seconds_since_boot())
        if self._unrenewed_until_s:
            self._unrenewed_until_s = 0.0
            self._state.events.event("lease renewed late", fence=fence)
        if self._orders_start_s == 0.0:
            self._start_orders(fence)

    def _on_lease_lost(self) -> None:
        """Continue without a valid lease unless another instance has it."""
        record = self.elector.record
        displaced = record is None or record.holder != self.elector.identity
        fenced = self._state.settings.bounds.checks_fence
        if displaced or self._stopping or self._suspended or not fenced:
            self._stop_orders()
            return
        now_s = seconds_since_boot()
        self._unrenewed_until_s = now_s + UNRENEWED_GRACE_S
        self._state.events.event("lease not renewed", fence=self._fence)
        self._send_view(now_s)

    def _on_displaced(self, reason: str) -> None:
        """Stop sending orders: another instance holds the lease."""
        if self._unrenewed_until_s:
            self._state.events.event("lease taken over", reason=reason)
            self._unrenewed_until_s = 0.0
            self._stop_orders()

    def _start_orders(self, fence: int) -> None:
        """Start sending orders, once no earlier holder can send any."""
        now_s = seconds_since_boot()
        bounds = self._state.settings.bounds
        wait_s = bounds.lease_s if fence > 1 and not bounds.checks_fence else 0.0
        self._orders_start_s = now_s + wait_s
        self._planners.clear()
        self.views.begin(now_s)
        self._permits.start()
        self._quotas.start(fence)
        self._state.events.event("lease acquired", fence=fence, orders_in_s=wait_s)

    def _stop_orders(self) -> None:
        self._orders_start_s = 0.0
        self._suspended = False
        self._unrenewed_until_s = 0.0
        self._send_view(seconds_since_boot(), ended=True)
        self._state.events.event("lease lost", fence=self._fence)

    def _on_store_restored(self, era: int) -> None:
        """Give up the lease, which the store may have lost, and take it anew."""
        effects = self.elector.on_restored(era, seconds_since_boot())
        self._on_displaced("the store was restored")
        self._apply_effects(effects)

    def _send_view(self, now_s: float, ended: bool = False) -> None:
        """Send a view now; without a valid lease it says that another may take it."""
        self.views.send(now_s, self._fence, ended or self._unrenewed_until_s > 0)

    async def _call_store(
        self, call: Callable[..., Coroutine[None, None, None]], *args: LeaseRecord
    ) -> None:
        """Make a call about the lease; a fault of this program counts as failed."""
        try:
            await call(*args)
        except Exception:
            self._apply_effects(self.elector.on_failed(seconds_since_boot()))
            raise

    async def _read_lease(self) -> None:
        found = await self._store.get(platform.LEASES, LEASE_NAME)
        now_s = seconds_since_boot()
        self.elector.era = self._era.current
        match found:
            case Ok(obj):
                effects = self.elector.on_read(_decode_lease(obj), now_s)
                if self.elector.record.holder not in ("", self.elector.identity):
                    self._on_displaced("lease record names another holder")
            case Err(error) if error.fault is PlatformFault.NOT_FOUND:
                effects = self.elector.on_read(None, now_s)
            case Err(error):
                self._state.events.event("lease read failed", reason=error.message)
                effects = self.elector.on_failed(now_s)
        self._apply_effects(effects)

    async def _write_lease(self, record: LeaseRecord) -> None:
        call = self._store.update if record.version else self._store.create
        written = await call(_encode_lease(record))
        now_s = seconds_since_boot()
        match written:
            case Ok(obj):
                effects = self.elector.on_written(_decode_lease(obj), now_s)
            case Err(error) if error.fault in (
                PlatformFault.CONFLICT,
                PlatformFault.EXISTS,
            ):
                effects = self.elector.on_conflict(now_s)
            case Err(error):
                self._state.events.event("lease write failed", reason=error.message)
                effects = self.elector.on_failed(now_s)
        self._apply_effects(effects)

    # Orders

    def run_placement(self, now_s: float) -> None:
        """Send the orders and the view that are due."""
        table = self._state.table
        if table is None or not self._state.targets_listed:
            return
        demand = self._reports.demand(table.services, now_s)
        limits = self._state.limited_targets.limits()
        limits_by_name = {name: per_s for (name, _), per_s in limits.items()}
        changed = False
        for service in table.services.values():
            if service.engine is None:
                continue
            planner = self._planner(service, now_s)
            planner.limits = limits_by_name
            self._poll_targets(planner, now_s)
            if now_s < self._orders_start_s:
                continue
            for order in planner.plan_orders(demand[service.name], now_s):
                changed = True
                self._spawn("order", self._execute_order, planner, order)
        if changed:
            self.views.request()
        self._permits.issue(self._fence, limits)
        self.views.send_if_due(now_s, self._fence, self._unrenewed_until_s > 0)
        if now_s >= self._next_summary_s:
            self._next_summary_s = now_s + SUMMARY_INTERVAL_S
            self._log_summary(demand, now_s)

    def _planner(self, service: Service, now_s: float) -> PlacementPlanner:
        planner = self._planners.get(service.name)
        if planner is None:
            planner = self._new_planner(service, now_s)
            self._planners[service.name] = planner
        planner.usable_slots = self._state.usable_slots(
            service.name, service.engine.slots
        )
        targets = self._state.fleet.of_service(service.name)
        planner.update_targets((t for t in targets if t.items is not None), now_s)
        planner.paused = frozenset(
            state.target.name
            for state in planner.target_states.values()
            if self._state.pause_left_s(state.target) > 0
        )
        return planner

    def _new_planner(self, service: Service, now_s: float) -> PlacementPlanner:
        """Return a planner; targets report the orders of one before it with a delay."""
        limiter = self._load_limiters.get(service.name)
        is_first = self._fence <= 1 and limiter is None
        if limiter is None:
            bounds = self._state.settings.bounds
            limiter = LoadRateLimiter(
                service.engine.loads_per_s, bounds.load_window_s, bounds.load_headroom
            )
            self._load_limiters[service.name] = limiter
        limiter.replace_rate(service.engine.loads_per_s)
        first_report_s = now_s if is_first else now_s + TAKEOVER_REPORT_DELAY_S
        return PlacementPlanner(service.engine, limiter, first_report_s)

    def _on_table(self, table: RouteTable) -> None:
        """Bring the planners up to a new version; end those of dropped services."""
        for name, planner in list(self._planners.items()):
            engine = table.engine(name)
            # One that fails here is not kept: the next step makes another.
            del self._planners[name]
            if engine is None:
                self._state.events.event("placement ended", service=name)
                continue
            planner.replace_spec(engine)
            self._planners[name] = planner
        now_s = seconds_since_boot()
        for name, limiter in list(self._load_limiters.items()):
            if table.engine(name) is None and limiter.is_idle(now_s):
                del self._load_limiters[name]

    def _poll_targets(self, planner: PlacementPlanner, now_s: float) -> None:
        for target_state in planner.target_states.values():
            name = target_state.target.name
            if name in planner.paused:
                continue
            if name in self._polled_targets or not target_state.needs_report(now_s):
                continue
            self._polled_targets.add(name)
            self._spawn("target report", self._poll_target, planner, target_state)

    async def _poll_target(
        self, planner: PlacementPlanner, polled: TargetState
    ) -> None:
        target = polled.target
        try:
            report = await self._target_control.fetch_report(target)
        except Exception:
            polled.record_missing_report(seconds_since_boot())
            raise
        finally:
            self._polled_targets.discard(target.name)
        now_s = seconds_since_boot()
        target_state = planner.target_states.get(target.name)
        if (
            target_state is None
            or target_state.target.incarnation != target.incarnation
        ):
            return
        if report is None:
            target_state.record_missing_report(now_s)
            return
        known = target_state.known
        resend = target_state.record_report(report, now_s)
        if resend is not None and self.may_send_orders:
            self._spawn("order", self._execute_order, planner, resend)
        if not known or target_state.pending is None:
            self.views.request()

    async def _execute_order(self, planner: PlacementPlanner, order: Order) -> None:
        """Send an order to its target and record the outcome."""
        target = self._state.fleet.targets.get(order.target)
        target_state = planner.target_states.get(order.target)
        if target is None or target_state is None:
            return
        # The configuration may have changed since the order was planned.
        too_large = order.load and target_state.free_mb() < 0
        paused = too_large or self._state.pause_left_s(target) > 0
        if paused or not self.may_send_orders or self._rejected_fence == self._fence:
            target_state.record_answer(OrderAnswer.NOT_SENT, seconds_since_boot())
            return
        fenced_order = replace(order, holder=self.elector.identity, fence=self._fence)
        sent_s = seconds_since_boot()
        answer = await self._target_control.send_order(target, fenced_order)
        if answer is OrderAnswer.FENCED:
            self._rejected_fence = fenced_order.fence
            self._on_displaced("a target rejected the fencing number")
        now_s = seconds_since_boot()
        if planner.target_states.get(order.target) is target_state:
            target_state.record_answer(answer, now_s)
        self._state.events.event(
            "order answered",
            target=order.target,
            item=str(order.item),
            load=order.load,
            count=order.order_count,
            fence=fenced_order.fence,
            answer=answer.value,
            took_ms=round((now_s - sent_s) * 1000, 1),
        )
        self.views.request()

    def _log_summary(self, demand: Mapping[str, DemandSnapshot], now_s: float) -> None:
        """Log what each target holds and runs as known to this instance."""
        for service, planner in self._planners.items():
            targets = {}
            for name, target_state in planner.target_states.items():
                models = {
                    item.model: f"{target_state.items[item].state.value} "
                    f"{demand[service].running_for_model_at(name, item.model)}"
                    for item in target_state.models()
                }
                targets[name] = models
                targets[name]["at_hand"] = sorted(
                    target_state.in_memory | target_state.on_disk
                )
            waiting = demand[service].waiting_by_model
            blocked = {
                item.model: f"{waiting[item.model]} waiting, blocked for "
                f"{planner.blocked_for_s(item, now_s):.1f} s: {reason.value}"
                for item, reason in planner.blocked.items()
            }
            self._state.events.summary(
                "placement",
                service=service,
                targets=targets,
                idle_targets=planner.count_idle(),
                blocked=blocked,
            )

    def _spawn(
        self,
        name: str,
        run: Callable[..., Coroutine[None, None, None]],
        *args: LeaseRecord | PlacementPlanner | TargetState | Order,
    ) -> None:
        task = self._state.background.start(name, run, *args)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)


def _decode_lease(obj: PlatformObject) -> LeaseRecord:
    spec = obj.spec or {}
    return LeaseRecord(
        shard=LEASE_NAME,
        holder=str(spec.get("holder") or ""),
        fence=int(spec.get("fence") or 0),
        renewals=int(spec.get("renewals") or 0),
        version=obj.version,
        address=str(spec.get("address") or ""),
        era=int(spec.get("era") or 0),
    )


def _encode_lease(record: LeaseRecord) -> PlatformObject:
    spec = {
        "holder": record.holder,
        "fence": record.fence,
        "renewals": record.renewals,
        "address": record.address,
        "era": record.era,
    }
    return PlatformObject(platform.LEASES, LEASE_NAME, spec, record.version)
