"""Commands that call the operators' port of any instance."""

from __future__ import annotations

import argparse
import asyncio
import json
import sys

import aiohttp

from marjoramstage._commands import exits
from marjoramstage.state.inventory import load_inventory

OPERATOR_TIMEOUT_S = 30.0


def add(commands) -> None:
    """Add the commands to the parser."""
    parser = commands.add_parser("apply", help="submit an inventory")
    parser.add_argument("--inventory", required=True, help="YAML file")
    _add_instance(parser)
    parser.set_defaults(run=_apply)
    parser = commands.add_parser("get", help="read the accepted inventory")
    _add_instance(parser)
    parser.set_defaults(run=_get)
    parser = commands.add_parser("dump", help="state of an instance as JSON")
    _add_instance(parser)
    parser.set_defaults(run=_dump)


def _add_instance(parser: argparse.ArgumentParser) -> None:
    parser.add_argument(
        "--instance", required=True, help="operator address of any instance, ip:port"
    )
    parser.add_argument("--secret-file", help="file with the shared secret")


def _apply(args: argparse.Namespace) -> int:
    load_inventory(args.inventory)
    with open(args.inventory, "rb") as file:
        body = file.read()
    return asyncio.run(_operate(args, "POST", "/inventory", body))


def _get(args: argparse.Namespace) -> int:
    return asyncio.run(_operate(args, "GET", "/inventory"))


def _dump(args: argparse.Namespace) -> int:
    return asyncio.run(_operate(args, "GET", "/dump"))


async def _operate(
    args: argparse.Namespace, method: str, path: str, body: bytes | None = None
) -> int:
    """Call an operators' port and print its answer; return the exit code."""
    headers = _secret_header(args.secret_file)
    timeout = aiohttp.ClientTimeout(total=OPERATOR_TIMEOUT_S)
    url = f"http://{args.instance}{path}"
    try:
        async with (
            aiohttp.ClientSession(timeout=timeout, headers=headers) as session,
            session.request(method, url, data=body) as resp,
        ):
            data = await resp.json()
            status = resp.status
    except (aiohttp.ClientConnectorError, aiohttp.InvalidURL) as exc:
        print(f"{args.instance}: {exc}", file=sys.stderr)
        return exits.FAILED
    except (aiohttp.ClientError, TimeoutError, ValueError) as exc:
        print(f"{args.instance}: {exc}; outcome unknown", file=sys.stderr)
        return exits.UNKNOWN
    if status == 200:
        print(json.dumps(data, indent=2))
        return exits.OK
    print(json.dumps(data), file=sys.stderr)
    return _exit_code(status, data)


def _secret_header(path: str | None) -> dict[str, str]:
    if path is None:
        return {}
    with open(path) as file:
        return {"Authorization": f"Bearer {file.read().strip()}"}


def _exit_code(status: int, data: dict) -> int:
    if status == 400:
        return exits.USAGE
    if status == 409:
        return exits.CONFLICT
    if data.get("verdict") == "may-have-run":
        return exits.UNKNOWN
    return exits.FAILED
