"""Run of a hypothesis state machine that gives the same verdict every time."""

from hypothesis import HealthCheck, Phase, settings
from hypothesis.stateful import run_state_machine_as_test


def find_violation(machine, examples, steps, asked=None):
    """Return the violated assertion of ``machine``, or None.

    ``asked`` is the number of examples of a longer run, with fresh seeds.
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
