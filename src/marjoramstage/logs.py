"""Structured logs: one JSON object per line, with a prefix per component."""

from __future__ import annotations

import logging
import os
import sys
from collections.abc import MutableMapping
from typing import Any

from pythonjsonlogger.json import JsonFormatter

ROOT_LOGGER = "marjoramstage"


class ComponentLogger(logging.LoggerAdapter):
    """A logger that puts the name of its component before each message.

    Each line has the message as its ``event``, unless its fields name another.
    """

    def process(
        self, msg: str, kwargs: MutableMapping[str, Any]
    ) -> tuple[str, MutableMapping[str, Any]]:
        """Add the prefix and the event; fields given as ``extra`` are kept."""
        fields = {"event": msg, **(kwargs.get("extra") or {})}
        return f"{self.extra['component']}: {msg}", {**kwargs, "extra": fields}


def component_logger(component: str) -> ComponentLogger:
    """Return the logger of a component; its messages start with ``NAME: ``."""
    return ComponentLogger(
        logging.getLogger(f"{ROOT_LOGGER}.{component}"), {"component": component}
    )


class LibraryPrefixFilter(logging.Filter):
    """Adds a prefix to messages of libraries, so that every message has one."""

    def filter(self, record: logging.LogRecord) -> bool:
        """Add the prefix; no record is dropped."""
        if not record.name.startswith(ROOT_LOGGER):
            record.msg = f"library: {record.getMessage()}"
            record.args = ()
        return True


class NonBlockingHandler(logging.Handler):
    """Writes lines to a file descriptor; drops lines that would block.

    Parameters
    ----------
    fd : int
        File descriptor; it is set to non-blocking mode.
    """

    def __init__(self, fd: int):
        super().__init__()
        os.set_blocking(fd, False)
        self._fd = fd
        self._unwritten = b""
        self.dropped = 0

    def emit(self, record: logging.LogRecord) -> None:
        """Write a line, or drop it and count it.

        The rest of a line that was written in part goes out before the next.
        """
        line = self.format(record).encode() + b"\n"
        try:
            if self._unwritten:
                self._unwritten = self._unwritten[os.write(self._fd, self._unwritten) :]
            if self._unwritten:
                self.dropped += 1
                return
            self._unwritten = line[os.write(self._fd, line) :]
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
    handler.addFilter(LibraryPrefixFilter())
    logging.getLogger().handlers[:] = [handler]
    logging.getLogger(ROOT_LOGGER).setLevel(level.upper())
