"""Structured logs: one JSON object a line, with a fixed prefix for each part."""

from __future__ import annotations

import logging
import sys
from collections.abc import MutableMapping
from typing import Any

from pythonjsonlogger.json import JsonFormatter

ROOT = "marjoramstage"


class PartLogger(logging.LoggerAdapter):
    """A logger that puts the prefix of its part before each sentence."""

    def process(
        self, msg: str, kwargs: MutableMapping[str, Any]
    ) -> tuple[str, MutableMapping[str, Any]]:
        """Add the prefix; fields given as ``extra`` are kept."""
        return f"{self.extra['part']}: {msg}", kwargs


def part_logger(part: str) -> PartLogger:
    """Return the logger of ``part``; its lines start with ``part: ``."""
    return PartLogger(logging.getLogger(f"{ROOT}.{part}"), {"part": part})


class LibraryPrefix(logging.Filter):
    """Puts a prefix before the lines of libraries, so that every line has one."""

    def filter(self, record: logging.LogRecord) -> bool:
        """Add the prefix; no line is dropped."""
        if not record.name.startswith(ROOT):
            record.msg = f"library: {record.getMessage()}"
            record.args = ()
        return True


def configure(level: str, instance: str) -> None:
    """Send log lines to standard error as JSON.

    Parameters
    ----------
    level : str
        Least level, such as ``info``.
    instance : str
        Name of the process, put in each line.
    """
    handler = logging.StreamHandler(sys.stderr)
    formatter = JsonFormatter(
        "%(asctime)s %(levelname)s %(message)s",
        rename_fields={"asctime": "time", "levelname": "level"},
        static_fields={"instance": instance},
    )
    handler.setFormatter(formatter)
    handler.addFilter(LibraryPrefix())
    logging.getLogger().handlers[:] = [handler]
    logging.getLogger(ROOT).setLevel(level.upper())
