"""Structured logs: one JSON object per line, with a prefix per component."""

from __future__ import annotations

import logging
import os
import sys
from collections.abc import MutableMapping
from typing import Any

from pythonjsonlogger.json import JsonFormatter

ROOT = "marjoramstage"


class ComponentLogger(logging.LoggerAdapter):
    """A logger that puts the name of its component before each message."""

    def process(
        self, msg: str, kwargs: MutableMapping[str, Any]
    ) -> tuple[str, MutableMapping[str, Any]]:
        """Add the prefix; fields given as ``extra`` are kept."""
        return f"{self.extra['part']}: {msg}", kwargs


def component_logger(part: str) -> ComponentLogger:
    """Return the logger of a component; its messages start with ``NAME: ``."""
    return ComponentLogger(logging.getLogger(f"{ROOT}.{part}"), {"part": part})


class LibraryPrefix(logging.Filter):
    """Adds a prefix to messages of libraries, so that every message has one."""

    def filter(self, record: logging.LogRecord) -> bool:
        """Add the prefix; no record is dropped."""
        if not record.name.startswith(ROOT):
            record.msg = f"library: {record.getMessage()}"
            record.args = ()
        return True


class NonBlockingHandler(logging.Handler):
    """Writes lines to a file descriptor; drops lines that would block.

    Parameters
    ----------
    number : int
        File descriptor; it is set to non-blocking mode.
    """

    def __init__(self, number: int):
        super().__init__()
        os.set_blocking(number, False)
        self._number = number
        self._cut = b""
        self.dropped = 0

    def emit(self, record: logging.LogRecord) -> None:
        """Write a line, or drop it and count it.

        The rest of a line that was written in part goes out before the next.
        """
        line = self.format(record).encode() + b"\n"
        try:
            if self._cut:
                self._cut = self._cut[os.write(self._number, self._cut) :]
            if self._cut:
                self.dropped += 1
                return
            self._cut = line[os.write(self._number, line) :]
        except OSError:
            self.dropped += 1


def configure(level: str, instance: str) -> None:
    """Send log lines to standard error as JSON.

    Parameters
    ----------
    level : str
        Minimum level, such as ``info``.
    instance : str
        Name of the process, added to each line.
    """
    _configure(logging.StreamHandler(sys.stderr), level, instance)


def configure_stdout(level: str, instance: str) -> None:
    """Send log lines to standard output without ever blocking on its reader."""
    _configure(NonBlockingHandler(sys.stdout.fileno()), level, instance)


def _configure(handler: logging.Handler, level: str, instance: str) -> None:
    formatter = JsonFormatter(
        "%(asctime)s %(levelname)s %(message)s",
        rename_fields={"asctime": "time", "levelname": "level"},
        static_fields={"instance": instance},
    )
    handler.setFormatter(formatter)
    handler.addFilter(LibraryPrefix())
    logging.getLogger().handlers[:] = [handler]
    logging.getLogger(ROOT).setLevel(level.upper())
