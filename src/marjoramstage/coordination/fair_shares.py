"""Shares of customers in the targets of a service while requests wait.

Load that it addresses: demand above what the targets run, with customers of uneven
size, of which one sends ten times its usual.

Start-time fair queueing, with tags given when the order is asked for: those given on
arrival would count requests that leave the queue unserved against their customer.
Each customer has a counter of what was served to it; waiting requests of the lowest
counter go first. Classes are kept within turns: in one turn each customer gets up to a
quantum, and the more urgent requests of a turn go before the others.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass
from typing import Protocol

# Requests of mean cost that a customer gets in one turn. With fewer, live requests of
# one customer wait for requests of others that may wait; with more, a customer that
# sends more urgent requests than others delays them for longer.
QUANTUM_REQUESTS = 16
# By how many requests a customer can be ahead of the others at most. It bounds for how
# long one waits that has used targets which no other customer could use.
MAX_LEAD_REQUESTS = 64
# Counters that are kept before those that say nothing are dropped.
MIN_COUNTERS = 256


@dataclass(frozen=True)
class ShareClaim:
    """Whose share a request is charged to.

    Attributes
    ----------
    customer : str
        Empty for requests of no customer, which share as if they were one.
    level : int
        Place of the customer's priority; 0 goes before all others.
    cost : float
        What the request takes, in tokens, or 1 where those are not known.
    """

    customer: str
    level: int
    cost: float


class Claimant(Protocol):
    """A request that waits.

    Attributes
    ----------
    start_tag : float
        What its customer will have been served when its turn comes.
    turn : int
        Turn in which it is served; 0 is the next.
    """

    claim: ShareClaim | None
    rank: int
    deadline_s: float
    number: int
    start_tag: float
    turn: int


class FairShares:
    """Counters of what the customers of one service were served.

    All customers have equal weights. The counter of one that was idle rises to the
    lowest of those that wait, so that idle time earns nothing; while nobody waits,
    what is served puts nobody behind.
    """

    def __init__(self):
        self._floor = 0.0
        self._served: dict[str, float] = {}
        self._quantum = 0.0
        self._drop_at = MIN_COUNTERS

    def tag(self, waiting: Iterable[Claimant]) -> None:
        """Give each waiting request its start tag and turn."""
        flows: dict[str, list[Claimant]] = {}
        costs = []
        for claimant in waiting:
            if claimant.claim is not None:
                flows.setdefault(claimant.claim.customer, []).append(claimant)
                costs.append(claimant.claim.cost)
        if not costs:
            return
        self._quantum = QUANTUM_REQUESTS * sum(costs) / len(costs)
        self._floor = max(self._floor, min(self._base(name) for name in flows))
        for name, flow in flows.items():
            tag = self._base(name)
            for claimant in sorted(flow, key=_order_in_flow):
                claimant.start_tag = tag
                claimant.turn = int((tag - self._floor) / self._quantum)
                tag += claimant.claim.cost

    def charge(self, claim: ShareClaim, others_wait: bool) -> None:
        """Record that a request of a customer is sent to a target.

        Parameters
        ----------
        others_wait : bool
            Requests wait for targets of the service.
        """
        start = self._base(claim.customer)
        if not others_wait:
            self._floor = max(self._floor, start)
        most = self._floor + MAX_LEAD_REQUESTS * claim.cost
        self._served[claim.customer] = max(start, min(start + claim.cost, most))
        if len(self._served) > self._drop_at:
            self._drop_idle()

    def is_ahead(self, claim: ShareClaim) -> bool:
        """Whether a customer has had more than its turn while others wait."""
        return self._base(claim.customer) > self._floor + self._quantum

    def _base(self, name: str) -> float:
        return max(self._floor, self._served.get(name, 0.0))

    def _drop_idle(self) -> None:
        """Drop the counters that the floor has passed.

        The next time is when there are twice as many, so that the cost of a charge
        doesn't grow with the number of customers.
        """
        floor = self._floor
        self._served = {
            n: served for n, served in self._served.items() if served > floor
        }
        self._drop_at = max(MIN_COUNTERS, 2 * len(self._served))


def _order_in_flow(claimant: Claimant) -> tuple[int, float, int]:
    return claimant.rank, claimant.deadline_s, claimant.number
