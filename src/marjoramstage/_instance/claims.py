"""Claims of idempotency keys, stored as objects on the platform.

Of all instances, only the one that creates the claim object of a key may run the
request; its response is recorded in the object and replayed to later submissions.
"""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable
from dataclasses import replace

from result import Ok

from marjoramstage.clock import Clock
from marjoramstage.coordination.claims import (
    MAX_BODY_BYTES,
    ClaimRecord,
    ClaimState,
    ClaimStateMachine,
    ClaimStep,
    claim_name,
    record_to_data,
)
from marjoramstage.exceptions import RequestError, Verdict
from marjoramstage.logs import component_logger
from marjoramstage.protocol.objects import CLAIM, Platform, PlatformObject
from marjoramstage.transport.responses import BufferedResponse

log = component_logger("claims")

CLAIM_RETRY_DELAY_S = 0.05
MAX_RECORD_WAIT_S = 0.5
MAX_WRITE_ATTEMPTS = 8
WRITE_BACKOFF_S = 0.2
UNAVAILABLE_RETRY_AFTER_S = 2.0
RETRY_AFTER_JITTER = (0.8, 1.4)


class PlatformClaimStore:
    """Creates claims and tracks the keys whose requests run in this instance.

    Parameters
    ----------
    spawn : callable
        Starts a background task that may outlive the request.
    """

    def __init__(
        self,
        platform: Platform,
        clock: Clock,
        rng: random.Random,
        spawn: Callable[..., asyncio.Task],
    ):
        self.platform = platform
        self.clock = clock
        self.rng = rng
        self.spawn = spawn
        self.running_claims: set[str] = set()

    def open(
        self, customer: str, key: str, fingerprint: str, request_id: str
    ) -> PlatformClaim:
        """Return the claim of one submission of a request."""
        machine = ClaimStateMachine(request_id, fingerprint)
        return PlatformClaim(self, machine, claim_name(customer, key), request_id)


class PlatformClaim:
    """The claim of one submission of a request."""

    def __init__(
        self,
        store: PlatformClaimStore,
        machine: ClaimStateMachine,
        name: str,
        request_id: str,
    ):
        self._store = store
        self._machine = machine
        self._name = name
        self._request_id = request_id
        self._acquired = False

    async def acquire(self) -> BufferedResponse | None:
        """Claim the key, as the interface `Claim` of the transport package says.

        Raises
        ------
        RequestError
            The request must not be sent to a target.
        """
        if self._name in self._store.running_claims:
            raise _in_doubt_error()
        self._store.running_claims.add(self._name)
        try:
            step = await self._run_steps(ClaimStep.CREATE)
            self._acquired = step is ClaimStep.RUN
        finally:
            if not self._acquired:
                self._store.running_claims.discard(self._name)
        if self._acquired:
            return None
        return self._response_for(step)

    async def resolve_error(self, error: RequestError) -> BufferedResponse:
        """Handle a submission that ended in an error.

        If this submission holds the claim and has not run, its key is released. If it
        was refused before it claimed the key, the response that an earlier submission
        recorded is returned, if there is one.

        Raises
        ------
        RequestError
            There is no recorded response.
        """
        if self._acquired:
            if error.verdict is Verdict.NOT_RUN:
                await self._wait_briefly(self._release())
            self._store.running_claims.discard(self._name)
            raise error
        if error.verdict is not Verdict.NOT_RUN or error.code in _CLAIM_CODES:
            raise error
        if self._name in self._store.running_claims:
            raise _in_doubt_error()
        match await self._store.platform.get(CLAIM, self._name):
            case Ok(obj):
                return self._response_for(self._machine.on_read(Ok(obj)))
        raise error

    async def record_response(self, response: BufferedResponse) -> None:
        """Record the response of a submission that holds the claim."""
        if not self._acquired:
            return
        if response.verdict is Verdict.NOT_RUN:
            await self._wait_briefly(self._release())
        else:
            await self._wait_briefly(self._record(response))

    async def _run_steps(self, step: ClaimStep) -> ClaimStep:
        """Carry out create and read steps; return the first other step."""
        store, machine = self._store, self._machine
        while True:
            match step:
                case ClaimStep.CREATE:
                    spec = record_to_data(machine.new_record())
                    obj = PlatformObject(CLAIM, self._name, spec)
                    next_step = machine.on_created(await store.platform.create(obj))
                case ClaimStep.READ:
                    next_step = machine.on_read(
                        await store.platform.get(CLAIM, self._name)
                    )
                case _:
                    return step
            if next_step is step:
                await store.clock.sleep(CLAIM_RETRY_DELAY_S)
            step = next_step

    def _response_for(self, step: ClaimStep) -> BufferedResponse:
        """Return the recorded response, or raise the error of a final step."""
        match step:
            case ClaimStep.REPLAY:
                return _replayed_response(self._machine.record)
            case ClaimStep.IN_DOUBT | ClaimStep.RUN:
                raise _in_doubt_error()
            case ClaimStep.MISMATCH:
                text = "The key was used for a different request."
                raise RequestError(422, "key-reused", text, Verdict.NOT_RUN)
        text = (
            "This sending has not run, as the key could not be claimed; "
            "an earlier one may have. Send it again with the same key."
        )
        retry_after_s = UNAVAILABLE_RETRY_AFTER_S * self._store.rng.uniform(
            *RETRY_AFTER_JITTER
        )
        raise RequestError(
            503, "claim-unavailable", text, Verdict.NOT_RUN, retry_after_s
        )

    async def _wait_briefly(self, write) -> None:
        """Wait for a write up to `MAX_RECORD_WAIT_S`, then leave it to the background.

        A slow platform thus delays the caller's response only this long.
        """
        task = self._store.spawn(write)
        await asyncio.wait({task}, timeout=MAX_RECORD_WAIT_S)

    async def _record(self, response: BufferedResponse) -> None:
        body = response.body if len(response.body) <= MAX_BODY_BYTES else None
        record = replace(
            self._machine.new_record(),
            state=ClaimState.ENDED,
            status=response.status,
            content_type=response.content_type,
            headers=response.headers,
            body=body,
        )
        try:
            await self._write(record)
        finally:
            self._store.running_claims.discard(self._name)

    async def _write(self, record: ClaimRecord) -> None:
        """Write the outcome, with retries and exponential backoff.

        After a failed call the object is read: the write may have been applied, or its
        version may be outdated.
        """
        platform, version = self._store.platform, self._machine.version
        for attempt in range(MAX_WRITE_ATTEMPTS):
            obj = PlatformObject(CLAIM, self._name, record_to_data(record), version)
            if isinstance(await platform.update(obj), Ok):
                return
            await self._store.clock.sleep(WRITE_BACKOFF_S * 2**attempt)
            match await platform.get(CLAIM, self._name):
                case Ok(found) if found.spec["state"] == ClaimState.ENDED.value:
                    return
                case Ok(found):
                    version = found.version
        extra = {"claim": self._name, "request": self._request_id}
        log.warning("could not record the outcome of a claim", extra=extra)

    async def _release(self) -> None:
        """Delete the claim of a request that has not run; it may be sent again."""
        platform, version = self._store.platform, self._machine.version
        for attempt in range(MAX_WRITE_ATTEMPTS):
            result = await platform.delete(CLAIM, self._name, version)
            if isinstance(result, Ok) or result.err_value.verdict is Verdict.NOT_RUN:
                return
            await self._store.clock.sleep(WRITE_BACKOFF_S * 2**attempt)


# Error codes of this module; they already tell the state of the claim.
_CLAIM_CODES = frozenset({"key-in-doubt", "key-reused", "claim-unavailable"})


def _in_doubt_error() -> RequestError:
    text = "The key is claimed by an earlier sending whose outcome is not known."
    return RequestError(409, "key-in-doubt", text, Verdict.MAY_HAVE_RUN)


def _replayed_response(record: ClaimRecord) -> BufferedResponse:
    if record.body is None:
        text = "The request has run; its answer was too large to keep."
        raise RequestError(409, "answer-not-kept", text, Verdict.RAN)
    return BufferedResponse(
        status=record.status,
        content_type=record.content_type,
        body=record.body,
        headers=(*record.headers, ("Idempotency-Replayed", "true")),
    )
