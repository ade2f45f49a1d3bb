"""Encodes changed objects of the platform's store for other instances.

The content is JSON, compressed: the objects of one kind repeat most of their text.
"""

from __future__ import annotations

import json
from collections.abc import Iterable
from dataclasses import dataclass

from result import Err, Ok, Result

from marjoramstage.protocol.compression import compress, decompress
from marjoramstage.protocol.objects import Kind, PlatformObject

COMPRESSION_LEVEL = 1
# A larger content is refused; the routes of a deployment take up a small part.
MAX_CONTENT_BYTES = 16_777_216


@dataclass(frozen=True)
class ChangedObjects:
    """Objects that were written, and the names of those that were removed."""

    written: tuple[PlatformObject, ...] = ()
    removed: tuple[str, ...] = ()


def encode_changes(changes: ChangedObjects) -> bytes:
    """Return the content of a message."""
    written = [[obj.name, obj.version, obj.spec] for obj in changes.written]
    text = json.dumps([written, changes.removed], separators=(",", ":"))
    return compress(text.encode(), COMPRESSION_LEVEL)


def decode_changes(kind: Kind, content: bytes) -> Result[ChangedObjects, str]:
    """Return the changes in the content of a message, or why it is invalid."""
    try:
        written, removed = json.loads(decompress(content, MAX_CONTENT_BYTES))
        objects = tuple(_object(kind, entry) for entry in written)
        return Ok(ChangedObjects(objects, _names(removed)))
    except (ValueError, TypeError) as exc:
        return Err(f"{type(exc).__name__}: {exc}")


def _object(kind: Kind, entry: Iterable) -> PlatformObject:
    name, version, spec = entry
    if not isinstance(name, str) or not isinstance(version, str):
        raise TypeError("name and version have to be texts")
    return PlatformObject(kind, name, spec, version)


def _names(names: Iterable) -> tuple[str, ...]:
    if not all(isinstance(name, str) for name in names):
        raise TypeError("names have to be texts")
    return tuple(names)
