"""Encodes and decodes frozen dataclasses in Thrift's compact encoding.

The structs are generated from the IDL. Only the in-memory codec of thriftpy2 is
used, as its transports would block the event loop.
"""

from __future__ import annotations

import dataclasses
import enum
import types
import typing
from collections.abc import Mapping
from typing import Any

from thriftpy2.protocol.compact import TCompactProtocol
from thriftpy2.thrift import TException, TType
from thriftpy2.transport import TMemoryBuffer

from marjoramstage.exceptions import PeerError

MAX_ELEMENTS = 20_000


class BoundedCompactProtocol(TCompactProtocol):
    """The compact protocol with a limit on the size of collections."""

    def _read_collection_begin(self):
        element_type, size = super()._read_collection_begin()
        _check_collection_size((element_type,), size)
        return element_type, size

    def _read_map_begin(self):
        key, value, size = super()._read_map_begin()
        if size:
            _check_collection_size((key, value), size)
        return key, value, size


def _check_collection_size(element_types: tuple[int, ...], size: int) -> None:
    # Elements of type STOP take no bytes, so that a short payload could announce
    # any number of them.
    if size > MAX_ELEMENTS or (size and TType.STOP in element_types):
        raise TException("collection too large or of an invalid element type")


class StructCodec:
    """Encodes each message as a ``Frame`` struct with one field set.

    Parameters
    ----------
    idl : module
        Has a struct named after each dataclass, and ``Frame``.
    frame_messages : Mapping
        Dataclass of each ``Frame`` field, by field name.
    struct_names : Mapping
        Struct names that differ from the name of the dataclass.
    """

    def __init__(
        self,
        idl: types.ModuleType,
        frame_messages: Mapping[str, type],
        struct_names: Mapping[type, str],
    ):
        self._idl = idl
        self._frame_messages = frame_messages
        self._struct_names = struct_names
        self._frame_field_of = {cls: name for name, cls in frame_messages.items()}
        self._hints: dict[type, dict[str, Any]] = {}
        self._last_message: Any = None
        self._last_payload = b""

    def encode(self, message: Any) -> bytes:
        """Return the payload of a frame."""
        # The last payload is kept, as a message is often sent to many peers in a row.
        if message is not self._last_message:
            self._last_payload = self._encode_frame(message)
            self._last_message = message
        return self._last_payload

    def _encode_frame(self, message: Any) -> bytes:
        struct = self._to_struct(message)
        frame = self._idl.Frame(**{self._frame_field_of[type(message)]: struct})
        buffer = TMemoryBuffer()
        BoundedCompactProtocol(buffer).write_struct(frame)
        return buffer.getvalue()

    def decode(self, payload: bytes) -> Any:
        """Decode the payload of a frame; raise `PeerError` if it is invalid."""
        frame = self._idl.Frame()
        protocol = BoundedCompactProtocol(TMemoryBuffer(payload), strict_decode=True)
        try:
            protocol.read_struct(frame)
        except Exception as exc:
            # thriftpy2 raises many types of exception on invalid input.
            raise PeerError(f"invalid frame: {exc!r:.100}") from exc
        set_fields = [
            name for name in self._frame_messages if getattr(frame, name) is not None
        ]
        if len(set_fields) != 1:
            raise PeerError("invalid frame: no known message or more than one")
        try:
            cls = self._frame_messages[set_fields[0]]
            return self._from_struct(cls, getattr(frame, set_fields[0]))
        except (TypeError, ValueError, OverflowError) as exc:
            raise PeerError(f"{set_fields[0]}: {exc}") from exc

    def _to_struct(self, obj: Any) -> Any:
        cls = type(obj)
        struct = getattr(self._idl, self._struct_names.get(cls, cls.__name__))()
        for fld in dataclasses.fields(cls):
            setattr(struct, fld.name, self._to_plain(getattr(obj, fld.name)))
        return struct

    def _to_plain(self, value: Any) -> Any:
        if dataclasses.is_dataclass(value):
            return self._to_struct(value)
        if isinstance(value, tuple):
            return [self._to_plain(item) for item in value]
        if isinstance(value, Mapping):
            return dict(value)
        if isinstance(value, enum.IntEnum):
            return int(value)
        return value

    def _from_struct(self, cls: type, struct: Any) -> Any:
        hints = self._hints.get(cls)
        if hints is None:
            hints = self._hints[cls] = typing.get_type_hints(cls)
        values = {}
        for fld in dataclasses.fields(cls):
            value = getattr(struct, fld.name, None)
            if value is None:
                continue
            values[fld.name] = self._from_plain(hints[fld.name], value)
        return cls(**values)

    def _from_plain(self, hint: Any, value: Any) -> Any:
        if dataclasses.is_dataclass(hint):
            return self._from_struct(hint, value)
        args = typing.get_args(hint)
        origin = typing.get_origin(hint)
        if origin is types.UnionType:
            return self._from_plain(args[0], value)
        if origin is tuple:
            return tuple(self._from_plain(args[0], item) for item in value)
        if origin is not None:
            return _check_map_types(args, value)
        if issubclass(hint, enum.IntEnum):
            return hint(value)
        return _check_type(hint, value)


def _check_type(hint: type, value: Any) -> Any:
    if hint is bytes and isinstance(value, str):
        return value.encode()
    if not isinstance(value, hint):
        raise TypeError(f"{hint.__name__} expected")
    return value


def _check_map_types(args: tuple[type, ...], value: dict) -> dict:
    key, item = args
    return {_check_type(key, k): _check_type(item, v) for k, v in value.items()}
