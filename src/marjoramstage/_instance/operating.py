"""What operators ask of an instance: edits, history, drains and status."""

from __future__ import annotations

import signal
import uuid
from collections.abc import Callable

from result import Ok, Result

from marjoramstage._instance.drains import keep_drain
from marjoramstage._instance.peering import PeerDesk
from marjoramstage.clock import Clock
from marjoramstage.coordination._release_store import Release
from marjoramstage.coordination._steps import HeadSeen, LeavingLearned
from marjoramstage.coordination.releases import Acceptor, ApplyError, Edit
from marjoramstage.protocol.objects import Platform
from marjoramstage.protocol.peers import Head, LeavingTarget
from marjoramstage.state.inventory import Inventory


class Operations:
    """The operators' part of an instance.

    Parameters
    ----------
    incarnation : callable
        Gives the present incarnation of a target, or empty text.
    refusals : callable
        Gives reasons why an inventory cannot be carried out; none if it can.
    """

    def __init__(
        self,
        peers: PeerDesk,
        platform: Platform,
        clock: Clock,
        incarnation: Callable[[str], str],
        refusals: Callable[[Inventory], list[str]],
    ):
        self._peers = peers
        self._platform = platform
        self._incarnation = incarnation
        self.acceptor = Acceptor(
            platform, clock, lambda: peers.node.distributor.documents, refusals
        )

    def inventory(self) -> tuple[int, Inventory]:
        """Return the generation and the inventory in force."""
        return self._peers.generation, self._peers.inventory

    async def apply(self, edit: Edit) -> Result[Release, ApplyError]:
        """Submit an edit, and take it in here at once when it is accepted."""
        return self._accepted(await self.acceptor.accept(edit))

    async def roll_back(
        self, generation: int, edit_id: str, who: str, why: str
    ) -> Result[Release, ApplyError]:
        """Accept the content of an earlier generation again."""
        return self._accepted(
            await self.acceptor.roll_back(generation, edit_id, who, why)
        )

    async def drain_target(self, target: str, incarnation: str = "") -> str:
        """Tell every instance to give a target no new work.

        Returns
        -------
        str
            What the platform could not keep for instances that start later;
            empty if it did.
        """
        incarnation = incarnation or self._incarnation(target)
        leaving = LeavingTarget(target, incarnation)
        self._peers.post(LeavingLearned(leaving))
        kept = await keep_drain(self._platform, leaving)
        return "" if isinstance(kept, Ok) else kept.err_value.fault.value

    def drain_instance(self) -> None:
        """Begin the planned stop of this process, as SIGTERM does."""
        signal.raise_signal(signal.SIGTERM)

    def _accepted(
        self, result: Result[Release, ApplyError]
    ) -> Result[Release, ApplyError]:
        """Hand an accepted head to the node without waiting for the watch."""
        return result.inspect(
            lambda release: self._peers.post(
                HeadSeen(Head(release.generation, release.root, release.edit))
            )
        )


def new_edit_id() -> str:
    """Return an id for an edit whose submitter gave none."""
    return uuid.uuid4().hex
