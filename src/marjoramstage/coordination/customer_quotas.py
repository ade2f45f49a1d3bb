"""One instance's part in the quotas of customers.

Load: every request of a customer with a quota asks here before its body is read.
The instance holds an allowance of each customer, from the holder of the placement
lease: how much it may send in any window, as a sliding sum of what it sent. Without
contact to a holder it falls back to its even share. Time is an argument.
"""

from __future__ import annotations

import math
from collections import deque
from collections.abc import Mapping
from dataclasses import dataclass, field

from marjoramstage.coordination.quota_rules import (
    QuotaTimes,
    SlidingSum,
    quota_times,
    window_limit,
)
from marjoramstage.protocol.peers import QuotaGrants, QuotaTotal, QuotaUse
from marjoramstage.state.customers import Customer, Quota
from marjoramstage.state.node_settings import NodeBounds

# Told to callers if a larger allowance may come with the next message, in seconds.
MIN_RETRY_AFTER_S = 0.3

# Use counts for so much longer than the window, in seconds: requests that are sent a
# window apart may arrive closer to each other.
WINDOW_MARGIN_S = 0.1

# From this part of a limit on, in use by all, requests are paced. Otherwise a customer
# above its quota would use all in two seconds and be refused for the other six.
PACED_SHARE = 0.9

# Up to this part of the limit, in use by all, a request waits for allowances that lie
# idle at other instances.
IDLE_SHARE = 0.9

# Requests that are admitted at once when they are paced.
PACED_AT_ONCE = 2.0

# Reports that wait for an answer; older ones are forgotten.
MAX_UNANSWERED = 64

# A figure of the holder counts for this long, in seconds; later it is unknown.
FREE_TTL_S = 1.0


@dataclass(frozen=True)
class QuotaDecision:
    """Whether a request is within its customer's quota, and the figures for that.

    Attributes
    ----------
    may_wait : bool
        Not admitted now, but the holder can probably raise the allowance for it.
    retry_after_s : float
        Time after which it would be admitted.
    used, limit : float
        What this instance sent in the window, and how much it may send.
    window_limit : float
        How much all instances together may send.
    age_s : float
        Time since the holder was last in contact.
    """

    admitted: bool
    retry_after_s: float = 0.0
    used: float = 0.0
    limit: float = 0.0
    age_s: float = 0.0
    window_limit: float = 0.0
    may_wait: bool = False


ADMITTED = QuotaDecision(True)


@dataclass
class _Use:
    """What an instance may send for a customer, and what it sends.

    Attributes
    ----------
    limit : float
        What all instances together may send in any window.
    reserved : float
        Cost of requests that were admitted and not yet sent.
    wanted : SlidingSum
        Cost of all requests, refused ones too.
    asked : float
        Cost of requests that wait for a larger allowance.
    free, free_s : float
        What no instance held as the holder told last, and when.
    total_used : float
        What all instances sent in the window, as the holder told last.
    level, level_s : float
        What a paced customer may send at once, and when that was.
    """

    quota: Quota
    limit: float
    allowance: float = 0.0
    reserved: float = 0.0
    sent: SlidingSum = field(default_factory=SlidingSum)
    wanted: SlidingSum = field(default_factory=SlidingSum)
    asked: float = 0.0
    largest: float = 0.0
    free: float = 0.0
    free_s: float = -math.inf
    total_used: float = 0.0
    level: float = math.inf
    level_s: float = 0.0

    def change_quota(self, quota: Quota, limit: float) -> None:
        """Apply another version of the quota; the allowance shrinks with it."""
        if quota.unit is not self.quota.unit:
            self.allowance = 0.0
        elif limit < self.limit:
            self.allowance = math.floor(self.allowance * limit / self.limit)
        self.quota, self.limit = quota, limit


class CustomerQuotas:
    """Allowances of one instance and what it sent.

    Parameters
    ----------
    now_s : float
        When the instance started.

    Attributes
    ----------
    instances : int
        Number of instances that may have allowances, as the holder told; 0 before.
    grant_number : int
        Number of the last grants.
    """

    def __init__(self, bounds: NodeBounds, now_s: float):
        self.instances = 0
        self.grant_number = 0
        self._bounds = bounds
        self._contact_s = now_s
        self._uses: dict[str, _Use] = {}
        self._reports: deque[tuple[int, float]] = deque(maxlen=MAX_UNANSWERED)

    # Requests

    def admit(self, customer: Customer, cost: float, now_s: float) -> QuotaDecision:
        """Reserve what a request costs, if that is within the allowance."""
        use = self._use(customer)
        if use is None:
            return ADMITTED
        if cost > use.limit:
            # Never admitted; it must not count as demand.
            return self._refuse(use, now_s)
        use.wanted.add(cost, now_s)
        use.largest = max(use.largest, cost)
        return self._reserve(use, cost, now_s)

    def assess(self, customer: Customer, cost: float, now_s: float) -> QuotaDecision:
        """Return what `admit` would decide now; nothing is reserved or counted."""
        use = self._use(customer)
        if use is None:
            return ADMITTED
        if cost > use.limit:
            return self._refuse(use, now_s)
        return self._decide(use, cost, now_s)

    def admit_waiting(
        self, customer: Customer, cost: float, now_s: float
    ) -> QuotaDecision:
        """Reserve what a request costs that `admit` turned away before."""
        use = self._use(customer)
        return ADMITTED if use is None else self._reserve(use, cost, now_s)

    def ask(self, customer: Customer, cost: float) -> None:
        """Ask the holder for a larger allowance with the next report."""
        use = self._use(customer)
        if use is not None:
            use.asked += cost
            use.free -= cost

    def stop_asking(self, customer: Customer, cost: float) -> None:
        """End what `ask` began."""
        use = self._uses.get(customer.name)
        if use is not None:
            use.asked = max(0.0, use.asked - cost)

    def send(self, customer: Customer, cost: float, now_s: float) -> QuotaDecision:
        """Turn a reservation into use, just before the request is sent.

        It may not be sent if its instance lost touch with the holder since, and its
        even share is used up. It stays reserved then.
        """
        use = self._uses.get(customer.name)
        if use is None or customer.quota is None:
            return ADMITTED
        used, cap = self._used(use, now_s), self._cap(use, now_s)
        if self._is_silent(now_s) and used > cap:
            age_s = self.contact_age_s(now_s)
            retry_s = self._retry_after_s(use, 0.0, cap, now_s)
            return QuotaDecision(False, retry_s, used, cap, age_s, use.limit)
        use.reserved = max(0.0, use.reserved - cost)
        use.sent.add(cost, now_s)
        return ADMITTED

    def give_back(self, customer: Customer, cost: float) -> None:
        """Cancel a reservation: its request will not be sent."""
        use = self._uses.get(customer.name)
        if use is not None:
            use.reserved = max(0.0, use.reserved - cost)

    def refund(self, customer: Customer, cost: float) -> None:
        """Turn use into a reservation again: its request surely did not run."""
        use = self._uses.get(customer.name)
        if use is not None:
            use.sent.remove_latest(cost)
            use.reserved += cost

    def charge(self, customer: Customer, cost: float, now_s: float) -> QuotaDecision:
        """Reserve what it costs to send a request once more."""
        return self.admit(customer, cost, now_s)

    # Messages

    def report(self, sequence: int, now_s: float) -> tuple[QuotaUse, ...]:
        """Return what to tell the holder, of all customers with use.

        Parameters
        ----------
        sequence : int
            Of the report; the answer to it shows that the holder is in contact.
        """
        self._reports.append((sequence, now_s))
        found = []
        for name, use in list(self._uses.items()):
            wanted = use.wanted.total(self._window_s, now_s)
            used = self._used(use, now_s)
            held = max(self._cap(use, now_s), used)
            if not (held or wanted or use.asked):
                del self._uses[name]
                continue
            found.append(
                QuotaUse(
                    name,
                    math.ceil(held),
                    math.ceil(used),
                    math.ceil(wanted),
                    math.ceil(use.asked),
                    math.ceil(use.largest),
                )
            )
        return tuple(found)

    def apply_grants(
        self, grants: QuotaGrants, customers: Mapping[str, Customer], now_s: float
    ) -> bool:
        """Take the allowances of a holder; return False if they are out of date."""
        if grants.number <= self.grant_number:
            return False
        while self._reports and self._reports[0][0] < grants.sequence:
            self._reports.popleft()
        if not self._reports or self._reports[0][0] != grants.sequence:
            return False
        # What the allowances became without contact is settled before it is renewed.
        for use in self._uses.values():
            self._cap(use, now_s)
        self._contact_s = self._reports[0][1]
        self.grant_number = grants.number
        self.instances = max(1, grants.instances)
        for entry in grants.allowances:
            customer = customers.get(entry.customer)
            use = self._use(customer) if customer is not None else None
            if use is not None:
                use.allowance = min(entry.units, use.limit)
                use.free, use.free_s = entry.free, now_s
        return True

    def apply_totals(self, totals: tuple[QuotaTotal, ...], now_s: float) -> None:
        """Take note of what no instance holds, as the holder tells all."""
        for total in totals:
            use = self._uses.get(total.customer)
            if use is not None:
                use.free, use.free_s = total.free, now_s
                use.total_used = total.used

    def keep_customers(self, customers: Mapping[str, Customer]) -> None:
        """Apply the quotas of another configuration; forget those that ended."""
        for name in list(self._uses):
            if name not in customers or self._use(customers[name]) is None:
                self._uses.pop(name, None)

    # Figures

    def contact_age_s(self, now_s: float) -> float:
        """Return the time since the last report that a holder answered."""
        return now_s - self._contact_s

    @property
    def _window_s(self) -> float:
        return self._bounds.quota_window_s + WINDOW_MARGIN_S

    @property
    def _times(self) -> QuotaTimes:
        return quota_times(max(1, self.instances), self._bounds.quota_window_s)

    def _is_silent(self, now_s: float) -> bool:
        return self.contact_age_s(now_s) > self._times.silence_s

    def _use(self, customer: Customer) -> _Use | None:
        """Return the state of a customer; None if it has no quota."""
        quota = customer.quota
        if quota is None:
            return None
        use = self._uses.get(customer.name)
        if use is None:
            limit = window_limit(quota, self._bounds)
            use = self._uses[customer.name] = _Use(quota, limit)
        elif quota != use.quota:
            use.change_quota(quota, window_limit(quota, self._bounds))
        return use

    def _used(self, use: _Use, now_s: float) -> float:
        return use.sent.total(self._window_s, now_s) + use.reserved

    def _cap(self, use: _Use, now_s: float) -> float:
        """Return what may be sent in a window; without contact the even share."""
        age_s, times = self.contact_age_s(now_s), self._times
        if age_s > times.silence_s:
            even = math.floor(use.limit / self.instances) if self.instances else 0
            rises = age_s > times.settled_s
            use.allowance = even if rises else min(use.allowance, even)
        return use.allowance

    def _reserve(self, use: _Use, cost: float, now_s: float) -> QuotaDecision:
        decision = self._decide(use, cost, now_s)
        if decision.admitted:
            use.reserved += cost
            use.level -= cost
        return decision

    def _decide(self, use: _Use, cost: float, now_s: float) -> QuotaDecision:
        used, cap = self._used(use, now_s), self._cap(use, now_s)
        age_s = self.contact_age_s(now_s)
        pace_s = self._pace_wait_s(use, cost, cap, now_s)
        if used + cost <= cap and pace_s <= 0:
            return QuotaDecision(True, 0.0, used, cap, age_s, use.limit)
        free_is_known = now_s - use.free_s < FREE_TTL_S
        may_wait = (
            used + cost > cap
            and cost <= use.limit
            and not self._is_silent(now_s)
            and (not free_is_known or use.free >= cost or self._lies_idle(use, cost))
        )
        retry_s = max(pace_s, self._retry_after_s(use, cost, cap, now_s))
        return QuotaDecision(False, retry_s, used, cap, age_s, use.limit, may_wait)

    def _lies_idle(self, use: _Use, cost: float) -> bool:
        """Whether other instances hold allowances that they don't use.

        The holder lowers these for a request that waits.
        """
        return use.total_used + cost <= IDLE_SHARE * use.limit

    def _refuse(self, use: _Use, now_s: float) -> QuotaDecision:
        """Return the decision on a request that costs more than the whole limit."""
        return QuotaDecision(
            False,
            self._window_s,
            self._used(use, now_s),
            self._cap(use, now_s),
            self.contact_age_s(now_s),
            use.limit,
        )

    def _pace_wait_s(self, use: _Use, cost: float, cap: float, now_s: float) -> float:
        """Return how long a paced customer has to wait for a request; 0 if not paced.

        The pace is that at which a window regains what it allows.
        """
        if use.total_used < PACED_SHARE * use.limit:
            use.level = math.inf
            return 0.0
        quota, per_s = use.quota, cap / self._window_s
        burst_share = quota.burst / (quota.rate_per_s * self._window_s + quota.burst)
        depth = max(cap * burst_share, PACED_AT_ONCE * use.largest)
        use.level = min(depth, use.level + per_s * (now_s - use.level_s))
        use.level_s = now_s
        if use.level >= cost:
            return 0.0
        return (cost - use.level) / per_s if per_s > 0 else self._window_s

    def _retry_after_s(self, use: _Use, cost: float, cap: float, now_s: float) -> float:
        """Return the time after which a request would be admitted."""
        room = cap - cost - use.reserved
        until_s = use.sent.until_below(room, self._window_s, now_s)
        if until_s is None:
            # Only a larger allowance helps; all together regain that much in a window.
            until_s = max(
                MIN_RETRY_AFTER_S, self._window_s * min(1.0, cost / use.limit)
            )
        return min(until_s, self._window_s)
