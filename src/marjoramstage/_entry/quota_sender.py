"""Gives out shares of customers' quotas, from the holder of the placement lease."""

from __future__ import annotations

from collections.abc import Callable

from marjoramstage._entry.instance_state import InstanceState
from marjoramstage.coordination.leases import FENCES_PER_ERA
from marjoramstage.coordination.quota_rules import window_limit
from marjoramstage.coordination.quota_shares import QuotaLedger
from marjoramstage.exceptions import PeerError
from marjoramstage.protocol import quota_uses
from marjoramstage.protocol.peers import EntryReport, QuotaGrants, QuotaTotal
from marjoramstage.state.routes import RouteTable

SUMMARY_INTERVAL_S = 2.0
# Customers in one log line, those with the greatest use.
MAX_LOGGED = 32


class QuotaSender:
    """Answers reports with allowances, while this instance holds the lease.

    Parameters
    ----------
    identity : str
        Of this holder.
    send : callable
        Sends a message to the instance at an address.
    """

    def __init__(
        self,
        state: InstanceState,
        identity: str,
        send: Callable[[str, QuotaGrants], None],
    ):
        self._state = state
        self._identity = identity
        self._send = send
        self._ledger = QuotaLedger(state.settings.bounds.quota_window_s)
        # Another version of the quotas may not change their window.
        self._bounds = state.settings.bounds
        self._applied: RouteTable | None = None
        self._has_quotas = False
        self._next_summary_s = 0.0

    def start(self, fence: int) -> None:
        """Begin with a new lease."""
        # After a restored store a missing lease may have been held.
        is_first = fence == FENCES_PER_ERA + 1 or fence == 1
        is_first = is_first and self._state.settings.first_start
        now_s = self._state.clock.now()
        self._ledger.start(self._identity, fence, is_first, now_s)

    def receive_report(self, report: EntryReport) -> None:
        """Take in what an instance uses, and answer it if need be."""
        self._apply_table()
        if not self._has_quotas:
            return
        now_s = self._state.clock.now()
        try:
            uses = quota_uses.unpack(report.quota_use)
        except PeerError as exc:
            self._state.events.event(
                "invalid quota use ignored", sender=report.instance, reason=str(exc)
            )
            return
        grants = self._ledger.report(report, uses, now_s)
        if grants is not None:
            self._send(report.address, grants)
        if now_s >= self._next_summary_s:
            self._next_summary_s = now_s + SUMMARY_INTERVAL_S
            self._log_summary()

    def totals(self) -> tuple[QuotaTotal, ...]:
        """Return the use of all instances, for views."""
        return self._ledger.totals(self._state.clock.now()) if self._has_quotas else ()

    def _apply_table(self) -> None:
        table = self._state.table
        if table is self._applied:
            return
        self._applied = table
        customers = table.customers.by_name if table and table.customers else {}
        limits = {
            name: window_limit(customer.quota, self._bounds)
            for name, customer in customers.items()
            if customer.quota is not None
        }
        self._has_quotas = bool(limits)
        self._ledger.set_limits(limits)

    def _log_summary(self) -> None:
        """Log the greatest uses and what is free of their quotas."""
        totals = sorted(
            self._ledger.totals(self._state.clock.now()), key=lambda total: -total.used
        )
        if not totals:
            return
        customers = {
            total.customer: {"used": total.used, "free": total.free}
            for total in totals[:MAX_LOGGED]
        }
        self._state.events.summary(
            "quotas", customers=customers, instances=self._ledger.instances
        )
