"""The inventory: models, adapters, services, customers and rules."""

from __future__ import annotations

import functools
import hashlib
import json
from collections.abc import Mapping
from pathlib import Path
from typing import Annotated, Any

from pydantic import ConfigDict, Field, TypeAdapter
from pydantic.dataclasses import dataclass

from marjoramstage._documents import (
    Document,
    format_path,
    parse_document,
    read_document,
    validate_document,
)
from marjoramstage.exceptions import ConfigError
from marjoramstage.state._validation import inventory_violations

STRICT = ConfigDict(extra="forbid", strict=True, allow_inf_nan=False)

Name = Annotated[str, Field(pattern=r"^[a-z0-9]([a-z0-9.-]{0,61}[a-z0-9])?$")]
Version = Annotated[str, Field(pattern=r"^[A-Za-z0-9][A-Za-z0-9._-]{0,31}$")]
MegaBytes = Annotated[int, Field(gt=0)]
Rate = Annotated[float, Field(gt=0)]
Names = tuple[Name, ...]


@dataclass(frozen=True, config=STRICT)
class Model:
    """A model that can be loaded on targets.

    Attributes
    ----------
    memory_mb : int
        Accelerator memory of one replica including its KV cache, in MB.
    prefill_tokens_per_s, decode_tokens_per_s : float
        Speed of one request, in tokens per second.
    """

    name: Name
    memory_mb: MegaBytes
    version: Version = "1"
    prefill_tokens_per_s: Rate = 4000.0
    decode_tokens_per_s: Rate = 40.0


@dataclass(frozen=True, config=STRICT)
class Adapter:
    """An adapter (fine-tuned weights) for one model; ``memory_mb`` is in MB."""

    name: Name
    model: Name
    memory_mb: MegaBytes
    version: Version = "1"


@dataclass(frozen=True, config=STRICT)
class ServiceCall:
    """One call of a plain service.

    Attributes
    ----------
    path : str
        Path prefix below the service's name.
    repeatable : bool
        Whether the call is idempotent.
    """

    method: Annotated[str, Field(pattern="^(GET|HEAD|POST|PUT|PATCH|DELETE)$")]
    path: Annotated[str, Field(pattern="^/")]
    repeatable: bool = False


@dataclass(frozen=True, config=STRICT)
class Service:
    """A plain service and its calls that differ from the default."""

    name: Name
    calls: tuple[ServiceCall, ...] = ()


@dataclass(frozen=True, config=STRICT)
class Customer:
    """A customer and the items it paid for.

    Attributes
    ----------
    credential_sha256 : str
        SHA-256 of the bearer credential, as 64 hexadecimal digits.
    weight : float
        Weight in fair sharing between customers.
    paid : tuple of str
        Names of models, adapters and services.
    data_centres : tuple of str
        Data centres that serve the customer; all if empty.
    """

    name: Name
    credential_sha256: Annotated[str, Field(pattern="^[0-9a-f]{64}$", repr=False)]
    paid: Names = ()
    weight: Rate = 1.0
    data_centres: Names = ()


@dataclass(frozen=True, config=STRICT)
class Rules:
    """Limits and defaults for the whole deployment.

    Attributes
    ----------
    max_class : dict
        Most urgent class that a customer may request, by customer.
    overnight_deadline_s : float
        Default deadline of overnight requests, in seconds.
    loads_per_s : float
        Model loads per second that the weight store allows.
    loads_at_once : int
        Concurrent model loads that the weight store serves at full speed.
    adapters_in_transit : int
        Concurrent adapter loads that do not slow each other down.
    """

    max_class: dict[
        Name, Annotated[str, Field(pattern="^(urgent|interactive|overnight)$")]
    ] = Field(default_factory=dict)
    overnight_deadline_s: Rate = 28_800.0
    loads_per_s: Rate = 2.0
    loads_at_once: Annotated[int, Field(gt=0)] = 8
    adapters_in_transit: Annotated[int, Field(gt=0)] = 60


@dataclass(frozen=True, config=STRICT)
class Inventory:
    """The content of one generation, as declared by the operators."""

    models: tuple[Model, ...] = ()
    adapters: tuple[Adapter, ...] = ()
    services: tuple[Service, ...] = ()
    customers: tuple[Customer, ...] = ()
    rules: Rules = Field(default_factory=Rules)

    @functools.cached_property
    def model_by_name(self) -> Mapping[str, Model]:
        """Models by name."""
        return {model.name: model for model in self.models}

    @functools.cached_property
    def adapter_by_name(self) -> Mapping[str, Adapter]:
        """Adapters by name."""
        return {adapter.name: adapter for adapter in self.adapters}

    @functools.cached_property
    def service_by_name(self) -> Mapping[str, Service]:
        """Services by name."""
        return {service.name: service for service in self.services}

    @functools.cached_property
    def customer_by_name(self) -> Mapping[str, Customer]:
        """Customers by name."""
        return {customer.name: customer for customer in self.customers}

    @functools.cached_property
    def customer_by_credential(self) -> Mapping[str, Customer]:
        """Customers by the SHA-256 of their credential."""
        return {customer.credential_sha256: customer for customer in self.customers}


_ADAPTER = TypeAdapter(Inventory)


def credential_hash(credential: str) -> str:
    """Return the SHA-256 of a bearer credential in hexadecimal digits."""
    return hashlib.sha256(credential.encode()).hexdigest()


def load_inventory(path: str | Path) -> Inventory:
    """Read an inventory from a YAML file.

    Raises
    ------
    ConfigError
        With every problem of the file, including invalid references.
    """
    return check_inventory(read_document(path))


def parse_inventory(text: bytes | str, source: str = "inventory") -> Inventory:
    """Read an inventory from YAML text; errors as for `load_inventory`."""
    return check_inventory(parse_document(text, source))


def inventory_from_data(data: Any) -> Inventory:
    """Build an inventory from plain data that has been validated before."""
    return _ADAPTER.validate_json(json.dumps(data))


def inventory_to_data(inventory: Inventory) -> dict[str, Any]:
    """Return plain data that `inventory_from_data` reads back."""
    return _ADAPTER.dump_python(inventory, mode="json")


def check_inventory(document: Document) -> Inventory:
    """Validate types, then names and references between sections.

    Raises
    ------
    ConfigError
        With every problem found.
    """
    inventory = validate_document(document, _ADAPTER)
    violations = inventory_violations(inventory)
    if violations:
        raise ConfigError(
            tuple(
                f"{document.where(violation.path)}: {violation.message}"
                for violation in violations
            )
        )
    return inventory


def inventory_problems(inventory: Inventory) -> list[str]:
    """Return the problems of an inventory that was not read from a file."""
    return [
        f"{format_path(violation.path)}: {violation.message}"
        for violation in inventory_violations(inventory)
    ]
