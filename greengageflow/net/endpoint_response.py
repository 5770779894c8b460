"""Evaluation of the head of an endpoint's response."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True, kw_only=True)
class ResponseInfo:
    """Evaluated head of one response.

    Args:
        status: HTTP status code.
        belongs_to_request: The response belongs to the request that was sent.
        identified: The response carries the id of this request.
        signed: The response carries a signature of the endpoint and the id of this
            request.
        not_run: The endpoint states that it did not run the request.
        endpoint_replaced: Another endpoint now has the address.
        closes_connection: The endpoint closes the connection after the response.
        content_encoded: The body has a content encoding, so it is not the plain body.
        leaving: The endpoint announces that it is shutting down.
        backoff_s: Time for which the endpoint wants no requests, in seconds; 0 if it
            gave none.
    """

    status: int
    belongs_to_request: bool
    identified: bool
    signed: bool
    not_run: bool
    endpoint_replaced: bool
    closes_connection: bool
    content_encoded: bool
    leaving: bool = False
    backoff_s: float = 0.0

    @property
    def is_forwardable(self) -> bool:
        """Whether the response is a success that may be forwarded."""
        return 200 <= self.status < 300 and self.signed and not self.content_encoded
