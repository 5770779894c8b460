"""Responses of the engine stand-in in the OpenAI format."""

import json

from greengageflow.lab._engine_batch import Execution

OTHER_REQUEST_ID = "another"
CROSSED_TEXT = "crossed "
DONE = b"data: [DONE]\n\n"


def piece_event(execution: Execution, seq: int) -> bytes:
    """Return one piece as a server-sent event."""
    # Formatted by hand: thousands of pieces are created per second.
    last = seq == execution.request.tokens - 1
    reason = json.dumps(execution.request.finish_reason if last else None)
    usage = f', "usage": {json.dumps(execution.usage)}' if last else ""
    content = json.dumps(execution.piece(seq), ensure_ascii=False)
    return (
        f'data: {{"id": {json.dumps(execution.request.request_id)}, "seq": {seq}, '
        f'"choices": [{{"index": 0, "delta": {{"content": {content}}}, '
        f'"finish_reason": {reason}}}]{usage}}}\n\n'
    ).encode()


def crossed_event(request_id: str, seq: int) -> bytes:
    """Return a piece that belongs to another request."""
    choice = {"index": 0, "delta": {"content": CROSSED_TEXT}, "finish_reason": None}
    event = {"id": request_id, "seq": seq, "choices": [choice]}
    return f"data: {json.dumps(event)}\n\n".encode()


def completion_response(
    execution: Execution, *, crossed: bool = False
) -> dict[str, object]:
    """Return the response to a request without streaming.

    Args:
        execution: A finished execution.
        crossed: Use another request's id and text.
    """
    content = CROSSED_TEXT if crossed else execution.text
    choice = {
        "index": 0,
        "message": {"role": "assistant", "content": content},
        "finish_reason": execution.request.finish_reason,
    }
    return {
        "id": OTHER_REQUEST_ID if crossed else execution.request.request_id,
        "object": "chat.completion",
        "choices": [choice],
        "usage": execution.usage,
    }
