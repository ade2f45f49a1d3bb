"""``serve`` runs an instance, ``check`` validates its files offline."""

from __future__ import annotations

import argparse
import asyncio

from marjoramstage import logs
from marjoramstage._commands import exits
from marjoramstage._commands.running import run_until_signal
from marjoramstage.exceptions import ConfigError
from marjoramstage.instance import Instance
from marjoramstage.settings import load_settings
from marjoramstage.state.inventory import load_inventory


def add(commands) -> None:
    """Add the commands to the parser."""
    parser = commands.add_parser("serve", help="run an instance")
    parser.add_argument("--settings", required=True, help="YAML settings file")
    parser.set_defaults(run=_serve)
    parser = commands.add_parser("check", help="validate files offline")
    parser.add_argument("--settings", help="YAML file with the settings of an instance")
    parser.add_argument("--inventory", help="YAML file with an inventory")
    parser.set_defaults(run=_check)


def _serve(args: argparse.Namespace) -> int:
    settings = load_settings(args.settings)
    logs.configure(settings.log_level, settings.name)
    asyncio.run(run_until_signal(Instance(settings)))
    return exits.OK


def _check(args: argparse.Namespace) -> int:
    problems: list[str] = []
    files = ((load_settings, args.settings), (load_inventory, args.inventory))
    for load, path in files:
        if path is None:
            continue
        try:
            load(path)
        except ConfigError as exc:
            problems += exc.problems
    if problems:
        raise ConfigError(tuple(problems))
    return exits.OK
