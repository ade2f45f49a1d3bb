"""The command line."""

from __future__ import annotations

import argparse
import sys
from collections.abc import Sequence

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


def main(argv: Sequence[str] | None = None) -> int:
    """Run the command line; return its exit code."""
    args = _parser().parse_args(argv)
    try:
        return args.run(args)
    except ConfigError as exc:
        for problem in exc.problems:
            print(problem, file=sys.stderr)
        return exits.USAGE


def _parser() -> argparse.ArgumentParser:
    parser = argparse.ArgumentParser(
        prog="marjoramstage", description="Serve many models on fewer accelerators."
    )
    commands = parser.add_subparsers(required=True, metavar="COMMAND")
    for group in (serve, inventory, operate, usage, standin, bench):
        group.add(commands)
    return parser
