"""Hooks of the test run: every scenario ends its processes by id."""


def before_scenario(context, scenario):
    context.deployment = None


def after_scenario(context, scenario):
    if context.deployment is not None:
        context.deployment.stop_all()
