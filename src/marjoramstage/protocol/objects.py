"""Objects of the platform, and the kinds that the system stores there."""

from __future__ import annotations

import enum
from collections.abc import AsyncIterator, Mapping
from dataclasses import dataclass, field
from typing import Any, Protocol

from result import Result

from marjoramstage.exceptions import Verdict

OWN_GROUP = "marjoramstage.dev"
LABEL_DATA_CENTRE = f"{OWN_GROUP}/data-centre"
LABEL_ROLE = f"{OWN_GROUP}/role"


@dataclass(frozen=True)
class Kind:
    """An object kind: API group, version, plural and name."""

    group: str
    version: str
    plural: str
    name: str

    @property
    def api_version(self) -> str:
        """Return ``group/version``."""
        return f"{self.group}/{self.version}"


HEAD = Kind(OWN_GROUP, "v1", "heads", "Head")
DOCUMENT = Kind(OWN_GROUP, "v1", "documents", "Document")
LEDGER = Kind(OWN_GROUP, "v1", "ledgers", "Ledger")
DRAIN = Kind(OWN_GROUP, "v1", "drains", "Drain")
CLAIM = Kind(OWN_GROUP, "v1", "claims", "Claim")
USAGE = Kind(OWN_GROUP, "v1", "usagerecords", "UsageRecord")
LEASE = Kind("coordination.k8s.io", "v1", "leases", "Lease")
ENDPOINT_SLICE = Kind("discovery.k8s.io", "v1", "endpointslices", "EndpointSlice")


@dataclass(frozen=True)
class PlatformObject:
    """An object of the platform.

    Attributes
    ----------
    version : str
        Resource version; empty for an object not yet written.
    spec : Mapping
        Fields that are specific to the kind; not in the text form, as some are
        secret.
    """

    kind: Kind
    name: str
    spec: Mapping[str, Any] = field(repr=False)
    version: str = ""
    labels: Mapping[str, str] = field(default_factory=dict)


@dataclass(frozen=True)
class ObjectList:
    """Objects of a kind, and the resource version from which to watch."""

    objects: tuple[PlatformObject, ...]
    version: str


class PlatformFault(enum.Enum):
    """Why a call to the platform failed."""

    NOT_FOUND = "not-found"
    CONFLICT = "conflict"
    EXISTS = "exists"
    EXPIRED = "expired"
    REFUSED = "refused"
    UNAVAILABLE = "unavailable"


@dataclass(frozen=True)
class PlatformError:
    """A failed call to the platform.

    Attributes
    ----------
    verdict : Verdict
        Whether a write may have taken effect.
    """

    fault: PlatformFault
    verdict: Verdict
    message: str = ""


class WatchType(enum.Enum):
    """Type of a watch event."""

    ADDED = "ADDED"
    MODIFIED = "MODIFIED"
    DELETED = "DELETED"
    BOOKMARK = "BOOKMARK"


@dataclass(frozen=True)
class WatchEvent:
    """An event of a watch; a bookmark only advances ``version``."""

    type: WatchType
    version: str
    obj: PlatformObject | None = None


class Platform(Protocol):
    """The object API of the platform. Each call returns a `result.Result`."""

    async def get(self, kind: Kind, name: str) -> Result[PlatformObject, PlatformError]:
        """Read an object."""

    async def list(
        self, kind: Kind, labels: Mapping[str, str] | None = None
    ) -> Result[ObjectList, PlatformError]:
        """Read the objects of a kind that have the given labels."""

    async def create(
        self, obj: PlatformObject
    ) -> Result[PlatformObject, PlatformError]:
        """Create the object if none has its name."""

    async def update(
        self, obj: PlatformObject
    ) -> Result[PlatformObject, PlatformError]:
        """Replace the object if its resource version is still ``obj.version``."""

    async def delete(
        self, kind: Kind, name: str, version: str
    ) -> Result[None, PlatformError]:
        """Delete the object if its resource version is still ``version``."""

    def watch(
        self,
        kind: Kind,
        version: str,
        labels: Mapping[str, str] | None = None,
        wait_s: float | None = None,
    ) -> AsyncIterator[Result[WatchEvent, PlatformError]]:
        """Watch a kind for changes after ``version``, until the connection ends.

        A client that asks anew after each answer waits ``wait_s`` for changes.
        """
