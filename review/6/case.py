"""An entry of another writer that can't be read makes every instance hang."""

import asyncio
import json
import time

from world import BROKEN, HELD, NOT_RUN, Worker, World, config, main, route, service

# The pages allow an object of 1,048,576 bytes.
ENTRY_BYTES = 200_000
TIMEOUT_S = 1.0
LATER_S = 0.5
WATCH_S = 20.0


def odd_entry() -> str:
    """Return a document that was encoded twice and cut off."""
    listed = [{"name": f"m{n}", "version": 1, "adapters": []} for n in range(9000)]
    document = {"service": "booking", "state": "ready", "models": listed}
    return json.dumps(json.dumps(document))[:ENTRY_BYTES]


async def ask(world: World, number: int, waits: list[float | None]) -> None:
    """Send one ordinary request; record how long its answer took."""
    instance = world.instances[number % len(world.instances)]
    at_s = time.monotonic()
    request_id = world.next_id()
    reply = await instance.request("GET", "/look/", request_id, timeout_s=3.0)
    took_s = time.monotonic() - at_s
    waits.append(took_s if reply.status else None)
    world.record.write(
        f"{instance.name} {request_id}: {reply.status} after {took_s:.2f} s"
    )


async def play(world: World, trouble: bool) -> int:
    """Write the entry while ordinary clients are served."""
    routes = [route("look", "/look/", "safe", "booking")]
    await world.store.put("config", "main", config(3, routes, [service("booking")]))
    for name in ("i-one", "i-two"):
        await world.add_worker(Worker(name, "booking", world.store, world.record))
    await world.add_instances(3)
    await asyncio.sleep(3.0)
    waits: list[float | None] = []
    before = [ask(world, number, waits) for number in range(30)]
    await asyncio.gather(*before)
    if any(took_s is None for took_s in waits):
        return NOT_RUN
    waits.clear()
    if trouble:
        await world.store.put("servers", "i-odd", odd_entry())
        world.record.write(f"another writer leaves an entry of {ENTRY_BYTES} bytes")
    asked = []
    for number in range(int(WATCH_S / 0.1)):
        asked.append(world.spawn(ask(world, number, waits)))
        await asyncio.sleep(0.1)
    await asyncio.gather(*asked)
    late = [t for t in waits if t is None or t > TIMEOUT_S]
    never = [t for t in late if t is None or t > TIMEOUT_S + LATER_S]
    world.record.write(
        f"{len(waits)} requests; {len(late)} unanswered at the timeout of the route, "
        f"{len(never)} of them {LATER_S} s later"
    )
    running = [i.name for i in world.instances if i.process.returncode is None]
    world.record.write(f"running: {running}")
    return BROKEN if len(never) >= 20 and 2 * len(never) > len(late) else HELD


main(play)
