"""Commands for running instances: ``dump``, ``status`` and ``drain``."""

from __future__ import annotations

import argparse
import json
import sys

from marjoramstage._commands import exits
from marjoramstage._commands._operator_calls import (
    CallError,
    add_instance_options,
    call,
    print_failure,
    print_problems,
)


def add(commands) -> None:
    """Add the commands to the parser."""
    parser = commands.add_parser("dump", help="print the state of an instance as JSON")
    add_instance_options(parser)
    parser.set_defaults(run=lambda args: _show(args, "/dump"))
    parser = commands.add_parser(
        "status", help="print targets, models, leases and generations in force"
    )
    add_instance_options(parser)
    parser.set_defaults(run=lambda args: _show(args, "/status"))
    parser = commands.add_parser(
        "drain", help="shut down the instance gracefully, or drain a target"
    )
    add_instance_options(parser)
    parser.add_argument("--target", help="target that gets no new requests")
    parser.add_argument(
        "--incarnation", help="drain only this incarnation of the target"
    )
    parser.set_defaults(run=_drain)


def _show(args: argparse.Namespace, path: str) -> int:
    try:
        reply = call(args, "GET", path)
    except CallError as exc:
        return print_failure(args, exc)
    if reply.status != 200:
        return print_problems(reply)
    print(json.dumps(reply.data, indent=2))
    return exits.OK


def _drain(args: argparse.Namespace) -> int:
    params = {}
    if args.target:
        params["target"] = args.target
    if args.incarnation:
        params["incarnation"] = args.incarnation
    try:
        reply = call(args, "POST", "/drain", params)
    except CallError as exc:
        return print_failure(args, exc)
    if reply.status != 200:
        return print_problems(reply)
    print(f"draining: {reply.data['draining']}")
    if reply.data.get("not_kept"):
        text = "drain not stored; instances that start later may use the target"
        print(f"{reply.data['not_kept']}: {text}", file=sys.stderr)
        return exits.UNKNOWN
    return exits.OK
