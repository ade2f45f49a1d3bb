"""``explain`` command: where a request would go now, and why."""

from __future__ import annotations

import argparse
import http.client
import json
import sys
from typing import Any
from urllib.parse import urlencode

from marjoramstage._commands import exits

METRICS_PORT = 9464
TIMEOUT_S = 5.0
MAX_ANSWER_BYTES = 4_194_304

DESCRIPTION = """\
Asks a running instance where it would send a request now, and why: what each target
costs and what excludes it, how old the figures are, the quota of the customer and the
place in the queue. The answer comes from the code that chooses targets. Nothing is sent
to a target, and no key is asked for or shown: give the customer's name.
"""
EPILOG = """\
example:
  marjoramstage explain --instance 10.0.1.7 --host chat.example --path /v1/chat \\
    --model m4/a2 --tokens 812,300 --prefix 9f3a:600,77b1:212 --hint 120

exit codes:
  0  the instance has answered, whether or not a target takes the request
  1  the instance could not be asked
  2  an argument is wrong
"""
ROW = "{:<20} {:>8} {:>9} {:>8} {:>9} {:>8}  {}"
PARTS_ROW = "{:<20} {}"

# Options and the parameters of the query that they stand for.
OPTIONS = (
    ("host", "host name of the request"),
    ("path", "path of the request"),
    ("model", "header Model: a model, or MODEL/ADAPTER"),
    ("tokens", "header Tokens: PROMPT,OUTPUT"),
    ("prefix", "parts of the prompt, ID:TOKENS,ID:TOKENS,..."),
    ("hint", "header Length-Hint: expected tokens of the answer"),
    ("customer", "name of the customer (not its key)"),
    ("software", "version of the engine that began a stream to go on with"),
    ("request-id", "header Request-Id, for a route that is split"),
)
REQUIRED = ("host", "path")


def add(commands) -> None:
    """Add the command to the parser."""
    parser = commands.add_parser(
        "explain",
        help="where a running instance would send a request now, and why",
        description=DESCRIPTION,
        epilog=EPILOG,
        formatter_class=argparse.RawDescriptionHelpFormatter,
    )
    parser.add_argument(
        "--instance",
        required=True,
        help=f"ip or ip:port of the instance's metrics (port {METRICS_PORT})",
    )
    for name, text in OPTIONS:
        parser.add_argument(f"--{name}", required=name in REQUIRED, help=text)
    parser.add_argument("--json", action="store_true", help="print one JSON object")
    parser.set_defaults(run=_explain)


def _explain(args: argparse.Namespace) -> int:
    given = {name: getattr(args, name.replace("-", "_")) for name, _ in OPTIONS}
    query = {name.replace("-", "_"): v for name, v in given.items() if v is not None}
    try:
        found = _ask(args.instance, query)
    except (OSError, http.client.HTTPException, ValueError) as exc:
        print(f"{args.instance}: not explained: {exc}", file=sys.stderr)
        return exits.FAILED
    if args.json:
        print(json.dumps(found, indent=2))
    else:
        _print(found)
    return exits.OK


def _ask(instance: str, query: dict[str, str]) -> dict[str, Any]:
    """Return the instance's answer.

    Raises
    ------
    OSError, http.client.HTTPException, ValueError
        There is none, or none that can be read.
    """
    address = instance.strip("[]") if instance.count(":") > 1 else instance
    if ":" not in instance or instance.endswith("]"):
        conn = http.client.HTTPConnection(address, METRICS_PORT, timeout=TIMEOUT_S)
    else:
        conn = http.client.HTTPConnection(instance, timeout=TIMEOUT_S)
    try:
        conn.request("GET", f"/explain?{urlencode(query)}")
        resp = conn.getresponse()
        body = resp.read(MAX_ANSWER_BYTES)
    finally:
        conn.close()
    if resp.status != http.client.OK:
        raise ValueError(f"status {resp.status}")
    return json.loads(body)


def _print(found: dict[str, Any]) -> None:
    print(f"goes to    {found['target'] or 'none'}  {found['reason']}".rstrip())
    where = f"route {found['route'] or 'none'}, service {found['service'] or 'none'}"
    print(f"from       {where}, version {found['version']}")
    print(f"chosen by  {'work' if found['known_work'] else 'running requests'}")
    print(f"view       {_seconds(found['view_age_s'])} old")
    print(f"quota      {_quota(found)}")
    print(f"queue      {_queue(found['queue'])}")
    if found["load_eta_s"] is not None:
        print(f"loaded in  {_seconds(found['load_eta_s'])}")
    if not found["candidates"]:
        return
    print()
    print(ROW.format("target", "cost", "running", "prefill", "work left", "cached", ""))
    for entry in found["candidates"]:
        _print_candidate(entry)


def _print_candidate(entry: dict[str, Any]) -> None:
    excluded = entry["excluded"]
    if entry["pause_left_s"]:
        excluded += f" ({_seconds(entry['pause_left_s'])} left)"
    running = f"{entry['running']}/{entry['slots']}"
    cached = "-" if entry["cached_tokens"] is None else entry["cached_tokens"]
    backlog, work = entry["prefill_backlog_s"], entry["own_work_s"]
    print(
        ROW.format(
            entry["target"],
            f"{entry['cost']:.3f}",
            running,
            _seconds(backlog),
            _seconds(work),
            cached,
            excluded,
        ).rstrip()
    )
    parts = [
        f"{name} {value:g}" for name, value in entry["cost_parts"].items() if value
    ]
    print(PARTS_ROW.format("", ", ".join(parts)).rstrip())


def _quota(found: dict[str, Any]) -> str:
    quota = found["quota"]
    if quota is None:
        return "none"
    verdict = "admitted" if quota["admitted"] else "over"
    used = f"{quota['used']:g} of {quota['limit']:g}"
    return f"{verdict}, {used} used, {_seconds(quota['age_s'])} old"


def _queue(place: dict[str, Any] | None) -> str:
    if place is None:
        return "not queued"
    counts = f"{place['waiting']} with the same needs, {place['total']} in all"
    return f"{place['ahead']} ahead of it, {counts}"


def _seconds(value: float | None) -> str:
    return "-" if value is None else f"{value:.3f} s"
