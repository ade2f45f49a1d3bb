"""Steps about instances that hold back the same requests."""

import asyncio

from behave import given, then, when

from features.memory_platform import MemoryPlatform
from features.notice_machine import make_state
from features.virtual_asyncio import VirtualTimeLoop
from marjoramstage import platform
from marjoramstage._entry.prometheus_metrics import PrometheusMetrics
from marjoramstage._entry.quarantine_store import QuarantineStore
from marjoramstage._entry.quarantine_sync import QuarantineSync
from marjoramstage._entry.view_sender import MAX_BROADCAST_PEERS
from marjoramstage.coordination.crash_evidence import CrashedRequest, TargetStart
from marjoramstage.protocol.objects import PlatformObject
from marjoramstage.protocol.peers import decode, encode

DELAY_S = 0.02
CRASH_GAP_S = 1.0
GARBLED = ({}, {"parts": "c"}, {"parts": [1]}, {"parts": []}, None)


class FakeController:
    """What an instance knows of the lease; the first instance holds it."""

    def __init__(self, fleet, number):
        self._fleet = fleet
        self.may_send_orders = number == 0
        self.holder_address = "0"

    @property
    def reporting_addresses(self):
        return tuple(str(number) for number in range(len(self._fleet.syncs)))


class Fleet:
    """Instances on one event loop whose messages take a moment."""

    def __init__(self, count):
        self.loop = VirtualTimeLoop()
        self.store = MemoryPlatform()
        self.deaf = set()
        self.sent = 0
        self.syncs, self.states, self._tasks = [], [], []
        self.count = count
        self.run(self._start_all())

    def run(self, coro):
        return self.loop.run_until_complete(coro)

    async def _start_all(self):
        for number in range(self.count):
            self.syncs.append(None)
            self.states.append(None)
            self._tasks.append(None)
            self.start(number)
        await asyncio.sleep(0.1)

    def start(self, number):
        """Start an instance, or start it again without what it knew."""
        if self._tasks[number] is not None:
            self._tasks[number].cancel()
        state = make_state(self.loop)
        if self.count <= MAX_BROADCAST_PEERS:
            state.peers = tuple(str(n) for n in range(self.count))

        def send(addresses, message):
            for address in addresses:
                if address != str(number):
                    self._deliver(int(address), message)

        sync = QuarantineSync(
            state,
            QuarantineStore(state, self.store),
            FakeController(self, number),
            PrometheusMetrics(),
            str(number),
            send,
        )
        self.states[number], self.syncs[number] = state, sync
        self._tasks[number] = self.loop.create_task(sync.run())

    def close(self):
        for task in self._tasks:
            task.cancel()
        self.run(asyncio.sleep(0))
        self.loop.close()

    def _deliver(self, number, message):
        self.sent += 1
        if number in self.deaf:
            return
        copy = decode(encode(message))
        self.loop.call_later(DELAY_S, lambda: self.syncs[number].receive(copy))

    def holding(self, part):
        now_s = self.loop.time()
        return [
            state.quarantine.find((part,), now_s) is not None for state in self.states
        ]


async def crash(fleet, observers):
    for number in range(3):
        await asyncio.sleep(CRASH_GAP_S)
        now_s = fleet.loop.time()
        req = CrashedRequest(f"r{number}", (f"p{number}", "c"), now_s - 0.1)
        start = TargetStart(f"t{number}", 1)
        fleet.syncs[observers[number]].record_crash(start, now_s, (req,))


@given("{count:d} instances and a store that is {store}")
def start_fleet(context, count, store):
    context.fleet = Fleet(count)
    context.add_cleanup(context.fleet.close)
    context.fleet.store.down = store == "down"


@when("three targets crash under requests with part c, seen by {seen}")
def crash_three(context, seen):
    last = context.fleet.count - 1
    observers = (1, 1, 1) if seen == "one instance" else (1, 0, last)
    context.fleet.run(crash(context.fleet, observers))
    context.crashed_s = context.fleet.loop.time()


@when(
    "an answer on c that was sent before the end of it goes well at the last instance"
)
def go_well(context):
    began_s = context.crashed_s - CRASH_GAP_S / 2
    context.fleet.run(asyncio.sleep(0.5))
    context.fleet.syncs[-1].record_harmless(("c",), began_s)


@when("after 2 s {who}, the store {store}")
def change(context, who, store):
    fleet = context.fleet
    if who.startswith("one missed"):
        fleet.deaf.add(2)
    fleet.run(asyncio.sleep(2.0))
    fleet.deaf.clear()
    fleet.store.down = store == "down"
    if who.startswith("one missed"):
        return
    numbers = [2] if who.startswith("one") else range(fleet.count)

    async def start_again():
        for number in numbers:
            fleet.start(number)

    fleet.run(start_again())


@when("the store holds quarantines that are garbled")
def garble(context):
    for number, spec in enumerate(GARBLED):
        obj = PlatformObject(platform.QUARANTINES, f"q{number}", spec, "1")
        context.fleet.store.objects[platform.QUARANTINES, obj.name] = obj


@then("within 2 s of the last crash all instances hold back requests with c")
def check_all(context):
    context.fleet.run(
        asyncio.sleep(2.0 - (context.fleet.loop.time() - context.crashed_s))
    )
    assert all(context.fleet.holding("c")), context.fleet.holding("c")
    others = ("p0", "p1", "p2")
    assert not any(any(context.fleet.holding(part)) for part in others)


@then("within 3 s all instances hold back requests with c")
def check_all_later(context):
    context.fleet.run(asyncio.sleep(3.0))
    assert all(context.fleet.holding("c")), context.fleet.holding("c")


@then("within 2 s of the last crash no instance holds back requests with c")
def check_none_soon(context):
    context.fleet.run(
        asyncio.sleep(2.0 - (context.fleet.loop.time() - context.crashed_s))
    )
    check_none(context)


@then("no instance holds back requests with c")
def check_none(context):
    context.fleet.run(asyncio.sleep(1.0))
    assert not any(context.fleet.holding("c")), context.fleet.holding("c")


@then("nothing is in the store after 3 s more")
def check_store(context):
    context.fleet.run(asyncio.sleep(3.0))
    assert not context.fleet.store.objects, context.fleet.store.objects


@then("no more than {most:d} messages were sent")
def check_messages(context, most):
    assert context.fleet.sent <= most, context.fleet.sent
