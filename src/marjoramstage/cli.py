"""The command line."""

from __future__ import annotations

import argparse
import asyncio
import json
import signal
import sys
from collections.abc import Sequence

import aiohttp

from marjoramstage import logs
from marjoramstage.demo import Demo
from marjoramstage.exceptions import ConfigError
from marjoramstage.instance import Instance
from marjoramstage.protocol.messages import Target, TargetKind
from marjoramstage.settings import Listen, load_settings
from marjoramstage.standins.engine import EngineFaults, EngineStandin
from marjoramstage.standins.platform import PlatformStandin
from marjoramstage.standins.service import ServiceStandin
from marjoramstage.state.inventory import load_inventory
from marjoramstage.state.targets import slice_of_target
from marjoramstage.transport.platform import HttpPlatform

EXIT_OK = 0
EXIT_FAILED = 1
EXIT_USAGE = 2
EXIT_CONFLICT = 3
EXIT_UNKNOWN = 4
OPERATOR_TIMEOUT_S = 30.0


def main(argv: Sequence[str] | None = None) -> int:
    """Run the command line; return its exit code."""
    args = _parser().parse_args(argv)
    try:
        return args.run(args)
    except ConfigError as exc:
        for problem in exc.problems:
            print(problem, file=sys.stderr)
        return EXIT_USAGE


def _parser() -> argparse.ArgumentParser:
    parser = argparse.ArgumentParser(
        prog="marjoramstage", description="Serve many models on fewer accelerators."
    )
    commands = parser.add_subparsers(required=True, metavar="COMMAND")
    _add_serve(commands)
    _add_check(commands)
    _add_apply(commands)
    _add_get(commands)
    _add_dump(commands)
    _add_standin(commands)
    _add_demo(commands)
    return parser


def _add_serve(commands) -> None:
    parser = commands.add_parser("serve", help="run an instance")
    parser.add_argument("--settings", required=True, help="YAML file")
    parser.set_defaults(run=_serve)


def _add_check(commands) -> None:
    parser = commands.add_parser("check", help="check files offline")
    parser.add_argument("--settings", help="settings of an instance, YAML")
    parser.add_argument("--inventory", help="inventory, YAML")
    parser.set_defaults(run=_check)


def _add_apply(commands) -> None:
    parser = commands.add_parser("apply", help="submit an inventory")
    parser.add_argument("--inventory", required=True, help="YAML file")
    _add_operator(parser)
    parser.set_defaults(run=_apply)


def _add_get(commands) -> None:
    parser = commands.add_parser("get", help="read the accepted inventory")
    _add_operator(parser)
    parser.set_defaults(run=_get)


def _add_dump(commands) -> None:
    parser = commands.add_parser("dump", help="state of an instance as JSON")
    _add_operator(parser)
    parser.set_defaults(run=_dump)


def _add_operator(parser: argparse.ArgumentParser) -> None:
    parser.add_argument(
        "--instance", required=True, help="operator address of any instance, ip:port"
    )
    parser.add_argument("--secret-file", help="file with the shared secret")


def _add_standin(commands) -> None:
    parser = commands.add_parser("standin", help="run one stand-in")
    parser.add_argument("kind", choices=["platform", "engine", "service"])
    parser.add_argument("--name", default="standin")
    parser.add_argument("--listen", default="127.0.0.1:0", help="ip:port")
    parser.add_argument("--platform", help="platform to register at, ip:port")
    parser.add_argument("--data-centre", default="local")
    parser.add_argument("--namespace", default="marjoramstage")
    parser.add_argument("--memory-mb", type=int, default=48_000)
    parser.add_argument("--slots", type=int, default=16)
    parser.add_argument("--ignore-fencing", action="store_true")
    parser.add_argument("--load-ms", type=float, default=0.0)
    parser.add_argument("--token-ms", type=float, default=0.0)
    parser.set_defaults(run=_standin)


def _add_demo(commands) -> None:
    parser = commands.add_parser("demo", help="the whole system in one process")
    parser.add_argument("--callers", default="127.0.0.1:8080", help="ip:port")
    parser.add_argument("--operators", default="127.0.0.1:8081", help="ip:port")
    parser.set_defaults(run=_demo)


def _serve(args: argparse.Namespace) -> int:
    settings = load_settings(args.settings)
    logs.configure(settings.log_level, settings.name)
    asyncio.run(_run_until_signal(Instance(settings)))
    return EXIT_OK


def _check(args: argparse.Namespace) -> int:
    problems: list[str] = []
    for load, path in (
        (load_settings, args.settings),
        (load_inventory, args.inventory),
    ):
        if path is None:
            continue
        try:
            load(path)
        except ConfigError as exc:
            problems += exc.problems
    if problems:
        raise ConfigError(tuple(problems))
    return EXIT_OK


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
        return EXIT_FAILED
    except (aiohttp.ClientError, TimeoutError, ValueError) as exc:
        print(f"{args.instance}: {exc}; outcome unknown", file=sys.stderr)
        return EXIT_UNKNOWN
    if status == 200:
        print(json.dumps(data, indent=2))
        return EXIT_OK
    print(json.dumps(data), file=sys.stderr)
    return _exit_code(status, data)


def _secret_header(path: str | None) -> dict[str, str]:
    if path is None:
        return {}
    with open(path) as file:
        return {"Authorization": f"Bearer {file.read().strip()}"}


def _exit_code(status: int, data: dict) -> int:
    if status == 400:
        return EXIT_USAGE
    if status == 409:
        return EXIT_CONFLICT
    if data.get("verdict") == "may-have-run":
        return EXIT_UNKNOWN
    return EXIT_FAILED


def _standin(args: argparse.Namespace) -> int:
    logs.configure("info", args.name)
    asyncio.run(_run_standin(args))
    return EXIT_OK


def _demo(args: argparse.Namespace) -> int:
    logs.configure("warning", "demo")
    listen = Listen(callers=args.callers, operators=args.operators)
    asyncio.run(_run_demo(Demo(listen)))
    return EXIT_OK


async def _run_demo(demo: Demo) -> None:
    async def announce() -> None:
        await demo.serving()
        print(demo.help_text(), flush=True)

    await _run_until_signal(demo, announce)


async def _run_standin(args: argparse.Namespace) -> None:
    if args.kind == "platform":
        await _run_until_signal(PlatformStandin(args.listen))
        return
    if args.kind == "service":
        standin = ServiceStandin(args.name, args.listen, args.slots)
    else:
        faults = EngineFaults(load_s=args.load_ms / 1000, token_s=args.token_ms / 1000)
        standin = EngineStandin(
            args.name,
            args.listen,
            args.memory_mb,
            args.slots,
            not args.ignore_fencing,
            faults,
        )
    await _run_until_signal(standin, lambda: _register(args, standin))


async def _register(args: argparse.Namespace, standin) -> None:
    """List a stand-in as a target at the platform."""
    if args.platform is None:
        return
    kind = TargetKind(args.kind)
    target = Target(args.name, args.data_centre, kind, standin.address)
    async with aiohttp.ClientSession() as session:
        platform = HttpPlatform(session, args.platform, args.namespace)
        await platform.create(slice_of_target(target))


async def _run_until_signal(part, after_start=None) -> None:
    """Start ``part``, wait for SIGTERM or SIGINT, then stop it."""
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop.set)
    try:
        await part.start()
        if after_start is not None:
            await after_start()
        await stop.wait()
    finally:
        await part.stop()
