"""Replays of traces and their results."""

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
    """What a replay prints, in this order.

    Attributes
    ----------
    attainment_per_accelerator, attainment_limit : float
        Requests met by an accelerator, and the bound of it.
    moves : int
        Model and adapter loads and unloads that the fake targets carried out.
    fairness_max_min : float or None
        See `fairness_max_min`; None if a customer got nothing of its due.
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
    """What a replay measures beside its result, for stated outcomes.

    Attributes
    ----------
    urgent_attainment, interactive_attainment, overnight_attainment : float
        Met over offered of one class.
    lost_by_fault : int
        Lost requests that were inside a part when it was killed or cut off.
    refused_but_ran : int
        Requests answered as not run that a target had begun.
    cut_off : int
        Requests that an unload ended while they ran.
    longest_send_to_leaving_s : float
        Longest time after which a leaving target was sent new work.
    unreachable_models : int
        Models and services asked for at least `MIN_REQUESTS` times and never
        served in time.
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
        There is no such policy.
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
