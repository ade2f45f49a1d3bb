"""Steps that drive a deployment of separate processes."""

from importlib import resources

from behave import given, then, when

from features.processes import Deployment, call, wait_for

CREDENTIAL = {"Authorization": "Bearer demo-credential"}
PROMPT = [{"role": "user", "content": "Which halls are free?"}]
COMPLETION_BODY = {"model": "assistant:rooms", "max_tokens": 4, "messages": PROMPT}
CHAT_PATH = "/v1/chat/completions"

REQUESTS = {
    "streamed": ("POST", CHAT_PATH, {**COMPLETION_BODY, "stream": True}, CREDENTIAL),
    "whole": ("POST", CHAT_PATH, COMPLETION_BODY, CREDENTIAL),
    "booking": ("POST", "/services/booking/bookings", {"hall": "A1"}, CREDENTIAL),
    "lookup": ("GET", "/services/booking/availability", None, CREDENTIAL),
    "unpaid": ("POST", CHAT_PATH, {**COMPLETION_BODY, "model": "other"}, CREDENTIAL),
    "stranger": (
        "POST",
        CHAT_PATH,
        COMPLETION_BODY,
        {"Authorization": "Bearer nobody"},
    ),
}


@given("a platform, {engines:d} engines, a service and {instances:d} instances")
def start_deployment(context, engines, instances):
    context.deployment = Deployment()
    context.deployment.start_platform()
    for number in range(1, engines + 1):
        context.deployment.start_target("engine", f"e{number}")
    context.deployment.start_target("service", "s1")
    context.instances = [f"i{number}" for number in range(1, instances + 1)]
    for name in context.instances:
        context.deployment.start_instance(name)


@given("the demo inventory is applied through instance {name}")
def apply_demo(context, name):
    deployment = context.deployment
    text = resources.files("marjoramstage").joinpath("demo.yaml").read_bytes()
    address = deployment.operators[name]
    wait_for(lambda: call(address, "/healthz").status == 200, "instance listens")
    assert call(address, "/inventory", "POST", text).status == 200
    for instance in context.instances:
        wait_for(lambda name=instance: _is_serving(deployment.dump(name)), "serves")


def _is_serving(dump):
    ready = {name for target in dump["targets"] for name in target["ready"]}
    kinds = {target["kind"] for target in dump["targets"]}
    expected = {"assistant@1", "rooms@1", "summaries@1"}
    return dump["generation"] == 1 and expected <= ready and "service" in kinds


@when("each instance is sent each kind of request")
def send_each(context):
    context.answers = {}
    for name in context.instances:
        address = context.deployment.addresses[name]
        for kind, (method, path, body, headers) in REQUESTS.items():
            answer = call(address, path, method, body, headers)
            context.answers[name, kind] = answer


@then("every response is complete")
def check_answers(context):
    for row in context.table:
        for name in context.instances:
            answer = context.answers[name, row["request"]]
            description = f"{name} {row['request']}: {answer}"
            assert answer.status == int(row["status"]), description
            assert row["contains"] in answer.body.decode(), description


@then("no request ran twice at a target")
def check_runs(context):
    addresses = context.deployment.addresses
    runs = dict(call(addresses["s1"], "/runs").json())
    for name in ("e1", "e2"):
        found = call(addresses[name], "/runs").json()
        assert found["overcommits"] == 0, found
        runs.update(found["runs"])
    assert len(runs) == 3 * len(context.instances), runs
    assert set(runs.values()) == {1}, runs


@then("every process ends with exit code 0 on SIGTERM")
def check_exit(context):
    deployment = context.deployment
    codes = {name: deployment.terminate(name) for name in list(deployment.processes)}
    assert set(codes.values()) == {0}, codes
