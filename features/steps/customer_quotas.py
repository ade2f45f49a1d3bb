"""Steps about quotas of customers, without a network."""

import re

from behave import given, then, when

from features.quota_simulation import (
    BOUNDS,
    RATES,
    START_S,
    QuotaLoad,
    QuotaSimulation,
)
from marjoramstage.coordination.customer_quotas import CustomerQuotas
from marjoramstage.coordination.quota_rules import window_limit
from marjoramstage.exceptions import PeerError
from marjoramstage.protocol import quota_uses
from marjoramstage.protocol.peers import QuotaAllowance, QuotaGrants, QuotaUse
from marjoramstage.state.customers import Customer, Quota, QuotaUnit

EVENT_S = 20.0
MEASURED_FROM_S = 22.0
HOLDER_GONE_S = 2.5


def _lose_holder(sim, for_s=HOLDER_GONE_S):
    sim.has_holder = False
    sim.at(for_s, sim.new_holder)


def _kill_holder(sim):
    sim.kill(2)
    _lose_holder(sim)


def _restart_one(sim):
    sim.kill(1)
    sim.at(START_S, lambda: sim.restart(1))


def _cut(sim, numbers):
    sim.cut(numbers)
    sim.at(20.0, lambda: sim.cut(numbers, False))


EVENTS = {
    "one killed": lambda sim: sim.kill(1),
    "one killed and restarted": _restart_one,
    "one frozen": lambda sim: sim.freeze(1),
    "three cut off": lambda sim: _cut(sim, range(3)),
    "most cut off": lambda sim: _cut(sim, range(len(sim.instances) // 2 + 1)),
    "all restarted": lambda sim: sim.restart_all(),
    "another holder": _lose_holder,
    "the holder killed": _kill_holder,
    "no holder": lambda sim: _lose_holder(sim, 30.0),
    "its limit halved": lambda sim: sim.change_quota(sim.load.hot, 0.5),
    "its limit removed": lambda sim: sim.change_quota(sim.load.hot, 0),
}


@when(
    "{instances:d} instances serve {hot:d} at {times:g} times its usual, {event}, "
    "seed {seed:d}"
)
def play(context, instances, hot, times, event, seed):
    skew = 0.9 if event == "nine of ten at one" else 0.0
    for_s = 60.0 if event in EVENTS else 40.0
    load = QuotaLoad(instances, hot, times, skew=skew, for_s=for_s)
    events = [(EVENT_S, EVENTS[event])] if event in EVENTS else []
    context.sim = QuotaSimulation(load, seed, events)
    context.sim.run()


@then("no customer is sent more than its quota allows in any window")
def check_bound(context):
    sim = context.sim
    for number in range(len(RATES)):
        most, allowed = sim.most_in_window(number), sim.allowed(number)
        assert most <= allowed, f"c{number}: {most} of {allowed}"


@then("the hot customer gets at least {share:g} of its quota")
def check_used(context, share):
    sim, hot = context.sim, context.sim.load.hot
    found = sim.sent_per_s(hot, MEASURED_FROM_S, sim.load.for_s) / RATES[hot]
    assert found >= share, found


@then("of the others' requests at most {share:g} are refused")
def check_refused(context, share):
    sim = context.sim
    found = {n: sim.refused_share(n) for n in range(len(RATES)) if n != sim.load.hot}
    assert max(found.values()) <= share, found


@then("the lower limit holds from one window after the change")
def check_lowered(context):
    sim, hot = context.sim, context.sim.load.hot
    most = sim.most_in_window(hot, EVENT_S + BOUNDS.quota_window_s)
    allowed = window_limit(sim.customers[hot].quota, BOUNDS)
    assert most <= allowed, (most, allowed)


@then("the hot customer is refused nothing from then on")
def check_removed(context):
    refused = context.sim.served[f"c{context.sim.load.hot}"].refused
    late = [entry for entry in refused if entry[0] > EVENT_S + 1.0]
    assert not late, late[:3]


@then("of all its requests at most {share:g} are refused")
def check_own_refused(context, share):
    found = context.sim.refused_share(context.sim.load.hot)
    assert found <= share, found


@then("those that wait for the holder wait less than {most:g} s")
def check_waits(context, most):
    waited = context.sim.served[f"c{context.sim.load.hot}"].waited
    assert waited and max(waited) < most, waited


@given("an instance that may send {allowed:d} tokens in 8 s, and sent {sent}")
def hold_allowance(context, allowed, sent):
    context.customer = Customer("c", quota=Quota(QuotaUnit.TOKENS, 1000.0, 1000.0))
    context.quotas = quotas = CustomerQuotas(BOUNDS, 0.0)
    by_name = {"c": context.customer}
    for number, (cost, at_s) in enumerate(re.findall(r"(\d+) at (\d+)", sent), 1):
        quotas.report(number, float(at_s))
        grants = QuotaGrants("h", 1, number, number, 7, (QuotaAllowance("c", allowed),))
        assert quotas.apply_grants(grants, by_name, float(at_s))
        assert quotas.admit(context.customer, int(cost), float(at_s)).admitted
        assert quotas.send(context.customer, int(cost), float(at_s)).admitted
        context.at_s = float(at_s)
    context.allowed = allowed


def _hear_holder(context, at_s):
    """Answer a report, so that the allowance stays."""
    quotas = context.quotas
    number = quotas.grant_number + 1
    quotas.report(number, at_s)
    grants = QuotaGrants(
        "h", 1, number, number, 7, (QuotaAllowance("c", context.allowed),)
    )
    assert quotas.apply_grants(grants, {"c": context.customer}, at_s)


@when("a request of {cost:d} tokens comes at {at_s:g} s")
def come(context, cost, at_s):
    _hear_holder(context, at_s)
    context.cost, context.at_s = cost, at_s
    context.decision = context.quotas.admit(context.customer, cost, at_s)


@then("it is told to come back after {retry:g} s, and is admitted then")
def check_retry(context, retry):
    decision = context.decision
    assert not decision.admitted
    assert abs(decision.retry_after_s - retry) < 0.06, decision
    back_s = context.at_s + decision.retry_after_s
    _hear_holder(context, back_s)
    assert context.quotas.admit(context.customer, context.cost, back_s).admitted


@when("a request of {cost:d} tokens is admitted and {what}")
def admit_and(context, cost, what):
    quotas, customer = context.quotas, context.customer
    assert quotas.admit(customer, cost, 1.0).admitted
    if what == "refused for another reason":
        quotas.give_back(customer, cost)
        return
    assert quotas.send(customer, cost, 1.0).admitted
    if what == "sent and surely not run":
        quotas.refund(customer, cost)
        quotas.give_back(customer, cost)


@when("a request of {cost:d} tokens is only assessed")
def assess_only(context, cost):
    assert context.quotas.assess(context.customer, cost, 1.0).admitted


@then("a request of {cost:d} tokens is {result}")
def check_result(context, cost, result):
    decision = context.quotas.admit(context.customer, cost, 1.2)
    assert decision.admitted == (result == "admitted"), decision


@when("two uses are packed and read")
def pack_uses(context):
    context.uses = QuotaUse("c", 9, 7, 8, 2, 1), QuotaUse("caf\u00e9", 2**40)
    context.content = quota_uses.pack(context.uses)


@when("a packed use is cut short")
def cut_use(context):
    context.content = quota_uses.pack([QuotaUse("customer", 9)])[:-1]


@when("a packed name is not UTF-8")
def garble_use(context):
    content = quota_uses.pack([QuotaUse("customer", 9)])
    context.content = content.replace(b"cust", b"\xff\xff\xff\xff")


@then("the uses are the same")
def check_uses(context):
    assert quota_uses.unpack(context.content) == context.uses


@then("the uses are not readable")
def check_unreadable(context):
    try:
        found = quota_uses.unpack(context.content)
    except PeerError:
        return
    raise AssertionError(found)


@then("it is refused, and does not count as demand")
def check_not_demand(context):
    assert not context.decision.admitted and not context.decision.may_wait
    (use,) = context.quotas.report(9, 1.0)
    assert (use.used, use.wanted, use.largest) == (400, 400, 400), use
