"""HTTP client of the platform's object API."""

from __future__ import annotations

import json
from collections.abc import AsyncIterator, Mapping
from typing import Any

import aiohttp
from result import Err, Ok, Result

from marjoramstage.exceptions import Verdict
from marjoramstage.protocol.objects import (
    Kind,
    ObjectList,
    PlatformError,
    PlatformFault,
    PlatformObject,
    WatchEvent,
    WatchType,
)
from marjoramstage.transport.response_body import ResponseBody
from marjoramstage.transport.send_once import ConnectionLostError, send_once

CALL_TIMEOUT_S = 10.0
WATCH_IDLE_S = 30.0
MAX_LINE_BYTES = 2_000_000

_CONNECTION_ERRORS = (
    aiohttp.ClientError,
    ConnectionLostError,
    TimeoutError,
    OSError,
    ValueError,
)

_FAULT_OF_STATUS = {
    404: PlatformFault.NOT_FOUND,
    410: PlatformFault.EXPIRED,
    422: PlatformFault.REFUSED,
    400: PlatformFault.REFUSED,
    413: PlatformFault.REFUSED,
}


class PlatformClient:
    """Client of the object API at one address.

    Parameters
    ----------
    session : aiohttp.ClientSession
        HTTP session to use; not closed by this class.
    address : str
        ``ip:port`` of the platform.
    namespace : str
        Namespace of all objects.
    call_timeout_s : float
        Time limit of one call, in seconds.
    watch_idle_s : float
        Time without data after which a watch is ended, in seconds. It has to
        be longer than the interval of the platform's bookmarks.
    """

    def __init__(
        self,
        session: aiohttp.ClientSession,
        address: str,
        namespace: str,
        call_timeout_s: float = CALL_TIMEOUT_S,
        watch_idle_s: float = WATCH_IDLE_S,
    ):
        self._session = session
        self._base = f"http://{address}/apis"
        self._namespace = namespace
        self._call_timeout_s = call_timeout_s
        self._watch_idle_s = watch_idle_s

    async def get(self, kind: Kind, name: str) -> Result[PlatformObject, PlatformError]:
        """Read one object."""
        found = await self._call("GET", self._url(kind, name))
        return found.map(lambda data: _object_from_data(kind, data))

    async def list(
        self, kind: Kind, labels: Mapping[str, str] | None = None
    ) -> Result[ObjectList, PlatformError]:
        """Return the objects of a kind whose labels match, and the list's version."""
        params = _label_selector(labels)
        found = await self._call("GET", self._url(kind), params=params)
        return found.map(lambda data: _list_from_data(kind, data))

    async def create(
        self, obj: PlatformObject
    ) -> Result[PlatformObject, PlatformError]:
        """Create an object unless one of that name exists."""
        found = await self._call("POST", self._url(obj.kind), body=_object_to_data(obj))
        return found.map(lambda data: _object_from_data(obj.kind, data))

    async def update(
        self, obj: PlatformObject
    ) -> Result[PlatformObject, PlatformError]:
        """Replace the object if its current version is ``obj.version``."""
        url = self._url(obj.kind, obj.name)
        found = await self._call("PUT", url, body=_object_to_data(obj))
        return found.map(lambda data: _object_from_data(obj.kind, data))

    async def delete(
        self, kind: Kind, name: str, version: str
    ) -> Result[None, PlatformError]:
        """Delete the object if its current version is ``version``."""
        params = {"resourceVersion": version}
        found = await self._call("DELETE", self._url(kind, name), params=params)
        return found.map(lambda data: None)

    async def watch(
        self,
        kind: Kind,
        version: str,
        labels: Mapping[str, str] | None = None,
        wait_s: float | None = None,
    ) -> AsyncIterator[Result[WatchEvent, PlatformError]]:
        """Yield the changes of a kind after ``version`` until the connection ends."""
        params = _label_selector(labels) | {"watch": "true", "resourceVersion": version}
        timeout = aiohttp.ClientTimeout(total=None, sock_read=self._watch_idle_s)
        try:
            async with self._session.get(
                self._url(kind), params=params, timeout=timeout
            ) as resp:
                if resp.status != 200:
                    yield Err(_error_of_status(resp.status, Verdict.NOT_RUN))
                    return
                async for line in _iter_lines(resp.content):
                    yield _watch_event(kind, line)
        except (aiohttp.ClientError, TimeoutError, OSError) as exc:
            yield Err(
                PlatformError(PlatformFault.UNAVAILABLE, Verdict.NOT_RUN, str(exc))
            )

    def _url(self, kind: Kind, name: str = "") -> str:
        place = f"{kind.api_version}/namespaces/{self._namespace}/{kind.plural}"
        return f"{self._base}/{place}/{name}" if name else f"{self._base}/{place}"

    async def _call(
        self,
        method: str,
        url: str,
        params: Mapping[str, str] | None = None,
        body: dict[str, Any] | None = None,
    ) -> Result[dict[str, Any], PlatformError]:
        timeout = aiohttp.ClientTimeout(total=self._call_timeout_s)
        try:
            async with self._session.request(
                method,
                url,
                params=params,
                json=body,
                timeout=timeout,
                middlewares=(send_once,),
            ) as resp:
                payload = await ResponseBody(resp).read()
                if resp.status >= 300:
                    return Err(_refusal(method, resp.status, payload))
                return Ok(json.loads(payload))
        except aiohttp.ClientConnectorError as exc:
            error = PlatformError(PlatformFault.UNAVAILABLE, Verdict.NOT_RUN, str(exc))
            return Err(error)
        except _CONNECTION_ERRORS as exc:
            verdict = Verdict.NOT_RUN if method == "GET" else Verdict.MAY_HAVE_RUN
            return Err(PlatformError(PlatformFault.UNAVAILABLE, verdict, str(exc)))


def _refusal(method: str, status: int, body: bytes) -> PlatformError:
    """Return the error for a response that is not a success.

    Only a response of the API itself proves that a write had no effect: a
    503 may come from a proxy in between that has already forwarded the write.
    """
    if status == 409:
        exists = _status_reason(body) == "AlreadyExists"
        fault = PlatformFault.EXISTS if exists else PlatformFault.CONFLICT
        return PlatformError(fault, Verdict.NOT_RUN, _status_reason(body))
    if method == "GET" or status in _FAULT_OF_STATUS or status == 429:
        return _error_of_status(status, Verdict.NOT_RUN)
    return _error_of_status(status, Verdict.MAY_HAVE_RUN)


def _status_reason(body: bytes) -> str:
    """Return the reason in a Status object; empty if there is none."""
    try:
        data = json.loads(body)
    except ValueError:
        return ""
    return str(data.get("reason", "")) if isinstance(data, dict) else ""


def _error_of_status(status: int, verdict: Verdict) -> PlatformError:
    fault = _FAULT_OF_STATUS.get(status, PlatformFault.UNAVAILABLE)
    return PlatformError(fault, verdict, f"status {status}")


async def _iter_lines(content: aiohttp.StreamReader) -> AsyncIterator[bytes]:
    """Yield the lines of a body; raise if one exceeds `MAX_LINE_BYTES`."""
    pending = b""
    async for chunk in content.iter_any():
        pending += chunk
        *lines, pending = pending.split(b"\n")
        for line in lines:
            yield line
        if len(pending) > MAX_LINE_BYTES:
            raise aiohttp.ClientPayloadError("a line of the watch is too long")


def _watch_event(kind: Kind, line: bytes) -> Result[WatchEvent, PlatformError]:
    try:
        event = json.loads(line)
        if event["type"] == "ERROR":
            return Err(_error_of_status(int(event["object"]["code"]), Verdict.NOT_RUN))
        type_ = WatchType(event["type"])
        version = event["object"]["metadata"]["resourceVersion"]
        if type_ is WatchType.BOOKMARK:
            return Ok(WatchEvent(type_, version))
        return Ok(WatchEvent(type_, version, _object_from_data(kind, event["object"])))
    except (ValueError, KeyError, TypeError) as exc:
        error = PlatformError(PlatformFault.UNAVAILABLE, Verdict.NOT_RUN, str(exc))
        return Err(error)


def _label_selector(labels: Mapping[str, str] | None) -> dict[str, str]:
    if not labels:
        return {}
    text = ",".join(f"{name}={value}" for name, value in sorted(labels.items()))
    return {"labelSelector": text}


def _object_from_data(kind: Kind, data: dict[str, Any]) -> PlatformObject:
    metadata = data["metadata"]
    return PlatformObject(
        kind=kind,
        name=metadata["name"],
        spec=data.get("spec", {}),
        version=metadata["resourceVersion"],
        labels=metadata.get("labels", {}),
    )


def _list_from_data(kind: Kind, data: dict[str, Any]) -> ObjectList:
    objects = tuple(_object_from_data(kind, item) for item in data["items"])
    return ObjectList(objects, data["metadata"]["resourceVersion"])


def _object_to_data(obj: PlatformObject) -> dict[str, Any]:
    metadata: dict[str, Any] = {"name": obj.name, "labels": dict(obj.labels)}
    if obj.version:
        metadata["resourceVersion"] = obj.version
    return {
        "apiVersion": obj.kind.api_version,
        "kind": obj.kind.name,
        "metadata": metadata,
        "spec": dict(obj.spec),
    }
