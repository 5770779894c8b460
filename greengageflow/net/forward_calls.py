"""Typed calls of callers whose requests are forwarded unchanged."""

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from greengageflow.core.forward_request import ForwardRequest

if TYPE_CHECKING:
    from greengageflow.net.reply import Reply


@dataclass(frozen=True, slots=True, kw_only=True)
class ForwardCall:
    """A request to be forwarded.

    Args:
        request: The request to forward.
        reply: Sends the answer.
    """

    request: ForwardRequest
    reply: "Reply" = field(compare=False, repr=False)


@dataclass(frozen=True, slots=True, kw_only=True)
class PageCall:
    """An operator's request for a page of this router.

    Args:
        path: Path of the page.
        reply: Sends the answer.
    """

    path: str
    reply: "Reply" = field(compare=False, repr=False)


@dataclass(frozen=True, slots=True, kw_only=True)
class PlacementCall:
    """An operator's question where a request would go.

    Args:
        query: Query of the URL, which describes the request.
        key: Account key, or empty.
        reply: Sends the answer.
    """

    query: str
    key: str = field(default="", repr=False)
    reply: "Reply" = field(compare=False, repr=False)
