"""Splits an event stream into complete events without changing its bytes."""

from __future__ import annotations

END = b"\n\n"
ID_FIELD = b"id:"


class EventSplitter:
    """Buffers the bytes of an event until the event is complete.

    Attributes
    ----------
    incomplete : bytes
        Start of an event whose end has not arrived.
    last_id : str
        Id of the last complete event that had one.
    events : int
        Number of complete events.
    """

    def __init__(self):
        self.incomplete = b""
        self.last_id = ""
        self.events = 0

    def feed(self, chunk: bytes) -> bytes:
        """Add received bytes; return those of the events that are now complete."""
        data = self.incomplete + chunk
        end = data.rfind(END)
        if end < 0:
            self.incomplete = data
            return b""
        complete, self.incomplete = data[: end + len(END)], data[end + len(END) :]
        self.events += complete.count(END)
        self._update_last_id(complete)
        return complete

    def _update_last_id(self, complete: bytes) -> None:
        for line in reversed(complete.split(b"\n")):
            if line.startswith(ID_FIELD):
                self.last_id = line[len(ID_FIELD) :].strip().decode("latin-1")
                return
