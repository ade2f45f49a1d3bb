"""Serve many models on fewer accelerators.

The public API consists of the verdict of a request, the base exception, and the
settings of an instance with their loader.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from marjoramstage.exceptions import MarjoramstageError, Verdict

if TYPE_CHECKING:
    from marjoramstage.settings import Settings, load_settings

__version__ = "0.1.0"

__all__ = [
    "MarjoramstageError",
    "Settings",
    "Verdict",
    "__version__",
    "load_settings",
]


def __getattr__(name: str) -> Any:
    """Import the settings module on first use, as pydantic is large."""
    if name in ("Settings", "load_settings"):
        from marjoramstage import settings

        return getattr(settings, name)
    raise AttributeError(name)
