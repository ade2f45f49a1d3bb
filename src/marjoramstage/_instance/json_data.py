"""Conversion of state to JSON data, without secrets."""

from __future__ import annotations

import dataclasses
import enum
from collections.abc import Mapping
from typing import Any, Protocol


class Dumpable(Protocol):
    """A part of an instance that dumps its own state."""

    def dump(self) -> Any:
        """Return the state as dataclasses, mappings, sequences and scalars."""


def to_data(value: Any) -> Any:
    """Return ``value`` as JSON data.

    Dataclass fields declared with ``repr=False``, such as secrets, are omitted.
    """
    if isinstance(value, enum.Enum):
        return value.name.lower()
    if dataclasses.is_dataclass(value):
        fields = [field for field in dataclasses.fields(value) if field.repr]
        return {field.name: to_data(getattr(value, field.name)) for field in fields}
    if isinstance(value, Mapping):
        return {str(key): to_data(item) for key, item in value.items()}
    if isinstance(value, set | frozenset):
        return sorted(str(item) for item in value)
    if isinstance(value, list | tuple):
        return [to_data(item) for item in value]
    if value is None or isinstance(value, str | int | float | bool):
        return value
    return str(value)
