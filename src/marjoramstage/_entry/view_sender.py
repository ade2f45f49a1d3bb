"""Sends views of the fleet from the holder of the placement lease to all instances."""

from __future__ import annotations

from collections.abc import Callable, Mapping
from dataclasses import replace

from marjoramstage._entry.instance_state import InstanceState
from marjoramstage.coordination.instance_count import InstanceCount
from marjoramstage.coordination.instance_reports import (
    InstanceReports,
    parse_key,
    parse_resuming_key,
)
from marjoramstage.coordination.placement_planner import PlacementPlanner
from marjoramstage.coordination.request_permits import TargetKey
from marjoramstage.coordination.view_pacing import ViewPacer
from marjoramstage.protocol.peers import FleetView, HeldItems, QuotaTotal, encode

# With more instances than this, they don't announce every prompt to each other, and
# the views after a change are partial ones.
MAX_BROADCAST_PEERS = 24


class ViewSender:
    """Sends views when they are due.

    Parameters
    ----------
    identity : str
        Of this holder.
    reports : InstanceReports
        Of the instances that get the views.
    planners : Mapping
        Planner of each service, by name.
    send : callable
        Sends a view to the instance at an address.
    count_waiting : callable
        Returns how many requests of all instances wait for a target with a limit.
    quota_totals : callable
        Returns the use of the quotas of customers.
    """

    def __init__(
        self,
        state: InstanceState,
        identity: str,
        reports: InstanceReports,
        planners: Mapping[str, PlacementPlanner],
        send: Callable[[str, FleetView], None],
        count_waiting: Callable[[TargetKey], int],
        quota_totals: Callable[[], tuple[QuotaTotal, ...]] = lambda: (),
    ):
        self._state = state
        self._identity = identity
        self._reports = reports
        self._planners = planners
        self._send = send
        self._count_waiting = count_waiting
        self._quota_totals = quota_totals
        self._pacer = ViewPacer(state.settings.link_bytes_per_s)
        self._instances = InstanceCount()
        self._sequence = 0
        self._sent_items: dict[str, tuple[int, tuple[str, ...]]] = {}

    def begin(self, now_s: float) -> None:
        """Begin with a new lease: not all instances report to this one yet."""
        self._instances.begin(self._state.instance_count, now_s)

    def request(self) -> None:
        """Ask for a view to be sent as soon as the link allows."""
        self._pacer.request()

    def send_if_due(self, now_s: float, fence: int, ended: bool) -> None:
        """Send a view, or between full ones what has changed, if it is due."""
        if not self._pacer.is_due(now_s):
            return
        few = len(self._reports.addresses) <= MAX_BROADCAST_PEERS
        if few or self._pacer.is_full_due(now_s):
            self.send(now_s, fence, ended)
        else:
            self._send_changes(now_s, fence)

    def send(self, now_s: float, fence: int, ended: bool) -> None:
        """Send every instance what targets hold and how many requests they run.

        Parameters
        ----------
        ended : bool
            Another instance may take the lease.
        """
        recipients = self._reports.addresses
        few = len(recipients) <= MAX_BROADCAST_PEERS
        self._sent_items = {}
        view = FleetView(
            self._identity,
            fence,
            self._next_sequence(),
            self._instances.count(len(recipients), now_s),
            self._held_items(),
            self._coming_ms(now_s),
            ended,
            recipients if few else (),
            self._reports.sequences if few else {},
            self._state.store_progress(),
            keeps_origins=self._state.keeps_origins(),
            limited=self._state.limited_targets.view(self._count_waiting),
            quota_use=self._quota_totals(),
            config_version=self._state.config_versions.newest,
        )
        self._send_to_all(view, recipients, now_s)

    def _send_changes(self, now_s: float, fence: int) -> None:
        """Send every instance what targets hold, where that has changed."""
        changed = tuple(
            replace(held, running=0)
            for held in self._held_items()
            if self._sent_items.get(held.target) != (held.incarnation, held.items)
        )
        if not changed:
            self._pacer.record_sent(0, 0, now_s, full=False)
            return
        recipients = self._reports.addresses
        view = FleetView(
            self._identity,
            fence,
            self._next_sequence(),
            len(recipients),
            changed,
            partial=True,
        )
        self._send_to_all(view, recipients, now_s)

    def _send_to_all(
        self, view: FleetView, recipients: tuple[str, ...], now_s: float
    ) -> None:
        for held in view.held:
            self._sent_items[held.target] = (held.incarnation, held.items)
        for address in recipients:
            self._send(address, view)
        view_bytes = len(encode(view))
        self._pacer.record_sent(
            view_bytes, len(recipients), now_s, full=not view.partial
        )

    def _next_sequence(self) -> int:
        self._sequence += 1
        return self._sequence

    def _coming_ms(self, now_s: float) -> dict[str, int]:
        """Return the expected time until each awaited item is loaded."""
        coming = {}
        for key in self._reports.waiting_keys():
            service, item = parse_key(key)
            planner = self._planners.get(service)
            eta_s = planner.eta_s(item, now_s) if planner else None
            if eta_s is not None:
                coming[key] = int(eta_s * 1000)
        for key in self._reports.resuming_keys():
            service, needed = parse_resuming_key(key)
            planner = self._planners.get(service)
            eta_s = planner.resume_eta_s(needed, now_s) if planner else None
            if eta_s is not None:
                coming[key] = int(eta_s * 1000)
        return coming

    def _held_items(self) -> tuple[HeldItems, ...]:
        running = self._reports.running_by_target()
        held = []
        for planner in self._planners.values():
            for name, target_state in planner.target_states.items():
                if not target_state.known:
                    continue
                items = tuple(
                    sorted(str(item) for item in target_state.servable_items())
                )
                born = target_state.target.incarnation
                held.append(HeldItems(name, born, items, running.pop(name, 0)))
        held += [HeldItems(name, 0, (), count) for name, count in running.items()]
        return tuple(held)
