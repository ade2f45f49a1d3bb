"""Checks a stream of server-sent events without parsing their data."""

from __future__ import annotations

from dataclasses import dataclass

EVENT_END = b"\n\n"
ID_FIELD = b"id: "
DONE = b"data: [DONE]\n\n"
MAX_EVENT_BYTES = 1_048_576


class SequenceError(Exception):
    """An event is missing between the last one and the next."""


@dataclass
class EventScanner:
    """Checks the sequence of events; buffers an incomplete one.

    Attributes
    ----------
    last_id : int
        Sequence number of the latest event; -1 before the first.
    events : int
        Number of accepted events: those with a new number or without one.
    duplicates : int
        Number of repeated events, which were dropped.
    done : bool
        Whether the last event of the engine, ``[DONE]``, was seen.
    """

    last_id: int = -1
    events: int = 0
    duplicates: int = 0
    done: bool = False
    _incomplete: bytes = b""

    def feed(self, chunk: bytes) -> bytes:
        """Add received bytes; return the new events that are now complete.

        Raises
        ------
        SequenceError
            An event is missing or too long. Events before it that no earlier
            call returned have to be requested again.
        """
        data = self._incomplete + chunk if self._incomplete else chunk
        end = data.rfind(EVENT_END) + len(EVENT_END)
        if end < len(EVENT_END):
            if len(data) > MAX_EVENT_BYTES:
                raise SequenceError("an event exceeds the size limit")
            self._incomplete = data
            return b""
        self._incomplete = data[end:]
        if data.find(EVENT_END) + len(EVENT_END) == end:
            event = data if end == len(data) else data[:end]
            return event if self._accept(event) else b""
        return b"".join(self._accept_each(data[:end]))

    def discard_incomplete(self) -> None:
        """Discard the incomplete event of a connection that broke."""
        self._incomplete = b""

    def _accept_each(self, data: bytes) -> list[bytes]:
        accepted = []
        for part in data.split(EVENT_END)[:-1]:
            event = part + EVENT_END
            try:
                if self._accept(event):
                    accepted.append(event)
            except SequenceError:
                if accepted:
                    return accepted
                raise
        return accepted

    def _accept(self, event: bytes) -> bool:
        """Count an event; return whether it is to be relayed to the caller."""
        if self.done:
            self.duplicates += 1
            return False
        number = _event_number(event) if event.startswith(ID_FIELD) else None
        if number is not None:
            if number <= self.last_id:
                self.duplicates += 1
                return False
            if number > self.last_id + 1:
                raise SequenceError(f"event {number} follows {self.last_id}")
            self.last_id = number
            self.events += 1
            return True
        if event.endswith(DONE):
            self.done = True
            return True
        self.events += 1
        return True


def _event_number(event: bytes) -> int | None:
    line = event[len(ID_FIELD) : event.index(b"\n")]
    return int(line) if line.isdigit() else None
