"""Predicts the time to first token and the service time of a request."""

from __future__ import annotations

from dataclasses import dataclass

from marjoramstage.protocol.messages import Request, TargetKind
from marjoramstage.state.inventory import Inventory

LEARN_SHARE = 0.1
DEFAULT_CALL_S = 0.02
OVERHEAD_S = 0.01
LEAST_RATIO = 0.02


@dataclass(frozen=True)
class Prediction:
    """Predicted times of a request from its dispatch, in seconds.

    Attributes
    ----------
    first_token_s, total_s : float
        Time to the first token, and to the end.
    cautious_total_s : float
        Time to the end plus the mean deviation observed so far.
    """

    first_token_s: float
    total_s: float
    safe_s: float


@dataclass
class _Seen:
    """Moving mean and mean deviation of actual over nominal time."""

    ratio: float = 1.0
    deviation: float = 0.0


class ServiceTimeEstimator:
    """Estimates service times from inventory speeds and observed requests."""

    def __init__(self):
        self._seen: dict[str, _Seen] = {}

    def predict(self, request: Request, inventory: Inventory) -> Prediction:
        """Return the predicted times of a request from its dispatch."""
        first_token_s, total_s = nominal_times(request, inventory)
        seen = self._seen.get(request.model, _Seen())
        return Prediction(
            first_token_s=first_token_s * seen.ratio,
            total_s=total_s * seen.ratio,
            safe_s=total_s * (seen.ratio + seen.deviation) + OVERHEAD_S,
        )

    def observe(self, request: Request, inventory: Inventory, took_s: float) -> None:
        """Update the estimate with the actual time of a completed request."""
        _, total_s = nominal_times(request, inventory)
        ratio = max(LEAST_RATIO, took_s / total_s)
        seen = self._seen.setdefault(request.model, _Seen())
        error = ratio - seen.ratio
        seen.ratio += LEARN_SHARE * error
        seen.deviation += LEARN_SHARE * (abs(error) - seen.deviation)


def nominal_times(request: Request, inventory: Inventory) -> tuple[float, float]:
    """Return the time to first token and to the end at nominal speed."""
    model = inventory.model_by_name.get(request.model)
    if request.kind is TargetKind.SERVICE or model is None:
        return DEFAULT_CALL_S, DEFAULT_CALL_S
    first_token_s = max(1, request.prompt_tokens) / model.prefill_tokens_per_s
    return (
        first_token_s,
        first_token_s + request.output_tokens / model.decode_tokens_per_s,
    )
