"""Leader election for a shard of targets, by a lease in the platform.

The lease is taken and renewed by conditional updates, each with a fencing number
that rises with every change of holder.
"""

from __future__ import annotations

from dataclasses import dataclass, replace

from transitions import Machine

from marjoramstage.protocol.leases import LeaseHeld, LeaseLost

TERM_S = 9.0
RENEW_S = 3.0
CLOCK_MARGIN_S = 0.5
STAGGER_S = 1.0
# Time after a failed call before the lease is read again.
RETRY_READ_S = 1.0
# The first ranks read the lease as often as the holder renews it, the others rarely.
FREQUENT_READ_RANKS = 3
# Fencing numbers of each era of the store; those of a later one are all higher.
FENCES_PER_ERA = 1_000_000
INFREQUENT_READ_S = 30.0

WATCHING = "watching"
TAKING = "taking"
HOLDING = "holding"
RELEASED = "released"

STATES = [WATCHING, TAKING, HOLDING, RELEASED]
TRANSITIONS = [
    {"trigger": "take", "source": WATCHING, "dest": TAKING},
    {"trigger": "win", "source": TAKING, "dest": HOLDING},
    {"trigger": "miss", "source": TAKING, "dest": WATCHING},
    {"trigger": "lapse", "source": HOLDING, "dest": WATCHING},
    {"trigger": "displace", "source": HOLDING, "dest": WATCHING},
    {"trigger": "release", "source": [WATCHING, TAKING, HOLDING], "dest": RELEASED},
]


@dataclass(frozen=True)
class LeaseTiming:
    """Times of a lease, in seconds.

    Attributes
    ----------
    term_s, renew_s : float
        Validity of one write, and the time after which the holder renews it.
    margin_s : float
        How much earlier the holder stops than a candidate may take the lease.
    stagger_s : float
        Additional wait of each next rank before it takes a lease.
    wait_s : float or None
        How long a candidate has to see a version unchanged before it takes the
        lease; None for the whole term. A shorter time is safe only where
        targets refuse orders with an older fencing number.
    """

    term_s: float = TERM_S
    renew_s: float = RENEW_S
    margin_s: float = CLOCK_MARGIN_S
    stagger_s: float = STAGGER_S
    wait_s: float | None = None


@dataclass(frozen=True)
class LeaseRecord:
    """A lease as the platform stores it.

    Attributes
    ----------
    holder : str
        Identity of the holding process; empty after the holder released it.
    fence : int
        Fencing number; rises with each change of holder.
    renewals : int
        Rises with each write of one holder; distinguishes a write whose answer
        was lost from the write before it.
    version : str
        Resource version; empty before the first write.
    address : str
        Address at which the other instances reach the holder; may be empty.
    era : int
        Era of the store in which the holder took the lease.
    """

    shard: str
    holder: str
    fence: int
    renewals: int = 0
    version: str = ""
    address: str = ""
    era: int = 0


@dataclass(frozen=True)
class ReadLease:
    """Read the lease of a shard."""

    shard: str


@dataclass(frozen=True)
class WriteLease:
    """Write a lease by conditional update; create it if it has no version."""

    record: LeaseRecord


LeaseEffect = ReadLease | WriteLease | LeaseHeld | LeaseLost


class LeaseElector:
    """State machine by which one instance takes, renews and loses a lease.

    The holder counts the validity from before its write was sent; a candidate
    waits for a full term after it first saw the version that it replaces, unless
    `LeaseTiming` says otherwise. Each uses its own monotonic clock, so the clocks
    need to run at the same rate but not to agree.

    Calls of the platform are returned as effects; their outcomes come in through
    the methods that process a read, a write, a failure or a conflict.

    Parameters
    ----------
    shard : str
        Name of the shard and of its lease.
    identity : str
        Unique for each start of a process.
    address : str
        Address of this instance, written into the lease for the others.
    timing : LeaseTiming
        Term and intervals.
    first_start : bool
        The whole system starts for the first time, so that a missing lease has
        never been held.
    """

    def __init__(
        self,
        shard: str,
        identity: str,
        address: str = "",
        timing: LeaseTiming | None = None,
        first_start: bool = False,
    ):
        self.shard = shard
        self.identity = identity
        self.address = address
        self.timing = timing or LeaseTiming()
        self.until_s = 0.0
        self.record: LeaseRecord | None = None
        self.era = 0
        self._first_start = first_start
        self._version_seen_s = 0.0
        self._last_read_s = 0.0
        self._pending_write: LeaseRecord | None = None
        self._write_sent_s = 0.0
        self._ended_holding = ("", 0)
        self._call_pending = False
        self._next_call_s = 0.0
        self._retry_s = 0.0
        self._machine = Machine(
            model=self,
            states=STATES,
            transitions=TRANSITIONS,
            initial=WATCHING,
            auto_transitions=False,
        )

    @property
    def valid_until_s(self) -> float:
        """End of the lease's validity; 0 while it is not held."""
        return self.until_s if self.state == HOLDING else 0.0

    @property
    def fence(self) -> int:
        """Fencing number of the record seen last."""
        return self.record.fence if self.record is not None else 0

    def tick(self, rank: int, now_s: float) -> list[LeaseEffect]:
        """Return the calls that are due, and `LeaseLost` after expiry.

        Parameters
        ----------
        rank : int
            Rank of this instance among the live ones in the shard's order of
            preference; 0 is the first.
        """
        effects: list[LeaseEffect] = []
        if self.state == HOLDING and now_s >= self.until_s:
            self.lapse()
            effects.append(LeaseLost(self.shard))
        if self._call_pending or self.state == RELEASED:
            return effects
        if self._pending_write is None and self._may_take(rank):
            self.take()
            return [*effects, self._write(self._takeover_record(), now_s)]
        if now_s < self._next_call_s and not self._read_is_due(rank, now_s):
            return effects
        if self._pending_write is None and self.state == HOLDING:
            renewed = replace(self.record, renewals=self.record.renewals + 1)
            return [*effects, self._write(renewed, now_s)]
        self._next_call_s = now_s + self._read_interval(rank)
        return [*effects, self._read()]

    def on_holder_ended(self, holder: str, fence: int) -> None:
        """Record that a holder announced that it gives no more orders.

        Parameters
        ----------
        fence : int
            Fencing number under which the holder ended; the same instance may
            have taken the lease again since.
        """
        self._ended_holding = (holder, fence)
        self._next_call_s = 0.0

    def on_restored(self, era: int, now_s: float) -> list[LeaseEffect]:
        """Process that the store was restored; nothing that was read still holds.

        A holder has to take the lease again before its next order: the store may
        have lost the write by which it held.
        """
        self.era = era
        self._first_start = False
        self._pending_write = None
        self._next_call_s = now_s
        held = self.state == HOLDING
        if held:
            self.displace()
        if self.state == TAKING:
            self.miss()
        if self.state != RELEASED:
            self.record = None
        return [LeaseLost(self.shard)] if held else []

    def on_read(self, record: LeaseRecord | None, now_s: float) -> list[LeaseEffect]:
        """Process a read record; None if there is no lease yet."""
        self._call_pending = False
        if self.state == RELEASED:
            return []
        found = record or LeaseRecord(self.shard, "", 0)
        if found != self.record:
            self._version_seen_s = now_s
        self._last_read_s = now_s
        self.record = found
        pending_write, self._pending_write = self._pending_write, None
        if (
            pending_write is not None
            and record is not None
            and _same_write(pending_write, record)
        ):
            return self._confirmed(record, now_s)
        if self.state == TAKING:
            self.miss()
        if self.state == HOLDING and not self._is_own(record):
            self.displace()
            return [LeaseLost(self.shard)]
        return []

    def on_written(self, record: LeaseRecord, now_s: float) -> list[LeaseEffect]:
        """Process a write that the platform confirmed."""
        self._call_pending = False
        self._pending_write = None
        if self.state == RELEASED:
            return []
        self.record = record
        self._version_seen_s = now_s
        self._last_read_s = now_s
        return self._confirmed(record, now_s)

    def on_failed(self, now_s: float) -> list[LeaseEffect]:
        """Process a failed call; a write may have taken effect nevertheless."""
        self._call_pending = False
        self._retry_s = now_s + RETRY_READ_S
        self._next_call_s = self._retry_s
        return []

    def on_conflict(self, now_s: float) -> list[LeaseEffect]:
        """Process a write that was refused as the version differs; read again."""
        self._call_pending = False
        self._next_call_s = now_s
        return []

    def stop(self, now_s: float) -> list[LeaseEffect]:
        """Release the lease, so that the next holder need not wait."""
        if self.state == RELEASED:
            return []
        held = self.state == HOLDING and now_s < self.until_s
        self.release()
        if not held:
            return []
        given_up = replace(self.record, holder="", renewals=self.record.renewals + 1)
        return [LeaseLost(self.shard), WriteLease(given_up)]

    def _confirmed(self, record: LeaseRecord, now_s: float) -> list[LeaseEffect]:
        """Extend the validity, counted from when the confirmed write was sent."""
        self.until_s = self._write_sent_s + self.timing.term_s - self.timing.margin_s
        self._next_call_s = self._write_sent_s + self.timing.renew_s
        if now_s >= self.until_s:
            if self.state == TAKING:
                self.miss()
            return []
        if self.state == TAKING:
            self.win()
        if self.state != HOLDING:
            return []
        return [LeaseHeld(self.shard, record.fence, self.until_s)]

    def _takeover_record(self) -> LeaseRecord:
        record = self.record
        return LeaseRecord(
            self.shard,
            self.identity,
            _next_fence(record.fence, self.era),
            version=record.version,
            address=self.address,
            era=self.era,
        )

    def _may_take(self, rank: int) -> bool:
        """Whether the last read found the version unchanged for long enough."""
        record = self.record
        if record is None or self.state != WATCHING:
            return False
        return self._last_read_s - self._version_seen_s >= self._takeover_wait_s(rank)

    def _takeover_wait_s(self, rank: int) -> float:
        """How long a version has to stay unchanged before it may be replaced."""
        record = self.record
        ended = (record.holder, record.fence) == self._ended_holding
        free = ended or record.holder in ("", self.identity)
        never_held = self._first_start and not record.version
        if record.era < self.era and not never_held:
            # Whoever held the lease after this record may not know that it is lost.
            free = False
        timing = self.timing
        wait_s = timing.term_s if timing.wait_s is None else timing.wait_s
        return rank * timing.stagger_s + (0.0 if free else wait_s)

    def _read_is_due(self, rank: int, now_s: float) -> bool:
        """Whether another read could show that the lease may be taken."""
        if self.record is None or self.state != WATCHING:
            return False
        due_s = self._version_seen_s + self._takeover_wait_s(rank)
        return self._last_read_s < due_s <= now_s and now_s >= self._retry_s

    def _is_own(self, record: LeaseRecord | None) -> bool:
        return record is not None and record.holder == self.identity

    def _read_interval(self, rank: int) -> float:
        return self.timing.renew_s if rank < FREQUENT_READ_RANKS else INFREQUENT_READ_S

    def _read(self) -> ReadLease:
        self._call_pending = True
        return ReadLease(self.shard)

    def _write(self, record: LeaseRecord, now_s: float) -> WriteLease:
        self._call_pending = True
        self._pending_write = record
        self._write_sent_s = now_s
        return WriteLease(record)


def _next_fence(fence: int, era: int) -> int:
    """Return a fencing number above all that were given out.

    A restored store may name a lower one than was given out before.
    """
    count = fence % FENCES_PER_ERA
    return max(fence, era * FENCES_PER_ERA + count) + 1


def _same_write(pending_write: LeaseRecord, found: LeaseRecord) -> bool:
    return (
        pending_write.holder == found.holder
        and pending_write.fence == found.fence
        and pending_write.renewals == found.renewals
    )
