"""Outcomes of a replay from the view of its callers."""

from __future__ import annotations

import enum
import math
from collections import defaultdict
from collections.abc import Mapping
from dataclasses import dataclass, field

from marjoramstage.protocol.messages import Request, RequestClass

MIN_REQUESTS = 5


class Outcome(enum.Enum):
    """How a request ended for its caller."""

    MET = "met"
    LATE = "late"
    REFUSED = "refused"
    LOST = "lost"


@dataclass
class Tally:
    """Counts of requests by outcome, and of violated guarantees.

    Attributes
    ----------
    offered_tokens, met_tokens : dict
        Prompt and output tokens of all requests and of the met ones, by customer.
    model_offered, model_met : dict
        Requests and met requests, by model or service.
    last_met_s : dict
        Latest arrival time of a met request, by model or service.
    reasons : dict
        Requests by ``outcome:reason``.
    refused_but_ran : int
        Requests refused as not run although a target had started them.
    lost_by_fault : int
        Lost requests that were at an instance or a target when it was killed or
        cut off, and requests that arrived when no instance was live.
    """

    outcomes: dict[Outcome, int] = field(
        default_factory=lambda: dict.fromkeys(Outcome, 0)
    )
    by_class: dict[RequestClass, dict[Outcome, int]] = field(
        default_factory=lambda: {
            name: dict.fromkeys(Outcome, 0) for name in RequestClass
        }
    )
    offered_tokens: dict[str, int] = field(default_factory=lambda: defaultdict(int))
    met_tokens: dict[str, int] = field(default_factory=lambda: defaultdict(int))
    model_offered: dict[str, int] = field(default_factory=lambda: defaultdict(int))
    model_met: dict[str, int] = field(default_factory=lambda: defaultdict(int))
    last_met_s: dict[str, float] = field(default_factory=dict)
    first_token_ms: list[float] = field(default_factory=list)
    reasons: dict[str, int] = field(default_factory=lambda: defaultdict(int))
    refused_but_ran: int = 0
    lost_by_fault: int = 0

    def ended(self, request: Request, outcome: Outcome, reason: str = "") -> None:
        """Count a request that has its outcome."""
        tokens = request.prompt_tokens + request.output_tokens
        self.offered_tokens[request.customer] += tokens
        self.model_offered[request.model] += 1
        if outcome is Outcome.MET:
            self.met_tokens[request.customer] += tokens
            self.model_met[request.model] += 1
            last_s = self.last_met_s.get(request.model, 0.0)
            self.last_met_s[request.model] = max(last_s, request.arrived_s)
        self.outcomes[outcome] += 1
        self.by_class[request.request_class][outcome] += 1
        if reason:
            self.reasons[f"{outcome.value}:{reason}"] += 1

    def class_attainment(self, name: RequestClass) -> float:
        """Return the share of met requests of a class; 1 for no requests."""
        counts = self.by_class[name]
        offered = sum(counts.values())
        return counts[Outcome.MET] / offered if offered else 1.0

    def unreachable_models(self) -> int:
        """Return how many models or services never met a deadline.

        Those with fewer than `MIN_REQUESTS` requests are not counted.
        """
        return sum(
            offered >= MIN_REQUESTS and not self.model_met[name]
            for name, offered in self.model_offered.items()
        )


def percentile(values: list[float], share: float) -> float:
    """Return the nearest-rank percentile; 0 for no values."""
    if not values:
        return 0.0
    rank = max(1, math.ceil(share * len(values)))
    return sorted(values)[rank - 1]


def fairness_max_min(
    offered: Mapping[str, int], met: Mapping[str, int], weights: Mapping[str, float]
) -> float:
    """Return the ratio between the best and the worst served customer.

    Each customer is rated by its met tokens over its fair share. The fair shares
    divide all met tokens by weighted max-min fairness: no share is larger than
    what the customer offered, and the rest goes to the others by weight. The
    result is 1 if every customer got the same part of its share, and infinity
    if one got nothing.
    """
    due = _fair_division(offered, sum(met.values()), weights)
    shares = [met.get(name, 0) / part for name, part in due.items() if part > 0]
    if not shares or max(shares) == 0:
        return 1.0
    if min(shares) == 0:
        return math.inf
    return max(shares) / min(shares)


def _fair_division(
    offered: Mapping[str, int], total: float, weights: Mapping[str, float]
) -> dict[str, float]:
    due: dict[str, float] = {}
    left = float(total)
    open_names = sorted(name for name, tokens in offered.items() if tokens > 0)
    while open_names:
        unit = left / sum(weights.get(name, 1.0) for name in open_names)
        full = [
            name for name in open_names if offered[name] <= unit * weights.get(name, 1)
        ]
        if not full:
            due |= {name: unit * weights.get(name, 1.0) for name in open_names}
            break
        for name in full:
            due[name] = float(offered[name])
            left -= offered[name]
            open_names.remove(name)
    return due
