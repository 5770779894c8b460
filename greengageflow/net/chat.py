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


def _reject(field: str, problem: str) -> NoReturn:
    raise RouterError(ErrorKind.BAD_REQUEST, f"{field}: {problem}")


def _reject_constant(name: str) -> NoReturn:
    raise ValueError(f"{name} is not JSON")


def _parse_object(body: bytes) -> dict[str, Any]:
    try:
        document = json.loads(body, parse_constant=_reject_constant)
    except (ValueError, RecursionError) as exc:
        reason = "nested too deeply" if isinstance(exc, RecursionError) else exc
        _reject("body", f"not valid JSON: {reason}")
    if not isinstance(document, dict):
        _reject("body", "must be a JSON object")
    return document


def _check_text(value: Any, field: str, *, may_be_empty: bool = False) -> str:
    if not isinstance(value, str):
        _reject(field, "must be a string")
    if not value and not may_be_empty:
        _reject(field, "must not be empty")
    return value


def _check_messages(messages: Any) -> None:
    if not isinstance(messages, list) or not messages:
        _reject("messages", "must be a list with at least one message")
    for index, message in enumerate(messages):
        field = f"messages[{index}]"
        if not isinstance(message, dict):
            _reject(field, "must be an object with role and content")
        _check_text(message.get("role"), f"{field}.role")
        _check_text(message.get("content"), f"{field}.content", may_be_empty=True)


def _check_flag(value: Any, field: str) -> bool:
    if not isinstance(value, bool):
        _reject(field, "must be true or false")
    return value


def _check_count(value: Any, field: str) -> int | None:
    if value is None:
        return None
    if not isinstance(value, int) or isinstance(value, bool) or value < 1:
        _reject(field, "must be a positive integer")
    return value


def parse_chat(body: bytes) -> ChatBody:
    """Parse and validate a chat request.

    Raises:
        RouterError: The request is not valid; the message names the field.
    """
    document = _parse_object(body)
    model = _check_text(document.get("model"), "model")
    _check_messages(document.get("messages"))
    stream = _check_flag(document.get("stream", False), "stream")
    max_tokens = _check_count(document.get("max_tokens"), "max_tokens")
    return ChatBody(document, model, stream, max_tokens)
