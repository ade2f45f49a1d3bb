"""Stand-in for the platform: a Kubernetes-style object API over HTTP."""

from __future__ import annotations

import asyncio
import json
from collections import Counter
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, replace
from typing import Any

from aiohttp import web

from marjoramstage.standins._base import Standin, abort_connection
from marjoramstage.standins._store import (
    ObjectStore,
    StoreError,
    StoreEvent,
    StoreKey,
    labels_match,
)

BOOKMARK_INTERVAL_S = 5.0
COLLECTION = "/apis/{group}/{version}/namespaces/{namespace}/{plural}"


@dataclass(frozen=True)
class PlatformFaults:
    """Faults to inject; an integer is the number of times that one occurs.

    Attributes
    ----------
    down : bool
        Answer every call with 503 and abort every open watch.
    delay_s : float
        Delay before each call is handled, in seconds.
    lose_answers : int
        Writes that take effect, but whose connection is aborted before the
        response.
    lose_requests : int
        Writes whose connection is aborted before they take effect.
    stale_reads : bool
        Answer reads and lists from a copy of the store made when this was set.
    silent_watches : bool
        Keep watches open, but send nothing on them.
    break_watches : int
        Watches whose connection is aborted instead of sending the next event.
    """

    down: bool = False
    delay_s: float = 0.0
    lose_answers: int = 0
    lose_requests: int = 0
    stale_reads: bool = False
    silent_watches: bool = False
    break_watches: int = 0


class PlatformStandin(Standin[PlatformFaults]):
    """Object API of the platform on one address; objects are held in memory.

    Parameters
    ----------
    bookmark_interval_s : float
        Time without events after which a watch gets a bookmark, in seconds.

    Attributes
    ----------
    calls : Counter
        Number of calls so far, by kind: ``reads``, ``writes`` and ``watches``.
    watched : asyncio.Event
        Set once the first watch is open.
    """

    def __init__(self, address: str, bookmark_interval_s: float = BOOKMARK_INTERVAL_S):
        super().__init__(address, PlatformFaults())
        self._bookmark_interval_s = bookmark_interval_s
        self.store = ObjectStore()
        self.calls: Counter[str] = Counter()
        self._replica: ObjectStore | None = None
        self.watched = asyncio.Event()
        self._watches: set[asyncio.Transport] = set()
        router = self.app.router
        router.add_get(COLLECTION, self._list_or_watch)
        router.add_post(COLLECTION, self._create)
        router.add_get(COLLECTION + "/{name}", self._get)
        router.add_put(COLLECTION + "/{name}", self._update)
        router.add_delete(COLLECTION + "/{name}", self._delete)
        router.add_get("/calls", self._get_calls)
        router.add_post("/compact", self._compact)

    def set_faults(self, faults: PlatformFaults) -> None:
        """Replace the faults; ``down`` aborts the open watches at once."""
        super().set_faults(faults)
        if not faults.stale_reads:
            self._replica = None
        elif self._replica is None:
            self._replica = self.store.copy()
        if faults.down:
            for transport in self._watches:
                transport.abort()

    @property
    def _read_store(self) -> ObjectStore:
        return self._replica or self.store

    async def _begin_call(self, kind: str) -> None:
        """Count a call and inject the faults that come before it is handled."""
        self.calls[kind] += 1
        if self.faults.delay_s:
            await asyncio.sleep(self.faults.delay_s)
        if self.faults.down:
            raise web.HTTPServiceUnavailable(text="platform is down")

    async def _write(
        self, req: web.Request, status: int, change: Callable[[], Awaitable[dict]]
    ) -> web.Response:
        """Make a change and return its object, unless a fault drops it."""
        if self.take_fault("lose_requests"):
            return abort_connection(req)
        try:
            obj = await change()
        except StoreError as exc:
            return _refusal(exc)
        if self.take_fault("lose_answers"):
            return abort_connection(req)
        return web.json_response(obj, status=status)

    async def _get(self, req: web.Request) -> web.Response:
        await self._begin_call("reads")
        try:
            return web.json_response(self._read_store.get(_key(req)))
        except StoreError as exc:
            return _refusal(exc)

    async def _create(self, req: web.Request) -> web.Response:
        await self._begin_call("writes")
        obj = await req.json()
        key = replace(_key(req), name=obj["metadata"]["name"])
        return await self._write(req, 201, lambda: self.store.create(key, obj))

    async def _update(self, req: web.Request) -> web.Response:
        await self._begin_call("writes")
        obj, key = await req.json(), _key(req)
        return await self._write(req, 200, lambda: self.store.update(key, obj))

    async def _delete(self, req: web.Request) -> web.Response:
        await self._begin_call("writes")
        version, key = req.query.get("resourceVersion"), _key(req)
        return await self._write(req, 200, lambda: self.store.delete(key, version))

    async def _list_or_watch(self, req: web.Request) -> web.StreamResponse:
        if req.query.get("watch") == "true":
            await self._begin_call("watches")
            return await self._watch(req)
        await self._begin_call("reads")
        key, store = _key(req), self._read_store
        items = store.list(key.group, key.plural, key.namespace, _labels(req))
        metadata = {"resourceVersion": str(store.version)}
        return web.json_response({"metadata": metadata, "items": items})

    async def _watch(self, req: web.Request) -> web.StreamResponse:
        resp = web.StreamResponse(headers={"Content-Type": "application/json"})
        await resp.prepare(req)
        transport = req.transport
        if transport is None:
            return resp
        self._watches.add(transport)
        self.watched.set()
        try:
            await self._send_changes(req, resp)
        except ConnectionError:
            pass  # the client disconnected, or a fault aborted the watch
        finally:
            self._watches.discard(transport)
        return resp

    async def _send_changes(self, req: web.Request, resp: web.StreamResponse) -> None:
        key, labels = _key(req), _labels(req)
        after = int(req.query.get("resourceVersion", "0"))
        while True:
            try:
                async with asyncio.timeout(self._bookmark_interval_s):
                    events = await self.store.next_events(after)
            except TimeoutError:
                await self._send(req, resp, "BOOKMARK", _bookmark(self.store.version))
                after = self.store.version
                continue
            except StoreError as exc:
                status = {"code": exc.status, "reason": exc.reason}
                await self._send(req, resp, "ERROR", status)
                return
            for event in events:
                after = event.version
                collection = replace(event.key, name="")
                if collection != key or not labels_match(event.obj, labels):
                    continue
                await self._send(req, resp, event.type, _versioned(event))

    async def _send(
        self, req: web.Request, resp: web.StreamResponse, kind: str, obj: Any
    ) -> None:
        if self.faults.silent_watches:
            return
        if self.take_fault("break_watches"):
            abort_connection(req)
        line = json.dumps({"type": kind, "object": obj}) + "\n"
        await resp.write(line.encode())

    async def _get_calls(self, req: web.Request) -> web.Response:
        return web.json_response(dict(self.calls))

    async def _compact(self, req: web.Request) -> web.Response:
        self.store.compact()
        return web.json_response({})


def _key(req: web.Request) -> StoreKey:
    info = req.match_info
    return StoreKey(
        info["group"], info["plural"], info["namespace"], info.get("name", "")
    )


def _labels(req: web.Request) -> dict[str, str]:
    selector = req.query.get("labelSelector", "")
    pairs = [part.split("=", 1) for part in selector.split(",") if "=" in part]
    return dict(pairs)


def _refusal(exc: StoreError) -> web.Response:
    status = {"kind": "Status", "code": exc.status, "reason": exc.reason}
    return web.json_response(status, status=exc.status)


def _versioned(event: StoreEvent) -> dict[str, Any]:
    """Return the object of ``event`` with the event's resource version.

    A deleted object still has the version of its last write, while a client
    resumes its watch from the version of the deletion.
    """
    metadata = {**event.obj["metadata"], "resourceVersion": str(event.version)}
    return {**event.obj, "metadata": metadata}


def _bookmark(version: int) -> dict[str, Any]:
    return {"metadata": {"resourceVersion": str(version)}}
