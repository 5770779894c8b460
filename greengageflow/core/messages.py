"""Messages between routers; ``wire`` encodes them.

Every message is a frozen dataclass. New fields are only appended, with a default, so
that old and new routers stay compatible during a rolling upgrade.
"""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class PeerId:
    """One boot of a router process.

    Args:
        host: Host name from the settings, unique in the fleet.
        boot: Boot number; increases with every start of the router on this host.
    """

    host: str
    boot: int


# Fair shares: demand, grants and service counters.


@dataclass(frozen=True, slots=True)
class Demand:
    """Reports to an owner how many requests of an account wait at an entry router.

    Replaces earlier demand of the same router for the same account and pool.
    Duplicates and late copies (lower ``seq``) are ignored.

    Args:
        seq: Increases with each ``Demand`` from this boot of the sender.
        account: Client account.
        pool: Pool that may serve the requests.
        waiting: Number of waiting requests; 0 withdraws the demand.
        cost: Expected cost of the first request, in tokens.
        affinity: Endpoint that caches the prompt's prefix, or empty.
    """

    seq: int
    account: str
    pool: str
    waiting: int
    cost: float = 0.0
    affinity: str = ""


@dataclass(frozen=True, slots=True)
class Grant:
    """Grants one slot of an endpoint to an entry router.

    Args:
        grant: Unique id, ``{owner host}:{owner boot}:{number}``.
        account: Client account that the slot is for.
        pool: Pool of the endpoint.
        endpoint: Endpoint of the slot.
        expires_s: Seconds after which the owner retransmits the same grant unless
            ``GrantTaken`` or ``GrantReturned`` has answered it.
        boot: Boot number of the receiver; a later boot ignores the grant.
        demand_seq: ``seq`` of the ``Demand`` that the grant serves; 0 if unknown.
    """

    grant: str
    account: str
    pool: str
    endpoint: str
    expires_s: float = 2.0
    boot: int = 0
    demand_seq: int = 0


@dataclass(frozen=True, slots=True)
class GrantTaken:
    """Confirms that a grant is used; also sent to a new owner of the endpoint.

    Args:
        grant: Id of the grant.
        endpoint: Endpoint whose slot is in use.
        account: Client account that uses the slot.
        cost: Estimated cost, in tokens.
        deadline_s: Maximum number of seconds until the request ends.
    """

    grant: str
    endpoint: str
    account: str
    cost: float
    deadline_s: float


@dataclass(frozen=True, slots=True)
class GrantReturned:
    """Returns a granted slot, used or unused.

    Args:
        grant: Id of the grant.
        endpoint: Endpoint of the slot.
        served: Tokens that the endpoint produced; 0 when the slot was not used.
        seconds: Time that the endpoint spent on the request.
        failed: True when the endpoint was unreachable or failed.
        backoff_s: Seconds for which the endpoint asked the router to back off.
    """

    grant: str
    endpoint: str
    served: float = 0.0
    seconds: float = 0.0
    failed: bool = False
    backoff_s: float = 0.0


@dataclass(frozen=True, slots=True)
class AccountService:
    """Service of one account, as counted by one router or summed by a collector.

    Args:
        account: Client account.
        served: Tokens served since the router started; never decreases.
        pending: Estimated tokens of requests in flight.
        waiting: Number of waiting requests.
        raised: Tokens added so that idle time earns no credit; only set in totals,
            never decreases.
        forgiven: Tokens subtracted so that debt stays bounded; only set in totals,
            never decreases.
    """

    account: str
    served: float
    pending: float = 0.0
    waiting: int = 0
    raised: float = 0.0
    forgiven: float = 0.0


@dataclass(frozen=True, slots=True)
class ShareReport:
    """Reports the service of an entry router to a collector of its zone.

    Args:
        seq: Increases with each report from this boot of the sender.
        services: Changed accounts of the collector's shards; absolute values.
        full: Shards, as a bit mask, for which the report lists all accounts that the
            sender has counted.
    """

    seq: int
    services: tuple[AccountService, ...]
    full: int = 0


@dataclass(frozen=True, slots=True)
class ZoneTotals:
    """Sends a zone's totals from its collector to the collectors of other zones.

    Also replicates the totals of all zones to standby collectors, and to collectors
    that have just taken over.

    Args:
        zone: Availability zone of the totals.
        services: Totals of the zone for changed accounts.
    """

    zone: str
    services: tuple[AccountService, ...]


@dataclass(frozen=True, slots=True)
class FleetTotals:
    """Sends the fleet totals from a collector to the routers of its zone.

    Args:
        services: Totals of the fleet for changed accounts.
        seq: Increases with each message from this boot of the sender.
    """

    services: tuple[AccountService, ...]
    seq: int = 0


@dataclass(frozen=True, slots=True)
class WorkCall:
    """Asks for demand; sent by an owner that has free slots but no demand."""

    pool: str
    free: int


@dataclass(frozen=True, slots=True)
class LeavingNotice:
    """Announces that an endpoint is leaving and must get no new requests.

    Args:
        endpoint: Name of the endpoint.
        generation: Generation of the endpoint that is leaving for good.
    """

    endpoint: str
    generation: int


# Membership.


@dataclass(frozen=True, slots=True)
class Member:
    """Membership entry of one router.

    Args:
        host: Host name.
        boot: Boot number.
        incarnation: Incremented by the member itself to refute a suspicion.
        status: ``alive``, ``stopping``, ``suspect``, ``dead`` or ``left``.
        ip: IP address for peer connections.
        port: TCP port for peer connections.
        zone: Availability zone.
    """

    host: str
    boot: int
    incarnation: int
    status: str
    ip: str
    port: int
    zone: str


@dataclass(frozen=True, slots=True)
class Ping:
    """Probe of a member, with piggybacked membership updates.

    Args:
        seq: Echoed by the ``Ack``.
        revision: Newest configuration revision of the sender.
        digest: Digest of the sender's view, used to detect a stale view.
        updates: Members whose state changed recently.
    """

    seq: int
    revision: int
    digest: int
    updates: tuple[Member, ...] = ()


@dataclass(frozen=True, slots=True)
class Ack:
    """Answer to a ``Ping``, with the same fields."""

    seq: int
    revision: int
    digest: int
    updates: tuple[Member, ...] = ()


@dataclass(frozen=True, slots=True)
class PingRequest:
    """Asks a peer to probe ``target`` on behalf of the sender (indirect probe)."""

    seq: int
    target: str


@dataclass(frozen=True, slots=True)
class ViewRequest:
    """Requests the receiver's full view; carries the digest of the sender's view."""

    digest: int


@dataclass(frozen=True, slots=True)
class View:
    """The full view of the sender."""

    members: tuple[Member, ...]


# Configuration.


@dataclass(frozen=True, slots=True)
class ConfigRequest:
    """Requests a configuration newer than ``revision`` from a peer."""

    revision: int


@dataclass(frozen=True, slots=True)
class ConfigState:
    """Snapshot of the configuration, folded from the log.

    Args:
        revision: Revision of the configuration.
        offset: Log offset up to which records were folded.
        document: JSON text of the snapshot, compressed with zlib.
    """

    revision: int
    offset: int
    document: bytes


# Protected actions.


@dataclass(frozen=True, slots=True)
class OrderNotice:
    """Notifies an owner that the log has orders for it.

    Args:
        next_offset: Offset up to which the stream of orders is to be read.
    """

    next_offset: int


@dataclass(frozen=True, slots=True)
class IntentRequest:
    """Asks the partition's writer to record an intent for an entry router.

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
    """The writer's answer to an ``IntentRequest``.

    Args:
        nonce: Echo of the request.
        verdict: ``first`` (only this attempt may send), ``done`` (outcome known),
            ``taken`` (another attempt may have sent), ``unknown`` (an attempt was
            sent, its outcome is unknown), ``large`` (the action ran, but its answer
            was too large to store), ``conflict`` (same key, different request),
            ``released`` (this attempt was abandoned).
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
    """Reports the outcome of a protected action to the writer.

    Args:
        nonce: Id of the attempt.
        key: Account and idempotency key, joined by a newline.
        ran: ``yes``, ``no`` (the key is released) or ``unknown``.
        status: HTTP status of the answer.
        content_type: Content type of the answer.
        body: Body of the answer, of bounded size.
    """

    nonce: str
    key: str
    ran: str
    status: int = 0
    content_type: str = ""
    body: bytes = b""


@dataclass(frozen=True, slots=True)
class OutcomeStored:
    """Confirms that the writer has stored the outcome in the log."""

    nonce: str
