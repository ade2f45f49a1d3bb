"""Steps about a separate instance that is partitioned from everything."""

from behave import given, then

from features.processes import Deployment, call, free_address, wait_for


@given("a separate instance that reaches neither platform nor peers")
def start_alone(context):
    deployment = context.deployment = Deployment()
    deployment.platform = free_address()
    deployment.start_instance("i1", extra=f'peers: ["{free_address()}"]\n')
    address = deployment.operators["i1"]
    wait_for(lambda: call(address, "/healthz").status == 200, "instance listens")


@then(
    "it is not ready and reports that the platform is {fault} "
    "and {peers:d} peers are met"
)
def check_waits(context, fault, peers):
    address = context.deployment.operators["i1"]
    wait_for(lambda: fault in call(address, "/readyz").json()["waits_for"], "fault")
    answer = call(address, "/readyz")
    assert answer.status == 503
    assert f"peers: {peers}" in answer.json()["waits_for"], answer


@then("it exits with code {code:d} on SIGTERM while the platform is unreachable")
def check_ends(context, code):
    assert context.deployment.terminate("i1") == code
