"""Instances, a holder and one target with a limit, on a virtual clock.

Only what decides is the product's: permits, their issuer and what is known of limits.
Messages between instances arrive late, or not at all.
"""

import heapq
import itertools
import random
from collections import Counter
from dataclasses import dataclass

from marjoramstage.coordination.instance_reports import (
    min_report_interval_s,
    report_interval_s,
)
from marjoramstage.coordination.named_limits import NamedLimits
from marjoramstage.coordination.permit_issuer import PermitIssuer
from marjoramstage.coordination.request_permits import RequestPermits, key_of
from marjoramstage.coordination.view_pacing import VIEW_INTERVAL_S
from marjoramstage.state.fleet import FleetTarget

STEP_S = 0.02
TARGET = FleetTarget("t", 1, "s", "127.0.0.1:1", "a", slots=64)
WINDOW_S = 4.0
STABLE_S = 3.0
FACTOR, EXTRA = 1.5, 5


@dataclass(frozen=True)
class LimitLoad:
    """Load and faults of one simulation.

    Attributes
    ----------
    per_s, limit : float
        Requests a second of all instances that the target could serve, and its limit.
    skew : float
        Share of them at the first instance, beyond its even part.
    waits_s : float
        How long a request waits for the target; 0 if others can serve it.
    delay_s : float
        Longest time that a message takes.
    burst_at_s, burst : float
        For 2 s from then on there are so many times as many requests.
    holder_gone : tuple of float
        From when until when there is no holder; then another instance is.
    """

    instances: int
    per_s: float
    limit: float
    skew: float = 0.0
    waits_s: float = 0.0
    delay_s: float = 0.03
    burst_at_s: float = 1e9
    burst: float = 1.0
    holder_gone: tuple[float, float] = (1e9, 1e9)
    for_s: float = 40.0


class _Instance:
    def __init__(self, number, load, rng):
        self.name = f"i{number}"
        self.limits = NamedLimits()
        self.permits = RequestPermits(self.limits, rng, 0.0)
        self.waiting = []
        self.next_report_s = rng.random() * report_interval_s(load.instances)
        self.min_report_s = 0.0


class LimitSimulation:
    """Plays a load; `sent_s` are the times at which requests reach the target."""

    def __init__(self, load, seed):
        self._load, self._rng = load, random.Random(seed)
        self._instances = [
            _Instance(n, load, random.Random(f"{seed}/{n}"))
            for n in range(load.instances)
        ]
        self._issuer = PermitIssuer(random.Random(seed))
        self._held_from_s = 0.0
        self._next_view_s = 0.0
        self._messages, self._order = [], itertools.count()
        self.sent_s, self.now_s = [], 0.0
        self.asked = 0
        # All instances learnt the limit at the start, as after its first second.
        for instance in self._instances:
            instance.limits.record(TARGET, load.limit, 0.0)

    def run(self):
        """Play the load."""
        next_s = self._next_arrival_s(0.0)
        while self.now_s < self._load.for_s:
            self.now_s += STEP_S
            while next_s <= self.now_s:
                self._arrive()
                next_s = self._next_arrival_s(next_s)
            while self._messages and self._messages[0][0] <= self.now_s:
                _, _, call = heapq.heappop(self._messages)
                call()
            for instance in self._instances:
                self._serve_waiting(instance)
                self._report_if_due(instance)
            self._lead()

    def most_in_window(self):
        """Return the most requests in any 4 s, from 3 s on."""
        times = [t for t in self.sent_s if t >= STABLE_S]
        most, begin = 0, 0
        for end, at_s in enumerate(times):
            while times[begin] <= at_s - WINDOW_S:
                begin += 1
            most = max(most, end - begin + 1)
        return most

    @property
    def allowed(self):
        """Requests that the rule allows in 4 s."""
        return FACTOR * self._load.limit * WINDOW_S + EXTRA

    def rate(self, from_s, until_s):
        """Return the requests a second in a time."""
        return sum(from_s <= t < until_s for t in self.sent_s) / (until_s - from_s)

    def _next_arrival_s(self, now_s):
        load = self._load
        in_burst = load.burst_at_s <= now_s < load.burst_at_s + 2.0
        return now_s + self._rng.expovariate(
            load.per_s * (load.burst if in_burst else 1.0)
        )

    def _arrive(self):
        instances = self._instances
        first = self._rng.random() < self._load.skew
        instance = instances[0] if first else self._rng.choice(instances)
        self.asked += 1
        instance.permits.want(TARGET)
        if not self._send(instance) and self._load.waits_s:
            instance.waiting.append(self.now_s)
            instance.next_report_s = min(instance.next_report_s, self.now_s)

    def _send(self, instance):
        if not instance.permits.admits(TARGET, self.now_s):
            return False
        instance.permits.use(TARGET, self.now_s)
        instance.limits.record(TARGET, self._load.limit, self.now_s)
        self.sent_s.append(self.now_s)
        return True

    def _serve_waiting(self, instance):
        first_s = self.now_s - self._load.waits_s
        instance.waiting = [t for t in instance.waiting if t > first_s]
        while instance.waiting and self._send(instance):
            instance.waiting.pop(0)

    def _report_if_due(self, instance):
        if self.now_s < max(instance.next_report_s, instance.min_report_s):
            return
        count = self._load.instances
        instance.next_report_s = self.now_s + report_interval_s(count)
        instance.min_report_s = self.now_s + min_report_interval_s(count)
        use = instance.permits.take_use(TARGET, self.now_s)
        waiting, oldest_s = len(instance.waiting), min(instance.waiting, default=0.0)
        self._post(lambda: self._receive(instance.name, use, waiting, oldest_s))

    def _receive(self, name, use, waiting, oldest_s):
        if self._has_holder():
            key, now_s = key_of(TARGET), self.now_s
            self._issuer.report(name, key, use, waiting, oldest_s, now_s)

    def _has_holder(self):
        gone_s, back_s = self._load.holder_gone
        return not gone_s <= self.now_s < back_s

    def _lead(self):
        if not self._has_holder():
            self._issuer.clear()
            return
        if self.now_s >= self._next_view_s:
            self._next_view_s = self.now_s + VIEW_INTERVAL_S
            for instance in self._instances:
                self._post(lambda i=instance: self._view(i))
        limits = {key_of(TARGET): self._load.limit}
        by_name = {instance.name: instance for instance in self._instances}
        for name, permits in self._issuer.issue(limits, self.now_s).items():
            self._post(lambda n=name, p=permits: self._grant(by_name[n], p))

    def _view(self, instance):
        instance.permits.instances = self._load.instances
        instance.permits.heard_from_holder(self.now_s)

    def _grant(self, instance, permits: Counter):
        for key, count in permits.items():
            instance.permits.grant(key, count, self.now_s)

    def _post(self, call):
        due_s = self.now_s + self._rng.random() * self._load.delay_s
        heapq.heappush(self._messages, (due_s, next(self._order), call))
