"""Claims of idempotency keys: which request may run, and its outcome."""

from __future__ import annotations

import base64
import enum
import hashlib
from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any

from result import Err, Ok, Result

from marjoramstage.exceptions import Verdict
from marjoramstage.protocol.objects import PlatformError, PlatformFault, PlatformObject

MAX_CALL_FAILURES = 4
MAX_BODY_BYTES = 65_536


class ClaimState(enum.Enum):
    """Whether the outcome of a claimed request is recorded."""

    OPEN = "open"
    ENDED = "ended"


@dataclass(frozen=True)
class ClaimRecord:
    """The claim stored on the platform for one key of one customer.

    Attributes
    ----------
    owner : str
        Id of the only request that may run.
    fingerprint : str
        Hash of method, path and body.
    status, content_type, headers, body
        The response, once ended; no body if it was too large to store.
    """

    owner: str
    fingerprint: str
    state: ClaimState = ClaimState.OPEN
    status: int = 0
    content_type: str = ""
    headers: tuple[tuple[str, str], ...] = ()
    body: bytes | None = None


class ClaimStep(enum.Enum):
    """Next step in processing a claim.

    Attributes
    ----------
    CREATE, READ
        Create or read the claim on the platform and pass in the result.
    RUN
        The claim belongs to this request: run it.
    REPLAY
        Answer with the recorded outcome.
    IN_DOUBT
        Another request owns the claim and no outcome is recorded.
    MISMATCH
        The key was used for a different request.
    UNAVAILABLE
        The platform is unavailable; the request was not sent.
    """

    CREATE = "create"
    READ = "read"
    RUN = "run"
    REPLAY = "replay"
    IN_DOUBT = "in-doubt"
    MISMATCH = "mismatch"
    UNAVAILABLE = "unavailable"


class ClaimStateMachine:
    """Decides from the platform's responses whether a request may run.

    If the response to a create is lost, the claim is read back and its owner
    compared, so that a request neither runs twice nor loses its own claim.

    Parameters
    ----------
    owner : str
        Id of the request that makes the claim.
    max_failures : int
        Failed calls after which the platform is considered unavailable.

    Attributes
    ----------
    record : ClaimRecord or None
        The claim as last read or created.
    version : str
        Its resource version.
    """

    def __init__(
        self, owner: str, fingerprint: str, max_failures: int = MAX_CALL_FAILURES
    ):
        self.record: ClaimRecord | None = None
        self.version = ""
        self._owner = owner
        self._fingerprint = fingerprint
        self._calls_left = max_failures

    def new_record(self) -> ClaimRecord:
        """Return the claim to create."""
        return ClaimRecord(self._owner, self._fingerprint)

    def on_created(self, result: Result[PlatformObject, PlatformError]) -> ClaimStep:
        """Handle the result of `ClaimStep.CREATE`."""
        match result:
            case Ok(obj):
                return self._on_record(obj)
            case Err(error) if error.fault is PlatformFault.EXISTS:
                return ClaimStep.READ
            case Err(error) if error.verdict is Verdict.NOT_RUN:
                return self._retry(ClaimStep.CREATE)
        return self._retry(ClaimStep.READ)

    def on_read(self, result: Result[PlatformObject, PlatformError]) -> ClaimStep:
        """Handle the result of `ClaimStep.READ`."""
        match result:
            case Ok(obj):
                return self._on_record(obj)
            case Err(error) if error.fault is PlatformFault.NOT_FOUND:
                return self._retry(ClaimStep.CREATE)
        return self._retry(ClaimStep.READ)

    def _retry(self, step: ClaimStep) -> ClaimStep:
        self._calls_left -= 1
        return step if self._calls_left > 0 else ClaimStep.UNAVAILABLE

    def _on_record(self, obj: PlatformObject) -> ClaimStep:
        self.record = record_from_data(obj.spec)
        self.version = obj.version
        if self.record.owner == self._owner:
            return ClaimStep.RUN
        if self.record.fingerprint != self._fingerprint:
            return ClaimStep.MISMATCH
        if self.record.state is ClaimState.ENDED:
            return ClaimStep.REPLAY
        return ClaimStep.IN_DOUBT


def claim_name(customer: str, key: str) -> str:
    """Return the object name of a key; keys of different customers differ."""
    return hashlib.sha256(f"{customer}\0{key}".encode()).hexdigest()


def fingerprint(method: str, path: str, body: bytes) -> str:
    """Return the hash by which repeated requests are compared."""
    head = f"{method}\0{path}\0".encode()
    return hashlib.sha256(head + body).hexdigest()


def record_to_data(record: ClaimRecord) -> dict[str, Any]:
    """Return the spec of a claim's platform object."""
    data: dict[str, Any] = {
        "owner": record.owner,
        "fingerprint": record.fingerprint,
        "state": record.state.value,
    }
    if record.state is ClaimState.ENDED:
        data["status"] = record.status
        data["contentType"] = record.content_type
        data["headers"] = [list(header) for header in record.headers]
    if record.body is not None:
        data["body"] = base64.b64encode(record.body).decode()
    return data


def record_from_data(spec: Mapping[str, Any]) -> ClaimRecord:
    """Decode a claim from the spec of its platform object."""
    body = spec.get("body")
    return ClaimRecord(
        owner=spec["owner"],
        fingerprint=spec["fingerprint"],
        state=ClaimState(spec["state"]),
        status=spec.get("status", 0),
        content_type=spec.get("contentType", ""),
        headers=tuple((name, value) for name, value in spec.get("headers", ())),
        body=None if body is None else base64.b64decode(body),
    )
