"""Callers of a soak run; each is a thread that makes blocking calls."""

from collections.abc import Callable
from contextlib import suppress
from hashlib import sha256
from itertools import accumulate
from random import Random
from threading import Event, Thread
from time import monotonic

import h11

from greengageflow.lab._soak_fleet import SoakFleet
from greengageflow.lab.platform_client import IncompleteResponse, PlatformClient
from greengageflow.lab.platform_lab import KEY, generation
from greengageflow.lab.soak_checks import Breach, check_answer
from greengageflow.lab.soak_facts import (
    STREAM_KINDS,
    End,
    Kind,
    PoisonRequest,
    RequestRecord,
)
from greengageflow.net.http_messages import SERVER_LEAVING
from greengageflow.platform.names import (
    LAST_EVENT_ID,
    REQUEST_ID,
    RESPONSE_SEAL,
    RESUMES,
)

TOKENS_PER_EVENT = 2
DEADLINE_S, STREAM_DEADLINE_S, PROBE_DEADLINE_S = 6.0, 12.0, 2.0
TIMEOUT_MARGIN_S = 3.0
PAUSE_S = 0.1
MAX_RESUMPTIONS = 3
LONG_STREAM_TOKENS = 3000
TOKEN_COUNTS = (4, 10, 40, 120, 300)
LEAVE_PROBABILITY = 0.15
SERVED_KINDS = (Kind.SAFE, Kind.UNSAFE, Kind.CHAT, Kind.TALE)
KIND_WEIGHTS = (40, 30, 18, 12)
# Words of h11 errors that mean a truncated answer rather than invalid HTTP.
TRUNCATION_WORDS = ("closed", "reset", "pipe", "abort")


class Callers:
    """Callers that send requests until they are stopped.

    Args:
        seed: Seed of the requests.
        fleet: The fleet under test; its facts receive the records of requests.
    """

    def __init__(self, seed: int, fleet: SoakFleet) -> None:
        self.breaches: list[Breach] = []
        self._seed, self._fleet, self._front_addresses = (
            seed,
            fleet,
            fleet.front_addresses,
        )
        self._stop = Event()
        self._threads: list[Thread] = []

    def start(self, count: int) -> None:
        """Start ``count`` callers, and one prober of the version for each router."""
        for number in range(count):
            self._launch(self._call, Random(f"{self._seed}/{number}"))
        for router in self._front_addresses:
            self._launch(self._probe, Random(f"{self._seed}/{router}"), router)

    def _launch(self, run: Callable[..., None], *args: object) -> None:
        self._threads.append(Thread(target=run, args=args, daemon=True))
        self._threads[-1].start()

    def stop(self) -> None:
        """Stop all callers and wait until their requests have ended."""
        self._stop.set()
        for thread in self._threads:
            thread.join()

    def _call(self, random: Random) -> None:
        while not self._stop.wait(PAUSE_S):
            router = random.choice(list(self._front_addresses))
            with suppress(OSError):
                opened, client = (
                    monotonic(),
                    PlatformClient(self._front_addresses[router]),
                )
                for _ in range(random.randint(1, 12)):
                    self._send_random(random, router, client, opened)
                    if client.sock.fileno() < 0 or self._stop.wait(PAUSE_S / 2):
                        break
                client.close()

    def _send_random(
        self, random: Random, router: str, client: PlatformClient, opened: float
    ) -> None:
        (kind,) = random.choices(SERVED_KINDS, KIND_WEIGHTS)
        key = random.choice((KEY, KEY, KEY, *self._fleet.keys[-3:]))
        record = self._new_record(
            random, kind, router, key, random.choice(TOKEN_COUNTS)
        )
        disconnects = kind in STREAM_KINDS and random.random() < LEAVE_PROBABILITY
        self._exchange(
            client, opened, record, random.randint(1, 4) if disconnects else None
        )
        if self._fleet.mixed_versions and record.kind is Kind.CHAT and not disconnects:
            self._take_up(random, record)

    def _take_up(self, random: Random, record: RequestRecord) -> None:
        """Take up a stream that broke off after its first event, at any router."""
        for _ in range(MAX_RESUMPTIONS):
            is_over = record.end in (End.WHOLE, End.LEFT) and record.status == 200
            if is_over or not record.last_event:
                return
            record = self._resumption(random, record)
            self.send_alone(record)

    def _resumption(self, random: Random, before: RequestRecord) -> RequestRecord:
        """Return a request that takes up a broken stream at any router."""
        first = before.first_request
        router = random.choice(list(self._front_addresses))
        record = self._new_record(random, first.kind, router, first.key, 0)
        record.target, record.wanted = first.target, first.wanted
        record.body, record.body_sha256 = first.id.encode(), first.body_sha256
        record.resumes = before
        return record

    def _probe(self, random: Random, router: str) -> None:
        while not self._stop.wait(PAUSE_S):
            for version in self._fleet.versions[-2:]:
                record = self._new_record(random, Kind.PROBE, router, None, 0)
                record.version, record.target = version, f"/v{version}/{record.id}"
                record.deadline_s = PROBE_DEADLINE_S
                self.send_alone(record)

    def request_short_answer(self, random: Random, kind: Kind, router: str) -> bool:
        """Ask for a short answer; return whether it was complete."""
        record = self._new_record(random, kind, router, KEY, TOKEN_COUNTS[0])
        self.send_alone(record)
        return record.end is End.WHOLE and record.status == 200

    def send_poison(self, kind: Kind, router: str, poison: PoisonRequest) -> None:
        """Start a request that crashes the replica that runs it, without waiting."""
        record = self._new_record(Random(), kind, router, KEY, TOKEN_COUNTS[0])
        record.part = poison.part
        if not poison.part:
            # Retries have the same path and body but their own ids.
            record.target = f"/{kind}/poison"
            record.body = poison.body.encode()
            record.body_sha256 = sha256(record.body).hexdigest()
        self._launch(self.send_alone, record)

    def send_alone(self, record: RequestRecord) -> None:
        """Send a request on a new connection."""
        with suppress(OSError):
            opened, client = (
                monotonic(),
                PlatformClient(self._front_addresses[record.router]),
            )
            self._exchange(client, opened, record, None)
            client.close()

    @staticmethod
    def _new_record(
        random: Random, kind: Kind, router: str, key: str | None, tokens: int
    ) -> RequestRecord:
        id, streams = f"{random.getrandbits(64):016x}", kind in STREAM_KINDS
        deadline_s = STREAM_DEADLINE_S if streams else DEADLINE_S
        body_sha256 = sha256(id.encode()).hexdigest()
        # The path holds the router's name, so that a replica's fault can be limited
        # to requests from one router.
        target = f"/{kind}/{router}/{id}"
        record = RequestRecord(id, kind, router, key, target, deadline_s, body_sha256)
        record.wanted = -(-tokens // TOKENS_PER_EVENT) if streams else 0
        return record

    def _exchange(
        self,
        client: PlatformClient,
        opened: float,
        record: RequestRecord,
        leave_after: int | None,
    ) -> None:
        """Send a request and record the result; disconnect after some events.

        The number of events is ``leave_after``; None means that the caller stays.
        """
        record.opened, record.life = opened, self._fleet.start_counts[record.router]
        record.port, record.first = client.sock.getsockname()[1], client.unused
        self._fleet.facts.asked.append(record)
        record.sent = monotonic()
        try:
            self._send(client, record, leave_after)
            self._receive(client, record, leave_after)
        except IncompleteResponse as exc:
            record.error = str(exc).lower()
            http = isinstance(exc.__cause__, h11.RemoteProtocolError)
            ended = not http or any(word in record.error for word in TRUNCATION_WORDS)
            record.end = End.TORN if ended else End.JUNK
        except TimeoutError:
            record.end = End.SILENT
        except (OSError, h11.LocalProtocolError) as exc:
            record.error = repr(exc)
        record.ended = monotonic()
        if record.end is not End.WHOLE:
            client.close()
        self.breaches.extend(check_answer(record))

    @staticmethod
    def _send(
        client: PlatformClient, record: RequestRecord, leave_after: int | None
    ) -> None:
        tokens = LONG_STREAM_TOKENS if leave_after else record.wanted * TOKENS_PER_EVENT
        shared = [("aa", 200), *([(record.part, 20)] if record.part else [])]
        own = record.first_request.id[:8]
        headers = generation(tokens, *shared, (own, 50))
        if record.resumes is not None:
            headers |= {
                LAST_EVENT_ID: record.last_event,
                RESUMES: record.first_request.id,
            }
        client.sock.settimeout(record.deadline_s + TIMEOUT_MARGIN_S)
        client.send(
            record.target,
            record.body or record.id.encode(),
            name=record.id,
            key=record.key,
            deadline_ms=int(record.deadline_s * 1000),
            headers=headers if record.kind in STREAM_KINDS else {},
        )
        record.end = End.TORN

    @staticmethod
    def _receive(
        client: PlatformClient, record: RequestRecord, leave_after: int | None
    ) -> None:
        head = client.head()
        record.answer_id = head.headers.get(REQUEST_ID, "")
        record.seal = head.headers.get(RESPONSE_SEAL, "")
        record.leaving = SERVER_LEAVING in head.headers
        record.status = head.status
        for body in accumulate(client.pieces()):
            record.body = body
            if record.status == 200 and record.kind in STREAM_KINDS:
                record.events = [_event(text) for text in body.split(b"\n\n")[:-1]]
            if leave_after and len(record.events) >= leave_after:
                record.end = End.LEFT
                return
        record.end = End.WHOLE
        if head.headers.get("connection") == "close":
            client.close()


def _event(block: bytes) -> tuple[int, str]:
    fields = dict(line.split(": ", 1) for line in block.decode().split("\n"))
    return int(fields["id"]), fields["data"]
