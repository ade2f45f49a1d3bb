"""Token streams of the engine stand-in, retained for resuming them."""

from __future__ import annotations

import asyncio
from collections import OrderedDict
from dataclasses import dataclass, field

KEPT_STREAMS = 256


@dataclass
class Stream:
    """Output of one request: chunks generated so far and whether it ended."""

    chunks: list[str] = field(default_factory=list)
    ended: asyncio.Event = field(default_factory=asyncio.Event)
    cancelled: bool = False

    @property
    def done(self) -> bool:
        """Whether generation has ended, complete or cancelled."""
        return self.ended.is_set()


class StreamCache:
    """The latest `KEPT_STREAMS` streams, by request id."""

    def __init__(self):
        self._streams: OrderedDict[str, Stream] = OrderedDict()

    def open(self, request_id: str) -> Stream:
        """Add a new stream and evict the oldest ones beyond `KEPT_STREAMS`."""
        stream = Stream()
        self._streams[request_id] = stream
        while len(self._streams) > KEPT_STREAMS:
            self._streams.popitem(last=False)
        return stream

    def get(self, request_id: str) -> Stream | None:
        """Return the stream of a request; None if unknown or evicted."""
        return self._streams.get(request_id)


def chunk_data(request_id: str, index: int, text: str, chat: bool) -> dict:
    """Return one chunk of a streamed response as JSON data."""
    choice = {"index": 0, "finish_reason": None}
    choice |= {"delta": {"content": text}} if chat else {"text": text}
    return {"id": request_id, "sequence": index, "choices": [choice]}


def completion_data(request_id: str, chunks: list[str], chat: bool) -> dict:
    """Return the whole, not streamed response as JSON data."""
    text = "".join(chunks)
    choice = {"index": 0, "finish_reason": "stop"}
    if chat:
        choice |= {"message": {"role": "assistant", "content": text}}
    else:
        choice |= {"text": text}
    usage = {"completion_tokens": len(chunks)}
    return {"id": request_id, "choices": [choice], "usage": usage}
