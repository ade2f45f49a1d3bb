"""Serve many models on fewer accelerators.

The public surface is small: the verdict of a request, the exception family,
and the two loaders for the files an operator writes.
"""

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
