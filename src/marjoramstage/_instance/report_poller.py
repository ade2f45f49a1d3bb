"""Polls the targets for their reports."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Mapping

from marjoramstage.clock import Clock
from marjoramstage.protocol.events import Event, TargetReported
from marjoramstage.protocol.messages import Target
from marjoramstage.transport.targets import TargetControlClient

REPORT_INTERVAL_S = 0.25


class ReportPoller:
    """Polls every listed target at a fixed interval.

    Parameters
    ----------
    get_targets : callable
        Returns the targets to poll, by name.
    post : callable
        Receives each report as an event.
    """

    def __init__(
        self,
        targets: TargetControlClient,
        get_targets: Callable[[], Mapping[str, Target]],
        post: Callable[[Event], None],
        clock: Clock,
    ):
        self._targets = targets
        self._get_targets = get_targets
        self._post = post
        self._clock = clock

    async def run(self) -> None:
        """Poll until cancelled."""
        while True:
            targets = list(self._get_targets().values())
            await asyncio.gather(*(self._read(target) for target in targets))
            await self._clock.sleep(REPORT_INTERVAL_S)

    async def _read(self, target: Target) -> None:
        report = await self._targets.report(target.address)
        if report is not None:
            self._post(TargetReported(report))
