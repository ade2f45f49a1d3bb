"""Steps about idempotency keys."""

import asyncio
import logging
import random

from behave import then, when

from features.request_faults import (
    BOOKING_BODY,
    TIMEOUT_S,
    CallerResult,
    FakePlatform,
    FaultCell,
    FaultScript,
    send_request,
)
from marjoramstage._instance.claims import PlatformClaimStore
from marjoramstage.exceptions import RequestError, Verdict
from marjoramstage.transport.responses import BufferedResponse

HOLD = ("accepted", "late answer")
FAULTS = {
    "no fault": [],
    "lost the answer of the claim": ["lost answer"],
    "lost the request of the claim": ["lost request"],
    "lost the answer of the outcome": ["", "lost answer"],
    "lost the request of the outcome": ["", "lost request"],
}


def status_and_verdict(got):
    return f"{got.status} {got.verdict}" if got.status else "-"


def run(coro):
    logging.disable(logging.CRITICAL)
    try:
        return asyncio.run(coro)
    finally:
        logging.disable(logging.NOTSET)


@when("a keyed booking is sent while the platform has {fault}")
def send_keyed(context, fault):
    context.first, context.repeat, context.runs = run(send_and_repeat(fault))


async def send_and_repeat(fault):
    async with FaultCell("keyed", FaultScript()) as cell:
        cell.platform.faults = list(FAULTS.get(fault, ()))
        first = await first_sending(cell, fault)
        cell.platform.down = False
        repeat = await cell.repeat()
        return first, repeat, cell.runs


async def first_sending(cell, fault):
    instance, platform = cell.instances[0], cell.platform
    written, state = asyncio.Event(), "ended" if "outcome" in fault else "open"

    def after_write(obj):
        if obj.spec["state"] == state:
            written.set()
            platform.down = fault == "gone down after the claim"

    platform.down = fault == "been down from the start"
    platform.after_write = after_write
    if not fault.startswith("the "):
        return await send_request(instance.address, "keyed", "key-1")
    leave = written if "caller" in fault else None
    work = asyncio.ensure_future(
        send_request(instance.address, "keyed", "key-1", leave=leave)
    )
    await asyncio.wait_for(written.wait(), TIMEOUT_S)
    if "instance" in fault:
        await instance.kill()
    got = await work
    await asyncio.sleep(0.05)
    return got


@then("the keyed booking got {text}")
def check_first(context, text):
    assert status_and_verdict(context.first) == text, context.first
    if context.first.verdict == "not-run":
        assert "Retry-After" in context.first.headers, context.first


@when("the platform works and the key is sent to the other instance")
def note_repeat(context):
    assert isinstance(context.repeat, CallerResult)


@then("the repeat of the key got {text}")
def check_repeated(context, text):
    assert status_and_verdict(context.repeat) == text, context.repeat
    if context.repeat.verdict == "ran":
        assert context.repeat.body == BOOKING_BODY, context.repeat


@then("the keyed booking ran {runs:d} times")
def check_keyed_runs(context, runs):
    assert context.runs == runs, context.runs


@when("a key is repeated at the other instance meanwhile")
def repeat_other(context):
    context.answers, context.runs = run(meanwhile(1))


@when("a key is repeated at the same instance meanwhile")
def repeat_same(context):
    context.answers, context.runs = run(meanwhile(0))


async def meanwhile(number):
    async with FaultCell("keyed", FaultScript(*HOLD)) as cell:
        first = asyncio.ensure_future(
            send_request(cell.instances[0].address, "keyed", "key-1")
        )
        await asyncio.wait_for(cell.targets[0].reached.wait(), TIMEOUT_S)
        second = await send_request(cell.instances[number].address, "keyed", "key-1")
        return [status_and_verdict(await first), status_and_verdict(second)], cell.runs


@when("a key is sent again with another body")
def other_body(context):
    context.answers, context.runs = run(in_turn({"body": {"hall": "B2"}}))


@when("two customers send the same key")
def other_customer(context):
    context.answers, context.runs = run(in_turn({"credential": "rival-credential"}))


async def in_turn(changes):
    async with FaultCell("keyed", FaultScript()) as cell:
        first = await send_request(cell.instances[0].address, "keyed", "key-1")
        second = await cell.repeat(**changes)
        return [status_and_verdict(first), status_and_verdict(second)], cell.runs


@when("{count:d} repeats of a key arrive at both instances")
def many_repeats(context, count):
    answers, context.runs = run(at_once(count))
    replayed = [got for got in answers if "Idempotency-Replayed" in got.headers]
    doubtful = [got for got in answers if status_and_verdict(got) == "409 may-have-run"]
    ran = [got for got in answers if status_and_verdict(got) == "201 ran"]
    assert all(got.body == BOOKING_BODY for got in ran), ran
    others = len(replayed) + len(doubtful)
    context.answers = [
        f"{len(ran) - len(replayed)} ran",
        f"{others} replayed or in doubt",
    ]


async def at_once(count):
    async with FaultCell("keyed", FaultScript()) as cell:
        work = [
            send_request(cell.instances[number % 2].address, "keyed", "key-1")
            for number in range(count)
        ]
        return await asyncio.gather(*work), cell.runs


@then("the keyed answers are {text}")
def check_answers(context, text):
    assert ", ".join(context.answers) == text, context.answers


@when("a keyed booking finds its target refusing connections")
def refused_target(context):
    async def send():
        async with FaultCell(
            "keyed", FaultScript("before connect", "target kill")
        ) as cell:
            got = await send_request(cell.instances[0].address, "keyed", "key-1")
            return got, cell.platform

    context.first, context.platform = run(send())


@then("the platform holds no claim")
def check_no_claim(context):
    assert context.platform.writes == 1
    assert not context.platform.objects, context.platform.objects


class RaceClock:
    """A clock that yields to other tasks instead of sleeping."""

    def now(self):
        return 0.0

    async def sleep(self, delay_s):
        await asyncio.sleep(0)


class RacingPlatform(FakePlatform):
    """Yields at random before and after each call takes effect."""

    def __init__(self, rng):
        super().__init__()
        self._rng = rng

    async def _give_way(self):
        for _ in range(self._rng.randrange(4)):
            await asyncio.sleep(0)

    def _fault(self):
        return self._rng.choice(["", "", "", "lost answer", "lost request", "down"])

    async def get(self, kind, name):
        await self._give_way()
        found = await super().get(kind, name)
        await self._give_way()
        return found

    async def _write(self, obj, expected):
        await self._give_way()
        found = await super()._write(obj, expected)
        await self._give_way()
        return found


@when("{count:d} seeds run six concurrent requests with one key on a failing platform")
def race(context, count):
    context.races = [run(race_once(seed)) for seed in range(count)]


async def race_once(seed):
    rng = random.Random(seed)
    platform = RacingPlatform(rng)
    spawn = asyncio.ensure_future
    stores = [PlatformClaimStore(platform, RaceClock(), rng, spawn) for _ in range(3)]
    runs, told_answers = [], []

    async def send(number):
        claim = stores[number % 3].open("school", "key", "same", f"r{number}")
        for _ in range(rng.randrange(8)):
            await asyncio.sleep(0)
        try:
            answer = await claim.acquire()
            if answer is None:
                runs.append(number)
                answer = BufferedResponse(201, "text/plain", b"%d" % number)
                await claim.record_response(answer)
            told_answers.append(answer.body)
        except RequestError as exc:
            assert exc.verdict is not Verdict.RAN, exc

    await asyncio.gather(*(send(number) for number in range(6)))
    return runs, told_answers


@then("no key ran twice, and every answer came from the one run")
def check_races(context):
    ran = 0
    for seed, (runs, answers) in enumerate(context.races):
        assert len(runs) <= 1, (seed, runs)
        ran += len(runs)
        assert set(answers) <= {b"%d" % number for number in runs}, (seed, answers)
    assert ran > len(context.races) // 2, ran
