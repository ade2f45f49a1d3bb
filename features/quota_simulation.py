"""Instances, a holder and customers with quotas, on a virtual clock.

Only what decides is the product's: the ledger of the holder and the quotas of each
instance. Messages arrive late, or not at all. Instances can be killed, frozen, cut off
and restarted.
"""

import heapq
import itertools
import random
from collections import defaultdict
from dataclasses import dataclass, replace

from marjoramstage.coordination.customer_quotas import CustomerQuotas
from marjoramstage.coordination.instance_reports import (
    min_report_interval_s,
    report_interval_s,
)
from marjoramstage.coordination.quota_rules import window_limit
from marjoramstage.coordination.quota_shares import QuotaLedger
from marjoramstage.coordination.view_pacing import VIEW_INTERVAL_S
from marjoramstage.protocol.peers import EntryReport
from marjoramstage.state.customers import Customer, Quota, QuotaUnit
from marjoramstage.state.node_settings import NodeBounds

BOUNDS = NodeBounds(quota_window_s=8.0, quota_over=0.1, quota_slack=17_000.0)
USUAL_SHARE = 1 / 1.8
# Rates of 16 customers in tokens a second, from the smallest to the largest.
RATES = tuple(4_100 * 1.328**n for n in range(16))
TOKENS = (400, 1_600)
ASK_TIMEOUT_S = 0.4
FREEZE_S = 4.0
START_S = 0.3


@dataclass(frozen=True)
class QuotaLoad:
    """Load of one simulation.

    Attributes
    ----------
    hot, times : int and float
        Number of the customer that sends more from ``hot_s`` on, and how many times
        its usual.
    skew : float
        Share of its requests at one instance, beyond the even part.
    delay_s : float
        Longest time that a message takes.
    """

    instances: int
    hot: int = -1
    times: float = 10.0
    hot_s: float = 10.0
    skew: float = 0.0
    delay_s: float = 0.03
    for_s: float = 60.0


@dataclass
class Served:
    """Requests of one customer: those asked, those sent, and waits for the holder."""

    asked: list
    sent: list
    refused: list
    waited: list


class SimulatedInstance:
    """One instance; `frozen_until_s` and `cut` are set by what happens to it."""

    def __init__(self, sim, number):
        self.sim, self.name = sim, f"i{number}"
        self.weight = 0.4 + 1.2 * sim.rng.random()
        self.alive, self.cut, self.frozen_until_s = True, False, 0.0
        self.incarnation = 0
        self.sent_until_s = self.received_until_s = 0.0
        self.start()

    def start(self):
        self.incarnation += 1
        self.quotas = CustomerQuotas(BOUNDS, self.sim.now_s)
        self.sequence, self.last_report_s = 0, -9.0
        self.waiting, self.report_due = [], False
        loop = self.incarnation
        self.sim.at(self.sim.rng.random() * 0.2, lambda: self.report_loop(loop))

    def request(self, customer, cost):
        now_s = self.sim.now_s
        served = self.sim.served[customer.name]
        served.asked.append((now_s, cost))
        decision = self.quotas.admit(customer, cost, now_s)
        if decision.admitted:
            self.send(customer, cost)
        elif decision.may_wait:
            self.quotas.ask(customer, cost)
            entry = [customer, cost, now_s, self.incarnation]
            self.waiting.append(entry)
            self.sim.at(ASK_TIMEOUT_S, lambda: self.give_up(entry))
            self.report_soon()
        else:
            served.refused.append((now_s, cost, decision.retry_after_s))

    def send(self, customer, cost):
        if self.quotas.send(customer, cost, self.sim.now_s).admitted:
            self.sim.served[customer.name].sent.append((self.sim.now_s, cost))

    def retry_waiting(self):
        for entry in list(self.waiting):
            customer, cost, asked_s, _ = entry
            now_s = self.sim.now_s
            decision = self.quotas.admit_waiting(customer, cost, now_s)
            if not decision.admitted and not decision.may_wait:
                self.give_up(entry)
            if decision.admitted:
                self.waiting.remove(entry)
                self.quotas.stop_asking(customer, cost)
                self.sim.served[customer.name].waited.append(now_s - asked_s)
                self.send(customer, cost)

    def give_up(self, entry):
        if entry in self.waiting and entry[3] == self.incarnation:
            self.waiting.remove(entry)
            customer, cost = entry[:2]
            self.quotas.stop_asking(customer, cost)
            refused = self.sim.served[customer.name].refused
            refused.append((self.sim.now_s, cost, 0.0))

    def report_soon(self):
        if not self.report_due:
            self.report_due = True
            least_s = min_report_interval_s(self.sim.load.instances)
            wait_s = max(0.0, self.last_report_s + least_s - self.sim.now_s)
            self.sim.at(wait_s, self.report)

    def report_loop(self, loop):
        if not self.alive or loop != self.incarnation:
            return
        interval_s = report_interval_s(self.sim.load.instances)
        if self.sim.now_s - self.last_report_s >= interval_s * 0.99:
            self.report()
        self.sim.at(interval_s, lambda: self.report_loop(loop))

    def report(self):
        self.report_due = False
        now_s = self.sim.now_s
        if not self.alive or now_s < self.frozen_until_s:
            return
        self.last_report_s = now_s
        self.sequence += 1
        uses = self.quotas.report(self.sequence, now_s)
        report = EntryReport(
            self.name,
            self.name,
            str(self.incarnation),
            self.sequence,
            quota_grant=self.quotas.grant_number,
            quota_instances=self.quotas.instances,
        )
        if not self.cut:
            # Messages of one connection arrive in order.
            self.sent_until_s = self.sim.post(
                lambda: self.sim.receive(self, report, uses), self.sent_until_s
            )

    def post(self, call):
        """Send a message to this instance."""
        self.received_until_s = self.sim.post(
            lambda: self.receive(call), self.received_until_s
        )

    def receive(self, call):
        """Take a message in, once it is not frozen."""
        if self.sim.now_s < self.frozen_until_s:
            wait_s = self.frozen_until_s - self.sim.now_s
            self.sim.at(wait_s, lambda: self.receive(call))
        elif self.alive and not self.cut:
            call()


class QuotaSimulation:
    """Plays a load; `served` has what became of the requests of each customer."""

    def __init__(self, load, seed, events=()):
        self.load, self.rng, self.now_s = load, random.Random(seed), 0.0
        self._queue, self._order = [], itertools.count()
        self.customers = [
            Customer(f"c{n}", quota=Quota(QuotaUnit.TOKENS, rate, rate))
            for n, rate in enumerate(RATES)
        ]
        self.served = defaultdict(lambda: Served([], [], [], []))
        self.limit_changes = {}
        self.grants_sent = 0
        self.ledger, self.fence, self.has_holder = QuotaLedger(8.0), 0, True
        self.instances = [SimulatedInstance(self, n) for n in range(load.instances)]
        self.new_holder()
        for number in range(len(self.customers)):
            self._schedule_arrival(number)
        for at_s, call in events:
            self.at(at_s, lambda call=call: call(self))
        self.at(0.1, self._send_views)

    def run(self):
        """Play the load."""
        while self._queue[0][0] < self.load.for_s:
            self.now_s, _, call = heapq.heappop(self._queue)
            call()

    def at(self, delay_s, call):
        heapq.heappush(self._queue, (self.now_s + delay_s, next(self._order), call))

    def post(self, call, after_s):
        """Deliver a message late, and not before another; return when."""
        due_s = max(self.now_s + self.rng.random() * self.load.delay_s, after_s)
        self.at(due_s - self.now_s, call)
        return due_s

    # What happens

    def new_holder(self):
        self.fence += 1
        self.has_holder = True
        self.ledger.start(f"h{self.fence}", self.fence, self.fence == 1, self.now_s)
        self._set_limits()

    def kill(self, number):
        self.instances[number].alive = False

    def restart(self, number):
        instance = self.instances[number]
        instance.alive = True
        instance.start()

    def restart_all(self):
        for number in range(len(self.instances)):
            self.restart(number)
        self.has_holder = False
        self.at(START_S, self.new_holder)

    def freeze(self, number):
        self.instances[number].frozen_until_s = self.now_s + FREEZE_S

    def cut(self, numbers, cut=True):
        for number in numbers:
            self.instances[number].cut = cut

    def change_quota(self, number, factor):
        """Multiply a quota; 0 removes it."""
        before = self.customers[number]
        rate = before.quota.rate_per_s * factor
        quota = replace(before.quota, rate_per_s=rate, burst=rate) if factor else None
        self.customers[number] = replace(before, quota=quota)
        self.limit_changes[number] = self.now_s
        by_name = {customer.name: customer for customer in self.customers}
        for instance in self.instances:
            instance.quotas.keep_customers(by_name)
        self._set_limits()

    # Messages

    def receive(self, instance, report, uses):
        if not self.has_holder:
            return
        grants = self.ledger.report(report, uses, self.now_s)
        if grants is not None and not instance.cut:
            self.grants_sent += 1
            instance.post(lambda: self._grant(instance, grants))

    def _grant(self, instance, grants):
        by_name = {customer.name: customer for customer in self.customers}
        instance.quotas.apply_grants(grants, by_name, self.now_s)
        instance.retry_waiting()

    def _send_views(self):
        self.at(VIEW_INTERVAL_S, self._send_views)
        if not self.has_holder:
            return
        totals = self.ledger.totals(self.now_s)
        for instance in self.instances:
            instance.post(lambda i=instance: self._view(i, totals))

    def _view(self, instance, totals):
        instance.quotas.apply_totals(totals, self.now_s)

    def _set_limits(self):
        self.ledger.set_limits(
            {
                customer.name: window_limit(customer.quota, BOUNDS)
                for customer in self.customers
                if customer.quota is not None
            }
        )

    # Requests

    def _schedule_arrival(self, number):
        tokens_per_s = RATES[number] * USUAL_SHARE
        if number == self.load.hot and self.now_s >= self.load.hot_s:
            tokens_per_s *= self.load.times
        per_s = tokens_per_s / (sum(TOKENS) / 2)
        # Short steps, so that a higher rate begins on time.
        wait_s = self.rng.expovariate(per_s)
        if wait_s > 0.5:
            self.at(0.5, lambda: self._schedule_arrival(number))
        else:
            self.at(wait_s, lambda: self._arrive(number))

    def _arrive(self, number):
        self._schedule_arrival(number)
        skewed = number == self.load.hot and self.rng.random() < self.load.skew
        if skewed:
            instance = self.instances[0]
        else:
            weights = [i.weight for i in self.instances]
            instance = self.rng.choices(self.instances, weights)[0]
        if instance.alive and self.now_s >= instance.frozen_until_s:
            cost = self.rng.randint(*TOKENS)
            instance.request(self.customers[number], cost)

    # Figures

    def allowed(self, number):
        quota = Quota(QuotaUnit.TOKENS, RATES[number], RATES[number])
        return window_limit(quota, BOUNDS)

    def most_in_window(self, number, from_s=0.0):
        """Return the most tokens of a customer in any window."""
        sent = [e for e in self.served[f"c{number}"].sent if e[0] >= from_s]
        most, total, begin = 0, 0, 0
        for at_s, cost in sent:
            total += cost
            while sent[begin][0] <= at_s - BOUNDS.quota_window_s:
                total -= sent[begin][1]
                begin += 1
            most = max(most, total)
        return most

    def sent_per_s(self, number, from_s, until_s):
        sent = self.served[f"c{number}"].sent
        total = sum(cost for at_s, cost in sent if from_s <= at_s < until_s)
        return total / (until_s - from_s)

    def refused_share(self, number, from_s=2.0):
        served = self.served[f"c{number}"]
        asked = sum(at_s >= from_s for at_s, _ in served.asked)
        refused = sum(entry[0] >= from_s for entry in served.refused)
        return refused / max(1, asked)
