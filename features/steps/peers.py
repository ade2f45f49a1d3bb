"""Steps for the transport and encoding of messages between instances."""

import asyncio
import io
import os
from dataclasses import replace
from importlib import resources

import thriftpy2
from behave import then, when
from thriftpy2.protocol.compact import TCompactProtocol
from thriftpy2.transport import TMemoryBuffer

from marjoramstage.metrics import LocalMetrics
from marjoramstage.protocol import _peers_structs, peers
from marjoramstage.protocol.peers import (
    AdapterWanted,
    BegunStreams,
    CrashedRequest,
    DataCentreSummary,
    DemandEntry,
    DocumentsAsked,
    DocumentsSent,
    EntryReport,
    FleetView,
    Gossip,
    Head,
    HeldItems,
    Hello,
    LeavingTarget,
    LimitedTarget,
    Load,
    MemberEntry,
    MemberState,
    NamedDocument,
    PartsHarmless,
    PartsQuarantined,
    PermitsIssued,
    PromptsSent,
    QuarantinedParts,
    QuotaAllowance,
    QuotaGrants,
    QuotaTotal,
    Rumour,
    StoreChanges,
    StreamOriginAsked,
    StreamOriginTold,
    TargetCrashed,
    TargetPermits,
    decode,
    encode,
)
from marjoramstage.transport.peers import (
    MAX_HELLO_BYTES,
    PeerClient,
    PeerIdentity,
    PeerServer,
    connect_handshake,
    read_frame,
    write_frame,
)
from tools.generate_structs import load_idl

SECRET = "a secret of some length"
TIMEOUT_S = 20.0
SERVER = PeerIdentity("server", "dc", SECRET)
CLIENT = PeerIdentity("client", "dc", SECRET)
VALID_MESSAGE = AdapterWanted("e1", "rooms", "1", "dc")
SENDER = MemberEntry("i1", 7, 3, address="127.0.0.1:9", data_centre="dc")
IDL = load_idl()


def to_frame(payload):
    return len(payload).to_bytes(4, "big") + payload


# Well below the time after which an idle connection ends.
STOP_LIMIT_S = 5.0


def encode_struct(frame):
    buffer = TMemoryBuffer()
    TCompactProtocol(buffer).write_struct(frame)
    return buffer.getvalue()


async def send_hello_and_reply(writer, reader, message):
    await write_frame(writer, CLIENT.hello(os.urandom(16)))
    answer = await read_frame(reader)
    await write_frame(writer, message(answer))


async def wrong_proof(reader, writer):
    await send_hello_and_reply(
        writer, reader, lambda a: CLIENT.hello(a.nonce, b"x" * 32)
    )


async def wrong_secret(reader, writer):
    other = PeerIdentity("client", "dc", "another secret, long enough")
    nonce = os.urandom(16)
    await write_frame(writer, other.hello(nonce))
    answer = await read_frame(reader)
    proof = other.proof("connector", answer.nonce, nonce)
    await write_frame(writer, other.hello(nonce, proof))


async def replay_hello(reader, writer):
    old = CLIENT.hello(b"n" * 16, CLIENT.proof("connector", b"s" * 16, b"n" * 16))
    await send_hello_and_reply(writer, reader, lambda answer: old)


def before_handshake(data, end=False):
    async def send(reader, writer):
        writer.write(data)
        if end:
            writer.write_eof()

    return send


def after_handshake(payload):
    async def send(reader, writer):
        await connect_handshake(reader, writer, CLIENT)
        writer.write(to_frame(payload))

    return send


GOSSIP = encode(Gossip(SENDER))
TWO = encode_struct(IDL.Frame(load=IDL.Load(instance="a"), gossip=IDL.Gossip()))
BAD_STATE = encode_struct(
    IDL.Frame(gossip=IDL.Gossip(sender=IDL.MemberEntry("a", 1, 1, 9)))
)
NO_FIELD = encode_struct(IDL.Frame(load=IDL.Load(instance="i1", sequence=4)))
NOT_UTF8 = encode(VALID_MESSAGE).replace(b"rooms", b"ro\xff\xfes")
# Field 15 of the frame: a list of 2**28 elements of type STOP.
ENDLESS = b"\xf9\xf0" + b"\x80\x80\x80\x80\x01" + b"\x00"

FRAMES = {
    "a length of zero": before_handshake(bytes(4)),
    "a length above the limit": before_handshake(b"\xff\xff\xff\xff" + b"x" * 64),
    "a hello above the handshake limit": before_handshake(
        to_frame(b"x" * (MAX_HELLO_BYTES + 1))
    ),
    "an incomplete frame, then the end": before_handshake(
        to_frame(GOSSIP)[:-5], end=True
    ),
    "a length, then the end": before_handshake(b"\x00\x00\x00\x20", end=True),
    "bytes that are not a message": before_handshake(
        to_frame(b"GET / HTTP/1.1\r\n\r\n")
    ),
    "a message before the handshake": before_handshake(to_frame(encode(VALID_MESSAGE))),
    "a hello with a wrong proof": wrong_proof,
    "a hello with the wrong secret": wrong_secret,
    "a hello with a short nonce": before_handshake(
        to_frame(encode(Hello(1, "c", "dc", b"n")))
    ),
    "a replayed hello": replay_hello,
    "an empty frame after the handshake": after_handshake(b"\x00"),
    "two messages in one frame": after_handshake(TWO),
    "a message without a required field": after_handshake(NO_FIELD),
    "a text that is not UTF-8": after_handshake(NOT_UTF8),
    "an endless list of empty elements": after_handshake(ENDLESS),
    "an endlessly nested struct": after_handshake(b"\xfc" + b"\x1c" * 100_000),
    "an unknown instance state": after_handshake(BAD_STATE),
}


async def deliver(server, received, identity):
    """Send a valid message; wait until it is delivered or its client failed."""
    metrics = LocalMetrics()
    client = PeerClient(identity, metrics)
    client.send(server.address, VALID_MESSAGE)
    for _ in range(int(TIMEOUT_S / 0.01)):
        if received or metrics.counters["peers.lost"]:
            break
        await asyncio.sleep(0.01)
    await client.stop()
    return list(received)


async def send_bad_frame(send):
    received = []
    server = PeerServer("127.0.0.1:0", SERVER, received.append, LocalMetrics())
    await server.start()
    host, port = server.address.split(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    await send(reader, writer)
    rest = await asyncio.wait_for(_drained(reader), TIMEOUT_S)
    writer.close()
    before = list(received)
    after = await deliver(server, received, CLIENT)
    await server.stop()
    return rest, before, after


async def _drained(reader):
    try:
        while await reader.read(65536):
            pass
    except ConnectionResetError:
        pass
    return "closed"


@when("a peer connection sends {frame}")
def send_frame(context, frame):
    context.peer_outcome = asyncio.run(send_bad_frame(FRAMES[frame]))


@then("that peer connection is closed and no message is delivered")
def check_closed(context):
    closed, before, _ = context.peer_outcome
    assert closed == "closed" and before == [], context.peer_outcome


@then("another peer connection still delivers its message")
def check_serving(context):
    assert context.peer_outcome[2] == [VALID_MESSAGE], context.peer_outcome


@when("a peer message has an unknown field at each level")
def unknown_fields(context):
    text = resources.files("marjoramstage.protocol").joinpath("peers.thrift")
    newer = text.read_text().replace(" {\n", " {\n  99: optional string newer\n")
    idl = thriftpy2.load_fp(io.StringIO(newer), "newer_thrift")
    head = idl.Head(generation=3, root="r", newer="x")
    entry = idl.MemberEntry(name="i1", incarnation=7, heartbeat=3, newer="x")
    gossip = idl.Gossip(sender=entry, head=head, newer="x")
    context.peer_read = decode(encode_struct(idl.Frame(gossip=gossip, newer="x")))
    context.peer_expected = Gossip(MemberEntry("i1", 7, 3), head=Head(3, "r"))


@then("the peer message is read as if the fields were not there")
def check_unknown(context):
    assert context.peer_read == context.peer_expected, context.peer_read


@when("a peer message has only its first fields")
def only_first(context):
    entry = IDL.MemberEntry(name="i1", incarnation=7, heartbeat=3)
    context.peer_read = decode(
        encode_struct(IDL.Frame(gossip=IDL.Gossip(sender=entry)))
    )


@then("the peer message is read with defaults")
def check_defaults(context):
    expected = Gossip(replace(SENDER, address="", data_centre=""))
    assert context.peer_read == expected, context.peer_read


MESSAGES = (
    Hello(1, "i1", "dc", b"\xff" * 16, b"p"),
    Gossip(
        SENDER,
        (SENDER, MemberEntry("i2", 8, 9, MemberState.LEFT, 4)),
        (DataCentreSummary("d2", "i9", 1, 2, 3, 4, ("i8",), (SENDER,)),),
        (LeavingTarget("e1", "x"),),
        Head(4, "root", "edit"),
        True,
    ),
    Load("i1", "dc", "7", 4, {"e1": 3}, (DemandEntry("m", "1", 2, 3, 4),), ("s",)),
    Rumour(SENDER, Head(4, "root"), (LeavingTarget("e1"),), (SENDER,)),
    DocumentsAsked(SENDER, ("a", "b")),
    DocumentsSent(SENDER, (NamedDocument("a", b"\x00\xff"),), ("b",)),
    VALID_MESSAGE,
    EntryReport(
        "i1",
        "10.0.0.1:9",
        "7",
        3,
        {"s m/a": 1},
        {"t m": 2},
        {"s m": 300},
        {"s m": 400},
        {"s m": 5},
        ("t2",),
        resuming={"s m v1": 3},
        begun=(BegunStreams("v1", ("0123456789ab", "cd")), BegunStreams("v2")),
        limited=(LimitedTarget("t", 7, 2500, False, 40, 3, 4, 2, 1, 900),),
    ),
    FleetView(
        "i2/x",
        4,
        5,
        6,
        (HeldItems("t", 7, ("m",), 8),),
        {"s m": 90},
        True,
        ("a:1",),
        {"i1": 3},
    ),
    PromptsSent("i1", {"t": 800}),
    StreamOriginAsked("r1", "127.0.0.1:7380"),
    StreamOriginTold("r1", "v2"),
    TargetCrashed("e1", 7, 120, (CrashedRequest("r1", ("aa", "bb"), 80),)),
    PartsHarmless({"aa": 1500}),
    PartsQuarantined((QuarantinedParts(("aa", "bb"), 900),), "127.0.0.1:7380"),
    StoreChanges("servers", 3, 41, 57, False, b"\x00\xff"),
    PermitsIssued("i2/x", 4, (TargetPermits("t", 7, 2),)),
    QuotaGrants("i2/x", 4, 2**34, 17, 80, (QuotaAllowance("c", 900, 40),)),
    EntryReport("i", "a", "x", 1, quota_use=b"\xff\x00"),
    FleetView("i2/x", 4, 1, 80, quota_use=(QuotaTotal("c", 7, 2),)),
)


def _fields(spec):
    """Return fields with the names of structs in place of their classes."""
    if isinstance(spec, type):
        return spec.__name__
    if isinstance(spec, tuple):
        return tuple(_fields(part) for part in spec)
    return spec


@when("the IDL of the messages is parsed")
def parse_idl(context):
    context.parsed = {
        struct.__name__: {n: _fields(f) for n, f in struct.thrift_spec.items()}
        for struct in IDL.__thrift_meta__["structs"]
    }


@then("the committed structs have the same fields")
def check_structs(context):
    for name, fields in context.parsed.items():
        struct = getattr(_peers_structs, name)
        found = {n: _fields(f) for n, f in struct.thrift_spec.items()}
        assert found == fields, (name, found, fields)


@when("each kind of peer message is encoded and decoded")
def round_trip(context):
    context.peer_pairs = [(message, decode(encode(message))) for message in MESSAGES]


@then("each peer message is the same")
def check_round_trip(context):
    kinds = {type(message) for message, _ in context.peer_pairs}
    assert kinds == set(peers._MESSAGES.values()), kinds
    for message, read in context.peer_pairs:
        assert message == read, (message, read)


@when("a peer client with another secret sends a message")
def other_secret(context):
    async def run():
        received = []
        server = PeerServer("127.0.0.1:0", SERVER, received.append, LocalMetrics())
        await server.start()
        stranger = PeerIdentity("client", "dc", "another secret, long enough")
        found = await deliver(server, received, stranger)
        await server.stop()
        return found

    context.peer_outcome = asyncio.run(run())


@then("nothing is delivered by that peer client")
def check_nothing(context):
    assert context.peer_outcome == [], context.peer_outcome


async def _read_forever(steps):
    reader = asyncio.StreamReader()

    async def read():
        while True:
            await read_frame(reader)

    task = asyncio.create_task(read())
    await asyncio.sleep(0)
    reader.feed_data(to_frame(GOSSIP))
    return await _cancel_after(task, steps)


async def _send_forever(steps):
    received = asyncio.Event()
    server = PeerServer(
        "127.0.0.1:0", SERVER, lambda message: received.set(), LocalMetrics()
    )
    await server.start()
    client = PeerClient(CLIENT, LocalMetrics())
    client.send(server.address, VALID_MESSAGE)
    await received.wait()
    client.send(server.address, VALID_MESSAGE)
    for _ in range(steps):
        await asyncio.sleep(0)
    stop = asyncio.create_task(client.stop())
    ended = await _has_ended(stop)
    stop.cancel()
    await server.stop()
    return ended


async def _cancel_after(task, steps):
    for _ in range(steps):
        await asyncio.sleep(0)
    task.cancel()
    return await _has_ended(task)


async def _has_ended(task):
    done, _ = await asyncio.wait({task}, timeout=STOP_LIMIT_S)
    return bool(done)


@when("a {side} of peer messages is cancelled up to {most:d} steps after a message")
def cancel_each(context, side, most):
    run = _read_forever if side == "reader" else _send_forever
    context.ended = {steps: asyncio.run(run(steps)) for steps in range(most + 1)}


@then("each of them ended")
def check_each_ended(context):
    assert all(context.ended.values()), context.ended
