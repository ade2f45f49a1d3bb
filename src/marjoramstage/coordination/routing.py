"""The table of targets, and the cost of a request on each."""

from __future__ import annotations

import math
import random
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field, replace

import xxhash

from marjoramstage.coordination.circuit_breaker import CircuitBreaker
from marjoramstage.protocol.messages import (
    Item,
    Replica,
    Request,
    ResidentState,
    Target,
    TargetKind,
    TargetReport,
)
from marjoramstage.state.inventory import Inventory

SAMPLE_SIZE = 2
SCAN_SIZE = 8
# Weights of the cost of a target: another data centre, its load as a share of
# the request's service time, and the expected saving of a cached prefix.
REMOTE_COST_S = 0.003
LOAD_COST_FACTOR = 0.1
PREFIX_SAVING_FACTOR = 0.5
# Overnight work leaves 1/8 of a target's slots free.
OVERNIGHT_RESERVE_DIVISOR = 8
MAX_PAST_INCARNATIONS = 4


@dataclass(eq=False)
class TargetView:
    """State of a target as known to this instance.

    Attributes
    ----------
    in_flight : int
        Attempts of this instance on the target.
    ready : frozenset of Item
        Items that the target reported as ready.
    limit, overnight_limit : int
        Attempts that this instance may have there, and up to which it may
        dispatch overnight work.
    limit_epoch, limit_computed_at_s
        Epoch of the peer loads and time at which the limits were computed.
    in_flight_at_report : int
        Value of ``in_flight`` when the latest report arrived.
    blocked_until_s : float
        No new work before this time, because the target was full.
    excluded_until_s : dict
        Items not to be used on the target before a time: it refused them as
        not resident although it reported them, or is about to unload them.
    adapter_asked_at_s : float
        When an adapter was last requested there.
    announced_leaving, listed_leaving : bool
        Whether its own reports or peers, or else its listing, say it leaves.
    past_incarnations : tuple of str
        Earlier incarnations, whose late reports are ignored.
    """

    target: Target
    report: TargetReport | None = None
    in_flight: int = 0
    ready: frozenset[Item] = field(default_factory=frozenset)
    limit: int = 0
    overnight_limit: int = 0
    limit_epoch: int = -1
    limit_computed_at_s: float = 0.0
    in_flight_at_report: int = 0
    blocked_until_s: float = 0.0
    excluded_until_s: dict[Item, float] = field(default_factory=dict)
    breaker: CircuitBreaker = field(default_factory=CircuitBreaker)
    adapter_asked_at_s: float = -math.inf
    announced_leaving: bool = False
    listed_leaving: bool = False
    past_incarnations: tuple[str, ...] = ()

    @property
    def name(self) -> str:
        """Name of the target."""
        return self.target.name

    @property
    def free_slots(self) -> int:
        """Slots that this instance may still use."""
        return self.limit - self.in_flight

    def holds(self, items: tuple[Item, ...], now_s: float) -> bool:
        """Return whether all ``items`` are ready and not excluded."""
        for item in items:
            if item not in self.ready:
                return False
            if self.excluded_until_s.get(item, 0.0) > now_s:
                return False
        return True

    def accepts_work(self, now_s: float) -> bool:
        """Return whether the target may be sent any new work."""
        if self.target.leaving or self.report is None:
            return False
        return self.blocked_until_s <= now_s and self.breaker.allows_attempt(now_s)

    def overnight_reserve(self) -> int:
        """Return the number of slots that overnight work must leave free."""
        return max(1, self.report.slots // OVERNIGHT_RESERVE_DIVISOR)

    def update_leaving(self) -> None:
        """Update ``target.leaving`` from the announcement and the listing."""
        leaving = self.announced_leaving or self.listed_leaving
        if self.target.leaving != leaving:
            self.target = replace(self.target, leaving=leaving)


class TargetTable:
    """The targets known to an instance, indexed by the items they hold."""

    def __init__(self):
        self.views: dict[str, TargetView] = {}
        self._by_item: dict[Item, list[TargetView]] = {}
        self._versions: dict[str, set[str]] = {}
        self._services: list[TargetView] = []

    def holders(self, items: tuple[Item, ...]) -> Sequence[TargetView]:
        """Return the targets that hold the last of ``items``.

        Without items, returns the targets that run services.
        """
        if not items:
            return self._services
        return self._by_item.get(items[-1], ())

    def served_version(self, name: str, wanted: str) -> str:
        """Return the version of a model or adapter that serves new requests.

        This is the wanted version once a target holds it, and until then the
        version with the most copies.
        """
        versions = self._versions.get(name)
        if not versions or wanted in versions:
            return wanted

        def copies(version: str) -> tuple[int, str]:
            return len(self._by_item[Item(name, version)]), version

        return max(versions, key=copies)

    def upsert(self, target: Target) -> None:
        """Add a target or update it from its listing."""
        view = self.views.get(target.name)
        if view is None:
            view = TargetView(target)
            self.views[target.name] = view
            if target.kind is TargetKind.SERVICE:
                self._services.append(view)
        view.target = target
        view.listed_leaving = target.leaving
        view.announced_leaving = view.announced_leaving or target.leaving
        view.update_leaving()

    def remove(self, name: str) -> None:
        """Remove a target."""
        view = self.views.pop(name, None)
        if view is None:
            return
        self._index(view, frozenset())
        if view in self._services:
            self._services.remove(view)

    def mark_leaving(self, name: str) -> None:
        """Stop new work for a target in its current incarnation."""
        view = self.views.get(name)
        if view is not None:
            view.announced_leaving = True
            view.update_leaving()

    def update_report(self, report: TargetReport) -> TargetView | None:
        """Apply a report; return the view, or None if it is outdated."""
        view = self.views.get(report.target)
        if view is None or report.incarnation in view.past_incarnations:
            return None
        known = view.report
        if known is not None and known.incarnation == report.incarnation:
            if known.sequence >= report.sequence:
                return None
        elif known is not None:
            self._restarted(view, known.incarnation)
        view.report = report
        view.in_flight_at_report = view.in_flight
        view.limit_epoch = -1
        ready = frozenset(
            resident.item
            for resident in report.residents
            if resident.state is ResidentState.READY
        )
        if ready != view.ready:
            self._index(view, ready)
        if report.leaving:
            self.mark_leaving(report.target)
        return view

    def exclude_copies(self, copies: tuple[Replica, ...], until_s: float) -> None:
        """Stop new work for copies about to be unloaded, until ``until_s``."""
        for copy in copies:
            view = self.views.get(copy.target)
            if view is not None:
                view.excluded_until_s[copy.item] = until_s

    def _restarted(self, view: TargetView, incarnation: str) -> None:
        """Reset the state of a target that restarted."""
        view.past_incarnations = (*view.past_incarnations, incarnation)[
            -MAX_PAST_INCARNATIONS:
        ]
        view.announced_leaving = False
        view.breaker = CircuitBreaker()
        view.excluded_until_s = {}
        view.update_leaving()

    def _index(self, view: TargetView, ready: frozenset[Item]) -> None:
        for item in view.ready - ready:
            views = self._by_item[item]
            views.remove(view)
            if not views:
                del self._by_item[item]
                self._versions[item.name].discard(item.version)
        for item in ready - view.ready:
            self._by_item.setdefault(item, []).append(view)
            self._versions.setdefault(item.name, set()).add(item.version)
        view.ready = ready


def required_items(
    request: Request, inventory: Inventory, table: TargetTable
) -> tuple[Item, ...]:
    """Return the items that a target must hold to serve ``request``.

    A new version is used once a target has it ready.

    Raises
    ------
    KeyError
        The inventory no longer has the model or the adapter.
    """
    if request.kind is TargetKind.SERVICE:
        return ()
    model = inventory.model_by_name[request.model]
    version = request.version or table.served_version(model.name, model.version)
    items = [Item(model.name, version)]
    if request.adapter is not None:
        adapter = inventory.adapter_by_name[request.adapter]
        version = table.served_version(adapter.name, adapter.version)
        items.append(Item(adapter.name, version))
    return tuple(items)


def served_as(request: Request, items: tuple[Item, ...]) -> str:
    """Return the name under which a target serves these items."""
    if not items:
        return request.model
    return ":".join(str(item) for item in items)


def sample_usable(
    views: Sequence[TargetView],
    usable: Callable[[TargetView], bool],
    rng: random.Random,
) -> list[TargetView]:
    """Return up to `SAMPLE_SIZE` usable views, drawn at random.

    If there are more than `SCAN_SIZE` views, a random subset of that size is
    tried first, to bound the cost of a decision.
    """
    if len(views) > SCAN_SIZE:
        drawn = [view for view in rng.sample(views, SCAN_SIZE) if usable(view)]
        if drawn:
            return drawn[:SAMPLE_SIZE]
    found = [view for view in views if usable(view)]
    if len(found) <= SAMPLE_SIZE:
        return found
    return rng.sample(found, SAMPLE_SIZE)


def preferred_for_prefix(views: Sequence[TargetView], prefix: int) -> TargetView | None:
    """Return the view that every instance prefers for a prompt prefix.

    Uses rendezvous hashing, so that instances need not share a prefix table
    and late or lost cache events do no harm.
    """
    if not prefix or not views:
        return None
    key = prefix.to_bytes(8, "big", signed=False)
    return max(
        views, key=lambda view: xxhash.xxh3_64_intdigest(view.name.encode() + key)
    )


def cost_s(
    view: TargetView,
    peers_in_flight: int,
    data_centre: str,
    total_s: float,
    prefix_saving_s: float,
) -> float:
    """Return the cost of running a request on a target, in seconds.

    Parameters
    ----------
    total_s : float
        Predicted service time of the request.
    prefix_saving_s : float
        Prefill time saved if the target still has the prefix cached.
    """
    busy = max(view.in_flight + peers_in_flight, view.report.running)
    cost = busy / max(1, view.report.slots) * LOAD_COST_FACTOR * total_s
    if view.target.data_centre != data_centre:
        cost += REMOTE_COST_S
    return cost - PREFIX_SAVING_FACTOR * prefix_saving_s
