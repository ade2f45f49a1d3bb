"""Slots of a target, shared among instances by what they tell each other."""

from __future__ import annotations

import zlib
from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass

from marjoramstage.protocol.messages import InstanceLoad, Item, ItemDemand

LAPSE_S = 2.0
FORGET_S = 60.0


@dataclass(frozen=True)
class PeerUse:
    """What one other instance uses of a target, as last heard.

    Attributes
    ----------
    in_flight : int
        Its attempts at the target.
    waiting, live : float
        Its waiting requests that the target could serve, and those of them
        that are not overnight work.
    fresh : bool
        Whether it was heard of lately.
    """

    instance: str
    in_flight: int
    waiting: float
    live: float = 0.0
    fresh: bool = True


def even_shares(slots: int, active: Iterable[str], target: str) -> dict[str, int]:
    """Return the slots of each active instance if all share them evenly.

    The shares add up to ``slots``; who gets the remainder differs from target
    to target.
    """
    names = sorted(active)
    count = len(names)
    start = zlib.crc32(target.encode()) % count
    shares = {}
    for index, name in enumerate(names):
        rank = (index - start) % count
        shares[name] = slots * (rank + 1) // count - slots * rank // count
    return shares


def own_limit(
    slots: int,
    instance: str,
    target: str,
    peers: Iterable[PeerUse],
    live_only: bool = False,
) -> int:
    """Return how many attempts ``instance`` may have at a target.

    Each active instance may use its even share. What a peer does not need of
    its share may be used by others; the need of a peer that was not heard of
    lately is its whole share.

    Parameters
    ----------
    live_only : bool
        Whether overnight work that waits at a peer counts as no need.
    """
    active = [peer for peer in peers if _is_active(peer, live_only)]
    if not active:
        return slots
    names = [peer.instance for peer in active]
    shares = even_shares(slots, [*names, instance], target)
    needed = 0.0
    for peer in active:
        share = shares[peer.instance]
        if not peer.fresh:
            needed += share
            continue
        waiting = peer.live if live_only else peer.waiting
        needed += max(peer.in_flight, min(share, peer.in_flight + waiting))
    return max(shares[instance], slots - int(needed + 0.5))


def _is_active(peer: PeerUse, live_only: bool) -> bool:
    waiting = peer.live if live_only else peer.waiting
    return not peer.fresh or peer.in_flight > 0 or waiting > 0


@dataclass(frozen=True)
class _Heard:
    load: InstanceLoad
    at_s: float


class PeerLoads:
    """The latest load of each other instance, indexed by target and item.

    Attributes
    ----------
    epoch : int
        Rises with each change, so that limits can be kept until then.
    """

    def __init__(self, instance: str):
        self.epoch = 0
        self._instance = instance
        self._heard: dict[str, _Heard] = {}
        self._silent_now: set[str] = set()
        self._lapses_s = 0.0
        self._in_flight: dict[str, dict[str, int]] = {}
        self._waiting: dict[Item, dict[str, ItemDemand]] = {}

    def heard(self, load: InstanceLoad, now_s: float) -> bool:
        """Take in a load unless a newer one is known; tell whether it was new."""
        if load.instance == self._instance:
            return False
        known = self._heard.get(load.instance)
        same = known is not None and known.load.incarnation == load.incarnation
        if same and known.load.sequence >= load.sequence:
            return False
        self._drop(load.instance)
        self._heard[load.instance] = _Heard(load, now_s)
        self._silent_now.discard(load.instance)
        for target, count in load.in_flight.items():
            self._in_flight.setdefault(target, {})[load.instance] = count
        for demand in load.demand:
            if demand.waiting:
                self._waiting.setdefault(demand.item, {})[load.instance] = demand
        return True

    def gone(self, instance: str) -> None:
        """Forget an instance that is dead or has left."""
        if instance in self._heard:
            self._drop(instance)

    def forget_silent(self, now_s: float) -> None:
        """Forget instances that were not heard of for long."""
        for name, heard in list(self._heard.items()):
            if now_s - heard.at_s > FORGET_S:
                self.gone(name)

    def known(self) -> bool:
        """Return whether any peer is known."""
        return bool(self._heard)

    def in_flight(self, target: str) -> int:
        """Return the attempts of all peers at a target, as last heard."""
        return sum(self._in_flight.get(target, {}).values())

    def uses(
        self, target: str, holders: dict[Item, int], now_s: float
    ) -> list[PeerUse]:
        """Return what each peer that matters there uses of a target.

        Parameters
        ----------
        holders : dict
            For each item that the target could serve, the number of targets
            that hold it: waiting requests are split evenly among them.
        """
        in_flight = self._in_flight.get(target, {})
        waiting: Counter[str] = Counter()
        live: Counter[str] = Counter()
        for item, count in holders.items():
            for name, demand in self._waiting.get(item, {}).items():
                waiting[name] += demand.waiting / count
                live[name] += demand.live
        silent = self._silent(now_s)
        found = []
        for name in {*in_flight, *waiting, *silent}:
            fresh = name not in silent
            use = PeerUse(
                name, in_flight.get(name, 0), waiting[name], live[name], fresh
            )
            found.append(use)
        return found

    def _silent(self, now_s: float) -> set[str]:
        if now_s > self._lapses_s:
            self._silent_now = {
                name
                for name, heard in self._heard.items()
                if now_s - heard.at_s > LAPSE_S
            }
            times = [heard.at_s for heard in self._heard.values()]
            later = [at_s for at_s in times if now_s - at_s <= LAPSE_S]
            self._lapses_s = min(later, default=now_s) + LAPSE_S
        return self._silent_now

    def _drop(self, instance: str) -> None:
        self.epoch += 1
        self._silent_now.discard(instance)
        heard = self._heard.pop(instance, None)
        if heard is None:
            return
        for target in heard.load.in_flight:
            self._in_flight[target].pop(instance, None)
        for demand in heard.load.demand:
            if demand.waiting:
                self._waiting[demand.item].pop(instance, None)
