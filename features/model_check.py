"""Runs a hypothesis state machine with reproducible results."""

from hypothesis import HealthCheck, Phase, settings
from hypothesis.stateful import run_state_machine_as_test


def find_violation(machine, examples, steps, asked=None):
    """Return the first assertion that ``machine`` violates, or None.

    ``asked``, if given, is the number of examples of a longer run with random
    seeds.
    """
    checked = settings(
        max_examples=examples if asked is None else int(asked),
        stateful_step_count=steps,
        derandomize=asked is None,
        phases=(Phase.generate,),
        deadline=None,
        database=None,
        suppress_health_check=list(HealthCheck),
    )
    try:
        run_state_machine_as_test(machine, settings=checked)
    except AssertionError as exc:
        return exc
    return None
