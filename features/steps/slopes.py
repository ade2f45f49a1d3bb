"""Steps for the cost measurements of `bench slopes`."""

from unittest import mock

from behave import then, when

from marjoramstage.bench import slopes

SHORT = {"RUNS": 2, "REPEATS": 50, "TARGETS": (4,), "MODELS": 40}


@when("the slopes are measured with short runs")
def measure(context):
    with mock.patch.multiple(slopes, **SHORT, OTHER_COSTS={}):
        context.slopes = slopes.measure_slopes()


@then("the slopes have each of these parts")
def hold_parts(context):
    for row in context.table:
        assert row["part"] in context.slopes, row["part"]


def spreads(value):
    if not isinstance(value, dict):
        return
    if "median_us" in value:
        yield value
        return
    for part in value.values():
        yield from spreads(part)


@then("every time has a least, median and greatest value above zero in order")
def times_in_order(context):
    found = list(spreads(context.slopes))
    assert found
    for each in found:
        times = each["least_us"], each["median_us"], each["greatest_us"]
        assert 0 < times[0] <= times[1] <= times[2], each


@then("a cost module that does not exist is reported as not measured")
def others_named(context):
    with mock.patch.dict(slopes.OTHER_COSTS, {"none": "marjoramstage.bench.none"}):
        assert slopes._other("none", "marjoramstage.bench.none") is None
