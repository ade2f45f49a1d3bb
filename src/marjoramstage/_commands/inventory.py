"""Commands about the inventory, usable from a CI job without questions.

Exit codes: 0 accepted, 2 the file is wrong, 3 conflict, 4 unknown, 5 refused,
1 not accepted for another reason.
"""

from __future__ import annotations

import argparse
import getpass
import json
import sys
import time
import uuid

from marjoramstage._commands import exits
from marjoramstage._commands._calls import (
    CallError,
    Reply,
    add_instance,
    call,
    fail,
    problems,
)
from marjoramstage.state.inventory import load_inventory

WAIT_S = 30.0
POLL_S = 0.3
SILENT_S = 30.0

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
    add_instance(parser)
    parser.set_defaults(run=_plan)
    parser = commands.add_parser("apply", help="submit an inventory")
    parser.add_argument("--inventory", required=True, help="YAML file")
    parser.add_argument(
        "--base", type=int, help="generation that the file was written from"
    )
    _add_submission(parser)
    parser.set_defaults(run=_apply)
    parser = commands.add_parser("rollback", help="accept an earlier generation again")
    parser.add_argument("--to", type=int, required=True, help="generation")
    _add_submission(parser)
    parser.set_defaults(run=_roll_back)
    parser = commands.add_parser("get", help="read the accepted inventory")
    add_instance(parser)
    parser.set_defaults(run=_get)
    parser = commands.add_parser("history", help="who accepted what, and why")
    parser.add_argument("--limit", type=int, default=20)
    add_instance(parser)
    parser.set_defaults(run=_history)


def _add_submission(parser: argparse.ArgumentParser) -> None:
    parser.add_argument("--message", default="", help="why")
    parser.add_argument("--who", default=None, help="default: the login name")
    parser.add_argument(
        "--wait", action="store_true", help="until it is in force everywhere"
    )
    parser.add_argument("--wait-s", type=float, default=WAIT_S)
    add_instance(parser)


def _plan(args: argparse.Namespace) -> int:
    load_inventory(args.inventory)
    try:
        reply = call(args, "POST", "/plan", body=_body(args))
    except CallError as exc:
        return fail(args, exc)
    if reply.status != 200:
        return problems(reply)
    print(f"against generation {reply.data['generation']}:")
    for change in reply.data["changes"]:
        print(_change_line(change))
    loads = [c for c in reply.data["changes"] if _is_load(c)]
    print(f"{len(reply.data['changes'])} changes, {len(loads)} items to load")
    for refusal in reply.data["refusals"]:
        print(f"would be refused: {refusal}", file=sys.stderr)
    return exits.REFUSED if reply.data["refusals"] else exits.OK


def _apply(args: argparse.Namespace) -> int:
    load_inventory(args.inventory)
    params = _submission(args)
    if args.base is not None:
        params["base"] = str(args.base)
    return _submit(args, "/inventory", params, _body(args))


def _roll_back(args: argparse.Namespace) -> int:
    return _submit(args, "/rollback", {**_submission(args), "to": str(args.to)}, None)


def _get(args: argparse.Namespace) -> int:
    try:
        reply = call(args, "GET", "/inventory")
    except CallError as exc:
        return fail(args, exc)
    if reply.status != 200:
        return problems(reply)
    print(json.dumps(reply.data, indent=2))
    return exits.OK


def _history(args: argparse.Namespace) -> int:
    try:
        reply = call(args, "GET", "/history", {"limit": str(args.limit)})
    except CallError as exc:
        return fail(args, exc)
    if reply.status != 200:
        return problems(reply)
    for release in reply.data:
        when = time.strftime("%Y-%m-%dT%H:%M:%SZ", time.gmtime(release["when_s"]))
        changed = ", ".join(release["changed"][:5])
        print(
            f"{release['generation']}  {when}  {release['who']}  "
            f"{release['why']!r}  {changed}"
        )
    return exits.OK


def _submission(args: argparse.Namespace) -> dict[str, str]:
    who = args.who or getpass.getuser()
    return {"edit": uuid.uuid4().hex, "who": who, "why": args.message}


def _body(args: argparse.Namespace) -> bytes:
    with open(args.inventory, "rb") as file:
        return file.read()


def _submit(
    args: argparse.Namespace, path: str, params: dict[str, str], body: bytes | None
) -> int:
    """Submit an edit; look it up when the answer is lost."""
    try:
        reply = call(args, "POST", path, params, body)
    except CallError as exc:
        if not exc.sent:
            return fail(args, exc)
        reply = _look_up(args, params["edit"])
        if reply is None:
            print(f"edit {params['edit']}", file=sys.stderr)
            return fail(args, exc)
    if reply.status != 200:
        return _not_accepted(reply)
    print(f"accepted: generation {reply.data['generation']}")
    return _wait(args, reply.data["generation"]) if args.wait else exits.OK


def _look_up(args: argparse.Namespace, edit: str) -> Reply | None:
    """Return the answer for an edit that is known to be accepted."""
    try:
        reply = call(args, "GET", f"/edits/{edit}")
    except CallError:
        return None
    return reply if reply.status == 200 else None


def _not_accepted(reply: Reply) -> int:
    data = reply.data if isinstance(reply.data, dict) else {}
    outcome = data.get("outcome")
    if outcome not in _EXIT_OF_OUTCOME:
        return problems(reply)
    print(outcome, file=sys.stderr)
    for problem in data["problems"]:
        print(problem, file=sys.stderr)
    for clash in data["clashes"]:
        who = clash["who"] or "somebody"
        where = f"in generation {clash['generation']}"
        print(f"{clash['entry']}: changed by {who} {where}", file=sys.stderr)
    return _EXIT_OF_OUTCOME[outcome]


def _wait(args: argparse.Namespace, generation: int) -> int:
    """Wait until each instance has the generation; name those not heard of."""
    end_s = time.monotonic() + args.wait_s
    behind, silent = ["not asked yet"], []
    while behind and time.monotonic() < end_s:
        try:
            reply = call(args, "GET", "/status")
        except CallError as exc:
            behind = [str(exc)]
        else:
            places = reply.data["in_force"]
            silent = [p for p in places if p["heard_s_ago"] > SILENT_S]
            heard = [place for place in places if place not in silent]
            behind = _behind(heard, generation)
        if behind:
            time.sleep(POLL_S)
    for name in behind:
        print(f"not in force yet: {name}", file=sys.stderr)
    if behind:
        return exits.FAILED
    for place in silent:
        ago = f"heard {place['heard_s_ago']} s ago"
        print(f"not reached: {place['data_centre']} ({ago})", file=sys.stderr)
    where = "where it can be reached" if silent else "everywhere"
    print(f"in force {where}: generation {generation}")
    return exits.OK


def _behind(in_force: list[dict], generation: int) -> list[str]:
    found = []
    for place in in_force:
        if place["generation"] >= generation:
            continue
        names = ", ".join(place["behind"]) or "all"
        silent = f"heard {place['heard_s_ago']} s ago"
        found.append(f"{place['data_centre']}: {names} ({silent})")
    return found


def _is_load(change: dict) -> bool:
    """Return whether a change asks for a version that is not held yet."""
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
