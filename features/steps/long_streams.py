"""Steps about how long the version of a stream is known."""

import asyncio
from types import SimpleNamespace

from behave import given, then

from features.notice_machine import make_state
from features.steps.origin_store import ROUTE
from features.virtual_asyncio import VirtualTimeLoop
from marjoramstage._entry.answer_relay import AnswerRelay
from marjoramstage._entry.request_context import RequestContext
from marjoramstage.coordination.dispatcher import TargetCriteria
from marjoramstage.coordination.stream_origins import StreamOrigins
from marjoramstage.transport.framing import Framing

STREAM = "s1"


class CountingOrigins(StreamOrigins):
    """Counts how often an origin is recorded."""

    records = 0

    def record(self, *args):
        self.records += 1
        super().record(*args)

    def extend(self, *args):
        self.records += 1
        super().extend(*args)


class Answer:
    """Answer of a target with an event at each interval."""

    status = 200
    headers = {"Content-Type": "text/event-stream"}  # noqa: RUF012
    framing = Framing.CHUNKED

    def __init__(self, lasts_s, interval_s):
        self.lasts_s = lasts_s
        self.interval_s = interval_s

    async def iter_chunks(self):
        for number in range(round(self.lasts_s / self.interval_s)):
            yield f"id: {number + 1}\ndata: x\n\n".encode()
            await asyncio.sleep(self.interval_s)


class Response:
    """Response to a caller that reads whatever is written."""

    async def write(self, data):
        pass

    async def write_eof(self):
        pass


class Writer:
    """Writes for a caller that reads whatever is written."""

    async def write(self, resp, data):
        await resp.write(data)


def make_request():
    headers = SimpleNamespace(request_id=STREAM, resumes="", parts=(), last_event_id="")
    ctx = RequestContext(
        req=None,
        headers=headers,
        body=b"",
        route=ROUTE,
        service="chat",
        arrived_s=0.0,
        deadline_s=100.0,
        criteria=TargetCriteria("chat"),
    )
    ctx.resp = Response()
    ctx.answer_writer = Writer()
    ctx.begin_attempt("v1", 0.0)
    return ctx


@given("an instance that relays a stream of {lasts:g} s with an event each {each:g} s")
def start_stream(context, lasts, each):
    context.loop = VirtualTimeLoop()
    context.add_cleanup(context.loop.close)
    context.state = make_state(context.loop)
    context.state.stream_origins = CountingOrigins()
    log = SimpleNamespace(answer_ended=lambda *args: None)
    observer = SimpleNamespace(writing=lambda ctx: None)
    relay = AnswerRelay(context.state, log, observer, SimpleNamespace())
    context.lasts_s = lasts
    context.relay = relay.relay(make_request(), Answer(lasts, each))


class KeepAlives(Answer):
    """Answer of a target that never writes an event."""

    async def iter_chunks(self):
        for _ in range(3):
            yield b": still working\n\n"
            await asyncio.sleep(self.interval_s)


@given("an instance that relays keep-alives alone")
def start_keep_alives(context):
    start_stream(context, 3.0, 1.0)
    context.relay.close()
    log = SimpleNamespace(answer_ended=lambda *args: None)
    observer = SimpleNamespace(writing=lambda ctx: None)
    relay = AnswerRelay(context.state, log, observer, SimpleNamespace())
    context.relay = relay.relay(make_request(), KeepAlives(3.0, 1.0))


@then("the version that began the stream is not known")
def check_unknown(context):
    context.loop.run_until_complete(context.relay)
    assert known(context) == "", known(context)
    assert context.state.stream_origins.begun_since(0.0) == ()


def known(context):
    return context.state.stream_origins.find(STREAM, context.loop.time())


@then("its version is known while it runs and 29 s after its end, not 31 s after")
def check_known(context):
    async def check():
        task = asyncio.create_task(context.relay)
        await asyncio.sleep(context.lasts_s * 0.95)
        assert not task.done()
        assert known(context) == "v1", "not known while it runs"
        await task
        await asyncio.sleep(29.0)
        assert known(context) == "v1", "not known 29 s after its end"
        await asyncio.sleep(2.0)
        assert known(context) == "", "known 31 s after its end"

    context.loop.run_until_complete(check())


@then("its origin was recorded at most {records:d} times")
def check_records(context, records):
    origins = context.state.stream_origins
    assert origins.records <= records, origins.records
