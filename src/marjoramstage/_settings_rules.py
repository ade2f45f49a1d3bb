"""Checks of the settings that types alone cannot express."""

from __future__ import annotations

from collections.abc import Iterator
from itertools import combinations
from typing import Any

from marjoramstage._documents import Document
from marjoramstage.addresses import addresses_conflict, is_loopback, split_address

LISTEN_DEFAULTS = {
    "callers": "127.0.0.1:8080",
    "operators": "127.0.0.1:8081",
    "peers": "127.0.0.1:8082",
}
AUTHENTICATED_PORTS = ("operators", "peers")


def settings_problems(document: Document) -> Iterator[str]:
    """Yield every problem; values of a wrong type are skipped."""
    data = document.data
    listen = {**LISTEN_DEFAULTS, **_mapping_or_empty(data.get("listen"))}
    listen = {port: listen[port] for port in LISTEN_DEFAULTS}
    listen = {port: item for port, item in listen.items() if _is_address(item)}
    yield from _listen_problems(document, listen)
    yield from _secret_problems(document, listen)
    yield from _remote_address_problems(document, listen)
    yield from _peer_problems(document, listen)
    yield from _deadline_problems(document)


def _listen_problems(document: Document, listen: dict[str, str]) -> Iterator[str]:
    for one, other in combinations(listen, 2):
        if not addresses_conflict(listen[one], listen[other]):
            continue
        where = document.where(("listen", other))
        yield f"{where}: address is used twice, also by listen.{one}"


def _secret_problems(document: Document, listen: dict[str, str]) -> Iterator[str]:
    if document.data.get("secret") is not None:
        return
    for port in AUTHENTICATED_PORTS:
        if port not in listen or is_loopback(listen[port]):
            continue
        where = document.where(("listen", port))
        yield f"{where}: a secret is needed to listen beyond loopback"


def _remote_address_problems(
    document: Document, listen: dict[str, str]
) -> Iterator[str]:
    for key in ("platform", "statsd"):
        address = document.data.get(key)
        if not _is_address(address):
            continue
        if split_address(address)[1] == 0:
            yield f"{document.where((key,))}: port 0 cannot be called"
        for port, listen_address in listen.items():
            if addresses_conflict(address, listen_address):
                yield f"{document.where((key,))}: is the address of listen.{port}"


def _peer_problems(document: Document, listen: dict[str, str]) -> Iterator[str]:
    peers = document.data.get("peers")
    seen = set()
    for index, peer in enumerate(peers if isinstance(peers, list) else ()):
        if not _is_address(peer):
            continue
        where = document.where(("peers", index))
        if split_address(peer)[1] == 0:
            yield f"{where}: port 0 cannot be called"
        if split_address(peer) in seen:
            yield f"{where}: duplicate peer {peer}"
        seen.add(split_address(peer))
        if peer == listen.get("peers"):
            yield f"{where}: is the address of listen.peers"


def _deadline_problems(document: Document) -> Iterator[str]:
    limits = _mapping_or_empty(document.data.get("limits"))
    default_s = limits.get("default_deadline_s")
    max_s = limits.get("max_deadline_s")
    if not _is_number(default_s) or not _is_number(max_s) or default_s <= max_s:
        return
    where = document.where(("limits", "default_deadline_s"))
    yield f"{where}: is later than limits.max_deadline_s"


def _mapping_or_empty(value: Any) -> dict:
    return value if isinstance(value, dict) else {}


def _is_number(value: Any) -> bool:
    return isinstance(value, int | float) and not isinstance(value, bool)


def _is_address(value: Any) -> bool:
    if not isinstance(value, str):
        return False
    try:
        split_address(value)
    except ValueError:
        return False
    return True
