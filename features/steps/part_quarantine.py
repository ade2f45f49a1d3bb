"""Steps about which parts of prompts are quarantined."""

import itertools

from behave import given, then, when

from features.crash_simulation import CrashLoad, CrashSimulation
from features.unframed_simulation import (
    OTHER_FIRST,
    SAME_FIRST,
    UnframedLoad,
    UnframedSimulation,
)
from marjoramstage.coordination.crash_evidence import CrashedRequest, TargetStart
from marjoramstage.coordination.part_quarantine import (
    SETTLE_S,
    PartQuarantine,
    Quarantine,
)
from marjoramstage.transport.framing import Framing

STABLE_S = 3.0
SLACK_S = 0.01
MAX_SENT_LATE = 3
LOADS = {
    "one fatal request a second": CrashLoad(fatal_rate=1.0),
    "five fatal requests a second": CrashLoad(fatal_rate=5.0),
    "fatal requests, the part first": CrashLoad(fatal_rate=2.0, fatal_first=True),
    "fatal requests and crashes by chance": CrashLoad(
        fatal_rate=1.0, crash_share=0.005, chance_crashes_s=(5.0, 15.0)
    ),
    "crashes by chance alone": CrashLoad(crash_share=0.02),
    "crashes of half of the targets": CrashLoad(
        chance_crashes_s=(5.0, 8.0, 11.0, 14.0)
    ),
    "few requests, five fatal ones a second": CrashLoad(rate=8.0, fatal_rate=5.0),
    "fatal requests from the start": CrashLoad(fatal_rate=2.0, fatal_from_s=0.0),
}
STREAMS = {
    "fatal requests, ended by their connection": UnframedLoad(),
    "fatal requests, with a length": UnframedLoad(framing=Framing.LENGTH),
    "fatal requests, 3 in 10 ended between two events": UnframedLoad(between_share=0.3),
    "fatal requests, all ended between two events": UnframedLoad(between_share=1.0),
    "crashes by chance, 3 in 10 ended between two events": UnframedLoad(
        is_fatal=False, crash_share=0.06, between_share=0.3, for_s=40.0
    ),
}


def _read(text):
    """Yield the time, the target or ``ok``, and the requests of each event."""
    for event in text.split(", "):
        at, what, requests = event.split()
        yield float(at), what, requests.split("+")


@when("at targets there is {events}")
def read_events(context, events):
    context.events = list(_read(events))


def play(events, until_s):
    """Return what is quarantined after the events, judged until then."""
    quarantine = PartQuarantine()
    ids = itertools.count()
    for at_s, what, requests in events:
        if what == "ok":
            quarantine.record_harmless(tuple(requests[0]), at_s)
            continue
        name, _, incarnation = what.partition(".")
        crashed = []
        for text in requests:
            parts, _, request_id = text.partition("=")
            request_id = request_id or f"r{next(ids)}"
            crashed.append(CrashedRequest(request_id, tuple(parts), at_s - 0.1))
        start = TargetStart(name, int(incarnation or 1))
        quarantine.record_crash(start, at_s, crashed)
        judged_s = at_s + SETTLE_S + SLACK_S
        if judged_s <= until_s:
            quarantine.judge(judged_s)
    return quarantine


@then("at {at:g} s requests with {held} are held back, and none with {sent}")
def check(context, at, held, sent):
    context.quarantine = play(context.events, at)
    for texts, expected in ((held, True), (sent, False)):
        for text in texts.replace("-", "").split():
            found = context.quarantine.find(tuple(text), at)
            assert (found is not None) == expected, (text, found)


@given("a load of {load}")
def choose_load(context, load):
    context.load = LOADS[load]


@when("it is played with seeds 1 to {seeds:d}")
def play_load(context, seeds):
    asked = int(context.config.userdata.get("crash_seeds", seeds))
    context.plays = []
    for seed in range(1, asked + 1):
        simulation = CrashSimulation(context.load, seed)
        simulation.run()
        context.plays.append((seed, simulation))


@given("streams of {load}")
def choose_streams(context, load):
    context.load = STREAMS[load]


@when("the streams are played with seeds 1 to {seeds:d}")
def play_streams(context, seeds):
    count = int(context.config.userdata.get("crash_seeds", seeds))
    context.plays = []
    for seed in range(1, count + 1):
        simulation = UnframedSimulation(context.load, seed)
        simulation.run()
        context.plays.append((seed, simulation))


def first_attempts(simulation, first):
    return [attempt for attempt in simulation.firsts if attempt.first == first]


@then(
    "from 6 s after the fifth crash at least half of those with the same first part "
    "begin"
)
def check_same_first(context):
    failed = []
    for seed, simulation in context.plays:
        from_s = sorted(simulation.fatal_crashes_s)[4:5] or [0.0]
        late = [
            attempt
            for attempt in first_attempts(simulation, SAME_FIRST)
            if attempt.at_s > from_s[0] + 2 * STABLE_S
        ]
        begun = sum(not attempt.is_refused for attempt in late)
        assert len(late) >= 20, (seed, len(late))
        if begun < len(late) / 2:
            failed.append((seed, begun, len(late)))
    assert not failed, failed


@then("no healthy request with the other first part is refused")
def check_other_first(context):
    failed = []
    for seed, simulation in context.plays:
        other = first_attempts(simulation, OTHER_FIRST)
        refused = sum(attempt.is_refused for attempt in other)
        if refused:
            failed.append((seed, refused, len(other)))
    assert not failed, failed


@then("after the fifth crash and 3 s at most 3 fatal requests are sent")
def check_fatal(context):
    for seed, simulation in context.plays:
        crashes_s = simulation.fatal_crashes_s
        if len(crashes_s) < 5:
            continue
        limit_s = crashes_s[4] + STABLE_S
        late = [at_s for at_s in simulation.fatal_sent_s if at_s > limit_s]
        assert len(late) <= MAX_SENT_LATE, (seed, len(late), len(crashes_s))


@then("at most 1 in 100 sound requests is held back")
def check_sound(context):
    for seed, simulation in context.plays:
        held, sent = len(simulation.sound_held_s), len(simulation.sound_sent_s)
        assert held <= (held + sent) / 100, (seed, held, sent)


@given("an instance that saw p go well at 5 s after a crash")
def know_harmless(context):
    context.quarantine = PartQuarantine()
    crashed = CrashedRequest("r1", ("p",), 0.9)
    context.quarantine.record_crash(TargetStart("t1", 1), 1.0, [crashed])
    assert context.quarantine.record_harmless(("p",), 5.0) == ["p"]


@then(
    "it takes over a quarantine of {parts}, last crash at {at:d} s, "
    "which holds back {held}"
)
def check_merged(context, parts, at, held):
    found = Quarantine(frozenset(parts.split(" and ")), float(at))
    assert context.quarantine.merge(found)
    assert context.quarantine.find((held,), 10.0) is not None


@then("it refuses a quarantine of p, last crash at 4 s")
def check_refused(context):
    assert not context.quarantine.merge(Quarantine(frozenset("p"), 4.0))
    assert context.quarantine.find(("p",), 10.0) is None
