"""Serve many models on fewer accelerators.

The public API consists of the verdict of a request, the base exception, and the
settings of an instance with their loader. Each is imported on first use: pydantic is
large, and `cli` has to run before anything slow is imported.
"""

from __future__ import annotations

# What type checkers take for `typing.TYPE_CHECKING`; that module is slow to import.
TYPE_CHECKING = False
if TYPE_CHECKING:
    from marjoramstage.exceptions import MarjoramstageError, Verdict
    from marjoramstage.settings import Settings, load_settings

__version__ = "0.1.0"

__all__ = [
    "MarjoramstageError",
    "Settings",
    "Verdict",
    "__version__",
    "load_settings",
]


def __getattr__(name: str) -> object:
    """Import a part of the public API."""
    if name in ("Settings", "load_settings"):
        from marjoramstage import settings

        return getattr(settings, name)
    if name in ("MarjoramstageError", "Verdict"):
        from marjoramstage import exceptions

        return getattr(exceptions, name)
    raise AttributeError(name)
