"""Simulated callers of a replay: requests, attempts and responses."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field

from marjoramstage.bench._instances import FakeInstance, Instances
from marjoramstage.bench._inventory import safe_name
from marjoramstage.bench._links import Links
from marjoramstage.bench._loop import EventLoop
from marjoramstage.bench._tally import Outcome, Tally
from marjoramstage.bench._target import Counts, FakeTarget, RunEnd
from marjoramstage.bench.trace import CustomerSpec, RequestLine
from marjoramstage.exceptions import Verdict
from marjoramstage.protocol.events import (
    AttemptEnded,
    Dispatch,
    Refuse,
    RequestSubmitted,
    RetryRequested,
)
from marjoramstage.protocol.messages import (
    AttemptEnd,
    AttemptReason,
    Item,
    Request,
    RequestClass,
    TargetKind,
)

DISCONNECT_DETECTION_S = 2.0
CUT = "cut"
INTERRUPTED_REASONS = (AttemptReason.BROKEN, CUT)


@dataclass
class Call:
    """A caller's request that its instance has not answered yet.

    Attributes
    ----------
    start : int
        Start number of the instance when it received the request. A restarted
        instance knows nothing of the request.
    failed : tuple of str
        Targets of earlier attempts.
    attempt : int
        Number of the current attempt; results of earlier ones are dropped.
    may_have_run : bool
        Whether an earlier attempt may have run.
    interrupted : bool
        Whether an attempt was at an instance or a target when it was killed or
        cut off.
    target : str
        Target of the current attempt; empty for none.
    """

    request: Request
    inst: FakeInstance
    start: int
    failed: tuple[str, ...] = ()
    attempt: int = 0
    may_have_run: bool = False
    interrupted: bool = False
    target: str = ""
    dispatched_s: float = 0.0


@dataclass
class Calls:
    """Every open call, and the path of attempts between instances and targets.

    Attributes
    ----------
    open : dict
        Calls without an outcome, by request id.
    resolved : int
        Number of calls that have their outcome.
    """

    loop: EventLoop
    links: Links
    instances: Instances
    targets: Mapping[str, FakeTarget]
    customers: Mapping[str, CustomerSpec]
    counts: Counts
    tally: Tally = field(default_factory=Tally)
    open: dict[str, Call] = field(default_factory=dict)
    resolved: int = 0

    def arrive(self, line: RequestLine, inst: FakeInstance | None) -> None:
        """Submit a request to an instance, or count it as lost if there is none.

        A request for a model or an adapter that is not paid for is refused.
        """
        request = _request(line, self.loop.now_s)
        if inst is None:
            self._count(request, Outcome.LOST, "no-instance", by_fault=True)
            return
        paid = self.customers[line.customer].paid
        if line.model not in paid or (line.adapter and line.adapter not in paid):
            self._count(request, Outcome.REFUSED, "not-paid")
            return
        self.open[request.id] = Call(request, inst, inst.start)
        self.instances.post(inst, inst.scheduler, RequestSubmitted(request))

    def refused(self, inst: FakeInstance, effect: Refuse) -> None:
        """Resolve a call that its instance refused.

        It counts as lost, not refused, if an earlier attempt may have run.
        """
        call = self.open.get(effect.request.id)
        if call is None:
            return
        if call.may_have_run:
            self._resolve(call, Outcome.LOST, "gave-up")
            return
        if self.counts.starts[effect.request.id]:
            self.tally.refused_but_ran += 1
        self._resolve(call, Outcome.REFUSED, effect.code)

    def dispatched(self, inst: FakeInstance, effect: Dispatch) -> None:
        """Send an attempt to its target.

        If the call is resolved or already has an attempt, the instance is told
        that this one was cancelled before it ran.
        """
        call = self.open.get(effect.request.id)
        if call is None or call.target:
            end = RunEnd(Verdict.NOT_RUN, False, reason=AttemptReason.CANCELLED)
            self._post_attempt_ended(inst, effect.request, effect.target, end)
            return
        call.attempt += 1
        call.target = effect.target
        call.dispatched_s = self.loop.now_s
        if not self.links.joined(inst.name, effect.target):
            end = RunEnd(Verdict.NOT_RUN, False, reason=AttemptReason.CONNECT)
            self.loop.after(
                DISCONNECT_DETECTION_S, self._handle_end, call, call.attempt, end
            )
            return
        delay_s = self.links.delay_s(inst.name, effect.target)
        items = _items(effect)
        self.loop.after(
            delay_s, self._submit_to_target, call, call.attempt, effect, items
        )

    def preempted(self, inst: FakeInstance, request: Request, target: str) -> None:
        """Preempt an attempt for a more urgent request.

        Does nothing if the instance has received the first token. Otherwise the
        attempt is cancelled and the request is retried.
        """
        call = self.open.get(request.id)
        if call is None or call.target != target:
            return
        delay_s = self.links.delay_s(inst.name, target)
        begins_s = self.targets[target].first_token_at_s(request.id) + delay_s
        if begins_s <= self.loop.now_s:
            return
        self.cancel(inst, request.id, target)
        call.attempt += 1
        call.target = ""
        call.may_have_run = True
        end = RunEnd(Verdict.MAY_HAVE_RUN, False, reason=AttemptReason.CANCELLED)
        self._post_attempt_ended(inst, request, target, end)
        event = RetryRequested(request, call.failed)
        self.instances.post(inst, inst.scheduler, event)

    def cancel(self, inst: FakeInstance, request_id: str, target: str) -> None:
        """Cancel a request at its target, if the target can be reached."""
        if target in self.targets and self.links.joined(inst.name, target):
            delay_s = self.links.delay_s(inst.name, target)
            self.loop.after(delay_s, self.targets[target].cancel, request_id)

    def instance_died(self, inst: FakeInstance) -> None:
        """Count every call of a killed instance as lost."""
        for call in [call for call in self.open.values() if call.inst is inst]:
            call.interrupted = True
            if call.target:
                self.cancel(inst, call.request.id, call.target)
            self._resolve(call, Outcome.LOST, "instance-killed")

    def close(self) -> None:
        """Count every call without a response as lost."""
        for call in list(self.open.values()):
            self._resolve(call, Outcome.LOST, "no-answer")

    def _submit_to_target(
        self, call: Call, attempt: int, effect: Dispatch, items: tuple[Item, ...]
    ) -> None:
        target = self.targets[effect.target]
        target.submit(
            effect.request, items, lambda end: self._send_end_back(call, attempt, end)
        )

    def _send_end_back(self, call: Call, attempt: int, end: RunEnd) -> None:
        """Deliver the end of an attempt to its instance.

        If the link is cut, the instance detects the broken connection after
        `DISCONNECT_DETECTION_S`.
        """
        name = call.inst.name
        if not self.links.joined(name, call.target or name):
            end = RunEnd(Verdict.MAY_HAVE_RUN, False, reason=CUT)
            self.loop.after(
                DISCONNECT_DETECTION_S, self._handle_end, call, attempt, end
            )
            return
        delay_s = self.links.delay_s(name, call.target or name)
        self.loop.after(delay_s, self._handle_end, call, attempt, end)

    def _handle_end(self, call: Call, attempt: int, end: RunEnd) -> None:
        if call.attempt != attempt or not call.target:
            return
        inst, request, target = call.inst, call.request, call.target
        if inst.start != call.start or not inst.alive:
            return
        first_token_s = None
        if end.first_token_at_s is not None:
            first_token_s = end.first_token_at_s - call.dispatched_s
        call.target = ""
        self._post_attempt_ended(inst, request, target, end, first_token_s)
        if end.ok:
            self._met_or_late(call, end)
            return
        if end.reason == AttemptReason.DEADLINE:
            self._resolve(call, Outcome.LATE, end.reason)
            return
        self._retry_or_fail(call, target, end)

    def _met_or_late(self, call: Call, end: RunEnd) -> None:
        arrived_s = call.request.arrived_s
        self.tally.first_token_ms.append((end.first_token_at_s - arrived_s) * 1000.0)
        late = self.loop.now_s > call.request.deadline_s
        self._resolve(call, Outcome.LATE if late else Outcome.MET)

    def _retry_or_fail(self, call: Call, target: str, end: RunEnd) -> None:
        request = call.request
        if end.verdict is not Verdict.NOT_RUN:
            call.may_have_run = True
            call.interrupted = call.interrupted or end.reason in INTERRUPTED_REASONS
            if not request.repeatable or self.loop.now_s >= request.deadline_s:
                self._resolve(call, Outcome.LOST, end.reason)
                return
        call.failed = (*call.failed, target)
        event = RetryRequested(request, call.failed)
        self.instances.post(call.inst, call.inst.scheduler, event)

    def _post_attempt_ended(
        self,
        inst: FakeInstance,
        request: Request,
        target: str,
        end: RunEnd,
        first_token_s: float | None = None,
    ) -> None:
        attempt = AttemptEnd(
            request=request,
            target=target,
            verdict=end.verdict,
            ok=end.ok,
            tokens=request.output_tokens if end.ok else 0,
            first_token_s=first_token_s,
            reason=_protocol_reason(end.reason),
        )
        self.instances.post(inst, inst.scheduler, AttemptEnded(attempt))

    def _resolve(self, call: Call, outcome: Outcome, reason: str = "") -> None:
        if self.open.pop(call.request.id, None) is None:
            return
        self._count(call.request, outcome, reason, call.interrupted)

    def _count(
        self,
        request: Request,
        outcome: Outcome,
        reason: str = "",
        by_fault: bool = False,
    ) -> None:
        self.resolved += 1
        self.tally.ended(request, outcome, reason)
        if outcome is Outcome.LOST and by_fault:
            self.tally.lost_by_fault += 1


def _protocol_reason(reason: str) -> str:
    """Return the reason as `AttemptReason`.

    Reasons known only to the simulation are reported as a broken connection.
    """
    known = {each.value for each in AttemptReason}
    if not reason or reason in known:
        return reason
    return AttemptReason.BROKEN.value


def _items(effect: Dispatch) -> tuple[Item, ...]:
    """Return the items in ``served_as``, ``name@version`` joined by colons."""
    if effect.request.kind is TargetKind.SERVICE:
        return ()
    found = []
    for text in effect.served_as.split(":"):
        name, _, version = text.partition("@")
        found.append(Item(name, version))
    return tuple(found)


def _request(line: RequestLine, now_s: float) -> Request:
    return Request(
        id=line.id,
        customer=safe_name(line.customer),
        kind=TargetKind(line.target_kind),
        model=safe_name(line.model),
        arrived_s=now_s,
        deadline_s=now_s + line.deadline_ms / 1000.0,
        adapter=safe_name(line.adapter) if line.adapter else None,
        prompt_tokens=line.prompt_tokens,
        output_tokens=line.output_tokens,
        request_class=RequestClass[line.request_class.upper()],
        repeatable=line.repeatable,
    )
