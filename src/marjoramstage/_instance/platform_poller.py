"""Polls the platform's lists of targets, instances and drained targets."""

from __future__ import annotations

import random
from collections.abc import Callable

from result import Err

from marjoramstage._instance.drain_objects import read_drains
from marjoramstage.clock import Clock
from marjoramstage.coordination.config_events import (
    InstancesListed,
    LeavingDetected,
    NodeEvent,
)
from marjoramstage.protocol.events import Event, TargetGone, TargetListed
from marjoramstage.protocol.messages import Target
from marjoramstage.protocol.objects import ENDPOINT_SLICE, Platform, PlatformObject
from marjoramstage.state.members import members_from_slice
from marjoramstage.state.targets import targets_from_slice

POLL_INTERVAL_S = 0.5
MAX_POLL_INTERVAL_S = 20.0
POLLS_PER_DRAIN_READ = 20


class PlatformPoller:
    """Polls the platform's lists and posts the changes as events.

    Parameters
    ----------
    post : callable
        Receives the events about changed targets.
    post_to_node : callable
        Receives the events for the configuration node: listed instances and
        leaving targets.
    serving_count : callable
        Returns the number of serving instances in the data centre. The poll interval
        grows with it up to `MAX_POLL_INTERVAL_S`, so that the platform's read rate does
        not depend on the number of instances.
    """

    def __init__(
        self,
        platform: Platform,
        post: Callable[[Event], None],
        post_to_node: Callable[[NodeEvent], None],
        serving_count: Callable[[], int],
        clock: Clock,
    ):
        self.targets: dict[str, Target] = {}
        self._platform = platform
        self._post = post
        self._post_to_node = post_to_node
        self._serving_count = serving_count
        self._clock = clock
        self._rng = random.Random()

    async def run(self) -> None:
        """Poll the lists until cancelled."""
        polls = 0
        while True:
            await self._poll()
            if polls % POLLS_PER_DRAIN_READ == 0:
                await self._read_drains()
            polls += 1
            delay_s = min(
                MAX_POLL_INTERVAL_S, POLL_INTERVAL_S * max(1, self._serving_count())
            )
            await self._clock.sleep(delay_s * self._rng.uniform(0.8, 1.2))

    async def _poll(self) -> None:
        listed = await self._platform.list(ENDPOINT_SLICE)
        if isinstance(listed, Err):
            return
        objects = listed.ok_value.objects
        self._update_targets(objects)
        entries = [entry for obj in objects for entry in members_from_slice(obj)]
        self._post_to_node(InstancesListed(tuple(entries)))

    async def _read_drains(self) -> None:
        """Read the targets that operators drained before this instance started."""
        for leaving in await read_drains(self._platform):
            self._post_to_node(LeavingDetected(leaving))

    def _update_targets(self, objects: tuple[PlatformObject, ...]) -> None:
        found = {}
        for obj in objects:
            for target in targets_from_slice(obj):
                found[target.name] = target
        for name in self.targets.keys() - found.keys():
            self._post(TargetGone(name))
        for target in found.values():
            if self.targets.get(target.name) != target:
                self._post(TargetListed(target))
        self.targets = found
