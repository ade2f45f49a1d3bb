"""Steps about what instances tell each other of the store."""

import asyncio
import json
import random
import zlib

from behave import given, then, when

from features.relayed_store import RelayNet
from features.virtual_asyncio import run_virtual
from marjoramstage import platform
from marjoramstage.protocol.peers import StoreChanges
from marjoramstage.protocol.store_changes import MAX_CONTENT_BYTES

SETTLE_S = 3.0
BOUND_S = 2.0
VERSIONS = 8


@given("{count:d} instances, of which one tells the others")
def make_instances(context, count):
    context.count = count


def _play(context, script):
    """Run a script on a net whose instances have settled; keep the net."""

    async def run():
        net = context.net = RelayNet(context.count)
        net.accept(1)
        for number in range(4):
            net.put_target(f"t{number}")
        net.start()
        await script(net)
        net.stop()

    run_virtual(run())


@when("targets load models all the time and 6 versions are accepted in 60 s")
def load_models(context):
    async def script(net):
        await asyncio.sleep(SETTLE_S)
        net.store.calls.clear()
        for step in range(120):
            net.put_target(f"t{step % 4}", models=(f"m{step}",))
            if step % 20 == 0:
                net.accept(2 + step // 20)
            await asyncio.sleep(0.5)

    _play(context, script)


@then("an instance makes at most {most:g} calls a second to the store")
def check_calls(context, most):
    calls = sum(context.net.store.calls.values())
    assert calls <= most * 60 * context.count, calls / 60 / context.count


@then("those that are told make none after their start")
def check_told(context):
    calls = {n: c for n, c in context.net.store.calls.items() if n != "i0"}
    assert not calls, calls


async def _kill(net, rng):
    net.members["i0"].stop()
    net.publishers = set()
    await asyncio.sleep(3.0)
    net.publishers = {"i1"}


async def _suspend(net, rng):
    net.freeze("i0")
    await asyncio.sleep(rng.uniform(0.3, 5.0))
    net.thaw("i0")


async def _silence(net, rng):
    net.store.silent = {"i0"}
    await asyncio.sleep(4.0)
    net.store.silent = set()


async def _turn_away(net, rng):
    net.store.refused = {"i0"}
    await asyncio.sleep(4.0)
    net.store.refused = set()


async def _cut(net, rng):
    net.cut = {"i0"}
    await asyncio.sleep(4.0)
    net.cut = set()


async def _lose(net, rng):
    net.lost = 9


async def _enlarge(net, rng):
    net.too_large = True


async def _take_over(net, rng):
    net.publishers = {"i1"}


async def _double(net, rng):
    net.publishers = {"i0", "i1"}


async def _cut_store(net, rng):
    net.store.silent = {"i3"}


async def _nothing(net, rng):
    pass


FAULTS = {
    "nothing fails": _nothing,
    "the publisher is killed": _kill,
    "the publisher is suspended and resumed": _suspend,
    "the store is silent to the publisher": _silence,
    "the store turns the publisher away": _turn_away,
    "the publisher is cut off from the others": _cut,
    "changes are lost on the way": _lose,
    "changes are too large to be sent": _enlarge,
    "another instance takes over": _take_over,
    "two instances tell at once": _double,
    "an instance is cut off from the store": _cut_store,
}
# These instances are suspended, killed or get no answer from the store.
NOT_IN_TOUCH = {
    "the publisher is killed": {"i0"},
    "the publisher is suspended and resumed": {"i0"},
    "the store is silent to the publisher": {"i0"},
    "the store turns the publisher away": {"i0"},
}


@when("versions are accepted and targets leave while {case}, seed {seed:d}")
def change_under_fault(context, case, seed):
    context.exempt = NOT_IN_TOUCH.get(case, set())
    context.accepted, context.left = {}, {}

    async def script(net):
        rng = random.Random(seed)
        await asyncio.sleep(SETTLE_S)
        fault = asyncio.create_task(FAULTS[case](net, rng))
        for version in range(2, VERSIONS + 2):
            await asyncio.sleep(rng.uniform(0.05, 1.2))
            context.accepted[version] = net.now()
            net.accept(version)
            if version % 2 == 0 and version // 2 <= 4:
                name = f"t{version // 2 - 1}"
                context.left[name] = net.now()
                net.put_target(name, "draining")
        await asyncio.sleep(SETTLE_S)
        await fault

    _play(context, script)


@then("each instance that reaches the store knows each change within 2 s")
def check_known(context):
    net, late = context.net, {}
    for name in net.members.keys() - context.exempt:
        for version, accepted_s in context.accepted.items():
            times = [s for (n, v), s in net.in_force.items() if n == name]
            later = [
                s for (n, v), s in net.in_force.items() if n == name and v >= version
            ]
            assert times
            if not later or min(later) - accepted_s > BOUND_S:
                late[name, version] = min(later, default=None)
        for target, left_s in context.left.items():
            known_s = net.known_leaving.get((name, target))
            if known_s is None or known_s - left_s > BOUND_S:
                late[name, target] = known_s
    assert not late, late


@then("no instance ever went back to an older version")
def check_order(context):
    for name in context.net.members:
        seen = [(s, v) for (n, v), s in context.net.in_force.items() if n == name]
        versions = [version for _, version in sorted(seen)]
        assert versions == sorted(versions), (name, versions)


@when("the store is put back to a copy and the operator writes another version")
def restore(context):
    async def script(net):
        await asyncio.sleep(SETTLE_S)
        copy = net.store.copy()
        net.accept(5)
        net.put_target("lost")
        await asyncio.sleep(SETTLE_S)
        net.store.restore(copy)
        context.accepted_s = net.now()
        net.accept(7)
        await asyncio.sleep(BOUND_S)
        context.versions = {m.version for m in net.members.values()}
        await asyncio.sleep(2 * SETTLE_S)
        context.listed = {frozenset(m.state.fleet.targets) for m in _members(net)}

    _play(context, script)


def _members(net):
    return net.members.values()


@then("each instance has that version within 2 s")
def check_restored(context):
    assert context.versions == {7}, context.versions


@then("each lists the targets of the restored store")
def check_listed(context):
    # What was lost with the copy is dropped in time, as nobody writes it again.
    assert context.listed == {frozenset(f"t{n}" for n in range(4))}, context.listed


@when("the publisher was cut off from the store and finds a target missing")
def find_missing(context):
    async def script(net):
        await asyncio.sleep(SETTLE_S)
        net.store.refused = set(net.members)
        await asyncio.sleep(0.6)
        spec = net.store.objects[platform.TARGETS, "t1"].spec
        net.store.remove(platform.TARGETS, "t1")
        net.store.refused = set()
        await asyncio.sleep(1.6)
        context.kept = ["t1" in m.state.fleet.targets for m in _members(net)]
        net.store.put(platform.TARGETS, "t1", spec)
        await asyncio.sleep(SETTLE_S)
        context.kept += ["t1" in m.state.fleet.targets for m in _members(net)]

    _play(context, script)


@then("no instance drops the target before the store had time to list it again")
def check_kept(context):
    assert all(context.kept), context.kept


@when("the store turns all of them away for 6 s")
def turn_all_away(context):
    async def script(net):
        await asyncio.sleep(SETTLE_S)
        net.store.calls.clear()
        net.store.refused = set(net.members)
        await asyncio.sleep(6.0)

    _play(context, script)


@then("an instance makes at most {most:g} calls a second to the store meanwhile")
def check_outage_calls(context, most):
    calls = sum(context.net.store.calls.values())
    assert calls <= most * 6 * context.count, calls / 6 / context.count


@when("they have started for 3 s")
def start_all(context):
    async def script(net):
        await asyncio.sleep(SETTLE_S)

    _play(context, script)


@then("each made at most {most:d} calls to the store")
def check_start_calls(context, most):
    calls = {n: c for n, c in context.net.store.calls.items() if n != "i0"}
    assert max(calls.values()) <= most, calls


def _archive(data):
    return zlib.compress(json.dumps(data).encode())


CONTENTS = {
    "no content": b"",
    "text that is no archive": b"[[],[]]",
    "an endless archive": zlib.compress(b" " * (MAX_CONTENT_BYTES + 1)),
    "half an archive": _archive([[["t9", "9", {}]], []])[:-6],
    "objects without names": _archive([[[None, "9", {}]], []]),
    "removed names as number": _archive([[], 7]),
}


@when("it gets store changes with {case}")
def send_invalid(context, case):
    async def script(net):
        await asyncio.sleep(SETTLE_S)
        member = net.members["i1"]
        reasons, targets = [], dict(member.state.fleet.targets)
        member.events.event = lambda name, **fields: reasons.append((name, fields))
        revision = net.store.revision
        message = StoreChanges("servers", 1, 0, revision + 9, True, CONTENTS[case])
        member.relay.receive_changes(message)
        context.reasons = reasons
        context.unchanged = targets == member.state.fleet.targets

    _play(context, script)


@then("nothing changes and the reason is logged")
def check_invalid(context):
    assert context.unchanged
    assert [name for name, _ in context.reasons] == ["invalid store changes"]
    assert all(fields["reason"] for _, fields in context.reasons)
