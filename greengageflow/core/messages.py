"""Messages between routers; ``wire`` has their encoding.

Every message is a frozen dataclass. Fields are only appended, with a default, so that
old and new routers understand each other while a fleet changes over.
"""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class PeerId:
    """One life of one router process.

    Args:
        host: Host name from the settings, unique in the fleet.
        boot: Number of this life; a later life of the host has a larger one.
    """

    host: str
    boot: int


# Fair shares: demand, grants and service counters.


@dataclass(frozen=True, slots=True)
class Demand:
    """An entry router states how many requests an account has waiting there.

    It replaces what the same router said before about the same account and pool,
    so duplicates and late copies (lower ``seq``) change nothing.

    Args:
        seq: Grows with each statement of this life of the sender.
        account: Client account.
        pool: Pool that may serve the requests.
        waiting: Requests waiting; 0 withdraws the demand.
        cost: Expected cost of the first one, in tokens.
        affinity: Endpoint that holds the prompt's prefix, or empty.
    """

    seq: int
    account: str
    pool: str
    waiting: int
    cost: float = 0.0
    affinity: str = ""


@dataclass(frozen=True, slots=True)
class Grant:
    """An owner gives one slot of an endpoint to an entry router.

    Args:
        grant: Unique id, ``{owner host}:{owner boot}:{number}``.
        account: Client account that it is for.
        pool: Pool of the endpoint.
        endpoint: Endpoint whose slot it is.
        expires_s: Seconds after which the owner asks again, with the same grant,
            if neither ``GrantTaken`` nor ``GrantReturned`` answered it.
        boot: Life of the entry router that it is for; a later life ignores it.
    """

    grant: str
    account: str
    pool: str
    endpoint: str
    expires_s: float = 2.0
    boot: int = 0


@dataclass(frozen=True, slots=True)
class GrantTaken:
    """The entry router uses a grant; also sent to a new owner of the endpoint.

    Args:
        grant: Id of the grant.
        endpoint: Endpoint whose slot is in use.
        account: Client account that uses it.
        cost: Estimated cost, in tokens.
        deadline_s: Seconds until the request will have ended at the latest.
    """

    grant: str
    endpoint: str
    account: str
    cost: float
    deadline_s: float


@dataclass(frozen=True, slots=True)
class GrantReturned:
    """A slot comes back, used or not.

    Args:
        grant: Id of the grant.
        endpoint: Endpoint whose slot it was.
        served: Tokens that the endpoint produced; 0 when it was not used.
        seconds: Time for which the endpoint was busy.
        failed: True when the endpoint could not be reached or broke.
        backoff_s: Seconds for which the endpoint wants nothing from this router.
    """

    grant: str
    endpoint: str
    served: float = 0.0
    seconds: float = 0.0
    failed: bool = False
    backoff_s: float = 0.0


@dataclass(frozen=True, slots=True)
class AccountService:
    """Service of one account at one origin.

    Args:
        account: Client account.
        served: Tokens served since the origin started; never falls.
        pending: Tokens estimated for requests in flight.
        waiting: Requests that wait.
        raised: Tokens added so that an account that was idle saves up no credit;
            in totals only, never falls.
        forgiven: Tokens left out so that debt stays bounded; in totals only, never
            falls.
    """

    account: str
    served: float
    pending: float = 0.0
    waiting: int = 0
    raised: float = 0.0
    forgiven: float = 0.0


@dataclass(frozen=True, slots=True)
class ShareReport:
    """An entry router tells a collector of its zone what it served.

    Args:
        seq: Grows with each report of this life of the sender.
        services: Changed accounts of the collector's shards; absolute values.
        full: Shards, as a bit mask, of which it lists every account that the
            sender has counted.
    """

    seq: int
    services: tuple[AccountService, ...]
    full: int = 0


@dataclass(frozen=True, slots=True)
class ZoneTotals:
    """A collector tells its peers in other zones its zone's totals.

    It also tells other zones' totals to those that may take over from it, and to
    those that just did.

    Args:
        zone: Availability zone that the totals are of.
        services: Totals of the zone for changed accounts.
    """

    zone: str
    services: tuple[AccountService, ...]


@dataclass(frozen=True, slots=True)
class FleetTotals:
    """A collector tells the routers of its zone the fleet's totals.

    Args:
        services: Totals of the fleet for changed accounts.
        seq: Grows with each message of this life of the sender.
    """

    services: tuple[AccountService, ...]
    seq: int = 0


@dataclass(frozen=True, slots=True)
class WorkCall:
    """An owner with a free slot and nothing to grant asks for demand."""

    pool: str
    free: int


@dataclass(frozen=True, slots=True)
class LeavingNotice:
    """A router saw a sign that an endpoint is leaving; it gets no new work.

    Args:
        endpoint: Name of the endpoint.
        generation: Generation for which the sign holds for good.
    """

    endpoint: str
    generation: int


# Membership.


@dataclass(frozen=True, slots=True)
class Member:
    """What is known of one router.

    Args:
        host: Host name.
        boot: Life of the host.
        bump: Raised by the member itself to refute a suspicion.
        status: ``alive``, ``stopping``, ``suspect``, ``dead`` or ``left``.
        ip: IP number of its peer side.
        port: TCP port of its peer side.
        zone: Availability zone.
    """

    host: str
    boot: int
    bump: int
    status: str
    ip: str
    port: int
    zone: str


@dataclass(frozen=True, slots=True)
class Ping:
    """Probe of a member, with news riding on it.

    Args:
        seq: Echoed by the ``Ack``.
        revision: Newest configuration revision of the sender.
        digest: Digest of the sender's view, to notice a stale one.
        news: Members whose state changed lately.
    """

    seq: int
    revision: int
    digest: int
    news: tuple[Member, ...] = ()


@dataclass(frozen=True, slots=True)
class Ack:
    """Answer to a ``Ping``; same fields."""

    seq: int
    revision: int
    digest: int
    news: tuple[Member, ...] = ()


@dataclass(frozen=True, slots=True)
class PingRequest:
    """Asks a peer to probe ``target`` for the sender."""

    seq: int
    target: str


@dataclass(frozen=True, slots=True)
class ViewRequest:
    """Asks for the whole view, sent with one's own digest."""

    digest: int


@dataclass(frozen=True, slots=True)
class View:
    """The whole view of the sender."""

    members: tuple[Member, ...]


# Configuration.


@dataclass(frozen=True, slots=True)
class ConfigRequest:
    """Asks a peer for a configuration newer than ``revision``."""

    revision: int


@dataclass(frozen=True, slots=True)
class ConfigState:
    """A folded configuration as a snapshot document.

    Args:
        revision: Revision of the state.
        offset: Log offset up to which it was folded.
        document: JSON text of the snapshot, compressed by zlib.
    """

    revision: int
    offset: int
    document: bytes


# Protected actions.


@dataclass(frozen=True, slots=True)
class OrderNotice:
    """A reader of the log tells an owner that there are orders for it.

    Args:
        next_offset: Offset up to which to read the stream of orders.
    """

    next_offset: int


@dataclass(frozen=True, slots=True)
class IntentRequest:
    """An entry router asks the partition's writer to record an intent.

    Args:
        nonce: Unique id of this attempt.
        key: Account and idempotency key, joined by a newline.
        digest: SHA-256 of the request, hexadecimal.
        wait_s: Seconds for which the entry router waits for the verdict.
    """

    nonce: str
    key: str
    digest: str
    wait_s: float


@dataclass(frozen=True, slots=True)
class IntentVerdict:
    """The writer's answer.

    Args:
        nonce: Echo of the request.
        verdict: ``first`` (the asker alone may send), ``done`` (outcome known),
            ``taken`` (another attempt may have sent), ``unknown`` (an attempt
            sent, how it ended is not known), ``large`` (it ran, its answer was
            too large to keep), ``conflict`` (same key, other request),
            ``released`` (this attempt was given up).
        status: HTTP status of the recorded outcome.
        content_type: Content type of the recorded outcome.
        body: Body of the recorded outcome.
        holder: For ``taken``, ``{host}:{boot}`` of the router that may send.
    """

    nonce: str
    verdict: str
    status: int = 0
    content_type: str = ""
    body: bytes = b""
    holder: str = ""


@dataclass(frozen=True, slots=True)
class OutcomeReport:
    """An entry router hands over the outcome of a protected action.

    Args:
        nonce: Attempt that it belongs to.
        key: Account and idempotency key, joined by a newline.
        ran: ``yes``, ``no`` (the key is released) or ``unknown``.
        status: HTTP status of the answer.
        content_type: Content type of the answer.
        body: Body of the answer, bounded.
    """

    nonce: str
    key: str
    ran: str
    status: int = 0
    content_type: str = ""
    body: bytes = b""


@dataclass(frozen=True, slots=True)
class OutcomeStored:
    """The writer has the outcome in the log."""

    nonce: str
