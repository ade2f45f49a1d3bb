"""The parser of the command line."""

from __future__ import annotations

import argparse
import sys
from collections.abc import Sequence
from importlib import import_module
from typing import NoReturn

from marjoramstage import __version__
from marjoramstage._commands import exits
from marjoramstage.exceptions import ConfigError

# `entry` and `story` import only their own module; other commands import all.
COMMAND_MODULES = {"entry": ("entry",), "story": ("story",), "explain": ("explain",)}
ALL_MODULES = (
    "serve",
    "entry",
    "story",
    "inventory",
    "operate",
    "explain",
    "usage",
    "standin",
    "bench",
)

DESCRIPTION = "Serve many models on fewer accelerators."
EPILOG = """\
exit codes:
  0  done
  1  failed, nothing was changed
  2  a file or an argument is wrong; one line for each fault
  3  conflict with another operator's change
  4  the outcome is unknown; read it back before trying again
  5  refused

Addresses are written ip:port or [ip6]:port. First steps: `marjoramstage demo`.
"""


class _Parser(argparse.ArgumentParser):
    """A parser that reports errors on one line, without the usage text."""

    def error(self, message: str) -> NoReturn:
        self.exit(exits.USAGE, f"{self.prog}: {message}\n")


def run(argv: Sequence[str]) -> int:
    """Run a command; return its exit code."""
    args = _build_parser(argv).parse_args(argv)
    try:
        return args.run(args)
    except ConfigError as exc:
        for problem in exc.problems:
            print(problem, file=sys.stderr)
        return exits.USAGE
    except OSError as exc:
        print(f"marjoramstage: {exc}", file=sys.stderr)
        return exits.FAILED


def _build_parser(argv: Sequence[str]) -> argparse.ArgumentParser:
    parser = _Parser(
        prog="marjoramstage",
        description=DESCRIPTION,
        epilog=EPILOG,
        formatter_class=argparse.RawDescriptionHelpFormatter,
    )
    parser.add_argument("--version", action="version", version=__version__)
    commands = parser.add_subparsers(required=True, metavar="COMMAND")
    command = argv[0] if argv else ""
    for name in COMMAND_MODULES.get(command, ALL_MODULES):
        import_module(f"marjoramstage._commands.{name}").add(commands)
    return parser
