"""Runs the components of a deployment as separate processes on loopback."""

import itertools
import json
import os
import signal
import socket
import subprocess
import sys
import tempfile
import time
import urllib.error
import urllib.request
from dataclasses import dataclass
from pathlib import Path

READY_TIMEOUT_S = 60.0
STOP_TIMEOUT_S = 60.0
CANDIDATE_PORTS = itertools.cycle(
    [10_000 + (os.getpid() * 97 + step) % 22_000 for step in range(22_000)]
)


def free_address():
    """Return a free address with a port below the kernel's ephemeral range.

    Another process could be given an ephemeral port before it is used here.
    """
    for port in CANDIDATE_PORTS:
        try:
            with socket.socket() as sock:
                sock.bind(("127.0.0.1", port))
        except OSError:
            continue
        return f"127.0.0.1:{port}"


@dataclass(frozen=True)
class HttpResponse:
    """A response to an HTTP request."""

    status: int
    headers: dict
    body: bytes

    def json(self):
        return json.loads(self.body)


def call(address, path, method="GET", body=None, headers=None):
    data = json.dumps(body).encode() if isinstance(body, dict) else body
    url = f"http://{address}{path}"
    req = urllib.request.Request(url, data=data, headers=headers or {}, method=method)
    try:
        with urllib.request.urlopen(req, timeout=READY_TIMEOUT_S) as resp:
            return HttpResponse(resp.status, dict(resp.headers), resp.read())
    except urllib.error.HTTPError as exc:
        return HttpResponse(exc.code, dict(exc.headers), exc.read())


def wait_for(condition, description):
    """Poll until ``condition`` holds; the timeout only ends a run that hangs."""
    deadline = time.monotonic() + READY_TIMEOUT_S
    while time.monotonic() < deadline:
        try:
            if condition():
                return
        except (OSError, ValueError, KeyError):
            pass
        time.sleep(0.05)
    raise AssertionError(f"timed out waiting for: {description}")


class Deployment:
    """Processes started by a scenario."""

    def __init__(self):
        self.folder = Path(tempfile.mkdtemp(prefix="marjoramstage-"))
        self.processes = {}
        self.addresses = {}
        self.operators = {}
        self.platform = None

    def start(self, name, *args):
        log = (self.folder / f"{name}.log").open("wb")
        command = [sys.executable, "-m", "marjoramstage", *args]
        self.processes[name] = subprocess.Popen(
            command, stdin=subprocess.DEVNULL, stdout=log, stderr=log
        )

    def start_platform(self):
        self.platform = free_address()
        self.start("platform", "standin", "platform", "--listen", self.platform)
        wait_for(lambda: call(self.platform, "/faults").status, "platform listens")

    def start_target(self, kind, name, *options):
        address = free_address()
        common = ["--name", name, "--listen", address, "--platform", self.platform]
        self.start(name, "standin", kind, *common, *options)
        self.addresses[name] = address

    def write_settings(self, name, data_centre="local", extra=""):
        """Write the settings of an instance; return their path."""
        callers, operators, peers = (free_address() for _ in range(3))
        path = self.folder / f"{name}.yaml"
        path.write_text(
            f"name: {name}\ndata_centre: {data_centre}\nplatform: {self.platform}\n"
            f"listen:\n  callers: {callers}\n  operators: {operators}\n"
            f"  peers: {peers}\n{extra}"
        )
        self.addresses[name] = callers
        self.operators[name] = operators
        return path

    def start_instance(self, name, data_centre="local", extra=""):
        path = self.write_settings(name, data_centre, extra)
        self.start(name, "serve", "--settings", str(path))

    def dump(self, name):
        return call(self.operators[name], "/dump").json()

    def terminate(self, name):
        """Send SIGTERM; return the exit code."""
        process = self.processes.pop(name)
        process.send_signal(signal.SIGTERM)
        return process.wait(STOP_TIMEOUT_S)

    def stop_all(self):
        for process in self.processes.values():
            process.kill()
            process.wait()
        self.processes.clear()
