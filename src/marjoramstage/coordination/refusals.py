"""Refusals of requests that have not run, with a retry-after time."""

from __future__ import annotations

import random

from marjoramstage.protocol.events import Refuse
from marjoramstage.protocol.messages import Request

MIN_RETRY_AFTER_S = 0.2
MAX_RETRY_AFTER_S = 300.0
EXPIRED_RETRY_AFTER_S = 5.0
RETRY_AFTER_JITTER = (0.8, 1.4)


def unknown_model(request: Request) -> Refuse:
    """Refuse a request for a name that is no longer in the inventory."""
    text = "The accepted inventory no longer has it."
    return Refuse(request, 404, "model", text, MIN_RETRY_AFTER_S)


def too_late(request: Request, min_service_s: float, rng: random.Random) -> Refuse:
    """Refuse a request that would miss its deadline even on an idle target."""
    text = "It cannot be served within its deadline."
    return Refuse(request, 503, "deadline", text, _jittered(min_service_s, rng))


def overload(request: Request, late_s: float, rng: random.Random) -> Refuse:
    """Refuse a request whose predicted start is ``late_s`` too late."""
    text = "The queue is too long for its deadline."
    return Refuse(request, 503, "overload", text, _jittered(late_s, rng))


def queue_full(request: Request, wait_s: float, rng: random.Random) -> Refuse:
    """Refuse a request because its queue is full."""
    text = "The queue is full."
    return Refuse(request, 429, "queue-full", text, _jittered(wait_s, rng))


def expired(request: Request, rng: random.Random) -> Refuse:
    """Refuse a queued request that can no longer meet its deadline."""
    text = "Its deadline can no longer be met."
    wait_s = min(EXPIRED_RETRY_AFTER_S, request.deadline_s - request.arrived_s)
    return Refuse(request, 503, "deadline", text, _jittered(wait_s, rng))


def retry_budget(request: Request, rng: random.Random) -> Refuse:
    """Refuse a retry because the retry budget is used up."""
    text = "The attempt failed and the retry budget is used up."
    return Refuse(request, 503, "retry-budget", text, _jittered(1.0, rng))


def _jittered(wait_s: float, rng: random.Random) -> float:
    bounded_s = min(max(wait_s, MIN_RETRY_AFTER_S), MAX_RETRY_AFTER_S)
    return bounded_s * rng.uniform(*RETRY_AFTER_JITTER)
