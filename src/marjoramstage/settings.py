"""Settings of one instance, read from YAML and checked in one pass."""

from __future__ import annotations

import ipaddress
from pathlib import Path
from typing import Annotated

from pydantic import AfterValidator, ConfigDict, Field, TypeAdapter
from pydantic.dataclasses import dataclass

from marjoramstage._documents import checked, parse_document, read_document

STRICT = ConfigDict(extra="forbid", strict=True, allow_inf_nan=False)

Name = Annotated[str, Field(pattern=r"^[a-z0-9]([a-z0-9.-]{0,61}[a-z0-9])?$")]
Count = Annotated[int, Field(gt=0)]
Seconds = Annotated[float, Field(gt=0)]


def split_address(address: str) -> tuple[str, int]:
    """Return the IP text and port of ``ip:port`` or ``[ip6]:port``.

    Raises
    ------
    ValueError
        The text is not an IP address with a port.
    """
    host, _, port = address.rpartition(":")
    ip = ipaddress.ip_address(host.strip("[]"))
    if not port.isdecimal() or not 0 <= int(port) <= 65535:
        raise ValueError("an address is written ip:port")
    return str(ip), int(port)


def _address(value: str) -> str:
    try:
        split_address(value)
    except ValueError as exc:
        raise ValueError("an address is written ip:port") from exc
    return value


Address = Annotated[str, AfterValidator(_address)]


@dataclass(frozen=True, config=STRICT)
class Listen:
    """Addresses that the instance listens on, each ``ip:port``."""

    callers: Address = "127.0.0.1:8080"
    operators: Address = "127.0.0.1:8081"
    peers: Address = "127.0.0.1:8082"


@dataclass(frozen=True, config=STRICT)
class Limits:
    """Bounds on what one caller and one queue may take.

    Attributes
    ----------
    header_bytes, body_bytes : int
        Largest request head and body.
    queue_requests : int
        Waiting requests for each model.
    stream_buffer_bytes : int
        Bytes buffered for a caller that reads slowly.
    default_deadline_s : float
        Deadline of a request that names none, in seconds.
    max_deadline_s : float
        Latest deadline that a caller may ask for, in seconds.
    drain_s : float
        Bound of a planned stop, in seconds.
    """

    header_bytes: Count = 16_384
    body_bytes: Count = 1_048_576
    queue_requests: Count = 512
    stream_buffer_bytes: Count = 262_144
    default_deadline_s: Seconds = 30.0
    max_deadline_s: Seconds = 86_400.0
    drain_s: Seconds = 60.0


@dataclass(frozen=True, config=STRICT)
class Settings:
    """Settings of one instance.

    Attributes
    ----------
    name, data_centre : str
        Name of the instance, and of the data centre that it runs in.
    platform : str
        Address of the object API, ``ip:port``.
    namespace : str
        Namespace of the deployment's objects in the platform.
    listen : Listen
        Own addresses.
    peers : tuple of str
        Peer addresses of some other instances.
    secret : str or None
        Shared secret of operators and peers; needed to listen beyond loopback.
    statsd : str or None
        Address of the metrics server; metrics are dropped without one.
    log_level : str
        Least level of log lines.
    """

    name: Name
    data_centre: Name
    platform: Address
    namespace: Name = "marjoramstage"
    listen: Listen = Field(default_factory=Listen)
    limits: Limits = Field(default_factory=Limits)
    peers: tuple[Address, ...] = ()
    secret: Annotated[str, Field(min_length=16)] | None = Field(
        default=None, repr=False
    )
    statsd: Address | None = None
    log_level: Annotated[str, Field(pattern="^(debug|info|warning|error)$")] = "info"


_ADAPTER = TypeAdapter(Settings)


def load_settings(path: str | Path) -> Settings:
    """Read settings from a YAML file.

    Raises
    ------
    ConfigError
        With every fault of the file.
    """
    return checked(read_document(path), _ADAPTER)


def parse_settings(text: str, source: str = "settings") -> Settings:
    """Read settings from YAML text; errors as for `load_settings`."""
    return checked(parse_document(text, source), _ADAPTER)
