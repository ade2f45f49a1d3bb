"""Decides which models and adapters the targets of a service hold.

Answers the load of a service whose models do not all fit: busy models have
several copies, the others take turns in what room is left. Pure: time and
what is known come in, orders go out.
"""

from __future__ import annotations

import math
from collections import Counter, deque
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from functools import cached_property

from marjoramstage.coordination.stock import UNLOAD_S, Presence, Stock
from marjoramstage.protocol.control import Order
from marjoramstage.state.fleet import FleetTarget, Item
from marjoramstage.state.routes import EngineSpec

# Times in seconds, rates a second.
PLAN_EVERY_S = 0.1
RETIRE_S = 0.12
LONGEST_RETIRE_S = 0.5
RETIRE_ADAPTER_S = 0.08
ADAPTER_S = 0.06
MIN_STAY_S = 1.5
SECOND_COPY_PER_S = 3.0
ACTIVE_PER_S = 0.7
SHIFT_EVERY_S = 12.0
RISE_SHARE = 0.4
LONGEST_RUN_S = 3.0
WAITING_NEED = 0.25
WAITING_PRESSING_NEED = 1.0
TURN_MARGIN = 1.0
IDLE_WEIGHT = 20.0
PRESSING_PER_S = 0.003
LOADS_EXTRA = 2

# Part of a target's slots that one model should take there at most.
WANTED_SHARE = 0.3

# A further copy is fetched from the weight store only over this part.
FETCH_SHARE = 0.4

# What copies are worth against each other, in requests a second that miss. A
# further copy of a crowded model takes the place of one that is missed less,
# never that of the last copy of a busy model that can't wait.
FIRST_PRESSING_NEED = 30.0
LAST_COPY_VALUE = 20.0
MOST_FURTHER_NEED = 18.0
CROWDED_VALUE = 6.0
CROWDED_POWER = 2.0
SECOND_COPY_NEED = 2.0
SECOND_COPY_VALUE = 1.5
MOST_LOOSE_NEED = 10.0
RUN_VALUE = 0.15

# In seconds, for each model that a target keeps on its disk: one more drives
# out another that would come back there.
HOME_S = 0.3

# A new copy is of use for about this long.
USED_FOR_S = 8.0

# Time until the only request of a model at a target ends.
RUN_S = 2.0


@dataclass(frozen=True)
class Need:
    """What is known of the demand for the items of a service.

    Attributes
    ----------
    waiting : Mapping
        Requests that wait for an item now.
    running : Mapping
        Requests at targets now, by target and item.
    fast_rates, slow_rates : Mapping
        Requests a second for each model, over a short and a long time.
    pressing_rates : Mapping
        Those that a load would make late, over a very long time.
    unreached : frozenset of str
        Targets that several instances could not connect to lately.
    """

    waiting: Mapping[Item, int] = field(default_factory=dict)
    running: Mapping[tuple[str, Item], int] = field(default_factory=dict)
    fast_rates: Mapping[Item, float] = field(default_factory=dict)
    slow_rates: Mapping[Item, float] = field(default_factory=dict)
    pressing_rates: Mapping[Item, float] = field(default_factory=dict)
    unreached: frozenset[str] = frozenset()

    def rate(self, item: Item) -> float:
        """Return the requests a second for a model just now."""
        return self.fast_rates.get(item, 0.0)

    def slow_rate(self, item: Item) -> float:
        """Return the requests a second for a model over a longer time."""
        return self.slow_rates.get(item, 0.0)

    def is_pressing(self, item: Item) -> bool:
        """Whether a miss costs more than a wait; taken for so until seen."""
        if item not in self.slow_rates:
            return True
        return self.pressing_rates.get(item, 0.0) >= PRESSING_PER_S

    def is_active(self, item: Item) -> bool:
        """Whether a model that can't wait is asked for all the time."""
        return self.rate(item) >= ACTIVE_PER_S and self.is_pressing(item)

    def at(self, target: str) -> int:
        """Return all requests at a target."""
        return self._by_target[target]

    def of_model(self, model: str) -> int:
        """Return all requests for a model and its adapters."""
        return self._by_model[model]

    def of_model_at(self, target: str, model: str) -> int:
        """Return the requests for a model and its adapters at a target."""
        return self._by_both[target, model]

    @cached_property
    def _by_target(self) -> Counter[str]:
        found: Counter[str] = Counter()
        for (target, _), count in self.running.items():
            found[target] += count
        return found

    @cached_property
    def _by_model(self) -> Counter[str]:
        found: Counter[str] = Counter()
        for (_, item), count in self.running.items():
            found[item.model] += count
        return found

    @cached_property
    def _by_both(self) -> Counter[tuple[str, str]]:
        found: Counter[tuple[str, str]] = Counter()
        for (target, item), count in self.running.items():
            found[target, item.model] += count
        return found

    @cached_property
    def waiting_by_model(self) -> Counter[str]:
        """Return the requests that wait for a model or its adapters."""
        found: Counter[str] = Counter()
        for item, count in self.waiting.items():
            found[item.model] += count
        return found


def _crowded_value(crowding: float) -> float:
    """Return what a copy is worth whose lack leaves the others so crowded."""
    return min(CROWDED_VALUE * crowding**CROWDED_POWER, MOST_FURTHER_NEED)


def _drain_s(runs: int) -> float:
    """Return how long an unload is likely to wait for the requests there."""
    return RUN_S * (1.0 + math.log(runs)) if runs else 0.0


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
    ask_from_s : float
        When reports of targets show what an earlier holder ordered last.
    """

    def __init__(self, spec: EngineSpec, load_rate: LoadRate, ask_from_s: float = 0.0):
        self.spec = spec
        self._ask_from_s = ask_from_s
        self.stocks: dict[str, Stock] = {}
        self._load_rate = load_rate
        self._planned: dict[str, Item] = {}
        self._turns_s: dict[Item, float] = {}
        self._down: frozenset[str] = frozenset()
        self._run_s = 0.0
        self._next_fetch_s = 0.0
        self._plan_due_s = 0.0
        self._idle_value = LAST_COPY_VALUE

    def follow(self, targets: Iterable[FleetTarget], now_s: float) -> None:
        """Take in the targets that there are."""
        found = {target.name: target for target in targets}
        for name in [name for name in self.stocks if name not in found]:
            del self.stocks[name]
            self._planned.pop(name, None)
        for name, target in found.items():
            stock = self.stocks.get(name)
            if stock is None or stock.target.incarnation != target.incarnation:
                self.stocks[name] = Stock(target, self.spec, self._ask_from_s)
                self._planned.pop(name, None)
            else:
                stock.target = target

    def step(self, need: Need, now_s: float) -> list[Order]:
        """Return the orders to send now; each is in its target's book."""
        for stock in self.stocks.values():
            stock.tick(now_s)
        for name, item in need.running:
            if name in self.stocks:
                self.stocks[name].touch(item, now_s)
        self._down = need.unreached
        if now_s >= self._plan_due_s:
            self._plan_due_s = now_s + PLAN_EVERY_S
            self._sum_up(need)
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
                unload_s = 0.0 if stock.fits(item) else UNLOAD_S
                found.append(stock.load_s(item) + unload_s)
        return min(found, default=self._turns_s.get(item))

    # Models

    def _plan_models(self, need: Need, now_s: float) -> None:
        """Choose a target for each model that needs a further copy."""
        self._turns_s.clear()
        for item in self._wanted_models(need):
            found = self._place_for(item, need, now_s)
            if found is None:
                self._turns_s[item] = self._turn_s(len(self._turns_s), need)
                continue
            stock, victims = found
            for victim in victims:
                stock.retire(victim, now_s)
            self._planned[stock.target.name] = item

    def _turn_s(self, ahead: int, need: Need) -> float:
        """Return when a model that no target can take now is likely to come.

        Models that can wait take turns in the places that the others leave.
        """
        loose = sum(
            not need.is_pressing(item)
            for stock in self._usable()
            for item in stock.models()
        )
        disk_load_s = max(model.disk_load_s for model in self.spec.models.values())
        stay_s = MIN_STAY_S + UNLOAD_S + disk_load_s
        return (ahead + 1) * TURN_MARGIN * stay_s / max(1, loose)

    def _wanted_models(self, need: Need) -> list[Item]:
        """Return the models that lack a copy, the most needed first."""
        lacking: list[tuple[float, Item]] = []
        for name in self.spec.models:
            item = Item(name)
            worth = self._need_of(item, need)
            if worth > 0:
                lacking.append((worth, item))
        return [item for _, item in sorted(lacking, key=lambda pair: -pair[0])]

    def _need_of(self, item: Item, need: Need) -> float:
        """Return what one more copy of a model is worth; 0 if it needs none."""
        waiting = need.waiting_by_model[item.model]
        copies = self._copies(item) + self._coming(item)
        if copies == 0:
            if not waiting:
                return 0.0
            if need.is_active(item):
                return FIRST_PRESSING_NEED + waiting
            each = WAITING_PRESSING_NEED if need.is_pressing(item) else WAITING_NEED
            need_now = need.slow_rate(item) + each * waiting
            return min(need_now, MOST_LOOSE_NEED)
        crowding = self._crowding(item, need, copies)
        if crowding > 1.0:
            return _crowded_value(crowding)
        if copies < 2 and need.rate(item) >= SECOND_COPY_PER_S:
            return SECOND_COPY_NEED
        return 0.0

    def _crowding(self, item: Item, need: Need, copies: int) -> float:
        """Return the load of each copy of a model; over 1 there are too few."""
        rising = need.rate(item) * self._run_s
        asked = max(need.of_model(item.model), rising)
        asked += need.waiting_by_model[item.model]
        return asked / (copies * WANTED_SHARE * self.spec.slots)

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
        return [
            s
            for s in self.stocks.values()
            if s.known and not s.target.leaving and s.target.name not in self._down
        ]

    def _place_for(
        self, item: Item, need: Need, now_s: float
    ) -> tuple[Stock, tuple[Item, ...]] | None:
        """Return the target where a load costs least, if it can begin now.

        A target that has the weights at hand and is busy for a moment is
        worth waiting for: a load from the weight store takes far longer.

        Returns
        -------
        tuple or None
            The target and the models that make way there.
        """
        worth = self._need_of(item, need)
        stocks = self._usable()
        near = [s for s in stocks if s.is_at_hand(item.model)]
        if not self._may_fetch(item, bool(near), need, now_s):
            stocks = near
        found = self._best_of(stocks, item, worth, need, now_s)
        if found is None or not self._is_idle(found[0]):
            return None
        return found

    def _best_of(
        self,
        stocks: list[Stock],
        item: Item,
        worth: float,
        need: Need,
        now_s: float,
    ) -> tuple[Stock, tuple[Item, ...]] | None:
        """Return the cheapest of some targets and what makes way there."""
        best: tuple[float, Stock, tuple[Item, ...]] | None = None
        for stock in stocks:
            if item in stock.items:
                continue
            victims = self._victims(stock, item, worth, need, now_s)
            if victims is None:
                continue
            delay_s = self._delay_s(stock, item, victims, need, now_s)
            cost = worth * delay_s / USED_FOR_S
            cost += need.at(stock.target.name) / self.spec.slots
            cost += sum(self._value(stock, v, need) for v in victims)
            if best is None or cost < best[0]:
                best = (cost, stock, victims)
        return best[1:] if best else None

    def _may_fetch(self, item: Item, near: bool, need: Need, now_s: float) -> bool:
        """Whether a load from the weight store is worth its long time.

        Models that can wait are fetched one at a time, and only where no
        target has them at hand.
        """
        if not self._load_rate.allows(now_s):
            return False
        if need.is_active(item):
            copies = self._copies(item)
            crowded = FETCH_SHARE / WANTED_SHARE
            return copies == 0 or self._crowding(item, need, copies) >= crowded
        return not near and now_s >= self._next_fetch_s

    def _is_idle(self, stock: Stock) -> bool:
        return stock.target.name not in self._planned and stock.pending is None

    def _delay_s(
        self,
        stock: Stock,
        item: Item,
        victims: tuple[Item, ...],
        need: Need,
        now_s: float,
    ) -> float:
        """Return how long it takes until a target can serve one more model."""
        delay_s = stock.load_s(item) + stock.busy_s(now_s)
        if not stock.is_at_hand(item.model):
            delay_s += HOME_S * len(stock.on_disk)
        planned = self._planned.get(stock.target.name)
        if planned is not None:
            delay_s += UNLOAD_S + stock.load_s(planned)
        name = stock.target.name
        runs = [need.of_model_at(name, victim.model) for victim in victims]
        return delay_s + max((_drain_s(count) for count in runs), default=0.0)

    def _victims(
        self, stock: Stock, item: Item, worth: float, need: Need, now_s: float
    ) -> tuple[Item, ...] | None:
        """Return the models that make room and are missed least.

        Returns
        -------
        tuple of Item or None
            Empty where there is room; None where what would make way is worth
            as much as ``item`` or more.
        """
        lack_mb = stock.memory_mb(item) - stock.free_mb()
        if lack_mb <= 0:
            return ()
        valued = []
        for found in stock.models():
            held = stock.items[found]
            if held.presence is not Presence.HELD or need.waiting.get(found):
                continue
            if now_s - held.since_s < MIN_STAY_S:
                continue
            valued.append((self._value(stock, found, need), found))
        valued.sort()
        for value, found in valued:
            if value < worth and stock.memory_mb(found) >= lack_mb:
                return (found,)
        chosen: list[Item] = []
        for value, found in valued:
            worth -= value
            lack_mb -= stock.memory_mb(found)
            chosen.append(found)
            if worth <= 0:
                return None
            if lack_mb <= 0:
                return tuple(chosen)
        return None

    def _value(self, stock: Stock, item: Item, need: Need) -> float:
        """Return what a copy is worth where it is: misses and cut capacity."""
        rate = need.rate(item)
        wait = RUN_VALUE * need.of_model_at(stock.target.name, item.model)
        copies = self._copies(item)
        if copies <= 1:
            if need.is_active(item):
                return LAST_COPY_VALUE + rate + wait
            if need.is_pressing(item):
                return self._idle_value + rate + wait
            return need.slow_rate(item) + wait
        crowding = self._crowding(item, need, copies - 1)
        value = _crowded_value(crowding)
        if copies == 2 and rate >= SECOND_COPY_PER_S:
            value = max(value, SECOND_COPY_VALUE)
        return value + wait

    def _sum_up(self, need: Need) -> None:
        """Work out what holds for all models in this step.

        An idle model that could rise is worth what would be missed while it
        is loaded, times how often one of its like rises.
        """
        rates = {name: need.rate(Item(name)) for name in self.spec.models}
        total = sum(rates.values())
        running = sum(n for (name, _), n in need.running.items() if name in self.stocks)
        self._run_s = min(LONGEST_RUN_S, running / total) if total > 1.0 else 0.0
        active = [n for n in rates if need.is_active(Item(n))]
        pressing = [n for n in rates if need.is_pressing(Item(n))]
        idle = max(1, len(pressing) - len(active))
        if not active:
            self._idle_value = LAST_COPY_VALUE
            return
        rise = sum(rates[n] for n in active) / len(active)
        load_s = max(model.disk_load_s for model in self.spec.models.values())
        missed = rise * (load_s + UNLOAD_S) * RISE_SHARE
        self._idle_value = IDLE_WEIGHT * missed / (SHIFT_EVERY_S * idle)

    def _next_for_model(
        self, stock: Stock, item: Item, need: Need, now_s: float
    ) -> Order | None:
        """Return the next order towards a planned load."""
        name = stock.target.name
        if stock.pending is not None or not stock.known:
            return None
        if stock.target.leaving or item in stock.items:
            self._drop_plan(stock)
            return None
        if stock.fits(item):
            del self._planned[name]
            if not stock.is_at_hand(item.model):
                if not self._load_rate.allows(now_s):
                    return None
                self._load_rate.begin(now_s)
                self._next_fetch_s = now_s + stock.load_s(item)
            return self._order(stock, item, True, now_s)
        retiring = [m for m in stock.models() if stock.is_retiring(m)]
        for found in retiring:
            retired_s = now_s - stock.items[found].since_s
            runs = need.of_model_at(name, found.model)
            if retired_s >= (LONGEST_RETIRE_S if runs else RETIRE_S):
                return self._order(stock, found, False, now_s)
        if not retiring:
            del self._planned[name]
        return None

    def _drop_plan(self, stock: Stock) -> None:
        """Give up a planned load; what was to make way stays."""
        del self._planned[stock.target.name]
        for item in stock.models():
            if stock.is_retiring(item):
                stock.stay(item)

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
