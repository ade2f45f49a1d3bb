"""Shares among the instances what crashes targets.

Each instance tells the others which of its requests were at a target that crashed,
and which parts of prompts proved harmless, so that all judge by the same evidence.
With many instances the holder of the placement lease passes that on. What is in
quarantine is kept in the store for instances that start, even all of them at once,
and the holder repeats it for those that missed it.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Iterable

from marjoramstage._entry.instance_state import InstanceState
from marjoramstage._entry.placement_controller import PlacementController
from marjoramstage._entry.prometheus_metrics import PrometheusMetrics
from marjoramstage._entry.quarantine_store import QuarantineStore
from marjoramstage.coordination.crash_evidence import CrashedRequest, TargetStart
from marjoramstage.coordination.part_quarantine import SETTLE_S, Quarantine
from marjoramstage.protocol import peers
from marjoramstage.protocol.peers import (
    PartsHarmless,
    PartsQuarantined,
    PeerMessage,
    TargetCrashed,
)

STEP_S = 0.5
ANNOUNCEMENT_INTERVAL_S = 2.0
LOAD_RETRY_S = 1.0
MIN_JUDGE_INTERVAL_S = 0.1
# Crashes and harmless parts that a holder passes on each second.
MAX_FORWARDED_PER_S = 10
# Requests of one crash that are told to other instances.
MAX_TOLD_REQUESTS = 64
MS = 0.001

PromptMessage = TargetCrashed | PartsHarmless | PartsQuarantined


class QuarantineSync:
    """Keeps the quarantines of one instance in step with the others'.

    Parameters
    ----------
    address : str
        Of this instance, for the others.
    send : callable
        Sends a message to all other instances among those at some addresses.
    """

    def __init__(
        self,
        state: InstanceState,
        stored: QuarantineStore,
        controller: PlacementController,
        metrics: PrometheusMetrics,
        address: str,
        send: Callable[[Iterable[str], PeerMessage], None],
    ):
        self._state = state
        self._stored = stored
        self._controller = controller
        self._metrics = metrics
        self._address = address
        self._send = send
        self._known: set[frozenset[str]] = set()
        self._announced_s = 0.0
        self._forwards_second = 0
        self._forwards = 0
        self._judge_timer: asyncio.TimerHandle | None = None

    async def run(self) -> None:
        """Load what is stored, then keep it up to date until cancelled."""
        while True:
            if await self._stored.load():
                break
            await asyncio.sleep(LOAD_RETRY_S)
        self._note_changes("stored")
        while True:
            await asyncio.sleep(STEP_S)
            self._note_changes("ended")
            self._announce_if_due()
            if self._controller.may_send_orders:
                await self._stored.update(removes=True)
            elif self._state.peers:
                await self._stored.update(removes=False)

    # What this instance observes

    def record_crash(
        self, start: TargetStart, at_s: float, requests: Iterable[CrashedRequest]
    ) -> None:
        """Record a crash that this instance observed, and tell the others."""
        requests = tuple(requests)[:MAX_TOLD_REQUESTS]
        self._metrics.target_crashes.inc()
        self._record_crash(start, at_s, requests)
        told = tuple(
            peers.CrashedRequest(
                req.request_id, req.parts, _to_ms(max(0.0, at_s - req.sent_s))
            )
            for req in requests
        )
        age_ms = _to_ms(self._now_s() - at_s)
        message = TargetCrashed(start.target, start.incarnation, age_ms, told)
        self._share(message)

    def record_harmless(self, parts: tuple[str, ...], began_s: float) -> None:
        """Record an answer that went well; tell the others if that is news."""
        news = self._state.quarantine.record_harmless(parts, began_s)
        if news:
            age_ms = _to_ms(self._now_s() - began_s)
            self._share(PartsHarmless(dict.fromkeys(news, age_ms)))

    # What others tell

    def receive(self, message: PromptMessage) -> None:
        """Apply a message of another instance."""
        now_s = self._now_s()
        match message:
            case TargetCrashed():
                self._receive_crash(message, now_s)
                self._forward(message)
            case PartsHarmless():
                for part, age_ms in message.ages_ms.items():
                    self._state.quarantine.record_harmless((part,), now_s - age_ms * MS)
                self._forward(message)
            case PartsQuarantined():
                self._receive_quarantines(message, now_s)

    def _receive_crash(self, message: TargetCrashed, now_s: float) -> None:
        at_s = now_s - message.age_ms * MS
        requests = [
            CrashedRequest(req.request_id, req.parts, at_s - req.sent_ago_ms * MS)
            for req in message.requests
        ]
        start = TargetStart(message.target, message.incarnation)
        self._record_crash(start, at_s, requests)

    def _receive_quarantines(self, message: PartsQuarantined, now_s: float) -> None:
        quarantine = self._state.quarantine
        outdated = set()
        for told in message.quarantines:
            crashed_s = now_s - told.age_ms * MS
            if not told.parts:
                continue
            if not quarantine.merge(Quarantine(frozenset(told.parts), crashed_s)):
                outdated.update(told.parts)
        self._note_changes("told")
        if outdated:
            ages_ms = {
                part: _to_ms(now_s - quarantine.harmless_s(part)) for part in outdated
            }
            self._send((message.address,), PartsHarmless(ages_ms))

    # Judging and telling

    def _record_crash(
        self, start: TargetStart, at_s: float, requests: Iterable[CrashedRequest]
    ) -> None:
        self._state.quarantine.record_crash(start, at_s, requests)
        if self._judge_timer is None:
            loop = asyncio.get_running_loop()
            self._judge_timer = loop.call_later(SETTLE_S, self._judge)

    def _judge(self) -> None:
        """Judge the crashes that have settled, and soon those that have not."""
        self._judge_timer = None
        unsettled_s = self._state.quarantine.unsettled_s(self._now_s())
        if unsettled_s > 0:
            loop = asyncio.get_running_loop()
            delay_s = max(MIN_JUDGE_INTERVAL_S, unsettled_s)
            self._judge_timer = loop.call_later(delay_s, self._judge)
        found = self._state.quarantine.judge(self._now_s())
        if not found:
            return
        self._note_changes("found")
        self._share(self._announcement(found))

    def _announce_if_due(self) -> None:
        """Repeat all quarantines to all instances, if this one holds the lease."""
        now_s = self._now_s()
        if not self._controller.may_send_orders:
            return
        if now_s - self._announced_s < ANNOUNCEMENT_INTERVAL_S:
            return
        active = self._state.quarantine.active(now_s)
        if not active:
            return
        self._announced_s = now_s
        self._send(self._controller.reporting_addresses, self._announcement(active))

    def _announcement(self, quarantines: Iterable[Quarantine]) -> PartsQuarantined:
        now_s = self._now_s()
        return PartsQuarantined(
            tuple(
                peers.QuarantinedParts(
                    tuple(sorted(q.parts)), _to_ms(now_s - q.crashed_s)
                )
                for q in quarantines
            ),
            self._address,
        )

    def _share(self, message: PromptMessage) -> None:
        """Send a message to all instances, or to the holder if they are many."""
        if self._state.peers:
            self._send(self._state.peers, message)
        elif self._controller.may_send_orders:
            self._send(self._controller.reporting_addresses, message)
        elif self._controller.holder_address:
            self._send((self._controller.holder_address,), message)

    def _forward(self, message: PromptMessage) -> None:
        """Pass on what instances can't tell all others themselves."""
        if self._state.peers or not self._controller.may_send_orders:
            return
        second = int(self._now_s())
        if second != self._forwards_second:
            self._forwards_second, self._forwards = second, 0
        self._forwards += 1
        if self._forwards <= MAX_FORWARDED_PER_S:
            self._send(self._controller.reporting_addresses, message)

    def _note_changes(self, source: str) -> None:
        """Log the quarantines that are new or over."""
        active = {q.parts for q in self._state.quarantine.active(self._now_s())}
        for parts in active - self._known:
            self._state.events.event(
                "parts quarantined", parts=sorted(parts), source=source
            )
        for parts in self._known - active:
            self._state.events.event("quarantine ended", parts=sorted(parts))
        self._known = active
        self._metrics.quarantines.set(len(active))

    def _now_s(self) -> float:
        return self._state.clock.now()


def _to_ms(time_s: float) -> int:
    return max(0, round(time_s / MS))
