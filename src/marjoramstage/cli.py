"""The command line."""

from __future__ import annotations

import argparse
import sys
from collections.abc import Sequence
from importlib import metadata
from typing import NoReturn

from marjoramstage._commands import (
    bench,
    exits,
    inventory,
    operate,
    serve,
    standin,
    usage,
)
from marjoramstage.exceptions import ConfigError

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
    """A parser whose errors are one line; `--help` shows the usage."""

    def error(self, message: str) -> NoReturn:
        self.exit(exits.USAGE, f"{self.prog}: {message}\n")


def main(argv: Sequence[str] | None = None) -> int:
    """Run the command line; return its exit code."""
    args = _parser().parse_args(argv)
    try:
        return args.run(args)
    except ConfigError as exc:
        for problem in exc.problems:
            print(problem, file=sys.stderr)
        return exits.USAGE
    except OSError as exc:
        print(f"marjoramstage: {exc}", file=sys.stderr)
        return exits.FAILED


def _parser() -> argparse.ArgumentParser:
    parser = _Parser(
        prog="marjoramstage",
        description=DESCRIPTION,
        epilog=EPILOG,
        formatter_class=argparse.RawDescriptionHelpFormatter,
    )
    version = metadata.version("marjoramstage")
    parser.add_argument("--version", action="version", version=version)
    commands = parser.add_subparsers(required=True, metavar="COMMAND")
    for group in (serve, inventory, operate, usage, standin, bench):
        group.add(commands)
    return parser
