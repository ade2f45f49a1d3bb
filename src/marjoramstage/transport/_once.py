"""Keeps the HTTP library from sending a request twice."""

from __future__ import annotations

import aiohttp


class BrokenCallError(Exception):
    """A call broke after it may have been sent.

    The HTTP library sends a PUT or a DELETE once more by itself when a
    connection that it reused breaks. It does not do so after this error,
    which is none of its own.
    """


async def send_once(
    req: aiohttp.ClientRequest, handler: aiohttp.ClientHandlerType
) -> aiohttp.ClientResponse:
    """Client middleware that lets no request be sent again.

    Raises
    ------
    BrokenCallError
        In place of the errors that the library would send again after.
    """
    try:
        return await handler(req)
    except aiohttp.ClientConnectorError:
        raise
    except (aiohttp.ClientOSError, aiohttp.ServerDisconnectedError) as exc:
        raise BrokenCallError(str(exc)) from exc
