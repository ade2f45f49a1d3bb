"""Sharing of a target's slots among instances, based on peer load reports."""

from __future__ import annotations

import zlib
from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass

from marjoramstage.protocol.messages import InstanceLoad, Item, ItemDemand

STALE_AFTER_S = 2.0
FORGET_AFTER_S = 60.0


@dataclass(frozen=True)
class PeerUsage:
    """Last reported usage of a target by a peer instance.

    Attributes
    ----------
    in_flight : int
        Attempts of the peer on the target.
    waiting, live : float
        Queued requests of the peer that the target could serve, and those of
        them that are not overnight work.
    fresh : bool
        Whether the peer reported within `STALE_AFTER_S`.
    """

    instance: str
    in_flight: int
    waiting: float
    live: float = 0.0
    fresh: bool = True


def even_slot_shares(slots: int, active: Iterable[str], target: str) -> dict[str, int]:
    """Return the slots of each active instance if all share them evenly.

    The shares add up to ``slots``. Which instances get the remainder depends
    on the target's name, so that it is not the same ones on every target.
    """
    names = sorted(active)
    count = len(names)
    start = zlib.crc32(target.encode()) % count
    shares = {}
    for index, name in enumerate(names):
        rank = (index - start) % count
        shares[name] = slots * (rank + 1) // count - slots * rank // count
    return shares


def own_slot_limit(
    slots: int,
    instance: str,
    target: str,
    peers: Iterable[PeerUsage],
    live_only: bool = False,
) -> int:
    """Return how many attempts ``instance`` may have on a target.

    Each active instance may use its even share. The part of a peer's share
    that the peer does not need is available to others. A peer without a recent
    report is assumed to need its whole share.

    Parameters
    ----------
    live_only : bool
        Whether to ignore overnight work queued at peers.
    """
    active = [peer for peer in peers if _is_active(peer, live_only)]
    if not active:
        return slots
    names = [peer.instance for peer in active]
    shares = even_slot_shares(slots, [*names, instance], target)
    needed = 0.0
    for peer in active:
        share = shares[peer.instance]
        if not peer.fresh:
            needed += share
            continue
        waiting = peer.live if live_only else peer.waiting
        needed += max(peer.in_flight, min(share, peer.in_flight + waiting))
    return max(shares[instance], slots - int(needed + 0.5))


def _is_active(peer: PeerUsage, live_only: bool) -> bool:
    waiting = peer.live if live_only else peer.waiting
    return not peer.fresh or peer.in_flight > 0 or waiting > 0


@dataclass(frozen=True)
class _ReceivedLoad:
    load: InstanceLoad
    at_s: float


class PeerLoads:
    """Latest load report of each peer, indexed by target and item.

    Attributes
    ----------
    epoch : int
        Incremented on every change; invalidates cached limits.
    """

    def __init__(self, instance: str):
        self.epoch = 0
        self._instance = instance
        self._received: dict[str, _ReceivedLoad] = {}
        self._stale_now: set[str] = set()
        self._next_stale_s = 0.0
        self._in_flight: dict[str, dict[str, int]] = {}
        self._waiting: dict[Item, dict[str, ItemDemand]] = {}

    def update(self, load: InstanceLoad, now_s: float) -> bool:
        """Store a load report if it is newer; return whether it was."""
        if load.instance == self._instance:
            return False
        known = self._received.get(load.instance)
        same = known is not None and known.load.incarnation == load.incarnation
        if same and known.load.sequence >= load.sequence:
            return False
        self._remove(load.instance)
        self._received[load.instance] = _ReceivedLoad(load, now_s)
        self._stale_now.discard(load.instance)
        for target, count in load.in_flight.items():
            self._in_flight.setdefault(target, {})[load.instance] = count
        for demand in load.demand:
            if demand.waiting:
                self._waiting.setdefault(demand.item, {})[load.instance] = demand
        return True

    def forget(self, instance: str) -> None:
        """Remove an instance that is dead or has left."""
        if instance in self._received:
            self._remove(instance)

    def forget_stale(self, now_s: float) -> None:
        """Remove instances without a report for `FORGET_AFTER_S`."""
        for name, received in list(self._received.items()):
            if now_s - received.at_s > FORGET_AFTER_S:
                self.forget(name)

    def any_known(self) -> bool:
        """Return whether any peer is known."""
        return bool(self._received)

    def in_flight(self, target: str) -> int:
        """Return the last reported attempts of all peers on a target."""
        return sum(self._in_flight.get(target, {}).values())

    def usages(
        self, target: str, holders: dict[Item, int], now_s: float
    ) -> list[PeerUsage]:
        """Return the usage of a target by each peer that uses or may need it.

        Parameters
        ----------
        holders : dict
            Number of targets that hold each item the target could serve;
            queued requests are split evenly among them.
        """
        in_flight = self._in_flight.get(target, {})
        waiting: Counter[str] = Counter()
        live: Counter[str] = Counter()
        for item, count in holders.items():
            for name, demand in self._waiting.get(item, {}).items():
                waiting[name] += demand.waiting / count
                live[name] += demand.live
        stale = self._stale_peers(now_s)
        found = []
        for name in {*in_flight, *waiting, *stale}:
            fresh = name not in stale
            usage = PeerUsage(
                name, in_flight.get(name, 0), waiting[name], live[name], fresh
            )
            found.append(usage)
        return found

    def _stale_peers(self, now_s: float) -> set[str]:
        if now_s > self._next_stale_s:
            self._stale_now = {
                name
                for name, received in self._received.items()
                if now_s - received.at_s > STALE_AFTER_S
            }
            times = [received.at_s for received in self._received.values()]
            later = [at_s for at_s in times if now_s - at_s <= STALE_AFTER_S]
            self._next_stale_s = min(later, default=now_s) + STALE_AFTER_S
        return self._stale_now

    def _remove(self, instance: str) -> None:
        self.epoch += 1
        self._stale_now.discard(instance)
        received = self._received.pop(instance, None)
        if received is None:
            return
        for target in received.load.in_flight:
            self._in_flight[target].pop(instance, None)
        for demand in received.load.demand:
            if demand.waiting:
                self._waiting[demand.item].pop(instance, None)
