"""Usage records of customers, in batches that are counted only once."""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from typing import Any


@dataclass(frozen=True)
class Usage:
    """Usage of one model or service by a customer."""

    requests: int = 0
    prompt_tokens: int = 0
    output_tokens: int = 0

    def plus(self, other: Usage) -> Usage:
        """Return the sum."""
        return Usage(
            self.requests + other.requests,
            self.prompt_tokens + other.prompt_tokens,
            self.output_tokens + other.output_tokens,
        )


@dataclass(frozen=True)
class UsageBatch:
    """Usage of one customer, as recorded by one instance.

    Attributes
    ----------
    incarnation, sequence : str, int
        Identify the batch, so a batch that is written twice is counted once.
    by_model : Mapping
        Usage by model or service.
    """

    customer: str
    incarnation: str
    sequence: int
    by_model: Mapping[str, Usage]

    @property
    def name(self) -> str:
        """Name of the platform object of the batch."""
        return f"{self.incarnation}-{self.sequence}"


def batch_to_data(batch: UsageBatch) -> dict[str, Any]:
    """Return the spec of the platform object of a batch."""
    return {
        "customer": batch.customer,
        "incarnation": batch.incarnation,
        "sequence": batch.sequence,
        "usage": [
            {
                "model": model,
                "requests": usage.requests,
                "promptTokens": usage.prompt_tokens,
                "outputTokens": usage.output_tokens,
            }
            for model, usage in sorted(batch.by_model.items())
        ],
    }


def batch_from_data(spec: Mapping[str, Any]) -> UsageBatch:
    """Build a batch from the spec of its platform object."""
    by_model = {
        entry["model"]: Usage(
            entry["requests"], entry["promptTokens"], entry["outputTokens"]
        )
        for entry in spec["usage"]
    }
    return UsageBatch(spec["customer"], spec["incarnation"], spec["sequence"], by_model)


def totals(batches: Iterable[UsageBatch], customer: str) -> dict[str, Usage]:
    """Return a customer's usage by model or service, each batch counted once."""
    seen: set[str] = set()
    sums: dict[str, Usage] = {}
    for batch in batches:
        if batch.customer != customer or batch.name in seen:
            continue
        seen.add(batch.name)
        for model, usage in batch.by_model.items():
            sums[model] = sums.get(model, Usage()).plus(usage)
    return sums
