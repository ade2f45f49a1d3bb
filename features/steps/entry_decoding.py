"""Steps about decoding entries of the store, and the time that it takes."""

import json
import time
from types import SimpleNamespace
from unittest import mock

from behave import then, when
from hypothesis import given as hypothesis_given
from hypothesis import settings
from hypothesis import strategies as st
from result import Err

from features.notice_machine import make_state
from features.recorded_logs import recorded_logs
from marjoramstage import platform
from marjoramstage._entry.store_watchers import watch_routes, watch_targets
from marjoramstage.clock import VirtualClock
from marjoramstage.platform import _json, _store
from marjoramstage.protocol.objects import PlatformObject

DEEP = "[" * 4000 + "]" * 4000

# The start of a document, what is repeated to its full size, and its end.
DOCUMENTS = {
    "escaped quotes": ('"', '\\"', ""),
    "an object encoded twice": ('"{', '\\"name\\": \\"m1\\", ', ""),
    "escapes up to a backslash": ('"', '\\"', "\\"),
    "quotes": ("", '"', ""),
    "opening brackets": ("", "[", ""),
    "closing brackets": ("", "]", ""),
    "pairs of brackets beside depth": (f"[{DEEP},", "[],", "1]"),
    "opening objects": ("", '{"a":', ""),
    "escaped quotes after depth": (f'[{DEEP},"', '\\"', ""),
    "digits": ("", "7", ""),
    "numbers of 4301 digits": ("[", "7" * 4301 + ",", "1]"),
    "halves of surrogate pairs": ('"', "\\ud800", '"'),
}


def _loads(text):
    try:
        return _json.loads(text)
    except ValueError as exc:
        return exc


DECODERS = {
    "JSON reader": _loads,
    "target": lambda text: platform.decode_target("odd", text),
    "configuration": platform.decode_table,
    "sealer": lambda text: platform.ConfigSealer().seal(text),
    "report": lambda text: platform.decode_report(text.encode()),
}


@when("a document of {size:d} bytes made of {document} is decoded by the {decoder}")
def decode_document(context, size, document, decoder):
    start, repeated, end = DOCUMENTS[document]
    count = (size - len(start) - len(end)) // len(repeated)
    text = start + repeated * count + end
    began_s = time.process_time()
    context.found = DECODERS[decoder](text)
    context.took_s = time.process_time() - began_s


@then("that takes less than {most_s:g} s of processor time")
def check_decoding_time(context, most_s):
    print(f"{context.took_s * 1000:.1f} ms")
    assert context.took_s < most_s, f"{context.took_s:.2f} s"


@then("texts of any kind beside an array of 4000 levels are read as they are")
def check_texts(context):
    # Mostly of the characters that the search for brackets is about.
    any_char = st.characters(exclude_categories=("Cs",))
    texts = st.lists(st.text(st.sampled_from('\\"[]{}a\n') | any_char))

    @settings(max_examples=300, derandomize=True, database=None, deadline=None)
    @hypothesis_given(texts, texts)
    def check(before, after):
        deep = f"{json.dumps(before)}, {DEEP}, {json.dumps(after)}"
        found = _json.loads(f"[{deep}]")
        assert found[0] == before and found[2] == after, (before, after)

    check()


# The log of what takes long


# What is made slow, and the function of the watcher that calls it.
SLOW_STEPS = {
    ("servers", "apply"): (platform, "decode_target", "_on_put"),
    ("config", "apply"): (platform, "decode_table", "_on_put"),
    ("config", "seal"): (platform.ConfigSealer, "seal", "_conceal"),
}


@when("an entry of kind {kind} takes {ms:d} ms to {step}")
def handle_slow_entry(context, kind, ms, step):
    clock = VirtualClock()
    watch = {"servers": watch_targets, "config": watch_routes}[kind]
    owner, name, function = SLOW_STEPS[kind, step]

    def take_long(*args):
        clock.advance(ms / 1000)
        return Err("slow")

    with (
        mock.patch.object(owner, name, take_long),
        recorded_logs("entry") as lines,
    ):
        watcher = watch(None, make_state(SimpleNamespace(time=clock.now)))
        obj = PlatformObject(watcher.kind, "main", {}, "1")
        getattr(watcher, function)(obj)
    context.lines = [line for line in lines if line.event == "slow entry"]
    context.wanted = (kind, "main", step, float(ms))


@then("the log has {count:d} lines of slow entries")
def check_slow_entries(context, count):
    found = [(r.kind, r.object, r.step, r.took_ms) for r in context.lines]
    assert found == [context.wanted] * count, found


@when("an answer of the store takes {ms:d} ms to decode")
def decode_slow_answer(context, ms):
    times_s = [0.0, ms / 1000]
    with (
        mock.patch.object(_store.time, "monotonic", side_effect=times_s),
        recorded_logs("store") as context.lines,
    ):
        _store._decode_answer("http://store/x", b"[1]")


@then("the log has one line of the event slow answer")
def check_slow_answer(context):
    found = [(r.event, r.url, r.bytes, r.took_ms) for r in context.lines]
    assert found == [("slow answer", "http://store/x", 3, 150.0)], found
