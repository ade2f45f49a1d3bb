"""Finds the version of targets' software that a stream has to go on at."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from typing import Protocol

from marjoramstage._entry.instance_state import InstanceState
from marjoramstage._entry.request_context import RequestContext
from marjoramstage._entry.request_log import OriginSource


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
            await self._stored.reload(ctx.arrived_s)
        stored = self._own(resumes)
        if stored:
            return stored, OriginSource.STORED
        sole = self._sole(ctx.service)
        return sole, OriginSource.SOLE if sole else OriginSource.UNKNOWN

    def _own(self, resumes: str) -> str:
        state = self._state
        return state.stream_origins.find(resumes, state.clock.now())

    def _sole(self, service: str) -> str:
        """Return the only version of late; empty if one that is gone may be missing."""
        state = self._state
        is_complete = state.software.is_complete(service, state.clock.now())
        if not (self._stored.is_loaded and is_complete):
            return ""
        return state.sole_software(service)
