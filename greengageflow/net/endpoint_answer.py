"""What the head of an endpoint's answer says."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True, kw_only=True)
class AnswerNote:
    """The head of one answer, judged.

    Args:
        status: HTTP status code.
        own: It belongs to the request that was sent.
        sealed: It bears the endpoint's signature for this request.
        not_run: The endpoint says that it did not run the request.
        replaced: Another endpoint has the address.
        closing: The endpoint ends the connection after it.
        encoded: The body is not the endpoint's plain body.
        leaving: The endpoint says that it leaves.
        backoff_s: Seconds for which the endpoint wants nothing more; 0 if it did not
            say.
    """

    status: int
    own: bool
    sealed: bool
    not_run: bool
    replaced: bool
    closing: bool
    encoded: bool
    leaving: bool = False
    backoff_s: float = 0.0

    @property
    def good(self) -> bool:
        """Whether it is a success that may be handed on."""
        return 200 <= self.status < 300 and self.sealed and not self.encoded
