"""Steps for the customers of a configuration and their keys, without a network."""

import copy
import json

from behave import given, then, when
from multidict import CIMultiDict, CIMultiDictProxy
from result import Err

from marjoramstage import platform
from marjoramstage.state.customers import Customer, Quota, QuotaUnit
from marjoramstage.state.request_ranks import RequestRanks

CONFIG = {"version": 1, "routes": [], "services": []}
PLAIN_TOKENS = 200.0


def tenant(name, *keys, **more):
    quota = {"unit": "tokens", "rate_per_s": 10, "burst": 10, "plain_tokens": 5}
    return {"name": name, "api_keys": list(keys), "priority": 1, **quota, **more}


def decoded(tenants):
    found = platform.decode_table({**CONFIG, "tenants": tenants})
    return found if isinstance(found, Err) else found.ok_value.customers


@given("customers good with key k1 and bad with key k2")
def make_customers(context):
    context.tenants = [tenant("good", "k1"), tenant("bad", "k2")]


@given("the entry of bad has nothing wrong")
def leave_entry(context):
    pass


@given("the entry of bad has {field} {value}")
def change_entry(context, field, value):
    context.tenants[1][field] = json.loads(value)


@given("the list has {fault}")
def change_list(context, fault):
    tenants = context.tenants
    match fault:
        case "bad a second time":
            tenants.append(copy.deepcopy(tenants[1]))
        case "bad a second time, without keys":
            tenants.append(tenant("bad"))
        case "k2 listed for good too":
            tenants[0]["api_keys"].append("k2")
        case "k2 listed for an invalid one too":
            tenants.insert(0, tenant("third", "k2", rate_per_s=-1))
        case "a number as an entry":
            tenants.insert(1, 7)
        case "two entries without a name":
            tenants += [{}, {"name": ""}]
        case _:
            raise AssertionError(fault)


@when("the configuration is decoded")
def decode(context):
    context.customers = decoded(context.tenants)


@then("k1 belongs to {first} and k2 to {second}")
def check_holders(context, first, second):
    for key, name in (("k1", first), ("k2", second)):
        found = context.customers.find(key)
        assert (found.name if found else "nobody") == name, (key, found)


@then("what was left out is named as {named}, without keys")
def check_problems(context, named):
    problems = context.customers.problems
    assert {p.name for p in problems} == ({named} - {"nothing"}), problems
    assert "k1" not in str(problems) and "k2" not in str(problems), problems


@then('a configuration whose tenants are 7, "k1" or an object is not decoded')
def check_no_list(context):
    for value in (7, "k1", {"good": ["k1"]}):
        found = decoded(value)
        assert isinstance(found, Err) and "k1" not in found.err_value, found


@then("one whose tenants are null requires no key")
def check_null(context):
    assert decoded(None) is None


@then("one without any customer requires keys that nobody holds")
def check_empty(context):
    assert decoded([]).find("k1") is None


@given("a configuration of {count:d} customers with 2 keys each")
def make_many(context, count):
    context.tenants = [
        tenant(f"c{n}", f"key-{n}-a", f"key-{n}-b") for n in range(count)
    ]


@when("it is sealed and decoded, and then again with one changed and one added")
def seal_twice(context):
    sealer = platform.ConfigSealer()
    context.sealed, context.digested = [], []
    context.customers = None
    changed = copy.deepcopy(context.tenants)
    changed[5]["api_keys"][0] = "key-5-new"
    changed.insert(0, tenant("added", "key-added-a", "key-added-b"))
    for tenants in (context.tenants, changed):
        sealed = sealer.seal({**CONFIG, "tenants": tenants})
        table = platform.decode_table(sealed, context.customers).ok_value
        context.customers = table.customers
        context.sealed.append(sealed)
        context.digested.append(sealer.digested)


@then("{first:d} keys are digested at first and {more:d} after that")
def check_digested(context, first, more):
    assert context.digested == [first, first + more], context.digested


@then("the changed customer's old key belongs to nobody")
def check_old_key(context):
    find = context.customers.find
    assert find("key-5-a") is None
    for key, name in (("key-5-new", "c5"), ("key-5-b", "c5"), ("key-9999-b", "c9999")):
        assert find(key).name == name, key


@then("neither sealed configuration contains a key")
def check_sealed(context):
    for sealed in context.sealed:
        assert "key-" not in json.dumps(sealed)


@then("the key found in {headers} is {key}")
def check_key(context, headers, key):
    pairs = [line.split(": ", 1) for line in (headers + " ").split("; ")]
    sent = CIMultiDict((name, value.strip()) for name, value in pairs)
    found = platform.caller_headers(CIMultiDictProxy(sent))
    assert (found.key or "none") == key, found.key
    assert "k1" not in repr(found), found


@given("customers with the priorities {customers} and routes with {routes}")
def make_ranks(context, customers, routes):
    priorities = [None if p == "none" else int(p) for p in customers.split(", ")]
    holders = [Customer(f"c{n}", priority) for n, priority in enumerate(priorities)]
    context.ranks = RequestRanks([int(rank) for rank in routes.split(", ")], holders)


@then("requests of {pairs} get the urgencies {urgencies}")
def check_urgencies(context, pairs, urgencies):
    ranks = []
    for pair in pairs.split():
        priority, _, route = pair.partition("/")
        customer = None if priority == "-" else Customer("c", int(priority))
        ranks.append(context.ranks.rank(int(route), customer))
    assert ranks == sorted(ranks), ranks
    found = [context.ranks.urgency(rank) for rank in ranks]
    assert found == [int(text) for text in urgencies.split()], (ranks, found)


@then("it costs {cost:g}")
def check_cost(context, cost):
    row = context.active_outline
    headers = platform.caller_headers(CIMultiDict({"Tokens": row["tokens"]}))
    quota = Quota(QuotaUnit(row["unit"]), 10.0, 10.0, PLAIN_TOKENS)
    found = quota.cost_of(
        headers.prompt_tokens, headers.output_tokens, headers.states_tokens
    )
    assert found == cost, found
