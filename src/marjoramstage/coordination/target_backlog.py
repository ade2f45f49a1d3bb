"""Outstanding work of targets, as far as one instance knows.

An instance knows its own requests, what other instances announced of late, and how
many requests of all instances ran at each target when the holder of the placement
lease last told. The older that is, the less it counts. Only requests whose work is
known (`RequestWork`) are weighed; for others the number of running requests decides.
The module does no I/O: time is an argument.
"""

from __future__ import annotations

import math
from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass

from marjoramstage.coordination.kept_prefixes import KeptPrefixes
from marjoramstage.coordination.request_cost import (
    CostModel,
    RequestWork,
    StreamObserved,
    WorkEstimate,
    nominal_token_s,
)
from marjoramstage.state.fleet import FleetTarget

# Views come every 0.25 s, or less often with many instances. Counts of this age and
# older lose half of their weight in each half-life, in seconds.
FRESH_S = 1.0
VIEW_HALF_LIFE_S = 2.0
# Work that another instance announced counts until a view comes, and less and less if
# none does, in seconds.
ANNOUNCED_S = 0.5
# Share of the cost that comes from the remaining work of a target's requests, and not
# from how many there are.
WORK_SHARE = 0.3
# Weight of a new request in the mean size of a service's requests.
SMOOTHING_FACTOR = 0.02


# Part of a first part's tokens that its preferred target is taken to have cached, as
# other instances may have sent it there.
HOME_SHARE = 0.9
# Incarnation and tokens.
NOTHING_CACHED = (0, 0)


@dataclass(slots=True)
class KnownWork:
    """Requests whose work at a target is known.

    Attributes
    ----------
    count, context_tokens : int
        Running requests of this instance, and the tokens that they will take up.
    end_sum_s : float
        Sum of the times at which they are expected to end.
    announced_s, announced_at_s : float
        Decode time that other instances announced, as of a time, in seconds.
    """

    count: int = 0
    context_tokens: int = 0
    end_sum_s: float = 0.0
    announced_s: float = 0.0
    announced_at_s: float = 0.0

    def announced_left_s(self, now_s: float) -> float:
        """Return the announced work that no view is likely to include yet."""
        left = 1 - (now_s - self.announced_at_s) / ANNOUNCED_S
        return self.announced_s * left if left > 0 else 0.0


@dataclass(frozen=True, slots=True)
class _Sent:
    """A request that runs, as it was added to the sums of its target.

    Attributes
    ----------
    reads_from_s : float
        When the target is expected to have read the prompts before.
    """

    estimate: WorkEstimate
    reads_from_s: float
    end_s: float


@dataclass
class MeanRequest:
    """Mean size of the requests of a service."""

    count: int = 0
    decode_s: float = 0.0
    context_tokens: float = 0.0

    def add(self, estimate: WorkEstimate) -> None:
        """Add a request."""
        self.count += 1
        weight = max(SMOOTHING_FACTOR, 1 / self.count)
        self.decode_s += weight * (estimate.decode_s - self.decode_s)
        more = estimate.context_tokens - self.context_tokens
        self.context_tokens += weight * more


class TargetBacklog:
    """Outstanding work at each target, and what a request would add there.

    Attributes
    ----------
    known : dict
        Requests whose work is known, by target.
    sent_tokens, cached_tokens : int
        Tokens of the prompts of this instance, and how many of them targets were taken
        to have cached.
    """

    def __init__(self, model: CostModel | None = None):
        self.model = model or CostModel()
        self.known: dict[str, KnownWork] = {}
        self.sent_tokens = 0
        self.cached_tokens = 0
        self._prefixes = KeptPrefixes()
        self._sent: dict[tuple[str, RequestWork], _Sent] = {}
        self._unannounced_ms: dict[str, int] = {}
        self._means: dict[str, MeanRequest] = {}
        self._learned_s: float | None = None

    def record_sent(
        self, target: FleetTarget, work: RequestWork, backlog_s: float, now_s: float
    ) -> WorkEstimate:
        """Record a request that is sent to a target; return its likely work there.

        Parameters
        ----------
        backlog_s : float
            Time until the target has read the prompts before, in seconds.
        """
        estimate = self.estimate(work, target, now_s)
        end_s = now_s + backlog_s + estimate.prefill_s + estimate.decode_s
        known = self.known.setdefault(target.name, KnownWork())
        known.count += 1
        known.context_tokens += estimate.context_tokens
        known.end_sum_s += end_s
        self._sent[target.name, work] = _Sent(estimate, now_s + backlog_s, end_s)
        self._means.setdefault(work.service, MeanRequest()).add(estimate)
        self.sent_tokens += work.prompt_tokens
        self.cached_tokens += work.prompt_tokens - estimate.uncached_tokens
        work_ms = int(estimate.decode_s * 1000)
        announced_ms = self._unannounced_ms.get(target.name, 0)
        self._unannounced_ms[target.name] = announced_ms + work_ms
        self._prefixes.record_sent(
            target, work.item, work.parts, work.prompt_tokens, now_s
        )
        return estimate

    def record_ended(self, target: str, work: RequestWork) -> None:
        """Record that a request no longer runs at a target."""
        sent = self._sent.pop((target, work), None)
        known = self.known.get(target)
        if sent is None or known is None:
            return
        known.count -= 1
        known.context_tokens -= sent.estimate.context_tokens
        known.end_sum_s -= sent.end_s
        if known.count <= 0:
            # No rounding errors stay behind.
            known.count, known.context_tokens, known.end_sum_s = 0, 0, 0.0

    def observe(
        self,
        target: str,
        work: RequestWork,
        events: int,
        first_event_s: float,
        last_event_s: float,
    ) -> None:
        """Learn from a request that ran from its start to its end at a target.

        Parameters
        ----------
        first_event_s, last_event_s : float
            When these events arrived, on the clock of `record_sent`.
        """
        sent = self._sent.get((target, work))
        if sent is None:
            return
        seen = StreamObserved(
            target,
            events,
            max(0.0, first_event_s - sent.reads_from_s),
            max(0.0, last_event_s - first_event_s),
            sent.estimate.uncached_tokens,
        )
        self.model.observe(work, seen)

    def sent_estimate(self, target: str, work: RequestWork) -> WorkEstimate | None:
        """Return the work of a request as it was estimated when it was sent."""
        sent = self._sent.get((target, work))
        return None if sent is None else sent.estimate

    def record_remote(self, work_ms: Mapping[str, int], now_s: float) -> None:
        """Record the work of requests that another instance sent, by target."""
        for target, added_ms in work_ms.items():
            known = self.known.setdefault(target, KnownWork())
            left_s = known.announced_left_s(now_s)
            known.announced_s = left_s + max(0, added_ms) * 0.001
            known.announced_at_s = now_s

    def take_unannounced(self) -> dict[str, int]:
        """Return the work sent to each target since the last call, in ms."""
        unannounced, self._unannounced_ms = self._unannounced_ms, {}
        return unannounced

    def learn(self, now_s: float) -> None:
        """Record that the running requests of all instances were told.

        Work that was announced before is part of them, but for what was sent since the
        last reports (0.2 s).
        """
        self._learned_s = now_s
        for known in self.known.values():
            known.announced_s = 0.0

    def age_s(self, now_s: float) -> float | None:
        """Return the age of what is known of other instances; None if nothing is."""
        return None if self._learned_s is None else now_s - self._learned_s

    def estimate(
        self, work: RequestWork, target: FleetTarget, now_s: float
    ) -> WorkEstimate:
        """Return the likely work of a request at a target."""
        outlook = self.outlook(work, (), lambda _: False, now_s)
        return outlook.estimate(target)

    def work_s(self, target: str, now_s: float) -> float:
        """Return the likely remaining decode time of this instance's requests."""
        known = self.known.get(target)
        if known is None:
            return 0.0
        return max(0.0, known.end_sum_s - known.count * now_s)

    def outlook(
        self,
        work: RequestWork,
        targets: Iterable[FleetTarget],
        is_holder: Callable[[FleetTarget], bool],
        now_s: float,
    ) -> Outlook:
        """Return what tells the cost of a request at each target now.

        Parameters
        ----------
        targets, is_holder : iterable of FleetTarget, callable
            Targets of the service, and whether one has what the request requires.
        """
        cached = self._prefixes.cached_tokens(
            work.item, work.parts, work.capacity_tokens, now_s
        )
        if work.parts:
            first = work.parts[0]
            home = self._prefixes.home(work.item, first, targets, is_holder, now_s)
            if home is not None:
                cached.setdefault(home, int(HOME_SHARE * first.tokens))
        return Outlook(self, work, cached, now_s)

    def forget(self, target: str) -> None:
        """Forget a target that is gone or has restarted, with its requests."""
        self.known.pop(target, None)
        for key in [key for key in self._sent if key[0] == target]:
            del self._sent[key]
        self._unannounced_ms.pop(target, None)
        self._prefixes.forget(target)
        self.model.forget_target(target)

    def mean_request(self, service: str) -> MeanRequest:
        """Return the mean size of a service's requests; 0 if none was sent yet."""
        return self._means.get(service) or MeanRequest()

    def view_weight(self, now_s: float) -> float:
        """Return the weight of the last counts of other instances' requests."""
        age_s = self.age_s(now_s)
        if age_s is None or age_s <= FRESH_S:
            return 1.0
        return 0.5 ** ((age_s - FRESH_S) / VIEW_HALF_LIFE_S)


class Outlook:
    """Cost of one request at each target, at one time.

    `busy` and `prefill_s` run for each target of each choice, so what is the same for
    all targets is computed once.
    """

    def __init__(
        self,
        backlog: TargetBacklog,
        work: RequestWork,
        cached: Mapping[tuple[str, int], int],
        now_s: float,
    ):
        mean = backlog.mean_request(work.service)
        self._model = backlog.model
        self._work = work
        # By name alone, as nearly no target has a part cached.
        self._cached: dict[str, tuple[int, int]] = {}
        for (name, incarnation), tokens in cached.items():
            self._cached[name] = max(
                self._cached.get(name, (0, 0)), (incarnation, tokens)
            )
        self._now_s = now_s
        self._known = backlog.known
        self._view_weight = backlog.view_weight(now_s)
        self._mean_context = mean.context_tokens
        self._per_decode_s = 1 / mean.decode_s if mean.decode_s > 0 else 0.0
        self._capacity = work.capacity_tokens or math.inf
        self._token_s = backlog.model.token_s(work)
        self._nominal_token_s = nominal_token_s(work)

    def estimate(self, target: FleetTarget) -> WorkEstimate:
        """Return the likely work of the request at a target."""
        return self._model.estimate(self._work, target, self.cached_tokens(target))

    def cached_tokens(self, target: FleetTarget) -> int:
        """Return the tokens of the prompt that a target is likely to have cached."""
        incarnation, tokens = self._cached.get(target.name, NOTHING_CACHED)
        return tokens if incarnation == target.incarnation else 0

    def uncached_tokens(self, target: FleetTarget) -> int:
        """Return the tokens of the prompt that a target has to read."""
        if target.name not in self._cached:
            return self._work.prompt_tokens
        # Callers may overstate the size of a part.
        return max(0, self._work.prompt_tokens - self.cached_tokens(target))

    def prefill_s(self, target: FleetTarget) -> float:
        """Return how long a target takes to read what it hasn't cached."""
        token_s = self._token_s.get(target.name, self._nominal_token_s)
        if target.name not in self._cached:
            return self._work.prompt_tokens * token_s
        return self.uncached_tokens(target) * token_s

    def busy(self, target: FleetTarget, running: int) -> float:
        """Return how busy a target is that runs so many requests.

        1 stands for a target whose slots or memory for context are all in use, by
        requests of mean size that are half done.
        """
        known = self._known.get(target.name)
        if known is None:
            others = running * self._view_weight
            context = others * self._mean_context
            return max(others / target.slots, context / self._capacity)
        count = known.count
        others = (running - count) * self._view_weight
        if known.announced_s:
            announced_s = known.announced_left_s(self._now_s)
            others += announced_s * self._per_decode_s
        context = known.context_tokens + others * self._mean_context
        left_s = known.end_sum_s - count * self._now_s
        remaining = others
        if left_s > 0:
            remaining += 2 * left_s * self._per_decode_s
        taken, full = (count + others) / target.slots, context / self._capacity
        occupied = taken if taken > full else full
        return (1 - WORK_SHARE) * occupied + WORK_SHARE * remaining / target.slots
