"""Run every feature and print ``N passed, N failed`` as the last line.

Scenarios run in several test processes at once. Those tagged ``@processes`` start
programs and wait for them on the real clock, so few of them run at the same time.
Those tagged ``@alone`` measure memory, or times that other load exceeds, and run one by
one after all others.

Scenarios that KNOWN-RED.txt lists are printed and not counted as failed. One that is
listed as failing and passes fails the run, so that the list stays accurate; one that
is listed as flaky may do either.
"""

import json
import os
import subprocess
import sys
import tempfile
import textwrap
from concurrent.futures import ThreadPoolExecutor, as_completed
from dataclasses import dataclass
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
KNOWN_RED = ROOT / "KNOWN-RED.txt"
ALONE = "alone"
PROCESSES = "processes"
# Test processes for scenarios that start programs, and for the others.
PROCESS_TESTS = 2
OTHER_TESTS = max(1, min(3, (os.cpu_count() or 1) // 2))
# Scenarios of one feature that run in one process. Loading all steps takes two to
# three seconds, a played load up to a minute.
MAX_BATCH = 6
# Part of a failed step's report that is printed again at the end, as the output before
# it may be cut off where the tests ran.
MAX_PROBLEM_CHARS = 1_500
# Statuses of scenarios that a run did not select.
NOT_SELECTED = ("untested", "skipped")


@dataclass(frozen=True)
class Scenario:
    """A scenario that ran.

    Attributes
    ----------
    name : str
        Name of the feature and of the scenario.
    status : str
        Status given by behave; all but ``passed`` are failures.
    problem : str
        What behave reported of the step that failed.
    """

    name: str
    status: str
    problem: str = ""


@dataclass(frozen=True)
class Run:
    """One run of behave.

    Attributes
    ----------
    features : list
        The parsed JSON report.
    output : str
        What behave printed.
    """

    code: int
    features: list
    output: str


def known_red(label):
    """Return the scenario names of KNOWN-RED.txt, from its ``label: NAME`` lines."""
    if not KNOWN_RED.exists():
        return set()
    lines = KNOWN_RED.read_text().splitlines()
    prefix = f"{label}:"
    return {line[len(prefix) :].strip() for line in lines if line.startswith(prefix)}


def run_behave(args):
    """Run behave with a JSON report."""
    with tempfile.TemporaryDirectory() as folder:
        out = Path(folder) / "behave.json"
        command = [sys.executable, "-m", "behave", "--format", "json", "--outfile"]
        command += [str(out), "--format", "progress", *args]
        done = subprocess.run(
            command,
            cwd=ROOT,
            check=False,
            text=True,
            stdout=subprocess.PIPE,
            stderr=subprocess.STDOUT,
        )
        text = out.read_text() if out.exists() else ""
    return Run(done.returncode, json.loads(text or "[]"), done.stdout)


def scenario_elements(feature):
    """Return the scenarios of a feature in a report."""
    elements = feature.get("elements", [])
    return [element for element in elements if element.get("type") != "background"]


@dataclass(frozen=True)
class Batches:
    """Locations of the scenarios to run, in batches of one test process each.

    Attributes
    ----------
    processes, others : list
        Batches of scenarios that start programs, and of those that don't.
    alone : list
        One scenario each.
    """

    processes: list
    others: list
    alone: list


def batches(features):
    """Return the scenarios of a report in batches, the largest first."""
    found = Batches([], [], [])
    for feature in features:
        together = []
        for element in scenario_elements(feature):
            if ALONE in (*feature.get("tags", ()), *element.get("tags", ())):
                found.alone.append([element["location"]])
            else:
                together.append(element["location"])
        starts_programs = PROCESSES in feature.get("tags", ())
        lists = found.processes if starts_programs else found.others
        count = -(-len(together) // MAX_BATCH)
        lists += [together[start::count] for start in range(count)]
    found.processes.sort(key=len, reverse=True)
    found.others.sort(key=len, reverse=True)
    return found


def scenario_name(feature, element):
    """Return the name of a scenario with that of its feature."""
    return f"{feature['name']} / {element['name']}".strip()


def problem_of(element):
    """Return what a report says of the step that failed in a scenario."""
    for step in element.get("steps", ()):
        message = step.get("result", {}).get("error_message")
        if not message:
            continue
        text = message if isinstance(message, str) else "\n".join(message)
        return f"{step['name']}\n{text[-MAX_PROBLEM_CHARS:]}"
    return ""


def scenario_results(run):
    """Return every scenario of a run, and an entry if the run itself failed."""
    found = []
    for feature in run.features:
        for element in scenario_elements(feature):
            status = element.get("status", "failed")
            if status not in NOT_SELECTED:
                name = scenario_name(feature, element)
                found.append(Scenario(name, status, problem_of(element)))
    if run.code != 0 and all(scenario.status == "passed" for scenario in found):
        found.append(Scenario("behave", f"exit code {run.code} outside a scenario"))
    return found


def print_results(run):
    """Print the output of a run; return its results."""
    print(run.output, flush=True)
    return scenario_results(run)


def run_scenarios(args):
    """Run the scenarios that ``args`` select; return their results."""
    listed = run_behave(["--dry-run", *args])
    todo = batches(listed.features)
    found = []
    with (
        ThreadPoolExecutor(PROCESS_TESTS) as process_pool,
        ThreadPoolExecutor(OTHER_TESTS) as other_pool,
    ):
        futures = [process_pool.submit(run_behave, each) for each in todo.processes]
        futures += [other_pool.submit(run_behave, each) for each in todo.others]
        for fut in as_completed(futures):
            found += print_results(fut.result())
    for locations in todo.alone:
        found += print_results(run_behave(locations))
    ran = {scenario.name for scenario in found}
    for feature in listed.features:
        for element in scenario_elements(feature):
            name = scenario_name(feature, element)
            if name not in ran:
                found.append(Scenario(name, "not run"))
    if listed.code != 0:
        print(listed.output, flush=True)
        found.append(Scenario("list of scenarios", f"exit code {listed.code}"))
    return found


def main():
    """Run the tests; return the exit code."""
    args = sys.argv[1:]
    scenarios = run_scenarios(args)
    known, flaky, full_run = known_red("test"), known_red("flaky"), not args
    passed, failed = 0, 0
    for scenario in scenarios:
        if scenario.name in flaky:
            print(f"known to be flaky: {scenario.name}: {scenario.status}")
            continue
        if scenario.name in known:
            print(f"known red: {scenario.name}: {scenario.status}")
            if scenario.status == "passed":
                print("it passes again: remove it from KNOWN-RED.txt")
                failed += 1
            continue
        if scenario.status == "passed":
            passed += 1
            continue
        print(f"{scenario.status}: {scenario.name}")
        print(textwrap.indent(scenario.problem, "  "))
        failed += 1
    names = {scenario.name for scenario in scenarios}
    for name in sorted((known | flaky) - names if full_run else ()):
        print(f"KNOWN-RED.txt lists a scenario that does not exist: {name}")
        failed += 1
    if passed == 0:
        failed = max(failed, 1)
    print(f"{passed} passed, {failed} failed")
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
