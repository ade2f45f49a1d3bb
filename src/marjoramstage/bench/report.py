"""Compares the policies over all scenarios, in a table and in plots."""

from __future__ import annotations

import itertools
from concurrent.futures import ProcessPoolExecutor
from dataclasses import dataclass
from pathlib import Path

from marjoramstage.bench.deployments import DEPLOYMENTS
from marjoramstage.bench.expectations import unmet_expectations
from marjoramstage.bench.replay import ReplayResult, replay
from marjoramstage.bench.scenarios import scenario_lines
from marjoramstage.bench.trace import parse_trace
from marjoramstage.exceptions import ConfigError

LOADS = (0.5, 1.0, 2.0, 3.0, 4.5)
PLOT_SCENARIO = "usual"
COLUMNS = (
    "trace",
    "policy",
    "attainment per accelerator",
    "limit",
    "moves",
    "fairness",
    "refused",
    "late",
    "lost",
    "stated outcome",
)


@dataclass(frozen=True)
class ReportSetting:
    """Settings shared by all replays of a report."""

    minutes: float
    seed: int
    workers: int


@dataclass(frozen=True)
class Row:
    """One replay of a report.

    Attributes
    ----------
    unmet : tuple of str
        Expectations that were not met, one message each.
    """

    scenario: str
    load: float
    result: ReplayResult
    unmet: tuple[str, ...]


def replay_all(
    scenarios: list[str], policies: list[str], setting: ReportSetting
) -> list[Row]:
    """Replay each scenario under each policy, at normal load."""
    jobs = [(s, p, 1.0, setting) for s in scenarios for p in policies]
    return _rows(jobs, setting.workers)


def table(rows: list[Row]) -> str:
    """Return the rows as a Markdown table."""
    lines = [_line(COLUMNS), _line(["---"] * len(COLUMNS))]
    for row in rows:
        result = row.result
        cells = (
            row.scenario,
            result.policy,
            f"{result.attainment_per_accelerator:.1f}",
            f"{result.attainment_limit:.1f}",
            result.moves,
            result.fairness_max_min,
            result.refused,
            result.late,
            result.lost,
            "; ".join(row.unmet) or "met",
        )
        lines.append(_line(cells))
    return "\n".join(lines)


def write_plots(
    folder: str | Path, policies: list[str], setting: ReportSetting
) -> list[Path]:
    """Plot attainment per accelerator and number of moves by load, as SVG files.

    Raises
    ------
    ConfigError
        matplotlib is not installed.
    """
    try:
        from matplotlib.figure import Figure
    except ModuleNotFoundError:
        text = "--plots: matplotlib is missing; install marjoramstage[plots]"
        raise ConfigError((text,)) from None
    folder = Path(folder)
    folder.mkdir(parents=True, exist_ok=True)
    written = []
    for name in DEPLOYMENTS:
        scenario = f"{name}-{PLOT_SCENARIO}"
        jobs = [(scenario, p, load, setting) for p in policies for load in LOADS]
        figure = Figure(figsize=(9, 4))
        _draw(figure, _rows(jobs, setting.workers), scenario)
        written.append(folder / f"{name}.svg")
        figure.savefig(written[-1], metadata={"Date": None})
    return written


def _draw(figure, rows: list[Row], scenario: str) -> None:
    left, right = figure.subplots(1, 2)
    for policy, group in itertools.groupby(rows, key=lambda row: row.result.policy):
        found = list(group)
        loads = [row.load for row in found]
        met = [row.result.attainment_per_accelerator for row in found]
        left.plot(loads, met, marker="o", label=policy)
        right.plot(loads, [row.result.moves for row in found], marker="o")
    limit = {row.load: row.result.attainment_limit for row in rows}
    left.plot(limit.keys(), limit.values(), "k--", label="limit")
    left.set(xlabel="load, usual is 1", ylabel="met per accelerator", title=scenario)
    right.set(xlabel="load, usual is 1", ylabel="moves", yscale="log")
    left.legend(fontsize="small")
    figure.tight_layout()


def _rows(jobs: list[tuple], workers: int) -> list[Row]:
    if workers == 1:
        return [_row(job) for job in jobs]
    with ProcessPoolExecutor(workers) as pool:
        return list(pool.map(_row, jobs))


def _row(job: tuple[str, str, float, ReportSetting]) -> Row:
    scenario, policy, load, setting = job
    lines = scenario_lines(scenario, setting.seed, setting.minutes, load)
    trace = parse_trace(lines, scenario)
    result, detail = replay(trace, policy, setting.seed)
    return Row(scenario, load, result, tuple(unmet_expectations(trace, result, detail)))


def _line(cells) -> str:
    return "| " + " | ".join(str(cell) for cell in cells) + " |"
