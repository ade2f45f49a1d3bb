"""What instances store of the versions of targets, and the streams they began."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field


@dataclass(frozen=True)
class OriginRecord:
    """What an instance stores for those that start after it.

    Attributes
    ----------
    versions : Mapping
        The versions that the targets of each service have run of late, sorted.
    origins : Mapping
        Digests of the streams that each version began of late.
    """

    versions: Mapping[str, tuple[str, ...]] = field(default_factory=dict)
    origins: Mapping[str, tuple[str, ...]] = field(default_factory=dict)
