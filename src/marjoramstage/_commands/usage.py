"""``usage`` command: prints a customer's usage, for billing."""

from __future__ import annotations

import argparse
import json

from marjoramstage._commands import exits
from marjoramstage._commands._operator_calls import (
    CallError,
    add_instance_options,
    call,
    print_failure,
    print_problems,
)

ROW_FORMAT = "{:24} {:>10} {:>14} {:>14}"


def add(commands) -> None:
    """Add the command to the parser."""
    parser = commands.add_parser("usage", help="print a customer's usage by model")
    add_instance_options(parser)
    parser.add_argument("--customer", required=True, help="name of the customer")
    parser.add_argument("--json", action="store_true", help="print one JSON object")
    parser.set_defaults(run=_usage)


def _usage(args: argparse.Namespace) -> int:
    try:
        reply = call(args, "GET", "/usage", {"customer": args.customer})
    except CallError as exc:
        return print_failure(args, exc)
    if reply.status != 200:
        return print_problems(reply)
    if args.json:
        print(json.dumps(reply.data, indent=2))
        return exits.OK
    print(
        ROW_FORMAT.format(
            "model or service", "requests", "prompt tokens", "output tokens"
        )
    )
    rows = {**reply.data["by_model"], "total": reply.data["total"]}
    for name, usage in rows.items():
        counts = (usage["requests"], usage["prompt_tokens"], usage["output_tokens"])
        print(ROW_FORMAT.format(name, *counts))
    return exits.OK
