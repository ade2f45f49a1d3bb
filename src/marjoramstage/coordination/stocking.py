"""Decides which models and adapters the targets of a service hold.

Answers the load of a service whose models do not all fit: busy models have
several copies, the others take turns in what room is left. Pure: time and
what is known come in, orders go out.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field

from marjoramstage.coordination.demand_rates import Rates
from marjoramstage.coordination.stock import Presence, Stock
from marjoramstage.protocol.control import Order
from marjoramstage.state.fleet import FleetTarget, Item
from marjoramstage.state.routes import EngineSpec

RETIRE_S = 0.12
RETIRE_ADAPTER_S = 0.08
UNLOAD_S = 0.7
ADAPTER_S = 0.06
MIN_STAY_S = 1.0
BUSY_SHARE = 0.5
SPARE_SHARE = 0.25
SECOND_COPY_PER_S = 4.0
LOADS_EXTRA = 2


@dataclass(frozen=True)
class Need:
    """What is known of the demand for the items of a service.

    Attributes
    ----------
    waiting : Mapping
        Requests that wait for an item now.
    running : Mapping
        Requests at targets now, by target and item.
    """

    waiting: Mapping[Item, int] = field(default_factory=dict)
    running: Mapping[tuple[str, Item], int] = field(default_factory=dict)

    def at(self, target: str) -> int:
        """Return all requests at a target."""
        return sum(n for (name, _), n in self.running.items() if name == target)

    def of_model(self, model: str) -> int:
        """Return all requests for a model and its adapters."""
        return sum(n for (_, item), n in self.running.items() if item.model == model)

    def of_model_at(self, target: str, model: str) -> int:
        """Return the requests for a model and its adapters at a target."""
        return sum(
            n
            for (name, item), n in self.running.items()
            if name == target and item.model == model
        )


class LoadRate:
    """Bound on loads from the weight store in a sliding window."""

    def __init__(self, per_s: float, window_s: float, over: float):
        self._window_s = window_s
        self._most = max(1, int(per_s * window_s * over) + LOADS_EXTRA)
        self._begun: deque[float] = deque()

    def allows(self, now_s: float) -> bool:
        """Whether one more load may begin."""
        while self._begun and now_s - self._begun[0] > self._window_s:
            self._begun.popleft()
        return len(self._begun) < self._most

    def begin(self, now_s: float) -> None:
        """Note a load."""
        self._begun.append(now_s)


class Stocking:
    """Decisions for all targets of one service.

    Parameters
    ----------
    spec : EngineSpec
        Room and models of the service's targets.
    load_rate : LoadRate
        Shared bound on loads.
    """

    def __init__(self, spec: EngineSpec, load_rate: LoadRate):
        self.spec = spec
        self.stocks: dict[str, Stock] = {}
        self.rates = Rates()
        self._load_rate = load_rate
        self._planned: dict[str, Item] = {}

    def follow(self, targets: Iterable[FleetTarget], now_s: float) -> None:
        """Take in the targets that there are."""
        found = {target.name: target for target in targets}
        for name in [name for name in self.stocks if name not in found]:
            del self.stocks[name]
            self._planned.pop(name, None)
        for name, target in found.items():
            stock = self.stocks.get(name)
            if stock is None or stock.target.incarnation != target.incarnation:
                self.stocks[name] = Stock(target, self.spec)
                self._planned.pop(name, None)
            else:
                stock.target = target

    def note(self, item: Item, count: int, now_s: float) -> None:
        """Note requests for an item."""
        self.rates.add(item, count, now_s)
        if item.adapter:
            self.rates.add(item.base, count, now_s)
        for stock in self.stocks.values():
            stock.touch(item, now_s)
            stock.touch(item.base, now_s)

    def step(self, need: Need, now_s: float) -> list[Order]:
        """Return the orders to send now; each is in its target's book."""
        for stock in self.stocks.values():
            stock.tick(now_s)
        self._plan_models(need, now_s)
        orders = []
        for name, item in list(self._planned.items()):
            order = self._next_for_model(self.stocks[name], item, need, now_s)
            if order is not None:
                orders.append(order)
        orders += self._adapter_orders(need, now_s)
        orders += self._spare_orders(need, now_s)
        return orders

    def coming_s(self, item: Item, now_s: float) -> float | None:
        """Return when an item is likely to be there; None if nobody knows."""
        if item.adapter:
            if any(stock.holds(item.base) for stock in self._usable()):
                return ADAPTER_S
            base_s = self.coming_s(item.base, now_s)
            return None if base_s is None else base_s + ADAPTER_S
        found = []
        for stock in self._usable():
            if stock.is_coming(item):
                found.append(stock.expected_s(item, now_s))
            elif self._planned.get(stock.target.name) == item:
                model = self.spec.models[item.model]
                near = stock.is_kept_near(item.model)
                load_s = model.disk_load_s if near else model.load_s
                found.append(load_s + (0.0 if stock.fits(item) else UNLOAD_S))
        return min(found, default=None)

    # Models

    def _plan_models(self, need: Need, now_s: float) -> None:
        """Choose a target for each model that needs a further copy."""
        for item in self._wanted_models(need, now_s):
            stock = self._place_for(item, need, now_s)
            if stock is not None:
                self._planned[stock.target.name] = item

    def _wanted_models(self, need: Need, now_s: float) -> list[Item]:
        """Return the models that lack a copy, the most needed first."""
        lacking: list[tuple[float, Item]] = []
        for name in self.spec.models:
            item = Item(name)
            waiting = sum(n for i, n in need.waiting.items() if i.model == name)
            copies = self._copies(item)
            coming = self._coming(item)
            if copies + coming == 0:
                if waiting:
                    lacking.append((1000.0 + waiting, item))
                continue
            if coming:
                continue
            rate = self.rates.rate(item, now_s)
            running = need.of_model(name)
            if self._is_crowded(item, running, need):
                lacking.append((100.0 + running, item))
            elif copies < 2 and rate >= SECOND_COPY_PER_S:
                lacking.append((rate, item))
        return [item for _, item in sorted(lacking, key=lambda pair: -pair[0])]

    def _is_crowded(self, item: Item, running: int, need: Need) -> bool:
        """Whether every target with the model has most of its slots taken."""
        holders = [s for s in self._usable() if s.holds(item)]
        if not holders or running == 0:
            return False
        if running < BUSY_SHARE * self.spec.slots * len(holders):
            return False
        least = min(need.at(stock.target.name) for stock in holders)
        return least >= BUSY_SHARE * self.spec.slots

    def _copies(self, item: Item) -> int:
        return sum(1 for stock in self._usable() if stock.holds(item))

    def _coming(self, item: Item) -> int:
        planned = sum(1 for found in self._planned.values() if found == item)
        loading = [s for s in self._usable() if s.is_coming(item)]
        names = {s.target.name for s in loading}
        extra = sum(
            1 for n, found in self._planned.items() if found == item and n in names
        )
        return planned + len(loading) - extra

    def _usable(self) -> list[Stock]:
        return [s for s in self.stocks.values() if s.known and not s.target.leaving]

    def _place_for(self, item: Item, need: Need, now_s: float) -> Stock | None:
        """Return the target where a load costs least."""
        best: tuple[float, Stock] | None = None
        for stock in self._usable():
            if stock.target.name in self._planned or stock.pending is not None:
                continue
            if item in stock.items:
                continue
            cost = self._cost(stock, item, need, now_s)
            if cost is None:
                continue
            if best is None or cost < best[0]:
                best = (cost, stock)
        return best[1] if best else None

    def _cost(self, stock: Stock, item: Item, need: Need, now_s: float) -> float | None:
        """Return the cost of a load in seconds of waiting; None if it can't be."""
        model = self.spec.models[item.model]
        near = stock.is_kept_near(item.model)
        if not near and not self._load_rate.allows(now_s):
            return None
        load_s = model.disk_load_s if near else model.load_s
        crowd = need.at(stock.target.name) / self.spec.slots
        cost = load_s + crowd
        if stock.fits(item):
            return cost
        victim = self._victim(stock, item, need, now_s)
        if victim is None:
            return None
        return cost + self._value(stock, victim, need, now_s)

    def _victim(
        self, stock: Stock, item: Item, need: Need, now_s: float
    ) -> Item | None:
        """Return the model that is missed least, if it makes enough room."""
        best: tuple[float, Item] | None = None
        lack_mb = stock.memory_mb(item) - stock.free_mb()
        wanted = self._need_of(item, need, now_s)
        for found in stock.models():
            held = stock.items[found]
            if held.presence is not Presence.HELD or stock.memory_mb(found) < lack_mb:
                continue
            if now_s - held.since_s < MIN_STAY_S:
                continue
            if any(n for i, n in need.waiting.items() if i == found):
                continue
            value = self._value(stock, found, need, now_s)
            if value >= wanted:
                continue
            if best is None or value < best[0]:
                best = (value, found)
        return best[1] if best else None

    def _need_of(self, item: Item, need: Need, now_s: float) -> float:
        """Return what a copy of a model that lacks one is worth."""
        waiting = sum(n for i, n in need.waiting.items() if i.model == item.model)
        return 1.0 + waiting + self.rates.rate(item, now_s)

    def _value(self, stock: Stock, item: Item, need: Need, now_s: float) -> float:
        """Return what a copy is worth where it is: misses and cut capacity."""
        rate = self.rates.rate(item, now_s)
        others = [s for s in self._usable() if s is not stock and s.holds(item)]
        running_here = need.of_model_at(stock.target.name, item.model)
        wait = 0.05 * running_here
        if not others:
            return rate * 2.0 + wait
        free = sum(
            max(0.0, self.spec.slots * (1 - SPARE_SHARE) - need.at(s.target.name))
            for s in others
        )
        crowding = max(0.0, running_here - free)
        return 0.2 * rate / len(others) + wait + crowding

    def _next_for_model(
        self, stock: Stock, item: Item, need: Need, now_s: float
    ) -> Order | None:
        """Return the next order towards a planned load."""
        name = stock.target.name
        if stock.pending is not None or not stock.known:
            return None
        if stock.target.leaving or item in stock.items:
            del self._planned[name]
            return None
        if stock.fits(item):
            del self._planned[name]
            if not stock.is_kept_near(item.model):
                if not self._load_rate.allows(now_s):
                    return None
                self._load_rate.begin(now_s)
            return self._order(stock, item, True, now_s)
        for found in stock.models():
            held = stock.items[found]
            if held.presence is not Presence.RETIRING:
                continue
            if now_s - held.since_s < RETIRE_S:
                return None
            return self._order(stock, found, False, now_s)
        victim = self._victim(stock, item, need, now_s)
        if victim is None:
            del self._planned[name]
            return None
        stock.retire(victim, now_s)
        return None

    # Adapters

    def _adapter_orders(self, need: Need, now_s: float) -> list[Order]:
        orders = []
        wanted = [i for i, n in need.waiting.items() if i.adapter and n]
        for item in wanted:
            if any(s.holds(item) or s.is_coming(item) for s in self._usable()):
                continue
            order = self._adapter_order(item, need, now_s)
            if order is not None:
                orders.append(order)
        return orders

    def _adapter_order(self, item: Item, need: Need, now_s: float) -> Order | None:
        """Return the next order towards an adapter at the freest target."""
        ready = [
            s
            for s in self._usable()
            if s.pending is None
            and s.holds(item.base)
            and s.target.name not in self._planned
        ]
        ready.sort(key=lambda s: (not s.fits(item), need.at(s.target.name)))
        for stock in ready:
            if stock.fits(item):
                return self._order(stock, item, True, now_s)
            order = self._make_place(stock, need, now_s)
            if order is not None:
                return order
        return None

    def _spare_orders(self, need: Need, now_s: float) -> list[Order]:
        """Keep an adapter place free at each target that has none."""
        orders = []
        for stock in self._usable():
            if stock.pending is not None or stock.target.name in self._planned:
                continue
            if len(stock.adapters()) < self.spec.adapter_places:
                continue
            order = self._make_place(stock, need, now_s)
            if order is not None:
                orders.append(order)
        return orders

    def _make_place(self, stock: Stock, need: Need, now_s: float) -> Order | None:
        """Retire an adapter, or unload one that was retired long enough ago."""
        for item in stock.adapters():
            held = stock.items[item]
            if held.presence is not Presence.RETIRING:
                continue
            if now_s - held.since_s < RETIRE_ADAPTER_S:
                return None
            return self._order(stock, item, False, now_s)
        idle = self._idle_adapter(stock, need, now_s)
        if idle is not None:
            stock.retire(idle, now_s)
        return None

    def _idle_adapter(self, stock: Stock, need: Need, now_s: float) -> Item | None:
        """Return the adapter that was used longest ago and has no requests."""
        idle = []
        for item in stock.adapters():
            held = stock.items[item]
            if held.presence is not Presence.HELD or need.waiting.get(item):
                continue
            if need.running.get((stock.target.name, item)):
                continue
            if now_s - held.since_s < RETIRE_S:
                continue
            idle.append((held.used_s, item))
        return min(idle)[1] if idle else None

    def _order(self, stock: Stock, item: Item, load: bool, now_s: float) -> Order:
        order = Order(stock.target.name, item, load, order_count=stock.order_count)
        stock.sent(order, now_s)
        return order
