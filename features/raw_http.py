"""Raw HTTP over a socket, for requests that an HTTP library would not send."""

import http.client
import json
import socket
from dataclasses import dataclass

from marjoramstage.addresses import split_address

ANSWER_TIMEOUT_S = 60.0


@dataclass(frozen=True)
class RawResponse:
    """The response that was read from the socket."""

    status: int
    headers: http.client.HTTPMessage
    body: bytes

    def error(self):
        return json.loads(self.body)["error"]


def send_raw(address, payload):
    """Send bytes and read one response; the timeout only ends a hung run."""
    with socket.create_connection(split_address(address), ANSWER_TIMEOUT_S) as sock:
        try:
            sock.sendall(payload)
        except OSError:
            pass  # the server may respond and close before everything is sent
        resp = http.client.HTTPResponse(sock)
        resp.begin()
        return RawResponse(resp.status, resp.headers, resp.read())


def request_bytes(method, path, headers=(), body=b"", length=None):
    """Return a request; ``headers`` is a sequence of name and value pairs."""
    lines = [f"{method} {path} HTTP/1.1", "Host: marjoramstage"]
    lines += [f"{name}: {value}" for name, value in headers]
    size = len(body) if length is None else length
    if size or method in ("POST", "PUT"):
        lines.append(f"Content-Length: {size}")
    head = "\r\n".join(lines) + "\r\n\r\n"
    return head.encode("latin-1") + body


def chunked_bytes(method, path, headers, blocks):
    """Return a request with a chunked body and no Content-Length."""
    lines = [f"{method} {path} HTTP/1.1", "Host: marjoramstage"]
    lines += [f"{name}: {value}" for name, value in headers]
    lines.append("Transfer-Encoding: chunked")
    payload = ("\r\n".join(lines) + "\r\n\r\n").encode()
    for block in blocks:
        payload += f"{len(block):x}\r\n".encode() + block + b"\r\n"
    return payload + b"0\r\n\r\n"
