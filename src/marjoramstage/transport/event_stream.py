"""Cuts an event stream into whole events, byte for byte."""

from __future__ import annotations

END = b"\n\n"
ID_FIELD = b"id:"


class EventSplitter:
    """Holds back the bytes of an event until its end has come.

    Attributes
    ----------
    rest : bytes
        The start of an event that has not ended.
    last_id : str
        Id of the last whole event that had one.
    """

    def __init__(self):
        self.rest = b""
        self.last_id = ""

    def feed(self, block: bytes) -> bytes:
        """Take in bytes; return those of the events that are whole now."""
        data = self.rest + block
        end = data.rfind(END)
        if end < 0:
            self.rest = data
            return b""
        whole, self.rest = data[: end + len(END)], data[end + len(END) :]
        self._note_id(whole)
        return whole

    def _note_id(self, whole: bytes) -> None:
        for line in reversed(whole.split(b"\n")):
            if line.startswith(ID_FIELD):
                self.last_id = line[len(ID_FIELD) :].strip().decode("latin-1")
                return
