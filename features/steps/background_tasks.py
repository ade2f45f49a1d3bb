"""Steps about background tasks that fail, encoded bodies and early signals."""

import asyncio
import itertools
import os
import subprocess
import sys
from dataclasses import replace
from unittest import mock

from aiohttp import web
from behave import given, then, when

from features.notice_machine import make_state
from features.planned_engines import BEFORE, Engines, LeaseStore, table
from features.virtual_asyncio import VirtualTimeLoop
from marjoramstage._entry import placement_controller
from marjoramstage._entry.background_tasks import BackgroundTasks
from marjoramstage._entry.placement_controller import PlacementController
from marjoramstage.protocol.peers import EntryReport
from marjoramstage.state.store_era import StoreEra
from marjoramstage.transport.server_connection import BoundedServer

ENDED_BY_USAGE = 2


@given("an instance that keeps a task running")
def make_tasks(context):
    context.loop, context.failures, context.fatal = VirtualTimeLoop(), [], []
    context.events = mock.Mock()
    clock = mock.Mock(now=context.loop.time)
    context.tasks = BackgroundTasks(clock, context.events)
    context.tasks.on_failure = context.failures.append
    context.tasks.on_fatal = lambda: context.fatal.append(True)
    context.starts = []


def run_task(context, fail, for_s):
    """Keep a task for a while; ``fail`` is awaited with the number of each start."""

    async def task():
        context.starts.append(context.loop.time())
        await fail(len(context.starts))

    async def run():
        context.tasks.keep("t", task)
        await asyncio.sleep(for_s)
        context.tasks.stop()
        await asyncio.sleep(0)

    context.loop.run_until_complete(run())


@when("the task {fault}")
def fail_task(context, fault):
    words = fault.split()
    times = int(words[-2]) if words[-2].isdecimal() else 1000

    async def fail(number):
        if number > times:
            await asyncio.sleep(1000.0)
        if "memory" in fault:
            raise MemoryError
        if "fails" in fault:
            raise ValueError("a fault")

    run_task(context, fail, 20.0)


@when("it fails 4 times and then after 40 s")
def fail_late(context):
    async def fail(number):
        if number == 5:
            await asyncio.sleep(40.0)
        if number <= 5:
            raise ValueError("a fault")
        await asyncio.sleep(1000.0)

    run_task(context, fail, 60.0)


def pauses(starts):
    return [round(b - a, 3) for a, b in itertools.pairwise(starts)]


@then("it has run {runs:d} times after 20 s, with pauses of {texts} s between")
def check_runs(context, runs, texts):
    wanted = [float(text) for text in texts.split(", ")]
    found = pauses(context.starts)
    assert len(context.starts) == runs, context.starts
    assert found[: len(wanted)] == wanted and max(found) <= 5.0, found


@then("each failure is logged and counted, and the process {ends}")
def check_counted(context, ends):
    count = len(context.failures)
    assert count in (len(context.starts), len(context.starts) - 1), context.failures
    logged = context.events.event.call_args_list
    assert len(logged) == count and set(context.failures) == {"t"}, logged
    assert logged[0].args == ("background task failed",), logged[0]
    assert bool(context.fatal) == (ends == "ends"), context.fatal


@then("the pause after that is {pause_s:g} s")
def check_pause(context, pause_s):
    found = pauses(context.starts)
    assert found[4] == 40.0 + pause_s, found


@given("an instance that competes for the lease, with targets t1 and t2")
def make_competing(context):
    context.loop = VirtualTimeLoop()
    context.state = state = make_state(context.loop)
    state.settings = replace(state.settings, first_start=True)
    state.targets_listed = True
    state.apply_routes(table(1, BEFORE))
    context.engines = Engines(state)
    context.engines.add("t1", "a", ("m1",))
    context.engines.add("t2", "a", ("m2",))
    context.failures = []
    state.background.on_failure = context.failures.append


@when("a fault occurs in {where} for 3 s")
def fail_for_a_while(context, where):
    loop, state, engines = context.loop, context.state, context.engines
    store = LeaseStore()

    def failing(func):
        async def run(*args):
            if loop.time() < 3.0:
                raise RuntimeError("a fault")
            return await func(*args)

        return run

    def failing_step(func):
        def run(now_s):
            if len(context.failures) < 4:
                raise RuntimeError("a fault")
            func(now_s)

        return run

    controller = PlacementController(
        state, store, None, "me", lambda address, view: None, StoreEra()
    )
    controller._target_control = engines
    if "read" in where:
        store.get = failing(store.get)
    elif "write" in where:
        store.create = store.update = failing(store.create)
    elif "step" in where:
        controller.run_placement = failing_step(controller.run_placement)
    else:
        fetch = engines.fetch_report

        async def fetch_report(target):
            if len(context.failures) < 10:
                raise RuntimeError("a fault")
            return await fetch(target)

        engines.fetch_report = fetch_report

    async def run():
        state.background.keep("placement", controller.run)
        for number in range(180):
            waiting = {"a m6": 3}
            report = EntryReport("i1", "me", "x", number + 1, waiting=waiting)
            controller.receive_report(report)
            await asyncio.sleep(0.1)
        state.background.stop()
        await asyncio.sleep(0)

    with mock.patch.object(placement_controller, "seconds_since_boot", loop.time):
        loop.run_until_complete(run())


@then("it gives orders within 15 s")
def check_orders(context):
    assert "a m6" in context.engines.loaded, context.failures


@then('it has logged between 1 and {most:d} failures of "{task}"')
def check_failures(context, most, task):
    assert set(context.failures) == {task}, context.failures
    assert len(context.failures) <= most, len(context.failures)


@when("a timer of its event loop fails")
def fail_timer(context):
    context.loop.set_exception_handler(context.tasks.on_loop_error)
    context.loop.call_soon(lambda: 1 / 0)
    context.loop.run_until_complete(asyncio.sleep(0.1))


@then('a failure of "{task}" is counted')
def check_timer(context, task):
    assert context.failures == [task], context.failures


# Bodies

BODY = b"\x1f\x8b not really compressed, but named so" * 3


@when("a body in {coding} is sent {framing}")
def send_body(context, coding, framing):
    found = []

    async def handle(req):
        found.append((await req.read(), req.headers.get("Content-Encoding")))
        return web.Response(text="ok")

    head = f"POST / HTTP/1.1\r\nHost: h\r\nContent-Encoding: {coding}\r\n"
    if framing == "in chunks":
        payload = b"%x\r\n%s\r\n0\r\n\r\n" % (len(BODY), BODY)
        head += "Transfer-Encoding: chunked\r\n\r\n"
    else:
        payload, head = BODY, head + f"Content-Length: {len(BODY)}\r\n\r\n"

    async def run():
        loop = asyncio.get_running_loop()
        server = BoundedServer(handle, access_log=None)
        listener = await loop.create_server(server, "127.0.0.1", 0)
        port = listener.sockets[0].getsockname()[1]
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        writer.write(head.encode() + payload)
        context.status = (await reader.readline()).split()[1]
        writer.close()
        listener.close()
        await server.shutdown(0.1)

    asyncio.run(run())
    context.found, context.coding = found, coding


@then("the handler gets the same bytes and the header Content-Encoding")
def check_body(context):
    assert context.status == b"200", context.status
    assert context.found == [(BODY, context.coding)], context.found


# Signals

# Sends the signal as a module is first looked for, so that no time is measured.
HANGUP = """
import os, signal, sys
class Finder:
    def find_spec(self, name, path=None, target=None):
        if name == {module!r} and not sent:
            sent.append(name)
            os.kill(os.getpid(), signal.SIGHUP)
sent = []
signal.signal(signal.SIGHUP, signal.SIG_DFL)
sys.modules.pop({module!r}, None)
sys.meta_path.insert(0, Finder())
from marjoramstage.cli import main
code = main(["entry", "--node-file", "/nowhere/node.conf"])
sys.exit(code if sent else 99)
"""


@when("the entry command runs and a SIGHUP comes as {module} is first imported")
def run_entry(context, module):
    command = [sys.executable, "-c", HANGUP.format(module=module)]
    context.done = subprocess.run(
        command, capture_output=True, timeout=60, check=False, env=dict(os.environ)
    )


@then("it goes on until it reads its settings")
def check_entry(context):
    done = context.done
    assert done.returncode == ENDED_BY_USAGE, (done.returncode, done.stderr[-300:])
    assert b"/nowhere/node.conf" in done.stderr, done.stderr[-300:]
