"""Load plans and results of the load generator."""

from dataclasses import dataclass

from greengageflow.lab._load_conn import Address

CONNECTION_ERROR = "connection"


@dataclass(frozen=True, slots=True, kw_only=True)
class Load:
    """Load of one client account.

    Args:
        account: Name of the account.
        key: Its bearer key.
        rate_per_s: Open loop: mean arrivals per second.
        outstanding: Closed loop: number of outstanding requests.
        routers: Indexes of the plan's routers to send to; empty for all.
        start_s: Start of the load, in seconds from the start of the run.
        stop_s: Time after which no request starts; None for the plan's duration.
    """

    account: str
    key: str
    rate_per_s: float = 0.0
    outstanding: int = 0
    routers: tuple[int, ...] = ()
    start_s: float = 0.0
    stop_s: float | None = None


@dataclass(frozen=True, slots=True, kw_only=True)
class ChatLoad(Load):
    """Chat requests with lognormal answer lengths.

    Args:
        model: Requested model.
        median_tokens: Median answer length.
        sigma: Lognormal sigma of the lengths; 1 gives a heavy tail.
        most_tokens: Maximum answer length.
        hint_sigma: Lognormal sigma of the cost hint around the true length; None for
            no hint.
        stream: Whether answers are streamed.
        prompt_chars: Prompt length in characters.
        prefixes: Number of distinct prompt prefixes shared by the account's requests.
        protected: Whether each request carries an idempotency key.
    """

    model: str
    median_tokens: float = 60.0
    sigma: float = 1.0
    most_tokens: int = 4000
    hint_sigma: float | None = 0.5
    stream: bool = True
    prompt_chars: int = 600
    prefixes: int = 4
    protected: bool = False


@dataclass(frozen=True, slots=True, kw_only=True)
class ServiceLoad(Load):
    """Calls to a plain service.

    Args:
        service: Requested service.
        path: Path below the service, without a leading slash.
        method: HTTP method.
        protected: Whether each call carries an idempotency key.
    """

    service: str
    path: str
    method: str = "POST"
    protected: bool = False


@dataclass(frozen=True, slots=True, kw_only=True)
class LoadPlan:
    """Load of one run.

    Args:
        routers: Addresses of the routers.
        loads: Load of each account.
        duration_s: Seconds during which requests start.
        seed: Seed of arrivals, lengths, hints and router selection.
        timeout_s: Time limit for the complete answer.
        backoff_s: Closed loop: pause after a failed request.
    """

    routers: tuple[Address, ...]
    loads: tuple[ChatLoad | ServiceLoad, ...]
    duration_s: float
    seed: int = 1
    timeout_s: float = 60.0
    backoff_s: float = 0.2


@dataclass(frozen=True, slots=True, kw_only=True)
class Result:
    """One request and its answer; times are Unix seconds.

    Args:
        account: Client account.
        router: Router it was sent to.
        kind: ``chat`` or ``service``.
        request_id: The router's ``X-Request-Id``, or empty.
        key: Idempotency key sent, or empty.
        tokens: Requested answer length; 0 for a service call.
        due: Scheduled sending time.
        sent: Actual sending time.
        first: Arrival time of the first part of the body, or None.
        end: Time when the answer ended or failed.
        status: HTTP status, or None without an answer.
        error: Error kind reported by the router, ``connection`` if the connection
            failed or timed out, or empty.
        ran: Whether the request ran according to the router: ``no``, ``yes``,
            ``unknown``, or empty.
        text: Received text of the answer.
        complete: Whether the complete answer was received.
        times: Arrival time of each part of the body.
    """

    account: str
    router: Address
    kind: str
    request_id: str
    key: str
    tokens: int
    due: float
    sent: float
    first: float | None
    end: float
    status: int | None
    error: str
    ran: str
    text: str
    complete: bool
    times: tuple[float, ...] = ()
