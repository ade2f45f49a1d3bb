"""Steps about the prefill backlog of targets and the liveness of peers."""

from behave import given, then, when

from marjoramstage.coordination.peer_liveness import (
    FORGET_AFTER_S,
    LIVE_S,
    PeerLiveness,
)
from marjoramstage.coordination.prefill_backlog import PrefillBacklog

NOW_S = 50.0


@given("prompts of {sizes} tokens are sent to a target")
def send_prompts(context, sizes):
    context.backlog, context.at_s = PrefillBacklog(), NOW_S
    for size in sizes.split(","):
        context.backlog.record_sent("t1", int(size), NOW_S)


@when("{later:g} s have passed")
def pass_time(context, later):
    context.at_s = NOW_S + later


@then("a prompt of {tokens:d} tokens {may} be sent beside streams of pause {pause:g}")
def check_admitted(context, tokens, may, pause):
    admitted = context.backlog.admits("t1", tokens, pause, context.at_s)
    assert admitted == (may == "may"), context.backlog.backlog_s("t1", context.at_s)


@when("they are announced to another instance")
def tell_other(context):
    context.other_backlog = PrefillBacklog()
    context.other_backlog.record_remote(
        context.backlog.take_unannounced(), NOW_S + 0.005
    )


@then("that instance sends no prompt of {tokens:d} tokens there either")
def check_other(context, tokens):
    assert not context.other_backlog.admits("t1", tokens, 0.25, NOW_S + 0.01)


@then("nothing is announced twice")
def check_once(context):
    assert not context.backlog.take_unannounced()
    assert not context.other_backlog.take_unannounced()


@given("{known:d} instances were heard from and {lost:d} fell silent")
def hear(context, known, lost):
    context.peer_liveness = PeerLiveness()
    for number in range(known):
        silent_s = LIVE_S + 0.1 if number < lost else 0.1
        context.peer_liveness.heard(f"i{number}", NOW_S - silent_s)
    context.peer_liveness.heard("long gone", NOW_S - FORGET_AFTER_S - 1.0)


@then("contact is {state}")
def check_contact(context, state):
    assert context.peer_liveness.is_isolated(NOW_S) == (state == "lost")
