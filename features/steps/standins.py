"""Steps that set and observe the faults of the stand-ins over HTTP."""

import asyncio
import json

import aiohttp
from behave import given, then, when

from marjoramstage.standins._weights import WeightStore
from marjoramstage.standins.engine import EngineStandin
from marjoramstage.standins.service import ServiceStandin
from marjoramstage.transport.send_once import ConnectionLostError, send_once

ORDER = {"number": 1, "fence": 5, "action": "load", "name": "a", "version": "1"}
ORDER |= {"memory_mb": 10}
STREAM = {"model": "a@1", "max_tokens": 4, "stream": True}
LONG_STREAM = {**STREAM, "max_tokens": 1000}
HEADERS = {"X-Request-Id": "r1"}


class Probe:
    """HTTP client of one stand-in that sums up responses in short texts."""

    def __init__(self, standin, session):
        self.standin = standin
        self.session = session
        self.base = f"http://{standin.address}"

    async def call(self, method, path, body=None):
        """Return the status and verdict (or ``lost``) and the body of a response."""
        url = self.base + path
        try:
            async with self.session.request(
                method, url, json=body, headers=HEADERS
            ) as resp:
                verdict = resp.headers.get("X-Verdict")
                word = f"{resp.status} {verdict}" if verdict else str(resp.status)
                return word, await resp.read()
        except (aiohttp.ClientError, ConnectionLostError):
            return "lost", b""

    async def word(self, method, path, body=None):
        return (await self.call(method, path, body))[0]

    async def order(self, **changes):
        body = {**ORDER, "incarnation": self.standin.incarnation, **changes}
        return await self.word("POST", "/orders", body)

    async def stream(self, method, path, body=None):
        """Return the sequence numbers received and how the stream ended."""
        words, end = [], "broken"
        try:
            async with self.session.request(
                method, self.base + path, json=body, headers=HEADERS
            ) as resp:
                if resp.status != 200:
                    return f"{resp.status} {resp.headers.get('X-Verdict')}"
                async for line in resp.content:
                    text = line.decode().strip().removeprefix("data: ")
                    if text.startswith("{"):
                        words.append(str(json.loads(text)["sequence"]))
                    if text == "[DONE]":
                        end = "done"
        except aiohttp.ClientError:
            pass
        return " ".join([*words, end])

    def ran(self):
        return f"ran {self.standin.runs['r1']}"

    def holds(self):
        items = [str(item) for item in self.standin.memory.residents]
        return " ".join(["holds", *(name for name in items if name != "a@1")])


async def a_stream(probe):
    words = await probe.stream("POST", "/v1/completions", STREAM)
    return f"{words}, {probe.ran()}"


async def a_resumed_stream(probe):
    words = await probe.stream("POST", "/v1/completions", STREAM)
    rest = await probe.stream("GET", "/v1/streams/r1?after=1")
    return f"{words} {rest}, {probe.ran()}"


async def a_cancelled_stream(probe):
    call = asyncio.create_task(probe.stream("POST", "/v1/completions", LONG_STREAM))
    for _ in range(10_000):
        stream = probe.standin._streams.get("r1")
        if stream is not None and len(stream.chunks) >= 3:
            break
        await asyncio.sleep(0.001)
    await probe.word("DELETE", "/v1/requests/r1")
    words = await call
    cancelled = probe.standin.cancelled
    return f"{words}, {probe.ran()}" + (f", cancelled {cancelled}" if cancelled else "")


async def a_whole_answer(probe, model="a@1"):
    body = {**STREAM, "stream": False, "model": model}
    return f"{await probe.word('POST', '/v1/completions', body)}, {probe.ran()}"


async def an_order(probe, **changes):
    word = await probe.order(**{"number": 2, "name": "b", **changes})
    holds = probe.holds()
    if probe.standin.faults.delay_s < 0.1:
        await asyncio.sleep(0.1)
        holds = f"{probe.holds()} late" if probe.holds() != holds else holds
    return f"{word}, {holds}"


async def an_unload(probe):
    """Load an item again after an unload order that is executed twice."""
    words = [await probe.order(number=2, action="unload")]
    words.append(await probe.order(number=3))
    await asyncio.sleep(0.1)
    lost = "a@1" not in [str(item) for item in probe.standin.memory.residents]
    return " ".join(words) + (", lost again" if lost else "")


async def an_ignored_fence(probe):
    probe.standin.memory.fencing = False
    return await an_order(probe, fence=4)


async def an_expired_order(probe, honoured):
    probe.standin.memory.expiry = honoured
    return await an_order(probe, expires_s=0.001)


async def three_reports(probe):
    words = []
    for _ in range(3):
        word, body = await probe.call("GET", "/report")
        words.append(str(json.loads(body)["sequence"]) if body else word)
    return " ".join(words)


ENGINE_CASES = {
    "a stream": a_stream,
    "a resumed stream": a_resumed_stream,
    "a cancelled stream": a_cancelled_stream,
    "an uncancelled stream": a_cancelled_stream,
    "a whole answer": a_whole_answer,
    "an unknown model": lambda probe: a_whole_answer(probe, "z@1"),
    "an order": an_order,
    "an unload": an_unload,
    "an old fence": lambda probe: an_order(probe, fence=4),
    "an old fence, ignored": an_ignored_fence,
    "an expired order": lambda probe: an_expired_order(probe, True),
    "an expired order, carried out": lambda probe: an_expired_order(probe, False),
    "another incarnation": lambda probe: an_order(probe, incarnation="other"),
    "three reports": three_reports,
    "unknown faults": lambda probe: probe.word("PUT", "/faults", {"magic": 1}),
}


async def run_case(standin, faults, case, prepare):
    await standin.start()
    try:
        async with aiohttp.ClientSession(middlewares=(send_once,)) as session:
            probe = Probe(standin, session)
            await prepare(probe)
            assert await probe.word("PUT", "/faults", json.loads(faults)) == "200"
            return await case(probe)
    finally:
        await standin.stop()


async def load_model(probe):
    assert await probe.order() == "200"


async def prepare_nothing(probe):
    assert probe.standin.runs == {}


@given("an engine stand-in with faults {faults}")
def use_engine(context, faults):
    context.faults = faults
    context.standin = EngineStandin("e1", "127.0.0.1:0")


@when('the engine stand-in is asked for "{case}"')
def ask_engine(context, case):
    context.case = ENGINE_CASES[case]
    context.prepare = load_model


@given("a service stand-in with faults {faults}")
def use_service(context, faults):
    context.faults = faults
    context.standin = ServiceStandin("s1", "127.0.0.1:0")


@when("the service stand-in is asked for a booking")
def ask_service(context):
    async def book(probe):
        path = "/services/booking/bookings"
        return f"{await probe.word('POST', path, {'hall': 'A1'})}, {probe.ran()}"

    context.case = book
    context.prepare = prepare_nothing


@then('the engine stand-in shows "{seen}"')
@then('the service stand-in shows "{seen}"')
def check_seen(context, seen):
    work = run_case(context.standin, context.faults, context.case, context.prepare)
    found = asyncio.run(work)
    assert found == seen, found


@given("a weight store stand-in of {rate:d} loads a second, {at_once:d} at full speed")
def use_weights(context, rate, at_once):
    context.weights = WeightStore(rate, at_once)


@when("{loads:d} loads of 1 s begin together at the weight store")
def load_weights(context, loads):
    context.loaded_s = [context.weights.load(100.0, 1.0) for _ in range(loads)]


@then("the last load from the weight store ends after {end:g} s")
def check_weights(context, end):
    assert context.loaded_s[-1] == end, context.loaded_s
