"""Finds parts of prompts that crash targets, and quarantines them.

Targets crash for many reasons, and then all their requests break off. A part of a
prompt is suspected if request after request that has it ends in a crash and none goes
well. Only requests that were sent one after the other count: those that run side by
side break off together, whatever the cause.

Parts that always came together can't be told apart, so a quarantine holds for
requests that have all of them; it gets wider as one of them is seen to be harmless.
The module does no I/O: time is an argument.
"""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Iterable, Sequence
from dataclasses import dataclass, replace

from marjoramstage.coordination.crash_evidence import (
    NEVER_S,
    Crash,
    CrashedRequest,
    Suspicion,
    TargetStart,
    by_part,
    in_sequence,
    needed_crashes,
)

# How long a quarantine lasts after the last crash, in seconds. Requests are tried
# again then; for as long again, one crash renews it.
QUARANTINE_S = 600.0
# How long a crash is remembered, in seconds.
CRASH_TTL_S = 120.0
# Time in seconds after which all instances have reported the requests of a crash,
# and the answers that were begun just after it and go well.
SETTLE_S = 1.2
# Reports of one crash differ by less than this, in seconds.
SAME_CRASH_S = 1.5
MAX_CRASHES = 256
MAX_REQUESTS_PER_CRASH = 128
MAX_QUARANTINES = 256
MAX_HARMLESS_PARTS = 8192


@dataclass(frozen=True)
class Quarantine:
    """Requests that are not sent to targets: those that have all of these parts.

    Attributes
    ----------
    crashed_s : float
        When the last target crashed under such a request.
    since_s : float or None
        When the first did; None if another instance found it.
    """

    parts: frozenset[str]
    crashed_s: float
    since_s: float | None = None

    @property
    def until_s(self) -> float:
        """When such requests are tried again."""
        return self.crashed_s + QUARANTINE_S

    def holds(self, now_s: float) -> bool:
        """Whether it is in force."""
        return now_s < self.until_s

    def is_refuted(self, began_s: float) -> bool:
        """Whether an answer on one of its parts that went well speaks against it."""
        since_s = self.crashed_s if self.since_s is None else self.since_s
        return began_s > since_s

    def covers(self, parts: Iterable[str]) -> bool:
        """Whether a request with these parts has all parts in quarantine."""
        return self.parts.issubset(parts)


class PartQuarantine:
    """Parts of prompts that crash targets, as one instance knows them."""

    def __init__(self):
        self._crashes: list[Crash] = []
        self._quarantines: list[Quarantine] = []
        self._crashed_parts: set[str] = set()
        # When targets began to write answers that went well.
        self._harmless_s: OrderedDict[str, float] = OrderedDict()

    def find(self, parts: Sequence[str], now_s: float) -> Quarantine | None:
        """Return the quarantine that holds back a request with these parts."""
        for quarantine in self._quarantines:
            if quarantine.holds(now_s) and quarantine.covers(parts):
                return quarantine
        return None

    def active(self, now_s: float) -> list[Quarantine]:
        """Return all quarantines in force."""
        return [q for q in self._quarantines if q.holds(now_s)]

    def harmless_s(self, part: str) -> float:
        """Return when a target began to write the last sound answer on a part.

        `NEVER_S` if that isn't known.
        """
        return self._harmless_s.get(part, NEVER_S)

    def record_crash(
        self, start: TargetStart, at_s: float, requests: Iterable[CrashedRequest]
    ) -> None:
        """Record requests that a crash of a target broke off.

        Several instances report the same crash, each its own requests.
        """
        for crash in self._crashes:
            if crash.start == start and abs(crash.at_s - at_s) <= SAME_CRASH_S:
                break
        else:
            crash = Crash(start, at_s)
            self._crashes.append(crash)
            self._crashes.sort(key=lambda c: c.at_s)
            del self._crashes[:-MAX_CRASHES]
        known = {req.request_id for req in crash.requests}
        new = [req for req in requests if req.request_id not in known]
        new = new[: MAX_REQUESTS_PER_CRASH - len(crash.requests)]
        crash.requests += new
        for req in new:
            self._crashed_parts.update(req.parts)

    def record_harmless(self, parts: Iterable[str], began_s: float) -> list[str]:
        """Record an answer that was written without a crash.

        Parameters
        ----------
        parts : iterable of str
            Parts of the prompt that was answered.
        began_s : float
            When the target began to write.

        Returns
        -------
        list of str
            Those parts that a crash before that spoke against.
        """
        return [part for part in parts if self._acquit(part, began_s)]

    def judge(self, now_s: float) -> list[Quarantine]:
        """Quarantine what crashed targets; return what is new."""
        self._forget_old(now_s)
        self._renew(now_s)
        found = []
        while suspicion := self._worst_suspicion(now_s):
            quarantine = self._quarantine_for(suspicion)
            self._add(quarantine)
            self._lift_explained(quarantine)
            found.append(quarantine)
        return found

    def unsettled_s(self, now_s: float) -> float:
        """Return when the next crash can be judged; 0 if there is none."""
        ages_s = [now_s - crash.at_s for crash in self._crashes]
        waits_s = [SETTLE_S - age_s for age_s in ages_s if age_s < SETTLE_S]
        return min(waits_s, default=0.0)

    def merge(self, quarantine: Quarantine) -> bool:
        """Apply a quarantine that another instance found.

        Returns
        -------
        bool
            False if its parts have been seen to be harmless since.
        """
        crashed_s = quarantine.crashed_s
        parts = {part for part in quarantine.parts if self.harmless_s(part) < crashed_s}
        if not parts:
            return False
        self._crashed_parts.update(parts)
        known = [q for q in self._quarantines if q.parts <= parts]
        if not known:
            self._add(Quarantine(frozenset(parts), crashed_s))
        for own in known:
            last_s = max(own.crashed_s, crashed_s)
            self._quarantines.remove(own)
            self._quarantines.append(replace(own, crashed_s=last_s))
        return True

    def _add(self, quarantine: Quarantine) -> None:
        """Add a quarantine in place of those that hold back less."""
        kept = [q for q in self._quarantines if not quarantine.parts <= q.parts]
        self._quarantines = [*kept, quarantine][-MAX_QUARANTINES:]

    def _worst_suspicion(self, now_s: float) -> Suspicion | None:
        """Return what most likely caused crashes that no quarantine explains."""
        active = self.active(now_s)
        crashes = [
            crash
            for crash in self._settled(now_s)
            if not any(
                crash.has_request_with(quarantine.parts) for quarantine in active
            )
        ]
        suspicions = [
            self._suspect(part, found) for part, found in by_part(crashes).items()
        ]
        suspicions = [s for s in suspicions if s is not None]
        held = {part for quarantine in active for part in quarantine.parts}
        found = [
            suspicion
            for suspicion in suspicions
            if len(suspicion.run) >= needed_crashes(suspicion, crashes, held)
            and not any(suspicion.has_rival(other) for other in suspicions)
        ]
        return max(found, key=lambda s: s.weight, default=None)

    def _suspect(
        self, part: str, crashes: Iterable[tuple[Crash, list[CrashedRequest]]]
    ) -> Suspicion | None:
        """Return what speaks against a part; None if it was harmless since.

        Parameters
        ----------
        crashes : iterable of pairs
            Crashes, in order, and the requests there that have the part.
        """
        since_s = self.harmless_s(part)
        own = [(crash, reqs) for crash, reqs in crashes if crash.at_s >= since_s]
        if not own:
            return None
        return Suspicion(
            part,
            crashes=tuple(crash for crash, _ in own),
            run=tuple(in_sequence(own)),
            requests=tuple(req for _, reqs in own for req in reqs),
            is_known=since_s > NEVER_S,
        )

    def _quarantine_for(self, suspicion: Suspicion) -> Quarantine:
        """Return the quarantine of a part and of all that always came with it.

        Parts on which answers went well before are left out, unless all are such.
        """
        first_s, last_s = suspicion.run[0].at_s, suspicion.run[-1].at_s
        common = set.intersection(*(set(req.parts) for req in suspicion.requests))
        parts = {name for name in common if self.harmless_s(name) <= first_s}
        unknown = {name for name in parts if self.harmless_s(name) == NEVER_S}
        return Quarantine(frozenset(unknown or parts), last_s, first_s)

    def _lift_explained(self, quarantine: Quarantine) -> None:
        """End the quarantines whose crashes another one explains, and more of them."""
        due = {crash.start for crash in _under(quarantine, self._crashes)}
        for other in list(self._quarantines):
            if other is quarantine or other.parts & quarantine.parts:
                continue
            theirs = {crash.start for crash in _under(other, self._crashes)}
            if theirs and theirs < due:
                self._quarantines.remove(other)

    def _settled(self, now_s: float) -> list[Crash]:
        """Return the crashes of which all reports have come."""
        return [crash for crash in self._crashes if now_s - crash.at_s >= SETTLE_S]

    def _renew(self, now_s: float) -> None:
        """Prolong the quarantines under which another target crashed."""
        crashes = self._settled(now_s)
        for index, quarantine in enumerate(self._quarantines):
            times_s = [crash.at_s for crash in _under(quarantine, crashes)]
            crashed_s = max(times_s, default=NEVER_S)
            if crashed_s > quarantine.crashed_s:
                self._quarantines[index] = replace(quarantine, crashed_s=crashed_s)

    def _acquit(self, part: str, began_s: float) -> bool:
        """Record that a part is harmless; return whether it was suspected."""
        before_s = self.harmless_s(part)
        if began_s <= before_s:
            return False
        self._harmless_s[part] = began_s
        self._harmless_s.move_to_end(part)
        while len(self._harmless_s) > MAX_HARMLESS_PARTS:
            self._harmless_s.popitem(last=False)
        if part not in self._crashed_parts:
            return False
        refuted = [
            quarantine
            for quarantine in self._quarantines
            if part in quarantine.parts and quarantine.is_refuted(began_s)
        ]
        for quarantine in refuted:
            self._drop_part(quarantine, part)
        return bool(refuted) or any(
            before_s <= crash.at_s < began_s and crash.has_request_with({part})
            for crash in self._crashes
        )

    def _drop_part(self, quarantine: Quarantine, part: str) -> None:
        self._quarantines.remove(quarantine)
        rest = quarantine.parts - {part}
        if rest:
            self._add(replace(quarantine, parts=rest))

    def _forget_old(self, now_s: float) -> None:
        self._crashes = [c for c in self._crashes if now_s - c.at_s <= CRASH_TTL_S]
        self._quarantines = [
            q for q in self._quarantines if now_s < q.until_s + QUARANTINE_S
        ]
        self._crashed_parts = {
            part for c in self._crashes for req in c.requests for part in req.parts
        }
        for quarantine in self._quarantines:
            self._crashed_parts |= quarantine.parts


def _under(quarantine: Quarantine, crashes: Iterable[Crash]) -> list[Crash]:
    """Return the crashes under requests that a quarantine covers."""
    return [crash for crash in crashes if crash.has_request_with(quarantine.parts)]
