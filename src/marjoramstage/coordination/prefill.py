"""Prompts that targets still have to read, and when to send them more.

Answers the load of streams beside long prompts: an engine reads prompts
between the tokens of its running streams, so that prompts which arrive close
together make every stream there pause. A target gets no more prompts in one go
than its streams' longest wanted pause allows; the next wait until it has read
those. Pure: time comes in.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass

# Prompt tokens that an engine reads in a second beside running streams.
READ_TOKENS_PER_S = 31_000.0

# Longest time that one prompt counts for, whatever size its caller states.
LONGEST_READ_S = 0.5

# Part of the longest wanted pause that prompts may take up.
PAUSE_SHARE = 0.65


@dataclass
class _Reading:
    """Prompts that a target reads without a break, in seconds of its clock."""

    began_s: float
    until_s: float


def _read_s(tokens: int) -> float:
    """Return how long an engine reads some tokens."""
    return min(tokens / READ_TOKENS_PER_S, LONGEST_READ_S)


class PrefillBook:
    """What each target has yet to read, from this and the other instances."""

    def __init__(self):
        self._reading: dict[str, _Reading] = {}
        self._untold: dict[str, int] = {}

    def sent(self, target: str, tokens: int, now_s: float) -> None:
        """Note a prompt of this instance, to be told to the others."""
        if tokens <= 0:
            return
        self._note(target, tokens, now_s)
        self._untold[target] = self._untold.get(target, 0) + tokens

    def told(self, prompts: Mapping[str, int], now_s: float) -> None:
        """Take in what another instance sent."""
        for target, tokens in prompts.items():
            self._note(target, tokens, now_s)

    def take_untold(self) -> dict[str, int]:
        """Return the tokens sent to each target since the last call."""
        untold, self._untold = self._untold, {}
        return untold

    def backlog_s(self, target: str, now_s: float) -> float:
        """Return how long a target is likely to read yet."""
        reading = self._reading.get(target)
        return max(0.0, reading.until_s - now_s) if reading is not None else 0.0

    def admits(self, target: str, tokens: int, pause_s: float, now_s: float) -> bool:
        """Whether one more prompt keeps the pauses there short enough.

        Parameters
        ----------
        pause_s : float
            Longest wanted pause of the streams there; 0 if there is none.
        """
        reading = self._reading.get(target)
        if reading is None or pause_s <= 0 or now_s >= reading.until_s:
            return True
        until_s = reading.until_s + _read_s(tokens)
        return until_s - reading.began_s <= pause_s * PAUSE_SHARE

    def next_free_s(self, now_s: float) -> float | None:
        """Return the time until a target that reads now is done; None if none."""
        left = [r.until_s - now_s for r in self._reading.values()]
        return min((s for s in left if s > 0), default=None)

    def forget(self, target: str) -> None:
        """Drop what is known of a target that is gone."""
        self._reading.pop(target, None)

    def _note(self, target: str, tokens: int, now_s: float) -> None:
        took_s = _read_s(tokens)
        reading = self._reading.get(target)
        if reading is None or now_s >= reading.until_s:
            self._reading[target] = _Reading(now_s, now_s + took_s)
            return
        reading.until_s += took_s
