"""Limits on the rate of requests that targets named in their answers.

A target names the requests a second that it takes from all instances together, for
as long as it says so. The module does no I/O: time is an argument.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass

from marjoramstage.state.fleet import FleetTarget

# Targets whose limits are kept, the newest ones.
MAX_TARGETS = 16_384

# That a limit ended is told to other instances for this long, in seconds.
TELL_ENDED_S = 10.0
# Word of another instance that a limit ended counts as so much older, in seconds: a
# limit that this instance was told about meanwhile may be newer.
TOLD_END_MARGIN_S = 0.3


@dataclass(frozen=True)
class LimitWord:
    """The newest that is known of a target's limit.

    Attributes
    ----------
    per_s : float or None
        Requests a second; None if the target has named none since.
    at_s : float
        When the answer that says so arrived.
    """

    per_s: float | None
    at_s: float


class NamedLimits:
    """Limits of targets as one instance knows them, for each start of a target."""

    def __init__(self):
        self._words: dict[tuple[str, int], LimitWord] = {}

    def record(self, target: FleetTarget, per_s: float, now_s: float) -> bool:
        """Record the limit that an answer names; return whether that is news."""
        return self.learn(target.name, target.incarnation, LimitWord(per_s, now_s))

    def lift(self, target: FleetTarget, sent_s: float, now_s: float) -> bool:
        """Record that an answer names no limit; return whether one ended with it.

        The answer of a request that was sent before the limit was named says nothing.
        """
        known = self._words.get((target.name, target.incarnation))
        if known is None or known.per_s is None or sent_s < known.at_s:
            return False
        return self.learn(target.name, target.incarnation, LimitWord(None, now_s))

    def learn_told(
        self, name: str, incarnation: int, per_s: float | None, at_s: float
    ) -> bool:
        """Keep what another instance tells if it is newer; return whether it is news.

        Parameters
        ----------
        per_s : float or None
            None if the limit has ended.
        at_s : float
            When that instance learnt it.
        """
        if per_s is None:
            if (name, incarnation) not in self._words:
                return False
            at_s -= TOLD_END_MARGIN_S
        return self.learn(name, incarnation, LimitWord(per_s, at_s))

    def learn(self, name: str, incarnation: int, word: LimitWord) -> bool:
        """Keep what is newer than known; return whether the limit changed."""
        key = name, incarnation
        known = self._words.get(key)
        if known is not None and word.at_s <= known.at_s:
            return False
        self._words.pop(key, None)
        self._words[key] = word
        while len(self._words) > MAX_TARGETS:
            del self._words[next(iter(self._words))]
        return word.per_s != (known.per_s if known is not None else None)

    def any_named(self) -> bool:
        """Whether a target named a limit, which may have ended since."""
        return bool(self._words)

    def all_named(self, targets: Iterable[FleetTarget]) -> bool:
        """Whether each of some targets has a limit."""
        return all(self.per_s(target) is not None for target in targets)

    def word_to_tell(self, target: FleetTarget, now_s: float) -> LimitWord | None:
        """Return what other instances should know of a target; None if nothing."""
        word = self._words.get((target.name, target.incarnation))
        if word is None:
            return None
        if word.per_s is None and now_s - word.at_s > TELL_ENDED_S:
            return None
        return word

    def forget(self, name: str) -> None:
        """Forget a target that is gone."""
        for key in [key for key in self._words if key[0] == name]:
            del self._words[key]

    def per_s(self, target: FleetTarget) -> float | None:
        """Return the limit of a target in requests a second; None if it has none."""
        if not self._words:
            return None
        word = self._words.get((target.name, target.incarnation))
        return word.per_s if word is not None else None
