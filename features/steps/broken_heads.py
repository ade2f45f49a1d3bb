"""Steps for answers of targets and of the store whose head is broken."""

import itertools

import aiohttp
from behave import then
from result import Err

from features.broken_heads import BODY, EVENT, WAYS, Head, HeadTarget, head_of
from features.cells import check_cells
from features.entry_caller import (
    REPEATABLE_ROUTES,
    ROUTES,
    EntryInstance,
    old_http_request,
)
from features.request_faults import (
    FaultCell,
    FaultScript,
    ScriptedTarget,
    whole_body,
)
from marjoramstage import platform
from marjoramstage.exceptions import TargetError, Verdict
from marjoramstage.protocol.objects import DOCUMENT
from marjoramstage.transport.client_connection import client_session
from marjoramstage.transport.platform import PlatformClient
from marjoramstage.transport.target_client import TargetClient, TargetRequest
from marjoramstage.transport.targets import TargetCall, UpstreamClient

MAX_REPLY_BYTES = 1000
# Requests of the product's callers, and whether they are sent again.
PRODUCT_KINDS = {
    "booking": False,
    "keyed": False,
    "lookup": True,
    "whole": True,
    "stream": True,
}


def heads(table):
    return [head_of(row["part"], row["text"]) for row in table]


def sound_body(path):
    return EVENT if "stream" in path else BODY


@then("no caller gets an answer with one of these heads")
def check_broken(context):
    cells = itertools.product(heads(context.table), ROUTES, WAYS)
    check_cells([run_broken(*cell) for cell in cells])


async def run_broken(head, route, way):
    """Send a request whose first answer has a broken head."""
    answers = [head]
    targets = [HeadTarget(answers, way) for _ in range(2)]
    async with EntryInstance(targets) as instance:
        received = await instance.send_raw(old_http_request(route.prefix))
    runs = sum(target.runs for target in targets)
    if route in REPEATABLE_ROUTES:
        right = (received.status, received.body) == (200, sound_body(route.prefix))
        right = right and runs == 2
    else:
        right = received.status == 502 and runs == 1
    return "" if right else f"{head}, {route.name}, {way}: {received}, {runs} runs"


@then("each of these heads reaches the caller as an answer")
def check_sound(context):
    statuses = [int(row["status"]) for row in context.table]
    rows = zip(heads(context.table), statuses, strict=True)
    check_cells([run_sound(*row, *cell) for row in rows for cell in ways_of_routes()])


@then("a head with bare line feeds reaches the caller as an answer")
def check_line_feeds(context):
    head = Head(line_break=b"\n")
    check_cells([run_sound(head, 200, *cell) for cell in ways_of_routes()])


def ways_of_routes():
    return itertools.product(ROUTES, WAYS)


async def run_sound(head, status, route, way):
    target = HeadTarget([head], way)
    async with EntryInstance([target]) as instance:
        received = await instance.send_raw(old_http_request(route.prefix))
    right = (received.status, received.body) == (status, sound_body(route.prefix))
    right = right and target.runs == 1
    return "" if right else f"{head}, {route.name}, {way}: {received}"


@then("the second answer on a connection with one of these heads is not passed on")
def check_kept(context):
    cells = itertools.product(heads(context.table), REPEATABLE_ROUTES)
    check_cells([run_kept(*cell) for cell in cells])


async def run_kept(head, route):
    # An answer without a body surely leaves its connection in the pool.
    target = HeadTarget([Head(has_body=False), head])
    async with EntryInstance([target]) as instance:
        path = route.prefix + "x"
        received = [await instance.send(path, f"r{n}") for n in (1, 2, 3)]
    statuses = [each.status for each in received]
    # The only target isn't asked twice.
    first, second, third = target.used
    right = statuses == [200, 502, 200] and first == second != third
    right = right and received[2].body == sound_body(path)
    name = f"{head}, {route.name}"
    return "" if right else f"{name}: {received}, connections {target.used}"


class BrokenHeadEngine(ScriptedTarget):
    """A target of the product's own interface; its first answer has a given head."""

    def __init__(self, kind, head):
        super().__init__(kind, FaultScript())
        self._head = head

    async def _answer(self, path, streamed, writer):
        head, self._head = self._head, None
        if head is None:
            await super()._answer(path, streamed, writer)
            return
        writer.write(head.encode(b"r1", streamed))
        await writer.drain()


@then("no caller of the product's interface gets an answer with one of these heads")
def check_product(context):
    cells = itertools.product(heads(context.table), PRODUCT_KINDS.items())
    check_cells([run_product(head, *kind) for head, kind in cells])


async def run_product(head, kind, is_repeated):
    cell = FaultCell(kind, FaultScript())
    cell.targets = [BrokenHeadEngine(cell.targets[0].kind, head)]
    async with cell:
        received = await cell.run()
        runs = cell.runs
    if is_repeated:
        right = (received.status, received.body) == (200, whole_body(kind))
        right = right and runs == 2
    else:
        right = (received.status, runs) == (502, 1)
    return "" if right else f"{head}, {kind}: {received}, {runs} runs"


async def fetch_control(address):
    """Whether a control call to a target failed, and may have run."""
    client = TargetClient()
    try:
        call = TargetRequest(address, "GET", "/report", {}, b"")
        await client.fetch(call, MAX_REPLY_BYTES)
    except TargetError as exc:
        return exc.verdict is Verdict.MAY_HAVE_RUN
    finally:
        await client.stop()
    return False


async def send_upstream(address):
    """Whether a call of the product's own client failed, and may have run."""
    client = UpstreamClient()
    try:
        call = TargetCall(address, "POST", "/x", "r1", b"{}", timeout_s=2.0)
        await client.send(call)
    except TargetError as exc:
        return exc.verdict is Verdict.MAY_HAVE_RUN
    finally:
        await client.close()
    return False


async def get_session(address):
    """Whether a plain call failed."""
    async with client_session() as session:
        try:
            async with session.get(f"http://{address}/"):
                return False
        except aiohttp.ClientError:
            return True


async def delete_stored(address):
    """Whether a write to the users' store failed, and may have had an effect."""
    async with client_session() as session:
        store = platform.ObjectStore(session, address)
        return is_unknown(await store.delete(platform.LEASES, "l1", "1"))


async def delete_object(address):
    """Whether a write to the product's store failed, and may have had an effect."""
    async with client_session() as session:
        store = PlatformClient(session, address, "tests")
        return is_unknown(await store.delete(DOCUMENT, "d1", "1"))


def is_unknown(result):
    return isinstance(result, Err) and result.err_value.verdict is Verdict.MAY_HAVE_RUN


CLIENTS = (fetch_control, send_upstream, get_session, delete_stored, delete_object)


@then("each client fails on an answer with one of these heads")
def check_clients(context):
    cells = itertools.product(heads(context.table), CLIENTS, WAYS)
    check_cells([run_client(*cell) for cell in cells])


async def run_client(head, client, way):
    target = HeadTarget([head], way)
    await target.start()
    try:
        failed = await client(target.address)
    finally:
        await target.stop()
    right = failed and target.runs == 1
    return "" if right else f"{head}, {client.__name__}, {way}"
