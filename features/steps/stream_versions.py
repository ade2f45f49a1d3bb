"""Steps about streams that are taken up after instances were killed."""

import asyncio
import re
import time
from dataclasses import dataclass, field

import aiohttp
from behave import given, then, when

from features.entry_deployment import (
    HOST,
    put,
    ready_status,
    send,
    start_instance,
)
from features.processes import wait_for

EVENT_S = 0.6
BROKEN_AFTER_EVENTS = 3
MAX_TRIES = 4
SETTLE_S = 1.0


@dataclass
class Stream:
    """A stream as its caller sees it."""

    instance: str
    request_id: str
    data: bytes = b""
    engines: set = field(default_factory=set)

    @property
    def events(self):
        return [int(number) for number in re.findall(rb"id: (\d+)\n", self.data)]


def hold_model(context, name, software):
    target = context.targets[name]
    target.models, target.software = {"m1"}, software
    target.pause_s = EVENT_S
    target.born += 1
    put(context, "servers", name, target.spec())


def remove(context, name):
    context.thread.call(context.store.remove("servers", name))


@given("8 streams of m1 begun at {engines}, 4 by each instance")
def begin_streams(context, engines):
    hold_model(context, "e1", "v1")
    if engines == "e1":
        remove(context, "e2")
    else:
        hold_model(context, "e2", "v2")
    time.sleep(SETTLE_S)
    context.streams = [
        Stream(name, f"{next(context.numbers):016x}")
        for name in context.instances
        for _ in range(4)
    ]


def change(context, text):
    if text == "e2 replaces e1":
        hold_model(context, "e2", "v2")
    if text in ("e2 replaces e1", "e1 is removed"):
        remove(context, "e1")


@when("{then} and {killed} killed and started again")
def kill_now(context, then, killed):
    kill(context, then, killed)


@when("{then} and {killed} killed and started again, e2 replacing e1")
def kill_and_replace(context, then, killed):
    kill(context, then, killed, later="e2 replaces e1")


def kill(context, text, killed, later=""):
    names = list(context.instances)
    names = names if killed == "all instances" else names[:1]

    def end():
        for name in names:
            context.deployment.processes[name].kill()
            context.deployment.processes[name].wait()

    asyncio.run(relay_until(context, text, end, names))
    if later:
        change(context, later)
    numbers = {name: n for n, name in enumerate(context.instances, 1)}
    for name in names:
        start_instance(context, name, numbers[name])
        wait_for(lambda name=name: ready_status(context, name) == 200, f"{name} ready")
    time.sleep(SETTLE_S)
    context.broken = [s for s in context.streams if s.instance in names]


async def relay_until(context, text, end, names):
    """Read the streams; when all have three events, end instances."""
    async with aiohttp.ClientSession() as session:
        tasks = [
            asyncio.create_task(read(context, session, stream))
            for stream in context.streams
        ]
        await asyncio.sleep(EVENT_S)
        await asyncio.to_thread(change, context, text)
        while min(len(s.events) for s in context.streams) < BROKEN_AFTER_EVENTS:  # noqa: ASYNC110
            await asyncio.sleep(0.01)
        end()
        await asyncio.gather(*tasks, return_exceptions=True)


async def read(context, session, stream):
    headers = {
        "Host": HOST,
        "Deadline-Ms": "8000",
        "Request-Id": stream.request_id,
        "Model": "m1",
    }
    url = f"http://{context.instances[stream.instance]}:8149/night/x"
    async with session.post(url, data=b"abc", headers=headers) as resp:
        async for chunk in resp.content.iter_any():
            stream.data += chunk


def take_up(context, stream):
    """Take a stream up as its caller does; return the status and its engines."""
    began = set(re.findall(rb"data: (\w+)", stream.data))
    headers = {"Last-Event-Id": str(stream.events[-1]), "Resumes": stream.request_id}
    for _ in range(MAX_TRIES):
        answer = send(
            context, "POST", "/night/x", "m1", stream.instance, headers=headers
        )
        if answer.status != 503:
            break
        assert float(answer.headers["Retry-After"]) > 0
        time.sleep(0.3)
    return began, answer.status, set(re.findall(rb"data: (\w+)", answer.body))


@then("of the streams that are taken up none is joined from two versions")
def check_joined(context):
    assert len(context.broken) >= 4
    context.taken_up = [take_up(context, stream) for stream in context.broken]
    joined = [ends for ends in context.taken_up if len(ends[0] | ends[2]) > 1]
    assert not joined, f"{len(joined)} of {len(context.taken_up)}: {joined[:2]}"


@then("those begun at {going} go on, those begun at {refused} get 503")
def check_going_on(context, going, refused):
    for began, status, _ in context.taken_up:
        engine = began.pop().decode()
        expected = 200 if engine in going.split(" and ") else 503
        assert status == expected, (engine, status)
    assert refused in ("-", "e1")
