"""Steps about the log of an instance on the users' platform."""

import json
import logging
import os
import tempfile

from behave import given, then, when
from pythonjsonlogger.json import JsonFormatter

from features.recorded_logs import RecordingHandler, recorded_logs
from marjoramstage import logs, platform
from marjoramstage._commands import exits
from marjoramstage._entry.event_log import EventLog
from marjoramstage.cli import main
from marjoramstage.clock import VirtualClock

LINES = """\
{"time": "2026-01-01 00:00:02", "instance": "i1", "event": "request ended", \
"request": "aa01", "outcome": "targets full"}
 12.5 front-a-1 {"time": "2026-01-01 00:00:01", "instance": "i1", \
"event": "attempt failed", "request": "aa01", \
"reason": "not run at the target: status 503"}
{"time": "2026-01-01 00:00:01", "event": "request ended", "request": "bb02"}
aa01 is not JSON
["aa01"]
{"time": "2026-01-01 00:00:03", "event": "order answered", "item": "aa01"}
"""


@given("a log whose reader has stopped reading")
def make_pipe(context):
    context.reader, context.writer = os.pipe()
    context.add_cleanup(os.close, context.reader)
    context.add_cleanup(os.close, context.writer)
    context.handler = logs.NonBlockingHandler(context.writer)
    context.handler.setFormatter(logging.Formatter("%(message)s"))
    context.clock = VirtualClock()


@when("{count:d} lines are written on a virtual clock")
def write_lines(context, count):
    for number in range(count):
        _write(context, number)
        context.clock.advance(0.001)


def _write(context, number):
    text = json.dumps({"number": number, "padding": "x" * 200})
    record = logging.LogRecord("n", logging.INFO, "p", 1, text, (), None)
    context.handler.emit(record)


@then("no write blocked and the lines that did not fit are counted")
def check_dropped(context):
    # A write that blocked on the reader would never have returned.
    assert 4000 < context.handler.dropped < 5000, context.handler.dropped


@when("the reader reads again and one more line is written")
def read_again(context):
    context.read = os.read(context.reader, 1 << 20)
    _write(context, 9999)
    context.read += os.read(context.reader, 1 << 20)


@then("it reads complete lines only")
def check_lines(context):
    found = [json.loads(line) for line in context.read.splitlines()]
    assert found[0]["number"] == 0 and found[-1]["number"] == 9999, found[-1]


@given("an event log of 40 lines a second")
def make_log(context):
    context.record = RecordingHandler()
    log = logs.component_logger("bounded")
    log.logger.handlers[:] = [context.record]
    log.logger.propagate = False
    log.logger.setLevel(logging.INFO)
    context.clock = VirtualClock()
    context.events = EventLog(log, context.clock, lines_per_s=40)


@when("{count:d} events are logged in {span:d} s")
def log_events(context, count, span):
    context.count = count
    for _ in range(count):
        context.events.event("something")
        context.clock.advance(span / count)


@then("at most {lines:d} lines were written and the next one counts the dropped ones")
def check_bound(context, lines):
    written = len(context.record.lines)
    assert 0 < written <= lines, written
    context.clock.advance(1)
    context.events.event("next")
    told = [getattr(line, "lines_dropped", 0) for line in context.record.lines]
    assert written + sum(told) == context.count, (written, told)


FIELDS = {
    "without fields": {},
    "with fields": {"extra": {"reason": "cut"}},
    "with its own event": {"extra": {"event": "own"}},
}


@when('a component logs "{message}" {case}')
def log_message(context, message, case):
    with recorded_logs("bounded") as context.lines:
        logs.component_logger("bounded").warning(message, **FIELDS[case])


@then("its line has the event {event}")
def check_event(context, event):
    (line,) = context.lines
    assert line.event == event, line.event


LONG = "x" * 1_000_000
_LONG_ROUTE = {
    "name": "r",
    "host": "h",
    "path_prefix": "/",
    "service": "s",
    "timeout_ms": LONG,
}
LONG_FIELDS = {
    "a text of 1000000 characters": LONG,
    "a list of texts of that length": [LONG],
    "the reason of an invalid target": platform.decode_target(
        "t1", {"state": LONG}
    ).err_value,
    "the reason of an invalid table": platform.decode_table(
        {"version": 1, "services": [], "routes": [_LONG_ROUTE]}
    ).err_value,
}


@when("an event is logged with a field that is {value}")
def log_long_field(context, value):
    context.field = LONG_FIELDS[value]
    context.events.event("invalid", field=context.field)


@then("its line has at most {most:d} bytes, and begins the field as it is")
def check_line_size(context, most):
    (record,) = context.record.lines
    line = JsonFormatter("%(message)s").format(record)
    assert len(line) <= most, len(line)
    begin = context.field if isinstance(context.field, str) else context.field[0]
    found = record.field if isinstance(record.field, str) else record.field[0]
    assert begin.startswith(found.removesuffix("…")), found
    assert len(found) >= min(100, len(begin)), found


@when("{count:d} events and {summaries:d} summaries are logged in {span:d} s")
def log_summaries(context, count, summaries, span):
    context.summaries = summaries
    for number in range(count):
        context.events.event("something")
        if number % (count // summaries) == count // summaries - 1:
            context.events.summary("placement")
        context.clock.advance(span / count)


@then("each summary was written")
def check_summaries(context):
    names = [line.event for line in context.record.lines]
    assert names.count("placement") == context.summaries, names.count("placement")


@given("a log file with lines of two requests, collector prefixes and invalid JSON")
def make_file(context):
    with tempfile.NamedTemporaryFile("w", suffix=".log", delete=False) as file:
        file.write(LINES)
    context.path = file.name
    context.add_cleanup(os.unlink, file.name)


@when("the story of the first request is printed")
def ask_story(context):
    from marjoramstage._commands.story import story

    context.story = story(LINES.splitlines(), "aa01")
    assert main(["story", "aa01", "--log", context.path]) == exits.OK


@then("it has its lines in order, with their reasons, and no others")
def check_story(context):
    assert len(context.story) == 2, context.story
    assert "not run at the target: status 503" in context.story[0], context.story
    assert "targets full" in context.story[1], context.story


@then("the story of an unknown request ends with exit code {code:d}")
def check_no_story(context, code):
    assert main(["story", "cc03", "--log", context.path]) == code
