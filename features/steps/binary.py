"""Steps that run the single-file build."""

import os
import resource
import shutil
import stat
import subprocess
import tempfile
from importlib import resources
from pathlib import Path

from behave import given, then, when

from features.processes import Deployment, call, wait_for

BINARY = Path(__file__).resolve().parents[2] / "dist" / "marjoramstage"
RUN_TIMEOUT_S = 60.0
COMMANDS = ("serve", "check", "apply", "dump", "standin", "demo")
CREDENTIAL = {"Authorization": "Bearer demo-credential"}
BOOKINGS = "/services/booking/bookings"


def memory_backed_folder():
    """Return a writable tmpfs mount of this host."""
    mounts = Path("/proc/mounts").read_text().splitlines()
    tmpfs = [line.split()[1] for line in mounts if line.split()[2] == "tmpfs"]
    for folder in tmpfs:
        if os.access(folder, os.W_OK):
            return folder
    raise AssertionError(f"none of {tmpfs} is writable")


@given("the binary and an empty memory-backed directory")
def make_directory(context):
    assert BINARY.exists(), "build it with ./dev binary"
    root = tempfile.mkdtemp(prefix="marjoramstage-", dir=memory_backed_folder())
    context.add_cleanup(shutil.rmtree, root)
    context.shiv_root = Path(root)
    context.empty = Path(tempfile.mkdtemp(prefix="marjoramstage-empty-"))
    context.add_cleanup(shutil.rmtree, context.empty)
    context.binary_env = {
        "PATH": os.environ["PATH"],
        "SHIV_ROOT": root,
        "HOME": str(context.empty),
        "TMPDIR": str(context.empty),
        "PYTHONDONTWRITEBYTECODE": "1",
    }


@when("the binary is run with --help")
@given("the binary has unpacked itself")
def run_help(context):
    context.help = subprocess.run(
        [BINARY, "--help"],
        env=context.binary_env,
        cwd=context.empty,
        capture_output=True,
        text=True,
        timeout=RUN_TIMEOUT_S,
    )


@then("the binary ends with exit code 0 and names its commands")
def check_help(context):
    assert context.help.returncode == 0, context.help
    for command in COMMANDS:
        assert command in context.help.stdout, context.help.stdout
    assert list(context.empty.iterdir()) == []


def forbid_writes():
    """Forbid the process to write to any regular file."""
    resource.setrlimit(resource.RLIMIT_FSIZE, (0, 0))


@when("the binary serves as an instance that may not write to any file")
def serve_binary(context):
    context.deployment = deployment = Deployment()
    deployment.start_platform()
    deployment.start_target("service", "s1")
    settings = deployment.write_settings("i1")
    process = subprocess.Popen(
        [BINARY, "serve", "--settings", str(settings)],
        env=context.binary_env,
        cwd=context.empty,
        stdin=subprocess.DEVNULL,
        stdout=subprocess.DEVNULL,
        stderr=subprocess.DEVNULL,
        preexec_fn=forbid_writes,
    )
    deployment.processes["i1"] = process
    context.binary_pid = process.pid
    operators = deployment.operators["i1"]
    wait_for(lambda: call(operators, "/healthz").status == 200, "binary listens")
    text = resources.files("marjoramstage").joinpath("demo.yaml").read_bytes()
    assert call(operators, "/inventory", "POST", text).status == 200


@then("the binary answers a booking")
def check_booking(context):
    address = context.deployment.addresses["i1"]
    body = {"hall": "A1"}
    wait_for(
        lambda: call(address, BOOKINGS, "POST", body, CREDENTIAL).status == 201,
        "the binary books",
    )


@then("the binary has no child process")
def check_children(context):
    children = []
    for path in Path("/proc").glob("[0-9]*/stat"):
        try:
            fields = path.read_text().rpartition(")")[2].split()
        except OSError:
            continue  # the process has ended
        if int(fields[1]) == context.binary_pid:
            children.append(path.parent.name)
    assert children == [], children


@then("the binary has no io_uring descriptor or mapping and shares no memory")
def check_descriptors(context):
    process = Path(f"/proc/{context.binary_pid}")
    found = [os.readlink(path) for path in (process / "fd").iterdir()]
    assert any(name.startswith("socket:") for name in found), found
    assert not [name for name in found if "io_uring" in name], found
    maps = (process / "maps").read_text().splitlines()
    assert any(str(context.shiv_root) in line for line in maps), maps
    assert not [line for line in maps if "io_uring" in line], maps
    shared = [line for line in maps if line.split()[1][3] == "s"]
    assert [line for line in shared if "w" in line.split()[1]] == [], shared


@then("the binary has no file open for writing outside its directory")
def check_open_files(context):
    process = Path(f"/proc/{context.binary_pid}")
    wrong = []
    for path in (process / "fd").iterdir():
        target = os.readlink(path)
        info = (process / "fdinfo" / path.name).read_text()
        flags = int(info.split("flags:")[1].split()[0], 8)
        if flags & os.O_ACCMODE == os.O_RDONLY:
            continue
        if not stat.S_ISREG(path.stat().st_mode):
            continue
        if not target.startswith(str(context.shiv_root)):
            wrong.append(target)
    assert wrong == [], wrong


@then("its home, temporary and working directories are still empty")
def check_empty(context):
    assert list(context.empty.iterdir()) == []


@then("the binary ends with exit code 0 on SIGTERM")
def check_end(context):
    assert context.deployment.terminate("i1") == 0
