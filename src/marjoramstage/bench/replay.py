"""Replays a trace under a policy and collects the results."""

from __future__ import annotations

from dataclasses import dataclass

from marjoramstage.bench._tally import Outcome, fairness_max_min, percentile
from marjoramstage.bench.driver import Replay
from marjoramstage.bench.limit import met_limit
from marjoramstage.bench.policies import POLICIES
from marjoramstage.bench.trace import Trace
from marjoramstage.exceptions import ConfigError
from marjoramstage.protocol.messages import RequestClass

DIGITS = 4


@dataclass(frozen=True)
class ReplayResult:
    """The main results of a replay, in the order in which they are printed.

    Attributes
    ----------
    attainment_per_accelerator, attainment_limit : float
        Requests answered in time per accelerator, and the upper bound of this.
    moves : int
        Model and adapter loads and unloads that the fake targets carried out.
    fairness_max_min : float or None
        See `marjoramstage.bench._tally.fairness_max_min`; None if a customer with
        a fair share above 0 got nothing.
    """

    policy: str
    trace: str
    seed: int
    offered: int
    met: int
    late: int
    refused: int
    lost: int
    accelerators: int
    attainment_per_accelerator: float
    attainment_limit: float
    moves: int
    model_loads: int
    adapter_loads: int
    overcommit_events: int
    duplicate_runs: int
    fairness_max_min: float | None
    p95_first_token_ms: float


@dataclass(frozen=True)
class ReplayDetail:
    """Further results of a replay, which a trace can state expectations about.

    Attributes
    ----------
    urgent_attainment, interactive_attainment, overnight_attainment : float
        Share of the requests of the class that were answered in time.
    lost_by_fault : int
        Lost requests that were at an instance or target when it was killed or cut
        off from the network, or that found no live instance.
    refused_but_ran : int
        Requests refused as not run although a target had started them.
    cut_off : int
        Running requests that were aborted by an unload.
    longest_send_to_leaving_s : float
        Longest time between the leaving of a target and new work sent to it.
    unreachable_models : int
        Models and services that were requested at least
        `marjoramstage.bench._tally.MIN_REQUESTS` times and never served in time.
    reasons : dict
        Number of requests by outcome and reason.
    """

    urgent_attainment: float
    interactive_attainment: float
    overnight_attainment: float
    lost_by_fault: int
    refused_but_ran: int
    cut_off: int
    longest_send_to_leaving_s: float
    unreachable_models: int
    reasons: dict[str, int]


def replay(
    trace: Trace, policy: str = "current", seed: int = 1
) -> tuple[ReplayResult, ReplayDetail]:
    """Replay a trace.

    Raises
    ------
    ConfigError
        The policy is unknown.
    """
    if policy not in POLICIES:
        known = ", ".join(POLICIES)
        raise ConfigError((f"--policy: unknown policy {policy!r}; known: {known}",))
    run = Replay(trace, policy, seed)
    run.run()
    return _result(run, policy, seed), _detail(run)


def _result(run: Replay, policy: str, seed: int) -> ReplayResult:
    header, counts, tally = run.trace.header, run.counts, run.calls.tally
    met = tally.outcomes[Outcome.MET]
    weights = {customer.name: customer.weight for customer in run.inventory.customers}
    fairness = fairness_max_min(tally.offered_tokens, tally.met_tokens, weights)
    return ReplayResult(
        policy=policy,
        trace=header.name,
        seed=seed,
        offered=sum(tally.outcomes.values()),
        met=met,
        late=tally.outcomes[Outcome.LATE],
        refused=tally.outcomes[Outcome.REFUSED],
        lost=tally.outcomes[Outcome.LOST],
        accelerators=header.accelerators,
        attainment_per_accelerator=_per_accelerator(met, header.accelerators),
        attainment_limit=_per_accelerator(met_limit(run.trace), header.accelerators),
        moves=counts.model_loads + counts.adapter_loads + counts.unloads,
        model_loads=counts.model_loads,
        adapter_loads=counts.adapter_loads,
        overcommit_events=counts.overcommit_events,
        duplicate_runs=counts.duplicate_runs,
        fairness_max_min=None if fairness == float("inf") else round(fairness, DIGITS),
        p95_first_token_ms=round(percentile(tally.first_token_ms, 0.95), 1),
    )


def _detail(run: Replay) -> ReplayDetail:
    counts, tally = run.counts, run.calls.tally
    shares = {name: tally.class_attainment(name) for name in RequestClass}
    return ReplayDetail(
        urgent_attainment=round(shares[RequestClass.URGENT], DIGITS),
        interactive_attainment=round(shares[RequestClass.INTERACTIVE], DIGITS),
        overnight_attainment=round(shares[RequestClass.OVERNIGHT], DIGITS),
        lost_by_fault=tally.lost_by_fault,
        refused_but_ran=tally.refused_but_ran,
        cut_off=counts.cut_off,
        longest_send_to_leaving_s=round(
            max(counts.served_after_leaving, default=0.0), DIGITS
        ),
        unreachable_models=tally.unreachable_models(),
        reasons=dict(sorted(tally.reasons.items())),
    )


def _per_accelerator(count: int, accelerators: int) -> float:
    return round(count / accelerators, DIGITS) if accelerators else 0.0
