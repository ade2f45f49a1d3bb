"""Finds the version of targets' software that a stream has to go on at."""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Awaitable, Callable
from typing import Protocol

from marjoramstage._entry.instance_state import InstanceState
from marjoramstage._entry.request_context import RequestContext
from marjoramstage._entry.request_log import OriginSource

# Streams that an instance remembers callers to have resumed, the newest ones.
MAX_RESUMED_STREAMS = 4096
# A stream is stored within this time of its first event, in seconds.
STORED_WITHIN_S = 0.3


class StoredOrigins(Protocol):
    """What instances have stored of streams and versions."""

    is_loaded: bool

    async def reload(self, since_s: float) -> None:
        """Read what other instances have stored, unless that began since a time."""


class StreamVersions:
    """Finds where streams that callers take up began.

    Parameters
    ----------
    ask : callable
        Asks the other instances which version began a stream; gives an empty text
        if none knows.
    """

    def __init__(
        self,
        state: InstanceState,
        stored: StoredOrigins,
        ask: Callable[[str], Awaitable[str]],
    ):
        self._state = state
        self._stored = stored
        self._ask = ask
        # When callers first resumed streams, by id.
        self._first_resumed_s: OrderedDict[str, float] = OrderedDict()

    async def find(self, ctx: RequestContext) -> tuple[str, OriginSource]:
        """Return the version that began a stream, and how it became known.

        An instance that doesn't know yet which versions are gone can't rely on the
        one that is there.
        """
        resumes = ctx.headers.resumes
        own = self._own(resumes)
        if own:
            return own, OriginSource.OWN
        sole = self._sole(ctx.service)
        if sole:
            return sole, OriginSource.SOLE
        told = await self._ask(resumes) if resumes else ""
        if told:
            return told, OriginSource.TOLD
        if resumes:
            await self._stored.reload(self._stored_by_s(ctx))
        stored = self._own(resumes)
        if stored:
            return stored, OriginSource.STORED
        sole = self._sole(ctx.service)
        return sole, OriginSource.SOLE if sole else OriginSource.UNKNOWN

    def _stored_by_s(self, ctx: RequestContext) -> float:
        """Return when a stream that a request resumes is stored at the latest.

        It began before it was first resumed.
        """
        first_s = self._first_resumed_s.setdefault(ctx.headers.resumes, ctx.arrived_s)
        while len(self._first_resumed_s) > MAX_RESUMED_STREAMS:
            self._first_resumed_s.popitem(last=False)
        return min(ctx.arrived_s, first_s + STORED_WITHIN_S)

    def _own(self, resumes: str) -> str:
        state = self._state
        return state.stream_origins.find(resumes, state.clock.now())

    def _sole(self, service: str) -> str:
        """Return the only version of late; empty if another one may be missing.

        One may be that is gone, or that joined while this instance was cut off.
        """
        state = self._state
        if not state.is_in_step():
            return ""
        is_complete = state.software.is_complete(service, state.clock.now())
        if not (self._stored.is_loaded and is_complete):
            return ""
        return state.sole_software(service)
