"""``story`` prints the log entries of one request in order of time."""

from __future__ import annotations

import argparse
import json
import sys
from collections.abc import Iterable
from pathlib import Path
from typing import Any

from marjoramstage._commands import exits

_OMITTED_FIELDS = ("time", "level", "message", "event", "instance", "request")


def add(commands) -> None:
    """Add the command to the parser."""
    parser = commands.add_parser("story", help="print the log entries of a request")
    parser.add_argument("request", help="id of the request")
    parser.add_argument("--log", nargs="+", required=True, help="log files")
    parser.set_defaults(run=_story)


def _story(args: argparse.Namespace) -> int:
    lines: list[str] = []
    for path in args.log:
        lines += Path(path).read_text(errors="replace").splitlines()
    found = story(lines, args.request)
    for line in found:
        print(line)
    if not found:
        print(f"no log entry of request {args.request}", file=sys.stderr)
        return exits.FAILED
    return exits.OK


def story(lines: Iterable[str], request_id: str) -> list[str]:
    """Return a readable line for each log entry of a request, oldest first.

    Lines without a JSON object are skipped; text before an object, such as a log
    collector's prefix, is ignored.
    """
    found = []
    for line in lines:
        if request_id not in line:
            continue
        data = _parse_object(line)
        if data is not None and data.get("request") == request_id:
            found.append(data)
    found.sort(key=lambda data: str(data.get("time", "")))
    return [_format_entry(data) for data in found]


def _parse_object(line: str) -> dict[str, Any] | None:
    start = line.find("{")
    if start < 0:
        return None
    try:
        data = json.loads(line[start:])
    except ValueError:
        return None
    return data if isinstance(data, dict) else None


def _format_entry(data: dict[str, Any]) -> str:
    rest = [f"{k}={v}" for k, v in data.items() if k not in _OMITTED_FIELDS]
    head = f"{data.get('time', '')} {data.get('instance', '')}: {data.get('event')}"
    return f"{head}, {', '.join(rest)}"
