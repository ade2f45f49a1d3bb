"""Steps about simulated configuration nodes and network partitions."""

import random
from dataclasses import replace

from behave import given, then, when

from features.config_net import ConfigNet, forged, halved, inventory_of
from marjoramstage.protocol.peers import (
    DocumentsSent,
    Gossip,
    Head,
    Rumour,
)
from marjoramstage.state.document_tree import build_tree

SETTLE_S = 30.0


@given("{count:d} data centres of {each:d} config nodes with a generation in force")
def start_net(context, count, each):
    net = context.net = ConfigNet(count, each)
    net.accept()
    net.run(SETTLE_S)
    assert net.in_force(1)


def platform_down(net):
    net.accept()
    net.platform.down = True
    net.run(120)
    net.platform.down = False


def platform_slow(net):
    net.platform.delay_s = 5.0
    for _ in range(4):
        net.accept()
        net.run(7)
    net.platform.delay_s = 0.005


def lagging_replica(net):
    net.platform.stale = 1
    net.break_watches()
    for _ in range(5):
        net.accept()
        net.run(4)
        net.restart(net.rng.choice(net.names))
    net.platform.stale = 0


def stale_and_broken(net):
    net.platform.watch = "broken"
    net.platform.stale = 2
    for _ in range(6):
        net.accept()
        net.break_watches()
        net.run(3)
    net.platform.stale = 0


def down_and_killed(net):
    net.accept()
    net.platform.down = True
    net.kill(net.watcher("d1"))
    net.run(40)
    net.platform.down = False


def frozen_watchers(net):
    names = [net.watcher(dc) for dc in ("d1", "d2", "d3")]
    for name in names:
        net.freeze(name)
    for _ in range(3):
        net.accept()
        net.run(10)
    for name in names:
        net.freeze(name, False)


def restart_at_each_step(net):
    for step in range(60):
        if step % 6 == 0:
            net.accept()
        net.run(0.002 * step)
        net.restart(net.names[step % len(net.names)])


def restart_in_turn(net):
    for name in net.names:
        net.accept()
        net.restart(name)
        net.run(2)


def lose_third(net):
    rng = random.Random(7)
    net.alter_message = lambda name, message: None if rng.random() < 0.33 else message
    for _ in range(5):
        net.accept()
        net.run(4)
    net.alter_message = None


def platform_flapping(net):
    for turn in range(10):
        net.platform.down = turn % 2 == 0
        if not net.platform.down:
            net.accept()
        net.run(1.5)
    net.platform.down = False


ENDING = {
    "the platform is down for 120 s": platform_down,
    "the platform is slow by 5 s a call": platform_slow,
    "reads come from a lagging replica": lagging_replica,
    "the watch is broken and reads are stale": stale_and_broken,
    "the platform is down and a watcher is killed": down_and_killed,
    "every watcher is frozen for 30 s": frozen_watchers,
    "an instance restarts at each step": restart_at_each_step,
    "every instance restarts in turn": restart_in_turn,
    "a third of the peer messages is lost": lose_third,
    "the platform is available intermittently": platform_flapping,
}


@when("generations are accepted while {fault}")
def ending_fault(context, fault):
    ENDING[fault](context.net)


def watch_broken(net):
    net.platform.watch = "broken"
    net.break_watches()


def watch_silent(net):
    net.platform.watch = "silent"


def watch_compacted(net):
    net.run(1)
    net.break_watches()


def watchers_killed(net):
    for dc in ("d1", "d2", "d3"):
        net.kill(net.watcher(dc))


def watchers_frozen(net):
    for dc in ("d1", "d2", "d3"):
        net.freeze(net.watcher(dc))


def with_head(change):
    def changed(message):
        told = isinstance(message, Gossip | Rumour) and message.head is not None
        return replace(message, head=change(message.head)) if told else message

    return changed


def watchers_send(net, change):
    """Alter the messages of the watchers, which send most updates to others."""
    names = {net.watcher(dc) for dc in ("d1", "d2", "d3")}
    net.alter_message = lambda name, message: (
        change(message) if name in names else message
    )


def older_heads(net):
    oldest = net.platform.heads[0]
    watchers_send(net, with_head(lambda head: oldest))


def forged_roots(net):
    forge = with_head(lambda head: Head(head.generation + 5, "f" * 64, "x"))
    watchers_send(net, forge)


def forged_documents(net):
    watchers_send(net, forged)


def half_documents(net):
    watchers_send(net, halved)


def no_documents(net):
    watchers_send(net, lambda m: None if isinstance(m, DocumentsSent) else m)


LASTING = {
    "the watch stays broken": watch_broken,
    "the watch stays silent": watch_silent,
    "the watch ends as compacted": watch_compacted,
    "the watchers are killed": watchers_killed,
    "the watchers stay frozen": watchers_frozen,
    "the watchers send older heads": older_heads,
    "the watchers send heads with forged roots": forged_roots,
    "the watchers send documents with forged content": forged_documents,
    "the watchers send truncated documents": half_documents,
    "the watchers send no documents": no_documents,
}


@when("generations are accepted and {fault}")
def lasting_fault(context, fault):
    net = context.net
    LASTING[fault](net)
    for _ in range(3):
        net.accept()
        net.run(0.7)


@then("the latest generation is in force at every config node within {bound:d} s")
def check_in_force(context, bound):
    net = context.net
    names = [p.name for p in net.running() if not p.frozen]
    net.run(bound, lambda: net.in_force(names=names))
    behind = {p.name: p.generation for p in net.running() if p.name in names}
    assert net.in_force(names=names), (len(net.platform.heads), behind)


@then("no config node reverted or applied an unaccepted generation")
def check_violations(context):
    net = context.net
    net.run(SETTLE_S)
    assert net.violations == [], net.violations[:5]


@when("the platform is down and a config node restarts")
def start_in_outage(context):
    context.net.platform.down = True
    context.net.restart("d1-i2")


@when("a config node starts alone during an outage")
def start_alone(context):
    net = context.net
    net.platform.down = True
    net.restart("d1-i2")
    net.cuts = {("d1-i2", n) for n in net.names} | {(n, "d1-i2") for n in net.names}


@then("that config node has nothing in force after {wait:d} s")
def check_nothing_in_force(context, wait):
    context.net.run(wait)
    assert context.net.processes["d1-i2"].generation == 0


@then("the latest generation is in force at every config node within 9 s of healing")
def check_healed(context):
    context.net.cuts = set()
    check_in_force(context, 9)


@when(
    "the platform reads of {few:d} and of {many:d} config nodes are counted for 200 s"
)
def count_reads(context, few, many):
    context.config_reads = []
    for each in (few, many):
        net = ConfigNet(1, each)
        net.accept()
        net.run(SETTLE_S)
        before = net.platform.reads
        net.run(200)
        context.config_reads.append(net.platform.reads - before)


@then("the larger data centre reads at most a quarter more often")
def check_reads(context):
    few, many = context.config_reads
    assert 0 < many <= 1.25 * few, context.config_reads


@when("one entry of {models:d} is changed")
def change_one(context, models):
    first, second = (build_tree(inventory_of(g, models)) for g in (1, 1 + models))
    new = second.documents.keys() - first.documents.keys()
    context.config_changed = [len(second.documents[name]) for name in new]


@then("at most {count:d} documents differ and each is small")
def check_few(context, count):
    sizes = context.config_changed
    assert 1 < len(sizes) <= count and max(sizes) < 4000, sizes


def all_pairs(net):
    return {(a, b) for a in net.names for b in net.names if a != b}


def data_centre_of(name):
    return name.split("-")[0]


def cut_platform(net):
    net.platform_cuts = {n for n in net.names if data_centre_of(n) == "d1"}


def cut_others(net):
    net.cuts = {
        (a, b)
        for a, b in all_pairs(net)
        if (data_centre_of(a) == "d1") != (data_centre_of(b) == "d1")
    }


def cut_both(net):
    cut_platform(net)
    cut_others(net)


def cut_inside(net):
    net.cuts = {
        (a, b)
        for a, b in all_pairs(net)
        if data_centre_of(a) == data_centre_of(b) == "d1"
    }


def cut_inbound_of_one(net):
    net.cuts = {(n, "d1-i1") for n in net.names if data_centre_of(n) == "d1"}


def cut_outbound_of_one(net):
    net.cuts = {("d1-i1", n) for n in net.names if data_centre_of(n) == "d1"}


def cut_inbound_of_data_centre(net):
    net.cuts = {
        (a, b)
        for a, b in all_pairs(net)
        if data_centre_of(a) != "d1" and data_centre_of(b) == "d1"
    }


def one_reaches(net):
    net.platform_cuts = set(net.names) - {"d3-i1"}


def cut_one(net):
    net.platform_cuts = {"d1-i1"}
    net.cuts = {pair for pair in all_pairs(net) if "d1-i1" in pair}


def cut_all(net):
    net.platform_cuts = set(net.names)
    net.cuts = all_pairs(net)


CUTS = {
    "d1 cannot reach the platform": cut_platform,
    "d1 cannot reach the other data centres": cut_others,
    "no instance of d1 reaches another one of d1": cut_inside,
    "d1-i1 receives nothing from d1": cut_inbound_of_one,
    "d1 receives nothing from d1-i1": cut_outbound_of_one,
    "d1 reaches the others but receives nothing from them": cut_inbound_of_data_centre,
    "only d3-i1 reaches the platform": one_reaches,
    "d1 reaches neither platform nor other data centres": cut_both,
    "d1-i1 reaches nothing": cut_one,
    "no instance reaches anything": cut_all,
}


@when("config nodes are partitioned so that {cut}")
def cut_off(context, cut):
    net = context.net
    CUTS[cut](net)
    context.config_before = {p.name: p.generation for p in net.running()}
    net.run(20)


@when("a generation is accepted during the partition")
def accept_in_cut(context):
    context.net.accept()


@then("the partitioned config nodes keep the generation in force")
def check_kept(context):
    net = context.net
    net.run(60)
    for process in net.running():
        assert process.generation >= context.config_before[process.name]
    assert any(p.generation == 1 for p in net.running())
    assert net.violations == []


@when("the partition is healed")
def heal(context):
    context.net.cuts = set()
    context.net.platform_cuts = set()
