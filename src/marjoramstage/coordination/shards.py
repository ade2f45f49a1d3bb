"""Shards of the targets of a data centre."""

from __future__ import annotations

import xxhash


def shard_names(data_centre: str, shards: int) -> tuple[str, ...]:
    """Return the names of the shards; one shard has the data centre's name."""
    if shards == 1:
        return (data_centre,)
    return tuple(f"{data_centre}.{index}" for index in range(shards))


def shard_of(target: str, data_centre: str, shards: int) -> str:
    """Return the shard that a target belongs to; it never changes."""
    return shard_names(data_centre, shards)[
        xxhash.xxh64_intdigest(target.encode()) % shards
    ]


def is_shard_of(shard: str, data_centre: str) -> bool:
    """Return whether ``shard`` is one of the data centre's."""
    if shard == data_centre:
        return True
    place, _, index = shard.rpartition(".")
    return place == data_centre and index.isdigit()


def rendezvous(key: str, names: list[str]) -> list[str]:
    """Return ``names`` in the order of preference for ``key``.

    A name that goes or comes moves only the keys that prefer it.
    """
    return sorted(names, key=lambda name: _weight(key, name))


def _weight(key: str, name: str) -> int:
    return xxhash.xxh64_intdigest(f"{key}\0{name}".encode())
