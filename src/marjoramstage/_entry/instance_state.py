"""What an instance knows: routes, targets, running and queued requests."""

from __future__ import annotations

import asyncio
import random
from collections import Counter
from collections.abc import Callable, Iterable, Mapping
from dataclasses import replace

from marjoramstage._entry.background_tasks import BackgroundTasks
from marjoramstage._entry.event_log import EventLog
from marjoramstage._entry.limited_targets import LimitedTargets
from marjoramstage._entry.quota_sync import QuotaSync
from marjoramstage._entry.targets_out import TargetsOut
from marjoramstage.clock import Clock
from marjoramstage.coordination.config_versions import ConfigVersions
from marjoramstage.coordination.demand_rates import DemandRates
from marjoramstage.coordination.dispatcher import (
    Dispatcher,
    HolderCounts,
    RunningRequests,
    ServableItems,
    TargetCriteria,
)
from marjoramstage.coordination.named_limits import NamedLimits
from marjoramstage.coordination.part_quarantine import PartQuarantine
from marjoramstage.coordination.prefill_backlog import PrefillBacklog
from marjoramstage.coordination.request_permits import RequestPermits
from marjoramstage.coordination.request_sizes import RequestSizes
from marjoramstage.coordination.retry_budget import SharedRetryBudget
from marjoramstage.coordination.stream_origins import SoftwareHistory, StreamOrigins
from marjoramstage.coordination.target_assessment import Assessment
from marjoramstage.coordination.target_backlog import TargetBacklog
from marjoramstage.coordination.target_health import TargetHealth
from marjoramstage.coordination.target_notices import TargetNotices
from marjoramstage.coordination.wait_queue import Waiter, WaitingGroup, WaitQueue
from marjoramstage.protocol.peers import (
    FleetView,
    HeldItems,
    PermitsIssued,
    PromptsSent,
    StoreProgress,
)
from marjoramstage.state.customers import CustomerProblem
from marjoramstage.state.fleet import Fleet, FleetTarget, Item, ItemVersion
from marjoramstage.state.node_settings import NodeSettings
from marjoramstage.state.routes import RouteTable

ASSIGNMENT_DELAY_S = 0.01
# Part of the users' bound on new versions of the routes for which an instance may lack
# a version that others have. The rest is for the first of them to learn of it.
MAX_BEHIND_SHARE = 0.5
# Customers that were left out, in one log line.
PROBLEMS_PER_LINE = 100
# A retry is expected for this long after the time that its caller was told.
RETRY_SLACK_S = 0.3
# A holder that stores the origins of streams counts as such after its last view.
ORIGINS_KEPT_S = 1.5


class InstanceState:
    """State shared by the parts of one instance.

    Attributes
    ----------
    background : BackgroundTasks
        Runs background tasks and restarts those that fail.
    table : RouteTable or None
        The routes in force; None until the first version is known.
    targets_listed : bool
        The targets have been listed at least once.
    notices : TargetNotices
        What targets said of themselves in their answers.
    targets_out : TargetsOut
        Takes note of it.
    limits : NamedLimits
        Limits on the rate of requests that targets named in their answers.
    permits : RequestPermits
        Permits to send requests to such targets.
    limited_targets : LimitedTargets
        Takes note of them.
    quota_sync : QuotaSync
        Admits requests by the quotas of their customers.
    stopping : bool
        Shutdown has begun.
    stopping_s : float
        When the shutdown began.
    closed : bool
        No new requests are accepted.
    instance_count : int
        Number of live instances as the holder of the lease last told; 0 before.
    on_request_queued : callable
        Called when a request starts to wait for a target.
    on_prompt_sent : callable
        Called when a prompt is sent to a target.
    on_stream_begun : callable
        Called when the first event of a stream was relayed.
    is_in_step : callable
        Returns whether this instance is likely to know the targets that others know.
    store_progress : callable
        Returns how much is known of the platform's store.
    keeps_origins : callable
        Returns whether this instance stores the streams that reports name.
    """

    def __init__(self, settings: NodeSettings, clock: Clock, events: EventLog):
        self.settings = settings
        self.clock = clock
        self.events = events
        self.background = BackgroundTasks(clock, events)
        self.table: RouteTable | None = None
        self.config_versions = ConfigVersions()
        self._table_listeners: list[Callable[[RouteTable], None]] = []
        self.fleet = Fleet()
        self.targets_listed = False
        self.stopping = False
        self.stopping_s = 0.0
        self.closed = False
        self.servable_items = ServableItems()
        self.running_requests = RunningRequests()
        self.health = TargetHealth()
        self.notices = TargetNotices()
        self.targets_out = TargetsOut(
            self.fleet, self.notices, clock, events, self.schedule_assignment
        )
        self.limits = NamedLimits()
        self.permits = RequestPermits(self.limits, random.Random(), clock.now())
        self.limited_targets = LimitedTargets(
            self.fleet,
            self.limits,
            self.permits,
            clock,
            events,
            self._on_limits_changed,
        )
        self.quota_sync = QuotaSync(
            settings.bounds,
            clock,
            events,
            lambda: self.table,
            lambda: self.on_request_queued(),
        )
        self.prefill_backlog = PrefillBacklog()
        self.backlog = TargetBacklog()
        self.demand = DemandRates()
        self.peers: tuple[str, ...] = ()
        self.on_request_queued: Callable[[], None] = lambda: None
        self.on_prompt_sent: Callable[[], None] = lambda: None
        self.store_progress: Callable[[], tuple[StoreProgress, ...]] = lambda: ()
        self.on_stream_begun: Callable[[], None] = lambda: None
        self.keeps_origins: Callable[[], bool] = lambda: False
        self.is_in_step: Callable[[], bool] = lambda: True
        self._origins_kept_until_s = 0.0
        self.stream_origins = StreamOrigins()
        self.software = SoftwareHistory(clock.now())
        self.quarantine = PartQuarantine()
        self._expected_retries: list[tuple[float, TargetCriteria]] = []
        self._budgets: dict[str, SharedRetryBudget] = {}
        self._request_sizes: dict[str, RequestSizes] = {}
        self.instance_count = 0
        self._last_view: tuple[str, int, int] = ("", 0, 0)
        self._load_etas: tuple[float, Mapping[str, int]] = (0.0, {})
        self._dispatcher = Dispatcher(
            settings.data_centre,
            self.servable_items,
            self.running_requests,
            self.health,
            self.prefill_backlog,
            random.Random(),
            self.notices,
            self.permits,
            self.backlog,
        )
        self.wait_queue = WaitQueue(self.acquire_slot)
        self._assignment_timer: asyncio.TimerHandle | None = None

    @property
    def ready(self) -> bool:
        """Whether requests can be served."""
        return self.table is not None and self.targets_listed and not self.stopping

    def acquire_slot(self, criteria: TargetCriteria) -> FleetTarget | None:
        """Occupy a slot at the best target; None if none has a free one."""
        now_s = self.clock.now()
        targets = self.fleet.of_service(criteria.service)
        target = self._dispatcher.choose(criteria, targets, now_s)
        if target is None:
            return None
        self.permits.use(target, now_s)
        self.running_requests.begin(target.name, criteria.item)
        if criteria.item is not None:
            self._record_prompt(target, criteria, now_s)
        return target

    def _record_prompt(
        self, target: FleetTarget, criteria: TargetCriteria, now_s: float
    ) -> None:
        """Record what a target has to do for a request, and tell the others."""
        tokens = criteria.tokens
        if criteria.work is not None:
            before_s = self.prefill_backlog.backlog_s(target.name, now_s)
            estimate = self.backlog.record_sent(target, criteria.work, before_s, now_s)
            tokens = estimate.uncached_tokens
        self.prefill_backlog.record_sent(target.name, tokens, now_s)
        self.on_prompt_sent()

    def assess(self, criteria: TargetCriteria) -> list[Assessment]:
        """Return how each target of a service looks for a request now."""
        targets = self.fleet.of_service(criteria.service)
        return self._dispatcher.assess(criteria, targets, self.clock.now())

    def release_slot(self, target: FleetTarget, criteria: TargetCriteria) -> None:
        """Release a slot at a target."""
        self.running_requests.end(target.name, criteria.item)
        if criteria.work is not None:
            self.backlog.record_ended(target.name, criteria.work)
        self.schedule_assignment()

    def eligible(self, criteria: TargetCriteria) -> list[FleetTarget]:
        """Return the targets that meet the criteria, whether full or not."""
        targets = self.fleet.of_service(criteria.service)
        return self._dispatcher.eligible(criteria, targets, self.clock.now())

    def note_wanted(self, criteria: TargetCriteria) -> None:
        """Record that a request arrived, for the limits of the targets it can use."""
        if self.limits.any_named():
            self.limited_targets.want(self.eligible(criteria))

    def turn_s(self, waiter: Waiter) -> float:
        """Return the expected time until limited targets take a waiting request."""
        ahead, waiting = self.wait_queue.position(waiter)
        targets = self.eligible(waiter.criteria)
        waited_s = self.clock.now() - waiter.joined_s
        return self.limited_targets.turn_s(targets, ahead, waiting, waited_s)

    def waiting_by_limited_target(self) -> dict[str, WaitingGroup]:
        """Return the queued requests that each target with a limit could serve."""
        found: dict[str, WaitingGroup] = {}
        if not self.limits.any_named():
            return found
        for criteria, group in self.wait_queue.by_need().items():
            for target in self.eligible(criteria):
                if self.limits.per_s(target) is not None:
                    total = found.setdefault(target.name, WaitingGroup())
                    total.add(group.count, group.oldest_s)
        return found

    def _on_limits_changed(self) -> None:
        """Send what a limit held back, and report soon what has changed."""
        self.schedule_assignment()
        self.on_request_queued()

    def schedule_assignment(self) -> None:
        """Schedule the next assignment of targets to queued requests."""
        if self._assignment_timer is None and len(self.wait_queue):
            loop = asyncio.get_running_loop()
            self._assignment_timer = loop.call_later(
                ASSIGNMENT_DELAY_S, self._assign_waiting
            )

    def retry_budget(self, service: str) -> SharedRetryBudget:
        """Return this instance's part of a service's retry budget."""
        found = self._budgets.get(service)
        if found is None:
            bounds = self.settings.bounds
            found = self._budgets[service] = SharedRetryBudget(
                bounds.retry_ratio, bounds.retry_extra, bounds.retry_window_s
            )
            if self.instance_count:
                found.instances = self.instance_count
        return found

    def record_size(self, service: str, tokens: int) -> None:
        """Record the prompt and the longest answer of a request for a model."""
        self._request_sizes.setdefault(service, RequestSizes()).record(tokens)

    def usable_slots(self, service: str, slots: int) -> int:
        """Return how many requests a target with so many slots can run at once."""
        sizes = self._request_sizes.get(service)
        spec = self.table.services.get(service) if self.table is not None else None
        if sizes is None or spec is None or spec.engine is None:
            return slots
        return sizes.usable_slots(slots, spec.engine.context_tokens)

    def on_table(self, func: Callable[[RouteTable], None]) -> None:
        """Call ``func`` with each version of the routes that comes into force.

        Whatever keeps something that it built from a version is told here, and
        brings it up to date. All else reads ``table`` each time.
        """
        self._table_listeners.append(func)

    def apply_routes(self, table: RouteTable) -> None:
        """Put a version of the routes into force; ignore an older one."""
        if self.table is not None and table.version <= self.table.version:
            return
        before = self.table.version if self.table else None
        known = set(self._problems())
        self.table = table
        has_customers = table.customers is not None
        self.config_versions.applied(table.version, has_customers)
        self.events.event(
            "routes accepted",
            version=table.version,
            before=before,
            routes=len(table.routes),
            customers=len(table.customers.by_name) if has_customers else None,
        )
        self._log_problems([p for p in self._problems() if p not in known])
        self._forget_dropped(table)
        for func in self._table_listeners:
            try:
                func(table)
            except Exception as exc:
                self.background.note_failure("routes accepted", exc)
        self.schedule_assignment()

    def _forget_dropped(self, table: RouteTable) -> None:
        """Forget what was learned of services and models that a version drops.

        A retry budget stays while retries count in it: the service may come back.
        """
        now_s = self.clock.now()
        for name in [name for name in self._budgets if name not in table.services]:
            if self._budgets[name].is_idle(now_s):
                del self._budgets[name]
        for name in [name for name in self._request_sizes if not table.engine(name)]:
            del self._request_sizes[name]
        self.demand.retain(
            {
                f"{service.name} {model}"
                for service in table.services.values()
                if service.engine is not None
                for model in service.engine.models
            }
        )

    def note_config_version(self, version: int) -> None:
        """Note a version of the routes that is in force at another instance."""
        self.config_versions.told(version, self.clock.now())

    def config_is_outdated(self) -> bool:
        """Whether others have had a newer version of the routes for too long."""
        max_behind_s = MAX_BEHIND_SHARE * self.settings.bounds.config_s
        return self.config_versions.is_outdated(self.clock.now(), max_behind_s)

    def _problems(self) -> tuple[CustomerProblem, ...]:
        """Return which customers of the routes in force were left out."""
        customers = self.table.customers if self.table is not None else None
        return customers.problems if customers is not None else ()

    def _log_problems(self, problems: list[CustomerProblem]) -> None:
        """Log which customers were left out; in few lines, as all may be invalid."""
        for begin in range(0, len(problems), PROBLEMS_PER_LINE):
            part = problems[begin : begin + PROBLEMS_PER_LINE]
            self.events.summary(
                "customers left out",
                version=self.table.version,
                left_out=[f"{problem.name}: {problem.reason}" for problem in part],
            )

    def put_target(self, target: FleetTarget) -> None:
        """Add or update a target."""
        before = self.fleet.targets.get(target.name)
        if before is not None and before.incarnation == target.incarnation:
            # A restored store may list it as before it announced that it leaves.
            target = replace(target, leaving=target.leaving or before.leaving)
        target = self.targets_out.apply(target)
        if before is not None and before.software != target.software:
            self.software.record(before.service, before.software, self.clock.now())
        if before is not None and before.incarnation != target.incarnation:
            self.backlog.forget(target.name)
        self.fleet.put(target)
        if before is None or before.leaving != target.leaving:
            self.events.event(
                "target updated",
                target=target.name,
                service=target.service,
                address=target.address,
                leaving=target.leaving,
            )
        self.schedule_assignment()

    def remove_target(self, name: str, confirmed: bool) -> None:
        """Remove a target; mark it missing if its deletion isn't confirmed."""
        target = self.fleet.targets.get(name)
        if target is not None:
            self.software.record(target.service, target.software, self.clock.now())
        self.fleet.remove(name, confirmed)
        if confirmed:
            self.notices.forget_unnumbered(name)
            self.health.forget(name)
            self.limits.forget(name)
            self.permits.forget(name)
            self.prefill_backlog.forget(name)
            self.backlog.forget(name)
        self.events.event("target removed", target=name, settled=confirmed)

    def takes_requests(self, target: FleetTarget) -> bool:
        """Whether a target wants requests, as far as it said itself."""
        return self.notices.takes_requests(target, self.clock.now())

    def pause_left_s(self, target: FleetTarget) -> float:
        """Return how much longer a target wants no requests of this instance."""
        return self.notices.pause_left_s(target, self.clock.now())

    def shortest_pause_s(self, criteria: TargetCriteria) -> float | None:
        """Return when the first target that asked for a pause takes requests again."""
        targets = self.fleet.of_service(criteria.service)
        return self._dispatcher.shortest_pause_s(criteria, targets, self.clock.now())

    def count_holders(self, criteria: TargetCriteria) -> HolderCounts:
        """Count the targets that hold what a request requires, usable or not."""
        targets = self.fleet.of_service(criteria.service)
        return self._dispatcher.count_holders(criteria, targets)

    def services_with_resumable_streams(self) -> list[str]:
        """Return the services whose streams callers may take up, sorted."""
        return [] if self.table is None else self.table.resumable_services()

    def software_versions(self, service: str) -> tuple[str, ...]:
        """Return the versions of a service's targets of late, sorted."""
        present = [target.software for target in self.fleet.of_service(service)]
        return self.software.versions(service, present, self.clock.now())

    def sole_software(self, service: str) -> str:
        """Return the only version of a service's targets of late; empty if several."""
        versions = self.software_versions(service)
        return versions[0] if len(versions) == 1 else ""

    def recent_versions(self) -> dict[str, tuple[str, ...]]:
        """Return the recent versions of each service with resumable streams."""
        return {
            service: names
            for service in self.services_with_resumable_streams()
            if (names := self.software_versions(service))
        }

    def runs_several_versions(self) -> bool:
        """Whether a service with resumable streams recently ran several versions."""
        return any(len(names) > 1 for names in self.recent_versions().values())

    def origins_are_kept(self) -> bool:
        """Whether the holder of the lease stores the streams that reports name."""
        return self.clock.now() < self._origins_kept_until_s

    def apply_view(self, view: FleetView) -> None:
        """Apply a view sent by the holder of the placement lease."""
        position = (view.holder, view.fence, view.sequence)
        if position[1:] <= self._last_view[1:]:
            return
        if position[0] != self._last_view[0]:
            self.events.event(
                "placement holder changed", holder=position[0], fence=view.fence
            )
        self._last_view = position
        running = self._apply_held(view.held)
        if view.partial:
            self.schedule_assignment()
            return
        self.note_config_version(view.config_version)
        self.instance_count = max(1, view.instances)
        self.peers = view.peers
        kept_s = ORIGINS_KEPT_S if view.keeps_origins and not view.ended else 0.0
        self._origins_kept_until_s = self.clock.now() + kept_s
        for retry_budget in self._budgets.values():
            retry_budget.instances = self.instance_count
        self.permits.instances = self.instance_count
        self.limited_targets.apply_view(view.limited, self.waiting_by_limited_target())
        own_report = view.reported.get(self.settings.name, 0)
        self.running_requests.set_running(running, own_report)
        self.backlog.learn(self.clock.now())
        self._load_etas = (self.clock.now(), view.coming_ms)
        self.schedule_assignment()

    def apply_permits(self, issued: PermitsIssued) -> None:
        """Add permits from the holder of the placement lease, not from an earlier."""
        if issued.fence >= self._last_view[1]:
            self.limited_targets.apply_permits(issued.permits)
            self.schedule_assignment()

    def _apply_held(self, entries: Iterable[HeldItems]) -> dict[str, int]:
        """Note what targets hold; return the requests that run at each."""
        running = {}
        for held in entries:
            items = frozenset(_parse_item(text) for text in held.items)
            self.servable_items.update(held.target, held.incarnation, items)
            running[held.target] = held.running
        return running

    def record_remote_prompts(self, sent: PromptsSent) -> None:
        """Record the prompts that another instance sent to known targets."""
        now_s, targets = self.clock.now(), self.fleet.targets
        known = {t: n for t, n in sent.tokens.items() if t in targets}
        self.prefill_backlog.record_remote(known, now_s)
        work_ms = {t: n for t, n in sent.work_ms.items() if t in targets}
        self.backlog.record_remote(work_ms, now_s)

    def eta_s(self, criteria: TargetCriteria) -> float | None:
        """Return the expected time until an item is held; None if unknown."""
        received_s, coming = self._load_etas
        needed = criteria.item_version or criteria.item
        coming_ms = coming.get(f"{criteria.service} {needed}")
        if coming_ms is None:
            return None
        return max(0.0, received_s + coming_ms * 0.001 - self.clock.now())

    def expect_retry(self, criteria: TargetCriteria, after_s: float) -> None:
        """Expect the caller of a refused request to retry it after a while."""
        if criteria.item is not None:
            until_s = self.clock.now() + after_s + RETRY_SLACK_S
            self._expected_retries.append((until_s, criteria))

    def waiting_by_item(self) -> Counter[tuple[str, Item]]:
        """Count the queued requests and expected retries of each item."""
        found = self.wait_queue.count_by_item()
        for criteria in self._retries_to_come():
            found[criteria.service, criteria.item] += 1
        return found

    def resuming_by_item(self) -> Counter[tuple[str, ItemVersion]]:
        """Count those of `waiting_by_item` that need one version of a target."""
        found = self.wait_queue.count_resuming()
        for criteria in self._retries_to_come():
            if criteria.item_version is not None:
                found[criteria.service, criteria.item_version] += 1
        return found

    def _retries_to_come(self) -> list[TargetCriteria]:
        now_s = self.clock.now()
        self._expected_retries = [
            entry for entry in self._expected_retries if entry[0] > now_s
        ]
        return [criteria for _, criteria in self._expected_retries]

    def unreachable_targets(self) -> tuple[str, ...]:
        """Return the targets to which connections failed lately."""
        now_s = self.clock.now()
        names = self.fleet.targets
        return tuple(n for n in names if not self.health.is_reachable(n, now_s))

    def _assign_waiting(self) -> None:
        self._assignment_timer = None
        self.wait_queue.assign_targets()
        prefill_s = self.prefill_backlog.shortest_backlog_s(self.clock.now())
        if (
            len(self.wait_queue)
            and prefill_s is not None
            and self._assignment_timer is None
        ):
            loop = asyncio.get_running_loop()
            delay_s = max(prefill_s, ASSIGNMENT_DELAY_S)
            self._assignment_timer = loop.call_later(delay_s, self._assign_waiting)


def _parse_item(text: str) -> Item:
    model, _, adapter = text.partition("/")
    return Item(model, adapter)
