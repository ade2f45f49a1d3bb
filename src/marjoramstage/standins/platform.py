"""Stand-in for the platform: a Kubernetes-style object API over HTTP."""

from __future__ import annotations

import asyncio
import json
from dataclasses import dataclass, replace
from typing import Any

from aiohttp import web

from marjoramstage.standins._store import (
    ObjectStore,
    StoreError,
    StoreKey,
    labels_match,
)
from marjoramstage.transport._server import HttpServer

MAX_VALUE_BYTES = 1_000_000
BOOKMARK_EVERY_S = 5.0
COLLECTION = "/apis/{group}/{version}/namespaces/{namespace}/{plural}"


@dataclass(frozen=True)
class PlatformFaults:
    """Faults that the stand-in brings about.

    Attributes
    ----------
    down : bool
        Answer every call with 503.
    delay_s : float
        Wait before each call, in seconds.
    lose_answers : int
        Writes that take effect and then lose their connection.
    silent_watches : bool
        Keep watches open but send nothing.
    """

    down: bool = False
    delay_s: float = 0.0
    lose_answers: int = 0
    silent_watches: bool = False


class PlatformStandin:
    """The object API on one address; objects live in memory."""

    def __init__(self, address: str):
        self.store = ObjectStore()
        self.faults = PlatformFaults()
        self.calls = 0
        app = web.Application(client_max_size=MAX_VALUE_BYTES)
        app.router.add_get(COLLECTION, self._list_or_watch)
        app.router.add_post(COLLECTION, self._create)
        app.router.add_get(COLLECTION + "/{name}", self._get)
        app.router.add_put(COLLECTION + "/{name}", self._update)
        app.router.add_delete(COLLECTION + "/{name}", self._delete)
        app.router.add_put("/faults", self._set_faults)
        app.router.add_post("/compact", self._compact)
        self._server = HttpServer(app, address)

    @property
    def address(self) -> str:
        """The address that is listened on."""
        return self._server.address

    async def start(self) -> None:
        """Listen."""
        await self._server.start()

    async def stop(self) -> None:
        """Close every connection."""
        await self._server.stop()

    async def _enter(self) -> None:
        """Count the call and bring about the faults that precede it."""
        self.calls += 1
        if self.faults.delay_s:
            await asyncio.sleep(self.faults.delay_s)
        if self.faults.down:
            raise web.HTTPServiceUnavailable(text="platform is down")

    def _leave(self, req: web.Request, obj: dict[str, Any], status: int):
        """Answer a write, or lose the answer."""
        if self.faults.lose_answers > 0:
            lost = self.faults.lose_answers - 1
            self.faults = replace(self.faults, lose_answers=lost)
            req.transport.abort()
        return web.json_response(obj, status=status)

    async def _get(self, req: web.Request) -> web.Response:
        await self._enter()
        try:
            return web.json_response(self.store.get(_key(req)))
        except StoreError as exc:
            return _refusal(exc)

    async def _create(self, req: web.Request) -> web.Response:
        await self._enter()
        obj = await req.json()
        key = replace(_key(req), name=obj["metadata"]["name"])
        try:
            return self._leave(req, await self.store.create(key, obj), 201)
        except StoreError as exc:
            return _refusal(exc)

    async def _update(self, req: web.Request) -> web.Response:
        await self._enter()
        obj = await req.json()
        try:
            return self._leave(req, await self.store.update(_key(req), obj), 200)
        except StoreError as exc:
            return _refusal(exc)

    async def _delete(self, req: web.Request) -> web.Response:
        await self._enter()
        version = req.query.get("resourceVersion")
        try:
            return self._leave(req, await self.store.delete(_key(req), version), 200)
        except StoreError as exc:
            return _refusal(exc)

    async def _list_or_watch(self, req: web.Request) -> web.StreamResponse:
        await self._enter()
        if req.query.get("watch") == "true":
            return await self._watch(req)
        key = _key(req)
        items = self.store.list(key.group, key.plural, key.namespace, _labels(req))
        metadata = {"resourceVersion": str(self.store.version)}
        return web.json_response({"metadata": metadata, "items": items})

    async def _watch(self, req: web.Request) -> web.StreamResponse:
        key, labels = _key(req), _labels(req)
        after = int(req.query.get("resourceVersion", "0"))
        resp = web.StreamResponse(headers={"Content-Type": "application/json"})
        await resp.prepare(req)
        while not self.faults.down:
            try:
                events = await asyncio.wait_for(
                    self.store.next_events(after), BOOKMARK_EVERY_S
                )
            except TimeoutError:
                await self._send(resp, "BOOKMARK", _bookmark(self.store.version))
                after = self.store.version
                continue
            except StoreError as exc:
                status = {"code": exc.status, "reason": exc.reason}
                await self._send(resp, "ERROR", status)
                return resp
            for event in events:
                after = event.version
                place = replace(event.key, name="")
                if place != key or not labels_match(event.obj, labels):
                    continue
                obj = {**event.obj, "metadata": {**event.obj["metadata"]}}
                obj["metadata"]["resourceVersion"] = str(event.version)
                await self._send(resp, event.type, obj)
        return resp

    async def _send(self, resp: web.StreamResponse, kind: str, obj: Any) -> None:
        if self.faults.silent_watches:
            return
        line = json.dumps({"type": kind, "object": obj}) + "\n"
        await resp.write(line.encode())

    async def _set_faults(self, req: web.Request) -> web.Response:
        self.faults = PlatformFaults(**await req.json())
        return web.json_response({})

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


def _bookmark(version: int) -> dict[str, Any]:
    return {"metadata": {"resourceVersion": str(version)}}
