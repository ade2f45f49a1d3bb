"""Client of the targets: requests, streams, cancels, orders and reports."""

from __future__ import annotations

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import dataclass

import aiohttp

from marjoramstage.exceptions import TargetError, Verdict
from marjoramstage.protocol.messages import (
    Order,
    OrderAnswer,
    OrderOutcome,
    TargetReport,
)
from marjoramstage.state.targets import report_from_data

CONNECT_TIMEOUT_S = 2.0
REPORT_TIMEOUT_S = 2.0
CANCEL_TIMEOUT_S = 2.0
REFUSED_BEFORE_START = frozenset({400, 404, 405, 413, 422, 429, 503})


@dataclass(frozen=True)
class TargetCall:
    """One call to a target.

    Attributes
    ----------
    timeout_s : float
        Time left for the whole call, in seconds.
    """

    address: str
    method: str
    path: str
    request_id: str
    body: bytes
    timeout_s: float
    content_type: str = "application/json"


class HttpTargets:
    """Targets over HTTP; the session is not closed by this class."""

    def __init__(self, session: aiohttp.ClientSession):
        self._session = session

    @asynccontextmanager
    async def open(self, call: TargetCall) -> AsyncIterator[aiohttp.ClientResponse]:
        """Send a call and give its response.

        Raises
        ------
        TargetError
            With ``NOT_RUN`` if the target was never reached or refused before
            it started, else with ``MAY_HAVE_RUN``.
        """
        timeout = aiohttp.ClientTimeout(
            total=call.timeout_s, sock_connect=CONNECT_TIMEOUT_S
        )
        headers = {"X-Request-Id": call.request_id, "Content-Type": call.content_type}
        url = f"http://{call.address}{call.path}"
        try:
            async with self._session.request(
                call.method, url, data=call.body, headers=headers, timeout=timeout
            ) as resp:
                if resp.status in REFUSED_BEFORE_START:
                    text = f"target refused with status {resp.status}"
                    raise TargetError(text, Verdict.NOT_RUN, resp.status)
                yield resp
        except aiohttp.ClientConnectorError as exc:
            raise TargetError(str(exc), Verdict.NOT_RUN) from exc
        except aiohttp.ConnectionTimeoutError as exc:
            raise TargetError("connect timed out", Verdict.NOT_RUN) from exc
        except (aiohttp.ClientError, TimeoutError, OSError) as exc:
            text = str(exc) or type(exc).__name__
            raise TargetError(text, Verdict.MAY_HAVE_RUN) from exc

    async def cancel(self, address: str, request_id: str) -> None:
        """Ask a target to stop a request; failures are not reported."""
        timeout = aiohttp.ClientTimeout(total=CANCEL_TIMEOUT_S)
        url = f"http://{address}/v1/requests/{request_id}"
        try:
            async with self._session.delete(url, timeout=timeout):
                return
        except (aiohttp.ClientError, TimeoutError, OSError):
            return

    async def report(self, address: str) -> TargetReport | None:
        """Read the report of a target, or None if there is none."""
        timeout = aiohttp.ClientTimeout(total=REPORT_TIMEOUT_S)
        try:
            async with self._session.get(
                f"http://{address}/report", timeout=timeout
            ) as resp:
                if resp.status != 200:
                    return None
                return report_from_data(await resp.json())
        except (aiohttp.ClientError, TimeoutError, OSError):
            return None
        except (ValueError, KeyError, TypeError):
            return None

    async def send_order(
        self, address: str, order: Order, timeout_s: float
    ) -> OrderAnswer:
        """Send an order and wait for its end.

        Parameters
        ----------
        timeout_s : float
            How long to wait for the answer, in seconds.
        """
        timeout = aiohttp.ClientTimeout(total=timeout_s)
        url = f"http://{address}/orders"
        try:
            async with self._session.post(
                url, json=_order_data(order), timeout=timeout
            ) as resp:
                if resp.status == 200:
                    return OrderAnswer(order, OrderOutcome.DONE)
                if resp.status == 409:
                    return OrderAnswer(order, OrderOutcome.REFUSED)
                reason = f"status {resp.status}"
                return OrderAnswer(order, OrderOutcome.UNKNOWN, reason)
        except aiohttp.ClientConnectorError as exc:
            return OrderAnswer(order, OrderOutcome.REFUSED, str(exc))
        except (aiohttp.ClientError, TimeoutError, OSError) as exc:
            return OrderAnswer(order, OrderOutcome.UNKNOWN, str(exc))


def _order_data(order: Order) -> dict:
    return {
        "number": order.number,
        "fence": order.fence,
        "incarnation": order.incarnation,
        "action": order.action.value,
        "name": order.item.name,
        "version": order.item.version,
        "memory_mb": order.memory_mb,
        "base": str(order.base) if order.base else None,
        "expires_s": order.expires_s,
    }
