"""Headers of requests and answers, and what they say."""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass

from multidict import CIMultiDict

from marjoramstage.state.fleet import Item
from marjoramstage.state.routes import MAX_URGENCY

REQUEST_ID = "Request-Id"
DEADLINE = "Deadline-Ms"
NOT_RUN = "Not-Run"
EXPECT_TARGET = "Expect-Instance"
URGENCY = "Urgency"
LAST_EVENT = "Last-Event-Id"
STAMP = "Stamp"

MS = 0.001

# One connection's own business, never passed on.
_HOP = frozenset(
    (
        "connection",
        "keep-alive",
        "proxy-connection",
        "proxy-authenticate",
        "proxy-authorization",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
        "content-length",
        "expect",
    )
)

# Only the system may say these to a target.
_OWN = frozenset(
    (
        "hold",
        "pin-ms",
        "kv-backup",
        "kv-from",
        "kv-fetch",
        "urgency",
        "expect-instance",
        "expect-version",
        "deadline-ms",
    )
)


@dataclass(frozen=True)
class CallerHeaders:
    """What a caller's headers say.

    Attributes
    ----------
    deadline_s : float or None
        How long the caller waits, in seconds.
    item : Item or None
        Model or adapter that is asked for.
    prompt_tokens, output_tokens : int
        Size of the prompt and most tokens of the answer.
    parts : tuple of str
        Identities of the prompt's parts, in order.
    """

    request_id: str
    deadline_s: float | None = None
    item: Item | None = None
    prompt_tokens: int = 0
    output_tokens: int = 0
    parts: tuple[str, ...] = ()
    last_event: str = ""


def request_id_of(headers: Mapping[str, str]) -> str:
    """Return the id of a request, or of the request that an answer is for."""
    return headers.get(REQUEST_ID, "")


def is_not_run(status: int, headers: Mapping[str, str]) -> bool:
    """Whether an answer of a target proves that the request did not run."""
    return NOT_RUN in headers or status == 421


def caller_headers(headers: Mapping[str, str]) -> CallerHeaders:
    """Read the headers of a caller; a field that cannot be read is left out."""
    prompt, output = _tokens(headers.get("Tokens", ""))
    return CallerHeaders(
        request_id=headers.get(REQUEST_ID, ""),
        deadline_s=_deadline(headers.get(DEADLINE)),
        item=_item(headers.get("Model", "")),
        prompt_tokens=prompt,
        output_tokens=output,
        parts=_parts(headers.get("Prompt-Prefix", "")),
        last_event=headers.get(LAST_EVENT, ""),
    )


def target_headers(
    headers: Iterable[tuple[str, str]],
    named: str,
    target: str,
    left_s: float | None,
    rank: int | None,
    last_event: str = "",
) -> CIMultiDict[str]:
    """Return the headers to send to a target.

    Parameters
    ----------
    headers : iterable of pairs
        As the caller sent them.
    named : str
        The caller's ``Connection`` header: it names further ones to drop.
    left_s : float or None
        Time that the target may take.
    rank : int or None
        Urgency of work at an engine.
    last_event : str
        Id after which a stream goes on.
    """
    drop = _HOP | _OWN | {name.strip().lower() for name in named.split(",")}
    found: CIMultiDict[str] = CIMultiDict()
    for name, value in headers:
        if name.lower() not in drop:
            found.add(name, value)
    found[EXPECT_TARGET] = target
    if left_s is not None:
        found[DEADLINE] = str(max(1, int(left_s / MS)))
    if rank is not None:
        found[URGENCY] = str(min(max(rank, 0), MAX_URGENCY))
    if last_event:
        found[LAST_EVENT] = last_event
    return found


def order_headers(target: str) -> CIMultiDict[str]:
    """Return the headers of a call that only ``target`` may answer."""
    return CIMultiDict({EXPECT_TARGET: target, "Content-Type": "application/json"})


def answer_headers(headers: Mapping[str, str]) -> CIMultiDict[str]:
    """Return the headers of a target's answer that are passed on."""
    named = headers.get("Connection", "")
    drop = _HOP | {name.strip().lower() for name in named.split(",")}
    found: CIMultiDict[str] = CIMultiDict()
    for name, value in headers.items():
        if name.lower() not in drop:
            found.add(name, value)
    return found


def _deadline(text: str | None) -> float | None:
    try:
        return max(0.0, float(text) * MS) if text else None
    except ValueError:
        return None


def _item(text: str) -> Item | None:
    model, _, adapter = text.partition("/")
    return Item(model, adapter) if model else None


def _tokens(text: str) -> tuple[int, int]:
    first, _, second = text.partition(",")
    try:
        return int(first or 0), int(second or 0)
    except ValueError:
        return 0, 0


def _parts(text: str) -> tuple[str, ...]:
    parts = [part.strip().partition(":")[0] for part in text.split(",")]
    return tuple(part for part in parts if part)
