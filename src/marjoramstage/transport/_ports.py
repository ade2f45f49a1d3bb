"""What the relay needs of other parts of the instance."""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol

from marjoramstage.exceptions import RequestError
from marjoramstage.protocol.events import Dispatch
from marjoramstage.protocol.messages import AttemptEnd, Request
from marjoramstage.transport._answers import Answer
from marjoramstage.transport._calls import TargetCall

CallFor = Callable[[Dispatch], TargetCall]


class Router(Protocol):
    """Admission and routing as the relay uses it."""

    async def submit(self, request: Request) -> Dispatch:
        """Wait for a target; raise `RequestError` if the request is refused."""

    async def retry(self, request: Request, failed: tuple[str, ...]) -> Dispatch:
        """Wait for another target; errors as for `submit`."""

    def ended(self, end: AttemptEnd) -> None:
        """Note the end of an attempt."""

    def on_withdrawal(self, request_id: str, func: Callable[[], None] | None) -> None:
        """Call ``func`` when the attempt is to be stopped; None to forget it."""


class UsageSink(Protocol):
    """Where requests that ran are recorded for charging."""

    def ran(self, request: Request, tokens: int) -> None:
        """Note a request that ran to its end."""


class Claim(Protocol):
    """The right to run a request whose idempotency key is claimed."""

    async def take(self) -> Answer | None:
        """Claim the key before the first byte is sent.

        Returns the recorded answer if the key has run already; raises
        `RequestError` if it may not be sent.
        """

    async def failed(self, error: RequestError) -> Answer:
        """Settle an error; return an earlier sending's answer, or raise."""

    async def settle(self, answer: Answer) -> None:
        """Record the answer."""


class Claims(Protocol):
    """Where the claims of idempotency keys come from."""

    def open(self, customer: str, key: str, fingerprint: str, request_id: str) -> Claim:
        """Return the claim of one sending of a request."""
