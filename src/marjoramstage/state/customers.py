"""Customers of a configuration, their quotas and the keys that identify them."""

from __future__ import annotations

import enum
import hashlib
import os
from collections import Counter
from collections.abc import Callable, Iterable, Iterator
from dataclasses import dataclass, field

DIGEST_BYTES = 16
SALT_BYTES = 32
# Charged for requests that state no tokens, if the configuration names no number.
DEFAULT_PLAIN_TOKENS = 200.0

# Digests made with it mean nothing to those who don't know it.
PROCESS_SALT = os.urandom(SALT_BYTES)


def digest_key(key: str, salt: bytes = PROCESS_SALT) -> bytes:
    """Return the digest by which a key is found."""
    encoded = key.encode("utf-8", "surrogateescape")
    return hashlib.blake2b(encoded, digest_size=DIGEST_BYTES, key=salt).digest()


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
        Name of the customer, or its place in the list if it has no valid one.
    """

    name: str
    reason: str


@dataclass(frozen=True)
class CustomerSpec:
    """One customer as listed in a configuration.

    Attributes
    ----------
    name : str
        Empty if it has no valid one.
    customer : Customer or None
        None if the entry is invalid.
    digests : frozenset of bytes
        Of its keys, also if the entry is invalid.
    faults : tuple of str
        What is wrong with the entry.
    """

    name: str
    customer: Customer | None
    digests: frozenset[bytes] = field(repr=False)
    faults: tuple[str, ...] = ()


class CustomerTable:
    """The customers of one configuration; immutable.

    A name that is listed twice stands for no customer, and a key that is listed by
    two customers for neither of them.

    Parameters
    ----------
    items : iterable of object
        The customers as written in the configuration.
    read : callable
        Returns the customer that an item describes; called for the items that
        ``previous`` doesn't have.
    salt : bytes
        With which the keys were digested.
    previous : CustomerTable or None
        A table that may have some of the customers.

    Attributes
    ----------
    by_name : mapping of str to Customer
        The valid customers.
    problems : tuple of CustomerProblem
        What was left out.
    """

    def __init__(
        self,
        items: Iterable[object],
        read: Callable[[object], CustomerSpec],
        salt: bytes = PROCESS_SALT,
        previous: CustomerTable | None = None,
    ):
        self._salt = salt
        # By a hash of the item as written, so that the item needn't be kept.
        self._specs: dict[int, CustomerSpec] = {}
        known = previous._specs if previous and previous._salt == salt else {}
        specs = []
        for item in items:
            fingerprint = fingerprint_of(item)
            spec = known.get(fingerprint) or read(item)
            self._specs[fingerprint] = spec
            specs.append(spec)
        self.by_name: dict[str, Customer] = {}
        self._by_digest: dict[bytes, Customer] = {}
        self.problems = tuple(self._index(specs))

    def __repr__(self) -> str:
        return f"CustomerTable({len(self.by_name)} customers)"

    def find(self, key: str) -> Customer | None:
        """Return the customer that holds a key."""
        return self._by_digest.get(digest_key(key, self._salt))

    def _index(self, specs: list[CustomerSpec]) -> Iterator[CustomerProblem]:
        """Fill the table; yield what was left out."""
        names = Counter(spec.name for spec in specs)
        shared = _shared_digests(specs)
        for place, spec in enumerate(specs, start=1):
            label = spec.name or f"customer {place} of the list"
            for fault in spec.faults:
                yield CustomerProblem(label, fault)
            if not shared.isdisjoint(spec.digests):
                yield CustomerProblem(label, "a key is listed for another one too")
            if spec.customer is None:
                continue
            if names[spec.name] > 1:
                yield CustomerProblem(label, "the name is listed twice")
                continue
            self.by_name[spec.name] = spec.customer
            for digest in spec.digests - shared:
                self._by_digest[digest] = spec.customer


def fingerprint_of(item: object) -> int:
    """Return a number that tells an entry of a configuration from all others.

    Python's hash of a text has a random key in each process, so that it doesn't
    help to guess what the entry holds.
    """
    return hash(repr(item))


def _shared_digests(specs: Iterable[CustomerSpec]) -> set[bytes]:
    """Return the digests that more than one customer has."""
    seen: set[bytes] = set()
    shared: set[bytes] = set()
    for spec in specs:
        shared |= seen & spec.digests
        seen |= spec.digests
    return shared
