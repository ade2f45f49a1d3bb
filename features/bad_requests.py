"""Raw requests of callers and operators that must be rejected, by name."""

import gzip
import json

from features.raw_http import chunked_bytes, request_bytes

CREDENTIAL = ("Authorization", "Bearer demo-credential")
CHAT = "/v1/chat/completions"
BOOKINGS = "/services/booking/bookings"
BODY_BYTES = 262_144
HEADER_BYTES = 8_192
GOOD_BODY = {"model": "assistant", "prompt": "Which halls are free?", "max_tokens": 2}


def body_bytes(**changes):
    """Return the valid body with changes; a value of None removes the key."""
    data = {**GOOD_BODY, **changes}
    kept = {key: value for key, value in data.items() if value is not None}
    return json.dumps(kept).encode()


def chat_request(body=None, *headers):
    payload = body_bytes() if body is None else body
    return request_bytes("POST", CHAT, (CREDENTIAL, *headers), payload)


def get_request(path, *headers):
    return request_bytes("GET", path, (CREDENTIAL, *headers))


def unauthenticated_request(*headers):
    return request_bytes("POST", CHAT, headers, body_bytes())


def deadline_request(text):
    return chat_request(None, ("X-Deadline-Ms", text))


def repeated_header(name, value):
    return chat_request(None, (name, value), (name, value))


LARGE = b"x" * (BODY_BYTES + 1)
NESTED = b'{"model": "assistant", "prompt": "x", "deep": ' + b"[" * 100_000
HALF_BODY = request_bytes("POST", BOOKINGS, (CREDENTIAL,), b'{"hall"', length=100)
BAD_CHUNK = chunked_bytes("POST", BOOKINGS, (CREDENTIAL,), [b"{}"])
MANY = [(f"X-Filler-{number}", "x" * 1000) for number in range(20)]

GOOD_REQUEST = get_request("/services/booking/availability")

BAD_REQUESTS = {
    "no credential": unauthenticated_request(),
    "unknown credential": unauthenticated_request(("Authorization", "Bearer nobody")),
    "credential not ASCII": unauthenticated_request(
        ("Authorization", "Bearer \xe9\xff")
    ),
    "basic credential": unauthenticated_request(
        ("Authorization", "Basic demo-credential")
    ),
    "credential twice": chat_request(None, CREDENTIAL),
    "deadline twice": repeated_header("X-Deadline-Ms", "1000"),
    "class twice": repeated_header("X-Request-Class", "overnight"),
    "key twice": repeated_header("Idempotency-Key", "k1"),
    "deadline 0": deadline_request("0"),
    "deadline negative": deadline_request("-5"),
    "deadline a word": deadline_request("soon"),
    "deadline a fraction": deadline_request("10.5"),
    "deadline too late": deadline_request("86400001"),
    "deadline of 5000 digits": deadline_request("9" * 5000),
    "unknown class": chat_request(None, ("X-Request-Class", "royal")),
    "class above the rule": chat_request(None, ("X-Request-Class", "urgent")),
    "empty key": chat_request(None, ("Idempotency-Key", "")),
    "key of 256 characters": chat_request(None, ("Idempotency-Key", "k" * 256)),
    "key not ASCII": chat_request(None, ("Idempotency-Key", "k\xe9")),
    "not JSON": chat_request(b"model=assistant"),
    "empty body": chat_request(b""),
    "JSON list": chat_request(b"[1, 2]"),
    "NaN": chat_request(b'{"model": "assistant", "prompt": "x", "top_p": NaN}'),
    "not UTF-8": chat_request(b'{"model": "assistant", "prompt": "\xff"}'),
    "half a surrogate pair": chat_request(
        b'{"model": "assistant", "prompt": "\\ud800"}'
    ),
    "nested 100000 deep": chat_request(NESTED),
    "no model": chat_request(body_bytes(model=None)),
    "model a number": chat_request(body_bytes(model=7)),
    "no prompt": chat_request(body_bytes(prompt=None)),
    "prompt a list": chat_request(body_bytes(prompt=["x"])),
    "message without content": chat_request(body_bytes(messages=[{"role": "user"}])),
    "max_tokens 0": chat_request(body_bytes(max_tokens=0)),
    "max_tokens huge": chat_request(body_bytes(max_tokens=10**12)),
    "max_tokens true": chat_request(body_bytes(max_tokens=True)),
    "stream a word": chat_request(body_bytes(stream="yes")),
    "unknown model": chat_request(body_bytes(model="nothing")),
    "another's model": chat_request(body_bytes(model="scores")),
    "another's adapter": chat_request(body_bytes(model="assistant:parts")),
    "unknown version": chat_request(body_bytes(model="assistant@9")),
    "adapter of another model": chat_request(body_bytes(model="summaries:rooms")),
    "another's service": get_request("/services/exchange/list"),
    "unknown service": get_request("/services/nothing/list"),
    "dot segment": get_request("/services/booking/../exchange/list"),
    "encoded dot segment": get_request("/services/booking/%2e%2e/exchange/list"),
    "encoded slash": get_request("/services/booking/availability%2fx"),
    "absolute address": get_request("http://m/services/booking/availability"),
    "another host in the path": get_request("@10.0.0.9/services/booking/availability"),
    "another host, colon": get_request(":80@10.0.0.9/services/booking/availability"),
    "star for a path": request_bytes("OPTIONS", "*", (CREDENTIAL,)),
    "fragment": get_request("/services/booking/availability#x"),
    "two slashes": get_request("//10.0.0.9/services/booking/availability"),
    "unknown path": get_request("/v2/models"),
    "unknown method": request_bytes("DELETE", "/v1/models", (CREDENTIAL,)),
    "large body": request_bytes("POST", BOOKINGS, (CREDENTIAL,), LARGE),
    "large chunked body": chunked_bytes("POST", BOOKINGS, (CREDENTIAL,), [LARGE]),
    "compressed body": chat_request(
        gzip.compress(body_bytes()), ("Content-Encoding", "gzip")
    ),
    "unknown expectation": chat_request(None, ("Expect", "200-ok")),
    "half a body": HALF_BODY,
    "bad chunk size": BAD_CHUNK.replace(b"\r\n2\r\n", b"\r\nzz\r\n"),
    "large header": get_request("/v1/models", ("X-Filler", "x" * (HEADER_BYTES + 1))),
    "many headers": get_request("/v1/models", *MANY),
    "long request line": get_request("/v1/" + "x" * (HEADER_BYTES + 1)),
    "no HTTP": b"\x16\x03\x01\x02\x00\x01\x00\x01\xfc\x03\x03\r\n\r\n",
    "header without colon": b"GET /v1/models HTTP/1.1\r\nHost: m\r\nnonsense\r\n\r\n",
    "length and chunks": chunked_bytes(
        "POST", BOOKINGS, (CREDENTIAL, ("Content-Length", "2")), [b"{}"]
    ),
    "two lengths": get_request(
        "/v1/models", ("Content-Length", "3"), ("Content-Length", "4")
    ),
}


def operator_request(path, body=b"", method="POST"):
    return request_bytes(method, path, (), body)


GOOD_OPERATOR_REQUEST = operator_request("/dump", method="GET")

BAD_OPERATOR_REQUESTS = {
    "unknown path": operator_request("/nothing", method="GET"),
    "unknown method": operator_request("/dump", method="DELETE"),
    "inventory not YAML": operator_request("/inventory", b"models: [a"),
    "inventory not UTF-8": operator_request("/inventory", b"\x80\x81\x00"),
    "inventory of one unknown key": operator_request("/inventory", b"magic: 1"),
    "inventory too large": operator_request("/inventory", b"#" * 1_100_000),
    "empty plan": operator_request("/plan"),
    "base a word": operator_request("/inventory?base=new", b"models: []"),
    "edit id too short": operator_request("/inventory?edit=1", b"models: []"),
    "rollback to nothing": operator_request("/rollback"),
    "rollback to a huge number": operator_request("/rollback?to=" + "9" * 5000),
    "no HTTP": BAD_REQUESTS["no HTTP"],
    "large header": request_bytes("GET", "/dump", [("X-Filler", "x" * 20_000)]),
}
