"""Steps about the byte budget and the limit of connections."""

from dataclasses import dataclass

from behave import given, then, when

from marjoramstage.transport.byte_budget import (
    SMALL_BYTES,
    ByteBudget,
    EvictionCause,
    HoldingKind,
)
from marjoramstage.transport.connection_limit import ConnectionLimit

KB = 1_000
NOW_S = 100.0


def numbers(text):
    return [float(part) for part in text.split(",")] if text != "none" else []


def ignore(cause):
    """Take note of an eviction; the test reads the decision instead."""


def open_body(context, size, now_s):
    """Open a body in the part for small ones; return None if that is full."""
    first_bytes = min(size, SMALL_BYTES)
    return context.budget.open(HoldingKind.BODY, first_bytes, now_s, ignore)


def ask(context, size, now_s=NOW_S):
    """Let a body ask for its size; return it and how that ended."""
    holding = open_body(context, size, now_s)
    if holding is None:
        return None, "is refused as small"
    if size <= SMALL_BYTES:
        return holding, "is granted as small"
    if context.budget.try_grow(holding, size - holding.bytes):
        return holding, "is granted"
    context.budget.ask(holding, size - holding.bytes, now_s, lambda: None)
    return holding, "waits"


@given("holdings of {held} KB")
def open_holdings(context, held):
    open_idle_holdings(context, held, ",".join("0" for _ in numbers(held)) or "none")


@given("holdings of {held} KB that made no progress for {idle} s")
def open_idle_holdings(context, held, idle):
    context.budget = ByteBudget(1_000 * KB)
    context.holdings = []
    for kb, idle_s in zip(numbers(held), numbers(idle), strict=True):
        holding = context.budget.overdraw(
            HoldingKind.BODY, int(kb * KB), NOW_S - idle_s, ignore
        )
        context.holdings.append(holding)


@given("a body that waits for {kb:d} KB")
@when("a body asks for {kb:d} KB")
def ask_for(context, kb):
    context.asker, context.result = ask(context, kb * KB)


@then("the body {result}")
def check_result(context, result):
    assert context.result == result, context.result


@when("evictions are decided")
def decide(context):
    assert context.result == "waits", context.result
    context.evictions = context.budget.evictions(NOW_S)


@then("holdings {ended} end as stalled")
def check_stalled(context, ended):
    found = [
        context.holdings.index(eviction.holding) + 1
        for eviction in context.evictions
        if eviction.cause is EvictionCause.STALLED
    ]
    assert found == [int(number) for number in numbers(ended)], found
    assert not context.budget.evictions(NOW_S), "evicted twice"


@when("{wait_s:d} s pass without room")
def wait(context, wait_s):
    for holding in context.holdings:
        holding.evict = None
    context.evictions = context.budget.evictions(NOW_S + wait_s)


@then("the waiting body ends as waited")
def check_waited(context):
    (eviction,) = context.evictions
    assert eviction.holding is context.asker
    assert eviction.cause is EvictionCause.WAITED


@then("after it and the holding are closed a body of {kb:d} KB is granted")
def check_next(context, kb):
    _, result = ask(context, kb * KB)
    assert result == "waits", result
    context.budget.close(context.asker)
    context.budget.close(context.asker)
    for holding in context.holdings:
        context.budget.close(holding)
    assert context.budget.used_bytes == kb * KB, context.budget.used_bytes
    assert context.budget.waiting == 0


@dataclass(eq=False)
class Caller:
    name: str
    is_idle: bool = True
    is_paused: bool = False
    closed: bool = False
    ended: bool = False

    def force_close(self):
        self.closed = True

    def end_stalled(self):
        self.ended = True


@given("a limit of {most:d} descriptors and callers {callers}")
def connect_callers(context, most, callers):
    context.limit = ConnectionLimit(most)
    names = callers.split()
    if names[-1] == "callers":
        names = [f"c{number}" for number in range(1, int(names[0]) + 1)]
    context.callers = [Caller(name, "busy" not in callers) for name in names]
    for caller in context.callers:
        context.limit.add(caller)


@given("bodies that went on {ago} s ago, of callers {reading}")
def read_bodies(context, ago, reading):
    by_name = {caller.name: caller for caller in context.callers}
    for text, ago_s in zip(reading.split(", "), numbers(ago), strict=True):
        name, _, state = text.partition(" ")
        caller = by_name[name]
        caller.is_idle = False
        caller.is_paused = state == "unread"
        context.limit.note_body(caller, NOW_S - ago_s)
        if state == "ended":
            context.limit.end_body(caller)


@when("{serving:d} requests are served and a caller connects")
def connect(context, serving):
    context.limit.serving = serving
    context.limit.add(Caller("new", is_idle=False))
    context.limit.close_excess(NOW_S)


@then("callers {closed} are closed")
def check_closed(context, closed):
    found = [caller.name for caller in context.callers if caller.closed]
    assert found == ([] if closed == "none" else closed.split()), found


@then("the bodies of callers {ended} end")
def check_ended(context, ended):
    found = {caller.name for caller in context.callers if caller.ended}
    assert found == ({*ended.split()} - {"none"}), found
