"""Run every feature and print ``N passed, N failed`` as the last line.

Scenarios that KNOWN-RED.txt lists are printed and not counted as failed. A
listed scenario that passes fails the run, so that the list stays accurate.
"""

import json
import subprocess
import sys
import tempfile
from dataclasses import dataclass
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
KNOWN_RED = ROOT / "KNOWN-RED.txt"


def known_red():
    """Return the scenario names of KNOWN-RED.txt, from its ``test: NAME`` lines."""
    if not KNOWN_RED.exists():
        return set()
    lines = KNOWN_RED.read_text().splitlines()
    return {line[5:].strip() for line in lines if line.startswith("test:")}


def run_behave(args):
    """Run behave; return its exit code and its parsed JSON report."""
    with tempfile.TemporaryDirectory() as folder:
        out = Path(folder) / "behave.json"
        command = [sys.executable, "-m", "behave", "--format", "json", "--outfile"]
        command += [str(out), "--format", "progress", *args]
        code = subprocess.run(command, cwd=ROOT, check=False).returncode
        text = out.read_text() if out.exists() else ""
    return code, json.loads(text or "[]")


@dataclass(frozen=True)
class Scenario:
    """A scenario that ran.

    Attributes
    ----------
    name : str
        Name of the feature and of the scenario.
    status : str
        Status given by behave; all but ``passed`` are failures.
    """

    name: str
    status: str


def scenario_results(features):
    """Return every scenario that ran."""
    found = []
    for feature in features:
        for element in feature.get("elements", []):
            if element.get("type") == "background":
                continue
            name = f"{feature['name']} / {element['name']}".strip()
            status = element.get("status", "failed")
            found.append(Scenario(name, status))
    return found


def main():
    """Run the tests; return the exit code."""
    args = sys.argv[1:]
    code, features = run_behave(args)
    scenarios, known, full_run = scenario_results(features), known_red(), not args
    passed, failed, known_count = 0, 0, 0
    for scenario in scenarios:
        if scenario.name in known:
            known_count += 1
            print(f"known red: {scenario.name}: {scenario.status}")
            if scenario.status == "passed":
                print("it passes again: remove it from KNOWN-RED.txt")
                failed += 1
            continue
        if scenario.status == "passed":
            passed += 1
            continue
        print(f"{scenario.status}: {scenario.name}")
        failed += 1
    names = {scenario.name for scenario in scenarios}
    for name in sorted(known - names if full_run else ()):
        print(f"KNOWN-RED.txt lists a scenario that does not exist: {name}")
        failed += 1
    if code != 0 and failed == 0 and known_count == 0:
        print("behave failed outside a scenario")
        failed = 1
    if passed == 0:
        failed = max(failed, 1)
    print(f"{passed} passed, {failed} failed")
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
