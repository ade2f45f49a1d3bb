"""Clients of the targets: requests, streams, cancels, orders and reports."""

from __future__ import annotations

import json

import aiohttp

from marjoramstage.protocol.messages import (
    Order,
    OrderOutcome,
    OrderResult,
    TargetReport,
)
from marjoramstage.state.targets import report_from_data
from marjoramstage.transport._upstream import (
    TargetCall,
    UpstreamClient,
    UpstreamResponse,
)
from marjoramstage.transport.response_body import ResponseBody

REPORT_TIMEOUT_S = 2.0
CANCEL_TIMEOUT_S = 2.0
MAX_REPORT_BYTES = 4_194_304

__all__ = ["TargetCall", "TargetControlClient", "UpstreamClient", "UpstreamResponse"]


class TargetControlClient:
    """HTTP client for orders, reports and cancels; does not close its session."""

    def __init__(self, session: aiohttp.ClientSession):
        self._session = session

    async def cancel(self, address: str, request_id: str) -> None:
        """Ask a target to stop a request; failures are ignored."""
        timeout = aiohttp.ClientTimeout(total=CANCEL_TIMEOUT_S)
        url = f"http://{address}/v1/requests/{request_id}"
        try:
            async with self._session.delete(url, timeout=timeout):
                return
        except (aiohttp.ClientError, TimeoutError, OSError):
            return

    async def report(self, address: str) -> TargetReport | None:
        """Return the report of a target, or None if it cannot be read."""
        timeout = aiohttp.ClientTimeout(total=REPORT_TIMEOUT_S)
        try:
            async with self._session.get(
                f"http://{address}/report", timeout=timeout
            ) as resp:
                if resp.status != 200:
                    return None
                body = ResponseBody(resp, MAX_REPORT_BYTES)
                return report_from_data(json.loads(await body.read()))
        except (aiohttp.ClientError, TimeoutError, OSError):
            return None
        except (ValueError, KeyError, TypeError):
            return None

    async def send_order(
        self, address: str, order: Order, timeout_s: float
    ) -> OrderResult:
        """Send an order and wait for its outcome.

        Parameters
        ----------
        timeout_s : float
            How long to wait for the response, in seconds.
        """
        timeout = aiohttp.ClientTimeout(total=timeout_s)
        url = f"http://{address}/orders"
        try:
            async with self._session.post(
                url, json=_order_data(order), timeout=timeout
            ) as resp:
                if resp.status == 200:
                    return OrderResult(order, OrderOutcome.DONE)
                if resp.status == 409:
                    return OrderResult(order, OrderOutcome.REFUSED)
                reason = f"status {resp.status}"
                return OrderResult(order, OrderOutcome.UNKNOWN, reason)
        except aiohttp.ClientConnectorError as exc:
            return OrderResult(order, OrderOutcome.REFUSED, str(exc))
        except (aiohttp.ClientError, TimeoutError, OSError) as exc:
            return OrderResult(order, OrderOutcome.UNKNOWN, str(exc))


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
