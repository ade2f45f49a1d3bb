"""``bench`` commands: replay traces, inject faults and measure costs."""

from __future__ import annotations

import argparse
import json
import sys
from dataclasses import asdict

from marjoramstage._commands import exits
from marjoramstage.bench.expectations import unmet_expectations
from marjoramstage.bench.faults import run_matrix
from marjoramstage.bench.policies import POLICIES
from marjoramstage.bench.proofs import write_proofs
from marjoramstage.bench.replay import replay
from marjoramstage.bench.report import ReportSetting, replay_all, table, write_plots
from marjoramstage.bench.scenarios import SCENARIOS, write_scenario
from marjoramstage.bench.slopes import measure_slopes
from marjoramstage.bench.trace import read_trace


def add(commands) -> None:
    """Add the commands to the parser."""
    parser = commands.add_parser(
        "bench", help="replay traces, inject faults, measure costs"
    )
    kinds = parser.add_subparsers(required=True, metavar="KIND")
    _add_replay(kinds)
    _add_make_trace(kinds)
    _add_report(kinds)
    _add_slopes(kinds)
    _add_faults(kinds)


def _add_replay(kinds) -> None:
    parser = kinds.add_parser("replay", help="replay a trace with a policy")
    parser.add_argument(
        "--trace", required=True, help="JSON Lines file, may be gzipped (.gz)"
    )
    parser.add_argument("--policy", default="current", help=", ".join(POLICIES))
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--json", action="store_true", help="print one JSON object")
    parser.add_argument(
        "--detail", action="store_true", help="also print outcomes by class and reason"
    )
    parser.add_argument(
        "--check",
        action="store_true",
        help="fail unless the results expected by the trace header are met",
    )
    parser.set_defaults(run=_replay)


def _add_make_trace(kinds) -> None:
    parser = kinds.add_parser("make-trace", help="generate the trace of a scenario")
    parser.add_argument("--scenario", required=True, choices=sorted(SCENARIOS))
    parser.add_argument(
        "--out", required=True, help="output file, gzipped if it ends in .gz"
    )
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument(
        "--minutes", type=float, help="length of the trace (default: 60)"
    )
    parser.add_argument(
        "--load", type=float, default=1.0, help="factor for all request rates"
    )
    parser.set_defaults(run=_make_trace)


def _add_report(kinds) -> None:
    parser = kinds.add_parser("report", help="replay all scenarios with all policies")
    parser.add_argument(
        "--minutes", type=float, default=3.0, help="length of each trace"
    )
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--workers", type=int, default=1, help="worker processes")
    parser.add_argument("--policies", default=",".join(POLICIES))
    parser.add_argument("--scenarios", default=",".join(SCENARIOS))
    parser.add_argument("--plots", help="write plots over load to this directory")
    parser.set_defaults(run=_report)


def _report(args: argparse.Namespace) -> int:
    setting = ReportSetting(args.minutes, args.seed, args.workers)
    policies = args.policies.split(",")
    print(table(replay_all(args.scenarios.split(","), policies, setting)))
    if args.plots:
        write_plots(args.plots, policies, setting)
    return exits.OK


def _add_slopes(kinds) -> None:
    parser = kinds.add_parser("slopes", help="measure CPU time, bytes and memory")
    parser.add_argument("--json", action="store_true", help="print one JSON object")
    parser.set_defaults(run=_slopes)


def _add_faults(kinds) -> None:
    parser = kinds.add_parser("faults", help="run the fault-injection matrix")
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--json", action="store_true", help="print one JSON object")
    parser.add_argument(
        "--random",
        type=int,
        default=0,
        help="number of random runs, with seeds from SEED on",
    )
    parser.add_argument("--workers", type=int, default=1, help="worker processes")
    parser.add_argument("--proofs", help="write the table of results to this file")
    parser.set_defaults(run=_faults)


def _faults(args: argparse.Namespace) -> int:
    matrix = run_matrix(args.seed, args.random, args.workers)
    for result in matrix.results:
        for text in result.broken:
            print(f"{result.name}: {text}", file=sys.stderr)
    if args.proofs:
        write_proofs(matrix, args.proofs, args.seed)
    summary = matrix.summary()
    if args.json:
        print(json.dumps(summary))
    else:
        for name, value in summary.items():
            print(f"{name:12} {value}")
    return exits.FAILED if matrix.failed else exits.OK


def _slopes(args: argparse.Namespace) -> int:
    found = measure_slopes()
    print(json.dumps(found, indent=None if args.json else 2))
    return exits.OK


def _replay(args: argparse.Namespace) -> int:
    trace = read_trace(args.trace)
    for warning in trace.warnings:
        print(warning, file=sys.stderr)
    result, detail = replay(trace, args.policy, args.seed)
    if args.json:
        print(json.dumps(asdict(result)))
    else:
        for name, value in asdict(result).items():
            print(f"{name:28} {value}")
    if args.detail:
        for name, value in asdict(detail).items():
            print(f"{name:28} {value}", file=sys.stderr)
    if not args.check:
        return exits.OK
    unmet = unmet_expectations(trace, result, detail)
    for problem in unmet:
        print(f"expected: {problem}", file=sys.stderr)
    return exits.FAILED if unmet else exits.OK


def _make_trace(args: argparse.Namespace) -> int:
    write_scenario(args.scenario, args.out, args.seed, args.minutes, args.load)
    return exits.OK
