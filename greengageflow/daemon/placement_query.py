"""Description of a request in the query of a placement page's URL."""

from collections.abc import Iterator, Mapping
from dataclasses import dataclass
from urllib.parse import parse_qsl

from greengageflow.core.forward_request import Prompt, PromptPart
from greengageflow.errors import ErrorKind, RouterError

MAX_TOKENS = 10_000_000
MAX_TEXT_CHARS = 255
MAX_PATH_CHARS = 2048
MAX_PARTS = 64

_NAMES = frozenset(
    {
        "host",
        "path",
        "service",
        "account",
        "tokens_in",
        "tokens_out",
        "parts",
        "zone",
        "version",
    }
)
_KEY_NAMES = frozenset({"key", "credential", "authorization"})


@dataclass(frozen=True, slots=True)
class PlacementQuery:
    """A request that is described, not sent.

    Args:
        host: Host name of its route; empty if the service is given instead.
        path: Its path.
        service: Its service; empty for the one of the route with the most weight.
        account: Its client account, or empty.
        prompt: Its prompt, or None.
        zone: Availability zone of the host that sends it; empty for this host's.
        version: Software version that began the stream which it takes up, or empty.
    """

    host: str = ""
    path: str = ""
    service: str = ""
    account: str = ""
    prompt: Prompt | None = None
    zone: str = ""
    version: str = ""


def bad_query(text: str) -> RouterError:
    """Return the error for a query that is not valid.

    The text must not contain the caller's values, since one may be a key that was sent
    in the wrong place.
    """
    return RouterError(ErrorKind.BAD_REQUEST, text)


def parse_placement_query(query: str) -> PlacementQuery:
    """Return the request that a query describes.

    Raises:
        RouterError: The query is not valid; the message names the field.
    """
    fields = _parse_fields(query)
    found = PlacementQuery(
        host=fields.get("host", ""),
        path=fields.get("path", ""),
        service=fields.get("service", ""),
        account=fields.get("account", ""),
        prompt=_parse_prompt(fields),
        zone=fields.get("zone", ""),
        version=fields.get("version", ""),
    )
    if bool(found.host) != bool(found.path):
        raise bad_query("host, path: must be given together")
    if not found.host and not found.service:
        raise bad_query("host and path, or service: required")
    if found.path and not found.path.startswith("/"):
        raise bad_query("path: must begin with a slash")
    return found


def _parse_fields(query: str) -> Mapping[str, str]:
    try:
        pairs = parse_qsl(
            query,
            keep_blank_values=True,
            strict_parsing=bool(query),
            errors="strict",
            max_num_fields=2 * len(_NAMES),
        )
    except ValueError:
        raise bad_query("query: not valid") from None
    fields = dict(pairs)
    if not _KEY_NAMES.isdisjoint(name.lower() for name in fields):
        raise bad_query("a key must be sent in the Authorization header")
    if not fields.keys() <= _NAMES:
        raise bad_query(f"query: the fields are {', '.join(sorted(_NAMES))}")
    if len(fields) < len(pairs):
        raise bad_query("query: a field was given more than once")
    for name, value in fields.items():
        limit = MAX_TEXT_CHARS if name not in ("path", "parts") else MAX_PATH_CHARS
        if not value or len(value) > limit or not value.isprintable():
            raise bad_query(f"{name}: must be 1 to {limit} printable characters")
    return fields


def _parse_prompt(fields: Mapping[str, str]) -> Prompt | None:
    if fields.keys().isdisjoint({"tokens_in", "tokens_out", "parts"}):
        return None
    parts = tuple(_parse_parts(fields["parts"])) if "parts" in fields else ()
    in_parts = sum(part.tokens for part in parts)
    if "tokens_in" in fields:
        tokens_in = _parse_tokens("tokens_in", fields["tokens_in"])
    elif parts:
        tokens_in = in_parts
    else:
        raise bad_query("tokens_in: required with tokens_out")
    if tokens_in < in_parts:
        raise bad_query("tokens_in: must not be less than the tokens of the parts")
    return Prompt(
        parts, tokens_in, _parse_tokens("tokens_out", fields.get("tokens_out", "0"))
    )


def _parse_parts(text: str) -> Iterator[PromptPart]:
    items = text.split(",")
    if len(items) > MAX_PARTS:
        raise bad_query(f"parts: at most {MAX_PARTS}")
    for item in items:
        name, _, tokens = item.strip().rpartition(":")
        if not name:
            raise bad_query("parts: must be ID:TOKENS,ID:TOKENS")
        yield PromptPart(name, _parse_tokens("parts", tokens))


def _parse_tokens(name: str, text: str) -> int:
    is_number = text.isascii() and text.isdigit() and len(text) <= len(str(MAX_TOKENS))
    if not is_number or int(text) > MAX_TOKENS:
        raise bad_query(f"{name}: tokens must be an integer from 0 to {MAX_TOKENS}")
    return int(text)
