"""Validation of the body of a chat request."""

import json
from dataclasses import dataclass
from typing import Any, NoReturn

from greengageflow.errors import ErrorKind, RouterError


@dataclass(frozen=True, slots=True)
class ChatBody:
    """A validated chat request.

    Args:
        document: The caller's JSON object, sent unchanged to the engine.
        model: Name of the model.
        stream: True if the answer is streamed.
        max_tokens: Maximum number of tokens in the answer, or None.
    """

    document: dict[str, Any]
    model: str
    stream: bool = False
    max_tokens: int | None = None


def _refuse(field: str, problem: str) -> NoReturn:
    raise RouterError(ErrorKind.BAD_REQUEST, f"{field}: {problem}")


def _no_constant(name: str) -> NoReturn:
    raise ValueError(f"{name} is not JSON")


def _load(body: bytes) -> dict[str, Any]:
    try:
        document = json.loads(body, parse_constant=_no_constant)
    except (ValueError, RecursionError) as exc:
        reason = "nested too deeply" if isinstance(exc, RecursionError) else exc
        _refuse("body", f"not valid JSON: {reason}")
    if not isinstance(document, dict):
        _refuse("body", "must be a JSON object")
    return document


def _text(value: Any, field: str, *, may_be_empty: bool = False) -> str:
    if not isinstance(value, str):
        _refuse(field, "must be a string")
    if not value and not may_be_empty:
        _refuse(field, "must not be empty")
    return value


def _check_messages(messages: Any) -> None:
    if not isinstance(messages, list) or not messages:
        _refuse("messages", "must be a list with at least one message")
    for number, message in enumerate(messages):
        field = f"messages[{number}]"
        if not isinstance(message, dict):
            _refuse(field, "must be an object with role and content")
        _text(message.get("role"), f"{field}.role")
        _text(message.get("content"), f"{field}.content", may_be_empty=True)


def _flag(value: Any, field: str) -> bool:
    if not isinstance(value, bool):
        _refuse(field, "must be true or false")
    return value


def _count(value: Any, field: str) -> int | None:
    if value is None:
        return None
    if not isinstance(value, int) or isinstance(value, bool) or value < 1:
        _refuse(field, "must be a positive integer")
    return value


def parse_chat(body: bytes) -> ChatBody:
    """Parse and validate a chat request.

    Raises:
        RouterError: The request is not valid; the message names the field.
    """
    document = _load(body)
    model = _text(document.get("model"), "model")
    _check_messages(document.get("messages"))
    stream = _flag(document.get("stream", False), "stream")
    max_tokens = _count(document.get("max_tokens"), "max_tokens")
    return ChatBody(document, model, stream, max_tokens)
