"""Keeps the log records of a component for a test."""

import contextlib
import logging

from marjoramstage.logs import ROOT_LOGGER


class RecordingHandler(logging.Handler):
    """Keeps all log records."""

    def __init__(self):
        super().__init__()
        self.lines = []

    def emit(self, record):
        self.lines.append(record)


@contextlib.contextmanager
def recorded_logs(component):
    """Yield the list of records that a component logs meanwhile."""
    handler = RecordingHandler()
    logger = logging.getLogger(f"{ROOT_LOGGER}.{component}")
    logger.addHandler(handler)
    try:
        yield handler.lines
    finally:
        logger.removeHandler(handler)
