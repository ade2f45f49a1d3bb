"""Steps that compare the docs with the source."""

import dataclasses
import re
from pathlib import Path

from behave import then, when

from marjoramstage.settings import Limits, Listen, Settings, Tls

ROOT = Path(__file__).resolve().parents[2]
ERROR = re.compile(
    r"(?:RequestError|_refusal)\(\s*(\d{3}), \"([a-z-]+)\",[^()]*?Verdict\.([A-Z_]+)"
)
REFUSAL = re.compile(r"(?:Refuse\(request|_refusal\(), ?(\d{3}), \"([a-z-]+)\"")
HEADER_REFUSAL = re.compile(r"_refusal\((\d{3}), \"([a-z-]+)\"")
METRIC = re.compile(r"_?metrics\.(?:count|gauge|timing)\(\s*f?\"([a-z_.]+?)\.?[\"{]")
EVENT = re.compile(r"(?:event|sampled)\(\s*\"([a-z ]+)\"")
SERIES = re.compile(r"\"(marjoramstage_[a-z_]+)\"")
SETTING = re.compile(r"(?:fields(?:\.get)?[\[(]|_REQUIRED = \(.*)\"([a-z_.]+)\"")
BOUND = re.compile(r"figure\(\"([a-z_]+)\"")
ROW = re.compile(r"^\| `([a-z-]+)` \| ([0-9, ]+) \| ([a-z-]+) \|", re.MULTILINE)
KEY = re.compile(r"^\| `([a-z_.]+)` \| [^|]* \| ([^|]*) \|", re.MULTILINE)
NESTED = {"listen": Listen, "limits": Limits, "tls": Tls}


def doc(name):
    return (ROOT / "docs" / name).read_text()


def sources():
    paths = sorted((ROOT / "src" / "marjoramstage").glob("**/*.py"))
    return [path for path in paths if "bench" not in path.parts]


@when("the docs are compared with the source")
def compare(context):
    context.source_text = "\n".join(path.read_text() for path in sources())


@then("SETTINGS.md names every key of the settings with its default")
def check_settings(context):
    rows = dict(KEY.findall(doc("SETTINGS.md")))
    wanted = {}
    for field in dataclasses.fields(Settings):
        if field.name not in NESTED:
            wanted[field.name] = field.default
            continue
        for inner in dataclasses.fields(NESTED[field.name]):
            wanted[f"{field.name}.{inner.name}"] = inner.default
    assert rows.keys() == wanted.keys(), rows.keys() ^ wanted.keys()
    for key, default in wanted.items():
        if isinstance(default, str | int | float):
            shown = rows[key].strip("`")
            assert shown == str(default).removesuffix(".0"), (key, shown, default)


def documented():
    found = {}
    for code, statuses, verdict in ROW.findall(doc("API.md")):
        for status in statuses.split(", "):
            found[code, int(status)] = verdict
    return found


@then("API.md names every error code with its status and verdict")
def check_errors(context):
    found = {}
    for status, code, verdict in ERROR.findall(context.source_text):
        found[code, int(status)] = verdict.lower().replace("_", "-")
    for pattern in (REFUSAL, HEADER_REFUSAL):
        for status, code in pattern.findall(context.source_text):
            found.setdefault((code, int(status)), "not-run")
    assert len(found) > 20, found
    rows = documented()
    wrong = {key: value for key, value in found.items() if rows.get(key) != value}
    assert not wrong, wrong


@then("METRICS.md names every metric")
def check_counters(context):
    text = doc("METRICS.md")
    names = set(METRIC.findall(context.source_text))
    assert len(names) > 10, names
    missing = [name for name in sorted(names) if f"`{name}" not in text]
    assert missing == [], missing


@then("PLATFORM.md names every log event, metric series and platform setting")
def check_platform(context):
    text = doc("PLATFORM.md")
    names = set(EVENT.findall(context.source_text))
    names |= set(SERIES.findall(context.source_text))
    settings = ROOT / "src/marjoramstage/platform/_settings.py"
    found = set(SETTING.findall(settings.read_text()))
    bounds = set(BOUND.findall(settings.read_text()))
    assert len(names) > 25 and len(found) > 5 and len(bounds) > 8, (names, found)
    names |= found | {f"bounds.{name}" for name in bounds}
    missing = [name for name in sorted(names) if f"`{name}`" not in text]
    assert missing == [], missing


@then("429 and 503 only have the verdict not-run, 502 and 504 only may-have-run")
def check_rule(context):
    for (code, status), verdict in documented().items():
        if status in (429, 503):
            assert verdict == "not-run", code
        if status in (502, 504):
            assert verdict == "may-have-run", code
