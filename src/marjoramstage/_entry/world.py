"""What an instance knows: routes, targets, loads, and who waits."""

from __future__ import annotations

import asyncio
import random
from collections import Counter
from collections.abc import Callable, Mapping

from marjoramstage._entry.events import EventLog
from marjoramstage.clock import Clock
from marjoramstage.coordination.demand_rates import DemandRates
from marjoramstage.coordination.dispatch import Dispatcher, Holdings, LoadBook, Wish
from marjoramstage.coordination.health import TargetHealth
from marjoramstage.coordination.line import Line
from marjoramstage.coordination.prefill import PrefillBook
from marjoramstage.coordination.retries import SharedBudget
from marjoramstage.protocol.peers import FleetView
from marjoramstage.state.boot import Boot
from marjoramstage.state.fleet import Fleet, FleetTarget, Item
from marjoramstage.state.routes import RouteTable

SERVE_EVERY_S = 0.01
RETURN_SLACK_S = 0.3


class World:
    """The state that the parts of one instance share.

    Attributes
    ----------
    table : RouteTable or None
        The routes in force; None until the first is known.
    listed : bool
        The targets have been listed at least once.
    stopping : bool
        A stop was asked for.
    stopping_s : float
        When the stop was asked for.
    closed : bool
        No more requests are taken.
    """

    def __init__(self, boot: Boot, clock: Clock, events: EventLog):
        self.boot = boot
        self.clock = clock
        self.events = events
        self.table: RouteTable | None = None
        self.fleet = Fleet()
        self.listed = False
        self.stopping = False
        self.stopping_s = 0.0
        self.closed = False
        self.holdings = Holdings()
        self.loads = LoadBook()
        self.health = TargetHealth()
        self.prefill = PrefillBook()
        self.demand = DemandRates()
        self.peers: tuple[str, ...] = ()
        self.on_wanted: Callable[[], None] = lambda: None
        self.on_prompt: Callable[[], None] = lambda: None
        self._returns: list[tuple[float, str, Item]] = []
        self._budgets: dict[str, SharedBudget] = {}
        self._instances = 0
        self._view: tuple[str, int, int] = ("", 0, 0)
        self._coming: tuple[float, Mapping[str, int]] = (0.0, {})
        self._dispatcher = Dispatcher(
            boot.data_centre,
            self.holdings,
            self.loads,
            self.health,
            self.prefill,
            random.Random(),
        )
        self.line = Line(self.take)
        self._serve_handle: asyncio.TimerHandle | None = None

    @property
    def ready(self) -> bool:
        """Whether requests can be served."""
        return self.table is not None and self.listed and not self.stopping

    def take(self, wish: Wish) -> FleetTarget | None:
        """Return a target with room and take up a place there."""
        now_s = self.clock.now()
        targets = self.fleet.of_service(wish.service)
        target = self._dispatcher.choose(wish, targets, now_s)
        if target is None:
            return None
        self.loads.begin(target.name, wish.item)
        if wish.item is not None:
            self.prefill.sent(target.name, wish.tokens, now_s)
            self.on_prompt()
        return target

    def give_back(self, target: FleetTarget, wish: Wish) -> None:
        """Free a place at a target."""
        self.loads.end(target.name, wish.item)
        self.changed()

    def able(self, wish: Wish) -> list[FleetTarget]:
        """Return the targets that hold what is wished for, with room or not."""
        targets = self.fleet.of_service(wish.service)
        return self._dispatcher.able(wish, targets, self.clock.now())

    def changed(self) -> None:
        """Let those that wait try again, soon and not too often."""
        if self._serve_handle is None and len(self.line):
            loop = asyncio.get_running_loop()
            self._serve_handle = loop.call_later(SERVE_EVERY_S, self._serve)

    def budget(self, service: str) -> SharedBudget:
        """Return this instance's part of a service's budget of repeats."""
        found = self._budgets.get(service)
        if found is None:
            bounds = self.boot.bounds
            found = self._budgets[service] = SharedBudget(
                bounds.repeat_ratio, bounds.repeat_extra, bounds.repeat_window_s
            )
            if self._instances:
                found.instances = self._instances
        return found

    def accept(self, table: RouteTable) -> None:
        """Take in a version of the routes; an older one changes nothing."""
        if self.table is not None and table.version <= self.table.version:
            return
        before = self.table.version if self.table else None
        self.table = table
        self.events.event(
            "routes accepted",
            version=table.version,
            before=before,
            routes=len(table.routes),
        )
        self.changed()

    def put_target(self, target: FleetTarget) -> None:
        """Take in a target or a change of it."""
        before = self.fleet.targets.get(target.name)
        self.fleet.put(target)
        if before is None or before.leaving != target.leaving:
            self.events.event(
                "target known",
                target=target.name,
                service=target.service,
                address=target.address,
                leaving=target.leaving,
            )
        self.changed()

    def remove_target(self, name: str, settled: bool) -> None:
        """Take out a target, or mark it when the list can't be trusted yet."""
        self.fleet.remove(name, settled)
        if settled:
            self.health.forget(name)
            self.prefill.forget(name)
        self.events.event("target gone", target=name, settled=settled)

    def saw(self, view: FleetView) -> None:
        """Take in the word of the holder of the placement lease."""
        order = (view.holder, view.fence, view.sequence)
        if order[1:] <= self._view[1:]:
            return
        if order[0] != self._view[0]:
            self.events.event("holder changed", holder=order[0], fence=view.fence)
        self._view = order
        self._instances = max(1, view.instances)
        self.peers = view.peers
        for budget in self._budgets.values():
            budget.instances = self._instances
        running = {}
        for held in view.held:
            items = frozenset(_item(text) for text in held.items)
            self.holdings.tell(held.target, held.incarnation, items)
            running[held.target] = held.running_elsewhere
        self.loads.set_elsewhere(running)
        self._coming = (self.clock.now(), view.coming_ms)
        self.changed()

    def prompts_told(self, tokens: Mapping[str, int]) -> None:
        """Take in the prompts that another instance sent to known targets."""
        known = {t: n for t, n in tokens.items() if t in self.fleet.targets}
        self.prefill.told(known, self.clock.now())

    def coming_s(self, service: str, item: Item) -> float | None:
        """Return when an item is likely to be at a target; None if unknown."""
        told_s, coming = self._coming
        coming_ms = coming.get(f"{service} {item}")
        if coming_ms is None:
            return None
        return max(0.0, told_s + coming_ms * 0.001 - self.clock.now())

    def note_return(self, wish: Wish, after_s: float) -> None:
        """Note that a refused request is likely to come back for its item."""
        if wish.item is not None:
            until_s = self.clock.now() + after_s + RETURN_SLACK_S
            self._returns.append((until_s, wish.service, wish.item))

    def wanted(self) -> Counter[tuple[str, Item]]:
        """Return the requests that wait for an item, or will come back for it."""
        now_s = self.clock.now()
        self._returns = [entry for entry in self._returns if entry[0] > now_s]
        found = self.line.waiting()
        for _, service, item in self._returns:
            found[service, item] += 1
        return found

    def unreached(self) -> tuple[str, ...]:
        """Return the targets that could not be connected to lately."""
        now_s = self.clock.now()
        names = self.fleet.targets
        return tuple(n for n in names if not self.health.reachable(n, now_s))

    def _serve(self) -> None:
        self._serve_handle = None
        self.line.serve()
        read_s = self.prefill.next_free_s(self.clock.now())
        if len(self.line) and read_s is not None and self._serve_handle is None:
            loop = asyncio.get_running_loop()
            delay_s = max(read_s, SERVE_EVERY_S)
            self._serve_handle = loop.call_later(delay_s, self._serve)


def _item(text: str) -> Item:
    model, _, adapter = text.partition("/")
    return Item(model, adapter)
