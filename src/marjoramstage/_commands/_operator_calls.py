"""Calls from the command line to an instance's HTTP API for operators."""

from __future__ import annotations

import argparse
import asyncio
import json
import ssl
import sys
from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any

import aiohttp

from marjoramstage._commands import exits
from marjoramstage.transport.client_connection import client_session
from marjoramstage.transport.response_body import ResponseBody

OPERATOR_TIMEOUT_S = 40.0


class CallError(Exception):
    """A call got no response; ``sent`` tells whether it may have been executed."""

    def __init__(self, message: str, sent: bool):
        super().__init__(message)
        self.sent = sent


@dataclass(frozen=True)
class Reply:
    """Status and JSON data of a response."""

    status: int
    data: Any


def add_instance_options(parser: argparse.ArgumentParser) -> None:
    """Add the options that are common to all operator commands."""
    parser.add_argument(
        "--instance", required=True, help="ip:port of any instance's operator API"
    )
    parser.add_argument("--secret-file", help="file that contains the operator secret")
    parser.add_argument(
        "--ca-file", help="PEM file of the CA that signed the instance's certificate"
    )


def call(
    args: argparse.Namespace,
    method: str,
    path: str,
    params: Mapping[str, str] | None = None,
    body: bytes | None = None,
) -> Reply:
    """Call the HTTP API for operators; raise `CallError` if it gets none."""
    return asyncio.run(_call(args, method, path, params, body))


def print_failure(args: argparse.Namespace, exc: CallError) -> int:
    """Print why a call failed; return the exit code."""
    outcome = "; outcome unknown" if exc.sent else ""
    print(f"{args.instance}: {exc}{outcome}", file=sys.stderr)
    return exits.UNKNOWN if exc.sent else exits.FAILED


def print_problems(reply: Reply) -> int:
    """Print the errors in a response; return the exit code."""
    data = reply.data if isinstance(reply.data, dict) else {}
    for problem in data.get("problems", ()):
        print(problem, file=sys.stderr)
    if "error" in data:
        print(f"refused: {data['error']}", file=sys.stderr)
    return exits.USAGE if reply.status == 400 else exits.FAILED


async def _call(args, method, path, params, body) -> Reply:
    timeout = aiohttp.ClientTimeout(total=OPERATOR_TIMEOUT_S)
    scheme = "https" if args.ca_file else "http"
    url = f"{scheme}://{args.instance}{path}"
    headers = _secret_header(args.secret_file)
    try:
        async with (
            client_session(timeout=timeout, headers=headers) as session,
            session.request(
                method, url, params=params, data=body, ssl=_tls_context(args.ca_file)
            ) as resp,
        ):
            body = await ResponseBody(resp).read()
            return Reply(resp.status, json.loads(body))
    except (aiohttp.ClientConnectorError, aiohttp.InvalidURL) as exc:
        raise CallError(str(exc), sent=False) from exc
    except (aiohttp.ClientError, TimeoutError, ValueError) as exc:
        raise CallError(str(exc) or type(exc).__name__, sent=method != "GET") from exc


def _tls_context(path: str | None) -> ssl.SSLContext | bool:
    """Return the TLS settings: trust the CA in a file, or the default CAs."""
    return ssl.create_default_context(cafile=path) if path else True


def _secret_header(path: str | None) -> dict[str, str]:
    if path is None:
        return {}
    with open(path) as file:
        return {"Authorization": f"Bearer {file.read().strip()}"}
