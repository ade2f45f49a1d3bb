"""Steps for the HTTP ports with TLS."""

import contextlib
import io
import ssl
import subprocess
import sys
import urllib.error
import urllib.request
from importlib import resources

import trustme
from behave import given, then

from features.processes import Deployment, wait_for
from marjoramstage.cli import main

AUTH_HEADERS = {"Authorization": "Bearer demo-credential"}


@given("an instance with a certificate for its address")
def start_with_certificate(context):
    context.deployment = deployment = Deployment()
    authority = trustme.CA()
    context.ca_file = str(deployment.folder / "ca.pem")
    authority.cert_pem.write_to_path(context.ca_file)
    certificate = authority.issue_cert("127.0.0.1")
    chain, key = deployment.folder / "chain.pem", deployment.folder / "key.pem"
    certificate.cert_chain_pems[0].write_to_path(chain)
    certificate.private_key_pem.write_to_path(key)
    deployment.start_platform()
    extra = f"tls: {{certificate: {chain}, key: {key}}}\n"
    deployment.start_instance("i1", extra=extra)
    context.trust = ssl.create_default_context(cafile=context.ca_file)
    operators = deployment.operators["i1"]
    wait_for(lambda: fetch(context, operators, "/healthz") == "200", "it listens")
    text = resources.files("marjoramstage").joinpath("demo.yaml").read_bytes()
    applied = fetch(context, operators, "/inventory", body=text)
    assert applied == "200", applied
    callers = deployment.addresses["i1"]
    wait_for(lambda: fetch(context, callers, "/v1/models") == "200", "it serves")


def fetch(context, address, path, scheme="https", trust=None, body=None):
    """Return the status of the response, or why there is none."""
    url = f"{scheme}://{address}{path}"
    req = urllib.request.Request(url, data=body, headers=AUTH_HEADERS)
    try:
        with urllib.request.urlopen(req, context=trust or context.trust) as resp:
            return str(resp.status)
    except urllib.error.HTTPError as exc:
        return str(exc.code)
    except urllib.error.URLError as exc:
        if isinstance(exc.reason, ssl.SSLCertVerificationError):
            return "certificate refused"
        return "no HTTP answer"
    except OSError:
        return "no HTTP answer"


def run_dump(context, *options):
    """Run the dump command; return its exit code."""
    args = ["dump", "--instance", context.deployment.operators["i1"], *options]
    quiet = io.StringIO()
    with contextlib.redirect_stdout(quiet), contextlib.redirect_stderr(quiet):
        return f"exit code {main(args)}"


@then("the instance with a certificate gives each of these")
def check_each(context):
    callers = context.deployment.addresses["i1"]
    operators = context.deployment.operators["i1"]
    default_trust = ssl.create_default_context()
    seen = {
        "models over https": fetch(context, callers, "/v1/models"),
        "health over https": fetch(context, operators, "/healthz"),
        "models over plain http": fetch(context, callers, "/v1/models", "http"),
        "models, unknown authority": fetch(
            context, callers, "/v1/models", trust=default_trust
        ),
        "dump command with authority": run_dump(context, "--ca-file", context.ca_file),
        "dump command without": run_dump(context),
    }
    wanted = {row["call"]: row["seen"] for row in context.table}
    assert seen == wanted, seen


@given("settings with a certificate that is not there")
def write_bad_settings(context):
    context.deployment = Deployment()
    context.deployment.platform = "127.0.0.1:9"
    context.settings = context.deployment.write_settings(
        "i1", extra="tls: {certificate: /nowhere/c.pem, key: /nowhere/k.pem}\n"
    )


@then("serving with that certificate ends with exit code 2 and one line that names it")
def check_bad_certificate(context):
    command = [sys.executable, "-m", "marjoramstage", "serve", "--settings"]
    found = subprocess.run(
        [*command, str(context.settings)], capture_output=True, text=True
    )
    assert found.returncode == 2, found
    lines = [line for line in found.stderr.splitlines() if not line.startswith("{")]
    assert len(lines) == 1 and "/nowhere/c.pem" in lines[0], lines
