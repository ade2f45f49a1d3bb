"""Parses and builds the headers of requests and answers."""

from __future__ import annotations

import math
from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass, field

from multidict import CIMultiDict, MultiMapping

from marjoramstage.state.customers import Customer
from marjoramstage.state.fleet import Item, LimitNotice, TargetNotice
from marjoramstage.state.prompts import PromptPart
from marjoramstage.state.request_ranks import MAX_URGENCY

REQUEST_ID = "Request-Id"
DEADLINE = "Deadline-Ms"
NOT_RUN = "Not-Run"
EXPECT_INSTANCE = "Expect-Instance"
URGENCY = "Urgency"
LAST_EVENT = "Last-Event-Id"
RESUMES = "Resumes"
PROMPT_PREFIX = "Prompt-Prefix"
AUTHORIZATION = "Authorization"
AUTH_SCHEME = "bearer"
CUSTOMER = "Tenant"
TOKENS = "Tokens"
LENGTH_HINT = "Length-Hint"
MAX_ID_CHARS = 128
MAX_COUNT_DIGITS = 18
MAX_PARTS = 256
# Leading parts of a prompt that are looked for at targets.
MAX_LEADING_PARTS = 8
STAMP = "Stamp"
LEAVING = "Server-Leaving"
RETRY_AFTER = "Retry-After"
LIMIT = "Server-Limit"

MS = 0.001

# The longest pause that a target can ask for, in seconds.
MAX_PAUSE_S = 3600.0

# The highest limit that a target can name, in requests a second.
MAX_LIMIT_PER_S = 1_000_000.0

# Hop-by-hop headers, and others that concern a single connection; not forwarded.
_HOP_BY_HOP_HEADERS = frozenset(
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

# Headers of a target's answer that are meant for this system, not for its callers.
_TARGET_NOTICE_HEADERS = frozenset((LEAVING.lower(), LIMIT.lower()))

# Headers that only this system may send to a target; dropped if a caller sends them.
_RESERVED_HEADERS = frozenset(
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


# Headers of a request that is only described, by the name that stands for each.
_DESCRIBED_HEADERS = {
    "model": "Model",
    "tokens": TOKENS,
    "prefix": PROMPT_PREFIX,
    "hint": LENGTH_HINT,
    "request_id": REQUEST_ID,
}

# Headers that tell a target whose request it is; from this system alone once keys
# are required.
_CUSTOMER_HEADERS = frozenset((AUTHORIZATION.lower(), CUSTOMER.lower()))


@dataclass(frozen=True)
class CallerHeaders:
    """Headers of a caller that this system uses, parsed.

    Attributes
    ----------
    timeout_s : float or None
        How long the caller waits, in seconds.
    item : Item or None
        Requested model or adapter.
    prompt_tokens, output_tokens : int
        Size of the prompt and limit on the tokens of the answer.
    states_tokens : bool
        Whether the caller told both of them.
    parts : tuple of str
        Identities of the prompt's parts, in order.
    leading_parts : tuple of PromptPart
        The first of them with their sizes, without the last, which is the prompt's own.
    length_hint : int
        Tokens of the answer as the caller expects; 0 if it states none.
    last_event_id : str
        Id of the last event that the caller received of a stream; empty if none.
    resumes : str
        Id of the request that got the first event of that stream; empty if the
        caller names none.
    key : str
        Key of a customer; empty if there is none, or more than one.
    key_headers : int
        How many headers may hold a key.
    """

    request_id: str
    timeout_s: float | None = None
    item: Item | None = None
    prompt_tokens: int = 0
    output_tokens: int = 0
    parts: tuple[str, ...] = ()
    last_event_id: str = ""
    resumes: str = ""
    states_tokens: bool = False
    key: str = field(default="", repr=False)
    key_headers: int = 0
    leading_parts: tuple[PromptPart, ...] = ()
    length_hint: int = 0


def request_id_of(headers: Mapping[str, str]) -> str:
    """Return the request id in the headers of a request or answer."""
    return headers.get(REQUEST_ID, "")


def proves_not_run(status: int, headers: Mapping[str, str]) -> bool:
    """Whether an answer of a target proves that the request did not run."""
    return NOT_RUN in headers or status == 421


def target_notice(status: int, headers: MultiMapping[str]) -> TargetNotice:
    """Return what a target says of itself in an answer; invalid values are ignored.

    Any target answers 503 when it is full, so only there does `Retry-After` ask for
    a pause. The longest of several pauses applies.
    """
    leaving = any(
        word.strip() == "1"
        for value in headers.getall(LEAVING, ())
        for word in value.split(",")
    )
    pauses_s = (
        [_parse_pause(text) for text in headers.getall(RETRY_AFTER, ())]
        if status == 503
        else []
    )
    return TargetNotice(leaving, max(pauses_s, default=0.0))


def limit_notice(status: int, headers: MultiMapping[str]) -> LimitNotice:
    """Return what a target says in an answer of the rate of requests that it takes.

    Invalid values are ignored; the lowest of several applies. A failure may be
    answered by a part of the target that knows nothing of its limit, so only an
    answer below 400 without the header lifts one.
    """
    values = headers.getall(LIMIT, ())
    limits = [limit for text in values if (limit := _parse_limit(text)) is not None]
    lifts = not values and status < 400
    return LimitNotice(min(limits, default=None), lifts)


def caller_headers(headers: MultiMapping[str]) -> CallerHeaders:
    """Parse the headers of a caller; invalid values are ignored."""
    tokens = headers.get(TOKENS, "")
    keys = headers.getall(AUTHORIZATION, ())
    prompt, output = _parse_tokens(tokens)
    return CallerHeaders(
        request_id=headers.get(REQUEST_ID, ""),
        timeout_s=_parse_timeout(headers.get(DEADLINE)),
        item=_parse_item(headers.get("Model", "")),
        prompt_tokens=prompt,
        output_tokens=output,
        parts=_parse_parts(headers.get(PROMPT_PREFIX, "")),
        last_event_id=headers.get(LAST_EVENT, ""),
        resumes=headers.get(RESUMES, "")[:MAX_ID_CHARS],
        states_tokens=_states_tokens(tokens),
        key=_parse_key(keys),
        key_headers=len(keys),
        leading_parts=_parse_leading_parts(headers.get(PROMPT_PREFIX, "")),
        length_hint=max(0, _parse_tokens(headers.get(LENGTH_HINT, ""))[0]),
    )


def described_headers(fields: Mapping[str, str], request_id: str) -> CallerHeaders:
    """Return the headers of a request that isn't sent; unknown fields are ignored.

    Parameters
    ----------
    fields : Mapping
        Values of headers by `_DESCRIBED_HEADERS`.
    request_id : str
        Its id, unless a field states one.
    """
    named = {
        header: fields[name]
        for name, header in _DESCRIBED_HEADERS.items()
        if name in fields
    }
    return caller_headers(CIMultiDict({REQUEST_ID: request_id, **named}))


def target_headers(
    headers: Iterable[tuple[str, str]],
    connection: str,
    target: str,
    remaining_s: float | None,
    rank: int | None,
    last_event_id: str = "",
    customer: Customer | None = None,
    keys_required: bool = False,
) -> CIMultiDict[str]:
    """Return the headers to send to a target.

    Parameters
    ----------
    headers : iterable of pairs
        As the caller sent them.
    connection : str
        The caller's ``Connection`` header, which names further headers to drop.
    remaining_s : float or None
        Time that the target may take.
    rank : int or None
        Urgency, for engines.
    last_event_id : str
        Id of the event after which a stream is resumed.
    customer : Customer or None
        Whose request it is.
    keys_required : bool
        The configuration has customers: what the caller sent of its key and name is
        dropped.
    """
    drop = (
        _HOP_BY_HOP_HEADERS
        | _RESERVED_HEADERS
        | {name.strip().lower() for name in connection.split(",")}
    )
    if keys_required or customer is not None:
        drop |= _CUSTOMER_HEADERS
    kept: CIMultiDict[str] = CIMultiDict()
    for name, value in headers:
        if name.lower() not in drop:
            kept.add(name, value)
    kept[EXPECT_INSTANCE] = target
    if remaining_s is not None:
        kept[DEADLINE] = str(max(1, int(remaining_s / MS)))
    if rank is not None:
        kept[URGENCY] = str(min(max(rank, 0), MAX_URGENCY))
    if last_event_id:
        kept[LAST_EVENT] = last_event_id
    if customer is not None:
        kept[CUSTOMER] = customer.name
    return kept


def order_headers(target: str) -> CIMultiDict[str]:
    """Return the headers of a control call that only ``target`` may answer."""
    return CIMultiDict({EXPECT_INSTANCE: target, "Content-Type": "application/json"})


def answer_headers(headers: Mapping[str, str]) -> CIMultiDict[str]:
    """Return the headers of a target's answer to forward to the caller."""
    connection = headers.get("Connection", "")
    drop = (
        _HOP_BY_HOP_HEADERS
        | _TARGET_NOTICE_HEADERS
        | {name.strip().lower() for name in connection.split(",")}
    )
    kept: CIMultiDict[str] = CIMultiDict()
    for name, value in headers.items():
        if name.lower() not in drop:
            kept.add(name, value)
    return kept


def _parse_timeout(text: str | None) -> float | None:
    try:
        return max(0.0, float(text) * MS) if text else None
    except ValueError:
        return None


def _parse_pause(text: str) -> float:
    """Return a pause in seconds; 0 for a date, or for what is no finite number."""
    try:
        pause_s = float(text)
    except ValueError:
        return 0.0
    return min(max(0.0, pause_s), MAX_PAUSE_S) if math.isfinite(pause_s) else 0.0


def _parse_limit(text: str) -> float | None:
    """Return requests a second; None for what is no finite number of them."""
    try:
        per_s = float(text)
    except ValueError:
        return None
    if not math.isfinite(per_s) or per_s < 0:
        return None
    return min(per_s, MAX_LIMIT_PER_S)


def _parse_item(text: str) -> Item | None:
    model, _, adapter = text.partition("/")
    return Item(model, adapter) if model else None


def _parse_tokens(text: str) -> tuple[int, int]:
    first, _, second = text.partition(",")
    try:
        return int(first or 0), int(second or 0)
    except ValueError:
        return 0, 0


def _states_tokens(text: str) -> bool:
    """Whether both numbers of tokens are given, and neither is negative."""
    numbers = [part.strip() for part in text.split(",")]
    return len(numbers) == 2 and all(_is_count(number) for number in numbers)


def _is_count(text: str) -> bool:
    """Whether a text is a whole number that `int` reads; it refuses very long ones."""
    return text.isascii() and text.isdigit() and len(text) <= MAX_COUNT_DIGITS


def _parse_key(values: Sequence[str]) -> str:
    """Return the key of a customer; empty unless there is exactly one."""
    if len(values) != 1:
        return ""
    scheme, _, key = values[0].partition(" ")
    return key.strip(" ") if scheme.lower() == AUTH_SCHEME else ""


def _parse_parts(text: str) -> tuple[str, ...]:
    """Return the identities of a prompt's parts; they are hexadecimal numbers."""
    parts = [part.partition(":")[0].strip().lower() for part in text.split(",")]
    return tuple(part[:MAX_ID_CHARS] for part in parts if part)[-MAX_PARTS:]


def _parse_leading_parts(text: str) -> tuple[PromptPart, ...]:
    """Return the first parts but the last, up to one without a valid size."""
    found = []
    for part in text.split(",", MAX_LEADING_PARTS)[:-1]:
        part_id, _, size = part.partition(":")
        tokens = _parse_tokens(size)[0]
        if not part_id.strip() or tokens <= 0:
            break
        found.append(PromptPart(part_id.strip().lower()[:MAX_ID_CHARS], tokens))
    return tuple(found)
