"""Splits an event stream into complete events without changing its bytes."""

from __future__ import annotations

import re

from marjoramstage.transport.framing import Framing

ID_FIELD = b"id:"
LINE_ENDS = b"\r\n"

# A blank line ends an event. Lines end with CR LF, LF or CR.
_EVENT_END = re.compile(rb"\r?\n\r?\n|\r\r")
_MAX_EVENT_END_BYTES = 4


class EventSplitter:
    """Holds the bytes of an event back until the event is complete.

    Attributes
    ----------
    last_id : str
        Id of the last complete event that had one.
    events : int
        Number of complete events.
    """

    def __init__(self):
        self.last_id = ""
        self.events = 0
        self._incomplete = bytearray()

    @property
    def incomplete(self) -> bytes:
        """Bytes after the last complete event."""
        return bytes(self._incomplete)

    @property
    def inside_event(self) -> bool:
        """Whether an event has begun that is not complete."""
        return bool(self._incomplete.strip(LINE_ENDS))

    def feed(self, chunk: bytes) -> bytes:
        """Add received bytes; return those of the events that are now complete."""
        data = self._incomplete
        search_from = max(0, len(data) - _MAX_EVENT_END_BYTES + 1)
        data += chunk
        end = 0
        for found in _EVENT_END.finditer(data, search_from):
            end = found.end()
            self.events += 1
        if not end:
            return b""
        complete = bytes(data[:end])
        del data[:end]
        self._update_last_id(complete)
        return complete

    def truncation(self, framing: Framing) -> str:
        """Return why the stream is truncated if it ends here; empty if it is not.

        Parameters
        ----------
        framing : Framing
            How the response marks the end of its body. A stream that only its
            connection ends is taken for complete between two events alone.
        """
        if self.inside_event:
            return "the stream ended inside an event"
        if framing is Framing.CONNECTION and not self.events:
            return "the connection closed before the first event"
        return ""

    def _update_last_id(self, complete: bytes) -> None:
        for line in reversed(complete.splitlines()):
            if line.startswith(ID_FIELD):
                self.last_id = line[len(ID_FIELD) :].strip().decode("latin-1")
                return
