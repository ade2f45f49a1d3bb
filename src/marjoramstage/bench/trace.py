"""Format of traces of requests and faults, and the reader that validates them.

A trace is a JSON Lines file, optionally compressed by gzip: first a header with
the deployment and the expected results, then requests and faults ordered by time.
"""

from __future__ import annotations

import gzip
import json
from collections.abc import Iterable, Iterator, Mapping
from pathlib import Path
from typing import Annotated, Any, Literal

from pydantic import ConfigDict, Field, TypeAdapter, ValidationError
from pydantic.dataclasses import dataclass

from marjoramstage.bench._references import Names
from marjoramstage.exceptions import ConfigError

# Dataclasses with this configuration reject unknown fields, values of another type,
# infinity and NaN.
CHECKED = ConfigDict(extra="forbid", strict=True, allow_inf_nan=False)
MAX_PROBLEMS = 20

Text = Annotated[str, Field(min_length=1)]
Count = Annotated[int, Field(ge=0)]
AboveZero = Annotated[float, Field(gt=0)]
NotNegative = Annotated[float, Field(ge=0)]
FaultKind = Literal[
    "kill_target",
    "leave_target",
    "freeze_instance",
    "kill_instance",
    "cut",
    "heal",
    "platform_down",
    "platform_slow",
    "platform_up",
    "lose_answer",
    "lose_order",
    "delay_order",
    "apply",
]


@dataclass(frozen=True, config=CHECKED)
class InstanceSpec:
    """An instance and its data centre."""

    name: Text
    data_centre: Text


@dataclass(frozen=True, config=CHECKED)
class TargetSpec:
    """A target; ``slots`` is the number of requests it runs concurrently."""

    name: Text
    data_centre: Text
    memory_mb: Count
    accelerators: Count
    kind: Literal["engine", "service"]
    slots: Annotated[int, Field(gt=0)]
    fencing: bool = False


@dataclass(frozen=True, config=CHECKED)
class ModelSpec:
    """A model, with the prefill and decode speed of a single request."""

    name: Text
    memory_mb: Annotated[int, Field(gt=0)]
    prefill_tokens_per_s: AboveZero
    decode_tokens_per_s: AboveZero


@dataclass(frozen=True, config=CHECKED)
class AdapterSpec:
    """An adapter, which belongs to one model."""

    name: Text
    model: Text
    memory_mb: Annotated[int, Field(gt=0)]


@dataclass(frozen=True, config=CHECKED)
class CustomerSpec:
    """A customer; ``paid`` names the models, adapters and services it paid for."""

    name: Text
    weight: AboveZero = 1.0
    paid: tuple[Text, ...] = ()


@dataclass(frozen=True, config=CHECKED)
class StoreSpec:
    """Limits of the store that targets load model weights from.

    Attributes
    ----------
    loads_per_s : float
        Loads that may start per second.
    at_full_speed : int
        Concurrent loads that each get the full ``mb_per_s``.
    """

    loads_per_s: AboveZero
    at_full_speed: Annotated[int, Field(gt=0)]
    mb_per_s: AboveZero


@dataclass(frozen=True, config=CHECKED)
class Header:
    """The first line of a trace: the deployment and the expected results.

    Attributes
    ----------
    adapter_load_ms : tuple of float
        Minimum and maximum duration of an adapter load, in milliseconds.
    expect : Mapping
        Expected results; see `marjoramstage.bench.expectations`.
    """

    kind: Literal["header"]
    name: Text
    data_centres: Annotated[tuple[Text, ...], Field(min_length=1)]
    instances: Annotated[tuple[InstanceSpec, ...], Field(min_length=1)]
    targets: Annotated[tuple[TargetSpec, ...], Field(min_length=1)]
    models: tuple[ModelSpec, ...]
    customers: tuple[CustomerSpec, ...]
    store: StoreSpec
    adapters: tuple[AdapterSpec, ...] = ()
    adapter_load_ms: tuple[NotNegative, NotNegative] = (5.0, 10.0)
    adapters_in_transit: Annotated[int, Field(gt=0)] = 60
    expect: Mapping[str, Any] = Field(default_factory=dict)

    @property
    def accelerators(self) -> int:
        """Total number of accelerators of the targets."""
        return sum(target.accelerators for target in self.targets)


@dataclass(frozen=True, config=CHECKED)
class RequestLine:
    """A request; ``deadline_ms`` is relative to its arrival ``at_ms``."""

    kind: Literal["request"]
    at_ms: NotNegative
    id: Text
    data_centre: Text
    customer: Text
    target_kind: Literal["engine", "service"]
    model: Text
    prompt_tokens: Count
    output_tokens: Count
    deadline_ms: AboveZero
    request_class: Annotated[
        Literal["urgent", "interactive", "overnight"], Field(alias="class")
    ]
    repeatable: bool
    adapter: Text | None = None


@dataclass(frozen=True, config=CHECKED)
class FaultLine:
    """A fault that affects ``what``; ``for_ms`` is its duration, if it has one."""

    kind: Literal["fault"]
    at_ms: NotNegative
    fault: FaultKind
    what: str = ""
    for_ms: AboveZero | None = None


@dataclass(frozen=True)
class Trace:
    """A validated trace.

    Attributes
    ----------
    lines : tuple
        Requests and faults, ordered by time.
    warnings : tuple of str
        One message per unknown field; such fields are ignored.
    """

    header: Header
    lines: tuple[RequestLine | FaultLine, ...]
    warnings: tuple[str, ...] = ()

    @property
    def requests(self) -> Iterator[RequestLine]:
        """The requests, without the faults."""
        return (line for line in self.lines if isinstance(line, RequestLine))


_TYPES = {
    "header": TypeAdapter(Header),
    "request": TypeAdapter(RequestLine),
    "fault": TypeAdapter(FaultLine),
}


def parse_header(data: dict[str, Any]) -> Header:
    """Build a header from decoded JSON; raises pydantic's ``ValidationError``."""
    return _TYPES["header"].validate_json(json.dumps(data))


def read_trace(path: str | Path) -> Trace:
    """Read and validate a trace file; names ending in ``.gz`` are decompressed.

    Raises
    ------
    ConfigError
        Reading stops after about `MAX_PROBLEMS` errors; each names file, line and
        field.
    """
    try:
        opener = gzip.open if str(path).endswith(".gz") else open
        with opener(path, "rt", encoding="utf-8") as file:
            return parse_trace(file, str(path))
    except OSError as exc:
        reason = exc.strerror or str(exc)
        raise ConfigError((f"{path}:1: cannot be read: {reason}",)) from exc
    except (EOFError, UnicodeDecodeError) as exc:
        raise ConfigError((f"{path}:1: cannot be read: {exc}",)) from exc


def parse_trace(lines: Iterable[str], source: str) -> Trace:
    """Parse and validate the lines of a trace; raises like `read_trace`."""
    return _Reader(source).read(lines)


class _Reader:
    def __init__(self, source: str):
        self._source = source
        self._problems: list[str] = []
        self._warnings: list[str] = []
        self._header: Header | None = None
        self._names: Names | None = None
        self._last_ms = 0.0

    def read(self, lines: Iterable[str]) -> Trace:
        found = []
        for number, text in enumerate(lines, start=1):
            if not text.strip():
                continue
            line = self._line(number, text)
            if len(self._problems) >= MAX_PROBLEMS:
                break
            if line is not None:
                found.append(line)
        if self._header is None and not self._problems:
            self._problem(1, "kind", "the trace is empty; a header is needed")
        if self._problems:
            raise ConfigError(tuple(self._problems))
        return Trace(self._header, tuple(found), tuple(self._warnings))

    def _line(self, number: int, text: str) -> RequestLine | FaultLine | None:
        value = self._parsed(number, text)
        if value is None:
            return None
        if isinstance(value, Header):
            if self._header is not None:
                self._problem(number, "kind", "there is a header already")
                return None
            self._header = value
            self._names = Names(value)
            self._note(number, self._names.header_problems())
            return None
        if self._names is None:
            if not self._problems:
                self._problem(number, "kind", "the first line must be the header")
            return None
        if value.at_ms < self._last_ms:
            self._problem(number, "at_ms", "earlier than the line before")
        self._last_ms = value.at_ms
        if isinstance(value, RequestLine):
            self._note(number, self._names.request_problems(value))
        else:
            self._note(number, self._names.fault_problems(value))
        return value

    def _parsed(self, number: int, text: str) -> Any:
        try:
            data = json.loads(text)
        except (ValueError, RecursionError) as exc:
            self._problem(number, "(line)", f"not JSON: {exc}")
            return None
        kind = data.get("kind") if isinstance(data, dict) else None
        adapter = _TYPES.get(kind) if isinstance(kind, str) else None
        if adapter is None:
            self._problem(number, "kind", "must be header, request or fault")
            return None
        try:
            return adapter.validate_json(text)
        except ValidationError as exc:
            return self._without_unknown(number, data, adapter, exc)

    def _without_unknown(
        self, number: int, data: dict, adapter: TypeAdapter, exc: ValidationError
    ) -> Any:
        """Report the errors; if there are only unknown fields, parse without them."""
        wrong = False
        for error in exc.errors(include_url=False, include_input=False):
            path = error["loc"]
            field = ".".join(str(part) for part in path)
            if error["type"] in ("unexpected_keyword_argument", "extra_forbidden"):
                warning = f"{self._source}:{number}: {field}: unknown field, ignored"
                self._warnings.append(warning)
                _remove(data, path)
                continue
            wrong = True
            self._problem(number, field, error["msg"])
        if wrong:
            return None
        return adapter.validate_json(json.dumps(data))

    def _note(self, number: int, problems: Iterable[tuple[str, str]]) -> None:
        for field, message in problems:
            self._problem(number, field, message)

    def _problem(self, number: int, field: str, message: str) -> None:
        self._problems.append(f"{self._source}:{number}: {field}: {message}")


def _remove(data: Any, path: tuple[str | int, ...]) -> None:
    for part in path[:-1]:
        data = data[part]
    data.pop(path[-1], None)
