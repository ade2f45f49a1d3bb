"""Prefill backlog of targets, and whether they may get another prompt.

An engine reads prompts (prefill) between the tokens of its running streams, so
prompts that arrive close together make every stream there pause. A target gets
only as many prompts in a row as the longest wanted pause of its streams allows;
further prompts wait until it has read those. The module does no I/O: time is an
argument.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass

# Prompt tokens that an engine reads per second while it runs streams.
PREFILL_TOKENS_PER_S = 31_000.0

# Limit on the time that one prompt counts for: callers may overstate its size.
MAX_PREFILL_S = 0.5

# Share of the longest wanted pause that reading prompts may take up.
MAX_PAUSE_SHARE = 0.65


@dataclass
class _BusyPeriod:
    """Period in which a target reads prompts without a break, in seconds."""

    start_s: float
    end_s: float


def _prefill_s(tokens: int) -> float:
    """Return how long an engine takes to read a prompt."""
    return min(tokens / PREFILL_TOKENS_PER_S, MAX_PREFILL_S)


class PrefillBacklog:
    """Prompts that each target has yet to read, sent by any instance."""

    def __init__(self):
        self._busy_periods: dict[str, _BusyPeriod] = {}
        self._unannounced: dict[str, int] = {}

    def record_sent(self, target: str, tokens: int, now_s: float) -> None:
        """Record a prompt of this instance, to be announced to the others."""
        if tokens <= 0:
            return
        self._record(target, tokens, now_s)
        self._unannounced[target] = self._unannounced.get(target, 0) + tokens

    def record_remote(self, prompts: Mapping[str, int], now_s: float) -> None:
        """Record prompts that another instance sent, in tokens by target."""
        for target, tokens in prompts.items():
            self._record(target, tokens, now_s)

    def take_unannounced(self) -> dict[str, int]:
        """Return the tokens sent to each target since the last call."""
        unannounced, self._unannounced = self._unannounced, {}
        return unannounced

    def backlog_s(self, target: str, now_s: float) -> float:
        """Return the expected time until a target has read its prompts."""
        busy = self._busy_periods.get(target)
        return max(0.0, busy.end_s - now_s) if busy is not None else 0.0

    def admits(self, target: str, tokens: int, pause_s: float, now_s: float) -> bool:
        """Whether a target's streams can bear the pause that one more prompt adds.

        Parameters
        ----------
        pause_s : float
            Longest wanted pause of the streams there; 0 for no limit.
        """
        busy = self._busy_periods.get(target)
        if busy is None or pause_s <= 0 or now_s >= busy.end_s:
            return True
        end_s = busy.end_s + _prefill_s(tokens)
        return end_s - busy.start_s <= pause_s * MAX_PAUSE_SHARE

    def shortest_backlog_s(self, now_s: float) -> float | None:
        """Return the shortest backlog among busy targets; None if none is busy."""
        remaining_s = [r.end_s - now_s for r in self._busy_periods.values()]
        return min((s for s in remaining_s if s > 0), default=None)

    def forget(self, target: str) -> None:
        """Forget a target that is gone."""
        self._busy_periods.pop(target, None)

    def _record(self, target: str, tokens: int, now_s: float) -> None:
        took_s = _prefill_s(tokens)
        busy = self._busy_periods.get(target)
        if busy is None or now_s >= busy.end_s:
            self._busy_periods[target] = _BusyPeriod(now_s, now_s + took_s)
            return
        busy.end_s += took_s
