"""Injects the faults of a trace into a replay."""

from __future__ import annotations

import math
from collections import defaultdict
from typing import TYPE_CHECKING

from marjoramstage.bench.trace import FaultLine
from marjoramstage.protocol.events import InstanceGone

if TYPE_CHECKING:
    from marjoramstage.bench.driver import Replay

# Time after which the other instances learn that an instance was killed.
DEATH_NOTICED_S = 3.0
# Delay of an order if the fault gives none.
ORDER_DELAY_S = 5.0
IDLE_CHECK_S = 0.1


class Faults:
    """Starts and ends faults; the method ``_KIND`` starts a fault of that kind."""

    def __init__(self, replay: Replay):
        self._replay = replay
        self._order_delays: dict[str, list[float]] = defaultdict(list)

    def begin(self, line: FaultLine) -> None:
        """Start a fault; it ends after ``for_ms``."""
        getattr(self, f"_{line.fault}")(line.what, _seconds(line.for_ms))

    def order_delay_s(self, target: str) -> float | None:
        """Return the delay of the next order to a target.

        Infinity stands for a lost order, None for one without a fault.
        """
        delays = self._order_delays[target]
        return delays.pop(0) if delays else None

    def _after(self, delay_s: float | None, func, *args) -> None:
        if delay_s is not None:
            self._replay.loop.after(delay_s, func, *args)

    def _kill_target(self, what: str, for_s: float | None) -> None:
        fake = self._replay.targets[what]
        if not fake.alive:
            return
        fake.kill()
        self._replay.list_target(fake, leaving=False)
        self._after(for_s, self._restart_target, what)

    def _restart_target(self, what: str) -> None:
        fake = self._replay.targets[what]
        fake.restart()
        self._replay.list_target(fake, leaving=False)

    def _leave_target(self, what: str, for_s: float | None) -> None:
        fake = self._replay.targets[what]
        fake.leave()
        self._replay.list_target(fake, leaving=True)
        self._after(for_s, self._stop_when_idle, what)

    def _stop_when_idle(self, what: str) -> None:
        fake = self._replay.targets[what]
        if not fake.idle:
            self._after(IDLE_CHECK_S, self._stop_when_idle, what)
            return
        fake.kill()
        self._replay.list_target(fake, leaving=False)

    def _freeze_instance(self, what: str, for_s: float | None) -> None:
        inst = self._replay.instances.by_name[what]
        inst.frozen = True
        self._after(for_s, self._thaw_instance, what)

    def _thaw_instance(self, what: str) -> None:
        inst = self._replay.instances.by_name[what]
        if inst.alive and inst.frozen:
            self._replay.instances.thaw(inst)

    def _kill_instance(self, what: str, for_s: float | None) -> None:
        replay = self._replay
        inst = replay.instances.by_name[what]
        if not inst.alive:
            return
        replay.calls.instance_died(inst)
        replay.instances.kill(inst)
        self._after(DEATH_NOTICED_S, self._notice_death, what)
        self._after(for_s, self._restart_instance, what)

    def _notice_death(self, what: str) -> None:
        replay = self._replay
        if replay.instances.by_name[what].alive:
            return
        for inst in replay.instances.all:
            replay.instances.post_all(inst, InstanceGone(what))

    def _restart_instance(self, what: str) -> None:
        inst = self._replay.instances.by_name[what]
        self._replay.instances.restart(inst)
        self._replay.send_initial_state(inst)

    def _cut(self, what: str, for_s: float | None) -> None:
        self._replay.links.cut(what)
        self._after(for_s, self._heal, what, None)

    def _heal(self, what: str, for_s: float | None) -> None:
        self._replay.links.heal(what)

    def _platform_down(self, what: str, for_s: float | None) -> None:
        self._replay.platform.down = True
        self._after(for_s, self._platform_up, what, None)

    def _platform_slow(self, what: str, for_s: float | None) -> None:
        self._replay.platform.slow = True
        self._after(for_s, self._platform_up, what, None)

    def _platform_up(self, what: str, for_s: float | None) -> None:
        self._replay.platform.down = False
        self._replay.platform.slow = False

    def _lose_answer(self, what: str, for_s: float | None) -> None:
        self._replay.platform.answers_to_lose += 1

    def _lose_order(self, what: str, for_s: float | None) -> None:
        self._order_delays[what].append(math.inf)

    def _delay_order(self, what: str, for_s: float | None) -> None:
        delay_s = ORDER_DELAY_S if for_s is None else for_s
        self._order_delays[what].append(delay_s)

    def _apply(self, what: str, for_s: float | None) -> None:
        self._replay.accept(what)


def _seconds(time_ms: float | None) -> float | None:
    return None if time_ms is None else time_ms / 1000.0
