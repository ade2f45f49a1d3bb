"""Encodes what is stored of the versions that began streams."""

from __future__ import annotations

from typing import Any

from result import Err, Ok, Result

from marjoramstage.platform._store import STREAM_ORIGINS
from marjoramstage.protocol.objects import PlatformObject
from marjoramstage.state.origin_record import OriginRecord

MAX_NAME_CHARS = 128


def encode_origins(instance: str, record: OriginRecord) -> PlatformObject:
    """Return the object in which an instance keeps its record."""
    spec = {
        "versions": {
            service: list(names) for service, names in record.versions.items()
        },
        "origins": {name: " ".join(found) for name, found in record.origins.items()},
    }
    return PlatformObject(STREAM_ORIGINS, instance, spec)


def decode_origins(spec: Any) -> Result[OriginRecord, str]:
    """Return the record of an object, or why it is none."""
    try:
        versions = {
            _text(service): tuple(_text(name) for name in names)
            for service, names in spec["versions"].items()
        }
        origins = {
            _text(name): tuple(found.split()) for name, found in spec["origins"].items()
        }
    except (AttributeError, KeyError, TypeError, ValueError) as exc:
        return Err(f"{type(exc).__name__}: {exc}")
    return Ok(OriginRecord(versions, origins))


def _text(value: Any) -> str:
    if not isinstance(value, str) or len(value) > MAX_NAME_CHARS:
        raise ValueError("not a short text")
    return value
