"""Slots of a target, shared among instances by what they tell each other."""

from __future__ import annotations

import zlib
from collections.abc import Iterable, Sequence
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


def even_share(slots: int, instance: str, active: Sequence[str], target: str) -> int:
    """Return the slots of ``instance`` if all ``active`` share them evenly.

    The shares of all instances add up to ``slots``; who gets the remainder
    differs from target to target.
    """
    names = sorted(active)
    count = len(names)
    start = zlib.crc32(target.encode()) % count
    rank = (names.index(instance) - start) % count
    return slots * (rank + 1) // count - slots * rank // count


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
    active = [peer for peer in peers if _is_active(peer)]
    if not active:
        return slots
    names = [peer.instance for peer in active]
    names.append(instance)
    needed = 0.0
    for peer in active:
        share = even_share(slots, peer.instance, names, target)
        if not peer.fresh:
            needed += share
            continue
        waiting = peer.live if live_only else peer.waiting
        wanted = min(share, peer.in_flight + waiting)
        needed += max(peer.in_flight, wanted)
    own = even_share(slots, instance, names, target)
    return max(own, slots - int(needed + 0.5))


def _is_active(peer: PeerUse) -> bool:
    return not peer.fresh or peer.in_flight > 0 or peer.waiting > 0


@dataclass(frozen=True)
class _Heard:
    load: InstanceLoad
    at_s: float
    waiting: dict[Item, ItemDemand]


class PeerLoads:
    """The latest load of each other instance.

    Attributes
    ----------
    epoch : int
        Rises with each change, so that limits can be kept until then.
    """

    def __init__(self, instance: str):
        self.epoch = 0
        self._instance = instance
        self._heard: dict[str, _Heard] = {}

    def heard(self, load: InstanceLoad, now_s: float) -> bool:
        """Take in a load unless a newer one is known; tell whether it was new."""
        if load.instance == self._instance:
            return False
        known = self._heard.get(load.instance)
        same = known is not None and known.load.incarnation == load.incarnation
        if same and known.load.sequence >= load.sequence:
            return False
        waiting = {demand.item: demand for demand in load.demand if demand.waiting}
        self._heard[load.instance] = _Heard(load, now_s, waiting)
        self.epoch += 1
        return True

    def gone(self, instance: str) -> None:
        """Forget an instance that is dead or has left."""
        if self._heard.pop(instance, None) is not None:
            self.epoch += 1

    def forget_silent(self, now_s: float) -> None:
        """Forget instances that were not heard of for long."""
        for name, heard in list(self._heard.items()):
            if now_s - heard.at_s > FORGET_S:
                self.gone(name)

    def in_flight(self, target: str) -> int:
        """Return the attempts of all peers at a target, as last heard."""
        return sum(
            heard.load.in_flight.get(target, 0) for heard in self._heard.values()
        )

    def uses(
        self, target: str, holders: dict[Item, int], now_s: float
    ) -> list[PeerUse]:
        """Return what each peer uses of a target.

        Parameters
        ----------
        holders : dict
            For each item that the target could serve, the number of targets
            that hold it: waiting requests are split evenly among them.
        """
        found = []
        for name, heard in self._heard.items():
            waiting, live = 0.0, 0.0
            for item, demand in heard.waiting.items():
                if item in holders:
                    waiting += demand.waiting / holders[item]
                    live += demand.live
            fresh = now_s - heard.at_s <= LAPSE_S
            in_flight = heard.load.in_flight.get(target, 0)
            found.append(PeerUse(name, in_flight, waiting, live, fresh))
        return found
