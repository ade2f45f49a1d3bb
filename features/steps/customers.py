"""Steps for customers that share an instance, and for idle connections."""

import asyncio
import json

from aiohttp import web
from behave import given, then, when

from features.processes import Deployment, call, wait_for
from marjoramstage.addresses import split_address
from marjoramstage.state.inventory import credential_hash
from marjoramstage.transport._server import HttpServer, ServerLimits

CREDENTIALS = {
    "university": "university-credential",
    "publisher": "publisher-credential",
}
PAID = {
    "university": ["assistant", "rooms", "booking"],
    "publisher": ["scores", "booking"],
}
INVENTORY = {
    "models": [
        {"name": "assistant", "memory_mb": 100},
        {"name": "scores", "memory_mb": 100},
    ],
    "adapters": [{"name": "rooms", "model": "assistant", "memory_mb": 10}],
    "services": [{"name": "booking"}],
    "customers": [
        {
            "name": name,
            "credential_sha256": credential_hash(credential),
            "paid": PAID[name],
        }
        for name, credential in CREDENTIALS.items()
    ],
}
BOOKINGS = "/services/booking/bookings"
OBSERVE_S = 3.0
PARTIAL_HEAD = b"GET /x HTTP/1.1\r\nHost: m\r\n"


def headers_of(customer):
    return {"Authorization": f"Bearer {CREDENTIALS[customer]}"}


@given("an instance for two customers of one service")
def start_shared(context):
    context.deployment = deployment = Deployment()
    deployment.start_platform()
    deployment.start_target("service", "s1")
    deployment.start_instance("i1")
    operators = deployment.operators["i1"]
    wait_for(lambda: call(operators, "/healthz").status == 200, "instance listens")
    body = json.dumps(INVENTORY).encode()
    assert call(operators, "/inventory", "POST", body).status == 200
    address = deployment.addresses["i1"]
    path = "/services/booking/availability"
    wait_for(
        lambda: call(address, path, headers=headers_of("publisher")).status == 200,
        "the service is reached",
    )


@when('each of the two customers books twice with the key "{key}"')
def book_twice(context, key):
    address = context.deployment.addresses["i1"]
    context.bookings = {}
    for customer in CREDENTIALS:
        headers = headers_of(customer) | {"Idempotency-Key": key}
        body = {"hall": f"hall of {customer}"}
        context.bookings[customer] = [
            call(address, BOOKINGS, "POST", body, headers) for _ in range(2)
        ]


@then("each of the two customers has one booking of its own, replayed the second time")
def check_bookings(context):
    for customer, (first, second) in context.bookings.items():
        assert (first.status, second.status) == (201, 201), (first, second)
        assert first.json()["hall"] == f"hall of {customer}", first
        assert first.body == second.body, (first, second)
        replayed = [a.headers.get("Idempotency-Replayed") for a in (first, second)]
        assert replayed == [None, "true"], replayed


@then("the service has run two bookings for the two customers")
def check_runs(context):
    runs = call(context.deployment.addresses["s1"], "/runs").json()
    assert sorted(runs.values()) == [1, 1], runs


@when("each of the two customers asks for its models")
def ask_models(context):
    address = context.deployment.addresses["i1"]
    context.models = {}
    for customer in CREDENTIALS:
        answer = call(address, "/v1/models", headers=headers_of(customer))
        names = [entry["id"] for entry in answer.json()["data"]]
        context.models[customer] = " ".join(names)


@then("the models of each customer are those that it paid for")
def check_models(context):
    wanted = {row["customer"]: row["models"] for row in context.table}
    assert context.models == wanted, context.models


@given("a server that gives {head_s:g} s for the first request head")
def make_server(context, head_s):
    limits = ServerLimits(head_timeout_s=head_s)
    context.server = HttpServer(web.Application(), "127.0.0.1:0", limits)


@when("a client of that server {case}")
def use_connection(context, case):
    sent = {
        "sends nothing": b"",
        "sends half a head": PARTIAL_HEAD,
        "sends a head and waits": PARTIAL_HEAD + b"\r\n",
    }
    context.end = asyncio.run(observe_connection(context.server, sent[case]))


async def observe_connection(server, payload):
    """Send bytes; return whether the connection is still open after `OBSERVE_S`."""
    await server.start()
    try:
        address = split_address(server.address)
        reader, writer = await asyncio.open_connection(*address)
        writer.write(payload)
        try:
            await asyncio.wait_for(reader.read(), OBSERVE_S)
            return "closed"
        except TimeoutError:
            return "kept"
        finally:
            writer.close()
    finally:
        await server.stop()


@then("that connection is {end}")
def check_connection(context, end):
    assert context.end == end, context.end
