"""A store that gives its lists page by page, and what happens between the pages."""

import asyncio
import json

from aiohttp import web

from features.platform_standin import StandinStore


class PagedStore(StandinStore):
    """A store whose lists have pages.

    Attributes
    ----------
    before_page : callable or None
        Awaited before each page but the first of a list, with the number of pages so
        far.
    odd : dict
        Bytes that stand in answers in place of a text.
    """

    def __init__(self, page_size):
        super().__init__()
        self._page_size = page_size
        self.before_page = None
        self.odd = {}
        self._pages = 0

    async def _read(self, req, kind, name):
        if name or "watch" in req.query:
            return await super()._read(req, kind, name)
        after = req.query.get("after", "")
        self._pages = self._pages + 1 if after else 0
        if self._pages and self.before_page is not None:
            await self.before_page(self._pages)
        names = sorted(n for k, n in self.objects if k == kind and n > after)
        page = [self.objects[kind, n] for n in names[: self._page_size]]
        return self._json(
            {
                "items": page,
                "more": len(names) > len(page),
                "store_revision": self.revision,
            }
        )

    def _json(self, data):
        payload = json.dumps(data).encode()
        for text, odd in self.odd.items():
            payload = payload.replace(text.encode(), odd)
        return web.Response(body=payload, content_type="application/json")


class served:
    """Serves requests with a handler; gives its address."""

    def __init__(self, handler):
        self._server = web.Server(handler, access_log=None)

    async def __aenter__(self):
        loop = asyncio.get_running_loop()
        self._listener = await loop.create_server(self._server, "127.0.0.1", 0)
        return f"127.0.0.1:{self._listener.sockets[0].getsockname()[1]}"

    async def __aexit__(self, *exc):
        self._listener.close()
        await self._server.shutdown(0.1)
