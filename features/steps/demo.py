"""Steps that run the demo and the curl lines that it prints."""

import shlex
import urllib.parse

from behave import given, then, when

from features.processes import Deployment, call, free_address, wait_for

CURL_LINE_NAMES = ("streamed", "booking", "dump")
PORT_OPTIONS = ("callers", "operators", "peers")


@given("the demo runs as a process")
def start_demo(context):
    context.deployment = Deployment()
    options = []
    for port in PORT_OPTIONS:
        options += [f"--{port}", free_address()]
    context.deployment.start("demo", "demo", *options)
    wait_for(
        lambda: len(printed_lines(context)) == len(CURL_LINE_NAMES), "the demo serves"
    )


def printed_lines(context):
    """Return the complete curl lines that were printed so far."""
    text = (context.deployment.folder / "demo.log").read_text()
    lines = text.rpartition("\n")[0].splitlines()
    return [line.strip() for line in lines if line.startswith("  curl ")]


def run_curl(line):
    """Send the request of a curl line, parsed as a shell and curl would."""
    words = iter(shlex.split(line)[1:])
    url, headers, body = None, {}, None
    for word in words:
        if word == "-H":
            name, _, value = next(words).partition(": ")
            headers[name] = value
        elif word == "-d":
            body = next(words).encode()
        elif word in ("-s", "-sN"):
            continue
        else:
            url = urllib.parse.urlsplit(word)
    method = "GET" if body is None else "POST"
    return call(url.netloc, url.path, method, body, headers)


@when("each curl line that the demo prints is run")
def run_lines(context):
    lines = printed_lines(context)
    context.demo_answers = {
        name: run_curl(line) for name, line in zip(CURL_LINE_NAMES, lines, strict=True)
    }


@then("the demo's answers are")
def check_answers(context):
    for row in context.table:
        answer = context.demo_answers[row["line"]]
        assert answer.status == int(row["status"]), answer
        assert row["contains"] in answer.body.decode(), answer


@then("the demo ends with exit code 0 on SIGTERM")
def check_end(context):
    assert context.deployment.terminate("demo") == 0
