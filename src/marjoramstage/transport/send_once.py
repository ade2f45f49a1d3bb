"""Prevents aiohttp from sending a request twice."""

from __future__ import annotations

import aiohttp


class ConnectionLostError(Exception):
    """The connection broke after the request may have been sent.

    aiohttp retries an idempotent method, such as PUT or DELETE, by itself
    when a reused connection breaks. It does not retry after this error, as
    this is not one of aiohttp's own errors.
    """


async def send_once(
    req: aiohttp.ClientRequest, handler: aiohttp.ClientHandlerType
) -> aiohttp.ClientResponse:
    """Client middleware that stops aiohttp from retrying a request.

    Raises
    ------
    ConnectionLostError
        In place of the errors after which aiohttp would retry.
    """
    try:
        return await handler(req)
    except aiohttp.ClientConnectorError:
        raise
    except (aiohttp.ClientOSError, aiohttp.ServerDisconnectedError) as exc:
        raise ConnectionLostError(str(exc)) from exc
