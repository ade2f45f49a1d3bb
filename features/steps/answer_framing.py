"""Steps for the table of framings and ends of targets' answers."""

import asyncio
import itertools
import logging

from behave import given, then, when

from features.entry_caller import (
    HOST,
    ROUTES,
    SERVICE,
    EntryInstance,
    old_http_request,
)
from features.framed_answers import (
    BODY_BLOCKS,
    EVENT_BLOCKS,
    EVENT_BLOCKS_WITHOUT_IDS,
    FRAMINGS,
    KEEP_ALIVE,
    RESTS,
    AnswerScript,
    FramedTarget,
    PartialHeadTarget,
    Runs,
    write_answer,
)
from features.request_faults import (
    CHUNKS,
    COMPLETION_BODY,
    DONE,
    RAN,
    FaultCell,
    FaultScript,
    ScriptedTarget,
    chunk,
)
from marjoramstage.coordination.stream_origins import digest
from marjoramstage.state.fleet import FleetTarget

ENDS = (
    "complete, then reset",
    "complete",
    "closed inside",
    "closed",
    "reset inside",
    "reset",
    "ended inside",
    "empty",
)
BREAK = AnswerScript("chunks", "closed inside")


def split_ends(text):
    """Split a cell of ends; one of them holds a comma itself."""
    found = []
    while text:
        end = next(end for end in ENDS if text.startswith(end))
        found.append(end)
        text = text[len(end) :].removeprefix(", ")
    return found


def scripted_cells(table):
    """Yield the script and the expected outcome of each cell of a table."""
    for row in table:
        framings, ends = row["framing"].split(", "), split_ends(row["ends"])
        for framing, end in itertools.product(framings, ends):
            yield AnswerScript(framing, end), row["received"]


@then("each of these answers to {path} after a break is received as stated")
def check_resumed(context, path):
    check_table(context.table, path, (BREAK,))


@then("each of these answers to {path} over HTTP/1.0 is received as stated")
def check_old_http(context, path):
    check_problems(
        problems_of(
            run_old_http_cell(path, script, received)
            for script, received in scripted_cells(context.table)
        )
    )


async def run_old_http_cell(path, script, expected):
    async with EntryInstance([FramedTarget(Runs((script,)))]) as instance:
        received = await instance.send_raw(old_http_request(path))
    problem = compare(path, received, expected)
    return f"{path} {script}: {problem}, got {received}" if problem else ""


@when("a caller sends a chunk that is none, after its head was read")
def send_broken_chunk(context):
    send_body(context, b"3\r\nabc\r\nzz\r\n")


@when("a caller sends a part of a chunk and then nothing")
def send_part(context):
    send_body(context, b"3\r\na")


def send_body(context, chunks):
    head = f"POST /once/x HTTP/1.1\r\nHost: {HOST}\r\nRequest-Id: r1\r\n"
    parts = [head.encode() + b"Transfer-Encoding: chunked\r\n\r\n", chunks]

    async def run():
        runs = Runs()
        async with EntryInstance([FramedTarget(runs)]) as instance:
            return await instance.send_raw(parts), runs

    logging.disable(logging.CRITICAL)
    try:
        context.received, context.runs = asyncio.run(run())
    finally:
        logging.disable(logging.NOTSET)


@then("the caller gets {status:d} and no target ran the request")
def check_refused(context, status):
    assert context.received.status == status, context.received
    assert not context.runs.counts, context.runs


@then("each of these answers to {path} is received as stated")
def check_answers(context, path):
    check_table(context.table, path, ())


@then("a {path} of {first} events that goes on with {second} is truncated")
def check_joined(context, path, first, second):
    before = AnswerScript("chunks", "closed inside", first)
    script = AnswerScript("chunks", "complete", second)
    check_problems(problems_of([run_cell(path, (before,), script, "truncated")]))


@then("on each route a head that ends after {part}, by close or reset, is lost")
def check_partial_head(context, part):
    paths = [route.prefix for route in ROUTES]
    cells = itertools.product(paths, ("close", "reset"))
    check_problems(problems_of(run_partial_head(*cell, part) for cell in cells))


async def run_partial_head(path, end, part):
    async with EntryInstance([PartialHeadTarget(part, end)]) as instance:
        received = await instance.send(path + "x")
    return "" if received.status == 502 else f"{path} {part}, {end}: {received}"


@then("a resumed stream with {rest} is {received}, also with a length or neither")
def check_rest(context, rest, received):
    check_problems(problems_of(run_rest(name, rest, received) for name in FRAMINGS))


async def run_rest(framing, rest, expected):
    runs = Runs((BREAK, AnswerScript(framing, "complete", rest)))
    targets = [FramedTarget(runs), FramedTarget(runs)]
    async with EntryInstance(targets) as instance:
        received = await instance.send("/resumable-stream/x")
    return "" if is_rest(received, expected) else f"{framing} {rest}: {received}"


@then("a stream that breaks after event 3 and a keep-alive is whole")
def check_keep_alive(context):
    check_problems(problems_of(run_keep_alive(name) for name in FRAMINGS))


async def run_keep_alive(framing):
    runs = Runs((AnswerScript(framing, "reset", "a keep-alive"),))
    targets = [FramedTarget(runs), FramedTarget(runs)]
    async with EntryInstance(targets) as instance:
        received = await instance.send("/resumable-stream/x")
    body = b"".join([*EVENT_BLOCKS[:3], KEEP_ALIVE, *EVENT_BLOCKS[3:]])
    right = received.whole and received.body == body
    return "" if right else f"{framing}: {received}"


@then("a stream reset after event 6, without a length, is cut there")
def run_to_the_end(context):
    runs = Runs((AnswerScript("neither", "complete, then reset"),))

    async def run():
        targets = [FramedTarget(runs), FramedTarget(runs)]
        async with EntryInstance(targets) as instance:
            cut = await instance.send("/resumable-stream/x", "r1")
            context.resumed = await instance.send(
                "/resumable-stream/x", "r2", Last_Event_Id="6", Resumes="r1"
            )
        right = is_rest(cut, "cut after event 6")
        return "" if right else f"{cut}"

    check_problems(problems_of([run()]))


@then("the caller that resumes it gets an empty answer, framed as whole")
def check_resumed_end(context):
    received = context.resumed
    assert (received.status, received.body) == (200, b""), received
    assert received.whole, received


def is_rest(received, expected):
    """Whether a caller received whole events up to a stated one, and what end."""
    if expected == "whole, with keep-alives":
        first, rest = EVENT_BLOCKS[:3], RESTS["keep-alives"](EVENT_BLOCKS[3:])
        return received.whole and received.body == b"".join(first + rest)
    numbers = [int(word) for word in expected.split() if word.isdecimal()]
    bodies = [b"".join(EVENT_BLOCKS[:n]) for n in range(numbers[0], numbers[-1] + 1)]
    return not received.whole and received.status == 200 and received.body in bodies


@then("a caller that has events 1 to 3 and resumes gets {rest} unchanged")
def check_first_rest(context, rest):
    check_problems(problems_of(run_first_rest(name, rest) for name in FRAMINGS))


async def run_first_rest(framing, rest):
    targets = [FramedTarget(Runs((AnswerScript(framing, "complete", rest),)))]
    async with EntryInstance(targets, ("v1",), {"r0": "v1"}) as instance:
        received = await instance.send(
            "/resumable-stream/x", Last_Event_Id="3", Resumes="r0"
        )
    body = b"".join(RESTS[rest](EVENT_BLOCKS[3:]))
    right = received.whole and received.body == body
    return "" if right else f"{framing} {rest}: {received}"


@then("a stream that breaks {breaks} with targets of versions {versions} is {received}")
def check_versions(context, breaks, versions, received):
    software = tuple(versions.replace("?", "").split(", "))
    end = "closed inside" if breaks == "within an event" else "empty"
    script = AnswerScript("neither", end)
    cell = run_cell("/resumable-stream/", (), script, received, software)
    check_problems(problems_of([cell]))


@given("targets of versions {versions}, and {known}")
def make_versions(context, versions, known):
    context.software = tuple(versions.replace("?", "").split(", "))
    context.known = known


@when("a caller that has events 1 to 3 takes the stream up and names {named}")
def take_up(context, named):
    more = {"Last_Event_Id": "3"}
    context.lines = []
    if named != "no request":
        more["Resumes"] = named

    async def run():
        targets = [FramedTarget(Runs()), FramedTarget(Runs())]
        told = {"r0": "v1"} if context.known == "another began it at v1" else {}
        async with EntryInstance(targets, context.software, told) as instance:
            prepare(instance.state, context.known)
            instance.state.events.event = lambda name, **fields: context.lines.append(
                (name, fields)
            )
            received = await instance.send("/resumable-stream/x", **more)
            context.counted = instance.metrics.registry
        ran = [bool(target.runs.counts) for target in targets]
        return received, ran

    logging.disable(logging.CRITICAL)
    try:
        context.received, context.ran = asyncio.run(run())
    finally:
        logging.disable(logging.NOTSET)


def prepare(state, known):
    """Make an instance know what a row says."""
    now_s = state.clock.now()
    if known == "this instance began it at v2":
        state.stream_origins.record("r0", "v2", now_s)
    if known == "this instance began it at v1 and is cut off":
        state.stream_origins.record("r0", "v1", now_s)
        state.is_in_step = lambda: False
    if known == "this instance is cut off":
        state.software.learn({SERVICE: ("v1",)}, now_s)
        state.is_in_step = lambda: False
    if known == "v1 alone was stored":
        state.software.learn({SERVICE: ("v1",)}, now_s)
    if known == "that v2 began it was stored":
        state.stream_origins.learn({"v2": (digest("r0"),)})
    if known == "v1 was there until now":
        old = FleetTarget("old", 1, "plain", "127.0.0.1:9", "a", 8, software="v1")
        state.put_target(old)
        state.remove_target("old", confirmed=True)


@then("it gets events 4 to 6 of {software}")
def check_taken_up(context, software):
    received = context.received
    assert received.whole and received.body == b"".join(EVENT_BLOCKS[3:]), received
    ran_at = {s for s, ran in zip(context.software, context.ran, strict=True) if ran}
    assert software == "any" or ran_at == {software}, ran_at


@then("it gets 503 with a time to return")
def check_not_taken_up(context):
    received = context.received
    assert received.status == 503, received
    assert float(received.headers["Retry-After"]) > 0, received
    assert not any(context.ran), context.ran


@then("its line says {began}, {own:d} of its version hold the model, {others:d} others")
def check_resume_line(context, began, own, others):
    (line,) = [fields for name, fields in context.lines if name == "resume ended"]
    assert line["began"] == (began == "it began"), line
    assert (line["holders"], line["other_holders"]) == (own, others), line
    assert (line["outcome"] == "answered") == line["began"], line


@then("it is counted as a resumed stream: {began}")
def check_resume_count(context, began):
    labels = {"kind": "resumed", "began": "yes" if began == "it began" else "no"}
    name = "marjoramstage_resumable_streams_total"
    assert context.counted.get_sample_value(name, labels) == 1, labels


def check_table(table, path, before):
    check_problems(run_rows(table, path, before))


def check_problems(work):
    logging.disable(logging.CRITICAL)
    try:
        wrong = asyncio.run(work)
    finally:
        logging.disable(logging.NOTSET)
    assert not wrong, "\n" + "\n".join(wrong)


async def run_rows(table, path, before):
    return await problems_of(
        run_cell(path, before, script, received)
        for script, received in scripted_cells(table)
    )


async def problems_of(cells):
    """Run cells concurrently; return the problems that they found."""
    return [problem for problem in await asyncio.gather(*cells) if problem]


async def run_cell(path, before, script, expected, software=("v1", "v1")):
    runs = Runs((*before, script))
    targets = [FramedTarget(runs), FramedTarget(runs)]
    async with EntryInstance(targets, software) as instance:
        received = await instance.send(path + "x")
    problem = compare(path, received, expected)
    return f"{path} {script}: {problem}, got {received}" if problem else ""


def compare(path, received, expected):
    """Return what differs from the expected outcome, or an empty text."""
    blocks = EVENT_BLOCKS if "stream" in path else BODY_BLOCKS
    body = b"".join(blocks)
    if expected == "whole":
        right = received.whole and (received.status, received.body) == (200, body)
        return "" if right else "not whole"
    if expected == "lost":
        return "" if received.status in (0, 502) else "not lost"
    if received.whole and received.status == 200:
        return "truncated, but framed as complete"
    if received.status in (0, 502):
        return ""
    if is_first_part(received.body, EVENT_BLOCKS):
        return ""
    if is_first_part(received.body, EVENT_BLOCKS_WITHOUT_IDS):
        return ""
    return "not whole events of one run"


def is_first_part(body, blocks):
    """Whether a body is made of the first of some blocks."""
    return body in [b"".join(blocks[:count]) for count in range(len(blocks) + 1)]


LARGE_BLOCKS = [bytes([65 + n]) * 1_000_000 for n in range(12)]
STREAM_BLOCKS = [*(chunk(number) for number in range(CHUNKS)), DONE]
JSON_BLOCKS = [COMPLETION_BODY[n : n + 8] for n in range(0, len(COMPLETION_BODY), 8)]


class FramedEngine(ScriptedTarget):
    """A target of the product's own interface; its first answer follows a script."""

    def __init__(self, kind, answer_script, content):
        super().__init__(kind, FaultScript())
        self.scripts = [answer_script]
        self.content = content

    async def _answer(self, path, streamed, writer):
        content_type, blocks = CONTENTS["stream" if streamed else self.content]
        await self._write(writer, content_type, blocks)

    async def _resume(self, path, writer):
        after = int(path.partition("after=")[2].partition("&")[0])
        await self._write(writer, *CONTENTS["stream"], after + 1)

    async def _write(self, writer, content_type, blocks, start=0):
        script = (
            self.scripts.pop() if self.scripts else AnswerScript("chunks", "complete")
        )
        head = b"HTTP/1.1 200 OK\r\nContent-Type: %s\r\n" % content_type
        await write_answer(writer, head, blocks[start:], script)


CONTENTS = {
    "stream": (b"text/event-stream", STREAM_BLOCKS),
    "JSON": (b"application/json", JSON_BLOCKS),
    "text": (b"text/plain", BODY_BLOCKS),
    "large": (b"text/plain", LARGE_BLOCKS),
}


@then("each of these {content} answers to a {kind} is received as stated")
def check_product_answers(context, content, kind):
    check_problems(
        problems_of(
            run_product_cell(kind, content, script, received)
            for script, received in scripted_cells(context.table)
        )
    )


async def run_product_cell(kind, content, script, expected):
    cell = FaultCell(kind, FaultScript())
    cell.targets = [FramedEngine(cell.targets[0].kind, script, content)]
    async with cell:
        received = await cell.run()
    body = b"".join(CONTENTS[content][1]) + (RAN if content == "stream" else b"")
    if expected == "whole":
        right = received.whole and (received.status, received.body) == (200, body)
    elif expected == "lost":
        right = received.status == 502
    else:
        right = not received.whole and body.startswith(received.body)
    text = f"status {received.status}, whole {received.whole}"
    text += f", {len(received.body)} of {len(body)} bytes"
    return "" if right else f"{kind} {content} {script}: not {expected}, {text}"
