"""Replicas that run a request fail it with 503, without the word that it didn't run."""

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))

from harness2 import APP, ZONES, Fleet, Request, play, route, send, trouble

FOLDER = Path(__file__).resolve().parent
REQUESTS = 60
FAILED_EACH = 3
"""One in so many requests fails, within the share of ``srv_grey``."""


async def case(fleet: Fleet) -> bool:
    """Return whether a request that ran was answered as if it had not."""
    count = 0

    async def grey(request: Request, _reader, writer) -> bool:
        nonlocal count
        await asyncio.sleep(request.replica.work_s)
        count += 1
        headers = request.replica.sealed(request)
        if trouble() and count % FAILED_EACH == 0:
            fleet.record(f"     {request.id} ran, and fails with 503")
            send(writer, 503, headers, b"the ledger did not confirm")
        else:
            send(writer, 200, headers, b"done " + request.id.encode())
        return True

    await fleet.publish(
        [route("key-handover", "/puxa403/", "rounds-app", "non_idempotent")], [APP]
    )
    for zone in ZONES:
        replica = await fleet.add_replica("rounds-app", zone)
        replica.behave = grey
    names = [fleet.add_gateway(zone, 1) for zone in ZONES]
    await fleet.wait_ready()
    await asyncio.sleep(4.0)
    promised = again = 0
    for number in range(REQUESTS):
        name = names[number % len(names)]
        target, body = f"/puxa403/{number}", b'{"villa": 7}'
        request, answer = await fleet.ask(name, "POST", target, body)
        if answer.status in (408, 421, 429, 503) and fleet.runs(request):
            promised += 1
            fleet.record(f"PROMISED {request}: ran, and the client got {answer}")
            # The client retries once, as after any promise that it did not run.
            retry, _ = await fleet.ask(name, "POST", target, body)
            again += bool(fleet.runs(retry))
    text = f"{REQUESTS} requests, {promised} ran and got a status that promises not run"
    text += f"; {again} were applied again by the client's retry"
    fleet.record(text)
    print(text)
    return promised > 0


play(case, FOLDER)
