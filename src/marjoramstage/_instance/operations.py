"""Actions of operators: inventory edits, rollbacks and drains."""

from __future__ import annotations

import signal
import uuid
from collections.abc import Callable

from result import Ok, Result

from marjoramstage._instance.drain_objects import save_drain
from marjoramstage._instance.node_runner import ConfigNodeRunner
from marjoramstage.clock import Clock
from marjoramstage.coordination._release_store import Release
from marjoramstage.coordination.config_events import HeadSeen, LeavingDetected
from marjoramstage.coordination.releases import Acceptor, ApplyError, Edit
from marjoramstage.protocol.objects import Platform
from marjoramstage.protocol.peers import Head, LeavingTarget
from marjoramstage.state.inventory import Inventory


class Operations:
    """Carries out the actions of operators.

    Parameters
    ----------
    incarnation : callable
        Returns the current incarnation of a target, or an empty string.
    refusals : callable
        Returns the reasons why an inventory cannot be satisfied; empty if it can.
    """

    def __init__(
        self,
        node_runner: ConfigNodeRunner,
        platform: Platform,
        clock: Clock,
        incarnation: Callable[[str], str],
        refusals: Callable[[Inventory], list[str]],
    ):
        self._node_runner = node_runner
        self._platform = platform
        self._incarnation = incarnation
        self.acceptor = Acceptor(
            platform, clock, lambda: node_runner.node.distributor.documents, refusals
        )

    def inventory(self) -> tuple[int, Inventory]:
        """Return the generation and the inventory in force."""
        return self._node_runner.generation, self._node_runner.inventory

    async def apply(self, edit: Edit) -> Result[Release, ApplyError]:
        """Submit an edit; if accepted, apply it here without waiting for the watch."""
        return self._post_accepted_head(await self.acceptor.accept(edit))

    async def roll_back(
        self, generation: int, edit_id: str, who: str, why: str
    ) -> Result[Release, ApplyError]:
        """Submit the inventory of an earlier generation as a new one."""
        return self._post_accepted_head(
            await self.acceptor.roll_back(generation, edit_id, who, why)
        )

    async def drain_target(self, target: str, incarnation: str = "") -> str:
        """Announce to all instances that a target must get no new requests.

        Returns
        -------
        str
            Why the platform did not store the drain for instances that start
            later; empty if it did.
        """
        incarnation = incarnation or self._incarnation(target)
        leaving = LeavingTarget(target, incarnation)
        self._node_runner.post(LeavingDetected(leaving))
        saved = await save_drain(self._platform, leaving)
        return "" if isinstance(saved, Ok) else saved.err_value.fault.value

    def drain_instance(self) -> None:
        """Start the graceful shutdown of this process, as SIGTERM does."""
        signal.raise_signal(signal.SIGTERM)

    def _post_accepted_head(
        self, result: Result[Release, ApplyError]
    ) -> Result[Release, ApplyError]:
        """Post an accepted head to the node without waiting for the watch."""
        return result.inspect(
            lambda release: self._node_runner.post(
                HeadSeen(Head(release.generation, release.root, release.edit))
            )
        )


def new_edit_id() -> str:
    """Return an id for an edit whose submitter supplied none."""
    return uuid.uuid4().hex
