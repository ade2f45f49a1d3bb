"""Leading parts of prompts that targets are likely to have cached.

A target that has read the leading parts of a prompt for the same item skips them when
they come again. An instance only knows what it sent itself. It takes parts for cached
until the target has been sent about as many tokens as fit in its memory since, has
restarted, or some time has passed. As it doesn't know what other instances sent, all
instances prefer the same target for a first part. The module does no I/O: time is an
argument.
"""

from __future__ import annotations

import zlib
from collections import Counter
from collections.abc import Callable, Iterable
from dataclasses import dataclass

from marjoramstage.state.fleet import FleetTarget, Item
from marjoramstage.state.prompts import PromptPart

# Prefixes that are kept, the ones sent last.
MAX_PREFIXES = 2048
# Targets for each prefix, the ones it was sent to last.
MAX_TARGETS_PER_PREFIX = 8
# Time after which a prefix that was not sent again counts as evicted, in seconds.
KEPT_S = 60.0
# Running requests take the rest of a target's memory for context.
CACHE_SHARE = 0.3
# Time for which the preferred target of a part is not looked up again, in seconds.
HOME_S = 1.0
# Multiplicative hash of 32 bits (2^32 over the golden ratio).
WEIGHT_FACTOR, WEIGHT_MASK = 2_654_435_769, 0xFFFFFFFF

TargetKey = tuple[str, int]


@dataclass(frozen=True)
class _Sent:
    """When a prefix was last sent to a target.

    Attributes
    ----------
    tokens_before : int
        Tokens that this instance had sent to the target by then.
    """

    incarnation: int
    at_s: float
    tokens_before: int


@dataclass(frozen=True)
class _Home:
    """Preferred target of a first part, and how long that isn't looked up again."""

    target: TargetKey
    until_s: float


class KeptPrefixes:
    """Prefixes that this instance sent to targets, by item."""

    def __init__(self):
        self._sent: dict[int, dict[str, _Sent]] = {}
        self._homes: dict[int, _Home] = {}
        # Checksums of the targets' names.
        self._numbers: dict[str, int] = {}
        self._tokens: Counter[str] = Counter()

    def record_sent(
        self,
        target: FleetTarget,
        item: Item,
        parts: tuple[PromptPart, ...],
        prompt_tokens: int,
        now_s: float,
    ) -> None:
        """Record a prompt that is sent to a target."""
        self._tokens[target.name] += prompt_tokens
        sent = _Sent(target.incarnation, now_s, self._tokens[target.name])
        key = hash(item)
        for part in parts:
            key = hash((key, part.id))
            by_target = self._sent.pop(key, {})
            self._sent[key] = by_target
            by_target.pop(target.name, None)
            by_target[target.name] = sent
            if len(by_target) > MAX_TARGETS_PER_PREFIX:
                del by_target[next(iter(by_target))]
        while len(self._sent) > MAX_PREFIXES:
            del self._sent[next(iter(self._sent))]

    def home(
        self,
        item: Item,
        part: PromptPart,
        targets: Iterable[FleetTarget],
        is_holder: Callable[[FleetTarget], bool],
        now_s: float,
    ) -> TargetKey | None:
        """Return the target to which all instances send a first part by preference.

        Highest random weight: each instance finds the same target without a message,
        and another one only for the parts of a target that came or went.

        Parameters
        ----------
        is_holder : callable
            Whether a target holds the item. It is asked for few of them.
        """
        key = hash((hash(item), part.id))
        home = self._homes.get(key)
        if home is not None and now_s < home.until_s:
            return home.target
        target = self._heaviest(f"{item} {part.id}", targets, is_holder)
        if target is None:
            return None
        self._homes.pop(key, None)
        self._homes[key] = _Home(target, now_s + HOME_S)
        if len(self._homes) > MAX_PREFIXES:
            del self._homes[next(iter(self._homes))]
        return target

    def _heaviest(
        self,
        text: str,
        targets: Iterable[FleetTarget],
        is_holder: Callable[[FleetTarget], bool],
    ) -> TargetKey | None:
        """Return the holder with the highest weight for a text."""
        number, best, most = zlib.crc32(text.encode()), None, -1
        for target in targets:
            name = target.name
            own = self._numbers.get(name)
            if own is None:
                own = self._numbers[name] = zlib.crc32(name.encode())
            weight = (number ^ own) * WEIGHT_FACTOR & WEIGHT_MASK
            if weight > most and is_holder(target):
                best, most = (name, target.incarnation), weight
        return best

    def cached_tokens(
        self,
        item: Item,
        parts: tuple[PromptPart, ...],
        capacity_tokens: int,
        now_s: float,
    ) -> dict[TargetKey, int]:
        """Return the leading tokens that targets are likely to have cached.

        Parameters
        ----------
        capacity_tokens : int
            Tokens that fit in a target's memory for context.

        Returns
        -------
        dict
            Tokens by name and incarnation of the targets that have any.
        """
        found: dict[TargetKey, int] = {}
        key, tokens = hash(item), 0
        max_since = CACHE_SHARE * capacity_tokens
        for part in parts:
            key = hash((key, part.id))
            by_target = self._sent.get(key)
            if by_target is None:
                break
            before, tokens = tokens, tokens + part.tokens
            for name, sent in by_target.items():
                target = name, sent.incarnation
                if found.get(target, 0) != before or now_s - sent.at_s > KEPT_S:
                    continue
                if self._tokens[name] - sent.tokens_before <= max_since:
                    found[target] = tokens
        return found

    def forget(self, target: str) -> None:
        """Forget a target that is gone."""
        self._tokens.pop(target, None)
        self._numbers.pop(target, None)
        for by_target in self._sent.values():
            by_target.pop(target, None)
