"""Sends permits for limited targets from the holder of the lease to all instances."""

from __future__ import annotations

import random
from collections import Counter
from collections.abc import Callable, Mapping

from marjoramstage._entry.instance_state import InstanceState
from marjoramstage.coordination.permit_issuer import PermitIssuer
from marjoramstage.coordination.request_permits import PermitUse, TargetKey
from marjoramstage.protocol.peers import EntryReport, PermitsIssued, TargetPermits

SUMMARY_INTERVAL_S = 2.0


class PermitSender:
    """Issues permits and sends them, while this instance holds the lease.

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
        send: Callable[[str, PermitsIssued], None],
    ):
        self._state = state
        self._identity = identity
        self._send = send
        self._issuer = PermitIssuer(random.Random())
        self._addresses: dict[str, str] = {}
        self._issued: Counter[TargetKey] = Counter()
        self._next_summary_s = 0.0

    def start(self) -> None:
        """Begin with a new lease: an earlier holder may have issued permits."""
        self._issuer.clear()
        self._addresses.clear()

    def receive_report(self, report: EntryReport) -> None:
        """Record what an instance knows of limits, and what it needs."""
        if not report.limited:
            return
        now_s = self._state.clock.now()
        self._addresses[report.instance] = report.address
        self._state.limited_targets.learn(report.limited)
        for entry in report.limited:
            key = entry.target, entry.incarnation
            use = PermitUse(entry.wanted, entry.used, entry.expired)
            oldest_s = now_s - entry.oldest_ms * 0.001
            self._issuer.report(
                report.instance, key, use, entry.waiting, oldest_s, now_s
            )

    def count_waiting(self, key: TargetKey) -> int:
        """Return how many requests of all instances wait for a target."""
        return self._issuer.waiting(key)

    def issue(self, fence: int, limits: Mapping[TargetKey, float]) -> None:
        """Send the permits that can be issued now.

        Parameters
        ----------
        limits : Mapping
            Requests a second that each limited target takes.
        """
        now_s = self._state.clock.now()
        for instance, permits in self._issuer.issue(limits, now_s).items():
            self._issued.update(permits)
            entries = tuple(TargetPermits(*key, n) for key, n in permits.items())
            message = PermitsIssued(self._identity, fence, entries)
            self._send(self._addresses[instance], message)
        if limits and now_s >= self._next_summary_s:
            self._next_summary_s = now_s + SUMMARY_INTERVAL_S
            self._log_summary(limits)

    def _log_summary(self, limits: Mapping[TargetKey, float]) -> None:
        """Log the limits, what was issued since the last line, and what waits."""
        targets = {
            key[0]: {
                "per_s": per_s,
                "issued": self._issued[key],
                "waiting": self.count_waiting(key),
            }
            for key, per_s in limits.items()
        }
        self._issued.clear()
        self._state.events.summary("request permits", targets=targets)
