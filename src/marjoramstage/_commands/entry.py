"""``entry`` command: runs an instance on the users' platform."""

from __future__ import annotations

import argparse
import os

from marjoramstage.exceptions import ConfigError


def add(commands) -> None:
    """Add the command to the parser."""
    parser = commands.add_parser("entry", help="run an instance on the platform")
    parser.add_argument("--node-file", help="settings file of the node")
    parser.set_defaults(run=_entry)


def _entry(args: argparse.Namespace) -> int:
    from marjoramstage import entry, platform

    path = args.node_file or os.environ.get(platform.SETTINGS_VARIABLE)
    if not path:
        problem = f"--node-file or {platform.SETTINGS_VARIABLE} is needed"
        raise ConfigError((problem,))
    return entry.run(path)
