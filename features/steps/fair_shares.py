"""Steps for the shares of customers in the targets of a service."""

import asyncio
from dataclasses import dataclass, replace

from behave import then, when

from features.fair_share_simulation import Load, play
from features.keyed_instance import (
    KEYS,
    RUNNING,
    KeyedInstance,
    KeyedTarget,
    until,
)
from marjoramstage.coordination.fair_shares import (
    MAX_LEAD_REQUESTS,
    FairShares,
    ShareClaim,
)

DURATION_S = 40.0
RANKS = (0, 1)


def names(load):
    return [f"c{number}" for number in range(load.customers)]


@when(
    "{hot} sends 10 times its usual where all use {share:g} of the targets, "
    "seed {seed:d}"
)
def play_hot(context, hot, share, seed):
    context.load = Load(seed, hot, share=share, duration_s=DURATION_S)
    context.calm = play(replace(context.load, hot=None))
    context.result = play(context.load)


def losses(load, calm, result, rank=None):
    """Return what each customer loses to the one that sends more."""
    return {
        name: calm.served_share(name, rank) - result.served_share(name, rank)
        for name in names(load)
        if name != load.hot
    }


@then("each other customer loses at most {most:g} of its service, of each class too")
def check_losses(context, most):
    for rank in (None, *RANKS):
        found = losses(context.load, context.calm, context.result, rank)
        assert max(found.values()) <= most, (rank, found)


@then("no customer is served less than a quarter as often as all")
def check_least(context):
    found = {n: context.result.served_share(n) for n in names(context.load)}
    assert min(found.values()) >= 0.25 * context.result.served_share(), found


@then("the more urgent class is not served less than the other")
def check_classes(context):
    live, other = (context.result.served_share(rank=rank) for rank in RANKS)
    assert live >= other, (live, other)


@then("as many are served in all as without shares, but for {most:g}")
def check_all(context, most):
    context.plain = play(replace(context.load, fair=False))
    found = context.plain.served_share(), context.result.served_share()
    assert found[0] - found[1] <= most, found


@then("without shares another customer loses more than {loss:g}")
def check_plain(context, loss):
    calm = play(replace(context.load, fair=False, hot=None))
    found = losses(context.load, calm, context.plain)
    assert max(found.values()) > loss, found


@when("all send {times:g} times what the targets run, seed {seed:d}")
def play_overload(context, times, seed):
    context.load = Load(seed, share=times, duration_s=DURATION_S)
    context.result = play(context.load)


@then("customers that ask for less than an equal share are served {least:g} at least")
def check_small(context, least):
    sent = dict.fromkeys(names(context.load), 0)
    for (name, _), count in context.result.sent.items():
        sent[name] += count
    equal = sum(context.result.served.values()) / context.load.customers
    small = [name for name, count in sent.items() if count < 0.9 * equal]
    found = {name: context.result.served_share(name) for name in small}
    assert len(small) > 4 and min(found.values()) >= least, (equal, found)


@when("c0 has priority 0 and the others 1, and c0 sends 10 times its usual")
def play_priority(context):
    levels = {f"c{number}": 1 for number in range(1, 16)}
    load = Load(1, "c0", share=0.3, duration_s=DURATION_S, priorities=levels)
    context.result = play(load)


@then("c0 is served {least:g} at least")
def check_first(context, least):
    assert context.result.served_share("c0") >= least, context.result


@dataclass
class Claimant:
    """A request that waits."""

    claim: ShareClaim
    number: int
    rank: int = 0
    deadline_s: float = 0.0
    start_tag: float = 0.0
    turn: int = 0


@then("after {count:d} requests of one customer it is ahead by {most:d} at most")
def check_lead(context, count, most):
    assert most == MAX_LEAD_REQUESTS
    shares = FairShares()
    one, other = ShareClaim("one", 0, 5.0), ShareClaim("other", 0, 5.0)
    for _ in range(count):
        shares.tag([Claimant(other, 1)])
        shares.charge(one, others_wait=True)
    claimants = Claimant(one, 1), Claimant(other, 2)
    shares.tag(claimants)
    lead = claimants[0].start_tag - claimants[1].start_tag
    assert 0 < lead <= most * one.cost, lead


@when("one customer has 20 requests at a full target and another sends one")
def play_instance(context):
    async def run():
        target = KeyedTarget("released")
        async with KeyedInstance([target]) as instance:
            good, other = (f"Bearer {KEYS[name][0]}" for name in ("good", "other"))
            tasks = []
            for number in range(2 * RUNNING):
                sent = instance.send("/any/x", f"g{number}", Authorization=good)
                tasks.append(asyncio.create_task(sent))
            await until(lambda: len(instance.state.wait_queue) == RUNNING)
            sent = instance.send("/any/x", "one", Authorization=other)
            tasks.append(asyncio.create_task(sent))
            await until(lambda: len(instance.state.wait_queue) == RUNNING + 1)
            for number in (1, 2):
                target.release(1)
                await until(lambda n=number: len(target.requests) == RUNNING + n)
            target.release()
            await asyncio.gather(*tasks)
            return [headers["Request-Id"] for headers in target.requests]

    context.ids = asyncio.run(run())


@then("the one is sent among the first two of those that wait")
def check_place(context):
    waited = context.ids[RUNNING:]
    assert waited.index("one") <= 1, waited
