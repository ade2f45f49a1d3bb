"""Distribution of accepted generations to this instance, never backwards.

A head becomes a candidate if its generation is above the one in force. Its
documents are fetched from the peer that announced it, then from other peers,
then from the platform, and each is verified against its name, which is its
hash. The generation comes into force once the tree is complete, and only then
is it announced to peers. One instance of a data centre watches the head on the
platform and a deputy polls it; the others poll so that the total rate is the
same for a data centre of any size.
"""

from __future__ import annotations

import random
from dataclasses import dataclass, field

from marjoramstage.coordination.config_events import (
    Emit,
    NodeEffect,
    ReadDocuments,
    ReadHead,
    SendPeer,
    StopWatch,
    WatchHead,
)
from marjoramstage.protocol.compression import compress, decompress
from marjoramstage.protocol.events import InventoryAccepted
from marjoramstage.protocol.peers import (
    DocumentsAsked,
    DocumentsSent,
    Head,
    MemberEntry,
    NamedDocument,
)
from marjoramstage.state.document_tree import (
    MAX_DOCUMENT_BYTES,
    document_name,
    inventory_from_tree,
    missing_documents,
    reachable_documents,
)
from marjoramstage.state.inventory import Inventory

WATCHER_POLL_S = 3.0
DATA_CENTRE_POLL_S = 5.0
STARTUP_POLL_S = 2.0
STARTUP_GRACE_S = 1.0
WATCH_RETRY_S = 1.0
PEER_TIMEOUT_S = 1.0
PLATFORM_TIMEOUT_S = 12.0
MAX_NAMES_PER_REQUEST = 64
MAX_RESPONSE_BYTES = 500_000
MAX_HOLDERS_PER_HEAD = 4
MAX_CANDIDATES = 16
INCOMPLETE_RETRY_S = 0.6
DECODE_ERRORS = (ValueError, KeyError, TypeError, AttributeError)


@dataclass
class HeadCandidate:
    """A head newer than the one in force.

    Attributes
    ----------
    holders : list of str
        Addresses of peers that have it in force.
    next_index : int
        Index of the next source; the platform comes after the last holder.
    failures : int
        Number of fetches that timed out.
    """

    holders: list[str] = field(default_factory=list)
    next_index: int = 0
    failures: int = 0

    def next_source(self) -> str:
        """Return the address of the next source; empty for the platform."""
        source = (
            self.holders[self.next_index] if self.next_index < len(self.holders) else ""
        )
        self.next_index = (self.next_index + 1) % (len(self.holders) + 1)
        return source


@dataclass
class Fetch:
    """The fetch in progress.

    Attributes
    ----------
    source : str
        Address of the peer that was asked; empty for the platform.
    retry_at_s : float
        When to give up waiting and ask the next source.
    """

    head: Head
    source: str = ""
    retry_at_s: float = 0.0


class Distributor:
    """Fetches accepted generations and holds the one in force.

    Parameters
    ----------
    rng : random.Random
        Random source for jitter.
    """

    def __init__(self, rng: random.Random, now_s: float):
        self.head: Head | None = None
        self.inventory = Inventory()
        self.documents: dict[str, bytes] = {}
        self.refused_documents = 0
        self.unreadable_heads: set[Head] = set()
        self._rng = rng
        self._fetch: Fetch | None = None
        self._staged: dict[str, bytes] = {}
        self._candidates: dict[Head, HeadCandidate] = {}
        self._next_poll_s = now_s
        self._first_fetch_s = now_s + STARTUP_GRACE_S
        self._reading = False
        self._watching = False
        self._next_watch_s = now_s

    @property
    def generation(self) -> int:
        """The generation in force; 0 before the first."""
        return self.head.generation if self.head else 0

    @property
    def fetching(self) -> Head | None:
        """The head whose documents are being fetched."""
        return self._fetch.head if self._fetch else None

    def tick(
        self, rank: int, members: int, own: MemberEntry, now_s: float
    ) -> list[NodeEffect]:
        """Start the watch, the poll and the fetches that are due.

        Parameters
        ----------
        rank : int
            0 for the watcher of the data centre, 1 for its deputy, which polls
            at the same rate but does not watch, and above 1 for the others.
        members : int
            Number of serving instances of the data centre, including this one.
        """
        effects = self._watch(rank == 0, now_s)
        if now_s >= self._next_poll_s and not self._reading:
            self._next_poll_s = now_s + self._poll_delay(rank, members)
            self._reading = True
            effects.append(ReadHead())
        if self._fetch is None and self._candidates and now_s >= self._first_fetch_s:
            effects += self._ask_next(own, now_s)
        if self._fetch is not None and now_s >= self._fetch.retry_at_s:
            self._candidates[self._fetch.head].failures += 1
            effects += self._ask_next(own, now_s)
        return effects

    def head_seen(self, head: Head, own: MemberEntry, now_s: float) -> list[NodeEffect]:
        """Handle a head read from the platform or its watch."""
        self._reading = False
        return self._add_candidate(head, "", own, now_s)

    def head_read_failed(self) -> None:
        """Handle a read of the head that failed or found none."""
        self._reading = False

    def watch_ended(self, now_s: float) -> None:
        """Handle the end of the watch; schedule the next one after a delay."""
        self._watching = False
        self._next_watch_s = now_s + WATCH_RETRY_S * self._rng.uniform(0.5, 1.5)

    def head_heard(
        self, head: Head, holder: str, own: MemberEntry, now_s: float
    ) -> list[NodeEffect]:
        """Handle a head announced by the peer at address ``holder``."""
        return self._add_candidate(head, holder, own, now_s)

    def documents_read(
        self, documents: tuple[NamedDocument, ...], own: MemberEntry, now_s: float
    ) -> list[NodeEffect]:
        """Handle documents read from the platform."""
        return self._stage_documents(documents, "", own, now_s)

    def documents_sent(
        self, message: DocumentsSent, own: MemberEntry, now_s: float
    ) -> list[NodeEffect]:
        """Handle compressed documents sent by a peer."""
        found = []
        for sent in message.documents:
            try:
                content = decompress(sent.content, MAX_DOCUMENT_BYTES)
            except ValueError:
                self.refused_documents += 1
                continue
            found.append(NamedDocument(sent.name, content))
        return self._stage_documents(tuple(found), message.sender.address, own, now_s)

    def answer(self, asked: DocumentsAsked, own: MemberEntry) -> list[NodeEffect]:
        """Send documents of the generation in force to a peer."""
        found, missing, size = [], [], 0
        for name in asked.names[:MAX_NAMES_PER_REQUEST]:
            content = self.documents.get(name)
            if content is None:
                missing.append(name)
                continue
            payload = compress(content)
            size += len(payload)
            if found and size > MAX_RESPONSE_BYTES:
                break
            found.append(NamedDocument(name, payload))
        message = DocumentsSent(own, tuple(found), tuple(missing))
        return [SendPeer(asked.sender.address, message)]

    def _poll_delay(self, rank: int, members: int) -> float:
        if rank <= 1:
            return WATCHER_POLL_S * self._rng.uniform(0.8, 1.2)
        if self.head is None:
            return STARTUP_POLL_S * self._rng.uniform(0.5, 1.5)
        return DATA_CENTRE_POLL_S * max(1, members) * self._rng.uniform(0.5, 1.5)

    def _watch(self, watches: bool, now_s: float) -> list[NodeEffect]:
        if watches and not self._watching and now_s >= self._next_watch_s:
            self._watching = True
            return [WatchHead()]
        if self._watching and not watches:
            self._watching = False
            return [StopWatch()]
        return []

    def _add_candidate(
        self, head: Head, holder: str, own: MemberEntry, now_s: float
    ) -> list[NodeEffect]:
        """Add a candidate or a holder of it; start a fetch if none is running."""
        if head.generation <= self.generation or head in self.unreadable_heads:
            return []
        if head not in self._candidates:
            self._drop_worst_candidate()
        candidate = self._candidates.setdefault(head, HeadCandidate())
        if holder and holder not in candidate.holders:
            candidate.holders.insert(0, holder)
            del candidate.holders[MAX_HOLDERS_PER_HEAD:]
            candidate.next_index = 0
        if self._fetch is None:
            # At start-up, wait for several sources and fetch the newest head.
            return self._ask_next(own, now_s) if now_s >= self._first_fetch_s else []
        if holder and self._fetch.head == head and not self._fetch.source:
            return self._ask_next(own, now_s)
        return []

    def _drop_worst_candidate(self) -> None:
        """Drop the lowest-ranked candidate if there are too many."""
        if len(self._candidates) < MAX_CANDIDATES:
            return
        fetched = self.fetching
        others = [head for head in self._candidates if head != fetched]
        del self._candidates[max(others, key=self._rank)]

    def _rank(self, head: Head) -> tuple[int, int]:
        """Return the sort key: fewest failures, then newest generation."""
        return self._candidates[head].failures, -head.generation

    def _ask_next(self, own: MemberEntry, now_s: float) -> list[NodeEffect]:
        """Fetch the best candidate from its next source."""
        head = min(self._candidates, key=self._rank)
        self._fetch = Fetch(head, self._candidates[head].next_source())
        return self._ask(own, now_s)

    def _ask(self, own: MemberEntry, now_s: float) -> list[NodeEffect]:
        """Request the missing documents, or finish the fetch if complete."""
        fetch = self._fetch
        root, held = fetch.head.root, self.documents
        try:
            missing = missing_documents(root, self._staged, held)
            if not missing:
                known = {**held, **self._staged}
                return self._put_in_force(known, own, now_s)
        except DECODE_ERRORS:
            return self._reject_head(own, now_s)
        names = tuple(missing[:MAX_NAMES_PER_REQUEST])
        if fetch.source:
            fetch.retry_at_s = now_s + PEER_TIMEOUT_S
            return [SendPeer(fetch.source, DocumentsAsked(own, names))]
        fetch.retry_at_s = now_s + PLATFORM_TIMEOUT_S
        return [ReadDocuments(names)]

    def _stage_documents(
        self,
        documents: tuple[NamedDocument, ...],
        source: str,
        own: MemberEntry,
        now_s: float,
    ) -> list[NodeEffect]:
        """Store the documents that match their name and continue the fetch."""
        fetch = self._fetch
        if fetch is None:
            return []
        root, held = fetch.head.root, self.documents
        try:
            wanted = set(missing_documents(root, self._staged, held))
        except DECODE_ERRORS:
            return self._reject_head(own, now_s)
        progress = False
        for document in documents:
            if document_name(document.content) != document.name:
                self.refused_documents += 1
                continue
            if document.name in wanted:
                self._staged[document.name] = document.content
                progress = True
        if progress:
            return self._ask(own, now_s)
        if source == fetch.source:
            fetch.retry_at_s = now_s + INCOMPLETE_RETRY_S * self._rng.uniform(0.5, 1.5)
        return []

    def _put_in_force(
        self, known: dict[str, bytes], own: MemberEntry, now_s: float
    ) -> list[NodeEffect]:
        head = self._fetch.head
        inventory = inventory_from_tree(head.root, known)
        self.head, self.inventory = head, inventory
        self.documents = reachable_documents(head.root, known)
        accepted = Emit(InventoryAccepted(head.generation, inventory))
        return [accepted, *self._end_fetch(own, now_s)]

    def _reject_head(self, own: MemberEntry, now_s: float) -> list[NodeEffect]:
        """Reject a head whose documents this version cannot read."""
        self.unreadable_heads.add(self._fetch.head)
        del self._candidates[self._fetch.head]
        return self._end_fetch(own, now_s)

    def _end_fetch(self, own: MemberEntry, now_s: float) -> list[NodeEffect]:
        """Clear the fetch and start one for the best remaining candidate."""
        self._fetch = None
        self._staged = {}
        generation = self.generation
        for head in [h for h in self._candidates if h.generation <= generation]:
            del self._candidates[head]
        if not self._candidates:
            return []
        return self._ask_next(own, now_s)
