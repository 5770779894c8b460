"""Replicas shed load with ``Retry-After``, and repeat some of these rejections late."""

import asyncio
import sys
import time
from pathlib import Path
from random import Random

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))

from harness2 import (
    APP,
    ID,
    NOT_RUN,
    ZONES,
    Fleet,
    Replica,
    Request,
    play,
    route,
    send,
    trouble,
)

FOLDER = Path(__file__).resolve().parent
LENGTH_S, REQUESTS_PER_S = 85.0, 27.0
SHED_S = 0.12
"""Part of each second in which the replicas shed, as if full: 0.12 of requests."""
RETRY_AFTER_S = 0.1
REPEATED = 0.17
"""Share of the rejections with a second copy at the faulty replica."""


class Shedding:
    """Makes a replica shed in the same part of each second as the others.

    Args:
        replica: The replica.
        faulty: It sends some of its rejections twice, the second time late: where the
            next answer on the connection is expected.
        random: Draws which.
    """

    def __init__(self, replica: Replica, random: Random, *, faulty: bool) -> None:
        self.rejected = self.repeated = 0
        self._replica, self._random, self._faulty = replica, random, faulty
        self._late: dict[object, dict[str, str]] = {}
        replica.gate = self.gate

    def gate(self, request: Request, writer) -> bool:
        """Send the second copy that is due; return whether the request is rejected."""
        record = self._replica.fleet.record
        late = self._late.pop(writer, None)
        if late is not None:
            self.repeated += 1
            record(f"     {self._replica.id}: second copy of the 503 to {late[ID]}")
            send(writer, 503, late)
        if time.monotonic() % 1.0 >= SHED_S:
            return False
        self.rejected += 1
        headers = {ID: request.id, NOT_RUN: "1", "Retry-After": f"{RETRY_AFTER_S}"}
        send(writer, 503, headers)
        record(f"     {self._replica.id} sheds {request.id}")
        if self._faulty and self._random.random() < REPEATED:
            self._late[writer] = headers
        return True


async def case(fleet: Fleet) -> bool:
    """Return whether a request ran twice, or ran and was answered as if it had not."""
    handover = route("key-handover", "/puxa403/", "rounds-app", "non_idempotent")
    await fleet.publish([handover], [APP])
    random = Random(60)
    shedding = []
    for number, zone in enumerate(ZONES):
        replica = await fleet.add_replica("rounds-app", zone)
        faulty = trouble() and number == 0
        shedding.append(Shedding(replica, random, faulty=faulty))
    gateways = [fleet.add_gateway(zone, 1) for zone in ZONES]
    await fleet.wait_ready()
    await asyncio.sleep(4.0)
    tasks = []
    ends_at = time.monotonic() + LENGTH_S
    while time.monotonic() < ends_at:
        gateway = gateways[len(tasks) % len(gateways)]
        asked = fleet.ask(gateway, "POST", f"/puxa403/{len(tasks)}", b'{"villa": 7}')
        tasks.append(asyncio.create_task(asked))
        await asyncio.sleep(random.expovariate(REQUESTS_PER_S))
    twice = promised = 0
    for request, answer in await asyncio.gather(*tasks):
        runs = len(fleet.runs(request))
        if runs > 1:
            twice += 1
            fleet.record(f"TWICE {request}: ran {runs} times, the client got {answer}")
        if runs and answer.status in (408, 421, 429, 503):
            promised += 1
            fleet.record(f"REFUSED {request}: ran, and the client got {answer}")
    for one in shedding:
        answers = one.rejected + len(one._replica.runs)
        fleet.record(
            f"{one._replica.id}: {answers} answers, {one.rejected} rejections, "
            f"{one.repeated} of them sent twice"
        )
    text = (
        f"{len(tasks)} requests: {twice} ran twice, {promised} ran and got 429 or 503"
    )
    fleet.record(text)
    print(text)
    return twice + promised > 0


play(case, FOLDER)
