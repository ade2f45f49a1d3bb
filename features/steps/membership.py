"""Steps about membership, leaving targets and loads."""

import random
from dataclasses import replace

from behave import given, then, when

from features.config_net import ConfigNet
from marjoramstage._instance.leaving_targets import LeavingTargets
from marjoramstage.coordination import config_events as events
from marjoramstage.coordination.routing import TargetTable
from marjoramstage.protocol.events import (
    AdapterLoadRequested,
    InstanceGone,
    InstanceLoadReported,
    TargetLeaving,
    TargetListed,
    TargetReported,
)
from marjoramstage.protocol.messages import (
    InstanceLoad,
    Item,
    Target,
    TargetKind,
    TargetReport,
)
from marjoramstage.protocol.peers import (
    Gossip,
    LeavingTarget,
    MemberEntry,
    MemberState,
)

NODE = "d1-i2"
PEERS = ("d1-i1", "d1-i3")


def freeze(seconds, thaw=False):
    def act(net):
        net.freeze(NODE)
        net.run(seconds)
        if thaw:
            net.freeze(NODE, False)

    return act


def plan_stop(net):
    net.post(NODE, events.StopRequested())


def stop_and_restart(net):
    plan_stop(net)
    net.run(3)
    net.restart(NODE)


def clock_back(net):
    net._incarnation = -5000
    net.restart(NODE)
    assert net.processes[NODE].node.gossiper.membership.own.incarnation < 0


EVENTS = {
    "runs": lambda net: None,
    "is killed": lambda net: net.kill(NODE),
    "is frozen for 6 s": freeze(6),
    "is frozen for 6 s and runs": freeze(6, True),
    "is frozen for 20 s": freeze(20),
    "resumes after 20 s": freeze(20, True),
    "begins a planned stop": plan_stop,
    "restarts": lambda net: net.restart(NODE),
    "restarts with its clock set back": clock_back,
    "stops as planned and restarts": stop_and_restart,
}


@when("the config node d1-i2 {event}")
def node_event(context, event):
    context.config_killed_s = context.net.now_s
    EVENTS[event](context.net)


def liveness(net, observer):
    members = net.processes[observer].node.gossiper.membership.members
    return members[NODE].liveness(net.now_s).value if NODE in members else "unknown"


@then("its peers consider it {wanted} within {bound:d} s")
def check_liveness(context, wanted, bound):
    net = context.net
    net.run(bound, lambda: all(has_liveness(net, peer, wanted) for peer in PEERS))
    for peer in PEERS:
        seen = liveness(net, peer)
        assert has_liveness(net, peer, wanted), (peer, seen)


def has_liveness(net, observer, wanted):
    """Return whether a peer has the current incarnation in this liveness."""
    members = net.processes[observer].node.gossiper.membership.members
    own = net.processes[NODE].node.gossiper.membership.own.incarnation
    same = NODE in members and members[NODE].entry.incarnation == own
    return same and liveness(net, observer) == wanted


@when("outdated gossip about the config node d1-i2 is received")
def old_news(context):
    net = context.net
    own = net.processes[NODE].node.gossiper.membership.own
    sender = net.processes["d1-i3"].node.gossiper.membership.own
    for heartbeat in (own.heartbeat - 1, own.heartbeat, own.heartbeat + 2):
        entry = MemberEntry(NODE, own.incarnation, heartbeat, MemberState.ALIVE)
        for peer in PEERS:
            net.post(peer, events.PeerReceived(Gossip(sender, (entry,))))


def lose_some(net):
    rng = random.Random(11)
    net.alter_message = lambda name, message: None if rng.random() < 0.33 else message


def two_dead(net):
    for dc in ("d1", "d2", "d3"):
        net.kill(f"{dc}-i2")
        net.kill(f"{dc}-i3")


TROUBLES = {
    "nothing fails": lambda net: None,
    "the platform is down": lambda net: setattr(net.platform, "down", True),
    "a third of the peer messages is lost": lose_some,
    "the instance that learned it dies at once": lambda net: None,
    "two instances of each data centre are dead": two_dead,
}


@when("a config node learns that target e7 leaves while {trouble}")
def target_leaves(context, trouble):
    net = context.net
    TROUBLES[trouble](net)
    net.post("d1-i1", events.LeavingDetected(LeavingTarget("e7", "inc1")))
    if "dies" in trouble:
        net.kill("d1-i1")


def leavings(process):
    return [e for _, e in process.emitted if isinstance(e, TargetLeaving)]


@then("every config node gives target e7 no new work within {bound:d} s")
def check_target(context, bound):
    net = context.net
    net.run(bound, lambda: all(leavings(p) for p in net.running()))
    missing = [p.name for p in net.running() if not leavings(p)]
    assert not missing, missing


@then("no config node emits it twice")
def check_once(context):
    net = context.net
    net.run(20)
    counts = {p.name: len(leavings(p)) for p in net.running()}
    assert set(counts.values()) == {1}, counts


def load(sequence, shards=()):
    return InstanceLoad(NODE, "d1", "inc", sequence, {"e1": 2}, (), shards)


@when("a load with shard d1 is sent by the config node d1-i2")
def tell_load(context):
    context.config_load = load(1, ("d1",))
    context.net.post(NODE, events.OwnLoadChanged(context.config_load))
    context.net.run(2)


def emitted(net, name, kind):
    return [e for _, e in net.processes[name].emitted if isinstance(e, kind)]


@then("d1-i1 and d1-i3 have emitted that load and no config node of d2")
def check_load(context):
    net = context.net
    wanted = [InstanceLoadReported(context.config_load)]
    for peer in PEERS:
        assert emitted(net, peer, InstanceLoadReported) == wanted
    for process in net.running("d2"):
        assert emitted(net, process.name, InstanceLoadReported) == []


@then("d1-i1 and d1-i3 emit that it is gone within {bound:d} s")
def check_gone(context, bound):
    net = context.net
    net.run(bound)
    for peer in PEERS:
        assert emitted(net, peer, InstanceGone) == [InstanceGone(NODE)]


@when("load 5 and then load 4 are sent by the config node d1-i2")
def older_load(context):
    net = context.net
    for sequence in (5, 4):
        net.processes[NODE].node.loads._tell_s = net.now_s
        net.post(NODE, events.OwnLoadChanged(load(sequence)))
        net.run(1)


@then("load 5 of the config node is kept")
def check_kept_load(context):
    net = context.net
    for peer in PEERS:
        assert net.processes[peer].node.loads.latest[NODE].sequence == 5


HOLDERS = {
    "d1-i2 holds the shard": "d1-i2",
    "d1-i1 holds the shard": "d1-i1",
    "nobody holds the shard": "",
    "the shard is d2's at d2-i3": "d2-i3",
}


@when("d1-i1 wants an adapter on a target while {case}")
def want_adapter(context, case):
    net = context.net
    shard = "d2" if "d2's" in case else "d1"
    for process in net.running():
        shards = (shard,) if HOLDERS[case] == process.name else ()
        place = process.data_centre
        told = InstanceLoad(process.name, place, "inc", 1, {}, (), shards)
        net.post(process.name, events.OwnLoadChanged(told))
    net.run(1)
    net.post("d1-i1", events.AdapterNeeded("e1", Item("rooms", "1"), shard))
    net.run(1)


@then("the adapter request is emitted at {where}")
def check_adapter_wanted(context, where):
    found = [
        p.name
        for p in context.net.running()
        if emitted(context.net, p.name, AdapterLoadRequested)
    ]
    assert found == ([] if where == "nobody" else [where]), found


@given("two config nodes without seeds")
def without_seeds(context):
    net = context.net = ConfigNet(1, 2)
    for process in net.running():
        process.node.gossiper._seeds = ()
    net.run(20)
    assert all(not p.node.gossiper.membership.members for p in net.running())


@given("{count:d} data centres of {each:d} config nodes whose only seed is d1-i1")
def one_seed(context, count, each):
    context.net = ConfigNet(count, each)
    for process in context.net.running():
        process.node.gossiper._seeds = ("d1-i1",) if process.name != "d1-i1" else ()


@then("all config nodes of each data centre know each other within {bound:d} s")
def check_each_known(context, bound):
    net = context.net
    places = ("d1", "d2", "d3")
    net.run(bound, lambda: all(all_known(net, place) for place in places))
    assert all(all_known(net, place) for place in places)


@when("each receives the platform's list of instances")
def told_list(context):
    net = context.net
    entries = tuple(
        MemberEntry(name, 0, 0, address=name, data_centre="d1") for name in net.names
    )
    for name in net.names:
        net.post(name, events.InstancesListed(entries))


def all_known(net, data_centre):
    running = net.running(data_centre)
    return all(
        len(p.node.gossiper.membership.serving(net.now_s)) == len(running)
        for p in running
    )


@then("they know each other within {bound:d} s")
def check_known(context, bound):
    net = context.net
    net.run(bound, lambda: all_known(net, "d1"))
    assert all_known(net, "d1")


@when("d1-i1 is cut off from all config nodes for {seconds:d} s")
def long_cut(context, seconds):
    net = context.net
    others = [name for name in net.names if name != "d1-i1"]
    net.cuts = {("d1-i1", n) for n in others} | {(n, "d1-i1") for n in others}
    net.run(seconds)
    assert not all_known(net, "d1")
    net.cuts = set()


@then("all config nodes of d1 know each other within {bound:d} s")
def check_healed_members(context, bound):
    check_known(context, bound)


@then("each data centre has {watchers:d} watcher and {bridges:d} bridges")
def check_duties(context, watchers, bridges):
    net = context.net
    for dc in ("d1", "d2", "d3"):
        nodes = [p.node for p in net.running(dc)]
        assert sum(n.is_watcher(net.now_s) for n in nodes) == watchers
        assert sum(n.gossiper.is_bridge(net.now_s) for n in nodes) == bridges


class LeavingHarness:
    """Connects `LeavingTargets` to a target table; records what peers learn."""

    def __init__(self):
        self.known = set()
        self.told = []
        self.table = TargetTable()
        self.leaving = LeavingTargets(self.knows, self.tell)
        self.sequence = 0

    def knows(self, leaving):
        return leaving in self.known or LeavingTarget(leaving.target) in self.known

    def tell(self, event):
        self.told.append(event)
        self.learn(event.leaving)

    def learn(self, leaving):
        self.known.add(leaving)
        self.post(TargetLeaving(leaving.target, leaving.incarnation))

    def post(self, event):
        for heard in self.leaving.expand(event):
            match heard:
                case TargetListed(target):
                    self.table.upsert(target)
                case TargetReported(report):
                    self.table.update_report(report)
                case TargetLeaving(name):
                    self.table.mark_leaving(name)

    def step(self, text):
        match text.split():
            case ["told", incarnation]:
                wanted = "" if incarnation == "any" else incarnation
                self.learn(LeavingTarget("e7", wanted))
            case ["listed", "leaving"]:
                self.post(TargetListed(replace(E7, leaving=True)))
            case [*words, incarnation]:
                self.sequence += 1
                report = TargetReport("e7", incarnation, self.sequence, 10, 4)
                report = replace(report, leaving="leaving" in words)
                self.post(TargetReported(replace(report, started_s=ord(incarnation))))


E7 = Target("e7", "d1", TargetKind.ENGINE, "127.0.0.1:7")


@when('an instance receives for target e7 "{script}"')
def hear_of_target(context, script):
    context.harness = LeavingHarness()
    context.harness.post(TargetListed(E7))
    for text in script.split(", "):
        context.harness.step(text)


@then("it considers target e7 {state} and tells its peers {told:d} times")
def check_target_state(context, state, told):
    leaving = context.harness.table.views["e7"].target.leaving
    assert leaving is (state == "leaving"), leaving
    assert len(context.harness.told) == told, context.harness.told
