"""Acceptance of inventories: immutable documents and a conditional head update.

The head holds the generation, the name of the root document and the id of the
edit. A record document for each generation holds who, when and why, and links
to the previous record. An edit is accepted by one conditional update of the
head. If the response is lost, the update is repeated until it either takes
effect or is refused, and is then looked up by its edit id.
"""

from __future__ import annotations

import enum
from collections.abc import Callable, Mapping
from dataclasses import dataclass

from result import Err, Ok, Result

from marjoramstage.clock import Clock
from marjoramstage.coordination._release_store import (
    HeadObject,
    Release,
    ReleaseStore,
    encode_record,
    new_documents,
)
from marjoramstage.exceptions import Verdict
from marjoramstage.protocol.objects import Platform, PlatformError, PlatformFault
from marjoramstage.state.document_tree import build_tree
from marjoramstage.state.inventory import Inventory, inventory_problems
from marjoramstage.state.inventory_merge import differences, merge

APPLY_TIMEOUT_S = 20.0
RETRY_DELAY_S = 0.2
MAX_HISTORY = 1000
MAX_RECORDED_ENTRIES = 200

_LOST_RACE = (PlatformFault.CONFLICT, PlatformFault.EXISTS)


class ApplyFault(enum.Enum):
    """Why an edit was not accepted, or why its outcome is unknown."""

    CONFLICT = "conflict"
    REFUSED = "refused"
    UNKNOWN = "unknown"
    NOT_ACCEPTED = "not-accepted"


@dataclass(frozen=True)
class EntryConflict:
    """An entry that another edit changed since the base of this one."""

    entry: str
    who: str
    generation: int


@dataclass(frozen=True)
class ApplyError:
    """An edit that was not accepted, or whose outcome is unknown.

    Attributes
    ----------
    problems : tuple of str
        One sentence each.
    clashes : tuple of EntryConflict
        For a conflict: the conflicting entries and who changed them.
    """

    fault: ApplyFault
    problems: tuple[str, ...] = ()
    clashes: tuple[EntryConflict, ...] = ()


@dataclass(frozen=True)
class Edit:
    """An edit submitted by an operator.

    Attributes
    ----------
    id : str
        Unique id by which the outcome of the edit can be looked up.
    base : int or None
        Generation that the edit is based on; None for the current one.
    """

    id: str
    inventory: Inventory
    base: int | None = None
    who: str = ""
    why: str = ""


@dataclass
class Submission:
    """State of one submission.

    Attributes
    ----------
    base : Inventory or None
        Inventory of the base generation, once read.
    unsettled_generation : int
        Generation of a head update that may have taken effect; 0 for none.
    """

    edit: Edit
    deadline_s: float
    base: Inventory | None = None
    base_generation: int = 0
    unsettled_generation: int = 0


class Acceptor:
    """Accepts edits for one instance.

    Parameters
    ----------
    cached : callable
        Returns the documents that this instance has cached.
    refusals : callable
        Returns the reasons why an inventory cannot be served; empty if it can.
    """

    def __init__(
        self,
        platform: Platform,
        clock: Clock,
        cached: Callable[[], Mapping[str, bytes]] = dict,
        refusals: Callable[[Inventory], list[str]] = lambda inventory: [],
    ):
        self.store = ReleaseStore(platform, cached)
        self._clock = clock
        self._cached = cached
        self.refusals = refusals

    async def accept(self, edit: Edit) -> Result[Release, ApplyError]:
        """Submit an edit and determine its outcome within `APPLY_TIMEOUT_S`."""
        submission = Submission(edit, self._clock.now() + APPLY_TIMEOUT_S)
        while True:
            outcome = await self._try_once(submission)
            if outcome is not None:
                return outcome
            if self._clock.now() >= submission.deadline_s:
                return Err(_timeout_error(submission))
            await self._clock.sleep(RETRY_DELAY_S)

    async def look_up(self, edit_id: str) -> Result[Release | None, PlatformError]:
        """Return the release created by an edit, or None."""
        found = await self.store.history(1, MAX_HISTORY)
        if isinstance(found, Err):
            return found
        for release in found.ok_value:
            if release.edit == edit_id:
                return Ok(release)
        return Ok(None)

    async def roll_back(
        self, generation: int, edit_id: str, who: str, why: str
    ) -> Result[Release, ApplyError]:
        """Accept the content of an earlier generation as a new generation."""
        found = await self.store.history(generation, MAX_HISTORY)
        if isinstance(found, Err):
            return Err(ApplyError(ApplyFault.NOT_ACCEPTED, (found.err_value.message,)))
        releases = found.ok_value
        if not releases or releases[-1].generation != generation:
            return Err(_refused(f"generation {generation} is not in the history"))
        inventory = await self.store.inventory(releases[-1].root)
        if isinstance(inventory, Err):
            text = inventory.err_value.message
            return Err(ApplyError(ApplyFault.NOT_ACCEPTED, (text,)))
        edit = Edit(edit_id, inventory.ok_value, releases[0].generation, who, why)
        return await self.accept(edit)

    async def _try_once(
        self, submission: Submission
    ) -> Result[Release, ApplyError] | None:
        """Make one attempt; return None if it has to be retried."""
        read = await self.store.head()
        if isinstance(read, Err):
            return None
        head = read.ok_value
        if submission.unsettled_generation:
            settled = await self._settle(submission, head)
            if settled is not None or submission.unsettled_generation:
                return settled
        current = await self._current(head)
        if isinstance(current, Err):
            return None
        prepared = await self._prepare(submission, head, current.ok_value)
        if prepared is None or isinstance(prepared, Err):
            return prepared
        return await self._write_release(
            submission, head, current.ok_value, prepared.ok_value
        )

    async def _current(
        self, head: HeadObject | None
    ) -> Result[Inventory, PlatformError]:
        if head is None:
            return Ok(Inventory())
        return await self.store.inventory(head.head.root)

    async def _prepare(
        self, submission: Submission, head: HeadObject | None, current: Inventory
    ) -> Result[Inventory, ApplyError] | None:
        """Merge the edit into the current head and check the result.

        Returns None if the attempt has to be retried.
        """
        edit = submission.edit
        generation = head.head.generation if head else 0
        if submission.base is None:
            wanted = generation if edit.base is None else edit.base
            base = await self._base(head, wanted, current)
            if base is None or isinstance(base, Err):
                return base
            submission.base, submission.base_generation = base.ok_value, wanted
        if generation < submission.base_generation:
            return None
        merged = merge(submission.base, edit.inventory, current)
        if merged.clashes:
            return await self._conflict(submission, head, merged.clashes)
        problems = inventory_problems(merged.inventory)
        if problems:
            return Err(ApplyError(ApplyFault.CONFLICT, tuple(problems)))
        refusals = self.refusals(merged.inventory)
        if refusals:
            return Err(ApplyError(ApplyFault.REFUSED, tuple(refusals)))
        return Ok(merged.inventory)

    async def _base(
        self, head: HeadObject | None, generation: int, current: Inventory
    ) -> Result[Inventory, ApplyError] | None:
        """Read the inventory that the edit is based on."""
        present = head.head.generation if head else 0
        if generation == present:
            return Ok(current)
        if generation == 0:
            return Ok(Inventory())
        if generation > present:
            # A lagging platform replica may not have the base generation yet.
            return None
        found = await self.store.records(head.record, generation, MAX_HISTORY)
        if isinstance(found, Err):
            return None
        if found.ok_value[-1].generation != generation:
            return Err(_refused(f"generation {generation} is not in the history"))
        inventory = await self.store.inventory(found.ok_value[-1].root)
        return None if isinstance(inventory, Err) else Ok(inventory.ok_value)

    async def _conflict(
        self, submission: Submission, head: HeadObject, clashes: tuple[str, ...]
    ) -> Result[Inventory, ApplyError] | None:
        """Return the error that names who changed the conflicting entries."""
        found = await self.store.records(
            head.record, submission.base_generation + 1, MAX_HISTORY
        )
        if isinstance(found, Err):
            return None
        named = []
        for entry in clashes:
            by = next((r for r in found.ok_value if entry in r.changed), None)
            who, generation = (by.who, by.generation) if by else ("", 0)
            named.append(EntryConflict(entry, who, generation))
        return Err(ApplyError(ApplyFault.CONFLICT, (), tuple(named)))

    async def _write_release(
        self,
        submission: Submission,
        head: HeadObject | None,
        current: Inventory,
        inventory: Inventory,
    ) -> Result[Release, ApplyError] | None:
        """Write the documents, then update the head."""
        tree = build_tree(inventory)
        changes = [change.entry for change in differences(current, inventory)]
        release = Release(
            generation=(head.head.generation if head else 0) + 1,
            root=tree.root,
            edit=submission.edit.id,
            who=submission.edit.who,
            when_s=self._clock.wall_time(),
            why=submission.edit.why,
            changed=tuple(changes[:MAX_RECORDED_ENTRIES]),
            previous=head.record if head else "",
        )
        record, content = encode_record(release)
        known = build_tree(current).documents if head else {}
        documents = {**new_documents(tree, known), record: content}
        written = await self.store.write_documents(documents)
        if isinstance(written, Err):
            return None
        version = head.version if head else ""
        updated = await self.store.write_head(release, record, version)
        if isinstance(updated, Ok):
            return Ok(release)
        error = updated.err_value
        if error.fault is PlatformFault.REFUSED:
            return Err(_refused(error.message))
        if error.fault not in _LOST_RACE and error.verdict is not Verdict.NOT_RUN:
            submission.unsettled_generation = release.generation
        return None

    async def _settle(
        self, submission: Submission, head: HeadObject | None
    ) -> Result[Release, ApplyError] | None:
        """Determine whether a head update without a response took effect.

        Each generation belongs to exactly one edit, so the record of the
        unsettled generation decides.
        """
        if head is None or head.head.generation < submission.unsettled_generation:
            return await self._repeat_update(submission, head)
        found = await self.store.records(
            head.record, submission.unsettled_generation, MAX_HISTORY
        )
        if isinstance(found, Err):
            return None
        release = found.ok_value[-1]
        if (
            release.generation == submission.unsettled_generation
            and release.edit == submission.edit.id
        ):
            return Ok(release)
        submission.unsettled_generation = 0
        return None

    async def _repeat_update(
        self, submission: Submission, head: HeadObject | None
    ) -> Result[Release, ApplyError] | None:
        """Repeat the head update, so that it has taken effect or never will."""
        generation = head.head.generation if head else 0
        if generation + 1 != submission.unsettled_generation:
            return None
        current = await self._current(head)
        if isinstance(current, Err):
            return None
        prepared = await self._prepare(submission, head, current.ok_value)
        if not isinstance(prepared, Ok):
            return None
        return await self._write_release(
            submission, head, current.ok_value, prepared.ok_value
        )


def _refused(problem: str) -> ApplyError:
    return ApplyError(ApplyFault.REFUSED, (problem,))


def _timeout_error(submission: Submission) -> ApplyError:
    """Return the error of an edit that was not settled in time."""
    if submission.unsettled_generation:
        text = f"edit {submission.edit.id} may have been accepted; look it up later"
        return ApplyError(ApplyFault.UNKNOWN, (text,))
    text = "the platform could not be reached, or other edits came first"
    return ApplyError(ApplyFault.NOT_ACCEPTED, (text,))
