"""Customers of a configuration, their quotas and the keys that identify them."""

from __future__ import annotations

import enum
import hashlib
import os
from collections import Counter
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field

DIGEST_BYTES = 16
# Charged for requests that state no tokens, if the configuration names no number.
DEFAULT_PLAIN_TOKENS = 200.0

# Makes digests useless outside of this process.
_DIGEST_KEY = os.urandom(hashlib.blake2b.MAX_KEY_SIZE)


def digest_key(key: str) -> bytes:
    """Return the digest by which a key is found."""
    encoded = key.encode("utf-8", "surrogateescape")
    return hashlib.blake2b(encoded, digest_size=DIGEST_BYTES, key=_DIGEST_KEY).digest()


class QuotaUnit(enum.Enum):
    """What a quota counts."""

    REQUESTS = "requests"
    TOKENS = "tokens"


@dataclass(frozen=True)
class Quota:
    """How much a customer may use, over all instances together.

    Attributes
    ----------
    rate_per_s : float
        Units per second; above 0.
    burst : float
        Units that may be used at once on top of the rate; above 0.
    plain_tokens : float
        Tokens charged for a request that states none.
    """

    unit: QuotaUnit
    rate_per_s: float
    burst: float
    plain_tokens: float = DEFAULT_PLAIN_TOKENS

    def cost_of(
        self, prompt_tokens: int, output_tokens: int, has_tokens: bool
    ) -> float:
        """Return what a request costs, in units of the quota.

        Parameters
        ----------
        has_tokens : bool
            The request states its tokens.
        """
        if self.unit is QuotaUnit.REQUESTS:
            return 1.0
        if not has_tokens:
            return self.plain_tokens
        return float(prompt_tokens + output_tokens)


@dataclass(frozen=True)
class Customer:
    """A customer; its name is sent to targets with its requests.

    Attributes
    ----------
    priority : int or None
        0 is the highest; None if only the priorities of routes count.
    quota : Quota or None
        None if its use isn't limited.
    """

    name: str
    priority: int | None = None
    quota: Quota | None = None


@dataclass(frozen=True)
class CustomerProblem:
    """Why a customer, or a key of it, was left out.

    Attributes
    ----------
    name : str
        Name of the customer, or its position in the list if it has no valid one.
    """

    name: str
    reason: str


@dataclass(frozen=True)
class CustomerSpec:
    """One customer as listed in a configuration.

    Attributes
    ----------
    label : str
        Name for log lines.
    customer : Customer or None
        None if the entry is invalid.
    keys : tuple of str
        Its valid keys, also of an invalid customer.
    reasons : tuple of str
        What is wrong with the entry.
    """

    label: str
    customer: Customer | None
    keys: tuple[str, ...] = field(repr=False)
    reasons: tuple[str, ...] = ()


@dataclass(frozen=True)
class _Entry:
    """What a table keeps of a customer's entry: digests in place of its keys."""

    label: str
    customer: Customer | None
    digests: frozenset[bytes] = field(repr=False)
    reasons: tuple[str, ...]


class CustomerTable:
    """The customers of one configuration; immutable.

    A name that is listed twice stands for no customer, and a key that is listed by
    two customers for neither of them.

    Attributes
    ----------
    by_name : mapping of str to Customer
        The valid customers.
    problems : tuple of CustomerProblem
        What was left out.
    digested : int
        Keys that were digested for this table; the others were known before.
    """

    def __init__(self):
        self.by_name: dict[str, Customer] = {}
        self.problems: tuple[CustomerProblem, ...] = ()
        self.digested = 0
        self._by_digest: dict[bytes, Customer] = {}
        # By a hash of the entry as it was written, so that keys needn't be kept.
        self._entries: dict[int, _Entry] = {}

    def __repr__(self) -> str:
        return f"CustomerTable({len(self.by_name)} customers)"

    @classmethod
    def build(
        cls,
        items: Iterable[object],
        parse: Callable[[int, object], CustomerSpec],
        previous: CustomerTable | None = None,
    ) -> CustomerTable:
        """Return the table of a list of customers.

        Parameters
        ----------
        items : iterable of object
            The customers as written.
        parse : callable
            Returns the customer of a position and item; called for those that
            ``previous`` doesn't have.
        previous : CustomerTable or None
            A table that may have some of them.
        """
        table = cls()
        known = previous._entries if previous is not None else {}
        for position, item in enumerate(items):
            # Python's hash of a text has a random key in each process.
            fingerprint = hash((position, repr(item)))
            entry = known.get(fingerprint)
            if entry is None:
                entry = table._digest(parse(position, item))
            table._entries[fingerprint] = entry
        table._index()
        return table

    def find(self, key: str) -> Customer | None:
        """Return the customer that holds a key."""
        return self._by_digest.get(digest_key(key))

    def _digest(self, spec: CustomerSpec) -> _Entry:
        self.digested += len(spec.keys)
        digests = frozenset(digest_key(key) for key in spec.keys)
        return _Entry(spec.label, spec.customer, digests, spec.reasons)

    def _index(self) -> None:
        entries = self._entries.values()
        names = Counter(e.customer.name for e in entries if e.customer is not None)
        shared = _shared_digests(entries)
        problems: list[CustomerProblem] = []
        for entry in entries:
            problems += [CustomerProblem(entry.label, why) for why in entry.reasons]
            if not shared.isdisjoint(entry.digests):
                reason = "a key is listed for another customer too"
                problems.append(CustomerProblem(entry.label, reason))
            customer = entry.customer
            if customer is None:
                continue
            if names[customer.name] > 1:
                problems.append(CustomerProblem(entry.label, "name is listed twice"))
                continue
            self.by_name[customer.name] = customer
            for digest in entry.digests - shared:
                self._by_digest[digest] = customer
        self.problems = tuple(problems)


def _shared_digests(entries: Iterable[_Entry]) -> set[bytes]:
    """Return the digests that more than one entry has."""
    seen: set[bytes] = set()
    shared: set[bytes] = set()
    for entry in entries:
        shared |= seen & entry.digests
        seen |= entry.digests
    return shared
