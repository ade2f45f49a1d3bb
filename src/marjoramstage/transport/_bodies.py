"""Validation of the bodies of completion requests."""

from __future__ import annotations

import json
from dataclasses import dataclass

from marjoramstage.exceptions import RequestError, Verdict

DEFAULT_OUTPUT_TOKENS = 128
MAX_OUTPUT_TOKENS = 1_000_000


@dataclass(frozen=True)
class CompletionBody:
    """The validated body of a completion request.

    Attributes
    ----------
    model : str
        Name of the model.
    version, adapter : str or None
        Parts of the requested name after ``@`` and after ``:``.
    stream : bool
        Whether the response is to be streamed token by token.
    prompt : str
        Text of the prompt, or of all messages joined by newlines.
    max_tokens : int
        Maximum number of output tokens.
    other_fields : bytes
        The body as JSON without ``model`` and without the opening brace.
    """

    model: str
    version: str | None
    adapter: str | None
    stream: bool
    prompt: str
    max_tokens: int
    other_fields: bytes

    def encode(self, served_as: str) -> bytes:
        """Return the body as JSON, with ``served_as`` as the name of the model."""
        return (
            b'{"model": ' + json.dumps(served_as).encode() + b", " + self.other_fields
        )


def parse_completion_body(payload: bytes) -> CompletionBody:
    """Parse and validate the body of a completion request.

    Raises
    ------
    RequestError
        Status 400; its message says what is wrong.
    """
    data = _json_object(payload)
    name = data.pop("model", None)
    if not isinstance(name, str) or not name:
        raise _bad_body("model is a string such as name@version:adapter.")
    model, _, adapter = name.partition(":")
    model, _, version = model.partition("@")
    max_tokens = data.setdefault("max_tokens", DEFAULT_OUTPUT_TOKENS)
    if type(max_tokens) is not int or not 1 <= max_tokens <= MAX_OUTPUT_TOKENS:
        raise _bad_body(f"max_tokens is a whole number from 1 to {MAX_OUTPUT_TOKENS}.")
    stream = data.get("stream", False)
    if not isinstance(stream, bool):
        raise _bad_body("stream is true or false.")
    return CompletionBody(
        model=model,
        version=version or None,
        adapter=adapter or None,
        stream=stream,
        prompt=_prompt(data),
        max_tokens=max_tokens,
        other_fields=json.dumps(data)[1:].encode(),
    )


def _json_object(payload: bytes) -> dict:
    try:
        data = json.loads(payload.decode(), parse_constant=_reject_constant)
    except UnicodeDecodeError as exc:
        raise _bad_body("The body is not UTF-8.") from exc
    except RecursionError as exc:
        raise _bad_body("The body is nested too deeply.") from exc
    except ValueError as exc:
        raise _bad_body("The body is not JSON.") from exc
    if not isinstance(data, dict):
        raise _bad_body("The body is not a JSON object.")
    return data


def _reject_constant(name: str) -> None:
    raise ValueError(f"{name} is not valid in JSON")


def _prompt(data: dict) -> str:
    """Return the text of the prompt or of all messages."""
    messages = data.get("messages")
    if messages is None:
        return _text(data.get("prompt"), "prompt is a string.")
    if not isinstance(messages, list) or not messages:
        raise _bad_body("messages is a list that is not empty.")
    texts = []
    for message in messages:
        content = message.get("content") if isinstance(message, dict) else None
        texts.append(_text(content, "Each message has a content string."))
    return "\n".join(texts)


def _text(value: object, problem: str) -> str:
    """Return ``value`` if it is a string that can be encoded as UTF-8."""
    if not isinstance(value, str):
        raise _bad_body(problem)
    try:
        value.encode()
    except UnicodeEncodeError as exc:
        raise _bad_body("A text holds half of a surrogate pair.") from exc
    return value


def _bad_body(message: str) -> RequestError:
    return RequestError(400, "body", message, Verdict.NOT_RUN)
