"""Steps about acceptance, merging, history and validation of inventories."""

import asyncio
import random

from behave import given, then, when
from result import Err, Ok

from features.memory_platform import MemoryPlatform
from marjoramstage.clock import VirtualClock
from marjoramstage.coordination.releases import Acceptor, Edit
from marjoramstage.exceptions import ConfigError
from marjoramstage.protocol.objects import DOCUMENT, HEAD
from marjoramstage.state.inventory import inventory_from_data, parse_inventory

SEEDS = 15


def inventory(versions=None, without=(), adapters=(), size=10):
    versions = versions or {}
    models = [
        {"name": f"m{i}", "memory_mb": size, "version": versions.get(f"m{i}", "1")}
        for i in range(1, 7)
        if f"m{i}" not in without
    ]
    return inventory_from_data({"models": models, "adapters": list(adapters)})


def acceptor(platform, refusals=lambda wanted: []):
    return Acceptor(platform, VirtualClock(), refusals=refusals)


def accept(platform, edit, refusals=lambda wanted: []):
    return asyncio.run(acceptor(platform, refusals).accept(edit))


def history(platform):
    found = asyncio.run(acceptor(platform).store.history(1, 1000))
    return found.unwrap()


@given("an accepted inventory of three models")
def accepted(context):
    context.platform = MemoryPlatform()
    first = Edit("edit00001", inventory(), who="eva")
    assert isinstance(accept(context.platform, first), Ok)


def once(kind, fault, times=1):
    left = [times]

    def decide(obj):
        if obj.kind is not kind or left[0] == 0:
            return ""
        left[0] -= 1
        return fault

    return decide


def other_edit(platform):
    return Edit("other0001", inventory({"m5": "5"}), who="eva")


def followed(platform, fault):
    """Lose the first response to a head update, then accept another edit."""
    lose = once(HEAD, fault)

    def decide(obj):
        found = lose(obj)
        if found:
            platform.fault = lambda obj: ""
            platform.after_write = True
        return found

    platform.fault = decide


def down_after(platform, fault):
    lose = once(HEAD, fault)

    def decide(obj):
        found = lose(obj)
        platform.down = bool(found)
        return found

    platform.fault = decide


def documents_lost(platform):
    platform.fault = once(DOCUMENT, "lost", 2)


def lagging(platform):
    accept(platform, other_edit(platform))
    platform.stale_heads = 5


def lost_and_lagging(platform):
    accept(platform, other_edit(platform))
    platform.fault = once(HEAD, "lost")
    platform.stale_heads = 6


def head_fault(fault, times=1):
    def begin(platform):
        platform.fault = once(HEAD, fault, times)

    return begin


FAULTS = {
    "nothing fails": lambda p: None,
    "the answer of the head is lost": head_fault("lost"),
    "the answer of the head is lost three times": head_fault("lost", 3),
    "the head is not written and its answer is lost": head_fault("dropped", 2),
    "the head is written late and its answer is lost": head_fault("late"),
    "the answers of documents are lost": documents_lost,
    "another edit follows the lost answer": lambda p: followed(p, "lost"),
    "another edit takes the place of a lost write": lambda p: followed(p, "dropped"),
    "a lagging replica shows the head before": lagging,
    "the answer is lost and a lagging replica answers": lost_and_lagging,
    "the platform is down": lambda p: setattr(p, "down", True),
    "the platform goes down after the answer is lost": lambda p: down_after(p, "lost"),
    "the platform goes down after a lost write without effect": lambda p: down_after(
        p, "dropped"
    ),
}


@when("an operator submits an edit of a model while {fault}")
def submit_under_fault(context, fault):
    platform = context.platform
    FAULTS[fault](platform)
    edit = Edit("myedit001", inventory({"m1": "9"}), 1, "ben")

    async def run():
        task = asyncio.create_task(acceptor(platform).accept(edit))
        while not task.done():
            await asyncio.sleep(0)
            if getattr(platform, "after_write", False):
                platform.after_write = False
                await acceptor(platform).accept(other_edit(platform))
        return task.result()

    context.edit_result = asyncio.run(run())
    platform.down = False


@then("the edit ends as {outcome}")
def check_outcome(context, outcome):
    result = context.edit_result
    seen = "accepted" if isinstance(result, Ok) else result.err_value.fault.value
    assert seen == outcome, result


@then("the edit is {times:d} times in the history, and no generation is missing")
def check_history(context, times):
    releases = history(context.platform)
    edits = [release.edit for release in releases]
    assert edits.count("myedit001") == times, edits
    generations = [release.generation for release in releases]
    assert generations == list(range(len(releases), 0, -1)), generations


def race(seed, operators, same, lost):
    rng = random.Random(seed)
    platform = MemoryPlatform(rng)
    accept(platform, Edit("edit00001", inventory()))
    if lost:
        kinds = ("", "", "lost", "dropped", "late")
        platform.fault = lambda obj: rng.choice(kinds)

    async def run():
        edits = []
        for number in range(1, operators + 1):
            model = "m1" if same else f"m{number}"
            wanted = inventory({model: f"{number}0"})
            edits.append(Edit(f"racing00{number}", wanted, 1, f"op{number}"))
        runs = (acceptor(platform).accept(edit) for edit in edits)
        return edits, await asyncio.gather(*runs)

    edits, results = asyncio.run(run())
    platform.fault = lambda obj: ""
    head = asyncio.run(acceptor(platform).store.head()).unwrap()
    last = asyncio.run(acceptor(platform).store.inventory(head.head.root)).unwrap()
    return edits, results, last


@when(
    "{operators:d} operators edit {entries} of one base at once, answers lost: {lost}"
)
def race_operators(context, operators, entries, lost):
    same = entries == "the same entry"
    context.races = [
        race(seed, operators, same, lost == "yes") for seed in range(SEEDS)
    ]


@then("of the racing edits {accepted:d} are accepted and the others are conflicts")
def check_race(context, accepted):
    for edits, results, _ in context.races:
        won = [r for r in results if isinstance(r, Ok)]
        faults = [r.err_value.fault.value for r in results if isinstance(r, Err)]
        assert len(won) == accepted, results
        assert faults == ["conflict"] * (len(edits) - accepted), results


@then("each racing conflict names an operator whose edit was accepted")
def check_named(context):
    for edits, results, _ in context.races:
        pairs = list(zip(edits, results, strict=True))
        winners = {e.who for e, r in pairs if isinstance(r, Ok)}
        for _, result in pairs:
            if isinstance(result, Err):
                named = {clash.who for clash in result.err_value.clashes}
                assert named and named <= winners, (named, winners)


@then("each accepted racing edit is in the last generation")
def check_last(context):
    for edits, results, last in context.races:
        for edit, result in zip(edits, results, strict=True):
            if isinstance(result, Err):
                continue
            for model in edit.inventory.models:
                if model.version != "1":
                    assert last.model_by_name[model.name] == model, (edit, last)


@given("operator ana then changed model m1")
def ana_changes(context):
    edit = Edit("anasedit1", inventory({"m1": "7"}), 1, "ana", "for rehearsal")
    assert isinstance(accept(context.platform, edit), Ok)


@given("operator ana then removed model m3")
def ana_removes(context):
    edit = Edit("anasedit1", inventory(without=("m3",)), 1, "ana")
    assert isinstance(accept(context.platform, edit), Ok)


ADAPTER = {"name": "a1", "model": "m3", "memory_mb": 1}
CASES = {
    "a change of m2": inventory({"m2": "8"}),
    "another change of m1": inventory({"m1": "8"}),
    "the same change of m1": inventory({"m1": "7"}),
    "the removal of m1": inventory(without=("m1",)),
    "an adapter on m3": inventory(adapters=(ADAPTER,)),
    "a change that cannot be served": inventory({"m2": "8"}),
}


@when("operator ben submits {case} from generation 1")
def ben_submits(context, case):
    edit = Edit("bensedit1", CASES[case], 1, "ben")
    refused = ["m2 does not fit"] if case == "a change that cannot be served" else []
    context.edit_result = accept(context.platform, edit, lambda wanted: refused)


@then("the edit's answer names {named}")
def check_answer(context, named):
    match context.edit_result:
        case Ok(release):
            seen = [f"generation {release.generation}"]
        case Err(error):
            seen = [f"{clash.entry} by {clash.who}" for clash in error.clashes]
            seen += error.problems
    assert any(named in text for text in seen), seen


@when("an operator rolls back to generation {generation:d}")
def roll_back(context, generation):
    run = acceptor(context.platform).roll_back(generation, "backedit1", "eva", "again")
    context.edit_result = asyncio.run(run)


@then("the last generation has the content of generation 1")
def check_content(context):
    releases = history(context.platform)
    assert releases[0].root == releases[-1].root, releases


@then("the history lists ana's reason and the changed entry first")
def check_reason(context):
    latest = history(context.platform)[0]
    assert (latest.who, latest.why) == ("ana", "for rehearsal"), latest
    assert latest.changed == ("models/m1",), latest


SHA = '"' + "a" * 64 + '"'
MODEL = "models:\n  - {name: m1, memory_mb: 10}\n"
ADAPTED = MODEL + "adapters:\n  - {name: a1, model: m1, memory_mb: 1}\n"
CUSTOMER = "customers:\n  - {name: c1, credential_sha256: " + SHA + ", paid: [%s]}\n"
FILES = {
    "an adapter of an unknown model": ADAPTED.replace("model: m1", "model: m9"),
    "an adapter larger than its model": ADAPTED.replace(
        "memory_mb: 1}", "memory_mb: 99}"
    ),
    "a duplicate model": MODEL + "  - {name: m1, memory_mb: 10}\n",
    "a paid adapter without its model": ADAPTED + CUSTOMER % "a1",
    "a paid name that is unknown": ADAPTED + CUSTOMER % "m1, zz",
    "a name paid for twice": ADAPTED + CUSTOMER % "m1, m1",
    "two customers of one credential": ADAPTED
    + CUSTOMER % "m1"
    + (CUSTOMER % "m1").split("\n")[1].replace("c1", "c2")
    + "\n",
    "a class rule of an unknown customer": ADAPTED
    + "rules:\n\n  max_class: {c9: urgent}",
    "an unknown class": ADAPTED + "rules:\n\n  max_class: {c1: soon}",
    "a service call declared twice": "services:\n  - name: s1\n    calls:\n"
    "      [{method: GET, path: /a}, {method: GET, path: /a}]\n",
    "a negative deadline": MODEL + "rules:\n  overnight_deadline_s: -1.0\n",
    "a load rate that cannot be reached": MODEL + "rules:\n  loads_at_once: 1\n",
    "an unknown key": MODEL + "rules:\n  colour: red\n",
}


@when("an inventory file has {fault}")
def wrong_file(context, fault):
    try:
        parse_inventory(FILES[fault], "inv.yaml")
    except ConfigError as exc:
        context.file_problems = exc.problems
    else:
        context.file_problems = ()


@then("the inventory check names line {line:d} and says {text}")
def check_problem(context, line, text):
    found = context.file_problems
    where = f"inv.yaml:{line}: "
    assert any(p.startswith(where) and text in p for p in found), found
