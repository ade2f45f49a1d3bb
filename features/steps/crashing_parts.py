"""Steps about a part of prompts that ends each engine that answers it."""

import asyncio
import itertools
import random
import time
from dataclasses import dataclass

import aiohttp
from behave import given, then, when

from features.crashing_engine import CrashingEngine, CrashKind
from features.entry_deployment import (
    HOST,
    config,
    put,
    ready_status,
    start_instance,
    start_store,
)
from features.processes import free_address, wait_for

FATAL = "dead0001"
PROBE_S = 0.2
TRIES = 3
RETRY_S = 0.3
STABLE_S = 3.0
MAX_SENT_LATE = 3
QUARANTINED = b"prompt"


@dataclass(frozen=True)
class Outcome:
    """How one request of a caller ended."""

    sent_s: float
    is_fatal: bool
    attempt: int
    status: int
    is_whole: bool
    body: bytes


def start_engines(context, kind, crash_part=FATAL, **more):
    start_store(context)
    put(context, "config", "main", config())
    context.engines = []

    async def relist(engine):
        await context.store.put("servers", engine.name, engine.spec())

    for number in range(8):
        engine = CrashingEngine(
            f"e{number}", free_address(), {"m1"}, crash_part, kind, relist, **more
        )
        context.thread.call(engine.serve())
        context.add_cleanup(lambda e=engine: context.thread.call(e.stop()))
        context.engines.append(engine)
        put(context, "servers", engine.name, engine.spec())
    for number in range(1, 4):
        start_instance(context, f"i{number}", number)
    for name in context.instances:
        wait_for(lambda name=name: ready_status(context, name) == 200, f"{name} ready")
    time.sleep(1.0)


@given("3 instances and 8 engines that a fatal part ends after {seen}")
def start_fatal(context, seen):
    start_engines(context, CrashKind(seen))


@given("3 instances and 8 engines of which any request in 8 ends one")
def start_unlucky(context):
    start_engines(context, CrashKind.SECOND_EVENT, "", crash_share=1 / 8)


class Callers:
    """Sends requests to random instances for a while; keeps how they ended."""

    def __init__(self, instances, fatal_place, fatal_count):
        self._ips = list(instances.values())
        self._place, self._count = fatal_place, fatal_count
        self._numbers = itertools.count(1)
        self._rng = random.Random(7)
        self.outcomes = []

    async def run(self, for_s):
        loop = asyncio.get_running_loop()
        until_s = loop.time() + for_s
        async with (
            aiohttp.ClientSession() as self._session,
            asyncio.TaskGroup() as group,
        ):
            for number in itertools.count():
                if loop.time() >= until_s:
                    break
                for first in ("aaaa0001", "bbbb0001"):
                    group.create_task(self._ask(self._sound(first, number), False))
                if self._count:
                    group.create_task(self._ask(self._fatal(number), True))
                await asyncio.sleep(PROBE_S)

    def _sound(self, first, number):
        if self._place == 0 and first == "aaaa0001":
            first = "cccc0001"
        return [first, f"5{number % 7:07x}", f"9{number:07x}"]

    def _fatal(self, number):
        first = ["aaaa0001", f"5{number % 5:07x}", f"6{number % 3:07x}"]
        parts = first[: self._count - 1]
        parts.insert(self._place, FATAL)
        return [*parts[: self._count - 1], f"8{number:07x}"]

    async def _ask(self, parts, is_fatal):
        for attempt in range(1, TRIES + 1):
            outcome = await self._send(parts, is_fatal, attempt)
            self.outcomes.append(outcome)
            if outcome.is_whole:
                return
            await asyncio.sleep(RETRY_S)

    async def _send(self, parts, is_fatal, attempt):
        sent_s = asyncio.get_running_loop().time()
        headers = {
            "Host": HOST,
            "Deadline-Ms": "4000",
            "Request-Id": f"{next(self._numbers):016x}",
            "Model": "m1",
            "Tokens": "60,20",
            "Prompt-Prefix": ",".join(f"{part}:20" for part in parts),
        }
        url = f"http://{self._rng.choice(self._ips)}:8149/night/x"
        status, body, ended = 0, b"", False
        try:
            async with self._session.post(url, data=b"x", headers=headers) as resp:
                status = resp.status
                body = await resp.read()
                ended = True
        except aiohttp.ClientError:
            pass
        whole = ended and status == 200 and b"id: 12\n" in body
        return Outcome(sent_s, is_fatal, attempt, status, whole, body)


def play(context, place, count, for_s, at_7_s=None):
    context.callers = Callers(context.instances, place, count)

    async def run():
        loop = asyncio.get_running_loop()
        if at_7_s is not None:
            loop.call_later(7.0, at_7_s)
        await context.callers.run(for_s)

    asyncio.run(run())


PLACES = {
    "first of two": (0, 2),
    "second of three": (1, 3),
    "third of four": (2, 4),
}


@when("callers ask for {for_s:d} s, the fatal part {place}, and {killed} at 7 s")
def ask_and_kill(context, for_s, place, killed):
    names = list(context.instances)
    killed_names = names if killed.startswith("all") else names[:1]

    def kill():
        for name in killed_names:
            context.deployment.processes[name].kill()
            context.deployment.processes[name].wait()
        for name in killed_names:
            start_instance(context, name, names.index(name) + 1)

    play(context, *PLACES[place], for_s, kill)


@when("callers ask for {for_s:d} s, no part fatal")
def ask_without(context, for_s):
    play(context, 1, 0, for_s)


@when("callers ask for {for_s:d} s, the fatal part {place}")
def ask(context, for_s, place):
    play(context, *PLACES[place], for_s)


def fifth_crash_s(context):
    crashes_s = sorted(at_s for engine in context.engines for at_s in engine.crashes_s)
    return crashes_s[min(4, len(crashes_s) - 1)]


@then("at most 3 requests with it are sent on later than 3 s after the fifth crash")
def check_sent_on(context):
    limit_s = fifth_crash_s(context) + STABLE_S
    late = [s for engine in context.engines for s in engine.sent_s if s > limit_s]
    ended = sum(len(engine.crashes_s) for engine in context.engines)
    assert len(late) <= MAX_SENT_LATE, f"{len(late)} sent on late, {ended} crashes"


@then("at least half of the sound requests are answered later than 6 s after it")
def check_sound(context):
    from_s = fifth_crash_s(context) + 2 * STABLE_S
    sound = [
        outcome
        for outcome in context.callers.outcomes
        if not outcome.is_fatal and outcome.attempt == 1 and outcome.sent_s > from_s
    ]
    answered = sum(outcome.is_whole for outcome in sound)
    assert len(sound) >= 15, len(sound)
    assert answered >= len(sound) / 2, f"{answered} of {len(sound)} answered"


@then("no request is refused because of a part of its prompt")
def check_none_refused(context):
    refused = [o for o in context.callers.outcomes if QUARANTINED in o.body]
    crashes = sum(len(engine.crashes_s) for engine in context.engines)
    assert crashes >= 5, crashes
    assert not refused, refused[:3]
