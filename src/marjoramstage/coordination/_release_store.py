"""Reads and writes heads, records and documents on the platform."""

from __future__ import annotations

import asyncio
import json
from collections.abc import Callable, Mapping
from dataclasses import asdict, dataclass

from result import Err, Ok, Result

from marjoramstage.exceptions import Verdict
from marjoramstage.protocol.objects import (
    DOCUMENT,
    HEAD,
    Platform,
    PlatformError,
    PlatformFault,
    PlatformObject,
)
from marjoramstage.protocol.peers import Head
from marjoramstage.state.document_tree import (
    DocumentTree,
    canonical_json,
    document_name,
    inventory_from_tree,
    missing_documents,
)
from marjoramstage.state.inventory import Inventory

HEAD_NAME = "current"
MAX_CONCURRENT_CALLS = 8


@dataclass(frozen=True)
class Release:
    """The record of an accepted generation.

    Attributes
    ----------
    root : str
        Name of the root document.
    edit : str
        Id of the edit.
    when_s : float
        Seconds since the epoch, by the clock of the accepting instance.
    changed : tuple of str
        Entries that the edit changed.
    previous : str
        Name of the record before this one; empty for the first.
    """

    generation: int
    root: str
    edit: str
    who: str = ""
    when_s: float = 0.0
    why: str = ""
    changed: tuple[str, ...] = ()
    previous: str = ""


@dataclass(frozen=True)
class HeadObject:
    """The head object on the platform, with its resource version."""

    head: Head
    record: str
    version: str


def head_from_object(obj: PlatformObject) -> HeadObject:
    """Decode the head from its platform object.

    Raises
    ------
    KeyError, TypeError, ValueError
        The object is not a valid head.
    """
    spec = obj.spec
    head = Head(int(spec["generation"]), str(spec["root"]), str(spec["edit"]))
    return HeadObject(head, str(spec["record"]), obj.version)


def document_content(obj: PlatformObject) -> bytes:
    """Return the content of a document object; its hash is not checked."""
    return str(obj.spec.get("content", "")).encode()


class ReleaseStore:
    """The releases stored on the platform.

    Parameters
    ----------
    cached : callable
        Returns the documents that this instance has cached.
    """

    def __init__(self, platform: Platform, cached: Callable[[], Mapping[str, bytes]]):
        self._platform = platform
        self._cached = cached
        self._call_slots = asyncio.Semaphore(MAX_CONCURRENT_CALLS)

    async def head(self) -> Result[HeadObject | None, PlatformError]:
        """Read the head; None if nothing was accepted yet."""
        match await self._platform.get(HEAD, HEAD_NAME):
            case Ok(obj):
                return Ok(head_from_object(obj))
            case Err(error) if error.fault is PlatformFault.NOT_FOUND:
                return Ok(None)
            case Err(error):
                return Err(error)

    async def write_head(
        self, release: Release, record: str, version: str
    ) -> Result[PlatformObject, PlatformError]:
        """Write the head if it still has this version; empty to create it."""
        spec = {
            "generation": release.generation,
            "root": release.root,
            "edit": release.edit,
            "record": record,
        }
        obj = PlatformObject(HEAD, HEAD_NAME, spec, version=version)
        if version:
            return await self._platform.update(obj)
        return await self._platform.create(obj)

    async def document(self, name: str) -> Result[bytes, PlatformError]:
        """Read one document and check its hash."""
        cached = self._cached().get(name)
        if cached is not None:
            return Ok(cached)
        async with self._call_slots:
            found = await self._platform.get(DOCUMENT, name)
        if isinstance(found, Err):
            return found
        content = document_content(found.ok_value)
        if document_name(content) != name:
            text = f"document {name} has other content"
            return Err(PlatformError(PlatformFault.UNAVAILABLE, Verdict.NOT_RUN, text))
        return Ok(content)

    async def write_documents(
        self, documents: Mapping[str, bytes]
    ) -> Result[None, PlatformError]:
        """Create documents; an existing one has the same content."""
        results = await asyncio.gather(
            *(self._write_document(name, body) for name, body in documents.items())
        )
        for result in results:
            if isinstance(result, Err):
                return result
        return Ok(None)

    async def inventory(self, root: str) -> Result[Inventory, PlatformError]:
        """Read the inventory under a root document."""
        documents: dict[str, bytes] = {}
        missing = [root]
        while missing:
            contents = await asyncio.gather(*(self.document(n) for n in missing))
            for name, content in zip(missing, contents, strict=True):
                if isinstance(content, Err):
                    return content
                documents[name] = content.ok_value
            missing = missing_documents(root, documents)
        return Ok(inventory_from_tree(root, documents))

    async def record(self, name: str) -> Result[Release, PlatformError]:
        """Read one record."""
        content = await self.document(name)
        if isinstance(content, Err):
            return content
        data = json.loads(content.ok_value)
        return Ok(Release(**{**data, "changed": tuple(data["changed"])}))

    async def history(
        self, down_to: int, limit: int
    ) -> Result[list[Release], PlatformError]:
        """Read up to ``limit`` records, latest first, down to a generation."""
        head = await self.head()
        if isinstance(head, Err):
            return head
        if head.ok_value is None:
            return Ok([])
        return await self.records(head.ok_value.record, down_to, limit)

    async def records(
        self, name: str, down_to: int, limit: int
    ) -> Result[list[Release], PlatformError]:
        """Read up to ``limit`` records from ``name`` down to a generation."""
        found: list[Release] = []
        while name and len(found) < limit:
            record = await self.record(name)
            if isinstance(record, Err):
                return record
            release = record.ok_value
            if release.generation < down_to:
                break
            found.append(release)
            name = release.previous
        return Ok(found)

    async def _write_document(
        self, name: str, content: bytes
    ) -> Result[None, PlatformError]:
        obj = PlatformObject(DOCUMENT, name, {"content": content.decode()})
        async with self._call_slots:
            created = await self._platform.create(obj)
        if isinstance(created, Ok):
            return Ok(None)
        error = created.err_value
        return Ok(None) if error.fault is PlatformFault.EXISTS else Err(error)


def encode_record(release: Release) -> tuple[str, bytes]:
    """Return the name and content of the record document of a release."""
    content = canonical_json(asdict(release))
    return document_name(content), content


def new_documents(tree: DocumentTree, known: Mapping[str, bytes]) -> dict[str, bytes]:
    """Return the documents of a tree that are not in ``known``."""
    return {n: body for n, body in tree.documents.items() if n not in known}
