"""Splits the targets of a data centre into shards, one lease each."""

from __future__ import annotations

import xxhash


def shard_names(data_centre: str, shards: int) -> tuple[str, ...]:
    """Return the shard names; a single shard is named like the data centre."""
    if shards == 1:
        return (data_centre,)
    return tuple(f"{data_centre}.{index}" for index in range(shards))


def shard_of(target: str, data_centre: str, shards: int) -> str:
    """Return the shard of a target; it depends only on name and shard count."""
    return shard_names(data_centre, shards)[
        xxhash.xxh64_intdigest(target.encode()) % shards
    ]


def is_shard_of(shard: str, data_centre: str) -> bool:
    """Return whether ``shard`` belongs to the data centre."""
    if shard == data_centre:
        return True
    place, _, index = shard.rpartition(".")
    return place == data_centre and index.isdigit()


def rendezvous_order(key: str, names: list[str]) -> list[str]:
    """Return ``names`` ranked for ``key`` by rendezvous hashing.

    Adding or removing a name moves only the keys that rank it first.
    """
    return sorted(names, key=lambda name: _weight(key, name))


def _weight(key: str, name: str) -> int:
    return xxhash.xxh64_intdigest(f"{key}\0{name}".encode())
