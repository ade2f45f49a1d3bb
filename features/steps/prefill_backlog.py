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
    context.peer_liveness, context.now_s = PeerLiveness(), NOW_S
    context.live = [f"i{number}" for number in range(known)]
    if known:
        # One left while the others were heard from.
        context.peer_liveness.heard("long gone", NOW_S - FORGET_AFTER_S - 1.0)
        hear_live(context, NOW_S - 2.0)
        assert not context.peer_liveness.is_isolated(NOW_S - 1.0)
    for number in range(known):
        silent_s = LIVE_S + 0.1 if number < lost else 0.1
        context.peer_liveness.heard(f"i{number}", NOW_S - silent_s)


@given("{known:d} instances were heard from and {lost:d} fell silent for {silent:d} s")
def hear_long_ago(context, known, lost, silent):
    context.peer_liveness, context.now_s = PeerLiveness(), NOW_S
    context.silent_s = silent
    context.live = [f"i{number}" for number in range(lost, known)]
    for number in range(lost):
        context.peer_liveness.heard(f"i{number}", NOW_S - silent)


@when("contact was checked each second meanwhile, then {event}")
def check_meanwhile(context, event):
    check_each_second(context)
    if event == "nothing":
        return
    if event == "the lease is renewed":
        context.peer_liveness.forget_silent(NOW_S)
        return
    count = int(event.split()[0])
    if event.endswith("others are heard from"):
        context.live = [f"new {number}" for number in range(count)]
        hear_live(context, NOW_S)
        return
    # Long enough to be silent, too short to be forgotten.
    context.live = context.live[count:]
    hear_live(context, NOW_S + LIVE_S)
    context.now_s = NOW_S + LIVE_S


def check_each_second(context):
    for ago_s in range(context.silent_s, -1, -1):
        hear_live(context, NOW_S - ago_s)
        context.peer_liveness.is_isolated(NOW_S - ago_s)


def hear_live(context, now_s):
    for name in context.live:
        context.peer_liveness.heard(name, now_s)


@then("contact is {state}")
def check_contact(context, state):
    assert context.peer_liveness.is_isolated(context.now_s) == (state == "lost")
