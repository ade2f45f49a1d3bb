"""The command line."""

from __future__ import annotations

import sys

from marjoramstage import early_hangup

# What type checkers take for `typing.TYPE_CHECKING`; that module is slow to import.
TYPE_CHECKING = False
if TYPE_CHECKING:
    from collections.abc import Sequence


def main(argv: Sequence[str] | None = None) -> int:
    """Run the command line; return its exit code."""
    argv = list(sys.argv[1:] if argv is None else argv)
    if argv[:1] == ["entry"]:
        # Before anything slow is imported: see `early_hangup`.
        early_hangup.hold()
    from marjoramstage._commands import parser

    return parser.run(argv)
