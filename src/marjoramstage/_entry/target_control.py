"""Control calls to targets: reports of what they hold, and orders."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import replace

from result import Err

from marjoramstage import platform
from marjoramstage._entry.instance_state import InstanceState
from marjoramstage._entry.limited_targets import SendKind
from marjoramstage.exceptions import TargetError, Verdict
from marjoramstage.protocol.control import Order, OrderAnswer
from marjoramstage.state.fleet import FleetTarget, TargetReport
from marjoramstage.transport.target_client import (
    TargetClient,
    TargetReply,
    TargetRequest,
)

TIMEOUT_S = 1.0
MAX_REPORT_BYTES = 1_048_576
MAX_ORDER_ANSWER_BYTES = 65_536


class TargetControl:
    """Sends control calls; heeds what targets say of themselves in the answers."""

    def __init__(self, state: InstanceState, target_client: TargetClient):
        self._state = state
        self._target_client = target_client

    async def fetch_report(self, target: FleetTarget) -> TargetReport | None:
        """Return the report of a target; None if there is none, which is logged."""
        call = TargetRequest(
            target.address,
            "GET",
            platform.REPORT_PATH,
            platform.order_headers(target.name),
            b"",
        )
        try:
            async with asyncio.timeout(TIMEOUT_S):
                reply = await self._call(
                    target,
                    call,
                    MAX_REPORT_BYTES,
                    # A target that leaves is still asked what it holds.
                    lambda: self._state.pause_left_s(target) <= 0,
                )
        except (TargetError, TimeoutError) as exc:
            self._state.events.event(
                "report request failed",
                target=target.name,
                reason=str(exc) or "timeout",
            )
            return None
        if reply.status != 200:
            return None
        report = platform.decode_report(reply.body)
        if isinstance(report, Err):
            self._state.events.event(
                "invalid report", target=target.name, reason=report.err_value
            )
            return None
        return report.ok_value

    async def send_order(self, target: FleetTarget, order: Order) -> OrderAnswer:
        """Send an order; return what is known of its outcome."""
        call = TargetRequest(
            target.address,
            "POST",
            platform.ORDER_PATH,
            platform.order_headers(target.name),
            platform.encode_order(order),
            new_connection=True,
        )
        try:
            async with asyncio.timeout(TIMEOUT_S):
                reply = await self._call(
                    target,
                    call,
                    MAX_ORDER_ANSWER_BYTES,
                    lambda: self._state.takes_requests(target),
                )
        except TargetError as exc:
            not_run = exc.verdict is Verdict.NOT_RUN
            return OrderAnswer.NOT_SENT if not_run else OrderAnswer.UNKNOWN
        except TimeoutError:
            return OrderAnswer.UNKNOWN
        return platform.decode_order_answer(reply.status)

    async def _call(
        self,
        target: FleetTarget,
        call: TargetRequest,
        max_bytes: int,
        may_send: Callable[[], bool],
    ) -> TargetReply:
        sent_s = self._state.clock.now()
        self._state.limited_targets.note_sent(target, SendKind.CONTROL)
        reply = await self._target_client.fetch(call, max_bytes, may_send)
        notice = platform.target_notice(reply.status, reply.headers)
        self._state.targets_out.record(target, notice, "")
        limit = platform.limit_notice(reply.status, reply.headers)
        # That a target names its limit to callers alone doesn't lift it.
        limit = replace(limit, lifts=False)
        self._state.limited_targets.record(target, limit, sent_s, "")
        return reply
