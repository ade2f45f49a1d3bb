"""Checks a stream of server-sent events without parsing their data."""

from __future__ import annotations

from dataclasses import dataclass, field

from marjoramstage.transport.event_stream import (
    EventSplitter,
    EventTooLongError,
    StreamEvent,
)

DONE = b"data: [DONE]\n\n"


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
    _splitter: EventSplitter = field(default_factory=EventSplitter)

    def feed(self, chunk: bytes) -> bytes:
        """Add received bytes; return the new events that are now complete.

        Raises
        ------
        SequenceError
            An event is missing or too long. Events before it that no earlier
            call returned have to be requested again.
        """
        accepted = []
        try:
            events = self._splitter.feed(chunk)
        except EventTooLongError as exc:
            raise SequenceError(str(exc)) from exc
        for event in events:
            try:
                if self._accept(event):
                    accepted.append(event.data)
            except SequenceError:
                if accepted:
                    return b"".join(accepted)
                raise
        return b"".join(accepted)

    def discard_incomplete(self) -> None:
        """Discard the incomplete event of a connection that broke."""
        self._splitter = EventSplitter()

    def _accept(self, event: StreamEvent) -> bool:
        """Count an event; return whether it is to be relayed to the caller."""
        if self.done:
            self.duplicates += 1
            return False
        number = event.number
        if number is not None:
            if number <= self.last_id:
                self.duplicates += 1
                return False
            if number > self.last_id + 1:
                raise SequenceError(f"event {number} follows {self.last_id}")
            self.last_id = number
            self.events += 1
            return True
        if event.data.endswith(DONE):
            self.done = True
            return True
        self.events += 1
        return True
