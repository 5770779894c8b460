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
from greengageflow.lab.soak_facts import STREAMS, Asked, End, Kind
from greengageflow.net.http_messages import SERVER_LEAVING
from greengageflow.platform.names import REQUEST_ID, RESPONSE_SEAL

STRIDE = 2
DEADLINE_S, STREAM_DEADLINE_S, PROBE_DEADLINE_S = 6.0, 12.0, 2.0
PATIENCE_S = 3.0
PAUSE_S = 0.1
LONG_TOKENS = 3000
TOKENS = (4, 10, 40, 120, 300)
LEAVES_PART = 0.15
SERVED = (Kind.SAFE, Kind.UNSAFE, Kind.CHAT, Kind.TALE)
WEIGHTS = (40, 30, 18, 12)
# Words of h11 errors that mean a truncated answer rather than invalid HTTP.
ENDED = ("closed", "reset", "pipe", "abort")


class Callers:
    """Callers that send requests until they are stopped.

    Args:
        seed: Seed of the requests.
        fleet: The fleet under test; its facts receive the records of requests.
    """

    def __init__(self, seed: int, fleet: SoakFleet) -> None:
        self.breaches: list[Breach] = []
        self._seed, self._fleet, self._fronts = seed, fleet, fleet.fronts
        self._stop = Event()
        self._threads: list[Thread] = []

    def start(self, count: int) -> None:
        """Start ``count`` callers, and one prober of the version for each router."""
        for number in range(count):
            self._launch(self._call, Random(f"{self._seed}/{number}"))
        for router in self._fronts:
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
            router = random.choice(list(self._fronts))
            with suppress(OSError):
                opened, client = monotonic(), PlatformClient(self._fronts[router])
                for _ in range(random.randint(1, 12)):
                    self._ask_any(random, router, client, opened)
                    if client.sock.fileno() < 0 or self._stop.wait(PAUSE_S / 2):
                        break
                client.close()

    def _ask_any(
        self, random: Random, router: str, client: PlatformClient, opened: float
    ) -> None:
        (kind,) = random.choices(SERVED, WEIGHTS)
        key = random.choice((KEY, KEY, KEY, *self._fleet.keys[-3:]))
        asked = self._new(random, kind, router, key, random.choice(TOKENS))
        leaves = kind in STREAMS and random.random() < LEAVES_PART
        self._run(client, opened, asked, random.randint(1, 4) if leaves else None)

    def _probe(self, random: Random, router: str) -> None:
        while not self._stop.wait(PAUSE_S):
            for version in self._fleet.versions[-2:]:
                asked = self._new(random, Kind.PROBE, router, None, 0)
                asked.version, asked.target = version, f"/v{version}/{asked.id}"
                asked.deadline_s = PROBE_DEADLINE_S
                self.ask_alone(asked)

    def ask_short(self, random: Random, kind: Kind, router: str) -> bool:
        """Ask for a short answer; return whether it was complete."""
        asked = self._new(random, kind, router, KEY, TOKENS[0])
        self.ask_alone(asked)
        return asked.end is End.WHOLE and asked.status == 200

    def ask_poison(self, kind: Kind, router: str, body: str) -> None:
        """Start a request that crashes the replica that runs it, without waiting."""
        asked = self._new(Random(), kind, router, KEY, TOKENS[0])
        # Retries have the same path and body but their own ids.
        asked.target = f"/{kind}/poison"
        asked.body = body.encode()
        asked.body_sha256 = sha256(asked.body).hexdigest()
        self._launch(self.ask_alone, asked)

    def ask_alone(self, asked: Asked) -> None:
        """Send a request on a new connection."""
        with suppress(OSError):
            opened, client = monotonic(), PlatformClient(self._fronts[asked.router])
            self._run(client, opened, asked, None)
            client.close()

    @staticmethod
    def _new(
        random: Random, kind: Kind, router: str, key: str | None, tokens: int
    ) -> Asked:
        id, streams = f"{random.getrandbits(64):016x}", kind in STREAMS
        deadline_s = STREAM_DEADLINE_S if streams else DEADLINE_S
        body_sha256 = sha256(id.encode()).hexdigest()
        # The path holds the router's name, so that a replica's fault can be limited
        # to requests from one router.
        target = f"/{kind}/{router}/{id}"
        asked = Asked(id, kind, router, key, target, deadline_s, body_sha256)
        asked.wanted = -(-tokens // STRIDE) if streams else 0
        return asked

    def _run(
        self, client: PlatformClient, opened: float, asked: Asked, leave: int | None
    ) -> None:
        """Send a request, disconnect after ``leave`` events, and record the result."""
        asked.opened, asked.life = opened, self._fleet.lives[asked.router]
        asked.port, asked.first = client.sock.getsockname()[1], client.unused
        self._fleet.facts.asked.append(asked)
        asked.sent = monotonic()
        try:
            self._send(client, asked, leave)
            self._take(client, asked, leave)
        except IncompleteResponse as exc:
            asked.error = str(exc).lower()
            http = isinstance(exc.__cause__, h11.RemoteProtocolError)
            ended = not http or any(word in asked.error for word in ENDED)
            asked.end = End.TORN if ended else End.JUNK
        except TimeoutError:
            asked.end = End.SILENT
        except (OSError, h11.LocalProtocolError) as exc:
            asked.error = repr(exc)
        asked.ended = monotonic()
        if asked.end is not End.WHOLE:
            client.close()
        self.breaches.extend(check_answer(asked))

    @staticmethod
    def _send(client: PlatformClient, asked: Asked, leave: int | None) -> None:
        tokens = LONG_TOKENS if leave else asked.wanted * STRIDE
        parts = generation(tokens, ("aa", 200), (asked.id[:8], 50))
        client.sock.settimeout(asked.deadline_s + PATIENCE_S)
        client.send(
            asked.target,
            asked.body or asked.id.encode(),
            name=asked.id,
            key=asked.key,
            deadline_ms=int(asked.deadline_s * 1000),
            headers=parts if asked.kind in STREAMS else {},
        )
        asked.end = End.TORN

    @staticmethod
    def _take(client: PlatformClient, asked: Asked, leave: int | None) -> None:
        head = client.head()
        asked.answer_id = head.headers.get(REQUEST_ID, "")
        asked.seal = head.headers.get(RESPONSE_SEAL, "")
        asked.leaving = SERVER_LEAVING in head.headers
        asked.status = head.status
        for body in accumulate(client.pieces()):
            asked.body = body
            if asked.status == 200 and asked.kind in STREAMS:
                asked.events = [_event(text) for text in body.split(b"\n\n")[:-1]]
            if leave and len(asked.events) >= leave:
                asked.end = End.LEFT
                return
        asked.end = End.WHOLE
        if head.headers.get("connection") == "close":
            client.close()


def _event(block: bytes) -> tuple[int, str]:
    fields = dict(line.split(": ", 1) for line in block.decode().split("\n"))
    return int(fields["id"]), fields["data"]
