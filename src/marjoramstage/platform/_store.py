"""Client of the platform's object store over HTTP."""

from __future__ import annotations

import asyncio
import time
from collections.abc import AsyncIterator, Mapping
from dataclasses import dataclass
from typing import Any
from urllib.parse import quote

import aiohttp
from result import Err, Ok, Result

from marjoramstage.exceptions import Verdict
from marjoramstage.logs import component_logger
from marjoramstage.platform import _json
from marjoramstage.protocol.objects import (
    Kind,
    ObjectList,
    PlatformError,
    PlatformFault,
    PlatformObject,
    WatchEvent,
    WatchType,
)
from marjoramstage.state.store_era import EraChange, StoreEra
from marjoramstage.transport.client_connection import UnexpectedBytesError
from marjoramstage.transport.response_body import BodyTooLargeError, ResponseBody
from marjoramstage.transport.send_once import ConnectionLostError, send_once

# Time in which a write has to be answered, and in which a read has to get its next
# bytes: a long answer may take longer on a slow link.
CALL_TIMEOUT_S = 1.5
# A store that was silent never answers a call of that time, and its connection
# stays up; so a watch is asked for again after a short wait.
WATCH_WAIT_S = 1.5
# What is read of one answer at most. A page of a list is far smaller.
MAX_ANSWER_BYTES = 8_388_608
# Time until the next call after an answer without an end.
OVERSIZE_PAUSE_S = 1.0
# The answer to a watch may start this much later than the wait that it asks for.
WATCH_SLACK_S = 1.0

STORE_ERA = "Store-Era"
MAX_ERA_DIGITS = 9
MAX_REVISION_DIGITS = 18
# An answer whose decoding holds up the event loop for this long is logged.
SLOW_ANSWER_S = 0.1
# Names of entries that can't be read in a log line, and characters of each.
MAX_LOGGED_NAMES = 5
MAX_LOGGED_CHARS = 80
RESTORED = "the store was restored meanwhile"

CONFIG = Kind("", "", "config", "config")
TARGETS = Kind("", "", "servers", "servers")
LEASES = Kind("", "", "marjoramstage-leases", "lease")
STREAM_ORIGINS = Kind("", "", "marjoramstage-stream-origins", "stream-origins")
QUARANTINES = Kind("", "", "marjoramstage-quarantines", "quarantine")

log = component_logger("store")

_CALL_ERRORS = (
    aiohttp.ClientError,
    ConnectionLostError,
    TimeoutError,
    OSError,
    ValueError,
)

_FAULT_BY_STATUS = {
    400: PlatformFault.REFUSED,
    404: PlatformFault.NOT_FOUND,
    409: PlatformFault.CONFLICT,
    410: PlatformFault.EXPIRED,
    413: PlatformFault.REFUSED,
}
# Statuses that prove that a call had no effect; after any other failure a write may
# have taken effect.
_NO_EFFECT_STATUSES = frozenset((400, 404, 409, 410, 413, 429, 503))


@dataclass(frozen=True)
class _Page:
    """One page of a list.

    Attributes
    ----------
    objects : tuple of PlatformObject
        Those whose names can be read.
    more : bool
        Objects of later names follow.
    revision : str
        The store's when it made the page.
    """

    objects: tuple[PlatformObject, ...]
    more: bool
    revision: str


class ObjectStore:
    """The object store at one address; implements `Platform`.

    An entry whose revision can't be read has an empty version, and no spec: its kind
    takes it as invalid. One whose name can't be read is left out and logged.

    Parameters
    ----------
    session : aiohttp.ClientSession
        HTTP client; not closed by this class.
    address : str
        ``ip:port`` of the store.
    era : StoreEra, optional
        Told of the era that each answer names.
    """

    def __init__(
        self,
        session: aiohttp.ClientSession,
        address: str,
        era: StoreEra | None = None,
        call_timeout_s: float = CALL_TIMEOUT_S,
        watch_wait_s: float = WATCH_WAIT_S,
    ):
        self._session = session
        self._base = f"http://{address}/api/objects"
        self._era = era or StoreEra()
        self._call_timeout_s = call_timeout_s
        self._watch_wait_s = watch_wait_s

    async def get(self, kind: Kind, name: str) -> Result[PlatformObject, PlatformError]:
        """Read one object."""
        found = await self._call("GET", self._url(kind, name))
        return _decode(found, lambda data: _decode_object(kind, data))

    async def list(
        self, kind: Kind, labels: Mapping[str, str] | None = None
    ) -> Result[ObjectList, PlatformError]:
        """Read all objects of a kind, page by page; ``labels`` are ignored.

        The list has the version of its first page: a watch from there on brings what
        is written while later pages are read. Their objects may be newer than that.
        """
        objects: list[PlatformObject] = []
        after, version, first_era = "", "", None
        while True:
            found = await self._call("GET", self._url(kind), _page_params(after))
            decoded = _decode(found, lambda data: _decode_page(kind, data))
            if isinstance(decoded, Err):
                return decoded
            page = decoded.ok_value
            if first_era not in (None, self._era.current):
                return Err(_earlier_era(Verdict.NOT_RUN))
            first_era = self._era.current
            version = version or page.revision
            objects += page.objects
            if not page.more:
                return Ok(ObjectList(tuple(objects), version))
            if not page.objects or page.objects[-1].name == after:
                return Err(_unreadable_page(kind, after))
            after = page.objects[-1].name

    async def create(
        self, obj: PlatformObject
    ) -> Result[PlatformObject, PlatformError]:
        """Create an object unless one of its name exists."""
        found = await self._call("POST", self._url(obj.kind), body=_encode_object(obj))
        created = _decode(found, lambda data: _decode_object(obj.kind, data))
        if isinstance(created, Err):
            error = created.err_value
            if error.fault is PlatformFault.CONFLICT:
                return Err(
                    PlatformError(PlatformFault.EXISTS, error.verdict, error.message)
                )
        return created

    async def update(
        self, obj: PlatformObject
    ) -> Result[PlatformObject, PlatformError]:
        """Replace the object if its version is still ``obj.version``."""
        url = self._url(obj.kind, obj.name)
        found = await self._call("PUT", url, body=_encode_object(obj))
        return _decode(found, lambda data: _decode_object(obj.kind, data))

    async def delete(
        self, kind: Kind, name: str, version: str
    ) -> Result[None, PlatformError]:
        """Remove the object if its version is still ``version``."""
        found = await self._call("DELETE", self._url(kind, name), {"rev": version})
        return found.map(lambda data: None)

    async def watch(
        self,
        kind: Kind,
        version: str,
        labels: Mapping[str, str] | None = None,
        wait_s: float | None = None,
    ) -> AsyncIterator[Result[WatchEvent, PlatformError]]:
        """Wait for changes after ``version`` with a single long poll.

        Ends after the events of that call; the last one is a bookmark.
        """
        wait_s = self._watch_wait_s if wait_s is None else wait_s
        params = {"watch": version, "wait_ms": str(int(wait_s * 1000))}
        idle_s = wait_s + WATCH_SLACK_S
        found = await self._call("GET", self._url(kind), params, idle_timeout_s=idle_s)
        events = _decode(found, lambda data: _decode_events(kind, data))
        if isinstance(events, Err):
            yield events
            return
        for event in events.ok_value:
            yield Ok(event)

    def _url(self, kind: Kind, name: str = "") -> str:
        if not name:
            return f"{self._base}/{kind.plural}"
        return f"{self._base}/{kind.plural}/{quote(name, safe='')}"

    async def _call(
        self,
        method: str,
        url: str,
        params: Mapping[str, str] | None = None,
        body: dict[str, Any] | None = None,
        idle_timeout_s: float | None = None,
    ) -> Result[Any, PlatformError]:
        timeout = aiohttp.ClientTimeout(
            total=None if method == "GET" else self._call_timeout_s,
            sock_connect=CALL_TIMEOUT_S,
            sock_read=idle_timeout_s or self._call_timeout_s,
        )
        sent_era = self._era.current
        known_before = self._era.known
        try:
            async with self._session.request(
                method,
                url,
                params=params,
                json=body,
                timeout=timeout,
                middlewares=(send_once,),
            ) as resp:
                payload = await ResponseBody(resp, MAX_ANSWER_BYTES).read()
                change = self._era.observe(_parse_era(resp.headers.get(STORE_ERA)))
                restored = known_before and self._era.current != sent_era
                if change is EraChange.STALE or restored:
                    is_watch = idle_timeout_s is not None
                    error = _restored(method, is_watch, change is EraChange.STALE)
                    if error is not None:
                        return Err(error)
                if resp.status >= 300:
                    return Err(_refusal(method, resp.status, payload))
                return Ok(_decode_answer(url, payload) if payload else None)
        except (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError) as exc:
            return Err(_unavailable(Verdict.NOT_RUN, exc))
        except (BodyTooLargeError, UnexpectedBytesError) as exc:
            await asyncio.sleep(OVERSIZE_PAUSE_S)
            return Err(_oversize(method, idle_timeout_s is not None, exc))
        except _CALL_ERRORS as exc:
            verdict = Verdict.NOT_RUN if method == "GET" else Verdict.MAY_HAVE_RUN
            return Err(_unavailable(verdict, exc))


def _unavailable(verdict: Verdict, exc: BaseException) -> PlatformError:
    text = f"{type(exc).__name__}: {exc}"
    return PlatformError(PlatformFault.UNAVAILABLE, verdict, text)


def _restored(method: str, is_watch: bool, stale: bool) -> PlatformError | None:
    """Return the error for an answer to a call that an earlier era was asked.

    A plain read that the restored store has answered holds.
    """
    if method != "GET":
        return _earlier_era(Verdict.MAY_HAVE_RUN)
    if is_watch and not stale:
        return PlatformError(PlatformFault.EXPIRED, Verdict.NOT_RUN, RESTORED)
    return _earlier_era(Verdict.NOT_RUN) if stale else None


def _earlier_era(verdict: Verdict) -> PlatformError:
    return PlatformError(PlatformFault.UNAVAILABLE, verdict, RESTORED)


def _parse_era(text: str | None) -> int | None:
    """Return the era that a header names; None if it is missing or no number."""
    if text is None or not _is_number(text, MAX_ERA_DIGITS):
        return None
    return int(text)


def _is_number(text: str, max_digits: int) -> bool:
    """Whether a text is a whole number of at most so many digits."""
    return text.isdecimal() and len(text) <= max_digits


def _oversize(method: str, is_watch: bool, exc: Exception) -> PlatformError:
    """Return the error for an answer that was not read to its end.

    The changes since a version may be too many; then the objects can be listed.
    """
    if is_watch and isinstance(exc, BodyTooLargeError):
        return PlatformError(PlatformFault.EXPIRED, Verdict.NOT_RUN, str(exc))
    verdict = Verdict.NOT_RUN if method == "GET" else Verdict.MAY_HAVE_RUN
    return _unavailable(verdict, exc)


def _refusal(method: str, status: int, payload: bytes) -> PlatformError:
    fault = _FAULT_BY_STATUS.get(status, PlatformFault.UNAVAILABLE)
    no_effect = method == "GET" or status in _NO_EFFECT_STATUSES
    verdict = Verdict.NOT_RUN if no_effect else Verdict.MAY_HAVE_RUN
    return PlatformError(fault, verdict, f"status {status} {payload[:80]!r}")


def _decode_answer(url: str, payload: bytes) -> Any:
    """Return the JSON of an answer, and log one that takes long."""
    began_s = time.monotonic()
    try:
        return _json.loads(payload)
    finally:
        took_s = time.monotonic() - began_s
        if took_s >= SLOW_ANSWER_S:
            log.warning(
                "slow answer",
                extra={
                    "url": url,
                    "bytes": len(payload),
                    "took_ms": round(took_s * 1000, 1),
                },
            )


def _decode(found: Result[Any, PlatformError], read) -> Result[Any, PlatformError]:
    """Decode a body with ``read``; return an error if it is malformed."""
    if isinstance(found, Err):
        return found
    try:
        return Ok(read(found.ok_value))
    except (KeyError, TypeError, ValueError, AttributeError) as exc:
        return Err(_unavailable(Verdict.MAY_HAVE_RUN, exc))


def _decode_object(kind: Kind, data: dict[str, Any]) -> PlatformObject:
    meta = data["meta"]
    return PlatformObject(kind, meta["name"], data.get("spec"), str(meta["rev"]))


def _decode_entry(kind: Kind, data: Any) -> PlatformObject | None:
    """Return an entry among others; None if not even its name can be read."""
    meta = data.get("meta") if isinstance(data, dict) else None
    name = meta.get("name") if isinstance(meta, dict) else None
    if not isinstance(name, str) or not name:
        return None
    rev = str(meta.get("rev"))
    if not _is_number(rev, MAX_REVISION_DIGITS):
        return PlatformObject(kind, name, None)
    return PlatformObject(kind, name, data.get("spec"), rev)


def _page_params(after: str) -> dict[str, str]:
    return {"after": after} if after else {}


def _decode_page(kind: Kind, data: dict[str, Any]) -> _Page:
    entries = [_decode_entry(kind, item) for item in data["items"]]
    objects = tuple(obj for obj in entries if obj is not None)
    _log_unreadable(kind, entries)
    return _Page(objects, bool(data.get("more")), _revision(data))


def _decode_events(kind: Kind, data: dict[str, Any]) -> list[WatchEvent]:
    revision = _revision(data)
    events, entries = [], []
    for item in data["events"]:
        item = item if isinstance(item, dict) else {}
        obj = _decode_entry(kind, item.get("object"))
        entries.append(obj)
        if obj is None:
            continue
        type_ = WatchType.DELETED if item.get("deleted") else WatchType.MODIFIED
        events.append(WatchEvent(type_, revision, obj))
    _log_unreadable(kind, entries)
    return [*events, WatchEvent(WatchType.BOOKMARK, revision)]


def _revision(data: dict[str, Any]) -> str:
    return str(int(data["store_revision"]))


def _log_unreadable(kind: Kind, entries: list[PlatformObject | None]) -> None:
    """Log the entries of an answer that can't be read."""
    unreadable = [obj for obj in entries if obj is None or not obj.version]
    if not unreadable:
        return
    names = ["" if obj is None else obj.name[:MAX_LOGGED_CHARS] for obj in unreadable]
    log.warning(
        "unreadable entries",
        extra={
            "kind": kind.plural,
            "count": len(unreadable),
            "names": names[:MAX_LOGGED_NAMES],
        },
    )


def _unreadable_page(kind: Kind, after: str) -> PlatformError:
    """Return the error for a page after which the list can't be continued."""
    text = f"no later name in a page of {kind.plural} after {after!r}"
    return PlatformError(PlatformFault.UNAVAILABLE, Verdict.NOT_RUN, text)


def _encode_object(obj: PlatformObject) -> dict[str, Any]:
    meta: dict[str, Any] = {"name": obj.name, "finalizers": []}
    if obj.version:
        meta["rev"] = int(obj.version)
    return {"meta": meta, "spec": dict(obj.spec)}
