"""Hooks of the test run; the processes of each scenario are stopped after it."""

import sys

NON_FAILURE_STATUSES = ("passed", "skipped", "untested")


def before_scenario(context, scenario):
    context.deployment = None


def after_scenario(context, scenario):
    if context.deployment is not None:
        context.deployment.stop_all()


def after_step(context, step):
    """Print the location and the error of a failed step immediately."""
    if step.status.name in NON_FAILURE_STATUSES:
        return
    text = f"\n{step.filename}:{step.line}: {step.name}\n{step.error_message}\n"
    sys.__stderr__.write(text)
