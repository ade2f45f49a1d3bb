"""Decodes the customers of the operator's configuration, and conceals their keys.

A configuration is kept in memory and sent to other instances only as `ConfigSealer`
returns it: with salted digests in place of keys.
"""

from __future__ import annotations

import math
from collections.abc import Iterable
from typing import Any

from marjoramstage.platform import _json
from marjoramstage.state.customers import (
    DEFAULT_PLAIN_TOKENS,
    DIGEST_BYTES,
    PROCESS_SALT,
    SALT_BYTES,
    Customer,
    CustomerSpec,
    CustomerTable,
    Quota,
    QuotaUnit,
    digest_key,
    fingerprint_of,
)

TENANTS = "tenants"
KEYS = "api_keys"
# Only in a configuration whose keys are concealed.
SALT = "key_salt"
DIGESTS = "key_digests"
KEY_FAULTS = "key_faults"

MAX_NAME_CHARS = 128
# The priority that is last of all.
MAX_PRIORITY = 1_000_000

_KEPT_FIELDS = ("name", "priority", "unit", "plain_tokens", "rate_per_s", "burst")
_SCALARS = (str, int, float, type(None))


class ConfigSealer:
    """Replaces the keys in configurations by digests with this process's salt.

    Customers that are the same as in the configuration before are not digested
    again.

    Attributes
    ----------
    digested : int
        Keys that were digested so far.
    """

    def __init__(self):
        self.digested = 0
        self._sealed: dict[int, dict[str, Any]] = {}

    def seal(self, spec: Any) -> Any:
        """Return a configuration of the store without keys.

        One that is no JSON object, or that has no customers, is returned as it is;
        of one that is text and no JSON nothing is kept.
        """
        if isinstance(spec, str | bytes):
            try:
                spec = _json.loads(spec)
            except ValueError:
                return None
        if not isinstance(spec, dict) or spec.get(TENANTS) is None:
            return spec
        tenants = spec[TENANTS]
        sealed = {**spec, SALT: PROCESS_SALT.hex(), TENANTS: False}
        if isinstance(tenants, list):
            before, self._sealed = self._sealed, {}
            sealed[TENANTS] = [self._seal_tenant(item, before) for item in tenants]
        return sealed

    def _seal_tenant(
        self, item: Any, before: dict[int, dict[str, Any]]
    ) -> dict[str, Any] | None:
        if not isinstance(item, dict):
            return None
        fingerprint = fingerprint_of(item)
        sealed = before.get(fingerprint)
        if sealed is None:
            # Other fields may hold keys, for example under a misspelled name.
            sealed = {
                name: _scalar(item[name]) for name in _KEPT_FIELDS if name in item
            }
            sealed |= self._digest(item.get(KEYS))
        self._sealed[fingerprint] = sealed
        return sealed

    def _digest(self, keys: Any) -> dict[str, Any]:
        if keys is None:
            return {}
        if not isinstance(keys, list):
            return {KEY_FAULTS: [f"{KEYS} is no list"]}
        valid = [key for key in keys if _is_token(key)]
        self.digested += len(valid)
        digests = sorted({digest_key(key).hex() for key in valid})
        sealed: dict[str, Any] = {DIGESTS: digests}
        if len(valid) < len(keys):
            sealed[KEY_FAULTS] = ["a key isn't a text of printable ASCII"]
        return sealed


def decode_customers(
    data: dict[str, Any], previous: CustomerTable | None
) -> CustomerTable | None:
    """Return the customers of a sealed configuration; None if it names none.

    Raises
    ------
    TypeError, ValueError
        The list of customers is no list, or the salt is invalid.
    """
    tenants = data.get(TENANTS)
    if tenants is None:
        return None
    if not isinstance(tenants, list):
        raise TypeError(f"{TENANTS} is no list")
    salt = bytes.fromhex(data[SALT])
    if len(salt) != SALT_BYTES:
        raise ValueError("the salt of the keys has the wrong length")
    return CustomerTable(tenants, _read, salt, previous)


def _read(item: object) -> CustomerSpec:
    """Return the customer that an entry of a sealed configuration describes."""
    if not isinstance(item, dict):
        return CustomerSpec("", None, frozenset(), ("the entry is no object",))
    faults = [str(fault) for fault in item.get(KEY_FAULTS) or ()]
    digests = _read_digests(item.get(DIGESTS) or ())
    name = item.get("name")
    if not _is_name(name):
        faults.append("the name isn't a text of printable ASCII, not empty")
        return CustomerSpec("", None, digests, tuple(faults))
    try:
        customer = Customer(name, _priority(item), _quota(item))
    except ValueError as exc:
        return CustomerSpec(name, None, digests, (*faults, str(exc)))
    return CustomerSpec(name, customer, digests, tuple(faults))


def _read_digests(texts: Iterable[Any]) -> frozenset[bytes]:
    found = (bytes.fromhex(text) for text in texts)
    return frozenset(digest for digest in found if len(digest) == DIGEST_BYTES)


def _priority(item: dict[str, Any]) -> int | None:
    if item.get("priority") is None:
        return None
    number = _number(item, "priority", 0.0)
    if number != int(number) or number > MAX_PRIORITY:
        raise ValueError(f"priority is no whole number up to {MAX_PRIORITY}")
    return int(number)


def _quota(item: dict[str, Any]) -> Quota | None:
    """Return the quota of a customer; None if its rate isn't limited."""
    units = {unit.value: unit for unit in QuotaUnit}
    name = item.get("unit")
    unit = QuotaUnit.REQUESTS if name is None else units.get(str(name))
    if unit is None:
        raise ValueError("the unit is unknown")
    rate_per_s = _number(item, "rate_per_s", 0.0)
    burst = _number(item, "burst", 0.0)
    plain_tokens = _number(item, "plain_tokens", DEFAULT_PLAIN_TOKENS)
    if rate_per_s == 0:
        return None
    if burst == 0:
        raise ValueError("there is a rate without a burst")
    return Quota(unit, rate_per_s, burst, plain_tokens)


def _number(item: dict[str, Any], name: str, default: float) -> float:
    """Return the value of a field: a number from 0.

    Raises
    ------
    ValueError
        It is something else. The message names the field alone.
    """
    value = item.get(name)
    if value is None:
        return default
    if isinstance(value, bool) or not isinstance(value, int | float):
        raise ValueError(f"{name} is no number")
    try:
        number = float(value)
    except OverflowError:
        number = math.inf
    if not math.isfinite(number):
        raise ValueError(f"{name} is no finite number")
    if number < 0:
        raise ValueError(f"{name} is negative")
    return number


def _scalar(value: Any) -> Any:
    """Return a value unless it is an object or a list, which may hold anything."""
    return value if isinstance(value, _SCALARS) else False


def _is_name(text: Any) -> bool:
    """Whether a text can be sent as the value of a header."""
    if not isinstance(text, str) or not 0 < len(text) <= MAX_NAME_CHARS:
        return False
    return text.isascii() and text.isprintable() and text == text.strip()


def _is_token(text: Any) -> bool:
    """Whether a text can be sent as a key: no spaces, as they end it."""
    return (
        isinstance(text, str)
        and bool(text)
        and text.isascii()
        and text.isprintable()
        and " " not in text
    )
