"""``standin`` runs a stand-in server, ``demo`` the system in one process."""

from __future__ import annotations

import argparse
import asyncio

from marjoramstage import logs
from marjoramstage._commands import exits
from marjoramstage._commands.running import run_until_signal
from marjoramstage._settings_rules import LISTEN_DEFAULTS
from marjoramstage.addresses import split_address
from marjoramstage.demo import Demo
from marjoramstage.protocol.messages import Target, TargetKind
from marjoramstage.settings import Listen
from marjoramstage.standins._register import register_targets
from marjoramstage.standins._weights import WeightStore
from marjoramstage.standins.engine import EngineFaults, EngineStandin
from marjoramstage.standins.platform import PlatformStandin
from marjoramstage.standins.service import ServiceStandin


def add(commands) -> None:
    """Add the commands to the parser."""
    parser = commands.add_parser(
        "standin", help="run a stand-in for the platform or a target"
    )
    parser.add_argument("kind", choices=["platform", "engine", "service"])
    parser.add_argument("--name", default="standin", help="name of the target")
    _add_address(parser, "--listen", "127.0.0.1:0")
    _add_address(parser, "--platform", None, "address of the platform to register with")
    parser.add_argument(
        "--data-centre", default="local", help="data centre of the target"
    )
    parser.add_argument(
        "--namespace", default="marjoramstage", help="namespace of its objects"
    )
    parser.add_argument(
        "--memory-mb", type=int, default=48_000, help="accelerator memory"
    )
    parser.add_argument("--slots", type=int, default=16, help="concurrent requests")
    parser.add_argument(
        "--ignore-fencing",
        action="store_true",
        help="accept orders with outdated fencing numbers",
    )
    parser.add_argument(
        "--honour-expiry", action="store_true", help="reject expired orders"
    )
    parser.add_argument("--load-ms", type=float, default=0.0, help="duration of a load")
    parser.add_argument(
        "--loads-per-s",
        type=float,
        default=0.0,
        help="maximum rate of loads (0: unlimited)",
    )
    parser.add_argument(
        "--loads-at-once",
        type=int,
        default=8,
        help="concurrent loads that run at full speed",
    )
    parser.add_argument(
        "--token-ms", type=float, default=0.0, help="time between tokens"
    )
    parser.set_defaults(run=_standin)
    parser = commands.add_parser("demo", help="run the whole system in one process")
    _add_address(parser, "--callers", LISTEN_DEFAULTS["callers"])
    _add_address(parser, "--operators", LISTEN_DEFAULTS["operators"])
    _add_address(parser, "--peers", LISTEN_DEFAULTS["peers"])
    parser.set_defaults(run=_demo)


def _add_address(
    parser: argparse.ArgumentParser,
    name: str,
    default: str | None,
    description: str = "",
) -> None:
    text = description or "listening address"
    text += f" (default: {default})" if default else ""
    parser.add_argument(
        name, type=_address, default=default, metavar="IP:PORT", help=text
    )


def _address(text: str) -> str:
    try:
        split_address(text)
    except ValueError as exc:
        raise argparse.ArgumentTypeError(f"not ip:port: {text!r}") from exc
    return text


def _standin(args: argparse.Namespace) -> int:
    logs.configure("info", args.name)
    asyncio.run(_run_standin(args))
    return exits.OK


def _demo(args: argparse.Namespace) -> int:
    logs.configure("warning", "demo")
    listen = Listen(args.callers, args.operators, args.peers)
    asyncio.run(_run_demo(Demo(listen)))
    return exits.OK


async def _run_demo(demo: Demo) -> None:
    async def announce() -> None:
        await demo.wait_until_serving()
        print(demo.help_text(), flush=True)

    await run_until_signal(demo, announce)


async def _run_standin(args: argparse.Namespace) -> None:
    if args.kind == "platform":
        await run_until_signal(PlatformStandin(args.listen))
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
            WeightStore(args.loads_per_s, args.loads_at_once),
            args.honour_expiry,
        )
    await run_until_signal(standin, lambda: _register(args, standin))


async def _register(
    args: argparse.Namespace, standin: EngineStandin | ServiceStandin
) -> None:
    """Register a stand-in as a target at the platform."""
    if args.platform is None:
        return
    kind = TargetKind(args.kind)
    target = Target(args.name, args.data_centre, kind, standin.address)
    await register_targets(args.platform, args.namespace, [target])
