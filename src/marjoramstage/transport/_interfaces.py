"""Interfaces through which the relay uses other parts of the instance."""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol

from marjoramstage.exceptions import RequestError
from marjoramstage.protocol.events import Dispatch
from marjoramstage.protocol.messages import AttemptEnd, Request
from marjoramstage.transport._upstream import TargetCall
from marjoramstage.transport.responses import BufferedResponse

CallFactory = Callable[[Dispatch], TargetCall]


class Router(Protocol):
    """Admission and routing as the relay uses it."""

    async def submit(self, request: Request) -> Dispatch:
        """Wait for a target; raise `RequestError` if the request is rejected."""

    async def retry(self, request: Request, failed: tuple[str, ...]) -> Dispatch:
        """Wait for another target; errors as for `submit`."""

    def ended(self, end: AttemptEnd) -> None:
        """Report the end of an attempt."""

    def on_preemption(self, request_id: str, func: Callable[[], None] | None) -> None:
        """Call ``func`` if the attempt is preempted; None unregisters it."""


class UsageRecorder(Protocol):
    """Records requests that ran, for billing."""

    def record(self, request: Request, tokens: int) -> None:
        """Record a request that ran to completion."""


class Claim(Protocol):
    """Exclusive right to run the request with an idempotency key."""

    async def acquire(self) -> BufferedResponse | None:
        """Claim the key before the first byte is sent to a target.

        Returns the recorded response if a request with this key has already
        run; raises `RequestError` if the request must not be sent.
        """

    async def resolve_error(self, error: RequestError) -> BufferedResponse:
        """Handle an error: return an earlier submission's response, or raise."""

    async def record_response(self, response: BufferedResponse) -> None:
        """Record the response under the key."""


class ClaimStore(Protocol):
    """Creates the claims of idempotency keys."""

    def open(self, customer: str, key: str, fingerprint: str, request_id: str) -> Claim:
        """Return the claim of one submission of a request."""
