"""Reads YAML files and validates them into frozen dataclasses.

Every problem is reported with its file, line and path.
"""

from __future__ import annotations

import json
import re
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from pathlib import Path
from typing import Any, TypeVar

import yaml
from pydantic import TypeAdapter, ValidationError

from marjoramstage.exceptions import ConfigError

T = TypeVar("T")

MAX_FILE_BYTES = 1_000_000


@dataclass(frozen=True)
class Document:
    """A parsed YAML file.

    Attributes
    ----------
    source : str
        File name, for error messages.
    data : Any
        Mappings, lists and scalars, as YAML gives them.
    lines : dict
        First line of each path, counted from 1.
    problems : tuple of str
        Problems found while parsing, such as repeated keys.
    """

    source: str
    data: Any
    lines: dict[tuple[str | int, ...], int]
    problems: tuple[str, ...] = ()

    def where(self, path: tuple[str | int, ...]) -> str:
        """Return ``file:line: path``, with the line of the nearest known parent."""
        known = path
        while known and known not in self.lines:
            known = known[:-1]
        line = self.lines.get(known, 1)
        return f"{self.source}:{line}: {format_path(path)}"


def format_path(path: tuple[str | int, ...]) -> str:
    """Return ``path`` as text, such as ``models[2].name``."""
    text = ""
    for part in path:
        if isinstance(part, int):
            text += f"[{part}]"
            continue
        text += f".{part}" if text else part
    return text or "(top)"


def read_document(path: str | Path) -> Document:
    """Read a YAML file.

    Raises
    ------
    ConfigError
        The file cannot be read, is too long, is not YAML or has an alias.
        Repeated keys are recorded in ``Document.problems``.
    """
    try:
        text = Path(path).read_bytes()
    except OSError as exc:
        raise ConfigError((f"{path}:1: cannot be read: {exc.strerror}",)) from exc
    return parse_document(text, str(path))


def parse_document(text: bytes | str, source: str) -> Document:
    """Parse YAML text; ``source`` names it in error messages.

    Raises
    ------
    ConfigError
        The text is too long, is not YAML or has an alias.
    """
    if len(text) > MAX_FILE_BYTES:
        raise ConfigError((f"{source}:1: longer than {MAX_FILE_BYTES} bytes",))
    lines: dict[tuple[str | int, ...], int] = {}
    problems: list[str] = []
    try:
        _reject_aliases(text, source)
        node = yaml.compose(text, Loader=yaml.SafeLoader)
        data = yaml.safe_load(text)
        if node is not None:
            _record_lines(node, (), source, lines, problems)
    except (yaml.YAMLError, UnicodeDecodeError, ValueError) as exc:
        mark = getattr(exc, "problem_mark", None)
        line = mark.line + 1 if mark else 1
        problem = getattr(exc, "problem", None) or str(exc).split("\n", 1)[0]
        raise ConfigError((f"{source}:{line}: not YAML: {problem}",)) from exc
    except RecursionError as exc:
        raise ConfigError((f"{source}:1: nested too deeply",)) from exc
    return Document(source, data, lines, tuple(problems))


def _reject_aliases(text: bytes | str, source: str) -> None:
    """Reject aliases, with which a short text can expand to a huge document."""
    for event in yaml.parse(text, Loader=yaml.SafeLoader):
        if not isinstance(event, yaml.AliasEvent):
            continue
        line = event.start_mark.line + 1
        problem = f"{source}:{line}: alias *{event.anchor}: aliases are not allowed"
        raise ConfigError((problem,))


def _record_lines(node, path, source, lines, problems) -> None:
    """Record the lines of ``node`` and its descendants; report repeated keys."""
    lines.setdefault(path, node.start_mark.line + 1)
    if isinstance(node, yaml.SequenceNode):
        for index, child in enumerate(node.value):
            _record_lines(child, (*path, index), source, lines, problems)
        return
    if not isinstance(node, yaml.MappingNode):
        return
    seen = set()
    for key, child in node.value:
        child_path = (*path, str(key.value))
        line = key.start_mark.line + 1
        if key.value in seen:
            problems.append(f"{source}:{line}: {format_path(child_path)}: repeated key")
        seen.add(key.value)
        lines.setdefault(child_path, line)
        _record_lines(child, child_path, source, lines, problems)


def validate_document(
    document: Document,
    adapter: TypeAdapter[T],
    rules: Callable[[Document], Iterable[str]] | None = None,
) -> T:
    """Validate ``document`` and build the dataclass of ``adapter`` from it.

    Parameters
    ----------
    rules : callable, optional
        Returns the problems that type checks cannot find. It runs even if the
        types are wrong, so that one pass reports every problem.

    Raises
    ------
    ConfigError
        Lists every problem, in the order of the lines.
    """
    if not isinstance(document.data, dict):
        raise ConfigError((f"{document.source}:1: (top): a mapping is needed",))
    problems = list(document.problems)
    if rules is not None:
        problems += rules(document)
    value = None
    try:
        # In strict mode pydantic accepts a mapping for a dataclass only from JSON.
        value = adapter.validate_json(json.dumps(document.data, default=str))
    except ValidationError as exc:
        problems += _validation_problems(document, exc)
    except RecursionError:
        problems.append(f"{document.source}:1: nested too deeply")
    if problems:
        raise ConfigError(tuple(sorted(problems, key=_line_number)))
    return value


def _line_number(problem: str) -> int:
    """Return the line number of ``file:line: ...``."""
    found = re.match(r".*?:(\d+): ", problem)
    return int(found[1]) if found else 0


def _validation_problems(document: Document, exc: ValidationError) -> list[str]:
    found = []
    for error in exc.errors(include_url=False, include_input=False):
        path = tuple(part for part in error["loc"])
        message = error["msg"]
        if error["type"] in ("unexpected_keyword_argument", "extra_forbidden"):
            message = "unknown key"
        found.append(f"{document.where(path)}: {message}")
    return found
