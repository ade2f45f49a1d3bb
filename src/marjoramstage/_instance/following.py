"""Follows the platform: listed targets and the accepted inventory."""

from __future__ import annotations

from collections.abc import Callable

from result import Err

from marjoramstage.clock import Clock
from marjoramstage.coordination.releases import read_release
from marjoramstage.logs import part_logger
from marjoramstage.protocol.events import (
    Event,
    InventoryAccepted,
    TargetGone,
    TargetListed,
)
from marjoramstage.protocol.messages import Target
from marjoramstage.protocol.objects import ENDPOINT_SLICE, Platform
from marjoramstage.state.inventory import Inventory
from marjoramstage.state.targets import targets_from_slice

log = part_logger("following")

POLL_S = 0.5


class Follower:
    """What this instance has learned from the platform.

    Parameters
    ----------
    post : callable
        Takes each event that follows from a change.
    """

    def __init__(self, platform: Platform, post: Callable[[Event], None], clock: Clock):
        self.generation = 0
        self.inventory = Inventory()
        self.targets: dict[str, Target] = {}
        self._platform = platform
        self._post = post
        self._clock = clock

    async def run(self) -> None:
        """Follow the platform until cancelled."""
        while True:
            await self._poll_targets()
            await self._poll_release()
            await self._clock.sleep(POLL_S)

    async def _poll_targets(self) -> None:
        listed = await self._platform.list(ENDPOINT_SLICE)
        if isinstance(listed, Err):
            return
        found = {}
        for obj in listed.ok_value.objects:
            for target in targets_from_slice(obj):
                found[target.name] = target
        for name in self.targets.keys() - found.keys():
            self._post(TargetGone(name))
        for target in found.values():
            if self.targets.get(target.name) != target:
                self._post(TargetListed(target))
        self.targets = found

    async def _poll_release(self) -> None:
        read = await read_release(self._platform)
        if isinstance(read, Err):
            return
        release = read.ok_value
        if release.generation <= self.generation:
            return
        self.generation = release.generation
        self.inventory = release.inventory
        self._post(InventoryAccepted(release.generation, release.inventory))
        log.info("inventory in force", extra={"generation": release.generation})
