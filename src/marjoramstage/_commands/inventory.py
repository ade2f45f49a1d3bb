"""Commands for the inventory; they never prompt, so CI jobs can use them.

Exit codes: 0 accepted, 1 not accepted for another reason, 2 invalid file,
3 conflict, 4 outcome unknown, 5 refused.
"""

from __future__ import annotations

import argparse
import getpass
import json
import sys
import time
import uuid

from marjoramstage._commands import exits
from marjoramstage._commands._operator_calls import (
    CallError,
    Reply,
    add_instance_options,
    call,
    print_failure,
    print_problems,
)
from marjoramstage.state.inventory import load_inventory

DEFAULT_WAIT_S = 30.0
POLL_INTERVAL_S = 0.3
SILENT_AFTER_S = 30.0

_EXIT_OF_OUTCOME = {
    "conflict": exits.CONFLICT,
    "refused": exits.REFUSED,
    "unknown": exits.UNKNOWN,
    "not-accepted": exits.FAILED,
}


def add(commands) -> None:
    """Add the commands to the parser."""
    parser = commands.add_parser("plan", help="show what an inventory would change")
    parser.add_argument("--inventory", required=True, help="YAML file")
    add_instance_options(parser)
    parser.set_defaults(run=_plan)
    parser = commands.add_parser("apply", help="submit an inventory")
    parser.add_argument("--inventory", required=True, help="YAML file")
    parser.add_argument("--base", type=int, help="generation that the file is based on")
    _add_submission(parser)
    parser.set_defaults(run=_apply)
    parser = commands.add_parser(
        "rollback", help="restore an earlier generation as a new one"
    )
    parser.add_argument("--to", type=int, required=True, help="generation to restore")
    _add_submission(parser)
    parser.set_defaults(run=_roll_back)
    parser = commands.add_parser("get", help="print the inventory in force")
    add_instance_options(parser)
    parser.set_defaults(run=_get)
    parser = commands.add_parser(
        "history", help="list accepted changes with author and reason"
    )
    parser.add_argument("--limit", type=int, default=20)
    add_instance_options(parser)
    parser.set_defaults(run=_history)


def _add_submission(parser: argparse.ArgumentParser) -> None:
    parser.add_argument("--message", default="", help="reason for the change")
    parser.add_argument("--who", default=None, help="author (default: login name)")
    parser.add_argument(
        "--wait", action="store_true", help="wait until it is in force everywhere"
    )
    parser.add_argument("--wait-s", type=float, default=DEFAULT_WAIT_S)
    add_instance_options(parser)


def _plan(args: argparse.Namespace) -> int:
    load_inventory(args.inventory)
    try:
        reply = call(args, "POST", "/plan", body=_read_inventory(args))
    except CallError as exc:
        return print_failure(args, exc)
    if reply.status != 200:
        return print_problems(reply)
    print(f"compared with generation {reply.data['generation']}:")
    for change in reply.data["changes"]:
        print(_change_line(change))
    loads = [c for c in reply.data["changes"] if _requires_load(c)]
    print(f"{len(reply.data['changes'])} changes, {len(loads)} items to load")
    for refusal in reply.data["refusals"]:
        print(f"would be refused: {refusal}", file=sys.stderr)
    return exits.REFUSED if reply.data["refusals"] else exits.OK


def _apply(args: argparse.Namespace) -> int:
    load_inventory(args.inventory)
    params = _submission_params(args)
    if args.base is not None:
        params["base"] = str(args.base)
    return _submit(args, "/inventory", params, _read_inventory(args))


def _roll_back(args: argparse.Namespace) -> int:
    return _submit(
        args, "/rollback", {**_submission_params(args), "to": str(args.to)}, None
    )


def _get(args: argparse.Namespace) -> int:
    try:
        reply = call(args, "GET", "/inventory")
    except CallError as exc:
        return print_failure(args, exc)
    if reply.status != 200:
        return print_problems(reply)
    print(json.dumps(reply.data, indent=2))
    return exits.OK


def _history(args: argparse.Namespace) -> int:
    try:
        reply = call(args, "GET", "/history", {"limit": str(args.limit)})
    except CallError as exc:
        return print_failure(args, exc)
    if reply.status != 200:
        return print_problems(reply)
    for release in reply.data:
        when = time.strftime("%Y-%m-%dT%H:%M:%SZ", time.gmtime(release["when_s"]))
        changed = ", ".join(release["changed"][:5])
        print(
            f"{release['generation']}  {when}  {release['who']}  "
            f"{release['why']!r}  {changed}"
        )
    return exits.OK


def _submission_params(args: argparse.Namespace) -> dict[str, str]:
    who = args.who or getpass.getuser()
    return {"edit": uuid.uuid4().hex, "who": who, "why": args.message}


def _read_inventory(args: argparse.Namespace) -> bytes:
    with open(args.inventory, "rb") as file:
        return file.read()


def _submit(
    args: argparse.Namespace, path: str, params: dict[str, str], body: bytes | None
) -> int:
    """Submit an edit; if the response is lost, look up whether it was accepted."""
    try:
        reply = call(args, "POST", path, params, body)
    except CallError as exc:
        if not exc.sent:
            return print_failure(args, exc)
        reply = _look_up(args, params["edit"])
        if reply is None:
            print(f"edit id: {params['edit']}", file=sys.stderr)
            return print_failure(args, exc)
    if reply.status != 200:
        return _not_accepted(reply)
    print(f"accepted: generation {reply.data['generation']}")
    return (
        _wait_until_in_force(args, reply.data["generation"]) if args.wait else exits.OK
    )


def _look_up(args: argparse.Namespace, edit: str) -> Reply | None:
    """Return the response for an edit if it is known to be accepted."""
    try:
        reply = call(args, "GET", f"/edits/{edit}")
    except CallError:
        return None
    return reply if reply.status == 200 else None


def _not_accepted(reply: Reply) -> int:
    data = reply.data if isinstance(reply.data, dict) else {}
    outcome = data.get("outcome")
    if outcome not in _EXIT_OF_OUTCOME:
        return print_problems(reply)
    print(outcome, file=sys.stderr)
    for problem in data["problems"]:
        print(problem, file=sys.stderr)
    for conflict in data["clashes"]:
        who = conflict["who"] or "an unknown user"
        where = f"in generation {conflict['generation']}"
        print(f"{conflict['entry']}: changed by {who} {where}", file=sys.stderr)
    return _EXIT_OF_OUTCOME[outcome]


def _wait_until_in_force(args: argparse.Namespace, generation: int) -> int:
    """Wait until a generation is in force; print what is behind or unreachable.

    Data centres not heard from for `SILENT_AFTER_S` are reported but not waited for.
    """
    end_s = time.monotonic() + args.wait_s
    behind, silent = ["status not read yet"], []
    while behind and time.monotonic() < end_s:
        try:
            reply = call(args, "GET", "/status")
        except CallError as exc:
            behind = [str(exc)]
        else:
            summaries = reply.data["in_force"]
            silent = [p for p in summaries if p["heard_s_ago"] > SILENT_AFTER_S]
            heard = [summary for summary in summaries if summary not in silent]
            behind = _describe_behind(heard, generation)
        if behind:
            time.sleep(POLL_INTERVAL_S)
    for name in behind:
        print(f"not in force yet: {name}", file=sys.stderr)
    if behind:
        return exits.FAILED
    for summary in silent:
        ago = f"last heard from {summary['heard_s_ago']} s ago"
        print(f"unreachable: {summary['data_centre']} ({ago})", file=sys.stderr)
    where = "in all reachable data centres" if silent else "everywhere"
    print(f"in force {where}: generation {generation}")
    return exits.OK


def _describe_behind(in_force: list[dict], generation: int) -> list[str]:
    found = []
    for summary in in_force:
        if summary["generation"] >= generation:
            continue
        names = ", ".join(summary["behind"]) or "all"
        silent = f"last heard from {summary['heard_s_ago']} s ago"
        found.append(f"{summary['data_centre']}: {names} ({silent})")
    return found


def _requires_load(change: dict) -> bool:
    """Return whether a change requires a model or adapter version to be loaded."""
    after, before = change["after"], change["before"]
    held = change["entry"].startswith(("models/", "adapters/"))
    if not held or after is None:
        return False
    return before is None or before["version"] != after["version"]


def _change_line(change: dict) -> str:
    if change["before"] is None:
        return f"+ {change['entry']}"
    if change["after"] is None:
        return f"- {change['entry']}"
    before, after = change["before"], change["after"]
    if not isinstance(before, dict):
        return f"~ {change['entry']}: {before} -> {after}"
    keys = [key for key in before if before[key] != after.get(key)]
    parts = [f"{key} {before[key]} -> {after.get(key)}" for key in keys]
    return f"~ {change['entry']}: {', '.join(parts)}"
