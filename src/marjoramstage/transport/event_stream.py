"""Splits an event stream into complete events without changing its bytes."""

from __future__ import annotations

import re
from collections.abc import Iterator
from dataclasses import dataclass

from marjoramstage.transport.framing import Framing

LINE_ENDS = b"\r\n"
MAX_EVENT_BYTES = 262_144

# A blank line ends an event. Lines end with CR LF, LF or CR.
_EVENT_END = re.compile(rb"\r?\n\r?\n|\r\r")
_MAX_EVENT_END_BYTES = 4
_MAX_NUMBER_DIGITS = 18
_ID = re.compile(rb"(?:^|[\r\n])id:([^\r\n]*)")


@dataclass(frozen=True, slots=True)
class StreamEvent:
    """A complete event, with the blank line that ends it."""

    data: bytes

    @property
    def id(self) -> str:
        """The id of the event; empty if it has none."""
        found = _ID.search(self.data)
        return found[1].strip().decode("latin-1") if found else ""

    @property
    def number(self) -> int | None:
        """The id as a number; None if it is none."""
        return event_number(self.id)

    @property
    def is_comment(self) -> bool:
        """Whether it has nothing but comment lines, as a keep-alive has."""
        lines = self.data.replace(b"\r", b"\n").split(b"\n")
        return all(not line or line.startswith(b":") for line in lines)


def event_number(event_id: str) -> int | None:
    """Return the id of an event as a number; None if it is none."""
    if not event_id.isdecimal() or len(event_id) > _MAX_NUMBER_DIGITS:
        return None
    return int(event_id)


def _event_ends(data: bytearray, start: int) -> Iterator[int]:
    """Yield the positions after the blank lines that end events."""
    if b"\r" in data:
        for found in _EVENT_END.finditer(data, start):
            yield found.end()
        return
    position = data.find(b"\n\n", start)
    while position >= 0:
        yield position + 2
        position = data.find(b"\n\n", position + 2)


class EventTooLongError(Exception):
    """An event is larger than `MAX_EVENT_BYTES`."""


class EventSplitter:
    """Holds the bytes of an event back until the event is complete.

    Attributes
    ----------
    last_event : StreamEvent or None
        The last complete event.
    count : int
        Number of complete events.
    """

    def __init__(self):
        self.last_event: StreamEvent | None = None
        self.count = 0
        self._incomplete = bytearray()

    @property
    def incomplete(self) -> bytes:
        """Bytes after the last complete event."""
        return bytes(self._incomplete)

    @property
    def inside_event(self) -> bool:
        """Whether an event has begun that is not complete."""
        return bool(self._incomplete.strip(LINE_ENDS))

    def feed(self, chunk: bytes) -> list[StreamEvent]:
        """Add received bytes; return the events that are now complete.

        Raises
        ------
        EventTooLongError
            The rest of the stream cannot be split.
        """
        data = self._incomplete
        search_from = max(0, len(data) - _MAX_EVENT_END_BYTES + 1)
        data += chunk
        events, start = [], 0
        for end in _event_ends(data, search_from):
            events.append(StreamEvent(bytes(data[start:end])))
            start = end
        if events:
            del data[:start]
            self.last_event = events[-1]
            self.count += len(events)
        if len(data) > MAX_EVENT_BYTES:
            raise EventTooLongError(f"an event of over {MAX_EVENT_BYTES} bytes")
        return events

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
        if framing is Framing.CONNECTION and not self.count:
            return "the connection closed before the first event"
        return ""
