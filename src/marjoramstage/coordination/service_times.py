"""Predicts the time to first token and the service time of a request."""

from __future__ import annotations

from dataclasses import dataclass

from marjoramstage.protocol.messages import Request, TargetKind
from marjoramstage.state.inventory import Inventory

SMOOTHING_FACTOR = 0.1
DEFAULT_SERVICE_CALL_S = 0.02
OVERHEAD_S = 0.01
MIN_RATIO = 0.02


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
    cautious_total_s: float


@dataclass
class _Correction:
    """Moving mean and mean deviation of actual over nominal time."""

    ratio: float = 1.0
    deviation: float = 0.0


class ServiceTimeEstimator:
    """Estimates service times from inventory speeds and observed requests."""

    def __init__(self):
        self._corrections: dict[str, _Correction] = {}

    def predict(self, request: Request, inventory: Inventory) -> Prediction:
        """Return the predicted times of a request from its dispatch."""
        first_token_s, total_s = nominal_times(request, inventory)
        correction = self._corrections.get(request.model, _Correction())
        return Prediction(
            first_token_s=first_token_s * correction.ratio,
            total_s=total_s * correction.ratio,
            cautious_total_s=total_s * (correction.ratio + correction.deviation)
            + OVERHEAD_S,
        )

    def observe(self, request: Request, inventory: Inventory, actual_s: float) -> None:
        """Update the estimate with the actual time of a completed request."""
        _, total_s = nominal_times(request, inventory)
        ratio = max(MIN_RATIO, actual_s / total_s)
        correction = self._corrections.setdefault(request.model, _Correction())
        error = ratio - correction.ratio
        correction.ratio += SMOOTHING_FACTOR * error
        correction.deviation += SMOOTHING_FACTOR * (abs(error) - correction.deviation)


def nominal_times(request: Request, inventory: Inventory) -> tuple[float, float]:
    """Return the time to first token and to the end at nominal speed."""
    model = inventory.model_by_name.get(request.model)
    if request.kind is TargetKind.SERVICE or model is None:
        return DEFAULT_SERVICE_CALL_S, DEFAULT_SERVICE_CALL_S
    first_token_s = max(1, request.prompt_tokens) / model.prefill_tokens_per_s
    return (
        first_token_s,
        first_token_s + request.output_tokens / model.decode_tokens_per_s,
    )
