"""Instances on the users' platform as processes, with stand-ins around them."""

import http.client
import os

from features.platform_standin import LoopThread, StandinStore, StandinTarget
from features.processes import Deployment, free_address

HOST = "h.example"
RESERVED_HEADERS = {"Hold": "h1", "Urgency": "0", "Expect-Instance": "nobody"}
BODY_LIMIT = 1000
WAIT_S = 15.0


def start_store(context):
    """Start a store without any object, in a thread of the test."""
    context.deployment = Deployment()
    context.thread = LoopThread()
    context.add_cleanup(context.thread.stop)
    context.store = StandinStore()
    context.store_address = listen(context, context.store.handle)
    context.targets = {}
    context.instances = {}
    context.numbers = iter(range(1, 10_000))
    context.ids = []


def route(name, prefix, kind, service, **more):
    return {
        "name": name,
        "host": HOST,
        "path_prefix": prefix,
        "kind": kind,
        "timeout_ms": 8000,
        "target_latency_ms": 400,
        "priority": 1,
        "service": service,
        "attempts": 2,
        **more,
    }


def config(version=1, once="/once/"):
    models = [
        {"name": f"m{n}", "weights_mb": 100.0, "load_s": 1.0, "disk_s": 0.1}
        for n in (1, 2, 3)
    ]
    engine = {"slots": 8, "weights_mb": 200.0, "adapter_slots": 2, "loads_per_s": 2}
    return {
        "version": version,
        "routes": [
            route("once", once, "unsafe", "plain", attempts=1),
            route("any", "/any/", "safe", "plain"),
            route("chat", "/chat/", "stream", "engine", attempts=1),
            route(
                "night",
                "/night/",
                "stream",
                "engine",
                resumable=True,
                target_latency_ms=3000,
            ),
        ],
        "services": [
            {"name": "plain", "health_path": "/health", "max_conns": 50},
            {
                "name": "engine",
                "health_path": "/health",
                "max_conns": 50,
                "engine": {**engine, "models": models},
            },
        ],
        "limits": {"max_body_bytes": BODY_LIMIT},
    }


def listen(context, handler):
    address = free_address()
    host, port = address.split(":")
    context.thread.serve(handler, host, int(port))
    return address


def start_target(context, name, service, models, **fields):
    target = StandinTarget(name, "", 0, service, models, **fields)
    target.host, port = listen(context, target.handle).split(":")
    target.port = int(port)
    context.targets[name] = target
    put(context, "servers", name, target.spec())


def put(context, kind, name, spec):
    context.thread.call(context.store.put(kind, name, spec))


def start_instance(context, name, number, limits=None):
    # Each instance of each concurrent test run on this machine needs its own address.
    pid = os.getpid()
    ip = f"127.{1 + (pid >> 8) % 250}.{pid % 256}.{number}"
    settings = {
        "node_name": name,
        "ip": ip,
        "zone": "a",
        "listen.front": f"{ip}:8149",
        "listen.ready": f"{ip}:8141",
        "port_range": "7380,7395",
        "bootstrap": "true",
        "platform.addr": context.store_address,
        "bounds.grace_s": "8",
        "bounds.checks_fence": "true",
        "bounds.lease_ms": "3000",
        **(limits or {}),
    }
    path = context.deployment.folder / f"{name}.conf"
    path.write_text("".join(f"{key}={value}\n" for key, value in settings.items()))
    context.deployment.start(name, "entry", "--node-file", str(path))
    context.instances[name] = ip


def ready_status(context, name):
    return get(context.instances[name], 8141, "/api/ready").status


class Answer:
    def __init__(self, status, headers, body, whole=True):
        self.status, self.headers, self.body = status, headers, body
        self.whole = whole


def get(ip, port, path):
    conn = http.client.HTTPConnection(ip, port, timeout=WAIT_S)
    conn.request("GET", path)
    resp = conn.getresponse()
    answer = Answer(resp.status, resp.headers, resp.read())
    conn.close()
    return answer


def send(context, method, path, model="", instance="i1", body=b"abc", **more):
    headers = {"Host": HOST, "Deadline-Ms": "5000", **RESERVED_HEADERS}
    request_id = f"{next(context.numbers):016x}"
    context.ids.append(request_id)
    headers["Request-Id"] = request_id
    if model:
        headers["Model"] = model
    headers |= more.get("headers", {})
    headers = {name: value for name, value in headers.items() if value is not None}
    ip = context.instances[instance]
    conn = http.client.HTTPConnection(ip, 8149, timeout=WAIT_S)
    conn.request(method, path, body if method == "POST" else None, headers)
    resp = conn.getresponse()
    try:
        return Answer(resp.status, resp.headers, resp.read())
    except http.client.IncompleteRead as exc:
        return Answer(resp.status, resp.headers, exc.partial, whole=False)
    finally:
        conn.close()
