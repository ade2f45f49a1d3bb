"""Shares of customers' quotas, as the holder of the placement lease gives them out.

Load: one report of each instance at its interval, with the customers that it has
requests of; the cost of a report is in proportion to these. For each customer the sum
of what instances hold stays within the limit of a window: an allowance is lowered
first, and given to others once its instance has said so. Time is an argument.
"""

from __future__ import annotations

import heapq
import math
from collections import deque
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field

from marjoramstage.coordination.instance_reports import report_interval_s
from marjoramstage.coordination.quota_rules import QuotaTimes, quota_times
from marjoramstage.protocol.peers import (
    EntryReport,
    QuotaAllowance,
    QuotaGrants,
    QuotaTotal,
    QuotaUse,
)

# Part of what nobody needs now that is given out by demand. The rest is for instances
# that ask: with many instances a share of it would be less than one request.
SPREAD_SHARE = 0.75

# An allowance is at most so many times the demand of its instance, or the first ones
# to report would get all.
MAX_PER_DEMAND = 3.0

# Allowances below this many requests are whole numbers of requests.
WHOLE_REQUESTS = 8

# Allowances change at most so often, in regular report intervals, unless an instance
# asks for more; and by no less than this part.
CHANGE_INTERVALS = 2
CHANGE_SHARE = 0.05

# How often instances out of contact are looked for, in seconds.
CHECK_INTERVAL_S = 0.25

# Unanswered grants for which times are kept; the answer to a later one will do.
MAX_UNANSWERED = 64

# An instance that is gone for so long has no part in quotas any more, in seconds.
FORGET_S = 600.0

# Views name so many customers, those with the greatest use.
MAX_TOTALS = 256

# Numbers of grants start anew with each fencing number, above all earlier ones.
NUMBERS_PER_FENCE = 2**32


@dataclass
class _Claim:
    """What one instance holds of one customer's quota.

    Attributes
    ----------
    sent : deque
        Numbers and units of the allowances that it may not have received yet.
    granted : int
        The last of its allowances; -1 if unknown.
    """

    use: QuotaUse
    sent: deque[tuple[int, int]] = field(default_factory=deque)
    granted: int = -1

    @property
    def reserved(self) -> int:
        """What it may send in a window, whichever message it got last."""
        return max(self.use.held, max((units for _, units in self.sent), default=0))

    @property
    def demand(self) -> int:
        return max(self.use.used, self.use.wanted)

    def needs(self, units: int) -> bool:
        """Whether its instance should be told that this is its allowance."""
        use = self.use
        if self.sent or use.held < units or use.held > max(units, use.used):
            return True
        return abs(units - self.granted) > CHANGE_SHARE * max(units, self.granted)


@dataclass
class _Pool:
    """One customer's quota.

    Attributes
    ----------
    reserved, used, demand : int
        Sums over the instances in contact.
    kept : int
        What instances out of contact may be using.
    joined : int
        What instances held when they first reported to this holder.
    """

    limit: int
    reserved: int = 0
    used: int = 0
    demand: int = 0
    kept: int = 0
    joined: int = 0

    def add(self, claim: _Claim, sign: int) -> None:
        """Add a claim to the sums, or take it out with ``sign`` -1."""
        self.reserved += sign * claim.reserved
        self.used += sign * claim.use.used
        self.demand += sign * claim.demand


@dataclass
class _Member:
    """An instance that reports.

    Attributes
    ----------
    confirmed_s : float
        When the last grants were sent that it has received.
    sent : deque
        Numbers and times of the grants that it may not have received yet.
    in_contact : bool
        Its claims are in the sums of the pools.
    remembers : bool
        It knew an earlier holder, so that its first report told all that it may send.
    """

    incarnation: str
    confirmed_s: float
    remembers: bool
    in_contact: bool = True
    sent: deque[tuple[int, float]] = field(
        default_factory=lambda: deque(maxlen=MAX_UNANSWERED)
    )
    granted_s: float = -math.inf
    claims: dict[str, _Claim] = field(default_factory=dict)


class QuotaLedger:
    """What all instances hold of the quotas of all customers.

    Parameters
    ----------
    window_s : float
        Length of the sliding window.
    """

    def __init__(self, window_s: float):
        self._window_s = window_s
        self._holder = ""
        self._fence = 0
        self._limits: dict[str, int] = {}
        self._pools: dict[str, _Pool] = {}
        self._members: dict[str, _Member] = {}
        self._ended: list[tuple[float, str, int]] = []
        self._number = 0
        self._began_s = 0.0
        self._known = 0
        self._is_first = False
        self._next_check_s = 0.0
        self._silent: list[tuple[_Member, bool]] = []

    def start(self, holder: str, fence: int, is_first: bool, now_s: float) -> None:
        """Begin with a new lease; what an earlier holder gave out is not known.

        Parameters
        ----------
        is_first : bool
            Nobody ever held the lease, so that no instance has an allowance.
        """
        self._holder, self._fence = holder, fence
        self._number = fence * NUMBERS_PER_FENCE
        self._pools.clear()
        self._members.clear()
        self._ended.clear()
        self._silent.clear()
        self._began_s, self._known = now_s, 0
        self._is_first = is_first

    def set_limits(self, limits: Mapping[str, int]) -> None:
        """Set what may be sent in a window, by customer with a quota."""
        self._limits = dict(limits)
        for name in [name for name in self._pools if name not in limits]:
            del self._pools[name]
            for member in self._members.values():
                member.claims.pop(name, None)
        for name, pool in self._pools.items():
            pool.limit = limits[name]

    def report(
        self, report: EntryReport, uses: Iterable[QuotaUse], now_s: float
    ) -> QuotaGrants | None:
        """Take a report in; return the answer to it, if one is due.

        Parameters
        ----------
        uses : iterable of QuotaUse
            Those in the report.
        """
        if not self._limits:
            return None
        reported = {use.customer: use for use in uses}
        self._check_members(now_s)
        member = self._member(report, reported, now_s)
        if member is None:
            return None
        self._take_uses(member, report, reported, now_s)
        return self._grants(member, report, now_s)

    def totals(self, now_s: float) -> tuple[QuotaTotal, ...]:
        """Return the use of all instances, by customer with use."""
        if len(self._pools) <= MAX_TOTALS:
            names = list(self._pools)
        else:
            names = heapq.nlargest(
                MAX_TOTALS, self._pools, key=lambda name: self._pools[name].used
            )
        return tuple(
            QuotaTotal(name, pool.used, self._free(pool, now_s))
            for name in names
            if (pool := self._pools[name]).reserved or pool.demand
        )

    # Instances

    @property
    def instances(self) -> int:
        """Number of instances that may have allowances."""
        return max(1, self._known, len(self._members))

    @property
    def _times(self) -> QuotaTimes:
        return quota_times(self.instances, self._window_s)

    def _member(
        self, report: EntryReport, reported: Mapping[str, QuotaUse], now_s: float
    ) -> _Member | None:
        """Return the sender of a report; None while it doesn't hear this holder."""
        member = self._members.get(report.instance)
        if member is not None and member.incarnation != report.incarnation:
            self._end(member, now_s)
            del self._members[report.instance]
            member = None
        if member is None:
            # Later reports name the number that this holder told.
            self._known = max(self._known, report.quota_instances)
            remembers = report.quota_instances > 0
            member = _Member(report.incarnation, now_s, remembers)
            self._members[report.instance] = member
            for use in reported.values():
                if (pool := self._pool(use.customer, now_s)) is not None:
                    pool.joined += use.held
        while member.sent and member.sent[0][0] <= report.quota_grant:
            member.confirmed_s = member.sent.popleft()[1]
        silent = now_s - member.confirmed_s > self._times.silence_s
        if silent == member.in_contact:
            self._set_contact(member, not silent)
            self._find_silent(now_s)
        return member

    def _end(self, member: _Member, now_s: float) -> None:
        """Keep what an earlier start of an instance held, for one window."""
        for name, claim in member.claims.items():
            self._ended.append((now_s + self._window_s, name, claim.reserved))
        self._set_contact(member, False)
        self._keep(now_s)

    def _set_contact(self, member: _Member, in_contact: bool) -> None:
        if member.in_contact == in_contact:
            return
        member.in_contact = in_contact
        for name, claim in member.claims.items():
            if name in self._pools:
                self._pools[name].add(claim, 1 if in_contact else -1)

    def _check_members(self, now_s: float) -> None:
        """Find the instances out of contact, and what they may be using."""
        if now_s < self._next_check_s:
            return
        self._next_check_s = now_s + CHECK_INTERVAL_S
        self._ended = [entry for entry in self._ended if entry[0] > now_s]
        if now_s - self._began_s > FORGET_S:
            self._known = 0
        self._find_silent(now_s)

    def _find_silent(self, now_s: float) -> None:
        self._silent = []
        for name, member in list(self._members.items()):
            age_s = now_s - member.confirmed_s
            if age_s > FORGET_S:
                self._set_contact(member, False)
                del self._members[name]
            elif age_s > self._times.silence_s:
                self._set_contact(member, False)
                self._silent.append((member, age_s > self._times.settled_s))
        self._keep(now_s)

    def _keep(self, now_s: float) -> None:
        """Keep what instances out of contact hold, and at least their even shares."""
        learning = self._is_learning(now_s)
        for pool in self._pools.values():
            pool.kept = self._even_kept(pool, now_s)
        for _, name, units in self._ended:
            if name in self._pools:
                self._pools[name].kept += units
        for member, is_settled in self._silent:
            if is_settled:
                continue
            for name, claim in member.claims.items():
                pool = self._pools.get(name)
                if pool is not None:
                    pool.kept += max(0, claim.reserved - self._even(pool))
        for name, pool in list(self._pools.items()):
            idle = not pool.reserved and not pool.demand and not learning
            if idle and pool.kept == self._even_kept(pool, now_s):
                del self._pools[name]

    def _even(self, pool: _Pool) -> int:
        return pool.limit // self.instances

    def _even_kept(self, pool: _Pool, now_s: float) -> int:
        """Return the even shares of the instances out of contact."""
        unknown = self.instances - len(self._members)
        shares = len(self._silent) + (0 if self._is_learning(now_s) else unknown)
        return shares * self._even(pool)

    def _is_learning(self, now_s: float) -> bool:
        """Whether instances that have not reported may hold more than even shares."""
        if self._is_first:
            return False
        age_s = now_s - self._began_s
        if not self._known:
            return age_s <= self._times.learning_s
        remembering = sum(member.remembers for member in self._members.values())
        return remembering < self._known and age_s <= self._times.settled_s

    # Customers

    def _pool(self, name: str, now_s: float) -> _Pool | None:
        pool = self._pools.get(name)
        if pool is None and name in self._limits:
            pool = self._pools[name] = _Pool(self._limits[name])
            pool.kept = self._even_kept(pool, now_s)
        return pool

    def _budget(self, pool: _Pool, now_s: float) -> int:
        """Return what the instances in contact may hold together."""
        budget = max(0, pool.limit - pool.kept)
        if self._is_learning(now_s):
            share = pool.limit * len(self._members) // self.instances
            return min(budget, pool.joined, share)
        return budget

    def _free(self, pool: _Pool, now_s: float) -> int:
        return max(0, self._budget(pool, now_s) - pool.reserved)

    def _take_uses(
        self,
        member: _Member,
        report: EntryReport,
        reported: Mapping[str, QuotaUse],
        now_s: float,
    ) -> None:
        for name in member.claims.keys() | reported.keys():
            pool = self._pool(name, now_s)
            if pool is None:
                member.claims.pop(name, None)
                continue
            claim = member.claims.get(name)
            use = reported.get(name) or QuotaUse(name)
            if claim is None:
                claim = member.claims[name] = _Claim(use)
            elif member.in_contact:
                pool.add(claim, -1)
            claim.use = use
            while claim.sent and claim.sent[0][0] <= report.quota_grant:
                claim.sent.popleft()
            if member.in_contact:
                pool.add(claim, 1)
            if not (claim.reserved or claim.demand):
                del member.claims[name]

    def _grants(
        self, member: _Member, report: EntryReport, now_s: float
    ) -> QuotaGrants | None:
        """Return new allowances for an instance, if they change or it has to hear."""
        since_s = now_s - member.granted_s
        asks = any(claim.use.asked for claim in member.claims.values())
        interval_s = CHANGE_INTERVALS * report_interval_s(self.instances)
        if since_s < interval_s and not asks:
            return None
        plans = [
            (claim, units)
            for claim in member.claims.values()
            if claim.needs(units := self._plan(member, claim, now_s))
        ]
        if not plans and since_s < self._times.silence_s / 3:
            return None
        self._number += 1
        member.sent.append((self._number, now_s))
        member.granted_s = now_s
        allowances = [
            self._grant(member, claim, units, now_s) for claim, units in plans
        ]
        return QuotaGrants(
            self._holder,
            self._fence,
            self._number,
            report.sequence,
            self.instances,
            tuple(allowances),
        )

    def _grant(
        self, member: _Member, claim: _Claim, units: int, now_s: float
    ) -> QuotaAllowance:
        name = claim.use.customer
        pool = self._pools[name]
        if member.in_contact:
            pool.add(claim, -1)
        claim.sent.append((self._number, units))
        claim.granted = units
        if member.in_contact:
            pool.add(claim, 1)
        return QuotaAllowance(name, units, self._free(pool, now_s))

    def _plan(self, member: _Member, claim: _Claim, now_s: float) -> int:
        """Return the allowance that an instance should have."""
        pool = self._pools[claim.use.customer]
        use = claim.use
        if not member.in_contact:
            return min(claim.reserved, self._even(pool))
        budget = self._budget(pool, now_s)
        wanted = max(
            _whole(self._share(pool, claim, budget), use), use.used + use.asked
        )
        most = claim.reserved + max(0, budget - pool.reserved)
        units = min(wanted, most)
        if units < wanted and units > use.held:
            # A part of a request is of no use.
            spare = units - use.used
            units -= spare % use.largest if use.largest else 0
        return max(0, units)

    def _share(self, pool: _Pool, claim: _Claim, budget: int) -> float:
        """Return a claim's part of a budget, by demand."""
        if not pool.demand:
            return 0.0
        spare = budget - pool.demand
        if spare < 0:
            return budget * claim.demand / pool.demand
        per_demand = 1 + SPREAD_SHARE * spare / pool.demand
        return claim.demand * min(per_demand, MAX_PER_DEMAND)


def _whole(units: float, use: QuotaUse) -> int:
    """Round a small allowance down to a whole number of requests."""
    if use.largest and units < WHOLE_REQUESTS * use.largest:
        return int(units // use.largest) * use.largest
    return int(units)
