"""What crashes of targets say about the parts of the prompts that were there.

When a target crashes, all its requests break off, so what they have in common says
little. Requests that were sent one after the other say more, as does that a part was
in one request alone each time.
"""

from __future__ import annotations

from collections.abc import Container, Iterable, Set
from dataclasses import dataclass, field

# Crashes in a row under requests with a part until it is quarantined, and under
# requests that have just one of several parts that are in quarantine together.
MIN_CRASHES = 3
MIN_FURTHER_CRASHES = 2
# Requests that run side by side may crash many targets within a moment. Then two
# crashes in a row are enough if so many are due to the part, and this share of all.
MANY_CRASHES = 5
MIN_CRASHES_OF_MANY = 2
SHARE_OF_MANY = 0.8
# Where targets also crash for other reasons, some parts are there several times by
# chance. So each two other crashes within this time call for one more, up to a limit.
OTHER_CRASHES_S = 10.0
MAX_NEEDED_CRASHES = 6
# A part isn't to blame while another was there in most of its crashes that is about
# as likely to be; after many crashes only while that one is clearly more likely.
RIVAL_COVERAGE = 0.6
RIVAL_WEIGHT = 0.8
CLEAR_RIVAL_WEIGHT = 1.25
# How much weight a part keeps on which answers went well before its first crash, and
# how many more crashes it takes to quarantine it.
KNOWN_PART_WEIGHT = 0.5
FURTHER_KNOWN_PART_CRASHES = 2

NEVER_S = float("-inf")


@dataclass(frozen=True)
class TargetStart:
    """One start of a target."""

    target: str
    incarnation: int


@dataclass(frozen=True)
class CrashedRequest:
    """A request that may have crashed its target.

    Attributes
    ----------
    parts : tuple of str
        Parts of its prompt that other requests may have too.
    sent_s : float
        When it was sent to the target.
    """

    request_id: str
    parts: tuple[str, ...]
    sent_s: float


@dataclass
class Crash:
    """A crash of a target, and the requests that it may be due to."""

    start: TargetStart
    at_s: float
    requests: list[CrashedRequest] = field(default_factory=list)

    def has_request_with(self, parts: Set[str]) -> bool:
        """Whether a request that has all these parts was there."""
        return any(parts <= set(req.parts) for req in self.requests)


@dataclass(frozen=True)
class Suspicion:
    """What speaks against a part.

    Attributes
    ----------
    crashes : tuple of Crash
        Those under requests with the part since it was last seen to be harmless.
    run : tuple of Crash
        Those of them under different requests that were sent one after the other.
    requests : tuple of CrashedRequest
        The requests with the part in all these crashes.
    is_known : bool
        Answers on it went well before.
    """

    part: str
    crashes: tuple[Crash, ...]
    run: tuple[Crash, ...]
    requests: tuple[CrashedRequest, ...]
    is_known: bool

    @property
    def requests_per_crash(self) -> float:
        """How many requests had the part in each crash; a culprit needs just one."""
        return len(self.requests) / len(self.crashes)

    @property
    def weight(self) -> float:
        """How likely the part is to blame, compared with others."""
        share = KNOWN_PART_WEIGHT if self.is_known else 1.0
        return share * len(self.crashes) / self.requests_per_crash

    def has_rival(self, other: Suspicion) -> bool:
        """Whether another part may explain these crashes as well.

        One that all these requests have too, and more of them, explains them worse.
        """
        if set(other.requests) >= set(self.requests):
            return False
        is_long = len(self.run) >= MAX_NEEDED_CRASHES
        share = CLEAR_RIVAL_WEIGHT if is_long else RIVAL_WEIGHT
        if other.weight < share * self.weight:
            return False
        starts = {crash.start for crash in other.crashes}
        covered = sum(crash.start in starts for crash in self.run)
        return covered >= RIVAL_COVERAGE * len(self.run)


def by_part(
    crashes: Iterable[Crash],
) -> dict[str, list[tuple[Crash, list[CrashedRequest]]]]:
    """Return the crashes under each part, with the requests that have it."""
    found: dict[str, list[tuple[Crash, list[CrashedRequest]]]] = {}
    for crash in crashes:
        requests: dict[str, list[CrashedRequest]] = {}
        for req in crash.requests:
            for part in req.parts:
                requests.setdefault(part, []).append(req)
        for part, having in requests.items():
            found.setdefault(part, []).append((crash, having))
    return found


def in_sequence(
    crashes: Iterable[tuple[Crash, list[CrashedRequest]]],
) -> list[Crash]:
    """Return the crashes under different requests sent one after the other."""
    found: list[Crash] = []
    seen: set[str] = set()
    last_s = NEVER_S
    for crash, requests in crashes:
        if all(req.sent_s <= last_s or req.request_id in seen for req in requests):
            continue
        found.append(crash)
        seen.update(req.request_id for req in requests)
        last_s = crash.at_s
    return found


def needed_crashes(
    suspicion: Suspicion, crashes: Iterable[Crash], held: Container[str]
) -> int:
    """Return how many crashes in a row speak clearly against a part.

    Parameters
    ----------
    crashes : iterable of Crash
        All that no quarantine explains.
    held : container of str
        Parts that are in quarantine, perhaps only together with others.
    """
    if suspicion.part in held:
        return MIN_FURTHER_CRASHES
    last_s = suspicion.run[-1].at_s
    own = {crash.start for crash in suspicion.crashes}
    others = sum(
        crash.start not in own and last_s - OTHER_CRASHES_S <= crash.at_s <= last_s
        for crash in crashes
    )
    needed = MIN_CRASHES + others // 2
    if suspicion.is_known:
        return min(MAX_NEEDED_CRASHES, needed + FURTHER_KNOWN_PART_CRASHES)
    count = len(suspicion.crashes)
    if count >= MANY_CRASHES and count >= SHARE_OF_MANY * (count + others):
        return MIN_CRASHES_OF_MANY
    return min(MAX_NEEDED_CRASHES, needed)
