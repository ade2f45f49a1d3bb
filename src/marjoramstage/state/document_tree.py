"""Splits an inventory into a Merkle tree of content-addressed documents.

The root document refers to one document per section and one for the rules. A
section is either a leaf with its entries, or a node with up to 16 children,
selected by the next hexadecimal digit of the hash of an entry's name. An edit
of one entry therefore changes only one document per level.
"""

from __future__ import annotations

import functools
import hashlib
import json
from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from types import MappingProxyType
from typing import Any

from marjoramstage.exceptions import ConfigError
from marjoramstage.state.inventory import (
    Inventory,
    inventory_from_data,
    inventory_to_data,
)

FORMAT = 1
MAX_LEAF_ENTRIES = 16
MAX_DEPTH = 16
MAX_DOCUMENT_BYTES = 500_000
SECTIONS = ("models", "adapters", "services", "customers")


@dataclass(frozen=True)
class DocumentTree:
    """All documents of one inventory.

    Attributes
    ----------
    root : str
        Name of the root document.
    documents : Mapping
        Content of each document by name.
    """

    root: str
    documents: Mapping[str, bytes]


def document_name(content: bytes) -> str:
    """Return the name of a document, the SHA-256 of its content."""
    return hashlib.sha256(content).hexdigest()


def canonical_json(data: Any) -> bytes:
    """Return the canonical JSON encoding that is hashed."""
    return json.dumps(data, sort_keys=True, separators=(",", ":")).encode()


def build_tree(inventory: Inventory) -> DocumentTree:
    """Split an inventory into documents.

    Raises
    ------
    ConfigError
        A document exceeds the size limit.
    """
    data = inventory_to_data(inventory)
    documents: dict[str, bytes] = {}
    sections = {}
    for section in SECTIONS:
        keyed = [(_name_hash(entry["name"]), entry) for entry in data[section]]
        keyed.sort(key=lambda pair: pair[1]["name"])
        sections[section] = _add_node(keyed, 0, documents)
    rules = _add_document({"rules": data["rules"]}, documents)
    root = _add_document(
        {"format": FORMAT, "rules": rules, "sections": sections}, documents
    )
    return DocumentTree(root, documents)


def missing_documents(
    root: str,
    documents: Mapping[str, bytes],
    complete: Mapping[str, bytes] = MappingProxyType({}),
) -> list[str]:
    """Return the names of known tree documents that ``documents`` lacks.

    Parameters
    ----------
    complete : Mapping
        Documents of complete trees; their children are not checked.

    Raises
    ------
    ValueError
        A document is malformed.
    """
    walked = _walk(root, documents, complete)
    return [n for n in walked if n not in documents and n not in complete]


def reachable_documents(root: str, documents: Mapping[str, bytes]) -> dict[str, bytes]:
    """Return the documents that belong to one tree."""
    return {n: documents[n] for n in _walk(root, documents) if n in documents}


def inventory_from_tree(root: str, documents: Mapping[str, bytes]) -> Inventory:
    """Rebuild the inventory from its documents.

    Raises
    ------
    KeyError, ValueError
        A document is missing or malformed.
    """
    root_data = _parse(documents[root])
    if root_data.get("format") != FORMAT:
        raise ValueError("unknown format of the root document")
    data: dict[str, Any] = {"rules": _parse(documents[root_data["rules"]])["rules"]}
    for section in SECTIONS:
        entries: list[Any] = []
        for name in _walk(root_data["sections"][section], documents):
            entries += _parse(documents[name]).get("entries", ())
        data[section] = sorted(entries, key=lambda entry: entry["name"])
    return inventory_from_data(data)


def _add_node(
    keyed: list[tuple[str, Any]], depth: int, documents: dict[str, bytes]
) -> str:
    if len(keyed) <= MAX_LEAF_ENTRIES or depth == MAX_DEPTH:
        return _add_document({"entries": [entry for _, entry in keyed]}, documents)
    buckets: dict[str, list[tuple[str, Any]]] = {}
    for pair in keyed:
        buckets.setdefault(pair[0][depth], []).append(pair)
    children = {
        digit: _add_node(part, depth + 1, documents) for digit, part in buckets.items()
    }
    return _add_document({"children": children}, documents)


def _add_document(data: Any, documents: dict[str, bytes]) -> str:
    content = canonical_json(data)
    if len(content) > MAX_DOCUMENT_BYTES:
        problem = f"a document of {len(content)} bytes; the limit is"
        raise ConfigError((f"{problem} {MAX_DOCUMENT_BYTES}",))
    name = document_name(content)
    documents[name] = content
    return name


def _name_hash(name: str) -> str:
    return hashlib.sha256(name.encode()).hexdigest()


def _walk(
    root: str,
    documents: Mapping[str, bytes],
    complete: Mapping[str, bytes] = MappingProxyType({}),
) -> Iterable[str]:
    """Yield each document name of a tree once, level by level.

    The children of documents that are missing or in ``complete`` are left out.
    """
    seen = {root}
    level = [root]
    for _ in range(MAX_DEPTH + 3):
        yield from level
        below = []
        for name in level:
            if name in documents and name not in complete:
                below += _children(documents[name])
        level = [name for name in dict.fromkeys(below) if name not in seen]
        seen.update(level)
        if not level:
            return
    raise ValueError("document tree is too deep")


@functools.lru_cache(maxsize=8192)
def _children(content: bytes) -> tuple[str, ...]:
    data = _parse(content)
    names = list(data.get("children", {}).values())
    names += data.get("sections", {}).values()
    if "sections" in data:
        names.append(data["rules"])
    if not all(isinstance(name, str) for name in names):
        raise ValueError("child name in a document is not a string")
    return tuple(names)


def _parse(content: bytes) -> dict[str, Any]:
    data = json.loads(content)
    if not isinstance(data, dict):
        raise ValueError("document is not a JSON object")
    return data
