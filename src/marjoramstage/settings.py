"""Settings of an instance, read from YAML and validated in one pass."""

from __future__ import annotations

from pathlib import Path
from typing import Annotated

from pydantic import AfterValidator, ConfigDict, Field, TypeAdapter
from pydantic.dataclasses import dataclass

from marjoramstage._documents import parse_document, read_document, validate_document
from marjoramstage._settings_rules import LISTEN_DEFAULTS, settings_problems
from marjoramstage.addresses import split_address

STRICT = ConfigDict(extra="forbid", strict=True, allow_inf_nan=False)

Name = Annotated[str, Field(pattern=r"^[a-z0-9]([a-z0-9.-]{0,61}[a-z0-9])?$")]
PositiveInt = Annotated[int, Field(gt=0)]
Seconds = Annotated[float, Field(gt=0)]


def _check_address(value: str) -> str:
    try:
        split_address(value)
    except ValueError as exc:
        raise ValueError("an address is written ip:port or [ip6]:port") from exc
    return value


Address = Annotated[str, AfterValidator(_check_address)]
FilePath = Annotated[str, Field(min_length=1)]
Secret = Annotated[str, Field(pattern="^[!-~]{16,256}$")]


@dataclass(frozen=True, config=STRICT)
class Listen:
    """Addresses that the instance listens on, each ``ip:port``."""

    callers: Address = LISTEN_DEFAULTS["callers"]
    operators: Address = LISTEN_DEFAULTS["operators"]
    peers: Address = LISTEN_DEFAULTS["peers"]


@dataclass(frozen=True, config=STRICT)
class Tls:
    """PEM files for HTTPS on the callers' and operators' ports."""

    certificate: FilePath
    key: FilePath


@dataclass(frozen=True, config=STRICT)
class Limits:
    """Limits on requests, queues and shutdown.

    Attributes
    ----------
    header_bytes, body_bytes : int
        Maximum size of a request's header and body.
    queue_requests : int
        Maximum number of waiting requests for each model.
    stream_buffer_bytes : int
        Maximum bytes buffered for a caller that reads slowly.
    default_deadline_s : float
        Deadline of a request that sets none, in seconds after its arrival.
    max_deadline_s : float
        Latest deadline that a caller may set, in seconds after arrival.
    body_timeout_s : float
        Time in which a caller has to send its request, in seconds.
    reader_stall_s : float
        Time for which a caller may read nothing of its response, in seconds.
    drain_s : float
        Maximum duration of a graceful shutdown, in seconds.
    """

    header_bytes: PositiveInt = 16_384
    body_bytes: PositiveInt = 1_048_576
    queue_requests: PositiveInt = 512
    stream_buffer_bytes: PositiveInt = 262_144
    default_deadline_s: Seconds = 30.0
    max_deadline_s: Seconds = 86_400.0
    body_timeout_s: Seconds = 10.0
    reader_stall_s: Seconds = 30.0
    drain_s: Seconds = 60.0


@dataclass(frozen=True, config=STRICT)
class Settings:
    """Settings of an instance.

    Attributes
    ----------
    name, data_centre : str
        Name of the instance and of the data centre it runs in.
    platform : str
        Address of the platform's object API, ``ip:port``.
    namespace : str
        Namespace of the deployment's objects in the platform.
    listen : Listen
        Addresses that the instance listens on.
    peers : tuple of str
        Peer addresses of some other instances; gossip finds the rest.
    secret : str or None
        Shared secret of operators and peers; required to listen beyond
        loopback.
    tls : Tls or None
        Certificate and key of the HTTP ports; plain HTTP if None.
    statsd : str or None
        Address of the statsd server; metrics are only kept in memory if None.
    log_level : str
        Minimum level of log lines.
    """

    name: Name
    data_centre: Name
    platform: Address
    namespace: Name = "marjoramstage"
    listen: Listen = Field(default_factory=Listen)
    limits: Limits = Field(default_factory=Limits)
    peers: tuple[Address, ...] = ()
    secret: Secret | None = Field(default=None, repr=False)
    tls: Tls | None = None
    statsd: Address | None = None
    log_level: Annotated[str, Field(pattern="^(debug|info|warning|error)$")] = "info"


_ADAPTER = TypeAdapter(Settings)


def load_settings(path: str | Path) -> Settings:
    """Read settings from a YAML file.

    Raises
    ------
    ConfigError
        Lists every problem of the file.
    """
    return validate_document(read_document(path), _ADAPTER, settings_problems)


def parse_settings(text: str, source: str = "settings") -> Settings:
    """Read settings from YAML text; raises as `load_settings` does."""
    return validate_document(parse_document(text, source), _ADAPTER, settings_problems)
