"""Steps of the memory model; MEMORY_MODEL_EXAMPLES sets a longer run."""

import os
from dataclasses import replace
from unittest import mock

from behave import given, then, when

from features.memory_machine import INVENTORIES, MACHINES, PLACERS, MemoryMachine
from features.model_check import find_violation
from marjoramstage.state import ledger as ledgers

EXAMPLES = 80
EXAMPLES_WITH_A_FAULT = 2000
STEPS = 50


def _used_without_reservations(ledger):
    return sum(
        entry.memory_mb
        for entry in ledger.entries.values()
        if entry.state is not ledgers.EntryState.RESERVED
    )


def _unload_without_doubt(ledger, item, lease_fence):
    ledger = ledgers.unload(ledger, item, lease_fence)
    entry = replace(ledger.entries[item], loads=(), conclusive=True)
    return replace(ledger, entries={**ledger.entries, item: entry})


FAULTS = {
    "the reservation": (
        "marjoramstage.state.ledger.Ledger.used_mb",
        property(_used_without_reservations),
    ),
    "the rule on orders in doubt": (
        "marjoramstage.coordination._ledger_writer.unload",
        _unload_without_doubt,
    ),
}


@given("a ledger without {rule}")
def break_ledger(context, rule):
    if rule == "any change":
        return
    patch = mock.patch(*FAULTS[rule])
    patch.start()
    context.add_cleanup(patch.stop)
    context.examples = EXAMPLES_WITH_A_FAULT


@when("the memory model is checked with an engine that {engine}")
def check_model(context, engine):
    examples = getattr(context, "examples", EXAMPLES)
    asked = os.environ.get("MEMORY_MODEL_EXAMPLES")
    context.found = find_violation(MACHINES[engine], examples, STEPS, asked)


@then("the memory model finds no overcommitment")
def check_none(context):
    if context.found is not None:
        raise context.found


@then("the memory model finds an overcommitment")
def check_found(context):
    assert context.found is not None, "the state machine test did not detect the fault"


@when("a load order arrives after the later unload of its model")
def delay_order(context):
    machine = MemoryMachine()
    machine.goes_on("a")
    machine.accepts(INVENTORIES[1], PLACERS)
    for _ in range(3):
        machine.goes_on_with_orders("a")
    assert [sent.order.item.name for sent in machine.orders] == ["left"]
    machine._deliver(machine.orders.pop())
    context.machine = machine


@then("the memory of the engine is overcommitted {times:d} times")
def check_times(context, times):
    assert context.machine.engine.overcommits == times, context.machine.engine.residents
