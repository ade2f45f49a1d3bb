"""Prevents aiohttp from sending a request twice, or when it may no longer be sent."""

from __future__ import annotations

from collections.abc import Callable

import aiohttp


class ConnectionLostError(Exception):
    """The connection broke after the request may have been sent.

    aiohttp retries an idempotent method, such as PUT or DELETE, by itself
    when a reused connection breaks. It does not retry after this error, as
    this is not one of aiohttp's own errors.
    """


class WithdrawnError(Exception):
    """The request was not written: its target may no longer get it."""


class CheckedRequest(aiohttp.ClientRequest):
    """A request that is checked once more when its connection is open.

    Attributes
    ----------
    may_send : callable
        Whether the request may still be written.
    """

    may_send: Callable[[], bool] = staticmethod(lambda: True)

    async def send(self, conn: aiohttp.connector.Connection) -> aiohttp.ClientResponse:
        """Write the request.

        Raises
        ------
        WithdrawnError
            It may no longer be sent; nothing was written.
        """
        if not self.may_send():
            raise WithdrawnError
        return await super().send(conn)


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
