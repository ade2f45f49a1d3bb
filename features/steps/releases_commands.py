"""Steps that run operator commands against instances in other processes."""

import contextlib
import io
import shlex
import time
from importlib import resources

from behave import given, then, when

from features.processes import Deployment, call, free_address, wait_for
from marjoramstage.cli import main

SECRET = "secret-of-operators"
LEAVING_S = 3.0
MANY_MODELS = "".join(f"  - {{name: m{i}, memory_mb: 40000}}\n" for i in range(2))
PATHS = ("/dump", "/status", "/inventory", "/history", "/edits/abcdefgh1")


@given("two instances for operator commands, one target without fencing")
def start_instances(context):
    deployment = context.deployment = Deployment()
    deployment.start_platform()
    deployment.start_target("engine", "e1", "--data-centre", "d1")
    deployment.start_target("engine", "e2", "--data-centre", "d2", "--ignore-fencing")
    secret = f'secret: "{SECRET}"\n'
    deployment.start_instance("i1", "d1", secret)
    operators = deployment.operators
    wait_for(lambda: call(operators["i1"], "/healthz").status == 200, "i1 listens")
    peers = dump(context, "i1")["settings"]["listen"]["peers"]
    deployment.start_instance("i2", "d2", secret + f'peers: ["{peers}"]\n')
    wait_for(lambda: call(operators["i2"], "/healthz").status == 200, "i2 listens")
    wait_for(lambda: len(dump(context, "i1")["peers"]["data_centres"]) == 2, "met")
    for name in ("i1", "i2"):
        wait_for(lambda name=name: reported_count(context, name) == 2, "targets report")
    write_files(context)


def dump(context, name):
    headers = {"Authorization": f"Bearer {SECRET}"}
    return call(context.deployment.operators[name], "/dump", headers=headers).json()


def reported_count(context, name):
    headers = {"Authorization": f"Bearer {SECRET}"}
    address = context.deployment.operators[name]
    data = call(address, "/status", headers=headers).json()
    return sum(target["reported"] for target in data["targets"])


def write_files(context):
    text = resources.files("marjoramstage").joinpath("demo.yaml").read_text()
    summaries = 'name: summaries, version: "1"'
    texts = {
        "FIRST": text,
        "SECOND": text.replace(summaries, 'name: summaries, version: "2"'),
        "THIRD": text.replace(summaries, 'name: summaries, version: "3"'),
        "OTHER": text.replace("memory_mb: 200", "memory_mb: 300"),
        "LARGE": text.replace("memory_mb: 14000", "memory_mb: 50000"),
        "MANY": text.replace("models:\n", "models:\n" + MANY_MODELS),
        "BROKEN": text.replace("model: assistant", "model: nothing"),
    }
    context.files = {}
    for name, content in texts.items():
        path = context.deployment.folder / f"{name}.yaml"
        path.write_text(content)
        context.files[name] = str(path)
    assert len(set(texts.values())) == len(texts)
    context.secret_file = context.deployment.folder / "secret"
    context.secret_file.write_text(SECRET)


def run(context, instance, command):
    words = [context.files.get(word, word) for word in shlex.split(command)]
    if words[0] != "check":
        address = context.deployment.operators.get(instance) or free_address()
        words += ["--instance", address, "--secret-file", str(context.secret_file)]
    out, err = io.StringIO(), io.StringIO()
    with contextlib.redirect_stdout(out), contextlib.redirect_stderr(err):
        code = main(words)
    return code, " ".join((out.getvalue() + err.getvalue()).split())


@when("these operator commands are run, each ends with its exit code and output")
def run_commands(context):
    for row in context.table:
        code, printed = run(context, row["instance"], row["command"])
        assert code == int(row["code"]), (row["command"], code, printed)
        assert row["prints"] in printed, (row["command"], printed[-600:])


@then("both instances show target e1 as leaving")
def check_leaving(context):
    end_s = time.monotonic() + LEAVING_S
    seen = {}
    while time.monotonic() < end_s:
        for name in ("i1", "i2"):
            targets = dump(context, name)["targets"]
            seen[name] = {t["name"]: t["leaving"] for t in targets}
        if all(found["e1"] for found in seen.values()):
            break
        time.sleep(0.1)
    assert all(found == {"e1": True, "e2": False} for found in seen.values()), seen


@then("an instance that starts later shows target e1 as leaving")
def check_later(context):
    context.deployment.start_instance("i3", "d1", f'secret: "{SECRET}"\n')

    def shows_leaving():
        targets = dump(context, "i3")["targets"]
        return {t["name"]: t["leaving"] for t in targets} == {"e1": True, "e2": False}

    wait_for(shows_leaving, "i3 knows that e1 is leaving")


@then("an operator without the secret is refused everything but health")
def check_secret(context):
    address = context.deployment.operators["i1"]
    statuses = {path: call(address, path).status for path in PATHS}
    statuses |= {p: call(address, p, "POST").status for p in ("/drain", "/rollback")}
    assert set(statuses.values()) == {401}, statuses
    assert call(address, "/healthz").status == 200
    assert call(address, "/readyz").status == 200
